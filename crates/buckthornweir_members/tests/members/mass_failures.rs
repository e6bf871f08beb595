//! Tests of many failures at once: failure domains that die, freeze or are partitioned.

use buckthornweir_members::messages::{Body, Fingerprint, Header, MAX_ENTRIES};
use buckthornweir_members::prelude::*;

use crate::simulation::{Simulation, address, index_of, seconds};

/// The time after which a dead backend server must get no new work.
const DEAD_LIMIT_S: f64 = 5.0;

/// The time in which a change must be known everywhere.
const SPREAD_LIMIT_S: f64 = 8.0;

/// The number of failure domains in a filled simulation.
const DOMAINS: u64 = 7;

/// The maximum bytes that a node may send in two minutes.
const BYTE_LIMIT: u64 = 120 * 3_000;

fn domain(count: u64, domain: u64) -> Vec<u64> {
    (1..=count)
        .filter(|index| index % DOMAINS == domain)
        .collect()
}

fn settled(count: u64, seed: u64) -> Simulation {
    let mut sim = Simulation::filled(count, seed);
    sim.run(seconds(5.0));
    sim
}

fn all_dead(sim: &Simulation, killed: &[u64]) -> bool {
    killed
        .iter()
        .all(|&index| sim.all_see_as(index, Health::Dead))
}

#[test]
fn deaths_of_failure_domain_are_known_within_limit() {
    // Number of members, loss, seed, time limit in seconds.
    let cases = [
        (60, 0.0, 1, DEAD_LIMIT_S),
        (300, 0.0, 2, DEAD_LIMIT_S),
        (500, 0.0, 500, DEAD_LIMIT_S),
        (500, 0.0, 3, DEAD_LIMIT_S),
        (300, 0.1, 4, SPREAD_LIMIT_S),
    ];
    for (count, loss, seed, limit) in cases {
        let mut sim = settled(count, seed);
        sim.loss = loss;
        let killed = domain(count, 0);
        for &index in &killed {
            sim.kill(index);
        }
        let took = sim.run_until(seconds(limit), |sim| all_dead(sim, &killed));
        assert!(took.is_some(), "{count} members, loss {loss}, seed {seed}");
    }
}

#[test]
fn deaths_of_two_failure_domains_in_sequence_are_known_within_limit() {
    for gap in [0.0, 0.5, 2.0] {
        let mut sim = settled(300, 6);
        let (first, second) = (domain(300, 0), domain(300, 3));
        for &index in &first {
            sim.kill(index);
        }
        sim.run(seconds(gap));
        for &index in &second {
            sim.kill(index);
        }
        let both = [first, second].concat();
        let took = sim.run_until(seconds(DEAD_LIMIT_S), |sim| all_dead(sim, &both));
        assert!(took.is_some(), "gap of {gap} s");
    }
}

#[test]
fn frozen_failure_domain_becomes_alive_after_resuming() {
    for length in [1.0, 4.0, 20.0] {
        let mut sim = settled(210, 7);
        for index in domain(210, 0) {
            sim.pause(index, seconds(length));
        }
        sim.run(seconds(length));
        let recovered = sim.run_until(seconds(SPREAD_LIMIT_S), Simulation::is_complete);
        assert!(recovered.is_some(), "frozen for {length} s");
        sim.run(seconds(10.0));
        assert!(sim.is_complete(), "frozen for {length} s");
    }
}

#[test]
fn partitioned_failure_domain_rejoins_within_byte_budget() {
    type Partition = fn(bool, bool) -> bool;
    let cases: [(&str, Partition); 3] = [
        ("sends nothing", |from, to| from && !to),
        ("receives nothing", |from, to| to && !from),
        ("is isolated", |from, to| from != to),
    ];
    for (name, blocks) in cases {
        let mut sim = settled(210, 8);
        let before = sim.total(|counters| counters.sent_bytes);
        let inside = |address| index_of(address).is_multiple_of(DOMAINS);
        sim.partitions
            .push(Box::new(move |from, to| blocks(inside(from), inside(to))));
        sim.run(seconds(60.0));
        let held = sim.count_with_health(7, Health::Dead);
        assert!(held >= 180, "{name}: {held} consider a member dead");
        sim.partitions.clear();
        let healed = sim.run_until(seconds(60.0), Simulation::is_complete);
        assert!(healed.is_some(), "{name}");
        sim.run(seconds(60.0) - healed.unwrap_or_default());
        assert!(sim.is_complete(), "{name}: remains complete");
        let sent = sim.total(|counters| counters.sent_bytes) - before;
        assert!(sent / 210 <= BYTE_LIMIT, "{name}: {} B", sent / 210);
    }
}

/// Returns a message from `sender` with these fingerprints of deaths.
fn death_list(sender: NodeId, deaths: Vec<Fingerprint>) -> Message {
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
    Message {
        header,
        rumours: Vec::new(),
        deaths,
        refutations: Vec::new(),
        body: Body::Gossip,
    }
}

#[test]
fn death_fingerprint_applies_only_to_current_incarnation_from_live_sender() {
    type MakeFingerprint = fn(&Record) -> Fingerprint;
    let current: MakeFingerprint = Record::fingerprint;
    let earlier: MakeFingerprint = |record| {
        let incarnation = record.incarnation - 1;
        record.clone().with_incarnation(incarnation).fingerprint()
    };
    let unknown: MakeFingerprint = |record| record.fingerprint().wrapping_add(1);
    // Description, fingerprint in the list, whether the sender is considered dead, and the expected health.
    let cases = [
        ("current", current, false, Health::Dead),
        ("current, dead sender", current, true, Health::Alive),
        ("earlier incarnation", earlier, false, Health::Alive),
        ("unknown", unknown, false, Health::Alive),
    ];
    for (name, make_fingerprint, sender_is_dead, expected) in cases {
        let mut sim = Simulation::joined(10, 5);
        if sender_is_dead {
            sim.kill(7);
            sim.run(seconds(DEAD_LIMIT_S));
        }
        let (record, _) = sim.members(1).get(8).expect("a member");
        let deaths = vec![make_fingerprint(record); MAX_ENTRIES];
        sim.act(address(1), |members, now| {
            members.handle(now, address(7), death_list(7, deaths))
        });
        let held = sim.members(1).get(8).map(|(_, health)| health);
        assert_eq!(held, Some(expected), "{name}");
        let recovered = |sim: &Simulation| sim.all_see_as(8, Health::Alive);
        assert!(sim.run_until(seconds(3.0), recovered).is_some(), "{name}");
    }
}

#[test]
fn live_member_refutes_listed_death() {
    let mut sim = Simulation::joined(30, 6);
    let all: Vec<_> = sim.processes.values().map(|p| p.members.own()).collect();
    let deaths: Vec<_> = all.iter().map(|own| own.fingerprint()).collect();
    for index in [1, 2, 3] {
        let deaths = deaths.clone();
        sim.act(address(index), |members, now| {
            members.handle(now, address(7), death_list(7, deaths))
        });
    }
    assert!(sim.total(|counters| counters.refutations) >= 3);
    let recovered = sim.run_until(seconds(SPREAD_LIMIT_S), Simulation::is_complete);
    assert!(recovered.is_some());
    sim.run(seconds(10.0));
    assert!(sim.is_complete());
}

#[test]
fn regions_know_each_other_within_limit_after_partition_heals() {
    let mut sim = settled(500, 500);
    sim.partitions
        .push(Box::new(|from, to| index_of(from) % 2 != index_of(to) % 2));
    sim.run(seconds(120.0));
    sim.partitions.clear();
    let rejoined = sim.run_until(seconds(SPREAD_LIMIT_S), Simulation::is_complete);
    assert!(rejoined.is_some());
}

#[test]
fn regions_converge_on_changes_after_partition_heals() {
    for seed in [11, 12] {
        let mut sim = settled(120, seed);
        sim.partitions
            .push(Box::new(|from, to| index_of(from) % 2 != index_of(to) % 2));
        sim.run(seconds(60.0));
        for index in 1..=20 {
            sim.announce(index, Announcement::Weight(3));
        }
        sim.announce(30, Announcement::State(MemberState::Draining));
        sim.run(seconds(5.0));
        sim.partitions.clear();
        let equal = |sim: &Simulation| sim.is_complete() && sim.is_converged();
        let rejoined = sim.run_until(seconds(60.0), equal);
        assert!(rejoined.is_some(), "seed {seed}");
        sim.run(seconds(30.0));
        assert!(equal(&sim), "seed {seed}: remains converged");
    }
}
