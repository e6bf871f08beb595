//! Recent rate of events.

use std::time::Duration;

/// Time after which an event counts for 1/e of what it did.
const TIME_CONSTANT: Duration = Duration::from_secs(20);

/// Exponentially decaying rate of events.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    started: Duration,
    updated: Duration,
    weight: f64,
}

impl Rate {
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            started: now,
            updated: now,
            weight: 0.0,
        }
    }

    /// Notes one event.
    pub(crate) fn record(&mut self, now: Duration) {
        self.weight = self.decayed(now) + 1.0;
        self.updated = self.updated.max(now);
    }

    /// Returns the events a second.
    pub(crate) fn get(&self, now: Duration) -> f64 {
        let age = now
            .saturating_sub(self.started)
            .div_duration_f64(TIME_CONSTANT);
        // Shortly after the start only a part of the usual weight can have come together.
        let filled = (1.0 - (-age).exp()).max(0.1);
        self.decayed(now) / (TIME_CONSTANT.as_secs_f64() * filled)
    }

    fn decayed(&self, now: Duration) -> f64 {
        let age = now
            .saturating_sub(self.updated)
            .div_duration_f64(TIME_CONSTANT);
        self.weight * (-age).exp()
    }
}
