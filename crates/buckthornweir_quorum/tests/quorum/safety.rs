//! Safety rules of the core, each with a case in which only this rule prevents a violation.

use std::time::Duration;

use buckthornweir_quorum::messages::{Append, EntryPart, Kind, Message, SnapshotPart};
use buckthornweir_quorum::prelude::*;
use buckthornweir_quorum::{Index, Payload, Snapshot, Term};
use bytes::Bytes;

use crate::harness::{Answer, Harness, bundle, push};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a follower of member 2 whose log holds two uncommitted pushes.
fn follower() -> Core {
    let mut core = Core::new(Config::default(), Restored::blank(1), 1, Duration::ZERO);
    let members = [1, 2, 3].map(|id| Member::voter(id, "192.0.2.1:7000"));
    core.found(
        SECOND,
        Founding {
            cluster: 7,
            members: Members::new(members),
            floor: 0,
        },
    );
    let entries = vec![entry_part(1, 2), entry_part(1, 3)];
    core.handle(SECOND, 2, append(1, 1, 0, entries));
    assert_eq!(core.last_index(), 3);
    core
}

fn entry_part(term: Term, version: u64) -> EntryPart {
    let data = Payload::Command(Command::Push(bundle(version, 1))).encode();
    EntryPart {
        term,
        data,
        difference: Bytes::new(),
    }
}

fn append(term: Term, prev_index: Index, prev_term: Term, entries: Vec<EntryPart>) -> Message {
    let (round, commit, fragment) = (1, 1, None);
    let append = Append {
        round,
        prev_index,
        prev_term,
        commit,
        entries,
        fragment,
    };
    Message {
        cluster: 7,
        to: 1,
        term,
        kind: Some(Kind::Append(append)),
    }
}

#[test]
fn reply_confirms_only_what_the_append_covered() {
    let mut core = follower();
    let actions = core.handle(SECOND, 3, append(2, 1, 0, vec![entry_part(1, 2)]));
    let reply = actions.iter().find_map(|action| match action {
        Action::Send { message, .. } => message.kind.clone(),
        _ => None,
    });
    let Some(Kind::AppendReply(reply)) = reply else {
        panic!("no reply: {actions:?}")
    };
    assert_eq!((reply.success, reply.index), (true, 2));
}

#[test]
fn snapshot_keeps_the_entries_after_it() {
    let mut core = follower();
    let mut state = Bundles::default();
    state.apply(2, &push(2, 1));
    let members = core.members().clone();
    let snapshot = Snapshot {
        cluster: 7,
        index: 2,
        term: 1,
        members,
        state: state.encode(),
    };
    let data = snapshot.encode();
    let total = data.len() as u64;
    let kind = Kind::Snapshot(SnapshotPart {
        round: 1,
        index: 2,
        total,
        offset: 0,
        data,
    });
    let message = Message {
        cluster: 7,
        to: 1,
        term: 1,
        kind: Some(kind),
    };
    core.handle(SECOND, 2, message);
    assert_eq!((core.commit(), core.last_index()), (2, 3));
}

#[test]
fn each_change_alters_at_most_one_voter() {
    let voters = [1, 2, 3].map(|id| Member::voter(id, "192.0.2.1:7000"));
    let members = Members::new(
        voters
            .into_iter()
            .chain([Member::learner(4, "192.0.2.4:7000")]),
    );
    let table = [
        MemberChange::AddLearner {
            id: 5,
            address: "192.0.2.5:7000".into(),
        },
        MemberChange::Promote { id: 4 },
        MemberChange::Replace { id: 3, by: 4 },
        MemberChange::Remove { id: 3 },
    ];
    for change in table {
        let name = format!("{change:?}");
        let after = members.after(change).expect("valid change");
        let moved = (1..=5)
            .filter(|id| members.is_voter(*id) != after.is_voter(*id))
            .count();
        assert!(moved <= 1, "{name}");
    }
}

#[test]
fn member_that_receives_nothing_does_not_disrupt_the_leader() {
    let mut harness = Harness::founded(3);
    let leader = harness.wait_for_leader();
    harness.run(SECOND);
    let term = harness.core(leader).term();
    let receiver = harness.vms[(leader + 1) % 3].id;
    harness.copies = Some(Box::new(move |message| usize::from(message.to != receiver)));
    harness.run(60 * SECOND);
    harness.copies = None;
    harness.run(5 * SECOND);
    assert_eq!(
        (harness.wait_for_leader(), harness.core(leader).term()),
        (leader, term)
    );
}

#[test]
fn member_cut_off_only_from_the_leader_does_not_disrupt_it() {
    let mut harness = Harness::founded(3);
    let leader = harness.wait_for_leader();
    harness.run(SECOND);
    let term = harness.core(leader).term();
    let away = (leader + 1) % 3;
    harness.blocked_links = [(leader, away), (away, leader)].into();
    harness.run(60 * SECOND);
    harness.blocked_links.clear();
    harness.run(5 * SECOND);
    assert_eq!(
        (harness.wait_for_leader(), harness.core(leader).term()),
        (leader, term)
    );
}

/// Isolates all VMs except `connected`.
fn isolate_except(harness: &mut Harness, connected: &[usize]) {
    harness.isolated = (0..harness.vms.len())
        .filter(|at| !connected.contains(at))
        .collect();
}

/// An entry of an older term may still be overwritten although a quorum holds it; only an entry of
/// the current term commits it. The older entry is large, so that it is sent without the newer one.
#[test]
fn entry_of_an_older_term_commits_only_with_one_of_the_current_term() {
    let mut harness = Harness::founded(3);
    let first = harness.wait_for_leader();
    harness.run(SECOND);
    let (second, third) = ((first + 1) % 3, (first + 2) % 3);
    // The first leader appends a push that it cannot replicate.
    isolate_except(&mut harness, &[first]);
    let bytes = vec![1; 400 * 1024];
    let large = Command::Push(Bundle {
        version: 1,
        digest: [1; 32],
        bytes,
    });
    harness.push_at(first, 1, large);
    harness.kill(first);
    // The third member is elected and appends its first entry, which is not replicated.
    isolate_except(&mut harness, &[second, third]);
    harness.copies = Some(Box::new(|message| {
        usize::from(!matches!(message.kind, Some(Kind::Append(_))))
    }));
    while harness.leader() != Some(third) {
        harness.now += 3 * SECOND;
        harness.act(third, Core::tick);
        harness.deliver();
    }
    harness.kill(third);
    // The first member is elected again; of its entries, only the large one arrives. Its first
    // append is rejected, since the large entry is missing, so it resends from an earlier index.
    assert!(harness.start(first));
    isolate_except(&mut harness, &[first, second]);
    let mut refused = false;
    harness.copies = Some(Box::new(move |message| match &message.kind {
        Some(Kind::Append(append)) if !append.entries.is_empty() => {
            usize::from(!std::mem::replace(&mut refused, true))
        }
        _ => 1,
    }));
    while harness.leader() != Some(first) {
        harness.now += 3 * SECOND;
        harness.act(first, Core::tick);
        harness.deliver();
    }
    for _ in 0..10 {
        harness.now += Duration::from_millis(300);
        harness.act(first, Core::tick);
        harness.deliver();
    }
    let held = harness.core(second).last_index();
    assert_eq!(held, 3, "the second member holds the large push");
    assert_eq!(
        harness.newest_version(first),
        0,
        "the large push is not committed"
    );
    // The third member can be elected and overwrite the large push.
    harness.kill(first);
    assert!(harness.start(third));
    isolate_except(&mut harness, &[second, third]);
    harness.copies = None;
    harness.push_until_accepted(1, 9);
    assert!(harness.start(first));
    harness.isolated.clear();
    harness.run(5 * SECOND);
    harness.assert_newest_version(1);
}

/// A member change by a leader that has not committed an entry of its own term could overlap with
/// an uncommitted change of an earlier leader.
#[test]
fn new_leader_rejects_member_changes_before_its_first_commit() {
    let mut harness = Harness::founded(3);
    harness.copies = Some(Box::new(|message| {
        usize::from(!matches!(message.kind, Some(Kind::Append(_))))
    }));
    let leader = harness.wait_for_leader();
    let change = MemberChange::AddLearner {
        id: 99,
        address: "192.0.2.9:7000".into(),
    };
    harness.act(leader, |core, now| core.change_members(now, 1, change));
    assert!(matches!(
        harness.answers[&1][..],
        [Answer::Rejected(Reject::Busy { .. })]
    ));
}
