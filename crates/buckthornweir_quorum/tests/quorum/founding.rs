//! Founding a log; a VM with an emptied data folder must not found a second one.

use std::time::Duration;

use buckthornweir_quorum::prelude::*;
use buckthornweir_quorum::{DISCOVERY_QUIET_PERIOD, PRESENCE_TTL};

const A: &str = "192.0.2.1:7000";
const B: &str = "192.0.2.2:7000";
const C: &str = "192.0.2.3:7000";
const NOW: Duration = Duration::from_secs(100);

fn presence(id: u64, address: &str, cluster: u64) -> Presence {
    let listed = [A, B, C].map(str::to_owned).to_vec();
    Presence {
        id,
        cluster,
        address: address.to_owned(),
        listed,
        newest: 0,
    }
}

fn founder(address: &str) -> Founder {
    Founder::new(1, address, [A, B, C]).with_permission(true)
}

fn wait(addresses: &[&str]) -> Decision {
    Decision::Wait {
        silent: addresses.iter().map(|a| (*a).into()).collect(),
    }
}

#[test]
fn founding_decision_depends_on_the_presences_received() {
    let other_list = Presence {
        listed: vec![A.to_owned(), B.to_owned()],
        ..presence(3, C, 0)
    };
    let waits = Decision::WaitForFounder { address: A.into() };
    let table = [
        ("no presence", A, vec![], wait(&[B, C])),
        ("one is silent", A, vec![presence(2, B, 0)], wait(&[C])),
        (
            "not the lowest",
            B,
            vec![presence(2, A, 0), presence(3, C, 0)],
            waits,
        ),
        (
            "one has a log",
            A,
            vec![presence(2, B, 7)],
            Decision::Join { via: 2 },
        ),
        (
            "two logs",
            A,
            vec![presence(2, B, 7), presence(3, C, 8)],
            Decision::LogsDiffer,
        ),
        (
            "other settings",
            A,
            vec![presence(2, B, 0), other_list],
            Decision::ListsDiffer { address: C.into() },
        ),
        (
            "unlisted VM",
            A,
            vec![presence(2, "192.0.2.9:7000", 7)],
            wait(&[B, C]),
        ),
    ];
    for (name, address, presences, expected) in table {
        let mut founder = founder(address);
        for presence in presences {
            founder.note_presence(NOW, presence);
        }
        assert_eq!(founder.decide(NOW, 9), expected, "{name}");
    }
}

#[test]
fn log_is_founded_above_every_known_version_when_no_vm_has_one() {
    let mut founder = founder(A);
    founder.note_presence(
        NOW,
        Presence {
            newest: 41,
            ..presence(2, B, 0)
        },
    );
    founder.note_presence(NOW, presence(3, C, 0));
    founder.note_version(40);
    let Decision::Found(founding) = founder.decide(NOW, 9) else {
        panic!("expected the decision to found a log")
    };
    assert_eq!((founding.cluster, founding.floor), (9, 41));
    assert_eq!(founding.members.voters().count(), 3);
    let later = NOW + Duration::from_secs(6);
    assert_eq!(
        founder.decide(later, 9),
        wait(&[B, C]),
        "expired presences are ignored"
    );
    let forbidden = founder.with_permission(false);
    assert_eq!(forbidden.decide(NOW, 9), Decision::NotAllowed);
}

#[test]
fn pushes_at_or_below_the_floor_are_stale() {
    let mut core = Core::new(Config::default(), Restored::blank(1), 1, Duration::ZERO);
    let members = Members::new([Member::voter(1, A)]);
    core.found(
        NOW,
        Founding {
            cluster: 9,
            members,
            floor: 41,
        },
    );
    core.tick(NOW);
    let bundle = |version| {
        Command::Push(Bundle {
            version,
            digest: [1; 32],
            bytes: vec![],
        })
    };
    let mut result = |token, version| {
        let actions = core.propose(NOW, token, bundle(version));
        actions.into_iter().find_map(|action| match action {
            Action::Applied { result, .. } => Some(result),
            _ => None,
        })
    };
    assert_eq!(result(1, 41), Some(PushResult::Stale { newest: 41 }));
    assert_eq!(result(2, 42), Some(PushResult::Accepted { version: 42 }));
}

#[test]
fn presence_round_trips_and_enforces_its_limits() {
    let core = Core::new(Config::default(), Restored::blank(1), 1, Duration::ZERO);
    let own = founder(A).presence(&core);
    assert_eq!(Presence::from_bytes(own.to_bytes()), Ok(own.clone()));
    let many = Presence {
        listed: vec![A.to_owned(); 33],
        ..own.clone()
    };
    assert!(Presence::from_bytes(many.to_bytes()).is_err());
    let long = Presence {
        address: "a".repeat(65),
        ..own
    };
    assert!(Presence::from_bytes(long.to_bytes()).is_err());
}

#[test]
fn lacks_log_is_true_only_after_a_recent_presence_without_a_log() {
    let mut founder = founder(A);
    founder.note_presence(NOW, presence(2, B, 0));
    founder.note_presence(NOW, presence(3, C, 7));
    let late = NOW + PRESENCE_TTL;
    let table = [
        (NOW, B, true),
        (late, B, false),
        (NOW, C, false),
        (NOW, A, false),
        (NOW, "192.0.2.9:7000", false),
    ];
    for (now, address, expected) in table {
        assert_eq!(
            founder.lacks_log(now, address),
            expected,
            "{address} at {now:?}"
        );
    }
    founder.note_presence(NOW, presence(2, B, 7));
    assert!(!founder.lacks_log(NOW, B), "VM B has joined");
}

/// With seeds instead of a full list, the lowest seed founds the log with all VMs it has
/// discovered.
#[test]
fn lowest_seed_founds_a_log_with_all_discovered_vms() {
    const D: &str = "192.0.2.4:7000";
    let seeds = |address| Founder::from_seeds(1, address, [A, B, C]).with_permission(true);
    let receive_all = |founder: &mut Founder, at| {
        for (id, address) in [(1, A), (2, B), (3, C), (4, D)] {
            founder.note_presence(at, presence(id, address, 0));
        }
    };
    // Discovered VMs that are not seeds become voters too.
    let mut founder = seeds(A);
    receive_all(&mut founder, NOW);
    assert!(
        matches!(founder.decide(NOW, 9), Decision::Wait { .. }),
        "discovery is not complete"
    );
    receive_all(&mut founder, NOW + DISCOVERY_QUIET_PERIOD / 2);
    let Decision::Found(founding) = founder.decide(NOW + DISCOVERY_QUIET_PERIOD, 9) else {
        panic!("expected the decision to found a log")
    };
    assert_eq!(founding.members.voters().count(), 4);
    // Other seeds wait for the lowest one, and a VM that is not a seed never founds a log.
    for address in [B, D] {
        let mut founder = seeds(address);
        receive_all(&mut founder, NOW);
        let waits = Decision::WaitForFounder { address: A.into() };
        assert_eq!(
            founder.decide(NOW + DISCOVERY_QUIET_PERIOD, 9),
            waits,
            "{address}"
        );
    }
    // One seed has not reported its presence.
    let mut founder = seeds(A);
    founder.note_presence(NOW, presence(2, B, 0));
    founder.note_presence(NOW, presence(4, D, 0));
    assert_eq!(founder.decide(NOW + DISCOVERY_QUIET_PERIOD, 9), wait(&[C]));
    // A VM that is not a seed has a log, which is joined.
    founder.note_presence(NOW, presence(4, D, 7));
    assert_eq!(
        founder.decide(NOW + DISCOVERY_QUIET_PERIOD, 9),
        Decision::Join { via: 4 }
    );
    // A VM without permission, such as one with an emptied disk, does not found a log.
    let mut founder = seeds(A).with_permission(false);
    receive_all(&mut founder, NOW);
    assert_eq!(
        founder.decide(NOW + DISCOVERY_QUIET_PERIOD, 9),
        Decision::NotAllowed
    );
}

/// Guards against a control VM that neither founds nor joins: addresses of VMs that were replaced fill
/// the table of presences.
#[test]
fn replaced_vms_make_room_for_presences_of_new_ones() {
    let mut founder = Founder::from_seeds(1, A, [A, B]).with_permission(true);
    let other = |host: u64| format!("192.0.2.{}:7000", 100 + host);
    for host in 0..40 {
        founder.note_presence(NOW, presence(100 + host, &other(host), 0));
    }
    // While they are there, no further one is recorded.
    founder.note_presence(NOW, presence(2, B, 7));
    assert_eq!(founder.decide(NOW, 9), wait(&[B]));
    let later = NOW + PRESENCE_TTL;
    founder.note_presence(later, presence(2, B, 7));
    assert_eq!(founder.decide(later, 9), Decision::Join { via: 2 });
    assert!(!founder.lacks_log(later, &other(3)));
}
