//! Prints bytes, processor time and memory per node, and the propagation time of changes.
//!
//! `cargo bench -p buckthornweir_members --bench spread -- 10 100 500 3400` runs these numbers of
//! members. The suffix `l` adds 30 % loss.

mod figures;
#[allow(
    dead_code,
    reason = "the membership tests use the rest of the simulation"
)]
#[path = "../tests/members/simulation.rs"]
mod simulation;

use std::time::Duration;

use buckthornweir_members::prelude::*;
use figures::{STEP, Sample, print_header, propagation_times, resident_memory};
use simulation::{Process, Simulation, address, seconds, stamp};

const BYTE_TARGET: &str = "3000";
const CORE_TARGET: &str = "1.4";
const MEMORY_TARGET: &str = "32";
const SPREAD_TARGET: &str = "8.0";
const DEAD_TARGET: &str = "5.0";
const LEAVE_TARGET: &str = "3.0";

const LIMIT: Duration = Duration::from_secs(60);
const LOSS: f64 = 0.3;

fn main() {
    let arguments = std::env::args()
        .skip(1)
        .filter(|argument| argument != "--bench");
    let mut cases: Vec<_> = arguments.collect();
    if cases.is_empty() {
        cases = ["10", "100", "500", "500l", "3400"]
            .map(String::from)
            .to_vec();
    }
    for case in cases {
        let loss = if case.ends_with('l') { LOSS } else { 0.0 };
        match case.trim_end_matches('l').parse() {
            Ok(count) => measure(count, loss),
            Err(error) => println!("{case}: {error}"),
        }
    }
}

fn measure(count: u64, loss: f64) {
    print_header(&format!("{count} members, loss {:.0} %", loss * 100.0));
    let before = resident_memory();
    let mut sim = Simulation::filled(count, count);
    let memory = (resident_memory() - before) / count as f64 / 1_048_576.0;
    sim.run(seconds(20.0));
    sim.loss = loss;
    sim.run(seconds(20.0));
    traffic(&mut sim, "quiet", 0);
    traffic(&mut sim, "1 change/s", 20);
    println!(
        "  {:<34} {memory:>9.2} {:>9} {:>9}   {MEMORY_TARGET:>6}",
        "memory, MiB", "", ""
    );
    let rounds = if count > 1_000 { 10 } else { 20 };
    spread_weights(&mut sim, rounds);
    spread_draining(&mut sim, rounds);
    spread_bundles(&mut sim, rounds);
    spread_deaths(&mut sim, rounds);
}

/// Runs for a minute with a weight change after every `every` steps, or none if `every` is 0.
fn traffic(sim: &mut Simulation, name: &str, every: u64) {
    const LENGTH: Duration = Duration::from_secs(60);
    let count = sim.processes.len() as u64;
    for process in sim.processes.values_mut() {
        process.busy = Duration::ZERO;
    }
    let sent = |process: &Process| process.members.counters().sent_bytes;
    let start: Vec<_> = sim
        .processes
        .values()
        .map(|process| (sent(process), process.received_bytes))
        .collect();
    sim.timed = true;
    let steps = LENGTH.as_millis() / STEP.as_millis();
    for step in 1..=steps as u64 {
        if every > 0 && step.is_multiple_of(every) {
            sim.announce(
                1 + step * 37 % count,
                Announcement::Weight((step / every % 16) as u8),
            );
        }
        sim.run(STEP);
    }
    sim.timed = false;
    let length = LENGTH.as_secs_f64();
    let processes = || sim.processes.values().zip(&start);
    let rate = |bytes: u64| bytes as f64 / length;
    let outgoing = processes().map(|(process, before)| rate(sent(process) - before.0));
    let received = processes().map(|(process, before)| rate(process.received_bytes - before.1));
    Sample::new(outgoing).print(&format!("{name}: sent, B/s"), BYTE_TARGET);
    Sample::new(received).print(&format!("{name}: received, B/s"), BYTE_TARGET);
    let busy = sim
        .processes
        .values()
        .map(|process| process.busy.as_secs_f64() / length * 100.0);
    Sample::new(busy).print(&format!("{name}: core, %"), CORE_TARGET);
}

fn spread_weights(sim: &mut Simulation, rounds: u64) {
    let mut all = Vec::new();
    let count = sim.processes.len() as u64;
    for round in 1..=rounds {
        let node = 1 + round % count;
        sim.announce(node, Announcement::Weight((round % 16) as u8));
        let incarnation = sim.members(node).own().incarnation;
        all.extend(propagation_times(sim, LIMIT, |process| {
            let held = process.members.get(node);
            held.is_some_and(|(held, _)| held.incarnation >= incarnation)
        }));
    }
    Sample::new(all.into_iter()).print("weight known, s", SPREAD_TARGET);
}

fn spread_draining(sim: &mut Simulation, rounds: u64) {
    let mut all = Vec::new();
    for round in 1..=rounds.min(sim.processes.len() as u64 / 4) {
        sim.announce(round, Announcement::State(MemberState::Draining));
        all.extend(propagation_times(sim, LIMIT, |process| {
            let held = process.members.get(round);
            held.is_some_and(|(held, _)| held.state == MemberState::Draining)
        }));
    }
    Sample::new(all.into_iter()).print("draining known, s", LEAVE_TARGET);
}

fn spread_bundles(sim: &mut Simulation, rounds: u64) {
    let mut all = Vec::new();
    for round in 1..=rounds {
        let node = 1 + round % sim.processes.len() as u64;
        sim.announce(node, Announcement::Bundle(stamp(round)));
        all.extend(propagation_times(sim, LIMIT, |process| {
            process.members.own().bundle == stamp(round)
        }));
    }
    Sample::new(all.into_iter()).print("bundle in force, s", SPREAD_TARGET);
}

fn spread_deaths(sim: &mut Simulation, rounds: u64) {
    let mut all = Vec::new();
    let count = sim.processes.len() as u64;
    for round in 0..rounds.min(count / 4) {
        let node = count - round;
        sim.processes.remove(&address(node));
        all.extend(propagation_times(sim, LIMIT, |process| {
            process
                .members
                .get(node)
                .is_some_and(|(_, health)| health == Health::Dead)
        }));
    }
    Sample::new(all.into_iter()).print("death known, s", DEAD_TARGET);
    let declared = sim.total(|counters| counters.deaths);
    println!(
        "  members declared dead: {declared}, killed: {}",
        rounds.min(count / 4)
    );
}
