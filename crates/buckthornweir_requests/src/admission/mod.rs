//! Admission control for the requests at one agent.
//!
//! A request runs at the local backend server, is handed over to a sibling that reserved a slot for
//! it, waits in a short queue, or is refused immediately. The daemon reports events by calling
//! methods and executes the returned [`Action`]s in order.

mod action;
mod config;
mod ending;
mod handoff;
mod hedge;
mod request;
mod serving;
mod sharing;

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::{SlotMap, new_key_type};

pub use action::Action;
pub use config::{AdmissionConfig, Counters, ServingState};
pub use request::Arrival;

use crate::budget::{BudgetConfig, RetryBudget};
use crate::flow_shares::FlowShares;
use crate::hedging::Hedging;
use crate::rate::Rate;
use crate::reservation::Reservations;
use crate::sibling::Siblings;
use crate::{FlowId, Limit, ProblemKind, Sibling, Token};
use request::{Place, Request};

new_key_type! {
    /// Key of a request at one agent.
    pub struct RequestKey;
}

/// Admission control for one backend server.
#[derive(Debug)]
pub struct Admission {
    config: AdmissionConfig,
    state: ServingState,
    limit: Limit,
    budget: RetryBudget,
    hedging: Hedging,
    /// Rate of requests of the agent's flows that ran here, or would have without load sharing.
    local_rate: Rate,
    run_rate: Rate,
    /// Rate of requests handed over by siblings.
    received_rate: Rate,
    flow_shares: FlowShares,
    siblings: Siblings,
    reservations: Reservations,
    requests: SlotMap<RequestKey, Request>,
    queue: Vec<RequestKey>,
    next_token: Token,
    counters: Counters,
    rng: ChaCha8Rng,
}

impl Admission {
    /// Returns the admission control for a cold backend server.
    ///
    /// `seed` must differ between processes and restarts, since reservation ids depend on it.
    pub fn new(config: AdmissionConfig, seed: u64, now: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let salt = rng.next_u64();
        Self {
            state: ServingState::Ready,
            limit: Limit::new(config.limit, now),
            budget: RetryBudget::new(budget_config(&config)),
            hedging: Hedging::new(config.second_tries),
            local_rate: Rate::new(now),
            run_rate: Rate::new(now),
            received_rate: Rate::new(now),
            flow_shares: FlowShares::default(),
            siblings: Siblings::default(),
            reservations: Reservations::new(salt, config.reservation_ttl, config.retention),
            requests: SlotMap::with_key(),
            queue: Vec::new(),
            next_token: rng.next_u64(),
            counters: Counters::default(),
            config,
            rng,
        }
    }

    /// Returns the concurrency limit of the backend server.
    pub fn limit(&self) -> &Limit {
        &self.limit
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the agent's state.
    pub fn state(&self) -> ServingState {
        self.state
    }

    /// Returns the number of requests without a final response.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests in the queue.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Replaces the siblings and their reported loads.
    pub fn set_siblings(&mut self, siblings: &[Sibling]) {
        self.siblings.set(siblings);
    }

    /// Replaces the configuration. Running and queued requests are unaffected. The reservations keep
    /// the configuration of [`Admission::new`], and the retry budget keeps its tokens.
    pub fn reconfigure(&mut self, config: AdmissionConfig, now: Duration) {
        self.limit.reconfigure(config.limit, now);
        self.hedging.set_percent(config.second_tries);
        self.budget.set_rate(budget_config(&config).per_request);
        self.config = config;
    }

    /// Handles a known restart of the backend server.
    pub fn turn_cold(&mut self, now: Duration) {
        self.limit.turn_cold(now);
    }

    /// Handles a request that arrived in a flow of this agent.
    pub fn arrive(&mut self, now: Duration, arrival: Arrival) -> (RequestKey, Vec<Action>) {
        let mut out = Vec::new();
        self.counters.arrived += 1;
        self.budget.deposit();
        self.flow_shares.record(arrival.flow);
        let key = self.requests.insert(Request::new(arrival));
        if arrival.deadline <= now {
            self.refuse(now, key, ProblemKind::DeadlinePassed, &mut out);
            return (key, out);
        }
        match self.state {
            ServingState::Ready => {
                if !self.try_share(now, key, &mut out) {
                    self.admit(now, key, &mut out);
                }
            }
            ServingState::Draining => self.find_place(now, key, &mut out),
            ServingState::Out => self.refuse(now, key, ProblemKind::DomainOut, &mut out),
        }
        (key, out)
    }

    /// Sets the agent's state.
    ///
    /// A draining agent still runs its queued requests unless a sibling accepts them first. An
    /// agent whose failure domain is out refuses them.
    pub fn set_state(&mut self, now: Duration, state: ServingState) -> Vec<Action> {
        let mut out = Vec::new();
        self.state = state;
        for key in self.keys_where(Request::is_waiting) {
            match state {
                ServingState::Ready => {}
                ServingState::Draining if self.requests[key].is_asking() => {}
                ServingState::Draining => {
                    self.requests[key].asked.clear();
                    self.find_place(now, key, &mut out);
                }
                ServingState::Out => self.refuse(now, key, ProblemKind::DomainOut, &mut out),
            }
        }
        self.start_queued(now, &mut out);
        out
    }

    /// Handles all timers that are due at `now`.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut out = Vec::new();
        for _ in 0..self.reservations.expire(now) {
            self.limit.release_unused();
        }
        for key in self.keys_where(|r| r.is_due(now)) {
            self.handle_due(now, key, &mut out);
        }
        self.start_queued(now, &mut out);
        out
    }

    /// Returns when [`Admission::tick`] must be called next, if no event occurs before.
    pub fn next_wake(&self) -> Option<Duration> {
        let requests = self.requests.values().filter_map(Request::next_due).min();
        let may_run = !self.queue.is_empty() && self.limit.free() > 0;
        let pause = may_run.then(|| self.limit.paused_until());
        let reservations = self.reservations.next_expiry();
        [requests, pause, reservations].into_iter().flatten().min()
    }

    /// Runs the request locally if a slot is free, else looks for another place.
    fn admit(&mut self, now: Duration, key: RequestKey, out: &mut Vec<Action>) {
        if self.requests[key].copy_of.is_some() {
            return self.ask_for_copy(now, key, out);
        }
        let may_run_locally = !self.requests[key].failed_locally && self.is_ready();
        if may_run_locally && self.queue.is_empty() && self.limit.try_acquire(now) {
            self.start(now, key, out);
        } else {
            self.find_place(now, key, out);
        }
    }

    /// Starts the request in a slot that was already acquired.
    fn start(&mut self, now: Duration, key: RequestKey, out: &mut Vec<Action>) {
        self.leave_queue(key);
        self.counters.run += 1;
        self.run_rate.record(now);
        if !self.requests[key].is_guest_copy {
            self.hedging.on_request(now);
        }
        if !self.requests[key].from_sibling {
            self.local_rate.record(now);
        }
        self.requests[key].place = Place::Running {
            since: now,
            aborting: false,
        };
        self.schedule_retry(now, key);
        out.push(Action::Run { request: key });
    }

    /// Starts queued requests in the free slots.
    fn start_queued(&mut self, now: Duration, out: &mut Vec<Action>) {
        while !self.queue.is_empty() && self.limit.try_acquire(now) {
            let key = self.next_queued();
            self.start(now, key, out);
        }
    }

    /// Returns the oldest queued request among the flows with the fewest requests running here.
    fn next_queued(&self) -> RequestKey {
        let running = |flow| self.count_of(flow, |r| matches!(r.place, Place::Running { .. }));
        let by_load = |key: &&RequestKey| running(self.requests[**key].arrival.flow);
        let first = self.queue.iter().min_by_key(by_load);
        first.copied().unwrap_or_default()
    }

    fn count_of(&self, flow: FlowId, wanted: impl Fn(&Request) -> bool) -> usize {
        let of_flow = self.requests.values().filter(|r| r.arrival.flow == flow);
        of_flow.filter(|r| wanted(r)).count()
    }

    fn is_ready(&self) -> bool {
        self.state == ServingState::Ready
    }

    /// Queues the request if it can be expected to start in time; returns whether it was queued.
    fn enqueue(&mut self, now: Duration, key: RequestKey) -> bool {
        let flow = self.requests[key].arrival.flow;
        let of_flow = self.count_of(flow, |r| r.queued_until.is_some());
        let is_ready = self.is_ready();
        let request = &mut self.requests[key];
        let until = request.arrival.deadline.min(now + self.config.max_wait);
        let can_queue = is_ready
            && self.queue.len() < self.config.queue
            && of_flow < self.config.flow_queue
            && now + queue_wait(&self.limit, self.queue.len(), now) <= until;
        if can_queue {
            request.queued_until = Some(until);
            self.queue.push(key);
        }
        can_queue
    }

    fn leave_queue(&mut self, key: RequestKey) {
        self.queue.retain(|&k| k != key);
        self.requests[key].queued_until = None;
    }

    fn keys_where(&self, wanted: impl Fn(&Request) -> bool) -> Vec<RequestKey> {
        let found = self.requests.iter().filter(|(_, r)| wanted(r));
        found.map(|(key, _)| key).collect()
    }
}

/// Returns the configuration of the budget that retries and hedged requests share. A limit of hedged
/// requests above the share of retries raises it, since it could not be reached otherwise.
fn budget_config(config: &AdmissionConfig) -> BudgetConfig {
    let hedged = f64::from(config.second_tries) / 100.0;
    BudgetConfig {
        per_request: config.budget.per_request.max(hedged),
        ..config.budget
    }
}

/// Returns the expected wait for a slot of a request behind `ahead` others.
fn queue_wait(limit: &Limit, ahead: usize, now: Duration) -> Duration {
    let latency = limit.latency().unwrap_or_default();
    let rounds = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
    let pause = limit.paused_until().saturating_sub(now);
    (latency.saturating_mul(rounds) / limit.limit()).max(pause)
}
