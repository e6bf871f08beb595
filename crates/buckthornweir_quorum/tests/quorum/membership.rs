//! Automatic member changes by the leader, and detection of the own removal.

use std::time::Duration;

use buckthornweir_quorum::messages::Kind;
use buckthornweir_quorum::{Config, Core, MemberChange};

use crate::harness::{Harness, STEP, push};

/// Advances the time; the leader makes the changes that its policy requires.
fn run_with_policy(harness: &mut Harness, time: Duration) {
    let end = harness.now + time;
    while harness.now < end {
        harness.run(STEP);
        for at in 0..harness.vms.len() {
            if harness.vms[at].core.is_none() {
                continue;
            }
            harness.change_by_policy(at);
        }
        harness.deliver();
    }
}

fn voters(harness: &mut Harness) -> Vec<String> {
    let leader = harness.wait_for_leader();
    let members = harness.core(leader).members();
    members.voters().map(|m| m.address.to_string()).collect()
}

#[test]
fn joining_vm_becomes_a_voter() {
    let mut harness = Harness::founded(5);
    harness.wait_for_leader();
    let new = harness.add_vm();
    harness.join(new, 0);
    run_with_policy(&mut harness, Duration::from_secs(3));
    assert_eq!(voters(&mut harness).len(), 6);
}

#[test]
fn joining_vm_replaces_a_lost_voter() {
    let mut harness = Harness::founded(5);
    let leader = harness.wait_for_leader();
    let lost = (leader + 1) % 5;
    harness.kill(lost);
    let new = harness.add_vm();
    harness.join(new, leader);
    run_with_policy(&mut harness, Duration::from_secs(6));
    let lost_address = harness.vms[lost].address.clone();
    let voters = voters(&mut harness);
    assert_eq!(voters.len(), 5, "{voters:?}");
    assert!(!voters.contains(&lost_address));
}

#[test]
fn briefly_silent_voter_is_kept() {
    let mut harness = Harness::founded(5);
    let leader = harness.wait_for_leader();
    harness.isolated.insert((leader + 1) % 5);
    run_with_policy(&mut harness, Duration::from_secs(2));
    harness.isolated.clear();
    run_with_policy(&mut harness, Duration::from_secs(3));
    assert_eq!(voters(&mut harness).len(), 5);
}

#[test]
fn lost_voters_are_removed_only_above_the_minimum() {
    let mut harness = Harness::founded(6);
    let leader = harness.wait_for_leader();
    let others: Vec<usize> = (0..6).filter(|at| *at != leader).collect();
    harness.kill(others[0]);
    harness.kill(others[1]);
    run_with_policy(&mut harness, Duration::from_secs(8));
    assert_eq!(
        voters(&mut harness).len(),
        5,
        "only one of the two lost voters is removed"
    );
}

#[test]
fn removed_vm_is_distinguished_from_a_lagging_one() {
    let mut harness = Harness::founded(6);
    let leader = harness.wait_for_leader();
    let removed = (leader + 1) % 6;
    harness.isolated.insert(removed);
    run_with_policy(&mut harness, Duration::from_secs(8));
    let id = harness.vms[removed].id;
    let index = harness.core(leader).commit();
    assert!(harness.core(leader).committed_members().get(id).is_none());
    assert!(harness.core(removed).is_expelled_at(index));
    // A lower index is no proof of removal, because that member may be the one that lags.
    assert!(!harness.core(removed).is_expelled_at(1));
    let blank = harness.add_vm();
    assert!(
        !harness.core(blank).is_expelled_at(index),
        "a VM without a log is not removed"
    );
}

/// Guards against a log that is lost for good when a VM is stopped as planned and two disks are lost
/// before the stopped VM counts as silent: with six voters, three can't be missed.
#[test]
fn log_survives_two_lost_disks_right_after_a_planned_stop() {
    for stops_leader in [false, true] {
        let mut harness = Harness::founded(6);
        harness.push_until_accepted(1, 1);
        let leader = harness.wait_for_leader();
        let stopped = if stops_leader {
            leader
        } else {
            (leader + 1) % 6
        };
        harness.act(stopped, Core::leave);
        harness.deliver();
        run_with_policy(&mut harness, Duration::from_millis(400));
        harness.kill(stopped);
        assert_eq!(voters(&mut harness).len(), 5, "leader: {stops_leader}");
        harness.push_until_accepted(2, 2);
        let leader = harness.wait_for_leader();
        let others = (0..6).filter(|at| *at != stopped && *at != leader);
        let lost: Vec<usize> = others.take(2).collect();
        for at in lost {
            harness.lose_disk(at, leader);
        }
        run_with_policy(&mut harness, Duration::from_secs(6));
        harness.push_until_accepted(3, 3);
        run_with_policy(&mut harness, Duration::from_secs(1));
        harness.assert_newest_version(3);
        assert_eq!(voters(&mut harness).len(), 5);
    }
}

#[test]
fn announced_stop_removes_no_voter_at_the_minimum() {
    let mut harness = Harness::founded(5);
    let leader = harness.wait_for_leader();
    let stopped = (leader + 1) % 5;
    harness.act(stopped, Core::leave);
    run_with_policy(&mut harness, Duration::from_secs(1));
    harness.restart(stopped);
    run_with_policy(&mut harness, Duration::from_secs(3));
    assert_eq!(voters(&mut harness).len(), 5);
}

#[test]
fn caught_up_learner_replaces_a_voter_that_announces_its_stop() {
    let mut harness = Harness::founded(5);
    let leader = harness.wait_for_leader();
    let stopped = (leader + 1) % 5;
    let new = harness.add_vm();
    harness.join(new, leader);
    harness.act(stopped, Core::leave);
    run_with_policy(&mut harness, Duration::from_millis(700));
    let voters = voters(&mut harness);
    assert_eq!(voters.len(), 5, "{voters:?}");
    assert!(!voters.contains(&harness.vms[stopped].address));
}

/// Adds a VM that receives no entry after its snapshot, which is older than its addition; returns its
/// position.
fn add_vm_with_old_snapshot(harness: &mut Harness) -> usize {
    for version in 1..=4 {
        harness.push_until_accepted(version, 1);
    }
    let new = harness.add_vm();
    let new_id = harness.vms[new].id;
    let mut has_snapshot = false;
    harness.copies = Some(Box::new(move |message| {
        let is_append = matches!(message.kind, Some(Kind::Append(_)));
        has_snapshot |= matches!(message.kind, Some(Kind::Snapshot(_)));
        usize::from(message.to != new_id || !is_append || !has_snapshot)
    }));
    let leader = harness.wait_for_leader();
    harness.join(new, leader);
    harness.run(Duration::from_secs(1));
    assert_ne!(harness.core(new).cluster(), 0, "the snapshot is installed");
    assert!(!harness.core(new).is_listed());
    new
}

fn compacting(count: usize) -> Harness {
    Harness::with_config(count, Config::default().with_compaction(4, usize::MAX))
}

/// Guards against a joining VM that deletes its folder again and again: its snapshot is older than
/// its addition, which a member that lags has not committed either, so that the member holds the VM
/// for a removed one.
#[test]
fn joining_vm_is_not_expelled_by_a_member_that_lags() {
    let mut harness = compacting(3);
    let new = add_vm_with_old_snapshot(&mut harness);
    let leader = harness.wait_for_leader();
    let before_addition = harness.core(leader).commit() - 1;
    assert!(!harness.core(new).is_expelled_at(before_addition));
    harness.copies = None;
    harness.run(Duration::from_secs(1));
    assert!(harness.core(new).is_listed());
    harness.assert_newest_version(4);
}

/// Guards against a VM that waits forever after a restart, since no leader knows it.
#[test]
fn vm_that_its_own_log_does_not_list_joins_again() {
    let mut harness = compacting(3);
    let new = add_vm_with_old_snapshot(&mut harness);
    let id = harness.vms[new].id;
    harness.copies = None;
    harness.isolated.insert(new);
    let leader = harness.wait_for_leader();
    harness.act(leader, |core, now| {
        core.change_members(now, 1, MemberChange::Remove { id })
    });
    harness.run(Duration::from_secs(1));
    harness.restart(new);
    harness.isolated.clear();
    harness.run(Duration::from_secs(3));
    assert!(!harness.core(new).is_listed());
    harness.act(new, Core::rejoin);
    harness.run(Duration::from_secs(3));
    assert!(harness.core(new).is_listed());
    harness.assert_newest_version(4);
}

/// Guards against an emptied VM that takes the vote of another, silent one: the voter that lost its
/// disk never returns, so that a further loss ends the log.
#[test]
fn emptied_vm_replaces_its_own_former_identity_and_not_a_silent_voter() {
    let mut harness = Harness::founded(5);
    let leader = harness.wait_for_leader();
    let (silent, emptied) = ((leader + 1) % 5, (leader + 2) % 5);
    harness.isolated.insert(silent);
    run_with_policy(&mut harness, Duration::from_secs(3));
    harness.lose_disk(emptied, leader);
    run_with_policy(&mut harness, Duration::from_secs(1));
    let leader = harness.wait_for_leader();
    let members = harness.core(leader).members();
    assert!(members.is_voter(harness.vms[silent].id), "{members:?}");
    assert!(members.is_voter(harness.vms[emptied].id), "{members:?}");
}

/// Runs while the leader always has a push that no other member has received when it decides.
fn run_under_pushes(harness: &mut Harness, time: Duration) {
    let end = harness.now + time;
    while harness.now < end {
        harness.now += STEP;
        let leader = harness.leader();
        if let Some(leader) = leader {
            let version = harness.newest_version(leader) + 1;
            harness.act(leader, |core, now| {
                core.propose(now, version, push(version, 1))
            });
            harness.change_by_policy(leader);
            harness.act(leader, Core::tick);
        }
        harness.deliver();
        for at in (0..harness.vms.len()).filter(|at| Some(*at) != leader) {
            harness.act(at, Core::tick);
            harness.deliver();
        }
    }
}

/// Guards against a successor that stays a learner as long as operators push, since it never holds
/// the whole log at the moment of the check.
#[test]
fn joining_vm_replaces_a_lost_voter_while_operators_push() {
    let mut harness = Harness::founded(5);
    let leader = harness.wait_for_leader();
    let lost = (leader + 1) % 5;
    harness.kill(lost);
    let new = harness.add_vm();
    harness.join(new, leader);
    run_under_pushes(&mut harness, Duration::from_secs(6));
    let voters = voters(&mut harness);
    assert_eq!(voters.len(), 5, "{voters:?}");
    assert!(voters.contains(&harness.vms[new].address), "{voters:?}");
}

/// The same for a VM that returns with an emptied disk.
#[test]
fn emptied_vm_becomes_a_voter_again_while_operators_push() {
    let mut harness = Harness::founded(5);
    let leader = harness.wait_for_leader();
    let emptied = (leader + 1) % 5;
    harness.lose_disk(emptied, leader);
    run_under_pushes(&mut harness, Duration::from_secs(6));
    let id = harness.vms[emptied].id;
    let leader = harness.wait_for_leader();
    assert!(harness.core(leader).members().is_voter(id));
}

/// A learner that can't keep up must not become a voter.
#[test]
fn learner_that_falls_behind_is_not_promoted() {
    let mut harness = Harness::founded(5);
    let leader = harness.wait_for_leader();
    let new = harness.add_vm();
    harness.join(new, leader);
    harness.run(Duration::from_secs(1));
    let new_id = harness.vms[new].id;
    harness.copies = Some(Box::new(move |message| usize::from(message.to != new_id)));
    harness.run(Duration::from_secs(2));
    run_under_pushes(&mut harness, Duration::from_secs(1));
    assert_eq!(voters(&mut harness).len(), 5);
}
