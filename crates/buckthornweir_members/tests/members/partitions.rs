//! Tests of network partitions: one-way, between failure domains, and between regions.

use std::net::SocketAddr;

use buckthornweir_members::prelude::*;

use crate::simulation::{Simulation, address, index_of, record, seconds};

/// The time in which members must rejoin after a partition heals.
const HEAL_LIMIT_S: f64 = 60.0;

type Partition = fn(SocketAddr, SocketAddr) -> bool;

fn domain_of(address: SocketAddr) -> u64 {
    index_of(address) % 3
}

#[test]
fn one_way_partition_kills_only_isolated_member() {
    let cases: [(&str, Partition); 2] = [
        ("receives nothing", |_, to| to == address(7)),
        ("sends nothing", |from, _| from == address(7)),
    ];
    for (name, partition) in cases {
        let mut sim = Simulation::joined(20, 1);
        sim.partitions.push(Box::new(partition));
        sim.run(seconds(60.0));
        assert!(
            sim.count_with_health(7, Health::Dead) >= 19,
            "{name}: the member is considered dead"
        );
        for index in (1..=20).filter(|index| *index != 7) {
            let accusers = sim.count_with_health(index, Health::Dead);
            assert!(accusers <= 1, "{name}: {accusers} consider {index} dead");
        }
        sim.partitions.clear();
        let healed = sim.run_until(seconds(HEAL_LIMIT_S), Simulation::is_complete);
        assert!(healed.is_some(), "{name}");
    }
}

#[test]
fn one_way_partition_between_two_members_causes_no_death() {
    let mut sim = Simulation::joined(10, 2);
    sim.partitions
        .push(Box::new(|from, to| from == address(3) && to == address(4)));
    sim.run(seconds(120.0));
    assert!(sim.is_complete());
    assert_eq!(sim.total(|counters| counters.deaths), 0);
}

#[test]
fn partition_between_two_failure_domains_is_bridged_by_third() {
    let mut sim = Simulation::joined(30, 3);
    sim.partitions
        .push(Box::new(|from, to| domain_of(from) + domain_of(to) == 1));
    sim.run(seconds(60.0));
    for index in 1..=30 {
        assert_eq!(
            sim.count_with_health(index, Health::Dead),
            0,
            "member {index}"
        );
    }
    sim.announce(3, Announcement::State(MemberState::Draining));
    let draining = |sim: &Simulation| sim.all_see_state(3, MemberState::Draining);
    assert!(sim.run_until(seconds(3.0), draining).is_some());
    sim.partitions.clear();
    sim.run(seconds(15.0));
    assert!(sim.is_complete());
}

#[test]
fn isolated_failure_domain_is_dead_to_others_and_rejoins() {
    let mut sim = Simulation::joined(30, 4);
    sim.partitions.push(Box::new(|from, to| {
        (domain_of(from) == 0) != (domain_of(to) == 0)
    }));
    sim.run(seconds(30.0));
    let dead = sim
        .members(1)
        .iter()
        .filter(|(_, health)| *health == Health::Dead);
    assert_eq!(dead.count(), 10);
    sim.partitions.clear();
    assert!(
        sim.run_until(seconds(HEAL_LIMIT_S), Simulation::is_complete)
            .is_some()
    );
}

#[test]
fn regions_rejoin_after_hour_of_partition() {
    let short_memory = Config::default().with_forget_after(seconds(600.0));
    for config in [Config::default(), short_memory] {
        let mut sim = Simulation::new(config, 5);
        for index in 1..=10 {
            sim.start(record(index, 2));
        }
        sim.run(seconds(15.0));
        sim.partitions
            .push(Box::new(|from, to| index_of(from) % 2 != index_of(to) % 2));
        sim.run(seconds(3_600.0));
        let alive = sim
            .members(1)
            .iter()
            .filter(|(_, health)| *health == Health::Alive);
        assert_eq!(alive.count(), 5);
        sim.announce(2, Announcement::Weight(3));
        sim.partitions.clear();
        let healed = |sim: &Simulation| sim.is_complete() && sim.is_converged();
        assert!(sim.run_until(seconds(HEAL_LIMIT_S), healed).is_some());
    }
}

#[test]
fn isolated_process_delays_death_declarations_and_rejoins() {
    let mut sim = Simulation::joined(10, 6);
    sim.partitions.push(Box::new(|from, to| {
        (from == address(5)) != (to == address(5))
    }));
    sim.run(seconds(8.0));
    assert_eq!(sim.members(5).counters().deaths, 0);
    sim.run(seconds(60.0));
    sim.partitions.clear();
    assert!(
        sim.run_until(seconds(HEAL_LIMIT_S), Simulation::is_complete)
            .is_some()
    );
}
