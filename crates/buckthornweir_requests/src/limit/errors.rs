//! What errors of the backend server's own tell of its load.
//!
//! Errors that come of too much load come to requests that did not run alone.

use std::time::Duration;

use super::Limit;

/// Weight of one answer in the recent share of errors.
pub(super) const ERROR_WEIGHT: f64 = 0.1;

/// Recent share of errors above which they count, though good answers come between them: a backend
/// server that gets more than it bears fails some requests and answers others.
const OVERLOAD_ERROR_SHARE: f64 = 0.25;

impl Limit {
    /// Notes whether requests run beside each other.
    pub(super) fn record_concurrency(&mut self, now: Duration) {
        if self.in_flight > 1 {
            self.last_concurrent = now;
        }
    }

    /// Errors of the backend server's own lower the limit when they come in a row, when they are many
    /// among requests that did not run alone, and right after a raise.
    pub(super) fn on_error(&mut self, started: Duration, now: Duration) {
        self.successes = 0;
        self.error_streak += 1;
        let ran_alone = self.last_concurrent < started;
        if ran_alone {
            self.clear_suspicion(now);
        } else {
            self.error_share += (1.0 - self.error_share) * ERROR_WEIGHT;
        }
        if started < self.lowered_at {
            return;
        }
        if !ran_alone && self.is_probing() && started >= self.raised_at {
            return self.undo_raise(now);
        }
        let is_frequent = self.error_share >= OVERLOAD_ERROR_SHARE;
        let is_consecutive = self.error_streak > self.config.cold_after;
        if !(is_frequent || is_consecutive) {
            return;
        }
        if is_frequent {
            self.error_share /= 2.0;
            self.double_gap();
        }
        if self.errors_lowered && self.limit > self.config.cold {
            self.turn_cold(now);
        } else {
            self.lower_to(self.limit - 1, now);
        }
        self.errors_lowered = true;
        if self.error_streak >= self.config.pause_after {
            self.start_pause(now);
        }
    }

    /// Takes errors for the backend server's own, whatever its load, and lets it warm up at once.
    fn clear_suspicion(&mut self, now: Duration) {
        if self.overload_suspected {
            self.overload_suspected = false;
            self.cold_since = now.saturating_sub(self.warm_up);
        }
    }

    /// Returns whether the latest raise has not yet brought enough good outcomes.
    fn is_probing(&self) -> bool {
        self.overload_suspected
            && self.limit > self.config.cold
            && self.probe_successes < self.config.raise_after
    }

    /// Takes a raise back after which an error came.
    fn undo_raise(&mut self, now: Duration) {
        self.error_share = 0.0;
        self.probe_successes = self.config.raise_after;
        if self.limit <= self.config.cold + 1 {
            self.turn_cold(now);
        } else {
            self.lower_to(self.limit - 1, now);
        }
        self.double_gap();
    }
}
