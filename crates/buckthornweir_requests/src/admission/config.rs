//! Settings, own state and counters of admission.

use std::time::Duration;

use crate::{BudgetConfig, LimitConfig};

/// Whether the agent takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ServingState {
    /// It takes work.
    #[default]
    Ready,
    /// It takes no new work; what runs goes on.
    Draining,
    /// Its failure domain is out.
    Out,
}

/// Settings of [`Admission`](super::Admission).
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Settings of the concurrency limit.
    pub limit: LimitConfig,
    /// Settings of the retry budget.
    pub budget: BudgetConfig,
    /// Most requests in the queue.
    pub queue: usize,
    /// Most requests of one flow in the queue.
    pub flow_queue: usize,
    /// Longest time in the queue.
    pub max_wait: Duration,
    /// Siblings that are asked for one try of a request.
    pub max_candidates: usize,
    /// Requests for which siblings may be asked at a time.
    pub max_asks: usize,
    /// Time in which a sibling must answer for its slot.
    pub ask_timeout: Duration,
    /// Time for which a slot is held for a sibling.
    pub reservation_ttl: Duration,
    /// Time for which an ended reservation is remembered.
    pub retention: Duration,
    /// Most tries of a request, the first included.
    pub max_attempts: u32,
    /// Least time without an answer after which a repeatable request is tried elsewhere.
    pub attempt_timeout: Duration,
    /// Multiple of the usual latency after which a repeatable request is tried elsewhere.
    pub timeout_factor: f64,
    /// Multiple of the service's mean rate above which load is shared; infinite for never.
    pub share_threshold: f64,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            limit: LimitConfig::default(),
            budget: BudgetConfig::default(),
            queue: 10,
            flow_queue: 5,
            max_wait: Duration::from_millis(500),
            max_candidates: 2,
            max_asks: 64,
            ask_timeout: Duration::from_millis(25),
            reservation_ttl: Duration::from_millis(100),
            retention: Duration::from_secs(10),
            max_attempts: 3,
            attempt_timeout: Duration::from_millis(500),
            timeout_factor: 8.0,
            share_threshold: 1.02,
        }
    }
}

impl AdmissionConfig {
    /// Sets the settings of the concurrency limit.
    pub fn with_limit(mut self, limit: LimitConfig) -> Self {
        self.limit = limit;
        self
    }

    /// Sets the most requests in the queue.
    pub fn with_queue(mut self, queue: usize) -> Self {
        self.queue = queue;
        self
    }
}

/// What admission did since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that came in the agent's own flows.
    pub arrived: u64,
    /// Requests that were taken over from siblings.
    pub taken: u64,
    /// Tries given to the own backend server.
    pub run: u64,
    /// Requests handed over to siblings.
    pub handed: u64,
    /// Requests for which a less loaded sibling was asked although a slot may have been free.
    pub shared: u64,
    /// Answers that were whole.
    pub done: u64,
    /// Tries after the first.
    pub retried: u64,
    /// Refusals that said "not run".
    pub refused: u64,
    /// Refusals that could not say "not run".
    pub unknown: u64,
    /// Answers cut in the middle.
    pub cut: u64,
    /// Requests that the caller gave up.
    pub cancelled: u64,
    /// Slots granted to siblings.
    pub granted: u64,
    /// Slots not granted to siblings.
    pub declined: u64,
    /// Handed requests that came twice and were dropped.
    pub doubled: u64,
    /// Retries that the budget did not allow.
    pub over_budget: u64,
}
