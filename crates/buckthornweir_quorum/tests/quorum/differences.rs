//! Pushes are sent as differences, or as whole entries where a difference cannot be applied.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use buckthornweir_bundle::TextDifference;
use buckthornweir_quorum::messages::{Append, AppendReply, EntryPart, Kind, Message};
use buckthornweir_quorum::prelude::*;
use buckthornweir_quorum::{MAX_BUNDLE_BYTES, MAX_ENTRY_BYTES, Payload};
use bytes::Bytes;

use crate::harness::{Answer, Harness, bundle, push};

const SECOND: Duration = Duration::from_secs(1);

/// Corrupts an encoded difference.
type Corrupt = fn(&mut Vec<u8>);

/// Injects a fault, given the position of the leader.
type InjectFault = fn(&mut Harness, usize);

/// Maximum size of the appends per follower for a push of one changed line, in bytes.
const MAX_ONE_LINE_BYTES: usize = 1_024;

fn append_bytes(message: &Message) -> usize {
    match &message.kind {
        Some(Kind::Append(append)) if !append.entries.is_empty() => message.to_bytes().len(),
        _ => 0,
    }
}

/// Returns a push of a bundle of about 100 kB in which one line depends on the version.
fn large_push(version: u64) -> Command {
    let mut text = format!("version = {version}\n");
    for line in 0..5_000 {
        text += &format!("key-{line} = value-{line}\n");
    }
    Command::Push(Bundle {
        version,
        digest: [version as u8; 32],
        bytes: text.into_bytes(),
    })
}

#[test]
fn one_changed_line_costs_few_bytes_for_each_follower() {
    for count in [3, 5, 7] {
        let mut harness = Harness::founded(count);
        let leader = harness.wait_for_leader();
        harness.push_at(leader, 1, large_push(1));
        harness.run(SECOND);
        let bytes = Rc::new(Cell::new(0));
        let sum = bytes.clone();
        harness.copies = Some(Box::new(move |message| {
            sum.set(sum.get() + append_bytes(message));
            1
        }));
        harness.push_at(leader, 2, large_push(2));
        harness.run(SECOND);
        harness.assert_newest_version(2);
        let limit = MAX_ONE_LINE_BYTES * (count - 1);
        assert!(
            bytes.get() < limit,
            "{} bytes among {count} members",
            bytes.get()
        );
        let Command::Push(expected) = large_push(2) else {
            panic!("not a push")
        };
        for at in 0..count {
            assert_eq!(harness.core(at).bundles().newest(), Some(&expected));
        }
    }
}

/// Alters the differences in a message.
fn alter_difference(message: &mut Message, alter: impl Fn(&mut Vec<u8>)) {
    let Some(Kind::Append(append)) = &mut message.kind else {
        return;
    };
    for part in append
        .entries
        .iter_mut()
        .filter(|p| !p.difference.is_empty())
    {
        let mut bytes = part.difference.to_vec();
        alter(&mut bytes);
        part.difference = bytes.into();
    }
}

fn has_difference(message: &Message) -> bool {
    let Some(Kind::Append(append)) = &message.kind else {
        return false;
    };
    append.entries.iter().any(|p| !p.difference.is_empty())
}

/// Returns a counter of the messages with differences that are sent from now on.
fn count_differences(harness: &mut Harness) -> Rc<Cell<usize>> {
    let count = Rc::new(Cell::new(0));
    let counted = count.clone();
    harness.alter = Some(Box::new(move |message| {
        counted.set(counted.get() + usize::from(has_difference(message)));
    }));
    count
}

/// Returns three members that hold version 1, and their leader.
fn replicated_cluster() -> (Harness, usize) {
    let mut harness = Harness::founded(3);
    harness.push_until_accepted(1, 1);
    harness.run(SECOND);
    let leader = harness.wait_for_leader();
    (harness, leader)
}

/// Asserts that `expected` is the newest bundle of all members.
fn assert_hold(harness: &Harness, expected: &Bundle, case: &str) {
    for at in 0..harness.vms.len() {
        let newest = harness.core(at).bundles().newest();
        assert_eq!(newest, Some(expected), "{case}, VM {at}");
    }
}

#[test]
fn corrupted_difference_is_resent_as_a_whole_entry() {
    let table: [(&str, Corrupt); 5] = [
        ("base", |b| b[5] ^= 1),
        ("target", |b| b[40] ^= 1),
        ("last byte", |b| *b.last_mut().expect("bytes") ^= 1),
        ("cut off", |b| b.truncate(b.len() / 2)),
        ("not a difference", |b| b.fill(0xff)),
    ];
    for (case, alter) in table {
        let (mut harness, leader) = replicated_cluster();
        let altered = Rc::new(Cell::new(0));
        let count = altered.clone();
        harness.alter = Some(Box::new(move |message| {
            count.set(count.get() + usize::from(has_difference(message)));
            alter_difference(message, alter);
        }));
        let answers = harness.push_at(leader, 2, push(2, 2));
        let accepted = PushResult::Accepted { version: 2 };
        assert_eq!(answers, [Answer::Push(accepted)], "{case}");
        harness.run(SECOND);
        assert_hold(&harness, &bundle(2, 2), case);
        assert_eq!(altered.get(), 2, "{case}: one message to each follower");
    }
}

#[test]
fn lost_or_duplicated_differences_keep_members_consistent() {
    for copies in [0, 2] {
        for first in 1..6 {
            let (mut harness, leader) = replicated_cluster();
            let mut seen = 0;
            harness.copies = Some(Box::new(move |message| {
                seen += usize::from(has_difference(message));
                let hit = has_difference(message) && seen <= first;
                if hit { copies } else { 1 }
            }));
            harness.push_at(leader, 2, push(2, 2));
            harness.push_at(leader, 3, push(3, 3));
            harness.run(3 * SECOND);
            let case = format!("{copies} copies of {first}");
            assert_hold(&harness, &bundle(3, 3), &case);
        }
    }
}

#[test]
fn member_without_difference_support_receives_whole_entries() {
    let mut harness = Harness::founded(3);
    harness.alter = Some(Box::new(|message| {
        assert!(!has_difference(message));
        if let Some(Kind::AppendReply(reply)) = &mut message.kind {
            reply.differences = false;
        }
    }));
    for version in 1..=4 {
        harness.push_until_accepted(version, version as u8);
        harness.run(SECOND);
    }
    assert_hold(
        &harness,
        &bundle(4, 4),
        "members without difference support",
    );
}

#[test]
fn differences_are_used_again_after_each_member_fault() {
    let table: [(&str, InjectFault); 6] = [
        ("nothing", |_, _| {}),
        ("follower restarts", |harness, leader| {
            harness.restart((leader + 1) % 3);
        }),
        ("leader restarts", |harness, leader| harness.restart(leader)),
        ("all restart", |harness, _| {
            (0..3).for_each(|at| harness.restart(at));
        }),
        ("follower loses its disk", |harness, leader| {
            harness.lose_disk((leader + 1) % 3, leader);
        }),
        ("follower misses a push", |harness, leader| {
            harness.isolated.insert((leader + 1) % 3);
            harness.push_until_accepted(50, 50);
            harness.isolated.clear();
        }),
    ];
    for compact_entries in [1, 2, 256] {
        for (case, fault) in table {
            let config = Config::default().with_compaction(compact_entries, 4 << 20);
            let mut harness = Harness::with_config(3, config);
            harness.push_until_accepted(1, 1);
            harness.push_until_accepted(2, 2);
            let leader = harness.wait_for_leader();
            fault(&mut harness, leader);
            harness.run(10 * SECOND);
            let differences = count_differences(&mut harness);
            for version in 101..=103 {
                harness.push_until_accepted(version, version as u8);
            }
            harness.run(3 * SECOND);
            assert_eq!(
                differences.get(),
                6,
                "{case}: three messages to each follower"
            );
            let case = format!("{case}, compacted after {compact_entries}");
            assert_hold(&harness, &bundle(103, 103), &case);
        }
    }
}

#[test]
fn version_with_other_content_is_a_conflict() {
    let (mut harness, leader) = replicated_cluster();
    let steps = [
        (2, 2, PushResult::Accepted { version: 2 }),
        (
            2,
            3,
            PushResult::Conflict {
                version: 2,
                winner: [2; 32],
            },
        ),
        (3, 4, PushResult::Accepted { version: 3 }),
    ];
    for (token, (version, variant, expected)) in (10..).zip(steps) {
        let answers = harness.push_at(leader, token, push(version, variant));
        assert_eq!(answers, [Answer::Push(expected)]);
    }
    harness.run(SECOND);
    assert_hold(&harness, &bundle(3, 4), "after a conflict");
}

/// Returns a follower of member 2 whose log holds one push, and the encoded push.
fn follower(first: &Bundle) -> (Core, Bytes) {
    let mut core = Core::new(Config::default(), Restored::blank(1), 1, Duration::ZERO);
    let members = [1, 2, 3].map(|id| Member::voter(id, "192.0.2.1:7000"));
    let founding = Founding {
        cluster: 7,
        members: Members::new(members),
        floor: 0,
    };
    core.found(SECOND, founding);
    let data = encoded(first.clone());
    let whole = EntryPart {
        term: 1,
        data: data.clone(),
        difference: Bytes::new(),
    };
    let reply = send_append(&mut core, 1, vec![whole]);
    assert_eq!((reply.success, reply.index), (true, 2));
    (core, data)
}

fn encoded(bundle: Bundle) -> Bytes {
    Payload::Command(Command::Push(bundle)).encode()
}

fn difference(base: &Bytes, new: &Bytes) -> EntryPart {
    EntryPart {
        term: 1,
        data: Bytes::new(),
        difference: TextDifference::between(base, new).to_bytes().into(),
    }
}

/// Sends the core an append of entries after `prev` and returns its reply.
fn send_append(core: &mut Core, prev: u64, entries: Vec<EntryPart>) -> AppendReply {
    let append = Append {
        round: 1,
        prev_index: prev,
        prev_term: u64::from(prev > 1),
        commit: 1,
        entries,
        fragment: None,
    };
    let message = Message {
        cluster: 7,
        to: 1,
        term: 1,
        kind: Some(Kind::Append(append)),
    };
    let replies = core.handle(SECOND, 2, message).into_iter();
    let mut replies = replies.filter_map(|action| match action {
        Action::Send { message, .. } => message.kind,
        _ => None,
    });
    match replies.next() {
        Some(Kind::AppendReply(reply)) => reply,
        other => panic!("{other:?}"),
    }
}

#[test]
fn follower_without_the_base_requests_whole_entries() {
    let (mut core, held) = follower(&bundle(1, 1));
    let [other, next, last] = [9, 2, 3].map(|variant| encoded(bundle(variant.into(), variant)));
    let reply = send_append(&mut core, 2, vec![difference(&other, &next)]);
    assert!(reply.success && !reply.differences);
    assert_eq!((reply.index, core.last_index()), (2, 2));
    let parts = vec![difference(&held, &next), difference(&other, &last)];
    let reply = send_append(&mut core, 2, parts);
    assert!(
        reply.success && !reply.differences,
        "the base of the second difference is missing"
    );
    assert_eq!((reply.index, core.last_index()), (3, 3));
    let reply = send_append(&mut core, 3, vec![difference(&next, &last)]);
    assert!(reply.success && reply.differences);
    assert_eq!(core.entry(4).map(|e| e.data.clone()), Some(last));
}

#[test]
fn expanded_size_of_one_message_is_limited() {
    let large = |version: u64| {
        let line = "x".repeat(MAX_BUNDLE_BYTES - 100);
        let text = format!("version = {version}\n{line}\n");
        encoded(Bundle {
            version,
            digest: [1; 32],
            bytes: text.into_bytes(),
        })
    };
    let (mut core, _) = follower(&bundle(1, 1));
    let first = EntryPart {
        term: 1,
        data: large(2),
        difference: Bytes::new(),
    };
    send_append(&mut core, 2, vec![first]);
    let parts = (3..40).map(|v| difference(&large(v - 1), &large(v)));
    let reply = send_append(&mut core, 3, parts.collect());
    assert!(reply.success && reply.differences);
    let accepted = (reply.index - 3) as usize;
    assert!(
        accepted > 0 && accepted * MAX_BUNDLE_BYTES <= 2 * MAX_ENTRY_BYTES,
        "{accepted} entries"
    );
}
