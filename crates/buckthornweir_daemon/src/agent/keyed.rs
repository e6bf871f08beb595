//! Requests with an idempotency key: each runs at most once, and a resent one gets the answer of the
//! first.

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

use super::body::{AnswerBody, BodyEnd, recording, whole};
use super::hand_links::{read_headers, write_headers};
use crate::board::Blackboard;
use crate::links::Links;
use crate::settings::AgentSettings;

/// The most bytes of an answer's body that are kept for resent requests.
const KEPT_BODY: usize = 16 << 10;

/// How long an agent has to be there before it counts as a holder of keys; news of members are
/// everywhere within 8 s.
const SETTLE: Duration = Duration::from_secs(10);

/// Marks an answer that was given before.
const REPLAYED_HEADER: &str = "x-replayed";

/// What the holders of a key say about a request.
pub(crate) enum Verdict {
    /// It may run.
    Run(KeyClaim),
    /// It ran before, with this answer.
    Replay(Response<AnswerBody>),
    /// It must not run.
    Refuse(Refusal),
}

/// The records of idempotency keys at one agent.
pub(crate) struct KeyDesk {
    board: Arc<Blackboard>,
    links: Arc<Links>,
    state: Mutex<State>,
}

struct State {
    keys: Keys,
    waiting: HashMap<ClaimKey, oneshot::Sender<KeyAction>>,
}

impl KeyDesk {
    /// Returns a desk without records.
    pub(crate) fn new(
        board: Arc<Blackboard>,
        links: Arc<Links>,
        settings: &AgentSettings,
    ) -> Arc<Self> {
        let own = Member::new(board.id, board.settings.node.domain.clone());
        let mut config = KeysConfig::default().with_first_start(settings.first_start);
        config.hash_key = hash_key(&board);
        config.settle_delay = SETTLE;
        let keys = Keys::new(own, config, rand::random(), board.now());
        Arc::new(Self {
            board,
            links,
            state: Mutex::new(State {
                keys,
                waiting: HashMap::new(),
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
        let (sender, answered) = oneshot::channel();
        let claim = {
            let mut state = self.state.lock();
            let digest = request_digest(head, body);
            let now = self.board.now();
            let (claim, actions) = state.keys.claim(now, key, digest, deadline);
            state.waiting.insert(claim, sender);
            self.carry_out(&mut state, actions);
            claim
        };
        let guard = KeyClaim {
            desk: self.clone(),
            claim,
            end: Some(KeyEnd::NotRun),
        };
        match answered.await {
            Ok(KeyAction::Run { .. }) => Verdict::Run(guard),
            Ok(KeyAction::Replay { answer, .. }) => {
                guard.forget();
                Verdict::Replay(replayed(answer))
            }
            Ok(KeyAction::Refuse { refusal, .. }) => {
                guard.forget();
                Verdict::Refuse(refusal)
            }
            Ok(KeyAction::Send { .. }) | Err(_) => {
                Verdict::Refuse(Refusal::unknown(ProblemKind::KeyHomeUnreachable))
            }
        }
    }

    /// Takes a message of another agent.
    pub(crate) fn receive(&self, from: NodeId, body: RequestBody) {
        let mut state = self.state.lock();
        let actions = state.keys.received(self.board.now(), from, body);
        self.carry_out(&mut state, actions);
    }

    /// Runs the timers.
    pub(crate) fn tick(&self) {
        let mut state = self.state.lock();
        let actions = state.keys.tick(self.board.now());
        self.carry_out(&mut state, actions);
    }

    /// Shows how the records stand.
    pub(crate) fn report(&self) {
        let state = self.state.lock();
        let metrics = &self.board.metrics;
        metrics.set(Gauge::KeysReady, i64::from(state.keys.is_ready()));
        let held = i64::try_from(state.keys.held()).unwrap_or(i64::MAX);
        metrics.set(Gauge::KeysHeld, held);
    }

    /// Follows the members of the service.
    pub(crate) fn follow(&self, service: &str) {
        let members = self.board.members();
        let is_present = |m: &&crate::board::Member| {
            m.record.node != self.board.id && m.is_agent_of(service) && m.health != Health::Dead
        };
        let present: Vec<Member> = members
            .iter()
            .filter(is_present)
            .map(|m| Member::new(m.record.node, m.record.domain.clone()))
            .collect();
        let mut state = self.state.lock();
        let actions = state.keys.set_members(self.board.now(), &present);
        self.carry_out(&mut state, actions);
    }

    /// Grants no claim any more, and hands all records to the others.
    pub(crate) fn leave(&self) {
        let mut state = self.state.lock();
        let actions = state.keys.leave(self.board.now());
        self.carry_out(&mut state, actions);
    }

    fn finished(&self, claim: ClaimKey, end: KeyEnd, answer: Option<StoredAnswer>) {
        let mut state = self.state.lock();
        state.waiting.remove(&claim);
        let now = self.board.now();
        let actions = state.keys.finished(now, claim, end, answer);
        self.carry_out(&mut state, actions);
    }

    fn carry_out(&self, state: &mut State, actions: Vec<KeyAction>) {
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
                    if let Some(waiting) = state.waiting.remove(&claim) {
                        // A task that is gone has dropped its claim.
                        let _ = waiting.send(action);
                    }
                }
                (None, _) => {}
            }
        }
    }
}

/// The right to run a request with a key; its end is told to the holders.
pub(crate) struct KeyClaim {
    desk: Arc<KeyDesk>,
    claim: ClaimKey,
    end: Option<KeyEnd>,
}

impl KeyClaim {
    /// Notes that the request may run from now on.
    pub(crate) fn start(&mut self) {
        self.end = Some(KeyEnd::Unknown);
    }

    /// Tells the holders that the request was refused.
    pub(crate) fn refused(mut self, refusal: &Refusal) {
        let end = match refusal.not_run {
            true => KeyEnd::NotRun,
            false => KeyEnd::Unknown,
        };
        self.end = Some(end);
    }

    /// Keeps the answer while it goes to the caller, and tells it to the holders.
    pub(crate) fn answered(mut self, response: Response<AnswerBody>) -> Response<AnswerBody> {
        let desk = self.desk.clone();
        let claim = self.claim;
        self.end = None;
        let (head, body) = response.into_parts();
        let mut answer = StoredAnswer {
            status: u32::from(head.status.as_u16()),
            headers: write_headers(&head.headers),
            ..StoredAnswer::default()
        };
        let done = move |end, kept: Option<Vec<u8>>| {
            // The head of the answer came, so the request ran, however its body ended.
            match (end, kept) {
                (BodyEnd::Whole, Some(kept)) => answer.body = kept,
                _ => answer.body_dropped = true,
            }
            desk.finished(claim, KeyEnd::Done, Some(answer));
        };
        Response::from_parts(head, recording(body, KEPT_BODY, done))
    }

    fn forget(mut self) {
        self.end = None;
    }
}

impl Drop for KeyClaim {
    fn drop(&mut self) {
        if let Some(end) = self.end {
            self.desk.finished(self.claim, end, None);
        }
    }
}

/// Returns the key under which holders are chosen; all agents derive the same one.
fn hash_key(board: &Blackboard) -> [u64; 2] {
    let derived = board.settings.node.key.derive("idempotency");
    let word = |at: usize| {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&derived[at..at + 8]);
        u64::from_be_bytes(bytes)
    };
    [word(0), word(8)]
}

/// Returns what tells a request from others that use its key by mistake.
fn request_digest(head: &request::Parts, body: &Bytes) -> u64 {
    // Without keys, so that all agents get the same digest.
    let mut hasher = SipHasher13::new();
    head.method.as_str().hash(&mut hasher);
    head.uri.to_string().hash(&mut hasher);
    body.hash(&mut hasher);
    hasher.finish()
}

fn replayed(answer: StoredAnswer) -> Response<AnswerBody> {
    let status = u16::try_from(answer.status).ok();
    let status = status.and_then(|s| StatusCode::from_u16(s).ok());
    let mut response = Response::new(whole(answer.body));
    *response.status_mut() = status.unwrap_or(StatusCode::OK);
    *response.headers_mut() = read_headers(&answer.headers).unwrap_or_default();
    let yes = HeaderValue::from_static("yes");
    response.headers_mut().insert(REPLAYED_HEADER, yes);
    if answer.body_dropped {
        // The first answer's length does not fit the empty body.
        response.headers_mut().remove(http::header::CONTENT_LENGTH);
    }
    response
}
