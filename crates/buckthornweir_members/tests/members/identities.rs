//! Tests of conflicts over a node id, clock steps and tick times.

use buckthornweir_members::prelude::*;
use buckthornweir_members::record::MAX_INCARNATION;

use crate::simulation::{Simulation, address, record, seconds};

/// Returns the address that all members have for a node, if they agree.
fn agreed_address(sim: &Simulation, node: u64) -> Option<std::net::SocketAddr> {
    let mut held = sim
        .processes
        .values()
        .map(|process| process.members.get(node).map(|(record, _)| record.gossip));
    let first = held.next()?;
    held.all(|address| address == first).then_some(first)?
}

#[test]
fn process_with_lower_address_keeps_duplicate_id() {
    for (incarnation, seed) in [(1, 1), (100, 2), (5_000, 3)] {
        let mut sim = Simulation::joined(20, seed);
        let mut second = record(5, 3).with_incarnation(incarnation);
        second.gossip = address(200);
        sim.start(second);
        sim.run(seconds(15.0));

        assert_eq!(sim.processes[&address(5)].conflicts.first(), Some(&true));
        assert_eq!(sim.processes[&address(200)].conflicts.first(), Some(&false));
        let last = sim.members(5).own().incarnation;
        sim.run(seconds(60.0));
        assert!(
            sim.members(5).own().incarnation <= last + 1,
            "the processes still compete for the id"
        );
        sim.kill(200);
        assert_eq!(agreed_address(&sim, 5), Some(address(5)));
        assert!(sim.is_complete());
    }
}

#[test]
fn process_that_yielded_id_claims_it_after_death_of_winner() {
    let mut sim = Simulation::joined(10, 4);
    let mut second = record(5, 3);
    second.gossip = address(200);
    sim.start(second);
    sim.run(seconds(30.0));
    sim.kill(5);
    sim.run(seconds(40.0));
    assert_eq!(agreed_address(&sim, 5), Some(address(200)));
    assert!(sim.is_complete());
}

#[test]
fn restart_at_new_address_causes_no_conflict() {
    let mut sim = Simulation::joined(10, 5);
    sim.kill(5);
    let mut moved = record(5, 3).with_incarnation(1);
    moved.gossip = address(200);
    sim.start(moved);
    sim.run(seconds(15.0));
    assert_eq!(agreed_address(&sim, 5), Some(address(200)));
    assert!(sim.processes[&address(200)].conflicts.is_empty());
    assert!(sim.is_complete());
}

#[test]
fn clock_step_causes_no_death() {
    for step in [-3_600.0, -2.0, 2.0, 3_600.0] {
        let mut sim = Simulation::joined(10, 6);
        sim.step_clock(4, step);
        sim.run(seconds(30.0));
        assert_eq!(sim.total(|counters| counters.deaths), 0, "step of {step} s");
        assert!(sim.is_complete(), "step of {step} s");
    }
}

#[test]
fn incarnation_never_exceeds_maximum() {
    let mut sim = Simulation::new(Config::default(), 7);
    sim.start(record(1, 3).with_incarnation(MAX_INCARNATION));
    sim.announce(1, Announcement::Weight(3));
    assert_eq!(sim.members(1).own().incarnation, MAX_INCARNATION);
    assert!(sim.members(1).own().check().is_ok());
}

#[test]
fn next_tick_is_always_after_current_tick() {
    type Prepare = fn(&mut Simulation);
    let cases: [(&str, Prepare); 4] = [
        ("quiet", |_| ()),
        ("left", |sim| sim.act(address(5), Members::leave)),
        ("receives nothing", |sim| {
            sim.partitions.push(Box::new(|_, to| to == address(5)));
        }),
        ("yielded id", |sim| {
            let mut second = record(5, 3);
            second.gossip = address(4_000);
            sim.kill(4);
            sim.start(second);
        }),
    ];
    for (name, prepare) in cases {
        let mut sim = Simulation::joined(10, 8);
        prepare(&mut sim);
        for _ in 0..200 {
            sim.run(seconds(0.05));
            for process in sim.processes.values_mut() {
                let due = process.members.next_tick();
                process.members.tick(due);
                assert!(process.members.next_tick() > due, "{name}");
            }
        }
    }
}
