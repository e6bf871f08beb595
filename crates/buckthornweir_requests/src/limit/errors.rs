//! What errors of the backend server's own tell of its load.
//!
//! Errors that come of too much load come to requests that did not run alone.

use std::time::Duration;

use super::Limit;

/// Weight of one answer in the recent share of errors.
pub(super) const FAILING_WEIGHT: f64 = 0.1;

/// Recent share of errors above which they count, though good answers come between them: a backend
/// server that gets more than it bears fails some requests and answers others.
const FAILING_SHARE: f64 = 0.25;

impl Limit {
    /// Notes whether requests run beside each other.
    pub(super) fn note_shared(&mut self, now: Duration) {
        if self.in_flight > 1 {
            self.shared = now;
        }
    }

    /// Errors of the backend server's own lower the limit when they come in a row, when they are many
    /// among requests that did not run alone, and right after a raise.
    pub(super) fn note_failed(&mut self, started: Duration, now: Duration) {
        self.good = 0;
        self.failed += 1;
        let was_alone = self.shared < started;
        if was_alone {
            self.trust_load(now);
        } else {
            self.failing += (1.0 - self.failing) * FAILING_WEIGHT;
        }
        if started < self.lowered {
            return;
        }
        if !was_alone && self.is_probing() && started >= self.raised {
            return self.take_back_raise(now);
        }
        let are_many = self.failing >= FAILING_SHARE;
        let are_in_row = self.failed > self.config.cold_after;
        if !(are_many || are_in_row) {
            return;
        }
        if are_many {
            self.failing /= 2.0;
            self.lengthen_gap();
        }
        if self.doubted && self.limit > self.config.cold {
            self.turn_cold(now);
        } else {
            self.set_lower(self.limit - 1, now);
        }
        self.doubted = true;
        if self.failed >= self.config.fail_after {
            self.take_pause(now);
        }
    }

    /// Takes errors for the backend server's own, whatever its load, and lets it warm up at once.
    fn trust_load(&mut self, now: Duration) {
        if self.suspect {
            self.suspect = false;
            self.cold_since = now.saturating_sub(self.warm_up);
        }
    }

    /// Returns whether the latest raise has not yet brought enough good outcomes.
    fn is_probing(&self) -> bool {
        self.suspect && self.limit > self.config.cold && self.proved < self.config.raise_after
    }

    /// Takes a raise back after which an error came.
    fn take_back_raise(&mut self, now: Duration) {
        self.failing = 0.0;
        self.proved = self.config.raise_after;
        if self.limit <= self.config.cold + 1 {
            self.turn_cold(now);
        } else {
            self.set_lower(self.limit - 1, now);
        }
        self.lengthen_gap();
    }
}
