//! Elections and replication without faults.

use std::time::Duration;

use buckthornweir_quorum::prelude::*;

use crate::bench::{Answer, Bench, push};

#[test]
fn every_size_elects_and_replicates() {
    for count in [1, 3, 5, 7] {
        let mut bench = Bench::founded(count);
        let leader = bench.elect();
        let answers = bench.push_at(leader, 1, push(1, 7));
        assert_eq!(answers, [Answer::Push(PushResult::Accepted { version: 1 })]);
        bench.run(Duration::from_secs(1));
        bench.assert_all(1);
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
    let mut bench = Bench::founded(3);
    let leader = bench.elect();
    for (token, (version, mark, expected)) in (1..).zip(table) {
        let answers = bench.push_at(leader, token, push(version, mark));
        assert_eq!(answers, [Answer::Push(expected)], "step {token}");
    }
}

#[test]
fn largest_bundle_arrives_in_parts() {
    let mut bench = Bench::founded(3);
    let leader = bench.elect();
    let bytes = vec![3; buckthornweir_quorum::BUNDLE_LIMIT];
    let command = Command::Push(Bundle {
        version: 1,
        digest: [3; 32],
        bytes,
    });
    let answers = bench.push_at(leader, 1, command);
    assert_eq!(answers, [Answer::Push(PushResult::Accepted { version: 1 })]);
    bench.run(Duration::from_secs(1));
    bench.assert_all(1);
}

#[test]
fn folder_stays_in_proportion_to_the_newest_bundles() {
    const SIZE: usize = 300_000;
    let mut bench = Bench::founded(3);
    for version in 1..=60 {
        let leader = bench.elect();
        let bytes = vec![3; SIZE];
        let command = Command::Push(Bundle {
            version,
            digest: [3; 32],
            bytes,
        });
        bench.push_at(leader, version, command);
        bench.run(Duration::from_millis(300));
        for vm in &bench.vms {
            let held = vm.storage.as_ref().map_or(0, Storage::segment_bytes);
            assert!(held <= 4 * 1024 * 1024 + SIZE as u64, "{held} bytes");
        }
    }
    bench.assert_all(60);
}

#[test]
fn too_large_a_bundle_is_answered_at_once() {
    let mut bench = Bench::founded(3);
    let leader = bench.elect();
    let limit = buckthornweir_quorum::BUNDLE_LIMIT;
    let command = Command::Push(Bundle {
        version: 1,
        digest: [3; 32],
        bytes: vec![0; limit + 1],
    });
    let answers = bench.push_at(leader, 1, command);
    assert_eq!(answers, [Answer::Rejected(Reject::TooLarge { limit })]);
}

#[test]
fn follower_names_the_leader() {
    let mut bench = Bench::founded(3);
    let leader = bench.elect();
    bench.run(Duration::from_secs(1));
    let answers = bench.push_at((leader + 1) % 3, 1, push(1, 1));
    let id = bench.vms[leader].id;
    assert_eq!(
        answers,
        [Answer::Rejected(Reject::NotLeader { leader: id })]
    );
}

#[test]
fn push_during_a_heartbeat_doesnt_wait_for_the_next() {
    let mut bench = Bench::founded(3);
    let leader = bench.elect();
    bench.run(Duration::from_secs(1));
    bench.now += Duration::from_millis(300);
    bench.act(leader, Core::tick);
    assert!(!bench.queue.is_empty(), "a heartbeat is under way");
    let answers = bench.push_at(leader, 1, push(1, 7));
    assert_eq!(answers, [Answer::Push(PushResult::Accepted { version: 1 })]);
    bench.assert_all(1);
}
