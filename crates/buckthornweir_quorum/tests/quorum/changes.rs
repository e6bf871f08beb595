//! Changes of members.

use std::time::Duration;

use buckthornweir_quorum::messages::Kind;
use buckthornweir_quorum::prelude::*;

use crate::bench::{Answer, Bench};

const SECOND: Duration = Duration::from_secs(1);

fn change(bench: &mut Bench, token: u64, change: MemberChange) -> Vec<Answer> {
    let leader = bench.elect();
    bench.act(leader, |core, now| core.change_members(now, token, change));
    bench.deliver();
    bench.answers.get(&token).cloned().unwrap_or_default()
}

fn add(bench: &Bench, at: usize) -> MemberChange {
    let vm = &bench.vms[at];
    MemberChange::AddLearner {
        id: vm.id,
        address: vm.address.as_str().into(),
    }
}

#[test]
fn learner_is_promoted_only_when_caught_up() {
    let mut bench = Bench::founded(1);
    bench.accept(1, 1);
    let new = bench.add_vm();
    bench.cut.insert(new);
    let step = add(&bench, new);
    assert_eq!(change(&mut bench, 1, step), [Answer::Changed]);
    let id = bench.vms[new].id;
    let answers = change(&mut bench, 2, MemberChange::Promote { id });
    assert!(
        matches!(answers[..], [Answer::Rejected(Reject::NotCaughtUp { .. })]),
        "{answers:?}"
    );
    bench.cut.clear();
    bench.run(SECOND);
    assert_eq!(
        change(&mut bench, 3, MemberChange::Promote { id }),
        [Answer::Changed]
    );
    bench.run(SECOND);
    assert_eq!(bench.core(new).role(), Role::Follower);
    bench.assert_all(1);
}

#[test]
fn second_change_waits_for_the_first() {
    let mut bench = Bench::founded(3);
    let leader = bench.elect();
    let new = bench.add_vm();
    let step = add(&bench, new);
    let other = MemberChange::AddLearner {
        id: 999,
        address: "192.0.2.99:7000".into(),
    };
    bench.act(leader, |core, now| core.change_members(now, 1, step));
    bench.act(leader, |core, now| core.change_members(now, 2, other));
    assert!(matches!(
        bench.answers[&2][..],
        [Answer::Rejected(Reject::Busy { .. })]
    ));
    bench.deliver();
    assert_eq!(bench.answers[&1], [Answer::Changed]);
}

#[test]
fn unfit_changes_are_refused() {
    let mut bench = Bench::founded(1);
    bench.elect();
    let own = bench.vms[0].id;
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
            change(&mut bench, token, step),
            [Answer::Rejected(Reject::Unfit)],
            "{token}"
        );
    }
}

#[test]
fn change_that_would_lose_the_quorum_is_refused() {
    let mut bench = Bench::founded(3);
    let leader = bench.elect();
    let (gone, alive) = ((leader + 1) % 3, (leader + 2) % 3);
    bench.kill(gone);
    bench.run(3 * SECOND);
    let id = bench.vms[alive].id;
    let answers = change(&mut bench, 1, MemberChange::Remove { id });
    assert_eq!(answers, [Answer::Rejected(Reject::NoQuorum)]);
    let id = bench.vms[gone].id;
    assert_eq!(
        change(&mut bench, 2, MemberChange::Remove { id }),
        [Answer::Changed]
    );
}

#[test]
fn leader_that_removes_itself_steps_down() {
    let mut bench = Bench::founded(3);
    let leader = bench.elect();
    let id = bench.vms[leader].id;
    assert_eq!(
        change(&mut bench, 1, MemberChange::Remove { id }),
        [Answer::Changed]
    );
    assert_ne!(bench.core(leader).role(), Role::Leader);
    bench.kill(leader);
    let next = bench.elect();
    assert_eq!(bench.core(next).members().len(), 2);
    bench.accept(1, 1);
}

#[test]
fn members_last_over_snapshots_and_restarts() {
    let mut bench = Bench::with_config(3, Config::default().with_compaction(4, usize::MAX));
    bench.elect();
    let new = bench.add_vm();
    let step = add(&bench, new);
    assert_eq!(change(&mut bench, 1, step), [Answer::Changed]);
    for version in 1..=10 {
        bench.accept(version, 1);
    }
    bench.run(SECOND);
    for at in 0..4 {
        bench.restart(at);
    }
    bench.accept(11, 1);
    bench.run(SECOND);
    for at in 0..4 {
        assert_eq!(bench.core(at).members().len(), 4);
        assert_eq!(bench.core(at).members().voters().count(), 3);
    }
    bench.assert_all(11);
}

#[test]
fn one_vm_grows_to_three_and_loses_its_founder() {
    let mut bench = Bench::founded(1);
    bench.accept(1, 1);
    for token in [10, 20] {
        let new = bench.add_vm();
        bench.join(new, 0);
        bench.run(2 * SECOND);
        let id = bench.vms[new].id;
        assert_eq!(
            change(&mut bench, token, MemberChange::Promote { id }),
            [Answer::Changed]
        );
    }
    bench.kill(0);
    bench.accept(2, 2);
    bench.run(SECOND);
    bench.assert_all(2);
}

#[test]
fn strangers_cant_fill_the_members() {
    let mut bench = Bench::founded(1);
    bench.elect();
    for _ in 0..20 {
        let new = bench.add_vm();
        bench.join(new, 0);
        bench.run(2 * SECOND);
    }
    assert_eq!(bench.core(0).members().len(), 9);
    for _ in 0..3 {
        bench.lose_disk(1, 0);
        bench.run(3 * SECOND);
    }
    assert_eq!(
        bench.core(0).members().len(),
        9,
        "an emptied learner takes its own place"
    );
}

#[test]
fn learner_whose_addition_was_lost_with_the_leader_joins_again() {
    for restart in [false, true] {
        let mut bench = Bench::founded(3);
        bench.accept(1, 1);
        let leader = bench.elect();
        let new = bench.add_vm();
        let voters = [0, 1, 2].map(|at: usize| bench.vms[at].id);
        bench.copies = Some(Box::new(move |message| {
            let appends =
                matches!(message.kind, Some(Kind::Append(ref a)) if !a.entries.is_empty());
            usize::from(!(appends && voters.contains(&message.to)))
        }));
        bench.join(new, leader);
        bench.run(SECOND);
        assert_eq!(
            bench.core(new).members().len(),
            4,
            "only the leader and the learner know"
        );
        bench.kill(leader);
        bench.copies = None;
        if restart {
            bench.restart(new);
        }
        bench.elect();
        bench.run(5 * SECOND);
        bench.accept(2, 1);
        bench.run(SECOND);
        bench.assert_all(2);
    }
}

#[test]
fn removal_that_only_the_removed_leader_holds_is_finished_by_it() {
    let mut bench = Bench::founded(2);
    bench.accept(1, 1);
    let leader = bench.elect();
    let other = 1 - leader;
    bench.kill(other);
    let id = bench.vms[leader].id;
    assert_eq!(change(&mut bench, 1, MemberChange::Remove { id }), []);
    bench.restart(leader);
    assert!(bench.start(other));
    bench.accept(2, 1);
    bench.run(5 * SECOND);
    assert_eq!(bench.core(other).members().len(), 1);
    assert_eq!(bench.core(other).role(), Role::Leader);
    assert_eq!(bench.newest(other), 2);
}
