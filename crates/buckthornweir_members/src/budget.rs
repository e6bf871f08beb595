//! A token bucket in bytes.

use std::time::Duration;

/// The time whose bytes may be spent at once.
const BURST: Duration = Duration::from_secs(2);

/// Limits the bytes that are sent in the long run.
#[derive(Debug)]
pub(crate) struct Budget {
    rate: f64,
    capacity: f64,
    tokens: f64,
    updated: Duration,
}

impl Budget {
    /// Creates a full bucket that regains `rate` bytes a second.
    pub(crate) fn new(rate: u32) -> Self {
        let rate = f64::from(rate);
        let capacity = rate * BURST.as_secs_f64();
        Self {
            rate,
            capacity,
            tokens: capacity,
            updated: Duration::ZERO,
        }
    }

    /// Adds the bytes regained since the last call.
    pub(crate) fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated);
        self.updated = now;
        self.tokens = (self.tokens + self.rate * elapsed.as_secs_f64()).min(self.capacity);
    }

    /// Returns the bytes that may be spent now.
    pub(crate) fn available(&self) -> usize {
        self.tokens.max(0.0) as usize
    }

    /// Spends bytes. The bucket owes them when it holds fewer, up to its capacity.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.tokens = (self.tokens - bytes as f64).max(-self.capacity);
    }
}
