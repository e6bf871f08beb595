//! A token bucket.

use std::time::Duration;

/// How long a bucket without income can be overdrawn.
const DEBT: Duration = Duration::from_secs(2);

/// Limits what is spent in the long run.
#[derive(Debug)]
pub(crate) struct Budget {
    rate: f64,
    capacity: f64,
    tokens: f64,
    updated: Duration,
}

impl Budget {
    /// Creates a full bucket that regains `rate` tokens a second and holds `capacity` at most.
    pub(crate) fn new(rate: f64, capacity: f64) -> Self {
        Self {
            rate,
            capacity,
            tokens: capacity,
            updated: Duration::ZERO,
        }
    }

    /// Adds the tokens regained since the last call.
    pub(crate) fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated);
        self.updated = now;
        self.tokens = (self.tokens + self.rate * elapsed.as_secs_f64()).min(self.capacity);
    }

    /// Returns the tokens that may be spent now.
    pub(crate) fn available(&self) -> usize {
        self.tokens.max(0.0) as usize
    }

    /// Spends tokens. The bucket owes them when it holds fewer, up to a limit.
    pub(crate) fn spend(&mut self, tokens: usize) {
        let debt = self.rate * DEBT.as_secs_f64();
        self.tokens = (self.tokens - tokens as f64).max(-debt);
    }
}
