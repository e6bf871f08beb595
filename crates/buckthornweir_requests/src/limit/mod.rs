//! Adaptive concurrency limit of one backend server.

mod config;
mod errors;

use std::time::Duration;

pub use config::LimitConfig;

use crate::Outcome;
use crate::latencies::Latencies;
use errors::FAILING_WEIGHT;

/// Most by which the time to warm up is lengthened.
const WARM_UP_FACTOR: u32 = 8;

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
    good: u32,
    /// Refusals and losses in a row.
    bad: u32,
    /// Errors of the backend server's own in a row.
    failed: u32,
    /// Recent share of errors among the answers to requests that did not run alone, from 0 to 1.
    failing: f64,
    /// Whether errors lowered the limit since it was last raised.
    doubted: bool,
    /// Good outcomes of requests that did not run alone, since the limit was last raised.
    proved: u32,
    /// Whether an error is taken for a sign of too much load: the backend server may be cold, and none
    /// came to a request that ran alone.
    suspect: bool,
    /// When requests last ran beside each other.
    shared: Duration,
    /// Answers in a row with a slow recent mean.
    slow: u32,
    /// Whether the limit was used up since the last change.
    full: bool,
    raised: Duration,
    lowered: Duration,
    used: Duration,
    cold_since: Duration,
    warm_up: Duration,
    gap: Duration,
    paused: Duration,
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
            good: 0,
            bad: 0,
            failed: 0,
            failing: 0.0,
            doubted: false,
            proved: config.raise_after,
            suspect: true,
            shared: now,
            slow: 0,
            full: false,
            raised: now,
            lowered: now,
            used: now,
            cold_since: now,
            warm_up: config.warm_up,
            gap: config.raise_gap,
            paused: Duration::ZERO,
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
        now < self.paused
    }

    /// Returns when the pause ends.
    pub fn paused_until(&self) -> Duration {
        self.paused
    }

    /// Returns the recent mean latency of good answers, if any was seen.
    pub fn latency(&self) -> Option<Duration> {
        self.latencies.recent()
    }

    /// Returns the usual latency of good answers; zero before the first.
    pub fn usual_latency(&self) -> Duration {
        self.latencies.usual()
    }

    /// Takes over another configuration. The limit stays where it is, within the new bounds.
    pub fn reconfigure(&mut self, config: LimitConfig, now: Duration) {
        let config = config.with_slots(config.slots).with_cold(config.cold);
        let lowest = config.cold.min(config.slots);
        let limit = self.limit.clamp(lowest, config.slots);
        if limit < self.limit {
            self.set_lower(limit, now);
        } else {
            self.limit = limit;
        }
        self.peak = self.peak.clamp(limit, config.slots);
        self.config = config;
    }

    /// Takes a slot; returns false where none is free.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        self.distrust_after_idle(now);
        if self.free_at(now) == 0 {
            self.full = true;
            return false;
        }
        self.in_flight += 1;
        self.note_shared(now);
        self.full |= self.in_flight >= self.limit;
        self.used = now;
        true
    }

    /// Gives a slot back that was never used.
    pub fn give_back(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Gives a slot back and learns from the outcome that its request had.
    pub fn release(&mut self, outcome: Outcome, latency: Duration, now: Duration) {
        self.note_shared(now);
        let is_last = self.in_flight <= 1;
        self.give_back();
        self.used = now;
        let started = now.saturating_sub(latency);
        match outcome {
            Outcome::Done => self.note_good(latency, is_last, now),
            Outcome::Refused => self.note_refused(started, now),
            Outcome::Cut => self.note_lost(started, now),
            Outcome::Silent if self.latencies.is_long(latency) => self.note_lost(started, now),
            Outcome::Failed => self.note_failed(started, now),
            // A deadline shorter than usual answers take tells nothing about the backend server.
            Outcome::Silent | Outcome::Cancelled => {}
        }
    }

    /// Sets the limit back to that of a cold backend server.
    pub fn turn_cold(&mut self, now: Duration) {
        self.learn_warm_up(now);
        self.set_lower(self.config.cold.min(self.limit), now);
        self.cold_since = now;
        self.peak = self.limit;
        self.gap = self.config.raise_gap;
        self.suspect = true;
        self.latencies.forget_recent();
    }

    fn note_good(&mut self, latency: Duration, is_last: bool, now: Duration) {
        self.bad = 0;
        self.failed = 0;
        if !is_last {
            self.failing *= 1.0 - FAILING_WEIGHT;
            self.proved = self.proved.saturating_add(1);
        }
        self.pause = self.config.pause;
        self.latencies.learn(latency);
        if self.latencies.is_slow() {
            self.note_slow(now.saturating_sub(latency), now);
            return;
        }
        self.slow = 0;
        self.good += 1;
        if self.may_raise(now) {
            self.limit += 1;
            self.peak = self.peak.max(self.limit);
            self.good = 0;
            self.full = false;
            self.raised = now;
            self.doubted = false;
            self.proved = 0;
            self.suspect &= self.limit < self.config.slots;
            self.gap = (self.gap / 2).max(self.config.raise_gap);
        }
    }

    fn may_raise(&self, now: Duration) -> bool {
        self.limit < self.ceiling(now)
            && self.full
            && self.good >= self.config.raise_after
            && now >= self.raised + self.gap
    }

    /// Doubles the time to warm up if the backend server fell while it was warming up.
    fn learn_warm_up(&mut self, now: Duration) {
        let age = now.saturating_sub(self.cold_since);
        if age >= self.warm_up * 2 {
            self.warm_up = self.config.warm_up;
        } else if self.peak > self.config.cold {
            self.warm_up = (self.warm_up * 2).min(self.config.warm_up * WARM_UP_FACTOR);
        }
    }

    /// Returns the most that a backend server may get so long after it turned cold.
    fn ceiling(&self, now: Duration) -> u32 {
        let age = now.saturating_sub(self.cold_since);
        if age >= self.warm_up {
            return self.config.slots;
        }
        let cold = self.config.cold.min(self.config.slots);
        let part = age.div_duration_f64(self.warm_up);
        cold + (f64::from(self.config.slots - cold) * part) as u32
    }

    fn note_slow(&mut self, started: Duration, now: Duration) {
        self.good = 0;
        self.slow += 1;
        if self.slow >= self.config.slow_after && started >= self.lowered {
            self.set_lower(self.limit / 2, now);
            self.lengthen_gap();
            self.latencies.forget_recent();
        }
    }

    /// Requests that started before the limit was last lowered tell nothing about it.
    fn note_refused(&mut self, started: Duration, now: Duration) {
        self.good = 0;
        if started < self.lowered {
            return;
        }
        self.bad += 1;
        self.lengthen_gap();
        if self.limit <= self.config.cold {
            self.set_lower(self.limit - 1, now);
            self.take_pause(now);
        } else if self.bad > self.config.cold_after {
            self.turn_cold(now);
        } else {
            self.set_lower(self.limit - 1, now);
        }
    }

    fn note_lost(&mut self, started: Duration, now: Duration) {
        self.good = 0;
        self.bad += 1;
        let is_news = started >= self.lowered;
        if self.bad >= self.config.cold_after && (is_news || self.limit > self.config.cold) {
            self.turn_cold(now);
            self.take_pause(now);
        } else if is_news {
            self.set_lower(self.limit - 1, now);
            if self.limit <= self.config.cold {
                self.take_pause(now);
            }
        }
    }

    /// Lets more time pass before the next raise.
    fn lengthen_gap(&mut self) {
        self.gap = (self.gap * 2).min(self.config.gap_most);
    }

    /// Lowers the limit, to one at least.
    fn set_lower(&mut self, limit: u32, now: Duration) {
        self.limit = limit.max(1);
        self.good = 0;
        self.slow = 0;
        self.full = false;
        self.raised = now;
        self.lowered = now;
    }

    fn distrust_after_idle(&mut self, now: Duration) {
        let is_idle = self.in_flight == 0 && now >= self.used + self.config.idle_after;
        if is_idle {
            self.limit = (self.limit / 2).max(self.config.cold.min(self.config.slots));
            self.used = now;
        }
    }

    fn take_pause(&mut self, now: Duration) {
        self.paused = now + self.pause;
        self.pause = (self.pause * 2).min(self.config.pause_most);
    }
}
