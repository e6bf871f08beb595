//! Decoders take any bytes without a panic and within bounds.

use buckthornweir_requests::messages::{
    CancelHanded, HandedAnswer, HandedRequest, Header, KeyAnswer, KeyClaim, KeyDone, KeyRecord,
    KeyRecords, MAX_KEY_BYTES, MAX_MESSAGE_BYTES, MessageError, RequestBody, RequestMessage,
    Reserve,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use prost::Message as _;

fn runner() -> TestRunner {
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]))
}

fn encode(body: RequestBody) -> Vec<u8> {
    RequestMessage::new(body).encode_to_vec()
}

fn request() -> HandedRequest {
    HandedRequest {
        reservation: 7,
        remaining_us: 1_000,
        method: "POST".into(),
        uri: "/orders".into(),
        headers: vec![Header {
            name: "accept".into(),
            value: b"*/*".to_vec(),
        }],
        body: b"seed".to_vec(),
        ..HandedRequest::default()
    }
}

#[test]
fn good_messages_are_read_back() {
    let table = [
        RequestBody::Reserve(Reserve {
            token: 1,
            remaining_us: 5,
        }),
        RequestBody::CancelHanded(CancelHanded { reservation: 1 }),
        RequestBody::HandedRequest(request()),
        RequestBody::HandedAnswer(HandedAnswer {
            status: 200,
            ..HandedAnswer::default()
        }),
        RequestBody::KeyClaim(KeyClaim {
            key: vec![1],
            ..KeyClaim::default()
        }),
    ];
    for body in table {
        assert_eq!(
            RequestMessage::decode_checked(&encode(body.clone())),
            Ok(body)
        );
    }
}

#[test]
fn bad_messages_are_refused_with_a_typed_error() {
    let key = vec![1; MAX_KEY_BYTES + 1];
    let headers = vec![Header::default(); 257];
    let table = [
        (
            vec![0; MAX_MESSAGE_BYTES + 1],
            MessageError::TooLarge(MAX_MESSAGE_BYTES + 1),
        ),
        (Vec::new(), MessageError::NoBody),
        (
            encode(RequestBody::HandedAnswer(HandedAnswer::default())),
            MessageError::BadValue("status"),
        ),
        (
            encode(RequestBody::HandedRequest(HandedRequest {
                headers,
                ..request()
            })),
            MessageError::FieldTooLarge("headers"),
        ),
        (
            encode(RequestBody::KeyClaim(KeyClaim::default())),
            MessageError::BadValue("key"),
        ),
        (
            encode(RequestBody::KeyDone(KeyDone {
                key,
                ..KeyDone::default()
            })),
            MessageError::FieldTooLarge("key"),
        ),
        (
            encode(RequestBody::KeyAnswer(KeyAnswer {
                verdict: 99,
                ..KeyAnswer::default()
            })),
            MessageError::BadValue("verdict"),
        ),
        (
            encode(RequestBody::KeyRecords(KeyRecords::default())),
            MessageError::BadValue("part"),
        ),
        (
            encode(RequestBody::KeyRecords(KeyRecords {
                parts: 1,
                records: vec![
                    KeyRecord {
                        key: vec![1],
                        ..KeyRecord::default()
                    };
                    201
                ],
                ..KeyRecords::default()
            })),
            MessageError::FieldTooLarge("records"),
        ),
    ];
    for (bytes, expected) in table {
        assert_eq!(RequestMessage::decode_checked(&bytes), Err(expected));
    }
}

#[test]
fn any_bytes_are_read_without_a_panic() {
    let bytes = prop::collection::vec(any::<u8>(), 0..600);
    let result = runner().run(&bytes, |bytes| {
        let _ = RequestMessage::decode_checked(&bytes);
        Ok(())
    });
    assert_eq!(result, Ok(()));
}

#[test]
fn changed_messages_are_read_without_a_panic() {
    let good = encode(RequestBody::HandedRequest(request()));
    let changes = prop::collection::vec((0..good.len(), any::<u8>()), 1..6);
    let result = runner().run(&(changes, 0..good.len()), |(changes, cut)| {
        let mut bytes = good.clone();
        for (position, value) in changes {
            bytes[position] = value;
        }
        let _ = RequestMessage::decode_checked(&bytes);
        let _ = RequestMessage::decode_checked(&bytes[..cut]);
        Ok(())
    });
    assert_eq!(result, Ok(()));
}
