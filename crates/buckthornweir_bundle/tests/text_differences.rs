//! A difference makes the new text exactly, or nothing.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use buckthornweir_bundle::prelude::*;
use buckthornweir_bundle::{
    DifferenceChain, DifferenceError, MAX_CHAIN_LENGTH, MAX_DIFFERENCE_BYTES, TextDifference,
    rebuild, text_digest,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The largest difference of one changed key that a push of the target's size may cost, in bytes.
const ONE_KEY_LIMIT: usize = 1_024;

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[37; 32]);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

/// Returns a signed bundle of many services, of which the first has `slots` slots.
fn signed(version: u64, services: usize, slots: u32) -> String {
    let mut text = format!("[bundle]\nversion = {version}\n[domain a]\nregion = r\n");
    for n in 0..services {
        let slots = if n == 0 { slots } else { 8 };
        let address = format!("10.0.{}.{}:80", n / 256, n % 256);
        text += &format!("[service s{n}]\naddresses = {address}\ndomains = a\nslots = {slots}\n");
    }
    let bundle = Bundle::parse("test.ini", &text).unwrap();
    SignedBundle::sign(bundle, &SigningKey::from_secret(&[1; 32])).to_text()
}

#[test]
fn one_changed_key_costs_few_bytes_at_any_size() {
    for services in [10, 100, 1_100] {
        let (old, new) = (signed(1, services, 8), signed(2, services, 9));
        let bytes = TextDifference::encode_if_smaller(old.as_bytes(), new.as_bytes()).unwrap();
        assert!(bytes.len() < ONE_KEY_LIMIT, "{} bytes", bytes.len());
        let made = rebuild(old.as_bytes(), &[bytes]).unwrap();
        assert_eq!(made, new.as_bytes());
    }
}

#[test]
fn each_change_of_a_text_is_made_exactly() {
    let base = "[a]\nx = 1\ny = 2\n\n[b]\nx = 1\n";
    let table = [
        "",
        "[a]\nx = 1\ny = 2\n\n[b]\nx = 1",
        "[b]\nx = 1\n\n[a]\ny = 2\nx = 1\n",
        "[a]\nx = 1\nx = 1\nx = 1\n",
        "[c]\nx = 1\n",
        "first\n[a]\nx = 1\ny = 2\n\n[b]\nx = 1\nlast\n",
        "\n\n\n",
    ];
    for new in table {
        for (from, to) in [(base, new), (new, base), (new, new)] {
            let difference = TextDifference::between(from.as_bytes(), to.as_bytes());
            let read = TextDifference::from_bytes(&difference.to_bytes()).unwrap();
            let made = read.apply(from.as_bytes()).unwrap();
            assert_eq!(made, to.as_bytes(), "{from:?} to {to:?}");
        }
    }
}

#[test]
fn any_two_texts_are_made_from_each_other() {
    let line = "(\\[[ab]\\]|[xy] = [0-3]|)\n?";
    let text = vec(line, 0..30).prop_map(|lines| lines.concat());
    let texts = (text.clone(), text);
    runner(2_000)
        .run(&texts, |(old, new)| {
            let difference = TextDifference::between(old.as_bytes(), new.as_bytes());
            let read = TextDifference::from_bytes(&difference.to_bytes()).unwrap();
            prop_assert_eq!(read.apply(old.as_bytes()).unwrap(), new.as_bytes());
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_difference_from_another_text_is_refused() {
    let (old, new) = (signed(1, 20, 8), signed(2, 20, 9));
    let difference = TextDifference::between(old.as_bytes(), new.as_bytes());
    let others = [
        signed(1, 20, 7),
        signed(1, 21, 8),
        new.clone(),
        String::new(),
    ];
    for other in others {
        let made = difference.apply(other.as_bytes());
        assert_eq!(made, Err(DifferenceError::WrongBase));
    }
}

#[test]
fn an_altered_difference_never_makes_another_text() {
    let (old, new) = (signed(1, 20, 8), signed(2, 20, 9));
    let bytes = TextDifference::between(old.as_bytes(), new.as_bytes()).to_bytes();
    let flips = (0..bytes.len(), 0_u32..8);
    runner(4_000)
        .run(&flips, |(at, bit)| {
            let mut altered = bytes.clone();
            altered[at] ^= 1 << bit;
            if let Ok(made) = rebuild(old.as_bytes(), &[altered]) {
                prop_assert_eq!(made, new.as_bytes());
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn no_bytes_make_the_reader_panic() {
    let base = signed(1, 3, 8);
    runner(4_000)
        .run(&vec(any::<u8>(), 0..200), |bytes| {
            prop_assert!(rebuild(base.as_bytes(), &[bytes]).is_err());
            Ok(())
        })
        .unwrap();
}

/// Encodes a number of a field, as the wire form has it.
fn field(tag: u8, mut number: u64) -> Vec<u8> {
    let mut bytes = vec![tag << 3];
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
    bytes
}

/// Encodes bytes of a field.
fn bytes_field(tag: u8, bytes: &[u8]) -> Vec<u8> {
    let mut head = field(tag, bytes.len() as u64);
    head[0] |= 2;
    [head, bytes.to_vec()].concat()
}

#[test]
fn spans_out_of_range_are_refused_before_anything_is_allocated() {
    let base = b"0123456789";
    let huge = u64::MAX;
    // Size of the result, then start, copied and inserted of one span.
    let table = [
        (huge, 0, huge, 0),
        (5 << 20, 0, 5 << 20, 0),
        (20, 0, 20, 0),
        (2, 9, 2, 0),
        (2, huge, 2, 0),
        (huge, 0, huge, huge),
        (4, 0, 3, 0),
        (4, 0, 0, 4),
    ];
    for (size, start, copied, inserted) in table {
        let span = [field(1, start), field(2, copied), field(3, inserted)].concat();
        let parts = [
            bytes_field(1, &text_digest(base)),
            field(3, size),
            bytes_field(4, &span),
        ];
        let read = TextDifference::from_bytes(&parts.concat()).unwrap();
        let made = read.apply(base);
        let refused = matches!(
            made,
            Err(DifferenceError::InvalidSpans | DifferenceError::TooLarge { .. })
        );
        assert!(refused, "{size} {start} {copied} {inserted}: {made:?}");
    }
}

#[test]
fn a_difference_over_the_limit_is_neither_sent_nor_read() {
    let old = signed(1, 2, 8);
    let new = "y".repeat(MAX_DIFFERENCE_BYTES);
    let sent = TextDifference::encode_if_smaller(old.as_bytes(), new.as_bytes());
    assert_eq!(sent, None);
    let bytes = TextDifference::between(old.as_bytes(), new.as_bytes()).to_bytes();
    let read = TextDifference::from_bytes(&bytes);
    assert!(matches!(read, Err(DifferenceError::TooLarge { .. })));
}

#[test]
fn a_chain_leads_from_each_text_that_it_still_knows() {
    let texts: Vec<_> = (1..=80).map(|v| signed(v, 200, 8 + v as u32)).collect();
    let mut chain = DifferenceChain::new();
    for pair in texts.windows(2) {
        chain.record(pair[0].as_bytes(), pair[1].as_bytes());
    }
    let newest = texts.last().unwrap();
    for (at, text) in texts.iter().enumerate() {
        let behind = texts.len() - 1 - at;
        let differences = chain.since(&text_digest(text.as_bytes()));
        assert_eq!(
            differences.is_some(),
            (1..=MAX_CHAIN_LENGTH).contains(&behind)
        );
        if let Some(differences) = differences {
            let made = rebuild(text.as_bytes(), &differences).unwrap();
            assert_eq!(made, newest.as_bytes(), "{behind} behind");
        }
    }
}

#[test]
fn a_chain_forgets_what_no_longer_leads_to_its_text() {
    let [one, two, three, four] = [1, 2, 3, 4].map(|v| signed(v, 200, 8 + v as u32));
    let digest = |text: &str| text_digest(text.as_bytes());
    let mut chain = DifferenceChain::new();
    assert!(chain.since(&digest(&one)).is_none(), "nothing noted");
    chain.record(one.as_bytes(), two.as_bytes());
    chain.record(three.as_bytes(), four.as_bytes());
    assert!(chain.since(&digest(&one)).is_none(), "a gap");
    assert!(chain.since(&digest(&three)).is_some());
    assert!(chain.since(&digest(&four)).is_none(), "the newest itself");
    let other = "y".repeat(MAX_DIFFERENCE_BYTES);
    chain.record(four.as_bytes(), other.as_bytes());
    assert!(chain.since(&digest(&three)).is_none(), "a whole change");
}

#[test]
fn a_chain_larger_than_the_whole_is_not_given() {
    let texts: Vec<_> = (1..=40).map(|v| signed(v, 2, 8 + v as u32)).collect();
    let mut chain = DifferenceChain::new();
    for pair in texts.windows(2) {
        chain.record(pair[0].as_bytes(), pair[1].as_bytes());
    }
    assert!(chain.since(&text_digest(texts[0].as_bytes())).is_none());
    assert!(chain.since(&text_digest(texts[38].as_bytes())).is_some());
}

#[test]
fn differences_lost_doubled_or_swapped_make_nothing() {
    let texts = [1, 2, 3, 4].map(|v| signed(v, 200, 8 + v as u32));
    let mut chain = DifferenceChain::new();
    for pair in texts.windows(2) {
        chain.record(pair[0].as_bytes(), pair[1].as_bytes());
    }
    let base = texts[0].as_bytes();
    let links = chain.since(&text_digest(base)).unwrap();
    let pick = |at: &[usize]| -> Vec<_> { at.iter().map(|at| links[*at].clone()).collect() };
    let table: [&[usize]; 5] = [&[], &[0, 2], &[0, 0, 1, 2], &[0, 1, 1, 2], &[1, 0, 2]];
    for order in table {
        assert!(rebuild(base, &pick(order)).is_err(), "{order:?}");
    }
    assert_eq!(rebuild(base, &links).unwrap(), texts[3].as_bytes());
    let long = vec![links[0].clone(); MAX_CHAIN_LENGTH + 1];
    let refused = rebuild(base, &long);
    assert!(matches!(refused, Err(DifferenceError::TooMany { .. })));
}

#[test]
fn a_chain_takes_over_the_differences_that_it_was_given() {
    let texts = [1, 2, 3, 4].map(|v| signed(v, 200, 8 + v as u32));
    let mut giver = DifferenceChain::new();
    for pair in texts.windows(2) {
        giver.record(pair[0].as_bytes(), pair[1].as_bytes());
    }
    let digests = [0, 1, 2].map(|at: usize| text_digest(texts[at].as_bytes()));
    let given = giver.since(&digests[1]).unwrap();
    let mut taker = DifferenceChain::new();
    taker.record(texts[0].as_bytes(), texts[1].as_bytes());
    taker.extend(&given, texts[3].as_bytes());
    for (digest, text) in digests.iter().zip(&texts) {
        let differences = taker.since(digest).unwrap();
        let made = rebuild(text.as_bytes(), &differences).unwrap();
        assert_eq!(made, texts[3].as_bytes());
    }
    let mut behind = DifferenceChain::new();
    behind.record(texts[2].as_bytes(), texts[0].as_bytes());
    behind.extend(&given, texts[3].as_bytes());
    assert!(behind.since(&digests[0]).is_none(), "a gap before");
    assert!(behind.since(&digests[1]).is_some());
    behind.extend(&[b"no difference".to_vec()], texts[3].as_bytes());
    assert!(behind.since(&digests[1]).is_none(), "malformed");
}
