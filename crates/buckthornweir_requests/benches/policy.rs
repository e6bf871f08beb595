//! Prints the performance of the admission policy in the model: imbalance, latency, cold start and
//! goodput.

mod model;

use std::time::Duration;

use buckthornweir_requests::{AdmissionConfig, LimitConfig};
use model::{Overload, Recorder, Scenario, Shape, run};

const SEEDS: [u64; 3] = [1, 2, 3];
const LENGTH: Duration = Duration::from_secs(140);

fn main() {
    // The filters and flags that Cargo passes for its own harness are ignored.
    imbalance();
    goodput();
    cold_start();
    hedging();
}

fn scenario(servers: usize, shape: Shape, load: f64) -> Scenario {
    Scenario {
        servers,
        shape,
        load,
        length: LENGTH,
        config: AdmissionConfig::default(),
        handoff: true,
        overload: Overload::Sheds,
        warm_step: Duration::from_secs(1),
        restart: None,
        slow: 0,
        slow_factor: 1.0,
        slow_from: Duration::ZERO,
        repeatable: false,
        cancels_lost: false,
        death: None,
        arrivals_end: LENGTH,
        warm: true,
        seed: 0,
    }
}

fn imbalance() {
    println!(
        "imbalance in the busiest 60 s (max over mean), load 0.6, 140 s without the first 20 s, mean of 3 seeds"
    );
    println!("servers shape   way           imbalance worst  refused handed  p50    p95    p99 ms");
    for servers in [7, 3] {
        for shape in [Shape::Steady, Shape::Bursty, Shape::Skewed] {
            let base = scenario(servers, shape, 0.6);
            let mut no_share = base.clone();
            no_share.config.share_threshold = f64::INFINITY;
            let mut no_handoff = no_share.clone();
            no_handoff.handoff = false;
            print_imbalance("alone", &no_handoff);
            print_imbalance("when full", &no_share);
            print_imbalance("with sharing", &base);
        }
    }
}

fn print_imbalance(mode: &str, scenario: &Scenario) {
    let recorders = run_seeds(scenario);
    let worst = recorders
        .iter()
        .map(Recorder::busiest_imbalance)
        .fold(0.0, f64::max);
    println!(
        "{:<7} {:<7} {mode:<13} {:>9.3} {worst:>5.2} {:>8.4} {:>6.3} {:>6.1} {:>6.1} {:>6.1}",
        scenario.servers,
        format!("{:?}", scenario.shape),
        mean(&recorders, Recorder::busiest_imbalance),
        mean(&recorders, Recorder::refused_share),
        mean(&recorders, Recorder::handed_share),
        mean(&recorders, |r| millis(r.latency(true, 50.0))),
        mean(&recorders, |r| millis(r.latency(true, 95.0))),
        mean(&recorders, |r| millis(r.latency(true, 99.0))),
    );
}

fn goodput() {
    println!(
        "\ngoodput, 7 backend servers, capacity 700 a second, 140 s without the first 20 s, mean of 3 seeds"
    );
    println!("load  way       goodput of-capacity refused refusal-p99 ms run-p99 ms");
    for load in [0.5, 0.9, 1.2, 3.0] {
        for (mode, handoff) in [("alone", false), ("hand-off", true)] {
            let mut scenario = scenario(7, Shape::Steady, load);
            scenario.handoff = handoff;
            let recorders = run_seeds(&scenario);
            let goodput = mean(&recorders, Recorder::goodput);
            println!(
                "{load:<5} {mode:<9} {goodput:>7.1} {:>11.3} {:>7.3} {:>14.1} {:>10.1}",
                goodput / 700.0,
                mean(&recorders, Recorder::refused_share),
                mean(&recorders, |r| millis(r.latency(false, 99.0))),
                mean(&recorders, |r| millis(r.latency(true, 99.0))),
            );
        }
    }
}

fn hedging() {
    println!(
        "\nhedging, 10 backend servers, 140 s without the first 20 s, mean of 3 seeds; slow ones take 5 times as long"
    );
    println!("slow load second-tries  p50    p95    p99 ms copies  won refused");
    for (slow, load) in [(0, 0.4), (1, 0.4), (1, 0.6), (10, 0.1), (10, 0.3)] {
        for percent in [0, 5, 10, 20] {
            let mut scenario = scenario(10, Shape::Steady, load);
            scenario.repeatable = true;
            scenario.arrivals_end = LENGTH - Duration::from_secs(5);
            scenario.slow = slow;
            scenario.slow_factor = 5.0;
            scenario.config.second_tries = percent;
            print_hedging(&scenario);
        }
    }
}

fn print_hedging(scenario: &Scenario) {
    let recorders = run_seeds(scenario);
    let per_start = |count: usize, r: &Recorder| count as f64 / r.starts.len() as f64;
    println!(
        "{:<4} {:<4} {:>11}% {:>5.1} {:>6.1} {:>9.1} {:>6.4} {:>6.4} {:>5.3}",
        scenario.slow,
        scenario.load,
        scenario.config.second_tries,
        mean(&recorders, |r| millis(r.latency(true, 50.0))),
        mean(&recorders, |r| millis(r.latency(true, 95.0))),
        mean(&recorders, |r| millis(r.latency(true, 99.0))),
        mean(&recorders, |r| per_start(r.grants.len(), r)),
        mean(&recorders, |r| per_start(r.wins as usize, r)),
        mean(&recorders, Recorder::refused_share),
    );
    let lost: usize = recorders.iter().map(Recorder::unanswered).sum();
    assert_eq!(lost, 0, "requests without an end");
}

fn cold_start() {
    println!(
        "\ncold start: a backend server restarts at 30 s under load 0.9, 140 s without the first 20 s, worst of 3 seeds"
    );
    println!("one-more-each when-over limit     cold-most over-most over falls refused");
    for step in [1, 2, 4] {
        for overload in [Overload::Sheds, Overload::Falls] {
            for (mode, adaptive) in [("eager", false), ("adaptive", true)] {
                let mut scenario = scenario(7, Shape::Steady, 0.9);
                scenario.overload = overload;
                scenario.warm_step = Duration::from_secs(step);
                scenario.restart = Some(Duration::from_secs(30));
                if !adaptive {
                    scenario.config.limit = eager();
                }
                print_cold(mode, &scenario);
            }
        }
    }
}

/// Returns the configuration of a limit that returns to all slots as fast as responses arrive.
fn eager() -> LimitConfig {
    LimitConfig {
        cold: 5,
        raise_after: 1,
        raise_gap: Duration::ZERO,
        max_gap: Duration::ZERO,
        pause: Duration::ZERO,
        max_pause: Duration::ZERO,
        ..LimitConfig::default()
    }
}

fn print_cold(mode: &str, scenario: &Scenario) {
    let recorders = run_seeds(scenario);
    let worst = |f: fn(&Recorder) -> u64| recorders.iter().map(f).max().unwrap_or(0);
    println!(
        "{:<11} s {:<9} {mode:<9} {:>9} {:>9} {:>4} {:>5} {:>7.3}",
        scenario.warm_step.as_secs(),
        format!("{:?}", scenario.overload),
        worst(|r| r.servers[0].max_cold as u64),
        worst(|r| r.servers[0].max_excess as u64),
        worst(|r| r.servers[0].excess),
        worst(|r| r.servers[0].crashes),
        mean(&recorders, Recorder::refused_share),
    );
}

/// Runs the scenario with every seed, each on its own thread.
fn run_seeds(scenario: &Scenario) -> Vec<Recorder> {
    std::thread::scope(|scope| {
        let start = |&seed| {
            let scenario = Scenario {
                seed,
                ..scenario.clone()
            };
            scope.spawn(move || run(scenario))
        };
        let threads: Vec<_> = SEEDS.iter().map(start).collect();
        threads
            .into_iter()
            .map(|t| t.join().expect("run ends"))
            .collect()
    })
}

fn mean(recorders: &[Recorder], value: impl Fn(&Recorder) -> f64) -> f64 {
    recorders.iter().map(value).sum::<f64>() / recorders.len() as f64
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
