//! Lost folders, partitions, lost and doubled messages, and operators who race or resend.

use std::time::Duration;

use buckthornweir_quorum::messages::Kind;
use buckthornweir_quorum::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::bench::{Answer, Bench, push};

const SECOND: Duration = Duration::from_secs(1);

fn accepted(version: u64) -> Answer {
    Answer::Push(PushResult::Accepted { version })
}

fn voter_ids(bench: &Bench, at: usize) -> Vec<u64> {
    bench.core(at).members().voters().map(|m| m.id).collect()
}

#[test]
fn lost_disk_is_repaired_under_a_new_identity() {
    let mut bench = Bench::founded(3);
    bench.accept(1, 1);
    let lost = (bench.elect() + 1) % 3;
    let old = bench.vms[lost].id;
    let via = bench.elect();
    bench.lose_disk(lost, via);
    let new = bench.vms[lost].id;
    bench.run(10 * SECOND);
    let voters = voter_ids(&bench, via);
    assert_eq!(
        (voters.len(), voters.contains(&old), voters.contains(&new)),
        (3, false, true)
    );
    assert_eq!(bench.core(lost).role(), Role::Follower);
    bench.assert_all(1);
}

#[test]
fn second_vm_lost_right_after_a_repair_costs_nothing() {
    for second in 0..2 {
        let mut bench = Bench::founded(3);
        bench.accept(1, 1);
        let leader = bench.elect();
        let (first, other) = ((leader + 1) % 3, (leader + 2) % 3);
        bench.lose_disk(first, leader);
        while !bench.core(leader).members().is_voter(bench.vms[first].id)
            || bench.core(leader).is_changing()
        {
            bench.run(Duration::from_millis(100));
        }
        let victim = if second == 0 { leader } else { other };
        bench.kill(victim);
        bench.accept(2, 2);
        bench.run(SECOND);
        bench.assert_all(2);
    }
}

#[test]
fn emptied_vm_gives_no_vote_to_a_member_that_missed_a_push() {
    let mut bench = Bench::founded(3);
    bench.accept(1, 1);
    let leader = bench.elect();
    let (stale, emptied) = ((leader + 1) % 3, (leader + 2) % 3);
    bench.cut.insert(stale);
    bench.accept(2, 2);
    bench.kill(leader);
    bench.cut.remove(&stale);
    bench.lose_disk(emptied, stale);
    bench.run(60 * SECOND);
    assert_eq!(bench.leader(), None);
    assert!(bench.start(leader));
    bench.run(20 * SECOND);
    bench.assert_all(2);
}

#[test]
fn leader_cut_off_answers_at_once_and_comes_back() {
    let mut bench = Bench::founded(3);
    bench.accept(1, 1);
    let old = bench.elect();
    let term = bench.core(old).term();
    bench.cut.insert(old);
    let answers = bench.push_at(old, 1, push(2, 9));
    assert_eq!(answers, [], "not yet known to be cut off");
    bench.run(2 * SECOND);
    assert_eq!(bench.answers[&1], [Answer::Rejected(Reject::Interrupted)]);
    let answers = bench.push_at(old, 2, push(2, 9));
    assert_eq!(answers, [Answer::Rejected(Reject::NoQuorum)]);
    bench.accept(2, 2);
    bench.run(3600 * SECOND);
    bench.cut.clear();
    bench.run(3 * SECOND);
    bench.assert_all(2);
    assert!(
        bench.core(old).term() <= term + 2,
        "terms don't grow in a cut-off member"
    );
}

#[test]
fn member_that_comes_back_doesnt_disturb_the_leader() {
    let mut bench = Bench::founded(5);
    let leader = bench.elect();
    let term = bench.core(leader).term();
    let away = (leader + 1) % 5;
    bench.cut.insert(away);
    bench.run(600 * SECOND);
    bench.cut.clear();
    bench.run(5 * SECOND);
    assert_eq!((bench.elect(), bench.core(leader).term()), (leader, term));
}

#[test]
fn lost_and_doubled_messages_lose_nothing() {
    for (seed, loss, double) in [(1, 0.3, 0.0), (2, 0.0, 0.5), (3, 0.3, 0.3), (4, 0.5, 0.2)] {
        let mut bench = Bench::founded(5);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        bench.copies = Some(Box::new(move |_| {
            let lost = rng.random_bool(loss);
            usize::from(!lost) + usize::from(rng.random_bool(double))
        }));
        for version in 1..=20 {
            bench.act(0, Core::tick);
            let leader = bench.elect();
            bench.push_at(leader, version, push(version, 1));
            bench.run(SECOND);
        }
        bench.copies = None;
        bench.accept(21, 1);
        bench.run(3 * SECOND);
        bench.assert_all(21);
    }
}

#[test]
fn lost_and_doubled_votes_give_one_leader_a_term() {
    for seed in 0..20 {
        let mut bench = Bench::founded(5);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        bench.copies = Some(Box::new(move |message| match message.kind {
            Some(Kind::Vote(_) | Kind::VoteReply(_) | Kind::PreVote(_)) => rng.random_range(0..=2),
            _ => 1,
        }));
        for _ in 0..5 {
            let leader = bench.elect();
            bench.restart(leader);
        }
        bench.accept(1, 1);
    }
}

#[test]
fn two_operators_with_one_version_get_one_winner() {
    let mut bench = Bench::founded(3);
    let leader = bench.elect();
    bench.act(leader, |core, now| core.propose(now, 1, push(5, 1)));
    bench.act(leader, |core, now| core.propose(now, 2, push(5, 2)));
    bench.deliver();
    assert_eq!(bench.answers[&1], [accepted(5)]);
    let conflict = Answer::Push(PushResult::Conflict {
        version: 5,
        winner: [1; 32],
    });
    assert_eq!(bench.answers[&2], [conflict]);
}

#[test]
fn push_resent_after_a_lost_answer_gets_the_same_answer() {
    let mut bench = Bench::founded(3);
    bench.accept(3, 7);
    let same = [Answer::Push(PushResult::Same { version: 3 })];
    let leader = bench.elect();
    assert_eq!(bench.push_at(leader, 1, push(3, 7)), same, "same leader");
    bench.kill(leader);
    let next = bench.elect();
    assert_eq!(bench.push_at(next, 2, push(3, 7)), same, "next leader");
    for at in 0..3 {
        bench.restart(at);
    }
    let last = bench.elect();
    assert_eq!(
        bench.push_at(last, 3, push(3, 7)),
        same,
        "after restart of all"
    );
}

#[test]
fn push_resent_after_a_snapshot_gets_the_same_answer() {
    let mut bench = Bench::with_config(3, Config::default().with_compaction(8, usize::MAX));
    for version in 1..=40 {
        bench.accept(version, 1);
    }
    for at in 0..3 {
        bench.restart(at);
    }
    let leader = bench.elect();
    let answers = bench.push_at(leader, 1, push(2, 1));
    assert_eq!(answers, [Answer::Push(PushResult::Same { version: 2 })]);
    let answers = bench.push_at(leader, 2, push(2, 8));
    let conflict = PushResult::Conflict {
        version: 2,
        winner: [1; 32],
    };
    assert_eq!(answers, [Answer::Push(conflict)]);
}

#[test]
fn version_taken_by_someone_else_after_a_lost_answer_is_a_conflict() {
    let mut bench = Bench::founded(3);
    let old = bench.elect();
    bench.cut.insert(old);
    bench.push_at(old, 1, push(5, 1));
    bench.run(3 * SECOND);
    let new = bench.elect();
    assert_eq!(bench.push_at(new, 2, push(5, 2)), [accepted(5)]);
    bench.cut.clear();
    bench.run(3 * SECOND);
    assert_eq!(bench.answers[&1], [Answer::Rejected(Reject::Interrupted)]);
    let leader = bench.elect();
    let conflict = PushResult::Conflict {
        version: 5,
        winner: [2; 32],
    };
    assert_eq!(
        bench.push_at(leader, 3, push(5, 1)),
        [Answer::Push(conflict)]
    );
}

#[test]
fn push_in_flight_at_a_change_of_leader_is_accepted_once() {
    let mut bench = Bench::founded(3);
    let old = bench.elect();
    let replies =
        |message: &Message| usize::from(!matches!(message.kind, Some(Kind::AppendReply(_))));
    bench.copies = Some(Box::new(replies));
    assert_eq!(
        bench.push_at(old, 1, push(5, 1)),
        [],
        "replicated, but the leader doesn't know"
    );
    bench.kill(old);
    bench.copies = None;
    let new = bench.elect();
    let answers = bench.push_at(new, 2, push(5, 1));
    assert_eq!(answers, [Answer::Push(PushResult::Same { version: 5 })]);
}

#[test]
fn restart_after_500_bundles_catches_up() {
    let mut bench = Bench::founded(3);
    let away = (bench.elect() + 1) % 3;
    bench.kill(away);
    for version in 1..=500 {
        bench.accept(version, 1);
    }
    assert!(bench.start(away));
    bench.run(5 * SECOND);
    bench.assert_all(500);
    for at in 0..3 {
        bench.restart(at);
    }
    bench.accept(501, 1);
    bench.run(SECOND);
    bench.assert_all(501);
}

#[test]
fn restarted_member_shows_the_accepted_bundle_without_a_quorum() {
    let mut bench = Bench::founded(3);
    bench.accept(1, 1);
    bench.run(SECOND);
    for at in 0..3 {
        bench.kill(at);
    }
    for at in 0..2 {
        assert!(bench.start(at));
        assert_eq!(bench.newest(at), 1);
        bench.kill(at);
    }
}

#[test]
fn damaged_folder_is_healed_from_a_peer() {
    let mut bench = Bench::founded(3);
    for version in 1..=5 {
        bench.accept(version, 1);
    }
    let leader = bench.elect();
    let at = (leader + 1) % 3;
    let old = bench.vms[at].id;
    bench.kill(at);
    bench.vms[at].disk.edit("log-", |data| data[60] ^= 1);
    assert!(bench.start(at));
    assert_ne!(bench.vms[at].id, old);
    assert_eq!(bench.core(at).role(), Role::Learner);
    bench.join(at, leader);
    bench.run(10 * SECOND);
    bench.assert_all(5);
    assert!(voter_ids(&bench, leader).contains(&bench.vms[at].id));
}

#[test]
fn member_that_forgot_is_named_and_sent_everything_again() {
    let mut bench = Bench::founded(3);
    bench.accept(1, 1);
    let leader = bench.elect();
    let at = (leader + 1) % 3;
    bench.vms[at].disk.lie();
    bench.accept(2, 1);
    bench.accept(3, 1);
    bench.run(Duration::from_millis(400));
    bench.restart(at);
    bench.run(SECOND);
    assert_eq!(bench.forgot, [bench.vms[at].id]);
    bench.assert_all(3);
}

#[test]
fn planned_stop_hands_the_leadership_over_without_a_gap() {
    let mut bench = Bench::founded(3);
    bench.accept(1, 1);
    let old = bench.elect();
    bench.act(old, Core::transfer);
    bench.deliver();
    let new = bench.leader().expect("a leader at once");
    assert_ne!(new, old);
    assert_eq!(bench.push_at(new, 1, push(2, 2)), [accepted(2)]);
}

#[test]
fn read_waits_for_a_quorum() {
    let mut bench = Bench::founded(3);
    bench.accept(1, 1);
    let leader = bench.elect();
    bench.act(leader, |core, now| core.read(now, 1));
    assert!(!bench.answers.contains_key(&1));
    bench.deliver();
    assert_eq!(bench.answers[&1], [Answer::Ready]);
    bench.cut.insert(leader);
    bench.act(leader, |core, now| core.read(now, 2));
    bench.run(2 * SECOND);
    assert_eq!(bench.answers[&2], [Answer::Rejected(Reject::NoQuorum)]);
}

#[test]
fn proposal_without_a_quorum_ends_in_time() {
    let mut bench = Bench::founded(3);
    let leader = bench.elect();
    bench.copies = Some(Box::new(|message| {
        usize::from(!matches!(message.kind, Some(Kind::Append(ref a)) if !a.entries.is_empty()))
    }));
    bench.push_at(leader, 1, push(1, 1));
    bench.run(5 * SECOND);
    let answer = &bench.answers[&1];
    let unknown = |a: &Answer| matches!(a, Answer::Rejected(r) if !r.is_certain());
    assert!(answer.len() == 1 && unknown(&answer[0]), "{answer:?}");
}
