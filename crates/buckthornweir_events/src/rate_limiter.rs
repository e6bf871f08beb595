//! Rate limiting of log lines whose number grows with the load.

use std::time::Duration;

/// The length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits the number of log lines per second and counts the suppressed ones.
#[derive(Clone, Debug)]
pub struct LogRateLimiter {
    limit: u32,
    window_start: Duration,
    used: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Creates a rate limiter that allows `limit` lines per second.
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            window_start: Duration::ZERO,
            used: 0,
            suppressed: 0,
        }
    }

    /// Returns whether a line may be written at `now`, and counts it as suppressed if not.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        if now >= self.window_start + WINDOW {
            self.window_start = now;
            self.used = 0;
        }
        let allowed = self.used < self.limit;
        match allowed {
            true => self.used += 1,
            false => self.suppressed += 1,
        }
        allowed
    }

    /// Returns and resets the number of suppressed lines, or `None` when there are none or the
    /// current window has not ended yet.
    pub fn take_suppressed(&mut self, now: Duration) -> Option<u64> {
        if self.suppressed == 0 || now < self.window_start + WINDOW {
            return None;
        }
        Some(std::mem::take(&mut self.suppressed))
    }
}
