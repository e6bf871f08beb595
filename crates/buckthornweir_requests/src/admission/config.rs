//! Configuration, state and counters of admission control.

use std::time::Duration;

use crate::{BudgetConfig, LimitConfig};

/// Whether the agent accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ServingState {
    /// The agent accepts requests.
    #[default]
    Ready,
    /// The agent accepts no new requests; running requests continue.
    Draining,
    /// The agent's failure domain is out.
    Out,
}

/// Settings of [`Admission`](super::Admission).
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Settings of the concurrency limit.
    pub limit: LimitConfig,
    /// Settings of the retry budget.
    pub budget: BudgetConfig,
    /// Maximum number of queued requests.
    pub queue: usize,
    /// Maximum number of queued requests of one flow.
    pub flow_queue: usize,
    /// Maximum time in the queue.
    pub max_wait: Duration,
    /// Maximum number of siblings asked per attempt.
    pub max_candidates: usize,
    /// Maximum number of requests with a pending reservation request.
    pub max_asks: usize,
    /// Timeout of a reservation request.
    pub ask_timeout: Duration,
    /// Time for which a reserved slot is held for a sibling.
    pub reservation_ttl: Duration,
    /// Time for which an ended reservation is remembered.
    pub retention: Duration,
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// Minimum time without a response after which a repeatable request is retried elsewhere.
    pub attempt_timeout: Duration,
    /// Multiple of the baseline latency after which a repeatable request is retried elsewhere.
    pub timeout_factor: f64,
    /// Multiple of the service's mean rate above which load is shared; infinity disables sharing.
    pub share_threshold: f64,
    /// Maximum number of hedged requests in percent of the requests; 0 turns hedging off.
    pub second_tries: u32,
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
            second_tries: 0,
        }
    }
}

impl AdmissionConfig {
    /// Sets the configuration of the concurrency limit.
    pub fn with_limit(mut self, limit: LimitConfig) -> Self {
        self.limit = limit;
        self
    }

    /// Sets the maximum percentage of hedged requests.
    pub fn with_second_tries(mut self, percent: u32) -> Self {
        self.second_tries = percent;
        self
    }

    /// Sets the maximum number of queued requests.
    pub fn with_queue(mut self, queue: usize) -> Self {
        self.queue = queue;
        self
    }
}

/// Event counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that arrived in the agent's own flows.
    pub arrived: u64,
    /// Requests handed over by siblings.
    pub taken: u64,
    /// Attempts at the local backend server.
    pub run: u64,
    /// Requests handed over to siblings.
    pub handed: u64,
    /// Requests for which load sharing asked a sibling, regardless of free local slots.
    pub shared: u64,
    /// Complete responses.
    pub done: u64,
    /// Retries.
    pub retried: u64,
    /// Refusals of requests that certainly did not run.
    pub refused: u64,
    /// Refusals of requests that may have run.
    pub unknown: u64,
    /// Responses cut before they were complete.
    pub cut: u64,
    /// Requests cancelled by the caller, and copies of hedged requests that lost.
    pub cancelled: u64,
    /// Reservations granted to siblings.
    pub granted: u64,
    /// Reservations declined to siblings.
    pub declined: u64,
    /// Duplicate handed-over requests that were dropped.
    pub doubled: u64,
    /// Retries rejected by the retry budget.
    pub over_budget: u64,
    /// Hedged requests sent to siblings.
    pub hedged: u64,
    /// Slots granted to siblings for hedged requests.
    pub hedges_granted: u64,
    /// Requests not hedged because no sibling was warm, or all had declined a moment ago.
    pub hedges_no_sibling: u64,
    /// Requests not hedged because the siblings that were asked declined or didn't answer.
    pub hedges_declined: u64,
    /// Slots declined to siblings for hedged requests because none is to spare.
    pub hedges_no_slot: u64,
    /// Slots declined to siblings for hedged requests because of the limit.
    pub hedges_over_limit: u64,
}
