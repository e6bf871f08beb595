//! Decoding of untrusted bytes: messages, packets and the stack's input.

mod common;

use std::cell::RefCell;
use std::time::Duration;

use buckthornweir_flows::messages::{
    FlowBody, FlowKey, FlowMessage, MAX_MESSAGE_BYTES, MessageError, Query, decode, decode_flow,
};
use buckthornweir_flows::prelude::*;
use common::mesh::forward;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use prost::Message;

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[23; 32]);
    let config = Config {
        cases: 20_000,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

#[test]
fn messages_round_trip() {
    for tuple in [tuple(40_000), tuple_v6(40_000)] {
        let query = Query {
            flow: Some(FlowKey::from(&tuple)),
            number: 7,
            ..Query::default()
        };
        let bodies = [
            FlowBody::Query(query),
            FlowBody::Forward(forward(&syn(&tuple, 1))),
        ];
        for body in bodies {
            let bytes = FlowMessage::from(body.clone()).encode_to_vec();
            assert_eq!(decode(&bytes), Ok(body));
        }
        let key = FlowKey::from(&tuple);
        assert_eq!(decode_flow(Some(&key)), Ok(tuple));
    }
}

#[test]
fn invalid_messages_are_rejected() {
    assert_eq!(decode(&[]), Err(MessageError::NoBody));
    let long = vec![0; MAX_MESSAGE_BYTES + 1];
    assert_eq!(
        decode(&long),
        Err(MessageError::TooLong(MAX_MESSAGE_BYTES + 1))
    );
    assert!(matches!(
        decode(&[0x0a, 0x05]),
        Err(MessageError::Decode(_))
    ));
    assert_eq!(decode_flow(None), Err(MessageError::MissingField("flow")));
    for length in [0, 1, 5, 7, 17, 19] {
        let key = FlowKey {
            caller: vec![0; length],
            service: vec![0; 6],
        };
        assert_eq!(
            decode_flow(Some(&key)),
            Err(MessageError::AddressLength(length))
        );
    }
}

#[test]
fn random_bytes_never_panic() {
    let bytes = proptest::collection::vec(any::<u8>(), 0..200);
    let outcome = runner().run(&bytes, |bytes| {
        let _ = decode(&bytes);
        let _ = parse(&bytes);
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn damaged_packets_never_panic() {
    let tuple = tuple(40_000);
    let mut now = Duration::from_secs(1);
    let (_, fresh) = establish(&tuple, 4_096, &mut now);
    let quiet = fresh.quiet().unwrap();
    let limits = StackLimits::default();
    let moved = FlowStack::resume(&quiet, &limits, now).unwrap();
    let stacks = RefCell::new([fresh, moved]);
    let flags = Flags {
        ack: Some(quiet.sent),
        ..Flags::default()
    };
    let valid = packet(&tuple, flags, quiet.received, b"some bytes");
    let changes = proptest::collection::vec((0..valid.len(), any::<u8>()), 1..4);
    let outcome = runner().run(&changes, |changes| {
        let mut bytes = valid.clone();
        for (offset, byte) in changes {
            bytes[offset] = byte;
        }
        let _ = parse(&bytes);
        let mut out = Vec::new();
        for stack in stacks.borrow_mut().iter_mut() {
            stack.input(&bytes, now, &mut out);
        }
        Ok(())
    });
    outcome.unwrap();
}
