//! Tests of joining through seeds and rosters.

use std::time::Duration;

use buckthornweir_members::{Action, Config, Members, Message};

use crate::simulation::{Simulation, record, seconds};

#[test]
fn members_discover_each_other_through_seeds() {
    for (count, limit) in [(2, 3.0), (10, 5.0), (50, 20.0), (100, 30.0), (500, 30.0)] {
        let mut sim = Simulation::new(Config::default(), count);
        for index in 1..=count {
            sim.start(record(index, 3));
        }
        let took = sim.run_until(seconds(limit), Simulation::is_complete);
        assert!(took.is_some(), "{count} members did not join");
    }
}

#[test]
fn members_without_changes_send_no_digests_and_no_suspicions() {
    let mut sim = Simulation::joined(20, 5);
    let before = sim.total(|counters| counters.digests);
    sim.run(seconds(60.0));
    assert!(sim.is_complete());
    assert_eq!(sim.total(|counters| counters.digests), before);
    assert_eq!(sim.total(|counters| counters.suspicions), 0);
}

/// Processes start in any order after a power failure, so a process without members must contact its seeds at
/// the join interval to find a seed that starts late.
#[test]
fn process_without_members_contacts_seeds_at_join_interval() {
    let config = Config::default().with_join_interval(Duration::from_millis(100));
    let seed = "192.0.2.9:7000".parse().unwrap();
    let mut members = Members::new(config, record(1, 3), vec![seed], 7);
    let introductions = (0..1_000)
        .step_by(20)
        .flat_map(|at| members.tick(Duration::from_millis(at)))
        .filter(|action| matches!(action, Action::Send { to, .. } if *to == seed));
    assert!((10..=15).contains(&introductions.count()));
}

/// A starting process receives all live members from a single roster.
#[test]
fn roster_contains_all_live_members() {
    for count in [1, 2, 30, 300] {
        let sim = Simulation::filled(count, 4);
        let responder = sim.members(1);
        let mut joining = Members::new(Config::default(), record(9_999, 3), Vec::new(), 7);
        let from = responder.own().gossip;
        for message in responder.roster(&joining.digests()) {
            let bytes = message.encode();
            assert!(bytes.len() <= 1_200, "{} bytes", bytes.len());
            let message = Message::decode(&bytes).unwrap();
            joining.handle(Duration::from_millis(50), from, message);
        }
        assert_eq!(joining.iter().count() as u64, count + 1);
        // A second roster omits known records. Only the bucket of the joining process still differs.
        let again: usize = responder
            .roster(&joining.digests())
            .iter()
            .map(|message| message.encode().len())
            .sum();
        assert!(again <= 1_200, "{again} bytes of {count} members");
    }
}
