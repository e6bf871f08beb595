//! Reaction of the limit to server errors.
//!
//! Errors caused by overload occur on requests that run concurrently. An error of a request that ran
//! alone shows that the backend server fails regardless of its load.

use std::time::Duration;

use super::Limit;

/// Weight of one response in the recent share of errors.
pub(super) const ERROR_WEIGHT: f64 = 0.1;

/// Share of errors from which the limit is lowered even if successes occur in between, since an
/// overloaded backend server can fail some requests and answer others.
const OVERLOAD_ERROR_SHARE: f64 = 0.25;

impl Limit {
    /// Records the time if requests run concurrently.
    pub(super) fn record_concurrency(&mut self, now: Duration) {
        if self.in_flight > 1 {
            self.last_concurrent = now;
        }
    }

    /// Lowers the limit after consecutive errors, after a large share of errors among concurrent
    /// requests, and after an error that follows a raise.
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

    /// Stops treating errors as overload, since one occurred without concurrency, and ends the
    /// warm-up.
    fn clear_suspicion(&mut self, now: Duration) {
        if self.overload_suspected {
            self.overload_suspected = false;
            self.cold_since = now.saturating_sub(self.warm_up);
        }
    }

    /// Returns whether the last raise is still unconfirmed by enough successes.
    fn is_probing(&self) -> bool {
        self.overload_suspected
            && self.limit > self.config.cold
            && self.probe_successes < self.config.raise_after
    }

    /// Reverts a raise that was followed by an error.
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
