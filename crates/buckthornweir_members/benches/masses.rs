//! Prints what many changes at once cost: a dead failure domain, a cut between regions, a start of
//! all processes together, and one process that joins.
//!
//! `cargo bench -p buckthornweir_members --bench masses -- 100 500 3400` runs these sizes. The words
//! `domain`, `regions`, `start` and `rosters` (a start with whole tables over connections) among them choose
//! what runs.

#[allow(dead_code, reason = "the other benches use the rest of the figures")]
mod figures;
#[allow(dead_code, reason = "the fault tables use the rest of the queue")]
#[path = "../tests/members/queue.rs"]
mod queue;

use std::time::Duration;

use buckthornweir_members::prelude::*;
use figures::{Sample, print_head, times};
use queue::{Process, Queue, address, index_of, record, seconds};

const LIMIT: Duration = Duration::from_secs(900);
const CUT: Duration = Duration::from_secs(120);
const DOMAINS: u64 = 7;

/// The largest size at which all processes are started together unless that is asked for.
const MAX_START: u64 = 500;

/// Brings about an event among this many members, and prints what it costs.
type Event = fn(u64);

/// The events in the order in which they run, with their names as arguments.
const EVENTS: [(&str, Event); 4] = [
    ("domain", lose_domain),
    ("regions", part_regions),
    ("start", start_together),
    ("rosters", start_with_rosters),
];

fn main() {
    let arguments = std::env::args()
        .skip(1)
        .filter(|argument| argument != "--bench");
    let (named, other): (Vec<_>, Vec<_>) =
        arguments.partition(|argument| EVENTS.iter().any(|(name, _)| name == argument));
    let mut sizes: Vec<u64> = other
        .iter()
        .filter_map(|argument| argument.parse().ok())
        .collect();
    if sizes.is_empty() {
        sizes = vec![100, 500];
    }
    for count in sizes {
        print_head(&format!("{count} members"));
        for (name, run) in EVENTS {
            if is_chosen(&named, name, count) {
                run(count);
            }
        }
    }
}

/// Returns whether an event runs: when it is named, or when none is named and it ends in time.
fn is_chosen(named: &[String], name: &str, count: u64) -> bool {
    if named.is_empty() {
        !matches!(name, "start" | "rosters") || count <= MAX_START
    } else {
        named.iter().any(|other| other == name)
    }
}

fn settled(count: u64) -> Queue {
    let mut queue = Queue::filled(count, count);
    queue.run(seconds(20.0));
    queue
}

fn sent(queue: &Queue) -> u64 {
    queue.total(|counters| counters.sent_bytes)
}

fn alive(process: &Process) -> u64 {
    process
        .members
        .iter()
        .filter(|(_, health)| *health == Health::Alive)
        .count() as u64
}

/// Kills a failure domain, and then starts one process anew.
fn lose_domain(count: u64) {
    let mut queue = settled(count);
    let killed: Vec<_> = (1..=count).filter(|index| index % DOMAINS == 0).collect();
    for &index in &killed {
        queue.kill(index);
    }
    let left = count - killed.len() as u64;
    let before = sent(&queue);
    let began = queue.now;
    let taken = times(&mut queue, LIMIT, |process| {
        let held = |&node: &u64| process.members.get(node).map(|(_, health)| health);
        killed.iter().all(|node| held(node) == Some(Health::Dead))
    });
    let rate = (sent(&queue) - before) as f64 / left as f64 / (queue.now - began).as_secs_f64();
    Sample::new(taken.into_iter()).print("all deaths of a domain known, s", "5.0");
    Sample::new([rate].into_iter()).print("sent meanwhile, B/s", "3000");
    join(&mut queue, killed[0], left + 1);
}

/// Starts one process and waits until it knows all others.
fn join(queue: &mut Queue, node: u64, expected: u64) {
    queue.start(record(node, DOMAINS).with_incarnation(1));
    let at = address(node);
    let took = queue.run_until(LIMIT, |queue| alive(&queue.processes[&at]) == expected);
    let took = took.map_or(f64::INFINITY, |took| took.as_secs_f64());
    let process = &queue.processes[&at];
    let (sent, received) = (
        process.members.counters().sent_bytes,
        process.received_bytes,
    );
    Sample::new([took].into_iter()).print("a joining process knows all, s", "8.0");
    println!("  the joining process sent {sent} B and received {received} B");
}

/// Cuts the members into halves, and heals the cut.
fn part_regions(count: u64) {
    let mut queue = settled(count);
    queue
        .cuts
        .push(Box::new(|from, to| index_of(from) % 2 != index_of(to) % 2));
    let half = count / 2;
    let parted = times(&mut queue, CUT, |process| alive(process) == half);
    Sample::new(parted.into_iter()).print("cut of two regions known, s", "");
    queue.cuts.clear();
    let before = sent(&queue);
    let began = queue.now;
    let healed = times(&mut queue, LIMIT, |process| alive(process) == count);
    let rate = (sent(&queue) - before) as f64 / count as f64 / (queue.now - began).as_secs_f64();
    Sample::new(healed.into_iter()).print("end of the cut known, s", "");
    Sample::new([rate].into_iter()).print("sent meanwhile, B/s", "3000");
}

fn start_together(count: u64) {
    start_under(Config::default(), count);
}

fn start_with_rosters(count: u64) {
    let config = Config::default()
        .with_lone_interval(Duration::from_millis(100))
        .with_rosters(true);
    let queue = start_under(config, count);
    let bytes = queue.processes.values().map(|p| p.roster_bytes as f64);
    Sample::new(bytes).print("bytes of rosters, B", "");
    let fetches = queue.processes.values().map(|p| p.fetches as f64);
    Sample::new(fetches).print("rosters fetched", "");
}

/// Starts all processes at once, and waits until each knows all others.
fn start_under(config: Config, count: u64) -> Queue {
    let mut queue = Queue::new(config, count);
    for index in 1..=count {
        queue.start(record(index, DOMAINS));
    }
    let taken = times(&mut queue, LIMIT, |process| alive(process) == count);
    let rate = sent(&queue) as f64 / count as f64 / queue.now.as_secs_f64();
    Sample::new(taken.into_iter()).print("all started together, s", "5.0");
    Sample::new([rate].into_iter()).print("sent meanwhile, B/s", "3000");
    queue
}
