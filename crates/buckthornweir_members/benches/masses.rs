//! Prints the cost of many changes at once: the death of a failure domain, a partition between regions, a
//! simultaneous start of all processes, and the join of one process.
//!
//! `cargo bench -p buckthornweir_members --bench masses -- 100 500 3400` runs these numbers of members. The
//! additional arguments `domain`, `regions`, `start` and `rosters` (a start with roster fetches over
//! connections) select the events.

#[allow(dead_code, reason = "the other benches use the rest of the figures")]
mod figures;
#[allow(
    dead_code,
    reason = "the membership tests use the rest of the simulation"
)]
#[path = "../tests/members/simulation.rs"]
mod simulation;

use std::time::Duration;

use buckthornweir_members::prelude::*;
use figures::{Sample, print_header, propagation_times};
use simulation::{Process, Simulation, address, index_of, record, seconds};

const LIMIT: Duration = Duration::from_secs(900);
const PARTITION_TIME: Duration = Duration::from_secs(120);
const DOMAINS: u64 = 7;

/// The maximum number of members for the start events, unless they are requested by name.
const MAX_START: u64 = 500;

/// Simulates an event among this many members and prints its cost.
type Event = fn(u64);

/// The events in execution order, with their argument names.
const EVENTS: [(&str, Event); 4] = [
    ("domain", kill_domain),
    ("regions", partition_regions),
    ("start", start_together),
    ("rosters", start_with_rosters),
];

fn main() {
    let arguments = std::env::args()
        .skip(1)
        .filter(|argument| argument != "--bench");
    let (requested, other): (Vec<_>, Vec<_>) =
        arguments.partition(|argument| EVENTS.iter().any(|(name, _)| name == argument));
    let mut sizes: Vec<u64> = other
        .iter()
        .filter_map(|argument| argument.parse().ok())
        .collect();
    if sizes.is_empty() {
        sizes = vec![100, 500];
    }
    for count in sizes {
        print_header(&format!("{count} members"));
        for (name, run) in EVENTS {
            if is_chosen(&requested, name, count) {
                run(count);
            }
        }
    }
}

/// Returns whether an event runs: if it is requested, or if none is requested and the event isn't too slow.
fn is_chosen(requested: &[String], name: &str, count: u64) -> bool {
    if requested.is_empty() {
        !matches!(name, "start" | "rosters") || count <= MAX_START
    } else {
        requested.iter().any(|other| other == name)
    }
}

fn settled(count: u64) -> Simulation {
    let mut sim = Simulation::filled(count, count);
    sim.run(seconds(20.0));
    sim
}

fn sent(sim: &Simulation) -> u64 {
    sim.total(|counters| counters.sent_bytes)
}

fn alive(process: &Process) -> u64 {
    process
        .members
        .iter()
        .filter(|(_, health)| *health == Health::Alive)
        .count() as u64
}

/// Kills a failure domain, then restarts one of its processes.
fn kill_domain(count: u64) {
    let mut sim = settled(count);
    let killed: Vec<_> = (1..=count).filter(|index| index % DOMAINS == 0).collect();
    for &index in &killed {
        sim.kill(index);
    }
    let left = count - killed.len() as u64;
    let before = sent(&sim);
    let began = sim.now;
    let times_to_know = propagation_times(&mut sim, LIMIT, |process| {
        let held = |&node: &u64| process.members.get(node).map(|(_, health)| health);
        killed.iter().all(|node| held(node) == Some(Health::Dead))
    });
    let rate = (sent(&sim) - before) as f64 / left as f64 / (sim.now - began).as_secs_f64();
    Sample::new(times_to_know.into_iter()).print("all deaths of a domain known, s", "5.0");
    Sample::new([rate].into_iter()).print("sent meanwhile, B/s", "3000");
    join(&mut sim, killed[0], left + 1);
}

/// Starts one process and runs until it knows all others.
fn join(sim: &mut Simulation, node: u64, expected: u64) {
    sim.start(record(node, DOMAINS).with_incarnation(1));
    let at = address(node);
    let took = sim.run_until(LIMIT, |sim| alive(&sim.processes[&at]) == expected);
    let took = took.map_or(f64::INFINITY, |took| took.as_secs_f64());
    let process = &sim.processes[&at];
    let (sent, received) = (
        process.members.counters().sent_bytes,
        process.received_bytes,
    );
    Sample::new([took].into_iter()).print("a joining process knows all, s", "8.0");
    println!("  the joining process sent {sent} B and received {received} B");
}

/// Partitions the members into halves and heals the partition.
fn partition_regions(count: u64) {
    let mut sim = settled(count);
    sim.partitions
        .push(Box::new(|from, to| index_of(from) % 2 != index_of(to) % 2));
    let half = count / 2;
    let detected = propagation_times(&mut sim, PARTITION_TIME, |process| alive(process) == half);
    Sample::new(detected.into_iter()).print("partition of two regions known, s", "");
    sim.partitions.clear();
    let before = sent(&sim);
    let began = sim.now;
    let healed = propagation_times(&mut sim, LIMIT, |process| alive(process) == count);
    let rate = (sent(&sim) - before) as f64 / count as f64 / (sim.now - began).as_secs_f64();
    Sample::new(healed.into_iter()).print("end of the partition known, s", "");
    Sample::new([rate].into_iter()).print("sent meanwhile, B/s", "3000");
}

fn start_together(count: u64) {
    start_with_config(Config::default(), count);
}

fn start_with_rosters(count: u64) {
    let config = Config::default()
        .with_join_interval(Duration::from_millis(100))
        .with_rosters(true);
    let sim = start_with_config(config, count);
    let bytes = sim.processes.values().map(|p| p.roster_bytes as f64);
    Sample::new(bytes).print("bytes of rosters, B", "");
    let fetches = sim.processes.values().map(|p| p.fetches as f64);
    Sample::new(fetches).print("rosters fetched", "");
}

/// Starts all processes at once and runs until each knows all others.
fn start_with_config(config: Config, count: u64) -> Simulation {
    let mut sim = Simulation::new(config, count);
    for index in 1..=count {
        sim.start(record(index, DOMAINS));
    }
    let times_to_know = propagation_times(&mut sim, LIMIT, |process| alive(process) == count);
    let rate = sent(&sim) as f64 / count as f64 / sim.now.as_secs_f64();
    Sample::new(times_to_know.into_iter()).print("all started together, s", "5.0");
    Sample::new([rate].into_iter()).print("sent meanwhile, B/s", "3000");
    sim
}
