//! Member changes.

use std::time::Duration;

use buckthornweir_quorum::messages::Kind;
use buckthornweir_quorum::prelude::*;

use crate::harness::{Answer, Harness};

const SECOND: Duration = Duration::from_secs(1);

fn change(harness: &mut Harness, token: u64, change: MemberChange) -> Vec<Answer> {
    let leader = harness.wait_for_leader();
    harness.act(leader, |core, now| core.change_members(now, token, change));
    harness.deliver();
    harness.answers.get(&token).cloned().unwrap_or_default()
}

fn add_learner(harness: &Harness, at: usize) -> MemberChange {
    let vm = &harness.vms[at];
    MemberChange::AddLearner {
        id: vm.id,
        address: vm.address.as_str().into(),
    }
}

#[test]
fn learner_is_promoted_only_when_caught_up() {
    let mut harness = Harness::founded(1);
    harness.push_until_accepted(1, 1);
    let new = harness.add_vm();
    harness.isolated.insert(new);
    let step = add_learner(&harness, new);
    assert_eq!(change(&mut harness, 1, step), [Answer::Changed]);
    let id = harness.vms[new].id;
    let answers = change(&mut harness, 2, MemberChange::Promote { id });
    assert!(
        matches!(answers[..], [Answer::Rejected(Reject::NotCaughtUp { .. })]),
        "{answers:?}"
    );
    harness.isolated.clear();
    harness.run(SECOND);
    assert_eq!(
        change(&mut harness, 3, MemberChange::Promote { id }),
        [Answer::Changed]
    );
    harness.run(SECOND);
    assert_eq!(harness.core(new).role(), Role::Follower);
    harness.assert_newest_version(1);
}

#[test]
fn second_change_is_rejected_while_the_first_is_pending() {
    let mut harness = Harness::founded(3);
    let leader = harness.wait_for_leader();
    let new = harness.add_vm();
    let step = add_learner(&harness, new);
    let other = MemberChange::AddLearner {
        id: 999,
        address: "192.0.2.99:7000".into(),
    };
    harness.act(leader, |core, now| core.change_members(now, 1, step));
    harness.act(leader, |core, now| core.change_members(now, 2, other));
    assert!(matches!(
        harness.answers[&2][..],
        [Answer::Rejected(Reject::Busy { .. })]
    ));
    harness.deliver();
    assert_eq!(harness.answers[&1], [Answer::Changed]);
}

#[test]
fn invalid_changes_are_rejected() {
    let mut harness = Harness::founded(1);
    harness.wait_for_leader();
    let own = harness.vms[0].id;
    let table = [
        MemberChange::Promote { id: own },
        MemberChange::Promote { id: 999 },
        MemberChange::Remove { id: 999 },
        MemberChange::Remove { id: own },
        MemberChange::AddLearner {
            id: own,
            address: "192.0.2.9:7000".into(),
        },
        MemberChange::Replace { id: own, by: 999 },
    ];
    for (token, step) in (1..).zip(table) {
        assert_eq!(
            change(&mut harness, token, step),
            [Answer::Rejected(Reject::Unfit)],
            "{token}"
        );
    }
}

#[test]
fn change_that_would_lose_the_quorum_is_rejected() {
    let mut harness = Harness::founded(3);
    let leader = harness.wait_for_leader();
    let (gone, alive) = ((leader + 1) % 3, (leader + 2) % 3);
    harness.kill(gone);
    harness.run(3 * SECOND);
    let id = harness.vms[alive].id;
    let answers = change(&mut harness, 1, MemberChange::Remove { id });
    assert_eq!(answers, [Answer::Rejected(Reject::NoQuorum)]);
    let id = harness.vms[gone].id;
    assert_eq!(
        change(&mut harness, 2, MemberChange::Remove { id }),
        [Answer::Changed]
    );
}

#[test]
fn leader_that_removes_itself_steps_down() {
    let mut harness = Harness::founded(3);
    let leader = harness.wait_for_leader();
    let id = harness.vms[leader].id;
    assert_eq!(
        change(&mut harness, 1, MemberChange::Remove { id }),
        [Answer::Changed]
    );
    assert_ne!(harness.core(leader).role(), Role::Leader);
    harness.kill(leader);
    let next = harness.wait_for_leader();
    assert_eq!(harness.core(next).members().len(), 2);
    harness.push_until_accepted(1, 1);
}

#[test]
fn members_persist_across_snapshots_and_restarts() {
    let mut harness = Harness::with_config(3, Config::default().with_compaction(4, usize::MAX));
    harness.wait_for_leader();
    let new = harness.add_vm();
    let step = add_learner(&harness, new);
    assert_eq!(change(&mut harness, 1, step), [Answer::Changed]);
    for version in 1..=10 {
        harness.push_until_accepted(version, 1);
    }
    harness.run(SECOND);
    for at in 0..4 {
        harness.restart(at);
    }
    harness.push_until_accepted(11, 1);
    harness.run(SECOND);
    for at in 0..4 {
        assert_eq!(harness.core(at).members().len(), 4);
        assert_eq!(harness.core(at).members().voters().count(), 3);
    }
    harness.assert_newest_version(11);
}

#[test]
fn cluster_grown_from_one_vm_survives_loss_of_the_first() {
    let mut harness = Harness::founded(1);
    harness.push_until_accepted(1, 1);
    for token in [10, 20] {
        let new = harness.add_vm();
        harness.join(new, 0);
        harness.run(2 * SECOND);
        let id = harness.vms[new].id;
        assert_eq!(
            change(&mut harness, token, MemberChange::Promote { id }),
            [Answer::Changed]
        );
    }
    harness.kill(0);
    harness.push_until_accepted(2, 2);
    harness.run(SECOND);
    harness.assert_newest_version(2);
}

#[test]
fn number_of_non_voters_is_limited() {
    let mut harness = Harness::founded(1);
    harness.wait_for_leader();
    for _ in 0..20 {
        let new = harness.add_vm();
        harness.join(new, 0);
        harness.run(2 * SECOND);
    }
    assert_eq!(harness.core(0).members().len(), 9);
    for _ in 0..3 {
        harness.lose_disk(1, 0);
        harness.run(3 * SECOND);
    }
    assert_eq!(
        harness.core(0).members().len(),
        9,
        "a learner with an emptied disk replaces itself"
    );
}

#[test]
fn learner_joins_again_when_its_addition_was_lost_with_the_leader() {
    for restart in [false, true] {
        let mut harness = Harness::founded(3);
        harness.push_until_accepted(1, 1);
        let leader = harness.wait_for_leader();
        let new = harness.add_vm();
        let voters = [0, 1, 2].map(|at: usize| harness.vms[at].id);
        harness.copies = Some(Box::new(move |message| {
            let appends =
                matches!(message.kind, Some(Kind::Append(ref a)) if !a.entries.is_empty());
            usize::from(!(appends && voters.contains(&message.to)))
        }));
        harness.join(new, leader);
        harness.run(SECOND);
        assert_eq!(
            harness.core(new).members().len(),
            4,
            "only the leader and the learner hold the addition"
        );
        harness.kill(leader);
        harness.copies = None;
        if restart {
            harness.restart(new);
        }
        harness.wait_for_leader();
        harness.run(5 * SECOND);
        harness.push_until_accepted(2, 1);
        harness.run(SECOND);
        harness.assert_newest_version(2);
    }
}

#[test]
fn removed_leader_commits_the_removal_that_only_it_holds() {
    let mut harness = Harness::founded(2);
    harness.push_until_accepted(1, 1);
    let leader = harness.wait_for_leader();
    let other = 1 - leader;
    harness.kill(other);
    let id = harness.vms[leader].id;
    assert_eq!(change(&mut harness, 1, MemberChange::Remove { id }), []);
    harness.restart(leader);
    assert!(harness.start(other));
    harness.push_until_accepted(2, 1);
    harness.run(5 * SECOND);
    assert_eq!(harness.core(other).members().len(), 1);
    assert_eq!(harness.core(other).role(), Role::Leader);
    assert_eq!(harness.newest_version(other), 2);
}
