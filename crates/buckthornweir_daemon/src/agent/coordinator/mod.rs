//! Connects an agent's admission decisions with the tasks that carry requests and with sibling
//! agents.

mod actions;
mod messages;
mod timers;

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use buckthornweir_bundle::{Protocol, Service};
use buckthornweir_flows::packet::FiveTuple;
use buckthornweir_requests::messages::Load;
use buckthornweir_requests::{
    Admission, AdmissionConfig, Arrival, Counters, HedgeResult, LimitConfig, Outcome, Progress,
    Refusal, RequestKey, ReservationId, ServingState, Token,
};
use buckthornweir_wire::NodeId;
use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use super::Backend;
use super::handoff_client::HandoffPool;
use super::idempotency::KeyCoordinator;
use crate::board::Blackboard;
use crate::links::Links;

/// What the task of a request does next.
#[derive(Debug)]
pub(crate) enum Directive {
    /// Attempt the request at the local backend server.
    Run,
    /// Hand the request to a sibling.
    HandOver {
        /// The sibling.
        sibling: NodeId,
        /// The slot that is reserved there.
        reservation: ReservationId,
    },
    /// Abort the attempt.
    Abort,
    /// Respond with a refusal.
    Refuse(Refusal),
    /// Respond with the backend server's error response.
    Deliver,
    /// Reset the caller's connection.
    Cut,
}

/// Passes admission decisions to the tasks that carry the requests.
pub(crate) struct RequestCoordinator {
    board: Arc<Blackboard>,
    backend: Arc<Backend>,
    links: Arc<Links>,
    handoffs: HandoffPool,
    keys: Arc<KeyCoordinator>,
    runtime: Handle,
    is_leaving: AtomicBool,
    state: Mutex<State>,
}

struct State {
    admission: Admission,
    service: Option<Service>,
    requests: HashMap<RequestKey, mpsc::UnboundedSender<Directive>>,
    asks: HashMap<Token, Ask>,
    loads: HashMap<NodeId, Load>,
    /// The counters of admission that the metrics include.
    reported: Counters,
}

/// A pending ask for a slot at a sibling.
#[derive(Clone, Copy)]
struct Ask {
    request: RequestKey,
    sibling: NodeId,
}

/// An open request, for the task that carries it.
pub(crate) struct OpenRequest {
    pub(crate) key: RequestKey,
    pub(crate) directives: mpsc::UnboundedReceiver<Directive>,
}

impl RequestCoordinator {
    /// Returns a coordinator for a cold backend server.
    pub(crate) fn new(
        board: Arc<Blackboard>,
        backend: Arc<Backend>,
        links: Arc<Links>,
        keys: Arc<KeyCoordinator>,
        runtime: Handle,
    ) -> Arc<Self> {
        let now = board.now();
        let mut admission = Admission::new(AdmissionConfig::default(), rand::random(), now);
        // No request is open yet, so there are no actions.
        let _ = admission.set_state(now, ServingState::Out);
        Arc::new(Self {
            handoffs: HandoffPool::new(board.clone(), runtime.clone()),
            board,
            backend,
            links,
            keys,
            runtime,
            is_leaving: AtomicBool::new(false),
            state: Mutex::new(State {
                admission,
                service: None,
                requests: HashMap::new(),
                asks: HashMap::new(),
                loads: HashMap::new(),
                reported: Counters::default(),
            }),
        })
    }

    pub(crate) fn board(&self) -> &Blackboard {
        &self.board
    }

    /// Returns the connections to the backend server.
    pub(crate) fn backend(&self) -> &Backend {
        &self.backend
    }

    /// Returns the pool of links over which requests are handed to siblings.
    pub(crate) fn handoffs(&self) -> &HandoffPool {
        &self.handoffs
    }

    /// Returns the coordinator of idempotency keys.
    pub(crate) fn keys(&self) -> &Arc<KeyCoordinator> {
        &self.keys
    }

    /// Returns the runtime that carries requests.
    pub(crate) fn runtime(&self) -> &Handle {
        &self.runtime
    }

    /// Returns the id under which admission sees a flow.
    pub(crate) fn flow_id(&self, tuple: &FiveTuple) -> u64 {
        let mut hasher = DefaultHasher::new();
        tuple.hash(&mut hasher);
        hasher.finish()
    }

    /// Submits a caller's request to admission.
    pub(crate) fn submit(&self, arrival: Arrival) -> OpenRequest {
        let mut state = self.state.lock();
        let (key, actions) = state.admission.arrive(self.board.now(), arrival);
        let directives = state.open(key);
        self.apply_actions(&mut state, actions, None);
        OpenRequest { key, directives }
    }

    /// Returns the time after which a request is hedged, or `None` while no request is hedged.
    pub(crate) fn hedging_delay(&self) -> Option<Duration> {
        self.state.lock().admission.hedging_delay(self.board.now())
    }

    /// Asks siblings for a slot for a second copy of a request.
    ///
    /// # Errors
    ///
    /// Returns why the request is not hedged.
    pub(crate) fn hedge(&self, request: RequestKey) -> HedgeResult<OpenRequest> {
        let mut state = self.state.lock();
        let (key, actions) = state.admission.hedge(self.board.now(), request)?;
        let directives = state.open(key);
        self.apply_actions(&mut state, actions, None);
        Ok(OpenRequest { key, directives })
    }

    /// Submits a request that a sibling handed over. Returns `None` for a duplicate.
    pub(crate) fn submit_handed(
        &self,
        from: NodeId,
        reservation: ReservationId,
        arrival: Arrival,
    ) -> Option<OpenRequest> {
        let mut state = self.state.lock();
        let now = self.board.now();
        let (key, actions) = state
            .admission
            .reservation_used(now, from, reservation, arrival);
        let open = key.map(|key| OpenRequest {
            key,
            directives: state.open(key),
        });
        self.apply_actions(&mut state, actions, None);
        open
    }

    /// Records that the head of a response arrived.
    pub(crate) fn response_started(&self, key: RequestKey) {
        let mut state = self.state.lock();
        state.admission.response_started(self.board.now(), key);
    }

    /// Reports how an attempt ended.
    pub(crate) fn finished(
        &self,
        key: RequestKey,
        progress: Progress,
        outcome: Outcome,
        latency: Duration,
    ) {
        let mut state = self.state.lock();
        if outcome != Outcome::Done {
            tracing::debug!(?key, ?progress, ?outcome, "attempt ended");
        }
        if outcome == Outcome::Silent {
            self.backend.close_idle();
        }
        let now = self.board.now();
        let actions = state
            .admission
            .finished(now, key, progress, outcome, latency);
        if outcome == Outcome::Done {
            state.requests.remove(&key);
        }
        self.apply_actions(&mut state, actions, None);
    }

    /// Reports that the caller cancelled the request, and the progress of its attempt.
    pub(crate) fn cancelled(&self, key: RequestKey, progress: Progress, latency: Duration) {
        let mut state = self.state.lock();
        state.requests.remove(&key);
        let now = self.board.now();
        let actions = state.admission.cancelled(now, key);
        self.apply_actions(&mut state, actions, None);
        let actions = state
            .admission
            .finished(now, key, progress, Outcome::Cancelled, latency);
        self.apply_actions(&mut state, actions, None);
    }

    /// Returns the load of the local backend server.
    pub(crate) fn load(&self) -> Load {
        self.state.lock().admission.load(self.board.now())
    }

    /// Returns whether no request is open, from callers or from siblings.
    pub(crate) fn is_idle(&self) -> bool {
        self.state.lock().admission.open() == 0
    }

    /// Sets whether new requests are accepted.
    pub(crate) fn set_state(&self, serving: ServingState) {
        let mut state = self.state.lock();
        if state.admission.state() == serving {
            return;
        }
        let actions = state.admission.set_state(self.board.now(), serving);
        self.apply_actions(&mut state, actions, None);
    }

    /// Sets whether the backend server is leaving. If so, no further request is run there.
    pub(crate) fn set_leaving(&self, is_leaving: bool) {
        if self.is_leaving.swap(is_leaving, Ordering::Relaxed) != is_leaving {
            self.refresh();
        }
    }

    /// Marks the backend server as cold after a restart.
    pub(crate) fn turn_cold(&self) {
        self.state.lock().admission.turn_cold(self.board.now());
    }

    /// Returns whether the service's bytes are relayed, so that this agent sees no requests.
    pub(crate) fn is_relayed(&self) -> bool {
        let state = self.state.lock();
        let service = state.service.as_ref();
        service.is_some_and(|s| s.protocol == Protocol::Tcp)
    }

    /// Returns the share of its slots that the backend server may use now, from 0 to 1. It is 1 for
    /// a relayed service, as there are no outcomes of requests to detect a cold backend server.
    pub(crate) fn slot_share(&self) -> f64 {
        if self.is_relayed() {
            return 1.0;
        }
        let state = self.state.lock();
        let slots = state.service.as_ref().map_or(5, |s| s.slots);
        f64::from(state.admission.limit().limit()) / f64::from(slots.max(1))
    }
}

impl State {
    fn open(&mut self, key: RequestKey) -> mpsc::UnboundedReceiver<Directive> {
        let (sender, directives) = mpsc::unbounded_channel();
        self.requests.insert(key, sender);
        directives
    }

    fn send_directive(&mut self, key: RequestKey, directive: Directive) {
        if let Some(task) = self.requests.get(&key) {
            // A task that has ended has reported its cancellation.
            let _ = task.send(directive);
        }
    }

    fn send_last_directive(&mut self, key: RequestKey, directive: Directive) {
        self.send_directive(key, directive);
        self.requests.remove(&key);
    }

    fn note_load(&mut self, sibling: NodeId, load: Option<Load>) {
        if let Some(load) = load {
            self.admission.note_load(sibling, load);
            self.loads.insert(sibling, load);
        }
    }

    fn configure(&mut self, service: &Service, now: Duration) {
        self.admission.reconfigure(admission_config(service), now);
    }
}

impl std::fmt::Debug for RequestCoordinator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Desk").finish_non_exhaustive()
    }
}

/// Returns the configuration of admission for a service.
pub(crate) fn admission_config(service: &Service) -> AdmissionConfig {
    let limit = LimitConfig::default()
        .with_slots(service.slots)
        .with_cold(service.cold);
    let queue = usize::try_from(service.queue).unwrap_or(usize::MAX);
    AdmissionConfig::default()
        .with_limit(limit)
        .with_queue(queue)
        .with_second_tries(service.second_tries)
}

/// Converts a duration to microseconds, the unit used in messages.
pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
