//! Adaptive concurrency limit of one backend server.

mod config;
mod errors;

use std::time::Duration;

pub use config::LimitConfig;

use crate::Outcome;
use crate::latencies::Latencies;
use errors::ERROR_WEIGHT;

/// Most by which the time to warm up is lengthened.
const MAX_WARM_UP_FACTOR: u32 = 8;

/// Limit on the requests that one backend server runs at a time.
///
/// The limit starts at `cold`, rises by one after a run of good outcomes while it was used up,
/// falls on refusals, losses and slow answers, and never passes `slots`. Losses in a row show that
/// the backend server restarted: the limit falls to `cold`, and after further losses the backend
/// server gets pauses that double.
///
/// ```
/// use std::time::Duration;
/// use buckthornweir_requests::{Limit, LimitConfig, Outcome};
///
/// let now = Duration::ZERO;
/// let mut limit = Limit::new(LimitConfig::default(), now);
/// assert!(limit.try_acquire(now));
/// assert!(!limit.try_acquire(now));
/// limit.release(Outcome::Done, Duration::from_millis(20), now);
/// assert_eq!(limit.free(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Limit {
    config: LimitConfig,
    limit: u32,
    /// Highest limit since the backend server turned cold.
    peak: u32,
    in_flight: u32,
    /// Good outcomes since the last change.
    successes: u32,
    /// Refusals and losses in a row.
    bad_streak: u32,
    /// Errors of the backend server's own in a row.
    error_streak: u32,
    /// Recent share of errors among the answers to requests that did not run alone, from 0 to 1.
    error_share: f64,
    /// Whether errors lowered the limit since it was last raised.
    errors_lowered: bool,
    /// Good outcomes of requests that did not run alone, since the limit was last raised.
    probe_successes: u32,
    /// Whether an error is taken for a sign of too much load: the backend server may be cold, and none
    /// came to a request that ran alone.
    overload_suspected: bool,
    /// When requests last ran beside each other.
    last_concurrent: Duration,
    /// Answers in a row with a slow recent mean.
    slow_streak: u32,
    /// Whether the limit was used up since the last change.
    saturated: bool,
    raised_at: Duration,
    lowered_at: Duration,
    used_at: Duration,
    cold_since: Duration,
    warm_up: Duration,
    next_gap: Duration,
    pause_end: Duration,
    pause: Duration,
    latencies: Latencies,
}

impl Limit {
    /// Returns the limit of a cold backend server.
    pub fn new(config: LimitConfig, now: Duration) -> Self {
        let config = config.with_slots(config.slots).with_cold(config.cold);
        Self {
            config,
            limit: config.cold.min(config.slots),
            peak: config.cold.min(config.slots),
            in_flight: 0,
            successes: 0,
            bad_streak: 0,
            error_streak: 0,
            error_share: 0.0,
            errors_lowered: false,
            probe_successes: config.raise_after,
            overload_suspected: true,
            last_concurrent: now,
            slow_streak: 0,
            saturated: false,
            raised_at: now,
            lowered_at: now,
            used_at: now,
            cold_since: now,
            warm_up: config.warm_up,
            next_gap: config.raise_gap,
            pause_end: Duration::ZERO,
            pause: config.pause,
            latencies: Latencies::new(config.slow_factor, config.slow_floor),
        }
    }

    /// Returns the limit in requests.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the number of requests that hold a slot.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of free slots, not counting a pause.
    pub fn free(&self) -> u32 {
        self.limit.saturating_sub(self.in_flight)
    }

    /// Returns the number of slots that can be taken at `now`.
    pub fn free_at(&self, now: Duration) -> u32 {
        if self.is_paused(now) { 0 } else { self.free() }
    }

    /// Returns whether no request may start because the backend server was lost.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.pause_end
    }

    /// Returns when the pause ends.
    pub fn paused_until(&self) -> Duration {
        self.pause_end
    }

    /// Returns the recent mean latency of good answers, if any was seen.
    pub fn latency(&self) -> Option<Duration> {
        self.latencies.recent()
    }

    /// Returns the usual latency of good answers; zero before the first.
    pub fn baseline_latency(&self) -> Duration {
        self.latencies.baseline()
    }

    /// Takes over another configuration. The limit stays where it is, within the new bounds.
    pub fn reconfigure(&mut self, config: LimitConfig, now: Duration) {
        let config = config.with_slots(config.slots).with_cold(config.cold);
        let lowest = config.cold.min(config.slots);
        let limit = self.limit.clamp(lowest, config.slots);
        if limit < self.limit {
            self.lower_to(limit, now);
        } else {
            self.limit = limit;
        }
        self.peak = self.peak.clamp(limit, config.slots);
        self.config = config;
    }

    /// Takes a slot; returns false where none is free.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        self.halve_after_idle(now);
        if self.free_at(now) == 0 {
            self.saturated = true;
            return false;
        }
        self.in_flight += 1;
        self.record_concurrency(now);
        self.saturated |= self.in_flight >= self.limit;
        self.used_at = now;
        true
    }

    /// Gives a slot back that was never used.
    pub fn release_unused(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Gives a slot back and learns from the outcome that its request had.
    pub fn release(&mut self, outcome: Outcome, latency: Duration, now: Duration) {
        self.record_concurrency(now);
        let is_last = self.in_flight <= 1;
        self.release_unused();
        self.used_at = now;
        let started = now.saturating_sub(latency);
        match outcome {
            Outcome::Done => self.on_success(latency, is_last, now),
            Outcome::Refused => self.on_refused(started, now),
            Outcome::Cut => self.on_lost(started, now),
            Outcome::Silent if self.latencies.is_long(latency) => self.on_lost(started, now),
            Outcome::Failed => self.on_error(started, now),
            // A deadline shorter than usual answers take tells nothing about the backend server.
            Outcome::Silent | Outcome::Cancelled => {}
        }
    }

    /// Sets the limit back to that of a cold backend server.
    pub fn turn_cold(&mut self, now: Duration) {
        self.adjust_warm_up(now);
        self.lower_to(self.config.cold.min(self.limit), now);
        self.cold_since = now;
        self.peak = self.limit;
        self.next_gap = self.config.raise_gap;
        self.overload_suspected = true;
        self.latencies.reset_recent();
    }

    fn on_success(&mut self, latency: Duration, is_last: bool, now: Duration) {
        self.bad_streak = 0;
        self.error_streak = 0;
        if !is_last {
            self.error_share *= 1.0 - ERROR_WEIGHT;
            self.probe_successes = self.probe_successes.saturating_add(1);
        }
        self.pause = self.config.pause;
        self.latencies.record(latency);
        if self.latencies.is_slow() {
            self.on_slow(now.saturating_sub(latency), now);
            return;
        }
        self.slow_streak = 0;
        self.successes += 1;
        if self.may_raise(now) {
            self.limit += 1;
            self.peak = self.peak.max(self.limit);
            self.successes = 0;
            self.saturated = false;
            self.raised_at = now;
            self.errors_lowered = false;
            self.probe_successes = 0;
            self.overload_suspected &= self.limit < self.config.slots;
            self.next_gap = (self.next_gap / 2).max(self.config.raise_gap);
        }
    }

    fn may_raise(&self, now: Duration) -> bool {
        self.limit < self.ceiling(now)
            && self.saturated
            && self.successes >= self.config.raise_after
            && now >= self.raised_at + self.next_gap
    }

    /// Doubles the time to warm up if the backend server fell while it was warming up.
    fn adjust_warm_up(&mut self, now: Duration) {
        let age = now.saturating_sub(self.cold_since);
        if age >= self.warm_up * 2 {
            self.warm_up = self.config.warm_up;
        } else if self.peak > self.config.cold {
            self.warm_up = (self.warm_up * 2).min(self.config.warm_up * MAX_WARM_UP_FACTOR);
        }
    }

    /// Returns the most that a backend server may get so long after it turned cold.
    fn ceiling(&self, now: Duration) -> u32 {
        let age = now.saturating_sub(self.cold_since);
        if age >= self.warm_up {
            return self.config.slots;
        }
        let cold = self.config.cold.min(self.config.slots);
        let fraction = age.div_duration_f64(self.warm_up);
        cold + (f64::from(self.config.slots - cold) * fraction) as u32
    }

    fn on_slow(&mut self, started: Duration, now: Duration) {
        self.successes = 0;
        self.slow_streak += 1;
        if self.slow_streak >= self.config.slow_after && started >= self.lowered_at {
            self.lower_to(self.limit / 2, now);
            self.double_gap();
            self.latencies.reset_recent();
        }
    }

    /// Requests that started before the limit was last lowered tell nothing about it.
    fn on_refused(&mut self, started: Duration, now: Duration) {
        self.successes = 0;
        if started < self.lowered_at {
            return;
        }
        self.bad_streak += 1;
        self.double_gap();
        if self.limit <= self.config.cold {
            self.lower_to(self.limit - 1, now);
            self.start_pause(now);
        } else if self.bad_streak > self.config.cold_after {
            self.turn_cold(now);
        } else {
            self.lower_to(self.limit - 1, now);
        }
    }

    fn on_lost(&mut self, started: Duration, now: Duration) {
        self.successes = 0;
        self.bad_streak += 1;
        let is_current = started >= self.lowered_at;
        if self.bad_streak >= self.config.cold_after
            && (is_current || self.limit > self.config.cold)
        {
            self.turn_cold(now);
            self.start_pause(now);
        } else if is_current {
            self.lower_to(self.limit - 1, now);
            if self.limit <= self.config.cold {
                self.start_pause(now);
            }
        }
    }

    /// Lets more time pass before the next raise.
    fn double_gap(&mut self) {
        self.next_gap = (self.next_gap * 2).min(self.config.max_gap);
    }

    /// Lowers the limit, to one at least.
    fn lower_to(&mut self, limit: u32, now: Duration) {
        self.limit = limit.max(1);
        self.successes = 0;
        self.slow_streak = 0;
        self.saturated = false;
        self.raised_at = now;
        self.lowered_at = now;
    }

    fn halve_after_idle(&mut self, now: Duration) {
        let is_idle = self.in_flight == 0 && now >= self.used_at + self.config.idle_after;
        if is_idle {
            self.limit = (self.limit / 2).max(self.config.cold.min(self.config.slots));
            self.used_at = now;
        }
    }

    fn start_pause(&mut self, now: Duration) {
        self.pause_end = now + self.pause;
        self.pause = (self.pause * 2).min(self.config.max_pause);
    }
}
