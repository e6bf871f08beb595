//! Exponentially decaying event rate.

use std::time::Duration;

/// Time after which the weight of an event has decayed to 1/e.
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

    /// Records one event.
    pub(crate) fn record(&mut self, now: Duration) {
        self.weight = self.decayed(now) + 1.0;
        self.updated = self.updated.max(now);
    }

    /// Returns the rate in events per second.
    pub(crate) fn get(&self, now: Duration) -> f64 {
        let age = now
            .saturating_sub(self.started)
            .div_duration_f64(TIME_CONSTANT);
        // Corrects the bias shortly after the start, when the window is only partly filled.
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
