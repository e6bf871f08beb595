//! Property tests under random faults and random bytes, with fixed seeds.

use std::time::Duration;

use buckthornweir_quorum::messages::{Campaign, Kind, Message};
use buckthornweir_quorum::prelude::*;
use buckthornweir_quorum::storage::decode_frame;
use buckthornweir_quorum::{Payload, Snapshot};
use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as RunConfig, RngAlgorithm, TestRng, TestRunner};

use crate::disk::FakeDisk;
use crate::harness::{Answer, Harness, bundle, push};

const SECOND: Duration = Duration::from_secs(1);

fn runner(cases: u32, seed: u8) -> TestRunner {
    let config = RunConfig {
        cases,
        failure_persistence: None,
        ..RunConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(config, rng)
}

#[derive(Debug, Clone)]
enum Step {
    Run(u64),
    Push(usize, u64, u8),
    Restart(usize),
    Kill(usize),
    Start(usize),
    Isolate(usize),
    Reconnect,
    LoseDisk(usize),
    Transfer,
    RotateQueue(usize),
    Change(usize, usize),
}

fn step(count: usize) -> impl Strategy<Value = Step> {
    let vm = 0..count;
    prop_oneof![
        4 => (1..40_u64).prop_map(Step::Run),
        4 => (vm.clone(), 1..30_u64, 1..4_u8).prop_map(|(at, v, m)| Step::Push(at, v, m)),
        1 => vm.clone().prop_map(Step::Restart),
        1 => vm.clone().prop_map(Step::Kill),
        1 => vm.clone().prop_map(Step::Start),
        1 => vm.clone().prop_map(Step::Isolate),
        2 => Just(Step::Reconnect),
        1 => vm.clone().prop_map(Step::LoseDisk),
        1 => Just(Step::Transfer),
        1 => (1..5_usize).prop_map(Step::RotateQueue),
    ]
}

/// Returns whether all VMs run, are voters, are not isolated and have the same commit index, and no
/// member change is pending. One VM may then lose its disk without data loss.
fn is_fully_replicated(harness: &Harness) -> bool {
    let leader = harness.leader();
    let voters: Vec<_> = harness.vms.iter().map(|vm| vm.id).collect();
    leader.is_some_and(|leader| {
        let core = harness.core(leader);
        let agreed = voters.iter().all(|id| core.members().is_voter(*id));
        let stored = harness.vms.iter().all(|vm| {
            vm.core
                .as_ref()
                .is_some_and(|c| c.commit() == core.commit())
        });
        agreed && stored && harness.isolated.is_empty() && !core.has_pending_change()
    })
}

fn apply(harness: &mut Harness, step: &Step, token: u64) {
    match *step {
        Step::Run(tenths) => {
            harness.rejoin();
            harness.run(Duration::from_millis(tenths * 100));
        }
        Step::Push(at, version, variant) => {
            let at = harness.leader().unwrap_or(at);
            harness.act(at, |core, now| {
                core.propose(now, token, push(version, variant))
            });
        }
        Step::Restart(at) => harness.restart(at),
        Step::Kill(at) => harness.kill(at),
        Step::Start(at) if harness.vms[at].core.is_none() => assert!(harness.start(at)),
        Step::Start(_) => {}
        Step::Isolate(at) => drop(harness.isolated.insert(at)),
        Step::Reconnect => harness.isolated.clear(),
        Step::LoseDisk(at) => {
            let via = (0..harness.vms.len()).find(|via| *via != at);
            if let Some(via) = via.filter(|_| is_fully_replicated(harness)) {
                harness.lose_disk(at, via);
            }
        }
        Step::Transfer => {
            if let Some(leader) = harness.leader() {
                harness.act(leader, Core::transfer);
            }
        }
        Step::Change(kind, at) => {
            let (id, address) = (harness.vms[at].id, harness.vms[at].address.as_str().into());
            let change = match kind {
                0 => MemberChange::AddLearner { id, address },
                1 => MemberChange::Promote { id },
                _ => MemberChange::Remove { id },
            };
            if let Some(leader) = harness.leader() {
                harness.act(leader, |core, now| core.change_members(now, token, change));
            }
        }
        Step::RotateQueue(by) => {
            let by = by.min(harness.queue.len());
            harness.queue.rotate_left(by);
        }
    }
}

/// Asserts that all answers to pushes still hold at every member.
fn check_answers(harness: &mut Harness, steps: &[Step]) {
    for at in 0..harness.vms.len() {
        if harness.vms[at].core.is_none() {
            assert!(harness.start(at));
        }
    }
    harness.isolated.clear();
    harness.rejoin();
    harness.run(20 * SECOND);
    harness.push_until_accepted(1000, 1);
    harness.run(10 * SECOND);
    harness.assert_newest_version(1000);
    for (token, step) in (1..).zip(steps) {
        let Step::Push(_, version, variant) = step else {
            continue;
        };
        for answer in harness.answers.get(&token).into_iter().flatten() {
            let Answer::Push(result) = answer else {
                continue;
            };
            for at in 0..harness.vms.len() {
                let held = harness.core(at).bundles().digest_of(*version);
                match result {
                    PushResult::Conflict { winner, .. } => assert_eq!(held, Some(*winner)),
                    PushResult::Stale { .. } => assert_ne!(held, Some([*variant; 32])),
                    _ => assert_eq!(held, Some([*variant; 32]), "accepted {version} was lost"),
                }
            }
        }
    }
}

fn check_under_faults(count: usize, cases: u32, seed: u8) {
    let steps = vec(step(count), 1..60);
    let outcome = runner(cases, seed).run(&steps, |steps| {
        let config = Config::default().with_compaction(6, usize::MAX);
        let mut harness = Harness::with_config(count, config);
        let mut highest_seen = vec![0; count];
        for (token, step) in (1..).zip(&steps) {
            apply(&mut harness, step, token);
            for (at, highest_seen) in highest_seen.iter_mut().enumerate() {
                if matches!(step, Step::LoseDisk(lost) if *lost == at) {
                    *highest_seen = 0;
                }
                if harness.vms[at].core.is_some() {
                    assert!(
                        harness.newest_version(at) >= *highest_seen,
                        "VM {at} reverts to an older version"
                    );
                    *highest_seen = harness.newest_version(at);
                }
            }
        }
        check_answers(&mut harness, &steps);
        Ok(())
    });
    outcome.expect("every run keeps the invariants");
}

fn change_step(count: usize) -> impl Strategy<Value = Step> {
    let change = (0..3_usize, 0..count).prop_map(|(kind, at)| Step::Change(kind, at));
    prop_oneof![3 => step(count), 2 => change]
}

/// Returns whether a step may occur in runs with member changes.
fn keeps_disks(step: &Step) -> bool {
    !matches!(step, Step::LoseDisk(_))
}

/// Asserts that all current members agree on the members and the newest version.
fn check_members(harness: &mut Harness) {
    for at in 0..harness.vms.len() {
        if harness.vms[at].core.is_none() {
            assert!(harness.start(at));
        }
    }
    harness.isolated.clear();
    harness.run(20 * SECOND);
    harness.push_until_accepted(1000, 1);
    harness.run(10 * SECOND);
    let leader = harness.wait_for_leader();
    let members = harness.core(leader).members().clone();
    for at in 0..harness.vms.len() {
        if members.get(harness.vms[at].id).is_some() {
            assert_eq!(harness.newest_version(at), 1000, "VM {at}");
            assert_eq!(harness.core(at).members(), &members, "VM {at}");
        }
    }
}

#[test]
fn member_changes_keep_the_invariants() {
    let steps = vec(change_step(5).prop_filter("disks stay", keeps_disks), 1..60);
    let outcome = runner(200, 7).run(&steps, |steps| {
        let config = Config::default().with_compaction(6, usize::MAX);
        let mut harness = Harness::with_config(3, config);
        harness.add_vm();
        harness.add_vm();
        for (token, step) in (1..).zip(&steps) {
            apply(&mut harness, step, token);
        }
        check_members(&mut harness);
        Ok(())
    });
    outcome.expect("every run keeps the invariants");
}

#[test]
fn three_members_keep_the_invariants_under_random_faults() {
    check_under_faults(3, 400, 3);
}

#[test]
fn five_members_keep_the_invariants_under_random_faults() {
    check_under_faults(5, 200, 5);
}

fn sample_messages() -> Vec<Bytes> {
    let mut harness = Harness::founded(3);
    let mut seen = Vec::new();
    for version in 1..=3 {
        let leader = harness.wait_for_leader();
        harness.act(leader, |core, now| {
            core.propose(now, version, push(version, 1))
        });
        seen.extend(
            harness
                .queue
                .iter()
                .map(|(_, _, message)| message.to_bytes()),
        );
        harness.kill(leader);
        assert!(harness.start(leader));
        harness.now += 3 * SECOND;
        harness.act(leader, Core::tick);
        seen.extend(
            harness
                .queue
                .iter()
                .map(|(_, _, message)| message.to_bytes()),
        );
        harness.deliver();
    }
    assert!(seen.len() > 4);
    seen
}

fn decode_all(data: &[u8]) {
    let bytes = Bytes::copy_from_slice(data);
    let _ = Message::from_bytes(bytes.clone());
    let _ = Presence::from_bytes(bytes.clone());
    let _ = Bundles::decode(bytes.clone());
    let _ = Snapshot::decode(bytes);
    let _ = Payload::decode(data);
    let _ = decode_frame(data);
}

#[test]
fn decoders_accept_arbitrary_bytes_without_panic() {
    let random = vec(any::<u8>(), 0..300);
    runner(2000, 1)
        .run(&random, |data| {
            decode_all(&data);
            Ok(())
        })
        .expect("no panic");
}

#[test]
fn decoders_and_cores_handle_mutated_messages_without_panic() {
    let samples = sample_messages();
    let edits = (
        any::<prop::sample::Index>(),
        vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
    );
    let mut core = Core::new(Config::default(), Restored::blank(1), 1, Duration::ZERO);
    let members = [1, 2, 3].map(|id| Member::voter(id, "192.0.2.1:7000"));
    core.found(
        Duration::ZERO,
        Founding {
            cluster: 77,
            members: Members::new(members),
            floor: 0,
        },
    );
    let outcome = runner(2000, 2).run(&edits, |(sample, edits)| {
        let mut data = sample.get(&samples).to_vec();
        for (at, byte) in edits {
            let at = at.index(data.len());
            data[at] = byte;
        }
        decode_all(&data);
        if let Ok(mut message) = Message::from_bytes(data.into()) {
            let mut core = core.clone();
            message.to = 1;
            message.cluster = 77;
            core.handle(SECOND, 2, message);
            core.tick(10 * SECOND);
        }
        Ok(())
    });
    outcome.expect("no panic");
}

#[test]
fn decoders_reject_oversized_input() {
    let large = vec![0_u8; 9 * 1024 * 1024];
    assert!(Message::from_bytes(large.clone().into()).is_err());
    assert!(Snapshot::decode(large.clone().into()).is_err());
    assert!(Presence::from_bytes(large.clone().into()).is_err());
    assert!(Payload::decode(&large).is_err());
    let limit = buckthornweir_quorum::MAX_BUNDLE_BYTES;
    let over = Bundle {
        bytes: vec![0; limit + 1],
        ..bundle(1, 1)
    };
    assert!(Payload::decode(&Payload::Command(Command::Push(over)).encode()).is_err());
}

#[test]
fn decoders_reject_counts_that_could_overflow() {
    let message = |term| Message {
        cluster: 7,
        to: 1,
        term,
        kind: Some(Kind::Campaign(Campaign {})),
    };
    assert!(Message::from_bytes(message(1).to_bytes()).is_ok());
    assert!(Message::from_bytes(message(u64::MAX).to_bytes()).is_err());
    let snapshot = |index, term| Snapshot {
        cluster: 7,
        index,
        term,
        ..Snapshot::default()
    };
    assert!(Snapshot::decode(snapshot(1, 1).encode()).is_ok());
    assert!(Snapshot::decode(snapshot(u64::MAX, 1).encode()).is_err());
    assert!(Snapshot::decode(snapshot(1, u64::MAX).encode()).is_err());
}

#[test]
fn folder_with_mutated_bytes_opens() {
    let edits = (
        0..3_usize,
        any::<prop::sample::Index>(),
        any::<u8>(),
        any::<bool>(),
    );
    let outcome = runner(500, 4).run(&edits, |(file, at, byte, cut)| {
        let disk = FakeDisk::default();
        let (mut storage, _) = Storage::open_on(Box::new(disk.clone()), 1).expect("empty folder");
        for term in 1..5 {
            storage
                .persist(&[Record::Vote { term, vote: None }])
                .expect("working disk");
        }
        drop(storage);
        disk.edit(["identity", "log-", "lock"][file], |data| {
            let at = at.index(data.len());
            match cut {
                true => data.truncate(at),
                false => data[at] = byte,
            }
        });
        let (_, restored) = Storage::open_on(Box::new(disk), 9).expect("disk works");
        prop_assert!(restored.id == 9 || restored.term <= 4);
        Ok(())
    });
    outcome.expect("every folder opens");
}
