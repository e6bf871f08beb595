//! Lost disks, partitions, lost and duplicated messages, and concurrent or repeated pushes.

use std::time::Duration;

use buckthornweir_quorum::messages::Kind;
use buckthornweir_quorum::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::harness::{Answer, Harness, push};

const SECOND: Duration = Duration::from_secs(1);

fn accepted(version: u64) -> Answer {
    Answer::Push(PushResult::Accepted { version })
}

fn voter_ids(harness: &Harness, at: usize) -> Vec<u64> {
    harness.core(at).members().voters().map(|m| m.id).collect()
}

#[test]
fn lost_disk_is_repaired_under_a_new_identity() {
    let mut harness = Harness::founded(3);
    harness.push_until_accepted(1, 1);
    let lost = (harness.wait_for_leader() + 1) % 3;
    let old = harness.vms[lost].id;
    let via = harness.wait_for_leader();
    harness.lose_disk(lost, via);
    let new = harness.vms[lost].id;
    harness.run(10 * SECOND);
    let voters = voter_ids(&harness, via);
    assert_eq!(
        (voters.len(), voters.contains(&old), voters.contains(&new)),
        (3, false, true)
    );
    assert_eq!(harness.core(lost).role(), Role::Follower);
    harness.assert_newest_version(1);
}

#[test]
fn loss_of_a_second_vm_after_a_repair_loses_no_push() {
    for second in 0..2 {
        let mut harness = Harness::founded(3);
        harness.push_until_accepted(1, 1);
        let leader = harness.wait_for_leader();
        let (first, other) = ((leader + 1) % 3, (leader + 2) % 3);
        harness.lose_disk(first, leader);
        while !harness
            .core(leader)
            .members()
            .is_voter(harness.vms[first].id)
            || harness.core(leader).has_pending_change()
        {
            harness.run(Duration::from_millis(100));
        }
        let victim = if second == 0 { leader } else { other };
        harness.kill(victim);
        harness.push_until_accepted(2, 2);
        harness.run(SECOND);
        harness.assert_newest_version(2);
    }
}

#[test]
fn vm_with_emptied_disk_does_not_vote_for_a_stale_member() {
    let mut harness = Harness::founded(3);
    harness.push_until_accepted(1, 1);
    let leader = harness.wait_for_leader();
    let (stale, emptied) = ((leader + 1) % 3, (leader + 2) % 3);
    harness.isolated.insert(stale);
    harness.push_until_accepted(2, 2);
    harness.kill(leader);
    harness.isolated.remove(&stale);
    harness.lose_disk(emptied, stale);
    harness.run(60 * SECOND);
    assert_eq!(harness.leader(), None);
    assert!(harness.start(leader));
    harness.run(20 * SECOND);
    harness.assert_newest_version(2);
}

#[test]
fn isolated_leader_rejects_proposals_and_rejoins() {
    let mut harness = Harness::founded(3);
    harness.push_until_accepted(1, 1);
    let old = harness.wait_for_leader();
    let term = harness.core(old).term();
    harness.isolated.insert(old);
    let answers = harness.push_at(old, 1, push(2, 9));
    assert_eq!(answers, [], "the isolation is not yet detected");
    harness.run(2 * SECOND);
    assert_eq!(harness.answers[&1], [Answer::Rejected(Reject::Interrupted)]);
    let answers = harness.push_at(old, 2, push(2, 9));
    assert_eq!(answers, [Answer::Rejected(Reject::NoQuorum)]);
    harness.push_until_accepted(2, 2);
    harness.run(3600 * SECOND);
    harness.isolated.clear();
    harness.run(3 * SECOND);
    harness.assert_newest_version(2);
    assert!(
        harness.core(old).term() <= term + 2,
        "the term must not grow in an isolated member"
    );
}

#[test]
fn rejoining_member_does_not_disrupt_the_leader() {
    let mut harness = Harness::founded(5);
    let leader = harness.wait_for_leader();
    let term = harness.core(leader).term();
    let away = (leader + 1) % 5;
    harness.isolated.insert(away);
    harness.run(600 * SECOND);
    harness.isolated.clear();
    harness.run(5 * SECOND);
    assert_eq!(
        (harness.wait_for_leader(), harness.core(leader).term()),
        (leader, term)
    );
}

#[test]
fn lost_and_duplicated_messages_lose_no_push() {
    for (seed, loss, double) in [(1, 0.3, 0.0), (2, 0.0, 0.5), (3, 0.3, 0.3), (4, 0.5, 0.2)] {
        let mut harness = Harness::founded(5);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        harness.copies = Some(Box::new(move |_| {
            let lost = rng.random_bool(loss);
            usize::from(!lost) + usize::from(rng.random_bool(double))
        }));
        for version in 1..=20 {
            harness.act(0, Core::tick);
            let leader = harness.wait_for_leader();
            harness.push_at(leader, version, push(version, 1));
            harness.run(SECOND);
        }
        harness.copies = None;
        harness.push_until_accepted(21, 1);
        harness.run(3 * SECOND);
        harness.assert_newest_version(21);
    }
}

#[test]
fn lost_and_duplicated_votes_elect_one_leader_per_term() {
    for seed in 0..20 {
        let mut harness = Harness::founded(5);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        harness.copies = Some(Box::new(move |message| match message.kind {
            Some(Kind::Vote(_) | Kind::VoteReply(_) | Kind::PreVote(_)) => rng.random_range(0..=2),
            _ => 1,
        }));
        for _ in 0..5 {
            let leader = harness.wait_for_leader();
            harness.restart(leader);
        }
        harness.push_until_accepted(1, 1);
    }
}

#[test]
fn concurrent_pushes_of_one_version_have_one_winner() {
    let mut harness = Harness::founded(3);
    let leader = harness.wait_for_leader();
    harness.act(leader, |core, now| core.propose(now, 1, push(5, 1)));
    harness.act(leader, |core, now| core.propose(now, 2, push(5, 2)));
    harness.deliver();
    assert_eq!(harness.answers[&1], [accepted(5)]);
    let conflict = Answer::Push(PushResult::Conflict {
        version: 5,
        winner: [1; 32],
    });
    assert_eq!(harness.answers[&2], [conflict]);
}

#[test]
fn push_resent_after_a_lost_answer_gets_the_same_answer() {
    let mut harness = Harness::founded(3);
    harness.push_until_accepted(3, 7);
    let same = [Answer::Push(PushResult::Same { version: 3 })];
    let leader = harness.wait_for_leader();
    assert_eq!(harness.push_at(leader, 1, push(3, 7)), same, "same leader");
    harness.kill(leader);
    let next = harness.wait_for_leader();
    assert_eq!(harness.push_at(next, 2, push(3, 7)), same, "next leader");
    for at in 0..3 {
        harness.restart(at);
    }
    let last = harness.wait_for_leader();
    assert_eq!(
        harness.push_at(last, 3, push(3, 7)),
        same,
        "after a restart of all members"
    );
}

#[test]
fn push_resent_after_a_snapshot_gets_the_same_answer() {
    let mut harness = Harness::with_config(3, Config::default().with_compaction(8, usize::MAX));
    for version in 1..=40 {
        harness.push_until_accepted(version, 1);
    }
    for at in 0..3 {
        harness.restart(at);
    }
    let leader = harness.wait_for_leader();
    let answers = harness.push_at(leader, 1, push(2, 1));
    assert_eq!(answers, [Answer::Push(PushResult::Same { version: 2 })]);
    let answers = harness.push_at(leader, 2, push(2, 8));
    let conflict = PushResult::Conflict {
        version: 2,
        winner: [1; 32],
    };
    assert_eq!(answers, [Answer::Push(conflict)]);
}

#[test]
fn version_taken_by_another_push_after_a_lost_answer_is_a_conflict() {
    let mut harness = Harness::founded(3);
    let old = harness.wait_for_leader();
    harness.isolated.insert(old);
    harness.push_at(old, 1, push(5, 1));
    harness.run(3 * SECOND);
    let new = harness.wait_for_leader();
    assert_eq!(harness.push_at(new, 2, push(5, 2)), [accepted(5)]);
    harness.isolated.clear();
    harness.run(3 * SECOND);
    assert_eq!(harness.answers[&1], [Answer::Rejected(Reject::Interrupted)]);
    let leader = harness.wait_for_leader();
    let conflict = PushResult::Conflict {
        version: 5,
        winner: [2; 32],
    };
    assert_eq!(
        harness.push_at(leader, 3, push(5, 1)),
        [Answer::Push(conflict)]
    );
}

#[test]
fn push_in_flight_at_a_change_of_leader_is_accepted_once() {
    let mut harness = Harness::founded(3);
    let old = harness.wait_for_leader();
    let replies =
        |message: &Message| usize::from(!matches!(message.kind, Some(Kind::AppendReply(_))));
    harness.copies = Some(Box::new(replies));
    assert_eq!(
        harness.push_at(old, 1, push(5, 1)),
        [],
        "replicated, but the replies are lost"
    );
    harness.kill(old);
    harness.copies = None;
    let new = harness.wait_for_leader();
    let answers = harness.push_at(new, 2, push(5, 1));
    assert_eq!(answers, [Answer::Push(PushResult::Same { version: 5 })]);
}

#[test]
fn member_restarted_after_500_bundles_catches_up() {
    let mut harness = Harness::founded(3);
    let away = (harness.wait_for_leader() + 1) % 3;
    harness.kill(away);
    for version in 1..=500 {
        harness.push_until_accepted(version, 1);
    }
    assert!(harness.start(away));
    harness.run(5 * SECOND);
    harness.assert_newest_version(500);
    for at in 0..3 {
        harness.restart(at);
    }
    harness.push_until_accepted(501, 1);
    harness.run(SECOND);
    harness.assert_newest_version(501);
}

#[test]
fn restarted_member_shows_the_accepted_bundle_without_a_quorum() {
    let mut harness = Harness::founded(3);
    harness.push_until_accepted(1, 1);
    harness.run(SECOND);
    for at in 0..3 {
        harness.kill(at);
    }
    for at in 0..2 {
        assert!(harness.start(at));
        assert_eq!(harness.newest_version(at), 1);
        harness.kill(at);
    }
}

#[test]
fn damaged_folder_is_restored_from_a_peer() {
    let mut harness = Harness::founded(3);
    for version in 1..=5 {
        harness.push_until_accepted(version, 1);
    }
    let leader = harness.wait_for_leader();
    let at = (leader + 1) % 3;
    let old = harness.vms[at].id;
    harness.kill(at);
    harness.vms[at].disk.edit("log-", |data| data[60] ^= 1);
    assert!(harness.start(at));
    assert_ne!(harness.vms[at].id, old);
    assert_eq!(harness.core(at).role(), Role::Learner);
    harness.join(at, leader);
    harness.run(10 * SECOND);
    harness.assert_newest_version(5);
    assert!(voter_ids(&harness, leader).contains(&harness.vms[at].id));
}

#[test]
fn member_that_lost_entries_is_reported_and_receives_them_again() {
    let mut harness = Harness::founded(3);
    harness.push_until_accepted(1, 1);
    let leader = harness.wait_for_leader();
    let at = (leader + 1) % 3;
    harness.vms[at].disk.ignore_syncs();
    harness.push_until_accepted(2, 1);
    harness.push_until_accepted(3, 1);
    harness.run(Duration::from_millis(400));
    harness.restart(at);
    harness.run(SECOND);
    assert_eq!(harness.regressed, [harness.vms[at].id]);
    harness.assert_newest_version(3);
}

#[test]
fn leadership_transfer_elects_the_successor_at_once() {
    let mut harness = Harness::founded(3);
    harness.push_until_accepted(1, 1);
    let old = harness.wait_for_leader();
    harness.act(old, Core::transfer);
    harness.deliver();
    let new = harness.leader().expect("a new leader without delay");
    assert_ne!(new, old);
    assert_eq!(harness.push_at(new, 1, push(2, 2)), [accepted(2)]);
}

#[test]
fn read_waits_for_a_quorum() {
    let mut harness = Harness::founded(3);
    harness.push_until_accepted(1, 1);
    let leader = harness.wait_for_leader();
    harness.act(leader, |core, now| core.read(now, 1));
    assert!(!harness.answers.contains_key(&1));
    harness.deliver();
    assert_eq!(harness.answers[&1], [Answer::Ready]);
    harness.isolated.insert(leader);
    harness.act(leader, |core, now| core.read(now, 2));
    harness.run(2 * SECOND);
    assert_eq!(harness.answers[&2], [Answer::Rejected(Reject::NoQuorum)]);
}

#[test]
fn proposal_without_a_quorum_is_rejected_after_a_timeout() {
    let mut harness = Harness::founded(3);
    let leader = harness.wait_for_leader();
    harness.copies = Some(Box::new(|message| {
        usize::from(!matches!(message.kind, Some(Kind::Append(ref a)) if !a.entries.is_empty()))
    }));
    harness.push_at(leader, 1, push(1, 1));
    harness.run(5 * SECOND);
    let answer = &harness.answers[&1];
    let unknown = |a: &Answer| matches!(a, Answer::Rejected(r) if !r.is_outcome_known());
    assert!(answer.len() == 1 && unknown(&answer[0]), "{answer:?}");
}
