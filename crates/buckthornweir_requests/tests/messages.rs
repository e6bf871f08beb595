//! Message decoding: validation, and no panic on arbitrary input.

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
fn valid_messages_round_trip() {
    let table = [
        RequestBody::Reserve(Reserve {
            token: 1,
            remaining_us: 5,
            hedge: true,
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
fn invalid_messages_return_a_typed_error() {
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
fn arbitrary_bytes_decode_without_a_panic() {
    let bytes = prop::collection::vec(any::<u8>(), 0..600);
    let result = runner().run(&bytes, |bytes| {
        let _ = RequestMessage::decode_checked(&bytes);
        Ok(())
    });
    assert_eq!(result, Ok(()));
}

#[test]
fn corrupted_messages_decode_without_a_panic() {
    let valid = encode(RequestBody::HandedRequest(request()));
    let mutations = prop::collection::vec((0..valid.len(), any::<u8>()), 1..6);
    let result = runner().run(&(mutations, 0..valid.len()), |(mutations, cut)| {
        let mut bytes = valid.clone();
        for (position, value) in mutations {
            bytes[position] = value;
        }
        let _ = RequestMessage::decode_checked(&bytes);
        let _ = RequestMessage::decode_checked(&bytes[..cut]);
        Ok(())
    });
    assert_eq!(result, Ok(()));
}
