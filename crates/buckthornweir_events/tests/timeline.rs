//! The timeline for arbitrary clocks, messages, threads and partial journals.

use std::thread;
use std::time::Duration;

use buckthornweir_events::prelude::*;
use buckthornweir_events::{Clock, Filter, MAX_DRIFT, merge};
use expect_test::expect;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[53; 32]);
    let config = Config {
        cases: 512,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

/// Returns one event of each kind.
fn kinds() -> Vec<EventKind> {
    use EventKind::*;
    let (version, term) = (u64::MAX, 3);
    let domain = || "fj-west-a".into();
    let (state, reason) = (|| "cold".into(), || "a \"quoted\" reason".into());
    vec![
        Started,
        Stopping,
        Stopped,
        BundleApplied { version },
        BundleRefused {
            version,
            reason: reason(),
        },
        DomainOut { domain: domain() },
        DomainBack { domain: domain() },
        MemberChanged {
            member: "agent-1".into(),
            state: state(),
        },
        RoleChanged {
            role: "leader".into(),
            term,
        },
        LinkLost {
            peer: "10.0.0.1:7000".into(),
        },
        BackendChanged { state: state() },
        FlowReset {
            flow: "f".into(),
            reason: reason(),
        },
        FlowsMoved {
            count: 3,
            to: "agent-2".into(),
        },
        RequestEnded {
            request: "r".into(),
            reason: reason(),
        },
    ]
}

fn event(millis: u64, node: &str, kind: EventKind) -> Event {
    Event {
        stamp: Stamp { millis, counter: 0 },
        node: node.into(),
        kind,
    }
}

#[test]
fn each_event_kind_round_trips_through_json_under_its_name() {
    let names: Vec<&str> = kinds().iter().map(EventKind::name).collect();
    assert_eq!(names, EventKind::NAMES);
    for kind in kinds() {
        let sent = event(1, "one", kind);
        let text = serde_json::to_string(&sent).unwrap();
        let tag = format!("\"kind\":{{\"kind\":\"{}\"", sent.kind.name());
        assert!(text.contains(&tag), "{text}");
        assert_eq!(serde_json::from_str::<Event>(&text).unwrap(), sent);
    }
    let malformed = [
        "",
        "{}",
        "[1]",
        r#"{"stamp":{"millis":-1,"counter":0},"node":"a","kind":{"kind":"started"}}"#,
        r#"{"stamp":{"millis":1,"counter":0},"node":"a","kind":{"kind":"new"}}"#,
    ];
    for text in malformed {
        assert!(serde_json::from_str::<Event>(text).is_err(), "{text}");
    }
}

/// One step of the property test: the sender and the receiver among three clocks, and the time in
/// milliseconds to which the sender's wall clock jumps before the message.
type Step = (usize, usize, u64);

#[test]
fn stamps_increase_and_follow_messages_for_arbitrary_wall_clocks() {
    let limit = u64::try_from(MAX_DRIFT.as_millis()).unwrap();
    let steps = vec((0..3_usize, 0..3_usize, 0..3 * limit), 1..60);
    let property = |steps: Vec<Step>| {
        let mut clocks = [(); 3].map(|()| Clock::default());
        let mut walls = [Duration::ZERO; 3];
        let mut last = [Stamp::default(); 3];
        for (from, to, wall) in steps {
            walls[from] = Duration::from_millis(wall);
            let sent = clocks[from].stamp(walls[from]);
            prop_assert!(sent > last[from], "the sender's stamps should increase");
            last[from] = sent;
            let followed = clocks[to].observe(walls[to], sent);
            let ahead = sent
                .millis
                .saturating_sub(u64::try_from(walls[to].as_millis()).unwrap());
            prop_assert_eq!(followed, ahead <= limit);
            let next = clocks[to].stamp(walls[to]);
            prop_assert!(next > last[to], "the receiver's stamps should increase");
            prop_assert!(
                !followed || next > sent,
                "a stamp after a received message should be later than that of the message"
            );
            last[to] = next;
        }
        Ok(())
    };
    runner().run(&steps, property).unwrap();
}

#[test]
fn clock_handles_extreme_stamps_and_wall_times() {
    let mut clock = Clock::default();
    let max = Stamp {
        millis: u64::MAX,
        counter: u32::MAX,
    };
    assert!(!clock.observe(Duration::ZERO, max));
    let last = Stamp {
        millis: 10,
        counter: u32::MAX,
    };
    assert!(clock.observe(Duration::ZERO, last));
    assert_eq!(
        clock.stamp(Duration::ZERO),
        Stamp {
            millis: 11,
            counter: 0
        }
    );
    assert!(clock.observe(
        Duration::MAX,
        Stamp {
            millis: 1 << 40,
            counter: 0
        }
    ));
}

#[test]
fn journal_keeps_limit_and_order_under_concurrent_writes() {
    let journal = Journal::new("one", 100);
    thread::scope(|scope| {
        for thread in 0..8 {
            let journal = &journal;
            scope.spawn(move || {
                for number in 0..200 {
                    let wall = Duration::from_millis(number * thread % 7);
                    let version = 1_000 * thread + number;
                    journal.record(wall, EventKind::BundleApplied { version });
                    journal.observe(wall, journal.stamp(wall));
                }
            });
        }
    });
    let events = journal.since(Stamp::default());
    assert_eq!(events.len(), 100);
    assert!(events.windows(2).all(|pair| pair[0].stamp < pair[1].stamp));
    let single = Journal::new("one", 0);
    single.record(Duration::ZERO, EventKind::Started);
    single.record(Duration::ZERO, EventKind::Stopped);
    assert_eq!(single.since(Stamp::default()).len(), 1);
}

#[test]
fn merge_ignores_order_and_overlap_of_parts() {
    let events = (0_u64..20, 0..3_usize, 0..14_usize).prop_map(|(millis, node, kind)| {
        event(
            millis,
            ["one", "two", "three"][node],
            kinds().swap_remove(kind),
        )
    });
    let parts = (vec(events, 0..30), 0..30_usize, 0..30_usize);
    let property = |(events, a, b): (Vec<Event>, usize, usize)| {
        let (a, b) = (a.min(events.len()), b.min(events.len()));
        let (low, high) = (a.min(b), a.max(b));
        let whole = merge([events.clone()]);
        let overlapping = merge([events[low..].to_vec(), events[..high].to_vec()]);
        let mut reversed = events;
        reversed.reverse();
        prop_assert_eq!(&whole, &overlapping);
        prop_assert_eq!(&whole, &merge([Vec::new(), reversed]));
        prop_assert!(whole.windows(2).all(|pair| pair[0] < pair[1]));
        Ok(())
    };
    runner().run(&parts, property).unwrap();
}

#[test]
fn filter_selects_matching_events() {
    let journal = Journal::new("one", 100);
    for (number, kind) in kinds().into_iter().enumerate() {
        journal.record(Duration::from_millis(number as u64), kind);
    }
    let rows = [
        (0, "", "", expect!["14"]),
        (11, "", "", expect!["flows-moved, request-ended"]),
        (0, "domain-out", "", expect!["domain-out"]),
        (0, "", "f", expect!["flow-reset"]),
        (0, "flows-moved", "", expect!["flows-moved"]),
        (0, "flows-moved", "f", expect![""]),
        (0, "unknown", "", expect![""]),
        (99, "", "", expect![""]),
    ];
    for (millis, kind, subject, expected) in rows {
        let filter = Filter {
            since: Stamp { millis, counter: 0 },
            kind: kind.into(),
            subject: subject.into(),
        };
        let events = journal.matching(&filter);
        let names: Vec<&str> = events.iter().map(|e| e.kind.name()).collect();
        let actual = match names.len() {
            14 => "14".to_owned(),
            _ => names.join(", "),
        };
        expected.assert_eq(&actual);
    }
}
