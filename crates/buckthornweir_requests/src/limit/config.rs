//! Settings of the concurrency limit.

use std::time::Duration;

/// Settings of a [`Limit`](super::Limit).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitConfig {
    /// Maximum number of concurrent requests at the backend server.
    pub slots: u32,
    /// Initial limit of a cold backend server.
    pub cold: u32,
    /// Minimum time until a cold backend server gets all of its slots.
    pub warm_up: Duration,
    /// Successes under a saturated limit that raise it by one.
    pub raise_after: u32,
    /// Minimum time between two raises.
    pub raise_gap: Duration,
    /// Maximum time between two raises, reached when raises keep failing.
    pub max_gap: Duration,
    /// Consecutive refusals, losses or server errors that indicate a cold backend server.
    pub cold_after: u32,
    /// Consecutive responses with a slow recent mean latency that halve the limit.
    pub slow_after: u32,
    /// Consecutive server errors after which requests are paused.
    pub pause_after: u32,
    /// Time without a request after which the limit is halved.
    pub idle_after: Duration,
    /// Multiple of the baseline latency above which the recent mean latency is slow.
    pub slow_factor: f64,
    /// Latency below which a response is never slow.
    pub slow_floor: Duration,
    /// Initial pause of requests after losses, server errors or refusals; it doubles up to
    /// `max_pause`.
    pub pause: Duration,
    /// Maximum pause.
    pub max_pause: Duration,
}

impl Default for LimitConfig {
    fn default() -> Self {
        Self {
            slots: 5,
            cold: 1,
            warm_up: Duration::from_secs(10),
            raise_after: 4,
            raise_gap: Duration::from_secs(1),
            max_gap: Duration::from_secs(8),
            cold_after: 2,
            slow_after: 3,
            pause_after: 8,
            idle_after: Duration::from_secs(60),
            slow_factor: 3.0,
            slow_floor: Duration::from_millis(20),
            pause: Duration::from_millis(50),
            max_pause: Duration::from_secs(2),
        }
    }
}

impl LimitConfig {
    /// Sets the slots of the backend server, at least 1.
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots.max(1);
        self
    }

    /// Sets the initial limit of a cold backend server, at least 1.
    pub fn with_cold(mut self, cold: u32) -> Self {
        self.cold = cold.max(1);
        self
    }
}
