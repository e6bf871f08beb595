//! The desk of an agent: connects the decisions about requests with the tasks that carry requests,
//! and with sibling agents.

mod carry_out;
mod follow;
mod messages;

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use buckthornweir_bundle::{Protocol, Service};
use buckthornweir_flows::packet::FiveTuple;
use buckthornweir_requests::messages::Load;
use buckthornweir_requests::{
    Admission, AdmissionConfig, Arrival, LimitConfig, Outcome, Progress, Refusal, RequestKey,
    ReservationId, ServingState, Token,
};
use buckthornweir_wire::NodeId;
use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use super::Backend;
use super::hand_links::HandLinks;
use super::keyed::KeyDesk;
use crate::board::Blackboard;
use crate::links::Links;

/// What a request's task is to do next.
#[derive(Debug)]
pub(crate) enum Directive {
    /// Try the request at the own backend server.
    Run,
    /// Hand the request to a sibling.
    HandOver {
        /// The sibling.
        sibling: NodeId,
        /// The slot that is held there.
        reservation: ReservationId,
    },
    /// Give the try up.
    Abort,
    /// Answer with a refusal.
    Refuse(Refusal),
    /// Answer with the backend server's own error answer.
    Deliver,
    /// Cut the caller's connection.
    Cut,
}

/// Connects the decisions about requests with the tasks that carry them.
pub(crate) struct Desk {
    board: Arc<Blackboard>,
    backend: Arc<Backend>,
    links: Arc<Links>,
    hands: HandLinks,
    keys: Arc<KeyDesk>,
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
}

/// A question for a slot that has no answer yet.
#[derive(Clone, Copy)]
struct Ask {
    request: RequestKey,
    sibling: NodeId,
}

/// A request that was let in, for its task.
pub(crate) struct Opened {
    pub(crate) key: RequestKey,
    pub(crate) directives: mpsc::UnboundedReceiver<Directive>,
}

impl Desk {
    /// Returns a desk for a cold backend server.
    pub(crate) fn new(
        board: Arc<Blackboard>,
        backend: Arc<Backend>,
        links: Arc<Links>,
        keys: Arc<KeyDesk>,
        runtime: Handle,
    ) -> Arc<Self> {
        let now = board.now();
        let mut admission = Admission::new(AdmissionConfig::default(), rand::random(), now);
        // No request is open yet, so nothing follows.
        let _ = admission.set_state(now, ServingState::Out);
        Arc::new(Self {
            hands: HandLinks::new(board.clone(), runtime.clone()),
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
            }),
        })
    }

    /// Returns the blackboard.
    pub(crate) fn board(&self) -> &Blackboard {
        &self.board
    }

    /// Returns the connections to the backend server.
    pub(crate) fn backend(&self) -> &Backend {
        &self.backend
    }

    /// Returns the links over which requests are handed to siblings.
    pub(crate) fn hands(&self) -> &HandLinks {
        &self.hands
    }

    /// Returns the records of idempotency keys.
    pub(crate) fn keys(&self) -> &Arc<KeyDesk> {
        &self.keys
    }

    /// Returns the runtime that carries requests.
    pub(crate) fn runtime(&self) -> &Handle {
        &self.runtime
    }

    /// Returns the id of a flow.
    pub(crate) fn flow_id(&self, tuple: &FiveTuple) -> u64 {
        let mut hasher = DefaultHasher::new();
        tuple.hash(&mut hasher);
        hasher.finish()
    }

    /// Lets a request of a caller in.
    pub(crate) fn arrive(&self, arrival: Arrival) -> Opened {
        let mut state = self.state.lock();
        let (key, actions) = state.admission.arrive(self.board.now(), arrival);
        let directives = state.open(key);
        self.carry_out(&mut state, actions, None);
        Opened { key, directives }
    }

    /// Lets a request in that a sibling handed over, unless it came before.
    pub(crate) fn arrive_handed(
        &self,
        from: NodeId,
        reservation: ReservationId,
        arrival: Arrival,
    ) -> Option<Opened> {
        let mut state = self.state.lock();
        let now = self.board.now();
        let (key, actions) = state
            .admission
            .reservation_used(now, from, reservation, arrival);
        let opened = key.map(|key| Opened {
            key,
            directives: state.open(key),
        });
        self.carry_out(&mut state, actions, None);
        opened
    }

    /// Notes that the head of an answer came.
    pub(crate) fn answering(&self, key: RequestKey) {
        self.state.lock().admission.answering(key);
    }

    /// Reports how a try ended.
    pub(crate) fn finished(
        &self,
        key: RequestKey,
        progress: Progress,
        outcome: Outcome,
        latency: Duration,
    ) {
        let mut state = self.state.lock();
        if outcome != Outcome::Done {
            tracing::debug!(?key, ?progress, ?outcome, "a try ended");
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
        self.carry_out(&mut state, actions, None);
    }

    /// Reports that the caller gave the request up, and how far its try had come.
    pub(crate) fn cancelled(&self, key: RequestKey, progress: Progress, latency: Duration) {
        let mut state = self.state.lock();
        state.requests.remove(&key);
        let now = self.board.now();
        let actions = state.admission.cancelled(now, key);
        self.carry_out(&mut state, actions, None);
        let actions = state
            .admission
            .finished(now, key, progress, Outcome::Cancelled, latency);
        self.carry_out(&mut state, actions, None);
    }

    /// Returns the load of the own backend server.
    pub(crate) fn load(&self) -> Load {
        self.state.lock().admission.load(self.board.now())
    }

    /// Returns whether no request is open, neither of a caller nor of a sibling.
    pub(crate) fn is_idle(&self) -> bool {
        self.state.lock().admission.open() == 0
    }

    /// Sets whether new work is taken.
    pub(crate) fn set_state(&self, serving: ServingState) {
        let mut state = self.state.lock();
        if state.admission.state() == serving {
            return;
        }
        let actions = state.admission.set_state(self.board.now(), serving);
        self.carry_out(&mut state, actions, None);
    }

    /// Sets whether the backend server is about to leave: then nothing more is run there.
    pub(crate) fn set_leaving(&self, is_leaving: bool) {
        if self.is_leaving.swap(is_leaving, Ordering::Relaxed) != is_leaving {
            self.follow();
        }
    }

    /// Notes that the backend server has started anew.
    pub(crate) fn turn_cold(&self) {
        self.state.lock().admission.turn_cold(self.board.now());
    }

    /// Returns whether the service's bytes are relayed, so that no request is ever seen.
    pub(crate) fn is_relayed(&self) -> bool {
        let state = self.state.lock();
        let service = state.service.as_ref();
        service.is_some_and(|s| s.protocol == Protocol::Tcp)
    }

    /// Returns the share of its slots that the backend server may use now, from 0 to 1. Of a relayed
    /// service nothing tells that it is cold.
    pub(crate) fn warmth(&self) -> f64 {
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

    fn direct(&mut self, key: RequestKey, directive: Directive) {
        if let Some(task) = self.requests.get(&key) {
            // A task that is gone has reported its cancellation.
            let _ = task.send(directive);
        }
    }

    fn end(&mut self, key: RequestKey, directive: Directive) {
        self.direct(key, directive);
        self.requests.remove(&key);
    }

    fn note_load(&mut self, sibling: NodeId, load: Option<Load>) {
        if let Some(load) = load {
            self.admission.note_load(sibling, load);
            self.loads.insert(sibling, load);
        }
    }

    fn configure(&mut self, service: &Service, now: Duration) {
        let limit = LimitConfig::default()
            .with_slots(service.slots)
            .with_cold(service.cold);
        let queue = usize::try_from(service.queue).unwrap_or(usize::MAX);
        let config = AdmissionConfig::default()
            .with_limit(limit)
            .with_queue(queue);
        self.admission.reconfigure(config, now);
    }
}

impl std::fmt::Debug for Desk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Desk").finish_non_exhaustive()
    }
}

/// Returns a length of time in microseconds, as messages carry it.
pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
