//! Adaptive concurrency limit of one backend server.

mod config;
mod errors;

use std::time::Duration;

pub use config::LimitConfig;

use crate::Outcome;
use crate::latencies::Latencies;
use errors::ERROR_WEIGHT;

/// Maximum factor by which the warm-up time grows.
const MAX_WARM_UP_FACTOR: u32 = 8;

/// Limit on the concurrent requests at one backend server.
///
/// The limit starts at `cold`, rises by one after enough successes while it is saturated, falls on
/// refusals, losses, server errors and slow responses, and never exceeds `slots`. Consecutive
/// losses indicate that the backend server restarted: the limit drops to `cold`, and further losses
/// pause requests with exponential backoff.
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
    /// Highest limit since the backend server was last cold.
    peak: u32,
    in_flight: u32,
    /// Successes since the limit last changed.
    successes: u32,
    /// Consecutive refusals and losses.
    bad_streak: u32,
    /// Consecutive server errors.
    error_streak: u32,
    /// Recent share of errors among the responses to concurrent requests, from 0 to 1.
    error_share: f64,
    /// Whether errors lowered the limit since the last raise.
    errors_lowered: bool,
    /// Successes of concurrent requests since the last raise.
    probe_successes: u32,
    /// Whether errors are treated as overload: the backend server may be cold, and no error
    /// occurred on a request that ran alone.
    overload_suspected: bool,
    /// Last time at which requests ran concurrently.
    last_concurrent: Duration,
    /// Consecutive responses with a slow recent mean latency.
    slow_streak: u32,
    /// Whether all slots were in use at some time since the limit last changed.
    saturated: bool,
    /// When a request last found no free slot.
    full_at: Option<Duration>,
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
    /// Returns the limit for a cold backend server.
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
            full_at: None,
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

    /// Returns the current limit.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the number of requests that hold a slot.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of free slots, ignoring a pause.
    pub fn free(&self) -> u32 {
        self.limit.saturating_sub(self.in_flight)
    }

    /// Returns the number of slots that can be acquired at `now`.
    pub fn free_at(&self, now: Duration) -> u32 {
        if self.is_paused(now) { 0 } else { self.free() }
    }

    /// Returns when a request last found no free slot.
    pub fn full_at(&self) -> Option<Duration> {
        self.full_at
    }

    /// Returns whether the limit is that of a cold backend server.
    pub fn is_cold(&self) -> bool {
        self.config.cold < self.config.slots && self.limit <= self.config.cold
    }

    /// Returns whether requests are paused.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.pause_end
    }

    /// Returns when the pause ends.
    pub fn paused_until(&self) -> Duration {
        self.pause_end
    }

    /// Returns the recent mean latency of successful responses, or `None` without a sample.
    pub fn latency(&self) -> Option<Duration> {
        self.latencies.recent()
    }

    /// Returns the baseline latency of successful responses; zero without a sample.
    pub fn baseline_latency(&self) -> Duration {
        self.latencies.baseline()
    }

    /// Replaces the configuration and clamps the current limit to its bounds.
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

    /// Acquires a slot; returns false if none is free.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        self.halve_after_idle(now);
        if self.free_at(now) == 0 {
            self.saturated = true;
            self.full_at = Some(now);
            return false;
        }
        self.in_flight += 1;
        self.record_concurrency(now);
        self.saturated |= self.in_flight >= self.limit;
        self.used_at = now;
        true
    }

    /// Releases a slot that no request used.
    pub fn release_unused(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Releases a slot and adjusts the limit by the outcome of its request.
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
            // A deadline shorter than the usual latency says nothing about the backend server.
            Outcome::Silent | Outcome::Cancelled => {}
        }
    }

    /// Resets the limit to that of a cold backend server.
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

    /// Doubles the warm-up time if the backend server turned cold again during its warm-up, and
    /// resets it after a long stable time.
    fn adjust_warm_up(&mut self, now: Duration) {
        let age = now.saturating_sub(self.cold_since);
        if age >= self.warm_up * 2 {
            self.warm_up = self.config.warm_up;
        } else if self.peak > self.config.cold {
            self.warm_up = (self.warm_up * 2).min(self.config.warm_up * MAX_WARM_UP_FACTOR);
        }
    }

    /// Returns the maximum limit at this point of the warm-up.
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

    /// Lowers the limit. Requests that started before it was last lowered are ignored.
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

    /// Doubles the minimum time until the next raise.
    fn double_gap(&mut self) {
        self.next_gap = (self.next_gap * 2).min(self.config.max_gap);
    }

    /// Lowers the limit, to 1 at least.
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
