//! Random faults, with fixed seeds: a request with an idempotency key runs at most once.

use std::time::Duration;

use crate::net::{EndFault, Got, KeyNet};
use buckthornweir_requests::NodeId;
use buckthornweir_requests::messages::KeyEnd;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(250);
/// Time in which a key is sent again and again.
const KEY_TIME: Duration = Duration::from_secs(10);
const DOMAINS: [&str; 6] = ["a", "b", "c", "a", "b", "c"];

/// Which faults happen, and how many steps go without one on the average.
#[derive(Clone, Copy)]
struct Faults {
    name: &'static str,
    seeds: (u64, u64),
    quiet: u32,
    kinds: &'static [Fault],
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    Restart,
    Leave,
    Join,
    Freeze,
    Thaw,
    Cut,
    Part,
    Heal,
    LateEnds,
    LostEnds,
}

const ALL: &[Fault] = &[
    Fault::Kill,
    Fault::Restart,
    Fault::Restart,
    Fault::Leave,
    Fault::Join,
    Fault::Freeze,
    Fault::Thaw,
    Fault::Cut,
    Fault::Part,
    Fault::Heal,
];

const TABLE: [Faults; 7] = [
    Faults {
        name: "kills",
        seeds: (0, 12),
        quiet: 12,
        kinds: &[Fault::Kill, Fault::Restart],
    },
    Faults {
        name: "cuts",
        seeds: (100, 112),
        quiet: 8,
        kinds: &[Fault::Cut, Fault::Cut, Fault::Part, Fault::Heal],
    },
    Faults {
        name: "members change",
        seeds: (200, 212),
        quiet: 16,
        kinds: &[Fault::Leave, Fault::Join, Fault::Restart],
    },
    Faults {
        name: "freezes",
        seeds: (300, 312),
        quiet: 8,
        kinds: &[Fault::Freeze, Fault::Thaw],
    },
    Faults {
        name: "all",
        seeds: (400, 440),
        quiet: 8,
        kinds: ALL,
    },
    Faults {
        name: "ends late and lost",
        seeds: (500, 524),
        quiet: 3,
        kinds: &[
            Fault::LateEnds,
            Fault::LateEnds,
            Fault::LostEnds,
            Fault::Kill,
            Fault::Restart,
            Fault::Cut,
            Fault::Heal,
        ],
    },
    Faults {
        name: "member joined while two others were cut off",
        seeds: (10_186, 10_187),
        quiet: 8,
        kinds: ALL,
    },
];

#[test]
fn key_runs_at_most_once_under_random_faults() {
    for faults in TABLE {
        let mut ran = 0;
        for seed in faults.seeds.0..faults.seeds.1 {
            ran += run(faults, seed);
        }
        assert!(ran > 0, "{}: no key ran at all", faults.name);
    }
}

/// Runs one seed and returns how many keys ran.
fn run(faults: Faults, seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut net = KeyNet::new(&DOMAINS);
    let mut down: Vec<NodeId> = Vec::new();
    let mut next_node = 100;
    for step in 0..400u32 {
        if rng.random_ratio(1, faults.quiet) {
            let kind = faults.kinds[rng.random_range(0..faults.kinds.len())];
            apply(&mut net, &mut rng, kind, &mut down, &mut next_node);
        }
        net.end = match rng.random_range(0..10) {
            0 => KeyEnd::NotRun,
            1 => KeyEnd::Unknown,
            _ => KeyEnd::Done,
        };
        net.service = Duration::from_millis(rng.random_range(5..3_000));
        let period = step / (KEY_TIME.as_millis() / STEP.as_millis()) as u32;
        let key = format!("order-{period}-{}", rng.random_range(0..4));
        if let Some(node) = any(&mut rng, &net.alive()) {
            net.send(node, &key, 1);
        }
        net.pass(STEP);
    }
    for (key, runs) in &net.runs {
        let key = String::from_utf8_lossy(key);
        assert!(
            runs.len() <= 1,
            "{}, seed {seed}: {key} ran at {runs:?}",
            faults.name
        );
    }
    for got in net.got.values() {
        let is_lie = matches!(got, Got::Refused(_, true));
        assert!(!is_lie, "{}, seed {seed}: {got:?}", faults.name);
    }
    net.runs.len()
}

fn apply(
    net: &mut KeyNet,
    rng: &mut ChaCha8Rng,
    kind: Fault,
    down: &mut Vec<NodeId>,
    next_node: &mut NodeId,
) {
    let alive = net.alive();
    let (Some(node), Some(other)) = (any(rng, &alive), any(rng, &alive)) else {
        return;
    };
    match kind {
        Fault::Kill => {
            net.kill(node);
            down.push(node);
        }
        Fault::Restart => {
            if let Some(node) = down.pop() {
                net.restart(node);
            }
        }
        Fault::Leave if alive.len() > 3 => {
            net.leave(node);
            if rng.random_bool(0.5) {
                down.push(node);
            }
        }
        Fault::Leave => {}
        Fault::Join => {
            net.start(*next_node, DOMAINS[rng.random_range(0..DOMAINS.len())]);
            *next_node += 1;
        }
        Fault::Freeze => net.freeze(node),
        Fault::Thaw => net.thaw_one(),
        Fault::Cut => net.cut(node, other, true),
        Fault::Part => {
            for &a in &alive {
                for &b in &alive {
                    if a < node && b >= node {
                        net.cut(a, b, true);
                    }
                }
            }
        }
        Fault::Heal => net.heal(),
        Fault::LateEnds => {
            let delay = Duration::from_millis(rng.random_range(5..1_500));
            net.ends.insert(node, EndFault::Late(delay));
        }
        Fault::LostEnds => {
            net.ends
                .insert(node, EndFault::Lost(rng.random_range(1..4)));
        }
    }
}

fn any(rng: &mut ChaCha8Rng, nodes: &[NodeId]) -> Option<NodeId> {
    (!nodes.is_empty()).then(|| nodes[rng.random_range(0..nodes.len())])
}
