//! A backend server that turns cold without warning and falls over at more than it bears.

use std::collections::BinaryHeap;
use std::time::Duration;

use buckthornweir_requests::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const WORK: Duration = Duration::from_millis(50);
const COLD_TIME: Duration = Duration::from_secs(3);
const TURNS_COLD: Duration = Duration::from_secs(30);
const END: Duration = Duration::from_secs(90);

/// A backend server that bears one request at a time while it is cold; one more makes it cold anew.
struct Server {
    slots: usize,
    running: BinaryHeap<std::cmp::Reverse<Duration>>,
    cold_until: Duration,
    falls: Vec<Duration>,
    /// Answers after it turned cold.
    done: usize,
}

impl Server {
    fn new() -> Self {
        Self {
            slots: 5,
            running: BinaryHeap::new(),
            cold_until: Duration::ZERO,
            falls: Vec::new(),
            done: 0,
        }
    }

    /// Takes a request; returns false if it falls over.
    fn enter(&mut self, now: Duration) -> bool {
        let is_cold = now < self.cold_until;
        let bears = if is_cold { 1 } else { self.slots };
        if self.running.len() >= bears {
            self.falls.push(now);
            self.cold_until = now + COLD_TIME;
            return false;
        }
        self.running.push(std::cmp::Reverse(now + WORK));
        true
    }
}

/// Runs a load of so many requests in one work time on the average.
fn run(load: f64, seed: u64) -> Server {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut limit = Limit::new(LimitConfig::default(), Duration::ZERO);
    let mut server = Server::new();
    let step = Duration::from_millis(1);
    let mut now = Duration::ZERO;
    let mut waiting = 0;
    let mut failing = 0;
    while now < END {
        now += step;
        if now == TURNS_COLD {
            server.cold_until = now + COLD_TIME;
        }
        for _ in 0..std::mem::take(&mut failing) {
            limit.release(Outcome::Failed, step, now);
        }
        while server.running.peek().is_some_and(|at| at.0 <= now) {
            server.running.pop();
            limit.release(Outcome::Done, WORK, now);
            server.done += usize::from(now > TURNS_COLD);
        }
        let share = load * step.as_secs_f64() / WORK.as_secs_f64();
        waiting += usize::from(rng.random_bool(share.min(1.0)));
        waiting = waiting.min(5);
        while waiting > 0 && limit.try_acquire(now) {
            waiting -= 1;
            failing += usize::from(!server.enter(now));
        }
    }
    server
}

#[test]
fn backend_server_that_turned_cold_falls_seldom() {
    // Two runs of errors show that it is cold, and it may be tried once too early.
    let cold_after = LimitConfig::default().cold_after as usize;
    let most = 2 * (cold_after + 1) + 1;
    let mut late = Vec::new();
    for load in [0.5, 0.8, 1.5, 2.5, 4.0, 6.0] {
        for seed in 0..10 {
            let server = run(load, seed);
            let falls = server.falls.len();
            println!(
                "load {load}, seed {seed}: {falls} falls, {} answers",
                server.done
            );
            if falls > most {
                late.push((load, seed, falls));
            }
        }
    }
    assert_eq!(late, []);
}

/// Gives a warm backend server of which this share of the requests fails, whatever its load, as much as
/// its limit allows; returns the mean limit in percent of the slots.
fn mean_limit(share: f64, seed: u64) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let config = LimitConfig::default();
    let mut limit = Limit::new(config, Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut ends = std::collections::VecDeque::new();
    let (mut sum, mut count) = (0, 0);
    while now < END * 4 {
        now += Duration::from_millis(1);
        while let Some((_, outcome)) = ends.pop_front_if(|(at, _)| *at <= now) {
            limit.release(outcome, WORK, now);
        }
        if rng.random_bool(0.5) && limit.try_acquire(now) {
            let is_error = now > TURNS_COLD && rng.random_bool(share);
            let outcome = if is_error {
                Outcome::Failed
            } else {
                Outcome::Done
            };
            ends.push_back((now + WORK, outcome));
        }
        if now > TURNS_COLD {
            sum += limit.limit();
            count += config.slots;
        }
    }
    sum * 100 / count
}

#[test]
fn few_errors_of_its_own_leave_a_backend_server_its_slots() {
    // share of errors, mean limit in percent of the slots at least
    for (share, least) in [(0.01, 95), (0.02, 95), (0.05, 80)] {
        for seed in 0..5 {
            let mean = mean_limit(share, seed);
            println!("share {share}, seed {seed}: mean limit {mean} percent");
            assert!(mean >= least, "share {share}, seed {seed}: {mean} percent");
        }
    }
}
