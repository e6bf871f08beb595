//! Tests of the decoder with generated and invalid input, using fixed seeds.

use buckthornweir_members::messages::wire::{Body as WireBody, Datagram, Fetch};
use buckthornweir_members::messages::{
    Body, Header, MAX_DATAGRAM_BYTES, MAX_ENTRIES, MessageError, Profile, RecordVersion, Rumour,
};
use buckthornweir_members::prelude::*;
use buckthornweir_members::record::{MAX_INCARNATION, MAX_TEXT_BYTES};
use expect_test::expect;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use prost::Message as _;

use crate::simulation::{address, record, stamp};

fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}

fn header() -> Header {
    Header {
        node: 1,
        instance: 2,
        incarnation: 3,
        state: MemberState::Ready,
        weight: 16,
        free: 4,
        bundle: stamp(9),
        table: 5,
    }
}

fn rumour() -> impl Strategy<Value = Rumour> {
    let health = prop_oneof![
        Just(Health::Alive),
        Just(Health::Suspect),
        Just(Health::Dead)
    ];
    let state = prop_oneof![
        Just(MemberState::Cold),
        Just(MemberState::Ready),
        Just(MemberState::Draining),
        Just(MemberState::Left)
    ];
    let profile = proptest::option::of(("[a-z0-9-]{0,64}", 0_u8..8, any::<bool>()));
    let numbers = (
        any::<u64>(),
        any::<u32>(),
        0..=MAX_INCARNATION,
        0_u8..=16,
        any::<u32>(),
    );
    (numbers, health, state, profile).prop_map(|(numbers, health, state, profile)| {
        let (node, instance, incarnation, weight, free) = numbers;
        let profile = profile.map(|(text, roles, moved)| Profile {
            name: text.as_str().into(),
            roles: Roles::from_bits(roles).unwrap_or_default(),
            domain: text.as_str().into(),
            service: text.as_str().into(),
            gossip: address(1),
            flows: if moved {
                "[::1]:9".parse().expect("an address")
            } else {
                address(1)
            },
            control: address(2),
        });
        Rumour {
            node,
            instance,
            incarnation,
            health,
            state,
            weight,
            free,
            profile,
        }
    })
}

fn body() -> impl Strategy<Value = Body> {
    let versions = (any::<u64>(), 0..=MAX_INCARNATION, any::<bool>());
    let versions = versions.prop_map(|(node, incarnation, dead)| RecordVersion {
        node,
        incarnation,
        dead,
    });
    let numbers = (any::<u32>(), any::<u64>(), any::<bool>());
    prop_oneof![
        any::<u32>().prop_map(|sequence| Body::Ping { sequence }),
        any::<u32>().prop_map(|sequence| Body::Ack { sequence }),
        numbers.prop_map(|(sequence, target, _)| Body::IndirectPing { sequence, target }),
        numbers.prop_map(|(sequence, target, reached)| {
            Body::IndirectAck {
                sequence,
                target,
                reached,
            }
        }),
        Just(Body::Gossip),
        prop::collection::vec(any::<u64>(), 0..40).prop_map(|nodes| Body::Want { nodes }),
        prop::collection::vec(any::<u32>(), 0..=256).prop_map(|buckets| Body::Digest { buckets }),
        prop::collection::vec(any::<u8>(), 0..=256).prop_map(|buckets| Body::Differ { buckets }),
        (
            any::<u32>(),
            any::<Vec<u8>>(),
            prop::collection::vec(versions, 0..40)
        )
            .prop_map(|(sequence, buckets, versions)| Body::Fetch {
                sequence,
                buckets,
                versions
            }),
        (any::<u32>(), any::<bool>()).prop_map(|(sequence, more)| Body::Chunk { sequence, more }),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    let lists = [0; 2].map(|_| prop::collection::vec(any::<u32>(), 0..64));
    let parts = (prop::collection::vec(rumour(), 0..6), lists, body());
    parts.prop_map(|(rumours, [deaths, refutations], body)| Message {
        header: header(),
        rumours,
        deaths,
        refutations,
        body,
    })
}

#[test]
fn message_round_trips_through_encoding() {
    let result = runner(512).run(&message(), |message| {
        let bytes = message.encode();
        prop_assert_eq!(bytes.len(), message.encoded_len());
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            prop_assert_eq!(Message::decode(&bytes), Ok(message));
        }
        Ok(())
    });
    result.expect("every message decodes to itself");
}

#[test]
fn random_bytes_never_panic_decoder() {
    let bytes = prop::collection::vec(any::<u8>(), 0..2_000);
    let result = runner(4_096).run(&bytes, |bytes| {
        let _ = Message::decode(&bytes);
        Ok(())
    });
    result.expect("no input panics");
}

#[test]
fn corrupted_messages_never_panic_core() {
    let changes = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..8);
    let result = runner(2_048).run(
        &(message(), changes, any::<u16>()),
        |(message, changes, truncation)| {
            let mut bytes = message.encode();
            for (at, value) in changes {
                let at = at.index(bytes.len());
                bytes[at] = value;
            }
            bytes.truncate(bytes.len() - usize::from(truncation) % 4);
            if let Ok(message) = Message::decode(&bytes) {
                let mut members =
                    Members::new(Config::default(), record(1, 3), vec![address(2)], 1);
                let mut actions =
                    members.handle(crate::simulation::seconds(1.0), address(3), message);
                actions.extend(members.tick(crate::simulation::seconds(1.1)));
                for action in actions {
                    if let Action::Send { message, .. } = action {
                        prop_assert!(message.encode().len() <= 1_200);
                    }
                }
            }
            Ok(())
        },
    );
    result.expect("no input panics");
}

/// Returns the encoding of a valid message after a modification of its wire representation.
fn encode_altered(alter: impl FnOnce(&mut Datagram)) -> Vec<u8> {
    let rumours = vec![Rumour {
        node: 1,
        instance: 2,
        incarnation: 3,
        health: Health::Alive,
        state: MemberState::Ready,
        weight: 16,
        free: 4,
        profile: Some(Profile {
            name: "agent".into(),
            roles: Roles::AGENT | Roles::BALANCER,
            domain: "fj-west-a".into(),
            service: "orders".into(),
            gossip: address(1),
            flows: address(2),
            control: address(3),
        }),
    }];
    let body = Body::Fetch {
        sequence: 1,
        buckets: vec![1],
        versions: vec![RecordVersion {
            node: 1,
            incarnation: 2,
            dead: true,
        }],
    };
    let valid = Message {
        header: header(),
        rumours,
        deaths: vec![7],
        refutations: vec![8],
        body,
    }
    .encode();
    let mut datagram = Datagram::decode(valid.as_slice()).expect("a valid datagram");
    alter(&mut datagram);
    datagram.encode_to_vec()
}

fn profile(datagram: &mut Datagram) -> &mut buckthornweir_members::messages::wire::Profile {
    datagram.rumours[0].profile.as_mut().expect("a profile")
}

fn fetch(datagram: &mut Datagram) -> &mut Fetch {
    match &mut datagram.body {
        Some(WireBody::Fetch(fetch)) => fetch,
        _ => panic!("the body is a fetch"),
    }
}

#[test]
fn invalid_values_are_rejected_with_typed_errors() {
    type Alter = fn(&mut Datagram);
    let cases: [Alter; 18] = [
        |datagram| datagram.header = None,
        |datagram| datagram.body = None,
        |datagram| datagram.header.as_mut().expect("a header").digest = vec![1; 31],
        |datagram| datagram.header.as_mut().expect("a header").version = 0,
        |datagram| datagram.header.as_mut().expect("a header").incarnation = MAX_INCARNATION + 1,
        |datagram| datagram.header.as_mut().expect("a header").status = 17 << 4,
        |datagram| datagram.rumours[0].status = 3,
        |datagram| datagram.rumours[0].incarnation = u64::MAX,
        |datagram| datagram.rumours = vec![Default::default(); MAX_ENTRIES + 1],
        |datagram| datagram.deaths = vec![0; MAX_ENTRIES + 1],
        |datagram| datagram.refutations = vec![0; MAX_ENTRIES + 1],
        |datagram| profile(datagram).name = "x".repeat(MAX_TEXT_BYTES + 1),
        |datagram| profile(datagram).roles = 8,
        |datagram| profile(datagram).gossip.clear(),
        |datagram| profile(datagram).flows = vec![1],
        |datagram| fetch(datagram).buckets = vec![0; MAX_ENTRIES + 1],
        |datagram| fetch(datagram).dead.clear(),
        |datagram| fetch(datagram).incarnations[0] = u64::MAX,
    ];
    let mut errors = String::new();
    for alter in cases {
        let error = Message::decode(&encode_altered(alter)).expect_err("an invalid message");
        errors.push_str(&format!("{error}\n"));
    }
    assert!(Message::decode(&encode_altered(|_| ())).is_ok());
    let large = Message::decode(&[0; MAX_DATAGRAM_BYTES + 1]);
    assert_eq!(large, Err(MessageError::TooLarge(MAX_DATAGRAM_BYTES + 1)));
    expect![[r#"
        header is missing
        body is missing
        digest can't have 31 bytes
        version can't be 0
        invalid record: incarnation 4611686018427387905 exceeds 4611686018427387904
        invalid record: weight 17 exceeds 16
        health can't be 3
        invalid record: incarnation 18446744073709551615 exceeds 4611686018427387904
        rumours has 257 entries, more than 256
        deaths has 257 entries, more than 256
        refutations has 257 entries, more than 256
        invalid record: text of 65 bytes exceeds 64 bytes
        roles can't be 8
        gossip can't have 0 bytes
        flows can't have 1 bytes
        buckets has 257 entries, more than 256
        fetch has columns of different lengths
        invalid record: incarnation 18446744073709551615 exceeds 4611686018427387904
    "#]]
    .assert_eq(&errors);
}

#[test]
fn record_over_limit_fails_check() {
    assert!(record(1, 3).check().is_ok());
    let long = "x".repeat(MAX_TEXT_BYTES + 1);
    for record in [
        Record::new(1, &long, address(1)),
        record(1, 3).with_domain(&long),
        record(1, 3).with_service(&long),
        record(1, 3).with_weight(17),
        record(1, 3).with_incarnation(MAX_INCARNATION + 1),
    ] {
        assert!(record.check().is_err(), "{record:?}");
    }
}
