//! Settings of the concurrency limit.

use std::time::Duration;

/// Settings of a [`Limit`](super::Limit).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitConfig {
    /// Most requests that the backend server runs at a time.
    pub slots: u32,
    /// First limit of a cold backend server.
    pub cold: u32,
    /// Time in which a cold backend server may reach all of its slots, at the earliest.
    pub warm_up: Duration,
    /// Good outcomes at the limit that raise it by one.
    pub raise_after: u32,
    /// Shortest time between two raises.
    pub raise_gap: Duration,
    /// Longest time between two raises, reached when raises keep failing.
    pub max_gap: Duration,
    /// Bad outcomes in a row that mean the backend server turned cold.
    pub cold_after: u32,
    /// Answers in a row with a slow recent mean that halve the limit.
    pub slow_after: u32,
    /// Errors of the backend server's own in a row after which it gets a pause.
    pub pause_after: u32,
    /// Time without a request after which half of the limit is trusted.
    pub idle_after: Duration,
    /// The recent mean latency is slow from this multiple of the usual latency on.
    pub slow_factor: f64,
    /// A latency below this is never slow.
    pub slow_floor: Duration,
    /// First pause after a backend server turned cold or was lost at a limit of one.
    pub pause: Duration,
    /// Longest pause.
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
