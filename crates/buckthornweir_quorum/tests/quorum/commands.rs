//! Commands that replace the newest bundle and that take failure domains out or bring them back.

use std::time::Duration;

use buckthornweir_quorum::prelude::*;
use buckthornweir_quorum::{MAX_DOMAINS, PushResult};

use crate::harness::{Answer, Harness, bundle, push};

const SECOND: Duration = Duration::from_secs(1);

fn replace(version: u64, variant: u8) -> Command {
    Command::Replace(bundle(version, variant))
}

fn domain(name: &str, out: bool) -> Command {
    Command::Domain {
        name: name.into(),
        out,
    }
}

#[test]
fn highest_version_wins() {
    let overtaken = |newest| PushResult::Overtaken { newest };
    let table = [
        (
            "first",
            replace(5, 1),
            PushResult::Accepted { version: 5 },
            5,
        ),
        ("same again", replace(5, 1), overtaken(5), 5),
        (
            "other text under the same version",
            replace(5, 2),
            overtaken(5),
            5,
        ),
        ("lower", replace(3, 3), overtaken(5), 5),
        (
            "higher",
            replace(9, 4),
            PushResult::Accepted { version: 9 },
            9,
        ),
        ("lower, after a higher one", replace(5, 1), overtaken(9), 9),
        (
            "push of a higher version",
            push(10, 5),
            PushResult::Accepted { version: 10 },
            10,
        ),
    ];
    let mut bundles = Bundles::default();
    for (index, (name, command, expected, newest)) in (1..).zip(table) {
        let result = bundles.apply(index, &command);
        assert!(result.is_accepted(), "{name}");
        assert_eq!(result, expected, "{name}");
        assert_eq!(bundles.newest_version(), newest, "{name}");
    }
    assert_eq!(bundles.newest().map(|b| b.digest), Some([5; 32]));
}

/// Guards against a snapshot that no member can read back, which would keep a VM from starting.
#[test]
fn no_more_failure_domains_are_out_than_a_snapshot_holds() {
    let mut bundles = Bundles::default();
    let limit = MAX_DOMAINS;
    let take_out = |bundles: &mut Bundles, index: usize| {
        bundles.apply(index as u64 + 1, &domain(&format!("d-{index}"), true))
    };
    for index in 0..limit {
        let taken = take_out(&mut bundles, index);
        assert_eq!(taken, PushResult::Domain { changed: true });
    }
    let full = take_out(&mut bundles, limit);
    assert_eq!(full, PushResult::Full { limit });
    assert!(!full.is_accepted());

    assert_eq!(bundles.revision(), limit as u64, "nothing has changed");
    let again = take_out(&mut bundles, 7);
    assert_eq!(again, PushResult::Domain { changed: false });
    assert_eq!(Bundles::decode(bundles.encode()), Ok(bundles.clone()));
    // One that is brought back makes room.
    bundles.apply(1_000, &domain("d-7", false));
    let taken = take_out(&mut bundles, limit);
    assert_eq!(taken, PushResult::Domain { changed: true });
    assert_eq!(Bundles::decode(bundles.encode()), Ok(bundles));
}

#[test]
fn revision_advances_on_each_change_and_each_domain_brought_back() {
    let mut bundles = Bundles::default();
    let steps = [
        (replace(5, 1), 1),
        (replace(4, 1), 1),
        (domain("a", true), 3),
        (domain("a", true), 3),
        // Backend servers may have become cold even if the failure domain was not out.
        (domain("b", false), 5),
        (replace(6, 2), 6),
        (domain("a", false), 7),
        (domain("a", false), 8),
    ];
    for (index, (command, revision)) in (1..).zip(steps) {
        bundles.apply(index, &command);
        assert_eq!(bundles.revision(), revision, "after {command:?}");
    }
    assert_eq!(bundles.domains_out().count(), 0);
    let back: Vec<_> = bundles.domains_back().collect();
    assert_eq!(back, [(&"a".into(), 8), (&"b".into(), 5)]);
}

#[test]
fn encoded_state_round_trips() {
    let mut bundles = Bundles::default();
    let commands = [
        replace(5, 1),
        domain("b", true),
        domain("a", true),
        domain("c", false),
    ];
    for (index, command) in (1..).zip(commands) {
        bundles.apply(index, &command);
    }
    let decoded = Bundles::decode(bundles.encode()).unwrap();
    assert_eq!(decoded, bundles);
    let out: Vec<_> = decoded.domains_out().cloned().collect();
    assert_eq!(out, ["a", "b"]);
}

/// A command is acknowledged once a quorum holds it, so it must survive a snapshot, a crash of all
/// members and the loss of a minority of the disks.
#[test]
fn acknowledged_commands_survive_crashes_and_lost_disks() {
    let config = Config::default().with_compaction(3, 1 << 20);
    let mut harness = Harness::with_config(5, config);
    let leader = harness.wait_for_leader();
    let commands = [
        replace(5, 1),
        domain("a", true),
        replace(8, 2),
        domain("b", true),
        domain("a", false),
    ];
    for (token, command) in (1..).zip(commands) {
        harness.act(leader, |core, now| core.propose(now, token, command));
        harness.deliver();
        assert!(matches!(&harness.answers[&token][..], [Answer::Push(r)] if r.is_accepted()));
    }
    for at in 0..5 {
        harness.kill(at);
    }
    for at in [0, 3] {
        harness.vms[at].disk.wipe();
    }
    for at in 0..5 {
        assert!(harness.start(at));
    }
    harness.run(SECOND * 5);
    let leader = harness.wait_for_leader();
    let bundles = harness.core(leader).bundles();
    assert_eq!(bundles.newest_version(), 8);
    assert_eq!(bundles.domains_out().collect::<Vec<_>>(), ["b"]);
}
