//! A token bucket.

use std::time::Duration;

/// The maximum debt of a bucket, as the time in which it is refilled.
const MAX_DEBT: Duration = Duration::from_secs(2);

/// Limits the average rate at which tokens are spent.
#[derive(Debug)]
pub(crate) struct Budget {
    rate: f64,
    capacity: f64,
    tokens: f64,
    updated: Duration,
}

impl Budget {
    /// Creates a full bucket with a refill rate of `rate` tokens per second and room for `capacity` tokens.
    pub(crate) fn new(rate: f64, capacity: f64) -> Self {
        Self {
            rate,
            capacity,
            tokens: capacity,
            updated: Duration::ZERO,
        }
    }

    /// Adds the tokens accrued since the last call.
    pub(crate) fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated);
        self.updated = now;
        self.tokens = (self.tokens + self.rate * elapsed.as_secs_f64()).min(self.capacity);
    }

    /// Returns the tokens that may be spent now.
    pub(crate) fn available(&self) -> usize {
        self.tokens.max(0.0) as usize
    }

    /// Spends tokens. The balance may become negative, by at most the refill of [`MAX_DEBT`].
    pub(crate) fn spend(&mut self, tokens: usize) {
        let debt = self.rate * MAX_DEBT.as_secs_f64();
        self.tokens = (self.tokens - tokens as f64).max(-debt);
    }
}
