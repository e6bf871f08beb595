//! Prints bytes, processor time and memory per node, and the time that changes take to spread.
//!
//! `cargo bench -p buckthornweir_members --bench spread -- 10 100 500 3400` runs these sizes. A
//! size with the suffix `l` runs with 30 % loss.

mod figures;
#[allow(dead_code, reason = "the fault tables use the rest of the queue")]
#[path = "../tests/members/queue.rs"]
mod queue;

use std::time::Duration;

use buckthornweir_members::prelude::*;
use figures::{STEP, Sample, print_head, resident, times};
use queue::{Process, Queue, address, seconds, stamp};

const BYTE_LINE: &str = "3000";
const CORE_LINE: &str = "1.4";
const MEMORY_LINE: &str = "32";
const SPREAD_LINE: &str = "8.0";
const DEAD_LINE: &str = "5.0";
const LEAVE_LINE: &str = "3.0";

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
    print_head(&format!("{count} members, loss {:.0} %", loss * 100.0));
    let before = resident();
    let mut queue = Queue::filled(count, count);
    let memory = (resident() - before) / count as f64 / 1_048_576.0;
    queue.run(seconds(20.0));
    queue.loss = loss;
    queue.run(seconds(20.0));
    traffic(&mut queue, "quiet", 0);
    traffic(&mut queue, "1 change/s", 20);
    println!(
        "  {:<34} {memory:>9.2} {:>9} {:>9}   {MEMORY_LINE:>6}",
        "memory, MiB", "", ""
    );
    let rounds = if count > 1_000 { 10 } else { 20 };
    spread_weights(&mut queue, rounds);
    spread_draining(&mut queue, rounds);
    spread_bundles(&mut queue, rounds);
    spread_deaths(&mut queue, rounds);
}

/// Runs for a minute, with a change of weight every `every` steps.
fn traffic(queue: &mut Queue, name: &str, every: u64) {
    const LENGTH: Duration = Duration::from_secs(60);
    let count = queue.processes.len() as u64;
    for process in queue.processes.values_mut() {
        process.busy = Duration::ZERO;
    }
    let sent = |process: &Process| process.members.counters().sent_bytes;
    let start: Vec<_> = queue
        .processes
        .values()
        .map(|process| (sent(process), process.received_bytes))
        .collect();
    queue.timed = true;
    let steps = LENGTH.as_millis() / STEP.as_millis();
    for step in 1..=steps as u64 {
        if every > 0 && step.is_multiple_of(every) {
            queue.announce(
                1 + step * 37 % count,
                Announcement::Weight((step / every % 16) as u8),
            );
        }
        queue.run(STEP);
    }
    queue.timed = false;
    let length = LENGTH.as_secs_f64();
    let processes = || queue.processes.values().zip(&start);
    let rate = |bytes: u64| bytes as f64 / length;
    let out = processes().map(|(process, before)| rate(sent(process) - before.0));
    let back = processes().map(|(process, before)| rate(process.received_bytes - before.1));
    Sample::new(out).print(&format!("{name}: sent, B/s"), BYTE_LINE);
    Sample::new(back).print(&format!("{name}: received, B/s"), BYTE_LINE);
    let busy = queue
        .processes
        .values()
        .map(|process| process.busy.as_secs_f64() / length * 100.0);
    Sample::new(busy).print(&format!("{name}: core, %"), CORE_LINE);
}

fn spread_weights(queue: &mut Queue, rounds: u64) {
    let mut all = Vec::new();
    let count = queue.processes.len() as u64;
    for round in 1..=rounds {
        let node = 1 + round % count;
        queue.announce(node, Announcement::Weight((round % 16) as u8));
        let incarnation = queue.members(node).own().incarnation;
        all.extend(times(queue, LIMIT, |process| {
            let held = process.members.get(node);
            held.is_some_and(|(held, _)| held.incarnation >= incarnation)
        }));
    }
    Sample::new(all.into_iter()).print("weight known, s", SPREAD_LINE);
}

fn spread_draining(queue: &mut Queue, rounds: u64) {
    let mut all = Vec::new();
    for round in 1..=rounds.min(queue.processes.len() as u64 / 4) {
        queue.announce(round, Announcement::State(MemberState::Draining));
        all.extend(times(queue, LIMIT, |process| {
            let held = process.members.get(round);
            held.is_some_and(|(held, _)| held.state == MemberState::Draining)
        }));
    }
    Sample::new(all.into_iter()).print("draining known, s", LEAVE_LINE);
}

fn spread_bundles(queue: &mut Queue, rounds: u64) {
    let mut all = Vec::new();
    for round in 1..=rounds {
        let node = 1 + round % queue.processes.len() as u64;
        queue.announce(node, Announcement::Bundle(stamp(round)));
        all.extend(times(queue, LIMIT, |process| {
            process.members.own().bundle == stamp(round)
        }));
    }
    Sample::new(all.into_iter()).print("bundle in force, s", SPREAD_LINE);
}

fn spread_deaths(queue: &mut Queue, rounds: u64) {
    let mut all = Vec::new();
    let count = queue.processes.len() as u64;
    for round in 0..rounds.min(count / 4) {
        let node = count - round;
        queue.processes.remove(&address(node));
        all.extend(times(queue, LIMIT, |process| {
            process
                .members
                .get(node)
                .is_some_and(|(_, health)| health == Health::Dead)
        }));
    }
    Sample::new(all.into_iter()).print("death known, s", DEAD_LINE);
    let wrong = queue.total(|counters| counters.deaths);
    println!(
        "  members declared dead: {wrong}, killed: {}",
        rounds.min(count / 4)
    );
}
