//! Elections and replication without faults.

use std::time::Duration;

use buckthornweir_quorum::prelude::*;

use crate::harness::{Answer, Harness, push};

#[test]
fn clusters_of_each_size_elect_and_replicate() {
    for count in [1, 3, 5, 7] {
        let mut harness = Harness::founded(count);
        let leader = harness.wait_for_leader();
        let answers = harness.push_at(leader, 1, push(1, 7));
        assert_eq!(answers, [Answer::Push(PushResult::Accepted { version: 1 })]);
        harness.run(Duration::from_secs(1));
        harness.assert_newest_version(1);
    }
}

#[test]
fn push_is_compare_and_set_on_the_version() {
    let table = [
        (5, 1, PushResult::Accepted { version: 5 }),
        (5, 1, PushResult::Same { version: 5 }),
        (
            5,
            2,
            PushResult::Conflict {
                version: 5,
                winner: [1; 32],
            },
        ),
        (4, 1, PushResult::Stale { newest: 5 }),
        (9, 3, PushResult::Accepted { version: 9 }),
        (5, 1, PushResult::Same { version: 5 }),
        (
            5,
            2,
            PushResult::Conflict {
                version: 5,
                winner: [1; 32],
            },
        ),
        (7, 1, PushResult::Stale { newest: 9 }),
    ];
    let mut harness = Harness::founded(3);
    let leader = harness.wait_for_leader();
    for (token, (version, variant, expected)) in (1..).zip(table) {
        let answers = harness.push_at(leader, token, push(version, variant));
        assert_eq!(answers, [Answer::Push(expected)], "step {token}");
    }
}

#[test]
fn largest_bundle_is_replicated_in_parts() {
    let mut harness = Harness::founded(3);
    let leader = harness.wait_for_leader();
    let bytes = vec![3; buckthornweir_quorum::MAX_BUNDLE_BYTES];
    let command = Command::Push(Bundle {
        version: 1,
        digest: [3; 32],
        bytes,
    });
    let answers = harness.push_at(leader, 1, command);
    assert_eq!(answers, [Answer::Push(PushResult::Accepted { version: 1 })]);
    harness.run(Duration::from_secs(1));
    harness.assert_newest_version(1);
}

#[test]
fn segment_size_stays_bounded_over_many_pushes() {
    const SIZE: usize = 300_000;
    let mut harness = Harness::founded(3);
    for version in 1..=60 {
        let leader = harness.wait_for_leader();
        let bytes = vec![3; SIZE];
        let command = Command::Push(Bundle {
            version,
            digest: [3; 32],
            bytes,
        });
        harness.push_at(leader, version, command);
        harness.run(Duration::from_millis(300));
        for vm in &harness.vms {
            let held = vm.storage.as_ref().map_or(0, Storage::segment_bytes);
            assert!(held <= 4 * 1024 * 1024 + SIZE as u64, "{held} bytes");
        }
    }
    harness.assert_newest_version(60);
}

#[test]
fn oversized_bundle_is_rejected_at_once() {
    let mut harness = Harness::founded(3);
    let leader = harness.wait_for_leader();
    let limit = buckthornweir_quorum::MAX_BUNDLE_BYTES;
    let command = Command::Push(Bundle {
        version: 1,
        digest: [3; 32],
        bytes: vec![0; limit + 1],
    });
    let answers = harness.push_at(leader, 1, command);
    assert_eq!(answers, [Answer::Rejected(Reject::TooLarge { limit })]);
}

#[test]
fn follower_rejects_a_push_with_the_leader_id() {
    let mut harness = Harness::founded(3);
    let leader = harness.wait_for_leader();
    harness.run(Duration::from_secs(1));
    let answers = harness.push_at((leader + 1) % 3, 1, push(1, 1));
    let id = harness.vms[leader].id;
    assert_eq!(
        answers,
        [Answer::Rejected(Reject::NotLeader { leader: id })]
    );
}

#[test]
fn push_during_a_heartbeat_does_not_wait_for_the_next() {
    let mut harness = Harness::founded(3);
    let leader = harness.wait_for_leader();
    harness.run(Duration::from_secs(1));
    harness.now += Duration::from_millis(300);
    harness.act(leader, Core::tick);
    assert!(!harness.queue.is_empty(), "a heartbeat is in flight");
    let answers = harness.push_at(leader, 1, push(1, 7));
    assert_eq!(answers, [Answer::Push(PushResult::Accepted { version: 1 })]);
    harness.assert_newest_version(1);
}
