//! The first seconds of a service: how soon requests with a key run, and how many are refused.

use std::time::Duration;

use crate::net::{Got, KeyNet, config};
use buckthornweir_requests::NodeId;
use buckthornweir_requests::idempotency::KeysConfig;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DOMAINS: [&str; 7] = ["a", "b", "c", "a", "b", "c", "a"];
/// Time for news of members to spread, as in the daemon.
const SETTLE: Duration = Duration::from_secs(10);
/// Time for a look at the members and a pull.
const NEWS: Duration = Duration::from_secs(2);
/// Time after which every agent of a new service must hold keys.
const READY: Duration = Duration::from_secs(12);
/// Time between two requests.
const STEP: Duration = Duration::from_millis(100);
const SEEDS: u64 = 200;
const END: Duration = Duration::from_secs(60);

#[derive(Clone, Copy)]
enum Change {
    Kill(NodeId),
    Leave(NodeId),
    Start(NodeId),
}
use Change::{Kill, Leave, Start};

/// What the callers of a service saw in its first minute.
#[derive(Debug, Default)]
struct Seen {
    /// When a request with a key first ran.
    first: Option<Duration>,
    /// When every agent that is there held keys for the first time after the last change.
    ready: Option<Duration>,
    sent: usize,
    refused: usize,
}

/// Agents start one after another with a pause between, and these changes follow (in ms).
fn watch(pause: u64, changes: &[(u64, Change)]) -> Seen {
    let config = KeysConfig {
        settle_delay: SETTLE,
        ..KeysConfig::default().with_first_start(true)
    };
    let mut net = KeyNet::empty(config);
    let starts = (0..7).map(|n| (n * pause, Start(n + 1)));
    let mut changes: Vec<_> = starts.chain(changes.iter().copied()).collect();
    changes.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
    let mut seen = Seen::default();
    let mut callers = Vec::new();
    for number in 0..END.as_millis() / STEP.as_millis() {
        while let Some((_, change)) = changes.pop_if(|c| Duration::from_millis(c.0) <= net.now) {
            apply(&mut net, change);
        }
        let alive = net.alive();
        let through = alive[number as usize % alive.len()];
        callers.push((net.now, net.send(through, &format!("order-{number}"), 1)));
        net.pass(STEP);
        let is_ready = changes.is_empty() && net.alive().iter().all(|&n| net.is_ready(n));
        seen.ready = seen.ready.or(is_ready.then_some(net.now));
    }
    for (at, caller) in callers {
        let ran = net.got.get(&caller) == Some(&Got::Ran);
        seen.first = seen.first.or(ran.then_some(at));
        if seen.first.is_some() {
            seen.sent += 1;
            seen.refused += usize::from(!ran);
        }
    }
    let doubled = net.runs.values().find(|runs| runs.len() > 1);
    assert_eq!(doubled, None);
    seen
}

fn apply(net: &mut KeyNet, change: Change) {
    match change {
        Kill(node) => net.kill(node),
        Leave(node) => net.leave(node),
        Start(node) => net.start(node, DOMAINS[node as usize - 1]),
    }
}

#[test]
fn agents_of_a_new_service_soon_hold_keys() {
    // name, pause between the starts in ms, changes, when every agent holds keys at the latest
    type Row<'a> = (&'a str, u64, &'a [(u64, Change)], Duration);
    let table: [Row<'_>; 7] = [
        ("all at once", 0, &[], READY),
        ("one after another", 300, &[], READY),
        (
            "over the whole time of founding",
            1_500,
            &[],
            READY + SETTLE,
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
            READY,
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
            READY,
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
            Duration::from_millis(17_500) + NEWS,
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
            Duration::from_secs(24) + NEWS,
        ),
    ];
    let mut late = Vec::new();
    for (name, pause, changes, limit) in table {
        let seen = watch(pause, changes);
        println!("{name}: {seen:?}");
        if seen.ready.is_none_or(|at| at > limit) {
            late.push(name);
        }
    }
    assert_eq!(late, [""; 0]);
}

/// Agents are killed and start again while the service is founded, and are told each time that it is
/// the first start.
#[test]
fn key_runs_at_most_once_while_the_service_is_founded() {
    let mut ran = 0;
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut net = KeyNet::empty(config().with_first_start(true));
        net.service = Duration::from_millis(rng.random_range(5..2_000));
        net.news = Duration::from_millis(rng.random_range(0..2_500));
        let mut starts: Vec<_> = (1..=7).map(|n| (rng.random_range(0..4_000), n)).collect();
        for step in 0..300u64 {
            let now = step * 50;
            for (_, node) in starts.extract_if(.., |(at, _)| *at <= now) {
                apply(&mut net, Start(node));
            }
            let alive = net.alive();
            // Records are lost with the last of the agents that hold them.
            if alive.len() > 4 && rng.random_ratio(1, 8) {
                let node = alive[rng.random_range(0..alive.len())];
                net.kill(node);
                starts.push((now + rng.random_range(0..1_000), node));
            }
            let key = format!("order-{}", rng.random_range(0..8));
            if let Some(&through) = alive.get(rng.random_range(0..7)) {
                net.send(through, &key, 1);
            }
            net.pass(Duration::from_millis(50));
        }
        let doubled = net.runs.iter().find(|(_, runs)| runs.len() > 1);
        assert_eq!(doubled, None, "seed {seed}");
        ran += net.runs.len();
    }
    assert!(ran > 0, "no key ran at all");
}

#[test]
fn two_agents_lost_right_after_the_founding_run_no_key_again() {
    let mut ran = 0;
    for lost in (2_500..5_000u64).step_by(50) {
        let mut net = KeyNet::empty(config().with_first_start(true));
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
                apply(&mut net, change);
            }
            let through = 1 + step % 3;
            if net.alive().contains(&through) {
                net.send(through, "order-1", 1);
            }
            net.pass(Duration::from_millis(50));
        }
        assert!(net.count("order-1") <= 1, "lost after {lost} ms");
        ran += net.count("order-1");
    }
    assert!(ran > 0, "the key never ran");
}
