//! Tests of failure detection under kills, pauses and message loss.

use buckthornweir_members::messages::{Body, Header, Rumour};
use buckthornweir_members::prelude::*;

use crate::simulation::{Simulation, address, record, seconds};

/// The time after which a dead backend server must get no new work.
const DEAD_LIMIT_S: f64 = 5.0;

/// The time in which a change must be known everywhere.
const SPREAD_LIMIT_S: f64 = 8.0;

#[test]
fn deaths_are_detected_everywhere_within_limit() {
    let cases: [(u64, &[u64]); 6] = [
        (2, &[2]),
        (3, &[1]),
        (10, &[4]),
        (30, &[1, 2, 3]),
        (60, &[11, 12, 13, 14, 15]),
        (200, &[50]),
    ];
    for (count, killed) in cases {
        for seed in 0..3 {
            let mut sim = Simulation::filled(count, seed);
            sim.run(seconds(5.0));
            for &index in killed {
                sim.kill(index);
            }
            let detected = |sim: &Simulation| {
                killed
                    .iter()
                    .all(|&index| sim.all_see_as(index, Health::Dead))
            };
            let took = sim.run_until(seconds(DEAD_LIMIT_S), detected);
            assert!(took.is_some(), "{killed:?} of {count}, seed {seed}");
        }
    }
}

#[test]
fn death_of_failure_domain_is_detected_within_limit() {
    let mut sim = Simulation::joined(60, 1);
    let killed: Vec<_> = (1..=60).filter(|index| index % 3 == 0).collect();
    for &index in &killed {
        sim.kill(index);
    }
    let detected = |sim: &Simulation| {
        killed
            .iter()
            .all(|&index| sim.all_see_as(index, Health::Dead))
    };
    assert!(sim.run_until(seconds(DEAD_LIMIT_S), detected).is_some());
    assert!(
        sim.run_until(
            seconds(SPREAD_LIMIT_S),
            Simulation::is_complete_without_dead
        )
        .is_some()
    );
}

#[test]
fn paused_member_becomes_alive_after_resuming() {
    for (pause, dead) in [(1.0, false), (5.0, true), (60.0, true)] {
        for seed in 0..3 {
            let mut sim = Simulation::joined(20, seed);
            sim.pause(7, seconds(pause));
            sim.run(seconds(pause));
            let held = sim.count_with_health(7, Health::Dead);
            let expected = if dead { 19 } else { 0 };
            assert_eq!(
                held, expected,
                "considered dead after a pause of {pause} s, seed {seed}"
            );
            let others = sim.total(|counters| counters.deaths);
            let recovered = sim.run_until(seconds(SPREAD_LIMIT_S), Simulation::is_complete);
            assert!(recovered.is_some(), "pause of {pause} s, seed {seed}");
            sim.run(seconds(10.0));
            assert!(
                sim.is_complete(),
                "remains complete after a pause of {pause} s, seed {seed}"
            );
            let later = sim.total(|counters| counters.deaths);
            assert_eq!(
                others, later,
                "deaths after a pause of {pause} s, seed {seed}"
            );
        }
    }
}

#[test]
fn members_paused_together_declare_no_deaths() {
    let mut sim = Simulation::joined(20, 4);
    for index in 1..=20 {
        sim.pause(index, seconds(60.0));
    }
    sim.run(seconds(90.0));
    assert!(sim.is_complete());
    assert_eq!(sim.total(|counters| counters.deaths), 0);
}

#[test]
fn pause_postpones_suspicion_deadlines() {
    let mut sim = Simulation::joined(20, 4);
    sim.loss = 1.0;
    sim.run(seconds(2.2));
    assert!(sim.total(|counters| counters.suspicions) > 0);
    for index in 1..=20 {
        sim.pause(index, seconds(60.0));
    }
    sim.run(seconds(59.9));
    sim.loss = 0.0;
    sim.run(seconds(10.0));
    assert_eq!(sim.total(|counters| counters.deaths), 0);
    assert!(sim.is_complete());
}

#[test]
fn accusation_from_dead_member_is_ignored() {
    for accuser_is_dead in [false, true] {
        let mut sim = Simulation::joined(10, 5);
        if accuser_is_dead {
            sim.kill(7);
            sim.run(seconds(DEAD_LIMIT_S));
        }
        let (record, _) = sim.members(1).get(8).expect("a member");
        let accusation = accuse(7, record);
        sim.act(address(1), |members, now| {
            members.handle(now, address(7), accusation)
        });
        let held = sim.members(1).get(8).map(|(_, health)| health);
        let expected = if accuser_is_dead {
            Health::Alive
        } else {
            Health::Dead
        };
        assert_eq!(held, Some(expected), "dead accuser: {accuser_is_dead}");
    }
}

/// Returns a message from `sender` with a rumour that a member is dead.
fn accuse(sender: NodeId, accused: &Record) -> Message {
    let header = Header {
        node: sender,
        instance: 0,
        incarnation: 1,
        state: MemberState::Ready,
        weight: 16,
        free: 0,
        bundle: BundleStamp::default(),
        table: 0,
    };
    let rumour = Rumour {
        node: accused.node,
        instance: 0,
        incarnation: accused.incarnation,
        health: Health::Dead,
        state: accused.state,
        weight: accused.weight,
        free: accused.free,
        profile: None,
    };
    Message {
        header,
        rumours: vec![rumour],
        deaths: Vec::new(),
        refutations: Vec::new(),
        body: Body::Gossip,
    }
}

#[test]
fn flapping_member_is_alive_after_last_pause() {
    let mut sim = Simulation::joined(20, 9);
    for _ in 0..10 {
        sim.pause(3, seconds(4.0));
        sim.run(seconds(6.0));
    }
    assert!(
        sim.run_until(seconds(SPREAD_LIMIT_S), Simulation::is_complete)
            .is_some()
    );
}

#[test]
fn false_deaths_under_message_loss_are_refuted() {
    for seed in 0..3 {
        let mut sim = Simulation::joined(30, seed);
        sim.loss = 0.3;
        sim.run(seconds(120.0));
        sim.announce(4, Announcement::State(MemberState::Draining));
        let draining = |sim: &Simulation| sim.all_see_state(4, MemberState::Draining);
        assert!(
            sim.run_until(seconds(SPREAD_LIMIT_S), draining).is_some(),
            "seed {seed}"
        );
        sim.kill(9);
        let detected = |sim: &Simulation| sim.count_with_health(9, Health::Dead) >= 29;
        assert!(
            sim.run_until(seconds(SPREAD_LIMIT_S), detected).is_some(),
            "seed {seed}"
        );
        sim.loss = 0.0;
        sim.run(seconds(15.0));
        assert!(sim.is_complete_without_dead(), "seed {seed}");
    }
}

#[test]
fn restart_with_lower_incarnation_becomes_alive() {
    for gap in [0.0, 1.0, 30.0] {
        let mut sim = Simulation::joined(20, 2);
        sim.kill(6);
        sim.run(seconds(gap));
        sim.start(record(6, 3).with_incarnation(1).with_service("sheets"));
        let recovered = |sim: &Simulation| {
            sim.is_complete()
                && sim.processes.values().all(|process| {
                    let held = process.members.get(6);
                    held.is_some_and(|(record, _)| record.service == "sheets")
                })
        };
        assert!(
            sim.run_until(seconds(SPREAD_LIMIT_S), recovered).is_some(),
            "gap of {gap} s"
        );
    }
}

#[test]
fn new_node_at_same_address_replaces_dead_node() {
    let mut sim = Simulation::joined(20, 3);
    sim.kill(6);
    let mut other = record(106, 3);
    other.gossip = address(6);
    sim.start(other);
    let replaced =
        |sim: &Simulation| sim.all_see_as(6, Health::Dead) && sim.all_see_as(106, Health::Alive);
    assert!(sim.run_until(seconds(SPREAD_LIMIT_S), replaced).is_some());
}

#[test]
fn dead_members_are_removed_after_forget_time() {
    let config = Config::default().with_forget_after(seconds(30.0));
    let mut sim = Simulation::new(config, 1);
    for index in 1..=5 {
        sim.start(record(index, 3));
    }
    sim.run(seconds(10.0));
    sim.kill(5);
    sim.run(seconds(10.0));
    assert!(sim.all_see_as(5, Health::Dead));
    sim.run(seconds(60.0));
    assert!(
        sim.processes
            .values()
            .all(|process| process.members.get(5).is_none())
    );
}
