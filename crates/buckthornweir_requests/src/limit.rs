//! Adaptive concurrency limit of one backend server.

use std::time::Duration;

use crate::Outcome;

/// Weight of one sample in the fast average of latencies.
const FAST_WEIGHT: f64 = 0.25;
/// Weight of one sample in the slow average of latencies.
const SLOW_WEIGHT: f64 = 0.02;

/// Settings of a [`Limit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitConfig {
    /// Most requests that the backend server runs at a time.
    pub slots: u32,
    /// First limit of a cold backend server.
    pub cold: u32,
    /// Good outcomes at the limit that raise it by one.
    pub raise_after: u32,
    /// Shortest time between two raises.
    pub raise_gap: Duration,
    /// Bad outcomes in a row that mean the backend server turned cold.
    pub cold_after: u32,
    /// Slow answers in a row that lower the limit by one.
    pub slow_after: u32,
    /// An answer is slow from this multiple of the usual latency on.
    pub slow_factor: f64,
    /// An answer faster than this is never slow.
    pub slow_floor: Duration,
    /// First pause after a backend server turned cold or was lost at a limit of one.
    pub pause: Duration,
    /// Longest pause.
    pub pause_most: Duration,
}

impl Default for LimitConfig {
    fn default() -> Self {
        Self {
            slots: 5,
            cold: 1,
            raise_after: 4,
            raise_gap: Duration::from_millis(250),
            cold_after: 2,
            slow_after: 3,
            slow_factor: 3.0,
            slow_floor: Duration::from_millis(20),
            pause: Duration::from_millis(50),
            pause_most: Duration::from_secs(2),
        }
    }
}

impl LimitConfig {
    /// Sets the slots of the backend server.
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots.max(1);
        self
    }

    /// Sets the first limit of a cold backend server.
    pub fn with_cold(mut self, cold: u32) -> Self {
        self.cold = cold.max(1);
        self
    }
}

/// Limit on the requests that one backend server runs at a time.
///
/// The limit starts at `cold`, rises by one after a run of good outcomes while it was used up,
/// falls on refusals, losses and slow answers, and never passes `slots`.
#[derive(Clone, Debug)]
pub struct Limit {
    config: LimitConfig,
    limit: u32,
    in_flight: u32,
    good: u32,
    bad: u32,
    slow: u32,
    full: bool,
    raised: Duration,
    lowered: Duration,
    paused: Duration,
    pause: Duration,
    fast: Option<f64>,
    usual: Option<f64>,
}

impl Limit {
    /// Returns the limit of a cold backend server.
    pub fn new(config: LimitConfig, now: Duration) -> Self {
        let config = config.with_slots(config.slots).with_cold(config.cold);
        Self {
            config,
            limit: config.cold.min(config.slots),
            in_flight: 0,
            good: 0,
            bad: 0,
            slow: 0,
            full: false,
            raised: now,
            lowered: now,
            paused: Duration::ZERO,
            pause: config.pause,
            fast: None,
            usual: None,
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
        self.fast.map(Duration::from_secs_f64)
    }

    /// Takes a slot; returns false where none is free.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        if self.free_at(now) == 0 {
            self.full = true;
            return false;
        }
        self.in_flight += 1;
        self.full |= self.in_flight >= self.limit;
        true
    }

    /// Gives a slot back that was never used.
    pub fn give_back(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Gives a slot back and learns from the outcome that its request had.
    pub fn release(&mut self, outcome: Outcome, latency: Duration, now: Duration) {
        self.give_back();
        let started = now.saturating_sub(latency);
        match outcome {
            Outcome::Done => self.note_good(latency, now),
            Outcome::Refused | Outcome::Cut | Outcome::Silent => self.note_bad(started, now),
            Outcome::Failed => self.note_failed(started, now),
            Outcome::Cancelled => {}
        }
    }

    /// Sets the limit back to that of a cold backend server.
    pub fn turn_cold(&mut self, now: Duration) {
        self.limit = self.config.cold.min(self.config.slots);
        self.good = 0;
        self.bad = 0;
        self.slow = 0;
        self.full = false;
        self.raised = now;
        self.lowered = now;
        self.fast = None;
    }

    fn note_good(&mut self, latency: Duration, now: Duration) {
        self.bad = 0;
        self.pause = self.config.pause;
        let is_slow = self.is_slow(latency);
        self.learn(latency);
        if is_slow {
            self.note_slow(now.saturating_sub(latency), now);
            return;
        }
        self.slow = 0;
        self.good += 1;
        if self.may_raise(now) {
            self.limit += 1;
            self.good = 0;
            self.full = false;
            self.raised = now;
        }
    }

    fn may_raise(&self, now: Duration) -> bool {
        self.limit < self.config.slots
            && self.full
            && self.good >= self.config.raise_after
            && now >= self.raised + self.config.raise_gap
    }

    fn note_slow(&mut self, started: Duration, now: Duration) {
        self.good = 0;
        self.slow += 1;
        if self.slow >= self.config.slow_after && started >= self.lowered {
            self.lower(now);
        }
    }

    /// Errors of the backend server's own lower the limit only when they come in a row.
    fn note_failed(&mut self, started: Duration, now: Duration) {
        self.good = 0;
        self.bad += 1;
        if self.bad > self.config.cold_after && started >= self.lowered {
            self.lower(now);
        }
    }

    fn note_bad(&mut self, started: Duration, now: Duration) {
        self.good = 0;
        self.bad += 1;
        // Requests that started before the last change tell nothing about the limit of today.
        if started < self.lowered {
            return;
        }
        if self.limit <= self.config.cold {
            self.lower(now);
            self.take_pause(now);
        } else if self.bad >= self.config.cold_after {
            self.turn_cold(now);
            self.take_pause(now);
        } else {
            self.lower_keeping_run(now);
        }
    }

    fn lower(&mut self, now: Duration) {
        self.lower_keeping_run(now);
        self.bad = 0;
        self.slow = 0;
    }

    fn lower_keeping_run(&mut self, now: Duration) {
        self.limit = (self.limit - 1).max(1);
        self.full = false;
        self.raised = now;
        self.lowered = now;
    }

    fn take_pause(&mut self, now: Duration) {
        self.paused = now + self.pause;
        self.pause = (self.pause * 2).min(self.config.pause_most);
    }

    fn is_slow(&self, latency: Duration) -> bool {
        let Some(usual) = self.usual else {
            return false;
        };
        latency >= self.config.slow_floor && latency.as_secs_f64() > usual * self.config.slow_factor
    }

    fn learn(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64();
        let fast = self.fast.unwrap_or(sample);
        let usual = self.usual.unwrap_or(sample);
        self.fast = Some(fast + (sample - fast) * FAST_WEIGHT);
        // Falls at once to a faster answer's level, rises slowly.
        let weight = if sample < usual {
            FAST_WEIGHT
        } else {
            SLOW_WEIGHT
        };
        self.usual = Some(usual + (sample - usual) * weight);
    }
}
