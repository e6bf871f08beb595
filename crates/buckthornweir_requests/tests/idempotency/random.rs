//! Random faults with fixed seeds, under which a request with an idempotency key runs at most once.

use std::time::Duration;

use crate::simulation::{CallerResult, EndFault, Simulation};
use buckthornweir_requests::NodeId;
use buckthornweir_requests::messages::KeyEnd;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(250);
/// Time during which a key is sent repeatedly.
const KEY_PERIOD: Duration = Duration::from_secs(10);
const DOMAINS: [&str; 6] = ["a", "b", "c", "a", "b", "c"];

/// Kinds of faults, and the seeds with which they are played.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    seeds: (u64, u64),
    /// Mean number of steps per fault.
    mean_steps: u32,
    kinds: &'static [Fault],
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    Restart,
    Leave,
    Join,
    Pause,
    Resume,
    Cut,
    Partition,
    Heal,
    LateEnds,
    LostEnds,
}

const ALL_FAULTS: &[Fault] = &[
    Fault::Kill,
    Fault::Restart,
    Fault::Restart,
    Fault::Leave,
    Fault::Join,
    Fault::Pause,
    Fault::Resume,
    Fault::Cut,
    Fault::Partition,
    Fault::Heal,
];

const SCENARIOS: [Scenario; 7] = [
    Scenario {
        name: "crashes",
        seeds: (0, 12),
        mean_steps: 12,
        kinds: &[Fault::Kill, Fault::Restart],
    },
    Scenario {
        name: "link failures",
        seeds: (100, 112),
        mean_steps: 8,
        kinds: &[Fault::Cut, Fault::Cut, Fault::Partition, Fault::Heal],
    },
    Scenario {
        name: "members change",
        seeds: (200, 212),
        mean_steps: 16,
        kinds: &[Fault::Leave, Fault::Join, Fault::Restart],
    },
    Scenario {
        name: "pauses",
        seeds: (300, 312),
        mean_steps: 8,
        kinds: &[Fault::Pause, Fault::Resume],
    },
    Scenario {
        name: "all",
        seeds: (400, 440),
        mean_steps: 8,
        kinds: ALL_FAULTS,
    },
    Scenario {
        name: "ends delayed and lost",
        seeds: (500, 524),
        mean_steps: 3,
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
    Scenario {
        name: "member joined while two others were cut off",
        seeds: (10_186, 10_187),
        mean_steps: 8,
        kinds: ALL_FAULTS,
    },
];

#[test]
fn key_runs_at_most_once_under_random_faults() {
    for scenario in SCENARIOS {
        let mut ran = 0;
        for seed in scenario.seeds.0..scenario.seeds.1 {
            ran += run(scenario, seed);
        }
        assert!(ran > 0, "{}: no key ran at all", scenario.name);
    }
}

/// Plays one seed and returns the number of keys that ran.
fn run(scenario: Scenario, seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut simulation = Simulation::new(&DOMAINS);
    let mut down: Vec<NodeId> = Vec::new();
    let mut next_node = 100;
    for step in 0..400u32 {
        if rng.random_ratio(1, scenario.mean_steps) {
            let kind = scenario.kinds[rng.random_range(0..scenario.kinds.len())];
            apply(&mut simulation, &mut rng, kind, &mut down, &mut next_node);
        }
        simulation.run_end = match rng.random_range(0..10) {
            0 => KeyEnd::NotRun,
            1 => KeyEnd::Unknown,
            _ => KeyEnd::Done,
        };
        simulation.service_time = Duration::from_millis(rng.random_range(5..3_000));
        let period = step / (KEY_PERIOD.as_millis() / STEP.as_millis()) as u32;
        let key = format!("order-{period}-{}", rng.random_range(0..4));
        if let Some(node) = choose(&mut rng, &simulation.alive()) {
            simulation.send(node, &key, 1);
        }
        simulation.advance(STEP);
    }
    for (key, runs) in &simulation.runs {
        let key = String::from_utf8_lossy(key);
        assert!(
            runs.len() <= 1,
            "{}, seed {seed}: {key} ran at {runs:?}",
            scenario.name
        );
    }
    for result in simulation.results.values() {
        let is_false = matches!(result, CallerResult::Refused(_, true));
        assert!(!is_false, "{}, seed {seed}: {result:?}", scenario.name);
    }
    simulation.runs.len()
}

fn apply(
    simulation: &mut Simulation,
    rng: &mut ChaCha8Rng,
    kind: Fault,
    down: &mut Vec<NodeId>,
    next_node: &mut NodeId,
) {
    let alive = simulation.alive();
    let (Some(node), Some(other)) = (choose(rng, &alive), choose(rng, &alive)) else {
        return;
    };
    match kind {
        Fault::Kill => {
            simulation.kill(node);
            down.push(node);
        }
        Fault::Restart => {
            if let Some(node) = down.pop() {
                simulation.restart(node);
            }
        }
        Fault::Leave if alive.len() > 3 => {
            simulation.leave(node);
            if rng.random_bool(0.5) {
                down.push(node);
            }
        }
        Fault::Leave => {}
        Fault::Join => {
            simulation.start(*next_node, DOMAINS[rng.random_range(0..DOMAINS.len())]);
            *next_node += 1;
        }
        Fault::Pause => simulation.pause(node),
        Fault::Resume => simulation.resume_one(),
        Fault::Cut => simulation.cut(node, other, true),
        Fault::Partition => {
            for &a in &alive {
                for &b in &alive {
                    if a < node && b >= node {
                        simulation.cut(a, b, true);
                    }
                }
            }
        }
        Fault::Heal => simulation.heal(),
        Fault::LateEnds => {
            let delay = Duration::from_millis(rng.random_range(5..1_500));
            simulation.end_faults.insert(node, EndFault::Late(delay));
        }
        Fault::LostEnds => {
            simulation
                .end_faults
                .insert(node, EndFault::Lost(rng.random_range(1..4)));
        }
    }
}

fn choose(rng: &mut ChaCha8Rng, nodes: &[NodeId]) -> Option<NodeId> {
    (!nodes.is_empty()).then(|| nodes[rng.random_range(0..nodes.len())])
}
