//! First minute of a service: when requests with a key first run, and how many are refused.

use std::time::Duration;

use crate::simulation::{CallerResult, Simulation, config};
use buckthornweir_requests::NodeId;
use buckthornweir_requests::idempotency::KeysConfig;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DOMAINS: [&str; 7] = ["a", "b", "c", "a", "b", "c", "a"];
/// Time for membership changes to spread, as in the daemon.
const SETTLE_DELAY: Duration = Duration::from_secs(10);
/// Time for an update of the members and a pull of their records.
const SYNC_TIME: Duration = Duration::from_secs(2);
/// Time after which every agent of a new service must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(12);
/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const SEEDS: u64 = 200;
const OBSERVATION_PERIOD: Duration = Duration::from_secs(60);

#[derive(Clone, Copy)]
enum Change {
    Kill(NodeId),
    Leave(NodeId),
    Start(NodeId),
}
use Change::{Kill, Leave, Start};

/// What the callers of a service received during the observation period.
#[derive(Debug, Default)]
struct Observations {
    /// When the first request that ran was sent.
    first_run: Option<Duration>,
    /// When every running agent was ready for the first time after the last change.
    ready_at: Option<Duration>,
    /// Requests sent since the first one that ran.
    sent: usize,
    refused: usize,
}

/// Starts the agents one after another at an interval in ms, applies the changes at the given times
/// in ms, and sends requests with a new key each.
fn observe(start_interval: u64, changes: &[(u64, Change)]) -> Observations {
    let config = KeysConfig {
        settle_delay: SETTLE_DELAY,
        ..KeysConfig::default().with_first_start(true)
    };
    let mut simulation = Simulation::empty(config);
    let starts = (0..7).map(|n| (n * start_interval, Start(n + 1)));
    let mut changes: Vec<_> = starts.chain(changes.iter().copied()).collect();
    changes.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
    let mut observations = Observations::default();
    let mut callers = Vec::new();
    for number in 0..OBSERVATION_PERIOD.as_millis() / REQUEST_INTERVAL.as_millis() {
        while let Some((_, change)) =
            changes.pop_if(|c| Duration::from_millis(c.0) <= simulation.now)
        {
            apply(&mut simulation, change);
        }
        let alive = simulation.alive();
        let via = alive[number as usize % alive.len()];
        callers.push((
            simulation.now,
            simulation.send(via, &format!("order-{number}"), 1),
        ));
        simulation.advance(REQUEST_INTERVAL);
        let is_ready =
            changes.is_empty() && simulation.alive().iter().all(|&n| simulation.is_ready(n));
        observations.ready_at = observations.ready_at.or(is_ready.then_some(simulation.now));
    }
    for (at, caller) in callers {
        let ran = simulation.results.get(&caller) == Some(&CallerResult::Ran);
        observations.first_run = observations.first_run.or(ran.then_some(at));
        if observations.first_run.is_some() {
            observations.sent += 1;
            observations.refused += usize::from(!ran);
        }
    }
    let duplicate = simulation.runs.values().find(|runs| runs.len() > 1);
    assert_eq!(duplicate, None);
    observations
}

fn apply(simulation: &mut Simulation, change: Change) {
    match change {
        Kill(node) => simulation.kill(node),
        Leave(node) => simulation.leave(node),
        Start(node) => simulation.start(node, DOMAINS[node as usize - 1]),
    }
}

#[test]
fn agents_of_a_new_service_become_ready_in_time() {
    // name, interval between the starts in ms, changes, time by which every agent must be ready
    type Row<'a> = (&'a str, u64, &'a [(u64, Change)], Duration);
    let table: [Row<'_>; 7] = [
        ("all at once", 0, &[], READY_TIMEOUT),
        ("one after another", 300, &[], READY_TIMEOUT),
        (
            "throughout the founding",
            1_500,
            &[],
            READY_TIMEOUT + SETTLE_DELAY,
        ),
        (
            "two restarted before the founding",
            100,
            &[
                (4_000, Kill(2)),
                (5_000, Start(2)),
                (6_000, Kill(3)),
                (7_000, Start(3)),
            ],
            READY_TIMEOUT,
        ),
        (
            "two restarted together just before the founding",
            0,
            &[
                (8_000, Kill(2)),
                (8_000, Kill(3)),
                (8_500, Start(2)),
                (8_500, Start(3)),
            ],
            READY_TIMEOUT,
        ),
        (
            "killed and restarted one after another",
            300,
            &[
                (11_500, Kill(1)),
                (12_500, Start(1)),
                (14_000, Kill(2)),
                (15_000, Start(2)),
                (16_500, Kill(3)),
                (17_500, Start(3)),
            ],
            Duration::from_millis(17_500) + SYNC_TIME,
        ),
        (
            "planned restarts one after another",
            300,
            &[
                (14_000, Leave(1)),
                (15_000, Start(1)),
                (17_000, Leave(2)),
                (18_000, Start(2)),
                (20_000, Leave(3)),
                (21_000, Start(3)),
                (23_000, Leave(4)),
                (24_000, Start(4)),
            ],
            Duration::from_secs(24) + SYNC_TIME,
        ),
    ];
    let mut too_late = Vec::new();
    for (name, start_interval, changes, limit) in table {
        let observations = observe(start_interval, changes);
        println!("{name}: {observations:?}");
        if observations.ready_at.is_none_or(|at| at > limit) {
            too_late.push(name);
        }
    }
    assert_eq!(too_late, [""; 0]);
}

/// Agents crash and restart while the service is founded, each time with `first_start` set.
#[test]
fn key_runs_at_most_once_while_the_service_is_founded() {
    let mut ran = 0;
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut simulation = Simulation::empty(config().with_first_start(true));
        simulation.service_time = Duration::from_millis(rng.random_range(5..2_000));
        simulation.gossip_delay = Duration::from_millis(rng.random_range(0..2_500));
        let mut starts: Vec<_> = (1..=7).map(|n| (rng.random_range(0..4_000), n)).collect();
        for step in 0..300u64 {
            let now = step * 50;
            for (_, node) in starts.extract_if(.., |(at, _)| *at <= now) {
                apply(&mut simulation, Start(node));
            }
            let alive = simulation.alive();
            // At least four agents keep running: records are lost if all of their holders crash.
            if alive.len() > 4 && rng.random_ratio(1, 8) {
                let node = alive[rng.random_range(0..alive.len())];
                simulation.kill(node);
                starts.push((now + rng.random_range(0..1_000), node));
            }
            let key = format!("order-{}", rng.random_range(0..8));
            if let Some(&via) = alive.get(rng.random_range(0..7)) {
                simulation.send(via, &key, 1);
            }
            simulation.advance(Duration::from_millis(50));
        }
        let duplicate = simulation.runs.iter().find(|(_, runs)| runs.len() > 1);
        assert_eq!(duplicate, None, "seed {seed}");
        ran += simulation.runs.len();
    }
    assert!(ran > 0, "no key ran at all");
}

#[test]
fn key_runs_at_most_once_if_two_agents_restart_right_after_the_founding() {
    let mut ran = 0;
    for lost in (2_500..5_000u64).step_by(50) {
        let mut simulation = Simulation::empty(config().with_first_start(true));
        let mut changes = vec![
            (lost + 50, Start(2)),
            (lost + 50, Start(1)),
            (lost, Kill(2)),
            (lost, Kill(1)),
            (700, Start(3)),
            (0, Start(2)),
            (0, Start(1)),
        ];
        for step in 0..240u64 {
            while let Some((_, change)) = changes.pop_if(|(at, _)| *at <= step * 50) {
                apply(&mut simulation, change);
            }
            let via = 1 + step % 3;
            if simulation.alive().contains(&via) {
                simulation.send(via, "order-1", 1);
            }
            simulation.advance(Duration::from_millis(50));
        }
        assert!(simulation.run_count("order-1") <= 1, "lost after {lost} ms");
        ran += simulation.run_count("order-1");
    }
    assert!(ran > 0, "the key never ran");
}
