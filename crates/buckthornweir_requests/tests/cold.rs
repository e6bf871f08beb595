//! The limit protects a backend server that turns cold without notice and fails under overload.

use std::collections::BinaryHeap;
use std::time::Duration;

use buckthornweir_requests::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE_TIME: Duration = Duration::from_millis(50);
const COLD_DURATION: Duration = Duration::from_secs(3);
const COLD_AT: Duration = Duration::from_secs(30);
const RUN_TIME: Duration = Duration::from_secs(90);

/// A backend server that handles one concurrent request while it is cold; a second one restarts the
/// cold period.
struct Server {
    slots: usize,
    running: BinaryHeap<std::cmp::Reverse<Duration>>,
    cold_until: Duration,
    overloads: Vec<Duration>,
    /// Responses after it turned cold.
    done: usize,
}

impl Server {
    fn new() -> Self {
        Self {
            slots: 5,
            running: BinaryHeap::new(),
            cold_until: Duration::ZERO,
            overloads: Vec::new(),
            done: 0,
        }
    }

    /// Starts a request; returns false if the backend server is overloaded.
    fn try_start(&mut self, now: Duration) -> bool {
        let is_cold = now < self.cold_until;
        let capacity = if is_cold { 1 } else { self.slots };
        if self.running.len() >= capacity {
            self.overloads.push(now);
            self.cold_until = now + COLD_DURATION;
            return false;
        }
        self.running.push(std::cmp::Reverse(now + SERVICE_TIME));
        true
    }
}

/// Simulates a load of `load` requests per service time on average.
fn simulate(load: f64, seed: u64) -> Server {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut limit = Limit::new(LimitConfig::default(), Duration::ZERO);
    let mut server = Server::new();
    let step = Duration::from_millis(1);
    let mut now = Duration::ZERO;
    let mut waiting = 0;
    let mut failures = 0;
    while now < RUN_TIME {
        now += step;
        if now == COLD_AT {
            server.cold_until = now + COLD_DURATION;
        }
        for _ in 0..std::mem::take(&mut failures) {
            limit.release(Outcome::Failed, step, now);
        }
        while server.running.peek().is_some_and(|at| at.0 <= now) {
            server.running.pop();
            limit.release(Outcome::Done, SERVICE_TIME, now);
            server.done += usize::from(now > COLD_AT);
        }
        let share = load * step.as_secs_f64() / SERVICE_TIME.as_secs_f64();
        waiting += usize::from(rng.random_bool(share.min(1.0)));
        waiting = waiting.min(5);
        while waiting > 0 && limit.try_acquire(now) {
            waiting -= 1;
            failures += usize::from(!server.try_start(now));
        }
    }
    server
}

#[test]
fn backend_server_that_turned_cold_is_rarely_overloaded() {
    // Two streaks of errors reveal that it is cold, and one raise may come too early.
    let cold_after = LimitConfig::default().cold_after as usize;
    let max_overloads = 2 * (cold_after + 1) + 1;
    let mut violations = Vec::new();
    for load in [0.5, 0.8, 1.5, 2.5, 4.0, 6.0] {
        for seed in 0..10 {
            let server = simulate(load, seed);
            let overloads = server.overloads.len();
            println!(
                "load {load}, seed {seed}: {overloads} overloads, {} answers",
                server.done
            );
            if overloads > max_overloads {
                violations.push((load, seed, overloads));
            }
        }
    }
    assert_eq!(violations, []);
}

/// Saturates the limit of a warm backend server that fails the given share of its requests
/// regardless of load; returns the mean limit in percent of the slots.
fn mean_limit(share: f64, seed: u64) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let config = LimitConfig::default();
    let mut limit = Limit::new(config, Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut pending = std::collections::VecDeque::new();
    let (mut sum, mut count) = (0, 0);
    while now < RUN_TIME * 4 {
        now += Duration::from_millis(1);
        while let Some((_, outcome)) = pending.pop_front_if(|(at, _)| *at <= now) {
            limit.release(outcome, SERVICE_TIME, now);
        }
        if rng.random_bool(0.5) && limit.try_acquire(now) {
            let fails = now > COLD_AT && rng.random_bool(share);
            let outcome = if fails {
                Outcome::Failed
            } else {
                Outcome::Done
            };
            pending.push_back((now + SERVICE_TIME, outcome));
        }
        if now > COLD_AT {
            sum += limit.limit();
            count += config.slots;
        }
    }
    sum * 100 / count
}

#[test]
fn rare_errors_leave_a_warm_backend_server_its_slots() {
    // share of errors, minimum mean limit in percent of the slots
    for (share, min_mean) in [(0.01, 95), (0.02, 95), (0.05, 80)] {
        for seed in 0..5 {
            let mean = mean_limit(share, seed);
            println!("share {share}, seed {seed}: mean limit {mean} percent");
            assert!(
                mean >= min_mean,
                "share {share}, seed {seed}: {mean} percent"
            );
        }
    }
}
