//! Tests of roster fetches after many processes start or leave at once.

use std::time::Duration;

use buckthornweir_members::prelude::*;

use crate::simulation::{Simulation, address, record, seconds};

/// The time in which a joining process must know all others.
const JOIN_LIMIT_S: f64 = 1.0;

/// The time after the last start in which all processes must know each other, even if all of them or all
/// seeds started together.
const RESTART_LIMIT_S: f64 = 3.0;

const SIZES: [u64; 4] = [10, 50, 300, 1_000];

const DOMAINS: u64 = 7;

/// Returns the configuration of a deployment on one site, with rosters.
fn config() -> Config {
    Config::default()
        .with_probe_timeout(Duration::from_millis(300))
        .with_indirect_timeout(Duration::from_millis(500))
        .with_suspicion(Duration::from_millis(800))
        .with_contact_interval(Duration::from_secs(2))
        .with_join_interval(Duration::from_millis(100))
        .with_rosters(true)
}

fn settled(count: u64) -> Simulation {
    let mut sim = Simulation::filled_with(config(), count, count);
    sim.run(seconds(6.0));
    sim
}

fn alive(sim: &Simulation, index: u64) -> u64 {
    let held = sim.members(index).iter();
    held.filter(|(_, health)| *health == Health::Alive).count() as u64
}

/// Restarts a process with an empty table.
fn restart(sim: &mut Simulation, index: u64) {
    sim.kill(index);
    let incarnation = 1_000 + sim.now.as_millis() as u64;
    sim.start(record(index, DOMAINS).with_incarnation(incarnation));
}

fn leave(sim: &mut Simulation, index: u64) {
    sim.act(address(index), Members::leave);
    sim.run(seconds(0.05));
    sim.kill(index);
}

/// Returns the number of processes that consider as many members alive as there are running processes.
fn complete_count(sim: &Simulation) -> usize {
    let running = sim.processes.len() as u64;
    let indices = sim.processes.values().map(|p| p.members.own().node);
    indices
        .filter(|&index| alive(sim, index) == running)
        .count()
}

#[test]
fn joining_process_knows_all_others_within_limit() {
    for count in SIZES {
        let mut sim = settled(count);
        let joining = count + 1;
        sim.start(record(joining, DOMAINS));
        let knows = |sim: &Simulation| {
            let filled = sim.members(joining).filling() == Filling::Whole;
            filled && alive(sim, joining) == count + 1
        };
        let took = sim.run_until(seconds(JOIN_LIMIT_S), knows);
        assert!(took.is_some(), "{count}: knows {}", alive(&sim, joining));
    }
}

#[test]
fn processes_started_together_know_each_other_within_limit() {
    for count in SIZES {
        let mut sim = Simulation::new(config(), count);
        // The seeds start neither first nor last.
        for step in 0..6 {
            let starts = (1..=count).filter(|index| (index + 3) % 6 == step);
            for index in starts.collect::<Vec<_>>() {
                sim.start(record(index, DOMAINS));
            }
            sim.run(seconds(0.05));
        }
        let took = sim.run_until(seconds(RESTART_LIMIT_S), Simulation::is_complete);
        assert!(
            took.is_some(),
            "{count}: {} are complete",
            complete_count(&sim)
        );
    }
}

/// Kills the three seeds for two seconds while other processes restart that know only the seeds.
#[test]
fn processes_started_without_seeds_know_all_others_after_seeds_return() {
    for count in SIZES {
        let mut sim = settled(count);
        for index in 1..=3 {
            sim.kill(index);
        }
        let replaced: Vec<u64> = (4..=count).step_by(9).collect();
        for &index in &replaced {
            leave(&mut sim, index);
            restart(&mut sim, index);
        }
        sim.run(seconds(2.0));
        for index in 1..=3 {
            restart(&mut sim, index);
        }
        let took = sim.run_until(seconds(RESTART_LIMIT_S), Simulation::is_complete);
        assert!(
            took.is_some(),
            "{count}: {} are complete",
            complete_count(&sim)
        );
    }
}

/// Replaces a fifth of the processes within seconds, which changes more records than gossip can carry within
/// the byte budget.
#[test]
fn rolling_release_is_known_everywhere_within_limit() {
    for count in SIZES {
        let mut sim = settled(count);
        let replaced: Vec<u64> = (4..=count).step_by(5).collect();
        let pause = 9.0 / replaced.len() as f64;
        for &index in &replaced {
            sim.start(record(10_000 + index, DOMAINS));
            leave(&mut sim, index);
            for step in 0..3 {
                sim.announce(10_000 + index, Announcement::Weight(5 + step));
                sim.run(seconds(pause / 3.0));
            }
        }
        let took = sim.run_until(seconds(RESTART_LIMIT_S), Simulation::is_complete);
        assert!(
            took.is_some(),
            "{count}: {} are complete",
            complete_count(&sim)
        );
    }
}

#[test]
fn isolated_process_knows_all_others_after_partition_heals() {
    for count in [50, 300] {
        let mut sim = settled(count);
        sim.partitions.push(Box::new(|from, to| {
            (from == address(9)) != (to == address(9))
        }));
        sim.run(seconds(5.5));
        for index in (10..=count).step_by(6) {
            restart(&mut sim, index);
        }
        sim.run(seconds(0.5));
        sim.partitions.clear();
        let known = |sim: &Simulation| alive(sim, 9) == count && sim.all_see_as(9, Health::Alive);
        let took = sim.run_until(seconds(5.0), known);
        assert!(took.is_some(), "{count}: knows {}", alive(&sim, 9));
    }
}

/// A simultaneous start of all processes costs each at most 100,000 bytes of rosters, and processes without
/// changes fetch nothing.
#[test]
fn roster_fetches_are_bounded_and_stop_without_changes() {
    let mut sim = Simulation::new(config(), 300);
    for index in 1..=300 {
        sim.start(record(index, DOMAINS));
    }
    sim.run(seconds(10.0));
    assert!(sim.is_complete());
    let bytes: u64 = sim.processes.values().map(|p| p.roster_bytes).sum();
    assert!(bytes / 300 <= 100_000, "{} B a process", bytes / 300);
    let fetches = |sim: &Simulation| sim.processes.values().map(|p| p.fetches).sum::<u64>();
    let before = fetches(&sim);
    sim.run(seconds(60.0));
    assert_eq!(fetches(&sim), before);
}

/// A roster contains dead members only in buckets in which the other process knows a member.
#[test]
fn roster_contains_deaths_only_where_requester_knows_members() {
    let mut sim = settled(60);
    leave(&mut sim, 5);
    sim.run(seconds(3.0));
    let responder = sim.members(1);
    let contains_dead = |messages: &[Message]| {
        let mut rumours = messages.iter().flat_map(|message| &message.rumours);
        rumours.any(|rumour| rumour.node == 5)
    };
    assert!(!contains_dead(&responder.roster(&[])));
    let others = responder.digests().into_iter().map(|digest| digest ^ 1);
    assert!(contains_dead(
        &responder.roster(&others.collect::<Vec<_>>())
    ));
}

/// After a power loss, seeds may start later than other processes, and connections to them wait for
/// their time limit. Guards against a process that has heard of members but asks none of them meanwhile.
#[test]
fn fetches_from_silent_seeds_do_not_delay_fetches_from_members() {
    let seeds = [1, 2, 3].map(address).to_vec();
    let mut members = Members::new(config(), record(9, DOMAINS), seeds, 1);
    let mut asked = Vec::new();
    let mut fetch = |actions: Vec<Action>| {
        let sources = actions.into_iter().filter_map(|action| match action {
            Action::FetchRoster { from } => Some(from),
            _ => None,
        });
        asked.extend(sources);
        asked.len()
    };
    for step in 0..=4 {
        fetch(members.tick(seconds(0.1 * f64::from(step))));
    }
    assert_eq!(fetch(Vec::new()), 3, "each seed is asked once");

    let mut other = Members::new(config(), record(5, DOMAINS), Vec::new(), 2);
    let (roster, _) = other.answer_roster(seconds(1.0), address(9), members.roster_request());
    for message in roster.messages {
        members.handle(seconds(0.45), address(5), message);
    }
    assert_eq!(fetch(members.tick(seconds(0.5))), 4);
    assert_eq!(asked.last(), Some(&address(5)));
}
