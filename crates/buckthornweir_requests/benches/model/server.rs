//! Backend server with slots and a reduced capacity while it is cold.

use std::time::Duration;

use buckthornweir_requests::RequestKey;

/// Number of slots of a backend server.
pub(crate) const SLOTS: usize = 5;
/// Mean service time in seconds when warm.
pub(crate) const MEAN_SERVICE: f64 = 0.05;
/// Downtime of a backend server during a restart.
const DOWNTIME: Duration = Duration::from_millis(500);
/// Factor between the cold and the warm service time.
const COLD_FACTOR: f64 = 2.0;

/// Behaviour of a backend server above its capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Overload {
    /// It refuses excess requests.
    Sheds,
    /// It crashes, loses its running requests and restarts cold.
    Falls,
}

/// Result of sending a request to a backend server.
pub(crate) enum Start {
    Running { time: Duration, epoch: u64 },
    Refused,
    Down,
    Crashed { lost: Vec<RequestKey> },
}

/// Statistics of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Summary {
    /// Maximum number of concurrent requests while cold.
    pub(crate) max_cold: usize,
    /// Maximum number of concurrent requests above the capacity.
    pub(crate) max_excess: usize,
    /// Number of requests that exceeded the capacity.
    pub(crate) excess: u64,
    /// Number of crashes caused by overload.
    pub(crate) crashes: u64,
}

pub(crate) struct Server {
    running: Vec<RequestKey>,
    epoch: u64,
    /// Time of the last start; `None` if the backend server is warm from the beginning.
    started: Option<Duration>,
    overload: Overload,
    /// Time after which a cold backend server can handle one more concurrent request.
    warm_step: Duration,
    summary: Summary,
}

impl Server {
    pub(crate) fn new(warm: bool, overload: Overload, warm_step: Duration) -> Self {
        let started = if warm { None } else { Some(Duration::ZERO) };
        Self {
            running: Vec::new(),
            epoch: 0,
            started,
            overload,
            warm_step,
            summary: Summary::default(),
        }
    }

    pub(crate) fn summary(&self) -> Summary {
        self.summary
    }

    pub(crate) fn start(&mut self, now: Duration, request: RequestKey, factor: f64) -> Start {
        if self.started.is_some_and(|at| now < at) {
            return Start::Down;
        }
        let capacity = self.capacity(now);
        let concurrent = self.running.len() + 1;
        if capacity < SLOTS {
            self.summary.max_cold = self.summary.max_cold.max(concurrent);
        }
        if concurrent > capacity {
            self.summary.excess += 1;
            self.summary.max_excess = self.summary.max_excess.max(concurrent - capacity);
            return self.overload(now, request);
        }
        self.running.push(request);
        let cold_factor = if capacity < SLOTS { COLD_FACTOR } else { 1.0 };
        let time = Duration::from_secs_f64(MEAN_SERVICE * factor * cold_factor);
        Start::Running {
            time,
            epoch: self.epoch,
        }
    }

    /// Completes a request; returns false if it was lost earlier.
    pub(crate) fn end(&mut self, request: RequestKey, epoch: u64) -> bool {
        let before = self.running.len();
        if epoch == self.epoch {
            self.running.retain(|r| *r != request);
        }
        self.running.len() < before
    }

    pub(crate) fn cancel(&mut self, request: RequestKey) {
        self.running.retain(|r| *r != request);
    }

    /// Restarts cold; returns the lost requests.
    pub(crate) fn restart(&mut self, now: Duration) -> Vec<RequestKey> {
        self.epoch += 1;
        self.started = Some(now + DOWNTIME);
        std::mem::take(&mut self.running)
    }

    fn overload(&mut self, now: Duration, request: RequestKey) -> Start {
        if self.overload == Overload::Sheds {
            return Start::Refused;
        }
        self.summary.crashes += 1;
        let mut lost = self.restart(now);
        lost.push(request);
        Start::Crashed { lost }
    }

    fn capacity(&self, now: Duration) -> usize {
        let Some(started) = self.started else {
            return SLOTS;
        };
        let steps = now.saturating_sub(started).div_duration_f64(self.warm_step);
        (1 + steps as usize).min(SLOTS)
    }
}
