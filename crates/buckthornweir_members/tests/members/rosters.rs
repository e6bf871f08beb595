//! Whole tables after many processes start or leave at once.

use std::time::Duration;

use buckthornweir_members::prelude::*;

use crate::queue::{Queue, address, record, seconds};

/// A process that joins knows all others after this time.
const JOIN_LIMIT: f64 = 1.0;

/// All know each other this long after the last start, when all or all seeds started together.
const RESTART_LIMIT: f64 = 3.0;

const SIZES: [u64; 4] = [10, 50, 300, 1_000];

const DOMAINS: u64 = 7;

/// Returns the periods of a deployment on one site, with rosters.
fn config() -> Config {
    Config::default()
        .with_probe_timeout(Duration::from_millis(300))
        .with_indirect_timeout(Duration::from_millis(500))
        .with_suspicion(Duration::from_millis(800))
        .with_contact_interval(Duration::from_secs(2))
        .with_lone_interval(Duration::from_millis(100))
        .with_rosters(true)
}

fn settled(count: u64) -> Queue {
    let mut queue = Queue::filled_with(config(), count, count);
    queue.run(seconds(6.0));
    queue
}

fn alive(queue: &Queue, index: u64) -> u64 {
    let held = queue.members(index).iter();
    held.filter(|(_, health)| *health == Health::Alive).count() as u64
}

/// Starts a process anew, with an empty table.
fn restart(queue: &mut Queue, index: u64) {
    queue.kill(index);
    let incarnation = 1_000 + queue.now.as_millis() as u64;
    queue.start(record(index, DOMAINS).with_incarnation(incarnation));
}

fn leave(queue: &mut Queue, index: u64) {
    queue.act(address(index), Members::leave);
    queue.run(seconds(0.05));
    queue.kill(index);
}

/// Returns how many processes hold exactly the running ones as alive.
fn whole(queue: &Queue) -> usize {
    let running = queue.processes.len() as u64;
    let indices = queue.processes.values().map(|p| p.members.own().node);
    indices
        .filter(|&index| alive(queue, index) == running)
        .count()
}

#[test]
fn a_joining_process_knows_all_others_soon() {
    for count in SIZES {
        let mut queue = settled(count);
        let joining = count + 1;
        queue.start(record(joining, DOMAINS));
        let knows = |queue: &Queue| {
            let filled = queue.members(joining).filling() == Filling::Whole;
            filled && alive(queue, joining) == count + 1
        };
        let took = queue.run_until(seconds(JOIN_LIMIT), knows);
        assert!(took.is_some(), "{count}: knows {}", alive(&queue, joining));
    }
}

#[test]
fn processes_that_start_together_know_each_other_soon() {
    for count in SIZES {
        let mut queue = Queue::new(config(), count);
        // The seeds are neither the first nor the last to start.
        for step in 0..6 {
            let starts = (1..=count).filter(|index| (index + 3) % 6 == step);
            for index in starts.collect::<Vec<_>>() {
                queue.start(record(index, DOMAINS));
            }
            queue.run(seconds(0.05));
        }
        let took = queue.run_until(seconds(RESTART_LIMIT), Queue::is_complete);
        assert!(took.is_some(), "{count}: {} are whole", whole(&queue));
    }
}

/// The three seeds are away for two seconds, while processes are replaced that know nobody else.
#[test]
fn processes_that_start_while_all_seeds_are_away_know_all_others_soon_after() {
    for count in SIZES {
        let mut queue = settled(count);
        for index in 1..=3 {
            queue.kill(index);
        }
        let replaced: Vec<u64> = (4..=count).step_by(9).collect();
        for &index in &replaced {
            leave(&mut queue, index);
            restart(&mut queue, index);
        }
        queue.run(seconds(2.0));
        for index in 1..=3 {
            restart(&mut queue, index);
        }
        let took = queue.run_until(seconds(RESTART_LIMIT), Queue::is_complete);
        assert!(took.is_some(), "{count}: {} are whole", whole(&queue));
    }
}

/// A fifth of the processes is replaced by others within seconds: more records than the byte budget
/// carries.
#[test]
fn a_release_is_known_everywhere_soon_after_its_end() {
    for count in SIZES {
        let mut queue = settled(count);
        let gone: Vec<u64> = (4..=count).step_by(5).collect();
        let pause = 9.0 / gone.len() as f64;
        for &index in &gone {
            queue.start(record(10_000 + index, DOMAINS));
            leave(&mut queue, index);
            for step in 0..3 {
                queue.announce(10_000 + index, Announcement::Weight(5 + step));
                queue.run(seconds(pause / 3.0));
            }
        }
        let took = queue.run_until(seconds(RESTART_LIMIT), Queue::is_complete);
        assert!(took.is_some(), "{count}: {} are whole", whole(&queue));
    }
}

#[test]
fn a_process_that_was_cut_off_knows_all_others_soon_after() {
    for count in [50, 300] {
        let mut queue = settled(count);
        queue.cuts.push(Box::new(|from, to| {
            (from == address(9)) != (to == address(9))
        }));
        queue.run(seconds(5.5));
        for index in (10..=count).step_by(6) {
            restart(&mut queue, index);
        }
        queue.run(seconds(0.5));
        queue.cuts.clear();
        let known = |queue: &Queue| alive(queue, 9) == count && queue.all_hold(9, Health::Alive);
        let took = queue.run_until(seconds(5.0), known);
        assert!(took.is_some(), "{count}: knows {}", alive(&queue, 9));
    }
}

/// Without changes nothing is fetched, and a start of all costs each process a few tables.
#[test]
fn fetches_are_few() {
    let mut queue = Queue::new(config(), 300);
    for index in 1..=300 {
        queue.start(record(index, DOMAINS));
    }
    queue.run(seconds(10.0));
    assert!(queue.is_complete());
    let bytes: u64 = queue.processes.values().map(|p| p.roster_bytes).sum();
    assert!(bytes / 300 <= 100_000, "{} B a process", bytes / 300);
    let fetches = |queue: &Queue| queue.processes.values().map(|p| p.fetches).sum::<u64>();
    let before = fetches(&queue);
    queue.run(seconds(60.0));
    assert_eq!(fetches(&queue), before);
}

/// A roster names the dead of the parts that the other process knows, and those alone.
#[test]
fn a_roster_names_deaths_where_the_other_process_knows_members() {
    let mut queue = settled(60);
    leave(&mut queue, 5);
    queue.run(seconds(3.0));
    let giver = queue.members(1);
    let named = |messages: &[Message]| {
        let mut rumours = messages.iter().flat_map(|message| &message.rumours);
        rumours.any(|rumour| rumour.node == 5)
    };
    assert!(!named(&giver.roster(&[])));
    let others = giver.digests().into_iter().map(|digest| digest ^ 1);
    assert!(named(&giver.roster(&others.collect::<Vec<_>>())));
}
