//! A bound on log lines that grow with the load.

use std::time::Duration;

/// The span over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Allows some lines a second and counts the others.
#[derive(Clone, Debug)]
pub struct LogRateLimiter {
    limit: u32,
    since: Duration,
    taken: u32,
    left_out: u64,
}

impl LogRateLimiter {
    /// Returns a budget of `limit` lines a second.
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            since: Duration::ZERO,
            taken: 0,
            left_out: 0,
        }
    }

    /// Returns whether a line may be written at `now`; counts it as left out if not.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        if now >= self.since + WINDOW {
            self.since = now;
            self.taken = 0;
        }
        let allowed = self.taken < self.limit;
        match allowed {
            true => self.taken += 1,
            false => self.left_out += 1,
        }
        allowed
    }

    /// Returns how many lines were left out, once the second in which that began is over.
    pub fn take_suppressed(&mut self, now: Duration) -> Option<u64> {
        if self.left_out == 0 || now < self.since + WINDOW {
            return None;
        }
        Some(std::mem::take(&mut self.left_out))
    }
}
