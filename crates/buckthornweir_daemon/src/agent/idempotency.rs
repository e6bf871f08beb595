//! Requests with an idempotency key. Each runs at most once, and a repeated request gets the
//! response of the first one.

use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use buckthornweir_events::Gauge;
use buckthornweir_members::Health;
use buckthornweir_requests::idempotency::{ClaimKey, KeyAction, Keys, KeysConfig, Member};
use buckthornweir_requests::messages::{KeyEnd, RequestBody, RequestMessage, StoredAnswer};
use buckthornweir_requests::{ProblemKind, Refusal};
use buckthornweir_wire::{Body, NodeId};
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, request};
use parking_lot::Mutex;
use siphasher::sip::SipHasher13;
use tokio::sync::oneshot;

use super::body::{BodyEnd, ResponseBody, full_body, with_capture};
use super::handoff_client::{decode_headers, encode_headers};
use crate::board::Blackboard;
use crate::links::Links;
use crate::settings::AgentSettings;

/// The largest response body that is stored for repeated requests.
const MAX_STORED_BODY_BYTES: usize = 16 << 10;

/// How long an agent must have been a member before it counts as a holder of keys. Membership
/// changes reach all members within 8 s.
const SETTLE_DELAY: Duration = Duration::from_secs(10);

/// Marks a stored response that is replayed to a repeated request.
const REPLAYED_HEADER: &str = "x-replayed";

/// The decision of the holders of a key about a request.
pub(crate) enum Verdict {
    /// The request may run.
    Run(KeyClaim),
    /// The request ran before, with this response.
    Replay(Response<ResponseBody>),
    /// The request must not run.
    Refuse(Refusal),
}

/// Claims idempotency keys for requests, and holds this agent's share of the key records.
pub(crate) struct KeyCoordinator {
    board: Arc<Blackboard>,
    links: Arc<Links>,
    state: Mutex<State>,
}

struct State {
    keys: Keys,
    pending: HashMap<ClaimKey, oneshot::Sender<KeyAction>>,
}

impl KeyCoordinator {
    /// Returns a coordinator without records.
    pub(crate) fn new(
        board: Arc<Blackboard>,
        links: Arc<Links>,
        settings: &AgentSettings,
    ) -> Arc<Self> {
        let own = Member::new(board.id, board.settings.node.domain.clone());
        let mut config = KeysConfig::default().with_first_start(settings.first_start);
        config.hash_key = hash_key(&board);
        config.settle_delay = SETTLE_DELAY;
        let keys = Keys::new(own, config, rand::random(), board.now());
        Arc::new(Self {
            board,
            links,
            state: Mutex::new(State {
                keys,
                pending: HashMap::new(),
            }),
        })
    }

    /// Asks the holders of `key` whether a request may run.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        key: &[u8],
        head: &request::Parts,
        body: &Bytes,
        deadline: Duration,
    ) -> Verdict {
        let (sender, decision) = oneshot::channel();
        let claim = {
            let mut state = self.state.lock();
            let digest = request_digest(head, body);
            let now = self.board.now();
            let (claim, actions) = state.keys.claim(now, key, digest, deadline);
            state.pending.insert(claim, sender);
            self.apply_actions(&mut state, actions);
            claim
        };
        let guard = KeyClaim {
            coordinator: self.clone(),
            claim,
            end: Some(KeyEnd::NotRun),
        };
        match decision.await {
            Ok(KeyAction::Run { .. }) => Verdict::Run(guard),
            Ok(KeyAction::Replay { answer, .. }) => {
                guard.disarm();
                Verdict::Replay(replayed_response(answer))
            }
            Ok(KeyAction::Refuse { refusal, .. }) => {
                guard.disarm();
                Verdict::Refuse(refusal)
            }
            Ok(KeyAction::Send { .. }) | Err(_) => {
                Verdict::Refuse(Refusal::unknown(ProblemKind::KeyHomeUnreachable))
            }
        }
    }

    /// Handles a message from another agent.
    pub(crate) fn receive(&self, from: NodeId, body: RequestBody) {
        let mut state = self.state.lock();
        let actions = state.keys.received(self.board.now(), from, body);
        self.apply_actions(&mut state, actions);
    }

    /// Runs the timers that are due.
    pub(crate) fn tick(&self) {
        let mut state = self.state.lock();
        let actions = state.keys.tick(self.board.now());
        self.apply_actions(&mut state, actions);
    }

    /// Updates the metrics about key records.
    pub(crate) fn report(&self) {
        let state = self.state.lock();
        let metrics = &self.board.metrics;
        metrics.set(Gauge::KeysReady, i64::from(state.keys.is_ready()));
        let key_count = i64::try_from(state.keys.held()).unwrap_or(i64::MAX);
        metrics.set(Gauge::KeysHeld, key_count);
    }

    /// Updates the set of agents that may hold keys.
    pub(crate) fn update_members(&self, service: &str) {
        let members = self.board.members();
        let mut present = members_of(&members, service);
        present.retain(|member| member.node != self.board.id);
        let mut state = self.state.lock();
        let actions = state.keys.set_members(self.board.now(), &present);
        self.apply_actions(&mut state, actions);
    }

    /// Stops granting claims and hands all records to the other holders.
    pub(crate) fn leave(&self) {
        let mut state = self.state.lock();
        let actions = state.keys.leave(self.board.now());
        self.apply_actions(&mut state, actions);
    }

    fn finished(&self, claim: ClaimKey, end: KeyEnd, answer: Option<StoredAnswer>) {
        let mut state = self.state.lock();
        state.pending.remove(&claim);
        let now = self.board.now();
        let actions = state.keys.finished(now, claim, end, answer);
        self.apply_actions(&mut state, actions);
    }

    fn apply_actions(&self, state: &mut State, actions: Vec<KeyAction>) {
        for action in actions {
            let claim = match &action {
                KeyAction::Send { .. } => None,
                KeyAction::Run { claim }
                | KeyAction::Replay { claim, .. }
                | KeyAction::Refuse { claim, .. } => Some(*claim),
            };
            match (claim, action) {
                (None, KeyAction::Send { to, body }) => {
                    let message = RequestMessage::new(body);
                    self.links.send(to, Body::Request(Box::new(message)));
                }
                (Some(claim), action) => {
                    if let Some(pending) = state.pending.remove(&claim) {
                        // A task that has ended has dropped its claim.
                        let _ = pending.send(action);
                    }
                }
                (None, _) => {}
            }
        }
    }
}

/// The right to run a request with a key. The end of the request is reported to the holders.
pub(crate) struct KeyClaim {
    coordinator: Arc<KeyCoordinator>,
    claim: ClaimKey,
    end: Option<KeyEnd>,
}

impl KeyClaim {
    /// Marks the request as started: from now on its outcome is unknown until it is reported.
    pub(crate) fn start(&mut self) {
        self.end = Some(KeyEnd::Unknown);
    }

    /// Reports to the holders that the request was refused.
    pub(crate) fn refused(mut self, refusal: &Refusal) {
        let end = match refusal.not_run {
            true => KeyEnd::NotRun,
            false => KeyEnd::Unknown,
        };
        self.end = Some(end);
    }

    /// Captures the response on its way to the caller and reports it to the holders.
    pub(crate) fn responded(mut self, response: Response<ResponseBody>) -> Response<ResponseBody> {
        let coordinator = self.coordinator.clone();
        let claim = self.claim;
        self.end = None;
        let (head, body) = response.into_parts();
        let mut answer = StoredAnswer {
            status: u32::from(head.status.as_u16()),
            headers: encode_headers(&head.headers),
            ..StoredAnswer::default()
        };
        let on_end = move |end, captured: Option<Vec<u8>>| {
            // The head of a response proves that the request ran, even when the body was cut.
            match (end, captured) {
                (BodyEnd::Complete, Some(captured)) => answer.body = captured,
                _ => answer.body_dropped = true,
            }
            coordinator.finished(claim, KeyEnd::Done, Some(answer));
        };
        Response::from_parts(head, with_capture(body, MAX_STORED_BODY_BYTES, on_end))
    }

    fn disarm(mut self) {
        self.end = None;
    }
}

impl Drop for KeyClaim {
    fn drop(&mut self) {
        if let Some(end) = self.end {
            self.coordinator.finished(self.claim, end, None);
        }
    }
}

/// Returns the agents of a service that may hold keys.
pub(crate) fn members_of(members: &[crate::board::Member], service: &str) -> Vec<Member> {
    let is_present = |m: &&crate::board::Member| m.is_agent_of(service) && m.health != Health::Dead;
    let present = members.iter().filter(is_present);
    present
        .map(|m| Member::new(m.record.node, m.record.domain.clone()))
        .collect()
}

/// Returns the hash key that selects the holders of a key. It is the same at all agents.
pub(crate) fn hash_key(board: &Blackboard) -> [u64; 2] {
    let derived = board.settings.node.key.derive("idempotency");
    let word = |at: usize| {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&derived[at..at + 8]);
        u64::from_be_bytes(bytes)
    };
    [word(0), word(8)]
}

/// Returns a digest that detects a key reused for another request.
fn request_digest(head: &request::Parts, body: &Bytes) -> u64 {
    // The hash is unkeyed, so that all agents compute the same digest.
    let mut hasher = SipHasher13::new();
    head.method.as_str().hash(&mut hasher);
    head.uri.to_string().hash(&mut hasher);
    body.hash(&mut hasher);
    hasher.finish()
}

fn replayed_response(stored: StoredAnswer) -> Response<ResponseBody> {
    let status = u16::try_from(stored.status).ok();
    let status = status.and_then(|s| StatusCode::from_u16(s).ok());
    let mut response = Response::new(full_body(stored.body));
    *response.status_mut() = status.unwrap_or(StatusCode::OK);
    *response.headers_mut() = decode_headers(&stored.headers).unwrap_or_default();
    let yes = HeaderValue::from_static("yes");
    response.headers_mut().insert(REPLAYED_HEADER, yes);
    if stored.body_dropped {
        // The length of the first response does not match the empty body.
        response.headers_mut().remove(http::header::CONTENT_LENGTH);
    }
    response
}
