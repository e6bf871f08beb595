//! The desk of an agent: connects the decisions about requests with the tasks that carry requests,
//! and with sibling agents.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use buckthornweir_bundle::Service;
use buckthornweir_events::{Count, Gauge};
use buckthornweir_flows::packet::FiveTuple;
use buckthornweir_members::{Health, MemberState, Roles};
use buckthornweir_requests::messages::{
    Declined, Granted, Load, Release, RequestBody, RequestMessage, Reserve,
};
use buckthornweir_requests::{
    Action, Admission, AdmissionConfig, Arrival, LimitConfig, Outcome, Progress, Refusal,
    RequestKey, ReservationId, ServingState, Sibling, SiblingState, Token,
};
use buckthornweir_wire::{Body, NodeId};
use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::Backend;
use super::hand_links::HandLinks;
use super::handed;
use super::keyed::KeyDesk;
use crate::board::{Blackboard, Member};
use crate::links::{LinkSender, Links};

/// How often due requests and reservations are looked for.
const TICK: Duration = Duration::from_millis(10);

/// How often the free slots go to the blackboard.
const REPORT: Duration = Duration::from_millis(500);

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

    /// Takes a message of a sibling; answers go back over `back`.
    pub(crate) fn receive(
        self: &Arc<Self>,
        from: NodeId,
        message: RequestMessage,
        back: &LinkSender,
    ) {
        let Some(body) = message.body else { return };
        let now = self.board.now();
        let mut state = self.state.lock();
        match body {
            RequestBody::Reserve(asked) => {
                let deadline = now + Duration::from_micros(asked.remaining_us);
                let actions = state
                    .admission
                    .reserve_asked(now, from, asked.token, deadline);
                self.carry_out(&mut state, actions, Some(back));
            }
            RequestBody::Granted(granted) => self.granted(&mut state, from, &granted),
            RequestBody::Declined(declined) => {
                state.note_load(from, declined.load);
                if let Some(ask) = state.asks.remove(&declined.token) {
                    let actions = state.admission.sibling_refused(now, ask.request, from);
                    self.carry_out(&mut state, actions, None);
                }
            }
            RequestBody::Release(release) => {
                let actions = state
                    .admission
                    .reservation_released(now, from, release.reservation);
                self.carry_out(&mut state, actions, None);
            }
            RequestBody::HandedRequest(request) => {
                drop(state);
                handed::take(self.clone(), from, request, back.clone());
            }
            RequestBody::HandedAnswer(_)
            | RequestBody::BodyPart(_)
            | RequestBody::CancelHanded(_)
            | RequestBody::Load(_) => {}
            about_keys => self.keys.receive(from, about_keys),
        }
    }

    fn granted(&self, state: &mut State, from: NodeId, granted: &Granted) {
        state.note_load(from, granted.load);
        let Some(ask) = state.asks.remove(&granted.token) else {
            return self.release(from, granted.reservation);
        };
        let now = self.board.now();
        let actions = state
            .admission
            .reserved(now, ask.request, from, granted.reservation);
        self.carry_out(state, actions, None);
    }

    /// Takes a sibling's report of its load.
    pub(crate) fn note_load(&self, sibling: NodeId, load: Load) {
        self.state.lock().note_load(sibling, Some(load));
    }

    /// Returns the load of the own backend server.
    pub(crate) fn load(&self) -> Load {
        self.state.lock().admission.load(self.board.now())
    }

    /// Returns whether no request is open, neither of a caller nor of a sibling.
    pub(crate) fn is_idle(&self) -> bool {
        self.state.lock().admission.open() == 0
    }

    /// Notes that the link to a sibling was lost: its questions are not answered any more. Requests
    /// that were handed over have links of their own.
    pub(crate) fn link_lost(&self, sibling: NodeId) {
        let mut state = self.state.lock();
        self.refuse_asks(&mut state, sibling);
    }

    fn refuse_asks(&self, state: &mut State, sibling: NodeId) {
        let lost: Vec<Ask> = state
            .asks
            .extract_if(|_, ask| ask.sibling == sibling)
            .map(|(_, ask)| ask)
            .collect();
        for ask in lost {
            let now = self.board.now();
            let actions = state.admission.sibling_refused(now, ask.request, sibling);
            self.carry_out(state, actions, None);
        }
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

    /// Returns the share of its slots that the backend server may use now, from 0 to 1.
    pub(crate) fn warmth(&self) -> f64 {
        let state = self.state.lock();
        let slots = state.service.as_ref().map_or(5, |s| s.slots);
        f64::from(state.admission.limit().limit()) / f64::from(slots.max(1))
    }

    /// Runs the timers, and follows the blackboard, until `stop` is cancelled.
    pub(crate) async fn run_timers(self: Arc<Self>, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(TICK);
        let mut reports = tokio::time::interval(REPORT);
        let mut changes = self.board.changes();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => self.tick(),
                _ = reports.tick() => self.report(),
                changed = changes.changed() => if changed.is_ok() { self.follow() },
            }
        }
    }

    fn tick(&self) {
        self.keys.tick();
        let mut state = self.state.lock();
        let actions = state.admission.tick(self.board.now());
        self.carry_out(&mut state, actions, None);
        let State { requests, asks, .. } = &mut *state;
        asks.retain(|_, ask| requests.contains_key(&ask.request));
    }

    fn report(&self) {
        self.keys.report();
        let state = self.state.lock();
        let limit = state.admission.limit();
        let metrics = &self.board.metrics;
        metrics.set(Gauge::AdmissionLimit, i64::from(limit.limit()));
        metrics.set(Gauge::RequestsRunning, i64::from(limit.in_flight()));
        let waiting = i64::try_from(state.admission.queued()).unwrap_or(i64::MAX);
        metrics.set(Gauge::RequestsWaiting, waiting);
        let free = limit.free();
        drop(state);
        self.board.report_free(free);
    }

    /// Follows the bundle and the members.
    fn follow(&self) {
        let Some(agent) = &self.board.settings.agent else {
            return;
        };
        let found = self
            .board
            .with_bundle(|bundle| bundle.service(&agent.service).cloned())
            .flatten();
        let mut state = self.state.lock();
        let siblings = self.siblings(&agent.service, &state.loads);
        let is_sibling = |node: &NodeId| siblings.iter().any(|s| s.node == *node);
        state.loads.retain(|node, _| is_sibling(node));
        state.admission.set_siblings(&siblings);
        if found != state.service {
            if let Some(service) = &found {
                state.configure(service, self.board.now());
            }
            state.service = found;
        }
        drop(state);
        self.keys.follow(&agent.service);
        self.set_state(self.serving_state(&agent.service));
    }

    fn serving_state(&self, service: &str) -> ServingState {
        let domain = &self.board.settings.node.domain;
        let serves = self.board.with_bundle(|b| b.serves(service, domain));
        match serves {
            // Nothing is granted before the limits are known.
            None | Some(false) => ServingState::Out,
            _ if self.is_leaving.load(Ordering::Relaxed) => ServingState::Draining,
            _ => ServingState::Ready,
        }
    }

    fn siblings(&self, service: &str, loads: &HashMap<NodeId, Load>) -> Vec<Sibling> {
        let members = self.board.members();
        let is_sibling = |m: &&Member| {
            m.record.node != self.board.id
                && m.record.roles.contains(Roles::AGENT)
                && m.record.service == service
                && m.record.state != MemberState::Left
                && m.health == Health::Alive
        };
        let found = members.iter().filter(is_sibling);
        let load = |m: &Member| loads.get(&m.record.node).copied();
        found.map(|m| self.sibling(service, m, load(m))).collect()
    }

    fn sibling(&self, service: &str, member: &Member, load: Option<Load>) -> Sibling {
        let record = &member.record;
        let serves = self
            .board
            .with_bundle(|b| b.serves(service, &record.domain));
        let state = match (serves, record.state) {
            (Some(true), MemberState::Cold) => SiblingState::Cold,
            (Some(true), MemberState::Ready) => SiblingState::Ready,
            (Some(true), _) => SiblingState::Draining,
            _ => SiblingState::Out,
        };
        let sibling = Sibling::new(record.node, record.domain.clone())
            .with_free(record.free)
            .with_state(state);
        match load {
            Some(load) => sibling
                .with_free(load.free)
                .with_rate(f64::from(load.rate_milli) / 1_000.0),
            None => sibling,
        }
    }

    fn carry_out(&self, state: &mut State, actions: Vec<Action>, back: Option<&LinkSender>) {
        let mut unreachable = Vec::new();
        for action in actions {
            self.carry_out_one(state, action, back, &mut unreachable);
        }
        for sibling in unreachable {
            self.refuse_asks(state, sibling);
        }
    }

    fn carry_out_one(
        &self,
        state: &mut State,
        action: Action,
        back: Option<&LinkSender>,
        unreachable: &mut Vec<NodeId>,
    ) {
        match action {
            Action::Run { request } => state.direct(request, Directive::Run),
            Action::AskSibling {
                request,
                sibling,
                token,
                deadline,
            } => {
                state.asks.insert(token, Ask { request, sibling });
                let remaining = deadline.saturating_sub(self.board.now());
                let asked = RequestBody::Reserve(Reserve {
                    token,
                    remaining_us: micros(remaining),
                });
                if !self.send(sibling, asked) {
                    unreachable.push(sibling);
                }
            }
            Action::HandOver {
                request,
                sibling,
                reservation,
            } => {
                self.board.metrics.count(Count::RequestsHandedOver);
                let directive = Directive::HandOver {
                    sibling,
                    reservation,
                };
                state.direct(request, directive);
            }
            Action::Release {
                sibling,
                reservation,
            } => self.release(sibling, reservation),
            Action::Refuse { request, refusal } => {
                self.count_refusal(&refusal);
                tracing::debug!(?request, ?refusal, "a request is refused");
                state.end(request, Directive::Refuse(refusal));
            }
            Action::Deliver { request } => state.end(request, Directive::Deliver),
            Action::CutAnswer { request } => state.end(request, Directive::Cut),
            Action::Abort { request } | Action::CancelHanded { request, .. } => {
                state.direct(request, Directive::Abort);
            }
            Action::Grant {
                token, reservation, ..
            } => {
                let load = Some(state.admission.load(self.board.now()));
                let granted = Granted {
                    token,
                    reservation,
                    load,
                };
                self.reply(back, RequestBody::Granted(granted));
            }
            Action::Decline { token, .. } => {
                let load = Some(state.admission.load(self.board.now()));
                self.reply(back, RequestBody::Declined(Declined { token, load }));
            }
        }
    }

    /// Counts a refusal.
    pub(crate) fn count_refusal(&self, refusal: &Refusal) {
        let count = if refusal.not_run {
            Count::RequestsRefused
        } else {
            Count::RequestsUnknown
        };
        self.board.metrics.count(count);
    }

    fn release(&self, sibling: NodeId, reservation: ReservationId) {
        // A release that is lost is made up for by the reservation's expiry.
        self.send(sibling, RequestBody::Release(Release { reservation }));
    }

    fn send(&self, sibling: NodeId, body: RequestBody) -> bool {
        let message = RequestMessage::new(body);
        self.links.send(sibling, Body::Request(Box::new(message)))
    }

    fn reply(&self, back: Option<&LinkSender>, body: RequestBody) {
        if let Some(back) = back {
            let message = Body::Request(Box::new(RequestMessage::new(body)));
            back.send(self.board.envelope(message));
        }
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

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
