//! A backend server with slots that bears little while it is cold.

use std::time::Duration;

use buckthornweir_requests::RequestKey;

/// Slots of a backend server.
pub(crate) const SLOTS: usize = 5;
/// Mean service time in seconds when warm.
pub(crate) const MEAN_SERVICE: f64 = 0.05;
/// Time that a backend server is down when it restarts.
const DOWN: Duration = Duration::from_millis(500);
/// Service time of a cold backend server as a multiple of the warm one.
const COLD_FACTOR: f64 = 2.0;

/// What a backend server does with more requests than it bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Overload {
    /// It refuses them.
    Sheds,
    /// It falls over, loses what runs, and starts cold again.
    Falls,
}

/// What became of a request that was written.
pub(crate) enum Start {
    Runs { time: Duration, epoch: u64 },
    Refuses,
    Down,
    Falls { lost: Vec<RequestKey> },
}

/// What a backend server saw.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Summary {
    /// Most requests at a time while cold.
    pub(crate) cold_most: usize,
    /// Most requests at a time above what it bore.
    pub(crate) over_most: usize,
    /// Requests that came above what it bore.
    pub(crate) over: u64,
    /// Times that it fell over.
    pub(crate) falls: u64,
}

pub(crate) struct Server {
    running: Vec<RequestKey>,
    epoch: u64,
    /// When it last started; warm from the beginning if none.
    started: Option<Duration>,
    overload: Overload,
    /// Time in which a cold backend server bears one request more.
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
        let bears = self.bears(now);
        let at_a_time = self.running.len() + 1;
        if bears < SLOTS {
            self.summary.cold_most = self.summary.cold_most.max(at_a_time);
        }
        if at_a_time > bears {
            self.summary.over += 1;
            self.summary.over_most = self.summary.over_most.max(at_a_time - bears);
            return self.overload(now, request);
        }
        self.running.push(request);
        let cold = if bears < SLOTS { COLD_FACTOR } else { 1.0 };
        let time = Duration::from_secs_f64(MEAN_SERVICE * factor * cold);
        Start::Runs {
            time,
            epoch: self.epoch,
        }
    }

    /// Ends a request; returns false if it was lost before.
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

    /// Starts again, cold; returns the requests that were lost.
    pub(crate) fn restart(&mut self, now: Duration) -> Vec<RequestKey> {
        self.epoch += 1;
        self.started = Some(now + DOWN);
        std::mem::take(&mut self.running)
    }

    fn overload(&mut self, now: Duration, request: RequestKey) -> Start {
        if self.overload == Overload::Sheds {
            return Start::Refuses;
        }
        self.summary.falls += 1;
        let mut lost = self.restart(now);
        lost.push(request);
        Start::Falls { lost }
    }

    fn bears(&self, now: Duration) -> usize {
        let Some(started) = self.started else {
            return SLOTS;
        };
        let steps = now.saturating_sub(started).div_duration_f64(self.warm_step);
        (1 + steps as usize).min(SLOTS)
    }
}
