//! Prints the memory per idempotency record, measured by the growth of the resident memory.

use std::fs;
use std::time::Duration;

use buckthornweir_requests::idempotency::{ClaimKey, KeyAction, Keys, KeysConfig, Member};
use buckthornweir_requests::messages::{KeyEnd, StoredAnswer};

/// Size of a memory page in bytes.
const PAGE: u64 = 4_096;

fn main() {
    println!("records  answer-bytes  bytes-a-record");
    // All instances stay alive, so that none reuses memory freed by another.
    let mut kept = Vec::new();
    for (records, answer) in [
        (5_000, 0),
        (10_000, 0),
        (20_000, 0),
        (5_000, 500),
        (10_000, 500),
    ] {
        let before = resident();
        let keys = fill(records, answer);
        let grown = resident().saturating_sub(before);
        println!(
            "{:<8} {answer:<13} {}",
            keys.held(),
            grown / u64::from(records)
        );
        kept.push(keys);
    }
}

/// Returns a key table with `records` records, each with a response body of `answer` bytes.
fn fill(records: u32, answer: usize) -> Keys {
    let config = KeysConfig {
        settle_delay: Duration::ZERO,
        ..KeysConfig::default()
    };
    let config = config.with_first_start(true);
    let mut keys = Keys::new(Member::new(1, "a"), config, 7, Duration::ZERO);
    let now = Duration::from_millis(1);
    keys.tick(now);
    for number in 0..records {
        // Same length as the usual key, a UUID in text form.
        let key = format!("{number:036}");
        let deadline = now + Duration::from_secs(1);
        let (claim, actions) = keys.claim(now, key.as_bytes(), 1, deadline);
        finish(&mut keys, now, claim, &actions, answer);
    }
    keys
}

fn finish(keys: &mut Keys, now: Duration, claim: ClaimKey, actions: &[KeyAction], answer: usize) {
    assert_eq!(actions, [KeyAction::Run { claim }]);
    let answer = StoredAnswer {
        status: 201,
        body: vec![1; answer],
        ..StoredAnswer::default()
    };
    let _ = keys.finished(now, claim, KeyEnd::Done, Some(answer));
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}
