//! Only an unaltered bundle with a signature by a trusted key is accepted.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use buckthornweir_bundle::prelude::*;
use buckthornweir_bundle::public_key;
use buckthornweir_settings::value::{hex, to_hex};
use expect_test::{Expect, expect};

const TEXT: &str = "\
[bundle]
version = 7
[domain a]
region = fj-west
[service orders]
addresses = 10.1.0.1:80
domains = a
";

/// The neutral point of the curve, a weak public key with signatures that are valid for many texts.
const WEAK_KEY: &str = "0100000000000000000000000000000000000000000000000000000000000000";

/// The encoding of a value that is not a point on the curve.
const OFF_CURVE_KEY: &str = "0200000000000000000000000000000000000000000000000000000000000000";

fn key(seed: u8) -> SigningKey {
    SigningKey::from_secret(&[seed; 32])
}

fn signed() -> SignedBundle {
    SignedBundle::sign(Bundle::parse("b.ini", TEXT).unwrap(), &key(1))
}

fn outcome(text: &str, trust: &Trust) -> String {
    let parsed = SignedBundle::parse("b.ini", text);
    match parsed.and_then(|parsed| parsed.verify(trust)) {
        Ok(()) => "ok".into(),
        Err(fault) => fault.to_string(),
    }
}

#[test]
fn only_trusted_keys_that_are_not_revoked_are_accepted() {
    let (one, two) = (key(1).public(), key(2).public());
    let rows: [(Trust, Expect); 6] = [
        (Trust::new().with_key(one), expect!["ok"]),
        (Trust::new().with_key(two).with_key(one), expect!["ok"]),
        (
            Trust::new(),
            expect![
                "the signing key 8a88e3dd7409f195fd52db2d3cba5d72ca6709bf1d94121bf3748801b40f6f5c is not trusted"
            ],
        ),
        (
            Trust::new().with_key(two),
            expect![
                "the signing key 8a88e3dd7409f195fd52db2d3cba5d72ca6709bf1d94121bf3748801b40f6f5c is not trusted"
            ],
        ),
        (
            Trust::new().with_key(one).with_revoked(one),
            expect![
                "the signing key 8a88e3dd7409f195fd52db2d3cba5d72ca6709bf1d94121bf3748801b40f6f5c is revoked"
            ],
        ),
        (
            Trust::new().with_revoked(one).with_key(one),
            expect![
                "the signing key 8a88e3dd7409f195fd52db2d3cba5d72ca6709bf1d94121bf3748801b40f6f5c is revoked"
            ],
        ),
    ];
    for (trust, expected) in rows {
        expected.assert_eq(&outcome(&signed().to_text(), &trust));
    }
}

#[test]
fn altered_bundles_are_refused() {
    let text = signed().to_text();
    let trust = Trust::new()
        .with_key(key(1).public())
        .with_key(key(2).public())
        .with_key(hex(WEAK_KEY).unwrap())
        .with_key(hex(OFF_CURVE_KEY).unwrap());
    let own_key = to_hex(&key(1).public());
    let value = text.split("value = ").nth(1).unwrap().trim();
    let other = Bundle::parse("b.ini", &TEXT.replace("= 7", "= 8")).unwrap();
    let other = SignedBundle::sign(other, &key(1)).to_text();
    let other_signature = other.split("value = ").nth(1).unwrap().trim().to_owned();
    let zero_signature = "0".repeat(128);
    let weak_signature = format!("{WEAK_KEY}{}", "0".repeat(64));
    let rows: Vec<(&str, String, Expect)> = vec![
        (
            "version = 7",
            "version = 8".into(),
            expect![
                "the signature by 8a88e3dd7409f195fd52db2d3cba5d72ca6709bf1d94121bf3748801b40f6f5c does not fit the bundle's text"
            ],
        ),
        (
            "state = in",
            "state = out\n".into(),
            expect![
                "b.ini:13: [service orders] domains leaves no failure domain that is in; allowed: at least one, or force = yes in [bundle]"
            ],
        ),
        (
            "10.1.0.1:80",
            "10.1.0.1:81".into(),
            expect![
                "the signature by 8a88e3dd7409f195fd52db2d3cba5d72ca6709bf1d94121bf3748801b40f6f5c does not fit the bundle's text"
            ],
        ),
        (
            "slots = 5",
            "slots = 6".into(),
            expect![
                "the signature by 8a88e3dd7409f195fd52db2d3cba5d72ca6709bf1d94121bf3748801b40f6f5c does not fit the bundle's text"
            ],
        ),
        (
            &own_key,
            to_hex(&key(2).public()),
            expect![
                "the signature by 8139770ea87d175f56a35466c34c7ecccb8d8a91b4ee37a25df60f5b8fc9b394 does not fit the bundle's text"
            ],
        ),
        (
            &own_key,
            "aa".into(),
            expect![[
                r#"b.ini:20: [signature] key = "aa" is not allowed; allowed: 64 hexadecimal digits"#
            ]],
        ),
        (
            value,
            zero_signature,
            expect![
                "the signature by 8a88e3dd7409f195fd52db2d3cba5d72ca6709bf1d94121bf3748801b40f6f5c does not fit the bundle's text"
            ],
        ),
        (
            value,
            other_signature,
            expect![
                "the signature by 8a88e3dd7409f195fd52db2d3cba5d72ca6709bf1d94121bf3748801b40f6f5c does not fit the bundle's text"
            ],
        ),
        (
            value,
            value[2..].to_owned(),
            expect![[
                r#"b.ini:21: [signature] value = "c06f6ed1ba21b5fc0c9a872e876d3bcff7490ce4ac3dbea8c1827ac0e5b5601bd154b9d3cdb3f7ded849d8cc6d95af62e147..." is not allowed; allowed: 128 hexadecimal digits"#
            ]],
        ),
        (
            "value = ",
            "; value = ".into(),
            expect!["b.ini:19: [signature] value is missing"],
        ),
        (
            "[signature]",
            "[signatures]".into(),
            expect!["b.ini: section [signature] is missing; sign the bundle first"],
        ),
    ];
    for (from, to, expected) in rows {
        assert!(text.contains(from), "{from}");
        expected.assert_eq(&outcome(&text.replacen(from, &to, 1), &trust));
    }
    let weakly_signed = text
        .replace(&own_key, WEAK_KEY)
        .replace(value, &weak_signature);
    expect!["the signature by 0100000000000000000000000000000000000000000000000000000000000000 does not fit the bundle's text"].assert_eq(&outcome(&weakly_signed, &trust));
    expect!["0200000000000000000000000000000000000000000000000000000000000000 is not an Ed25519 public key"].assert_eq(&outcome(&text.replace(&own_key, OFF_CURVE_KEY), &trust));
    expect!["b.ini: section [signature] is missing; sign the bundle first"]
        .assert_eq(&outcome(TEXT, &trust));
}

#[test]
fn weak_and_invalid_public_keys_are_refused() {
    let good = to_hex(&key(1).public());
    assert_eq!(public_key(&good), Ok(key(1).public()));
    for bad in [WEAK_KEY, OFF_CURVE_KEY] {
        expect!["an Ed25519 public key, as keygen prints it"]
            .assert_eq(public_key(bad).unwrap_err().as_ref());
    }
    expect!["64 hexadecimal digits"].assert_eq(public_key(&good[2..]).unwrap_err().as_ref());
}

#[test]
fn signatures_with_a_flipped_bit_are_refused() {
    let text = signed().to_text();
    let trust = Trust::new().with_key(key(1).public());
    let value = text.split("value = ").nth(1).unwrap().trim();
    let bytes: [u8; 64] = hex(value).unwrap();
    for bit in 0..512 {
        let mut flipped = bytes;
        flipped[bit / 8] ^= 1 << (bit % 8);
        let altered = text.replace(value, &to_hex(&flipped));
        let parsed = SignedBundle::parse("b.ini", &altered).unwrap();
        assert!(
            matches!(parsed.verify(&trust), Err(Fault::BadSignature { .. })),
            "bit {bit}"
        );
    }
}

#[test]
fn signature_does_not_cover_spacing_and_comments() {
    let text = signed().to_text();
    let trust = Trust::new().with_key(key(1).public());
    let spaced = text.replace(" = ", "=").replace('\n', "\r\n; note\r\n");
    assert_eq!(outcome(&spaced, &trust), "ok");
    let parsed = SignedBundle::parse("b.ini", &spaced).unwrap();
    assert_eq!(parsed, signed());
    assert_eq!(parsed.to_text(), text);
}
