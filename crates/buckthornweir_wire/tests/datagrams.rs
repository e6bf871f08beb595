//! Datagrams are only opened when sealed with the same key, and no input makes a decoder panic.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use buckthornweir_events::Stamp;
use buckthornweir_flows::messages::{FlowBody, FlowMessage, Forward};
use buckthornweir_wire::prelude::*;
use buckthornweir_wire::{
    CandidateRow, CandidateVerdict, ExplainOutcome, ExplainReply, ExplainRequest,
    MAX_DATAGRAM_BYTES, MemberRow, MembersReply, OperatorMessage, PushOutcome, PushReply,
    PushRequest, Reply, Request, TAG_BYTES, inner_packet,
};
use buckthornweir_wire::{RequestLimits, StatusRequest};
use expect_test::{Expect, expect};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use prost::Message;

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[41; 32]);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

fn key(byte: u8) -> ClusterKey {
    ClusterKey::new([byte; 32])
}

fn explanation() -> ExplainReply {
    let row = CandidateRow {
        name: "agent-1".into(),
        node: 1,
        domain: "a".into(),
        state: "ready".into(),
        weight: 16,
        share: 1.0,
        free: 4,
        verdict: CandidateVerdict::Chosen.into(),
    };
    ExplainReply {
        outcome: ExplainOutcome::Explained.into(),
        process: "balancer-1".into(),
        version: 7,
        view_age_millis: 40,
        service: "orders".into(),
        candidates: vec![row],
        next: "agent-2".into(),
        limits: Some(RequestLimits {
            siblings: 2,
            ask_millis: 25,
            queue: 10,
            wait_millis: 500,
            attempts: 3,
            hedged_percent: 5,
        }),
        key_holders: vec!["agent-1".into()],
    }
}

/// Returns one envelope of each kind.
fn envelopes() -> Vec<Envelope> {
    let forward = Forward {
        service: "orders".into(),
        bundle_version: 7,
        packet: vec![0x45; 64],
        ..Forward::default()
    };
    let flow = FlowMessage {
        body: Some(FlowBody::Forward(forward)),
    };
    let push = PushRequest {
        text: "[bundle]".into(),
    };
    let rows = vec![MemberRow::default(); 3];
    let answer = OperatorMessage::answer(4, Reply::Members(MembersReply { rows }));
    let explain = ExplainRequest {
        caller: "192.0.2.1:40000".into(),
        service: "198.51.100.1:80".into(),
        key: b"order-1".to_vec(),
    };
    let explained = OperatorMessage::answer(5, Reply::Explain(explanation()));
    let bodies = [
        Body::Heartbeat(Heartbeat {}),
        Body::Flow(flow),
        Body::Members(vec![1, 2, 3]),
        Body::Quorum(vec![]),
        Body::Request(Box::default()),
        Body::Operator(Box::new(OperatorMessage::ask(4, Request::Push(push)))),
        Body::Operator(Box::new(answer)),
        Body::Operator(Box::new(OperatorMessage::ask(5, Request::Explain(explain)))),
        Body::Operator(Box::new(explained)),
    ];
    let stamp = Stamp {
        millis: u64::MAX,
        counter: 9,
    };
    let envelope = |body| Envelope::new(3, body).with_stamp(stamp);
    bodies.into_iter().map(envelope).collect()
}

fn outcome(read: &Result<Envelope, WireError>) -> &'static str {
    match read {
        Ok(_) => "ok",
        Err(WireError::Short { .. }) => "short",
        Err(WireError::Forged) => "forged",
        Err(WireError::Malformed(_)) => "malformed",
        Err(_) => "other",
    }
}

#[test]
fn each_kind_of_message_round_trips() {
    for envelope in envelopes() {
        let datagram = seal(&key(1), &envelope);
        let read = open(&key(1), &datagram).unwrap();
        assert_eq!(read, envelope);
        assert_eq!(read.stamp().counter, 9);
        assert_eq!(datagram.len(), TAG_BYTES + envelope.encoded_len());
    }
}

#[test]
fn bit_flips_truncation_and_wrong_keys_fail_authentication() {
    for envelope in envelopes() {
        let datagram = seal(&key(1), &envelope);
        assert_eq!(outcome(&open(&key(2), &datagram)), "forged");
        for bit in 0..8 * datagram.len() {
            let mut flipped = datagram.clone();
            flipped[bit / 8] ^= 1 << (bit % 8);
            assert_eq!(outcome(&open(&key(1), &flipped)), "forged", "bit {bit}");
        }
        for length in 0..datagram.len() {
            let expected = if length < TAG_BYTES {
                "short"
            } else {
                "forged"
            };
            assert_eq!(outcome(&open(&key(1), &datagram[..length])), expected);
        }
        let longer = [&datagram[..], &[0]].concat();
        assert_eq!(outcome(&open(&key(1), &longer)), "forged");
    }
}

#[test]
fn unknown_message_kind_decodes_without_a_body() {
    // Field 30, which is not defined, with an empty message.
    let unknown = Envelope::decode(&[0xf2, 0x01, 0x00][..]).unwrap();
    assert!(matches!(unknown.into_body(), Err(WireError::Empty)));
    let outcome = PushReply {
        outcome: 99,
        ..PushReply::default()
    };
    assert_eq!(outcome.outcome(), PushOutcome::Unspecified);
}

/// Guards against changes of tags, which would break the exchange with other releases.
#[test]
fn explain_messages_keep_their_encoding() {
    let request = ExplainRequest {
        caller: "c".into(),
        service: "s".into(),
        key: vec![1],
    };
    let encoded = OperatorMessage::ask(5, Request::Explain(request)).encode_to_vec();
    expect!["08059201090a01631201731a0101"].assert_eq(&to_hex(&encoded));
    let reply = OperatorMessage::answer(5, Reply::Explain(explanation())).encode_to_vec();
    expect!["0805e201610801120a62616c616e6365722d31180720282a066f726465727332240a076167656e742d3110011a016122057265616479281031000000000000f03f380440013a076167656e742d32420d08021019180a20f403280330054a076167656e742d31"].assert_eq(&to_hex(&reply));
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The operator message of releases before the request to explain a route.
#[derive(Clone, PartialEq, Message)]
struct EarlierMessage {
    #[prost(uint64, tag = "1")]
    id: u64,
    #[prost(oneof = "EarlierRequest", tags = "10")]
    request: Option<EarlierRequest>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum EarlierRequest {
    #[prost(message, tag = "10")]
    Status(StatusRequest),
}

/// Guards against a request that earlier releases fail to decode, which would close the link.
#[test]
fn earlier_releases_decode_a_request_to_explain_as_no_request() {
    let request = Request::Explain(ExplainRequest::default());
    let encoded = OperatorMessage::ask(5, request).encode_to_vec();
    let earlier = EarlierMessage::decode(&encoded[..]).unwrap();
    assert_eq!((earlier.id, earlier.request), (5, None));
}

#[test]
fn arbitrary_bytes_do_not_panic_the_decoders() {
    let property = |bytes: Vec<u8>| {
        prop_assert_ne!(outcome(&open(&key(1), &bytes)), "ok");
        let _ = Envelope::decode(&bytes[..]);
        let _ = OperatorMessage::decode(&bytes[..]);
        if let Ok(packet) = inner_packet(&bytes) {
            prop_assert_eq!(packet, &bytes[..]);
        }
        Ok(())
    };
    runner(8_192)
        .run(&vec(any::<u8>(), 0..200), property)
        .unwrap();
}

#[test]
fn corrupted_messages_do_not_panic_the_decoder() {
    let envelopes = envelopes();
    let corruptions = (any::<Index>(), vec((any::<Index>(), any::<u8>()), 1..8));
    let property = |(which, corruptions): (Index, Vec<(Index, u8)>)| {
        let mut bytes = which.get(&envelopes).encode_to_vec();
        for (index, byte) in corruptions {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        if let Ok(read) = Envelope::decode(&bytes[..]) {
            prop_assert!(
                read.encoded_len() <= 4 * bytes.len(),
                "the decoded size should be bounded by the input size"
            );
        }
        Ok(())
    };
    runner(8_192).run(&corruptions, property).unwrap();
}

#[test]
fn declared_lengths_beyond_the_input_are_rejected() {
    // Lengths far beyond the end of the input, and endlessly nested groups.
    let inputs: Vec<Vec<u8>> = vec![
        vec![0x62, 0xff, 0xff, 0xff, 0xff, 0x0f],
        vec![0x72, 0x80, 0x80, 0x80, 0x80, 0x08],
        [0x5b; 4_096].to_vec(),
        vec![0xff; 64],
    ];
    for input in inputs {
        assert!(Envelope::decode(&input[..]).is_err(), "{input:02x?}");
    }
    let rows = MembersReply::decode(&[0x0a, 0x00].repeat(500)[..]).unwrap();
    assert_eq!(rows.rows.len(), 500, "each entry needs at least two bytes");
}

#[test]
fn only_ip_packets_within_the_size_limits_are_accepted() {
    let packet = |first: u8, length: usize| vec![first; length];
    let rows: Vec<(Vec<u8>, Expect)> = vec![
        (packet(0x45, 20), expect!["20 bytes"]),
        (packet(0x60, 40), expect!["40 bytes"]),
        (packet(0x45, MAX_DATAGRAM_BYTES), expect!["9216 bytes"]),
        (
            packet(0x45, 0),
            expect!["a message of 0 bytes is too short"],
        ),
        (
            packet(0x45, 19),
            expect!["a message of 19 bytes is too short"],
        ),
        (
            packet(0x60, 39),
            expect!["a message of 39 bytes is too short"],
        ),
        (
            packet(0x45, MAX_DATAGRAM_BYTES + 1),
            expect!["a message of 9217 bytes is over the limit of 9216"],
        ),
        (
            packet(0x00, 40),
            expect!["the datagram starts with 0x00, which is no IP packet"],
        ),
        (
            packet(0x50, 40),
            expect!["the datagram starts with 0x50, which is no IP packet"],
        ),
        (
            packet(0xf0, 40),
            expect!["the datagram starts with 0xf0, which is no IP packet"],
        ),
    ];
    for (datagram, expected) in rows {
        let actual = match inner_packet(&datagram) {
            Ok(packet) => format!("{} bytes", packet.len()),
            Err(error) => error.to_string(),
        };
        expected.assert_eq(&actual);
    }
}
