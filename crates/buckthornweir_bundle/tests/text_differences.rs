//! A difference reproduces the new text exactly, or is refused.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use buckthornweir_bundle::prelude::*;
use buckthornweir_bundle::{
    DifferenceChain, DifferenceError, MAX_CHAIN_LENGTH, MAX_DIFFERENCE_BYTES, TextDifference,
    rebuild, text_digest,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The maximum size in bytes of a difference that changes one key, at the target bundle size.
const MAX_ONE_KEY_BYTES: usize = 1_024;

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[37; 32]);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

/// Returns the text of a signed bundle whose first service has `slots` slots.
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
fn difference_of_one_key_is_small_at_any_bundle_size() {
    for services in [10, 100, 1_100] {
        let (old, new) = (signed(1, services, 8), signed(2, services, 9));
        let bytes = TextDifference::encode_if_smaller(old.as_bytes(), new.as_bytes()).unwrap();
        assert!(bytes.len() < MAX_ONE_KEY_BYTES, "{} bytes", bytes.len());
        let result = rebuild(old.as_bytes(), &[bytes]).unwrap();
        assert_eq!(result, new.as_bytes());
    }
}

#[test]
fn differences_reproduce_the_new_text_exactly() {
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
            let decoded = TextDifference::from_bytes(&difference.to_bytes()).unwrap();
            let result = decoded.apply(from.as_bytes()).unwrap();
            assert_eq!(result, to.as_bytes(), "{from:?} to {to:?}");
        }
    }
}

#[test]
fn differences_between_arbitrary_texts_round_trip() {
    let line = "(\\[[ab]\\]|[xy] = [0-3]|)\n?";
    let text = vec(line, 0..30).prop_map(|lines| lines.concat());
    let texts = (text.clone(), text);
    runner(2_000)
        .run(&texts, |(old, new)| {
            let difference = TextDifference::between(old.as_bytes(), new.as_bytes());
            let decoded = TextDifference::from_bytes(&difference.to_bytes()).unwrap();
            prop_assert_eq!(decoded.apply(old.as_bytes()).unwrap(), new.as_bytes());
            Ok(())
        })
        .unwrap();
}

#[test]
fn difference_with_another_base_is_refused() {
    let (old, new) = (signed(1, 20, 8), signed(2, 20, 9));
    let difference = TextDifference::between(old.as_bytes(), new.as_bytes());
    let others = [
        signed(1, 20, 7),
        signed(1, 21, 8),
        new.clone(),
        String::new(),
    ];
    for other in others {
        let result = difference.apply(other.as_bytes());
        assert_eq!(result, Err(DifferenceError::WrongBase));
    }
}

#[test]
fn corrupted_difference_never_produces_another_text() {
    let (old, new) = (signed(1, 20, 8), signed(2, 20, 9));
    let bytes = TextDifference::between(old.as_bytes(), new.as_bytes()).to_bytes();
    let flips = (0..bytes.len(), 0_u32..8);
    runner(4_000)
        .run(&flips, |(at, bit)| {
            let mut altered = bytes.clone();
            altered[at] ^= 1 << bit;
            if let Ok(result) = rebuild(old.as_bytes(), &[altered]) {
                prop_assert_eq!(result, new.as_bytes());
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn arbitrary_bytes_do_not_panic_the_decoder() {
    let base = signed(1, 3, 8);
    runner(4_000)
        .run(&vec(any::<u8>(), 0..200), |bytes| {
            prop_assert!(rebuild(base.as_bytes(), &[bytes]).is_err());
            Ok(())
        })
        .unwrap();
}

/// Encodes a varint field in the protobuf wire format.
fn field(tag: u8, mut number: u64) -> Vec<u8> {
    let mut bytes = vec![tag << 3];
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
    bytes
}

/// Encodes a length-delimited field in the protobuf wire format.
fn bytes_field(tag: u8, bytes: &[u8]) -> Vec<u8> {
    let mut head = field(tag, bytes.len() as u64);
    head[0] |= 2;
    [head, bytes.to_vec()].concat()
}

#[test]
fn spans_out_of_range_are_refused_before_allocation() {
    let base = b"0123456789";
    let max = u64::MAX;
    // The size of the result, then `start`, `copied` and `inserted` of one span.
    let table = [
        (max, 0, max, 0),
        (5 << 20, 0, 5 << 20, 0),
        (20, 0, 20, 0),
        (2, 9, 2, 0),
        (2, max, 2, 0),
        (max, 0, max, max),
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
        let decoded = TextDifference::from_bytes(&parts.concat()).unwrap();
        let result = decoded.apply(base);
        let refused = matches!(
            result,
            Err(DifferenceError::InvalidSpans | DifferenceError::TooLarge { .. })
        );
        assert!(refused, "{size} {start} {copied} {inserted}: {result:?}");
    }
}

#[test]
fn oversized_differences_are_neither_encoded_nor_decoded() {
    let old = signed(1, 2, 8);
    let new = "y".repeat(MAX_DIFFERENCE_BYTES);
    let encoded = TextDifference::encode_if_smaller(old.as_bytes(), new.as_bytes());
    assert_eq!(encoded, None);
    let bytes = TextDifference::between(old.as_bytes(), new.as_bytes()).to_bytes();
    let decoded = TextDifference::from_bytes(&bytes);
    assert!(matches!(decoded, Err(DifferenceError::TooLarge { .. })));
}

#[test]
fn chain_updates_each_text_within_its_length_limit() {
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
            let result = rebuild(text.as_bytes(), &differences).unwrap();
            assert_eq!(result, newest.as_bytes(), "{behind} behind");
        }
    }
}

#[test]
fn chain_drops_differences_that_do_not_lead_to_the_latest_text() {
    let [one, two, three, four] = [1, 2, 3, 4].map(|v| signed(v, 200, 8 + v as u32));
    let digest = |text: &str| text_digest(text.as_bytes());
    let mut chain = DifferenceChain::new();
    assert!(chain.since(&digest(&one)).is_none(), "empty chain");
    chain.record(one.as_bytes(), two.as_bytes());
    chain.record(three.as_bytes(), four.as_bytes());
    assert!(chain.since(&digest(&one)).is_none(), "gap in the chain");
    assert!(chain.since(&digest(&three)).is_some());
    assert!(
        chain.since(&digest(&four)).is_none(),
        "already the latest text"
    );
    let other = "y".repeat(MAX_DIFFERENCE_BYTES);
    chain.record(four.as_bytes(), other.as_bytes());
    assert!(
        chain.since(&digest(&three)).is_none(),
        "difference too large"
    );
}

#[test]
fn chain_larger_than_the_complete_text_is_not_returned() {
    let texts: Vec<_> = (1..=40).map(|v| signed(v, 2, 8 + v as u32)).collect();
    let mut chain = DifferenceChain::new();
    for pair in texts.windows(2) {
        chain.record(pair[0].as_bytes(), pair[1].as_bytes());
    }
    assert!(chain.since(&text_digest(texts[0].as_bytes())).is_none());
    assert!(chain.since(&text_digest(texts[38].as_bytes())).is_some());
}

#[test]
fn lost_duplicated_or_swapped_differences_are_refused() {
    let texts = [1, 2, 3, 4].map(|v| signed(v, 200, 8 + v as u32));
    let mut chain = DifferenceChain::new();
    for pair in texts.windows(2) {
        chain.record(pair[0].as_bytes(), pair[1].as_bytes());
    }
    let base = texts[0].as_bytes();
    let differences = chain.since(&text_digest(base)).unwrap();
    let pick = |indexes: &[usize]| -> Vec<_> {
        indexes
            .iter()
            .map(|index| differences[*index].clone())
            .collect()
    };
    let table: [&[usize]; 5] = [&[], &[0, 2], &[0, 0, 1, 2], &[0, 1, 1, 2], &[1, 0, 2]];
    for order in table {
        assert!(rebuild(base, &pick(order)).is_err(), "{order:?}");
    }
    assert_eq!(rebuild(base, &differences).unwrap(), texts[3].as_bytes());
    let long = vec![differences[0].clone(); MAX_CHAIN_LENGTH + 1];
    let result = rebuild(base, &long);
    assert!(matches!(result, Err(DifferenceError::TooMany { .. })));
}

#[test]
fn chain_can_be_extended_by_received_differences() {
    let texts = [1, 2, 3, 4].map(|v| signed(v, 200, 8 + v as u32));
    let mut sender = DifferenceChain::new();
    for pair in texts.windows(2) {
        sender.record(pair[0].as_bytes(), pair[1].as_bytes());
    }
    let digests = [0, 1, 2].map(|at: usize| text_digest(texts[at].as_bytes()));
    let received = sender.since(&digests[1]).unwrap();
    let mut receiver = DifferenceChain::new();
    receiver.record(texts[0].as_bytes(), texts[1].as_bytes());
    receiver.extend(&received, texts[3].as_bytes());
    for (digest, text) in digests.iter().zip(&texts) {
        let differences = receiver.since(digest).unwrap();
        let result = rebuild(text.as_bytes(), &differences).unwrap();
        assert_eq!(result, texts[3].as_bytes());
    }
    let mut outdated = DifferenceChain::new();
    outdated.record(texts[2].as_bytes(), texts[0].as_bytes());
    outdated.extend(&received, texts[3].as_bytes());
    assert!(outdated.since(&digests[0]).is_none(), "gap in the chain");
    assert!(outdated.since(&digests[1]).is_some());
    outdated.extend(&[b"no difference".to_vec()], texts[3].as_bytes());
    assert!(outdated.since(&digests[1]).is_none(), "malformed");
}
