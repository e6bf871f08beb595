//! The thread that owns the log.

mod voters;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use buckthornweir_bundle::SignedBundle;
use buckthornweir_events::{Count, EventKind, Gauge};
use buckthornweir_quorum::{
    Action, Bundle, Command, Config, Core, Founder, MemberChange, Message, NodeId, Presence,
    PushResult, Reject, Restored, Role, Storage, Token,
};
use buckthornweir_wire::{Body, ControlReply};
use crossbeam::channel::{Receiver, after};
use prost::Message as _;
use tokio_util::sync::CancellationToken;

use super::frame::{QuorumBody, QuorumFrame};
use super::push::{
    invalid_reply, push_reply, refuse_event, reject_reply, reject_text, version_too_high,
};
use super::{ChangeDone, Event, PushDone};
use crate::board::{Blackboard, QuorumState};
use crate::bundles;
use crate::links::Links;
use crate::settings::ControlSettings;

/// The maximum time between two checks of the timers.
const MAX_TICK_DELAY: Duration = Duration::from_millis(50);

/// How often control VMs send their presence and check for a lost voter.
const PRESENCE_PERIOD: Duration = Duration::from_secs(1);

/// How often a control VM sends its address to each other one.
const INTRODUCTION_PERIOD: Duration = Duration::from_secs(1);

/// The delay before a failed data folder is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

/// The role that is published while the data folder cannot be opened.
const CLOSED: &str = "closed";

/// The maximum difference between a pushed version and the newest one.
const MAX_VERSION_STEP: u64 = 1_000_000;

/// The token of member changes that this process proposes without an operator.
const OWN_TOKEN: Token = 0;

/// The replica of the control log at one process.
pub(super) struct Replica {
    board: Arc<Blackboard>,
    links: Arc<Links>,
    settings: ControlSettings,
    core: Core,
    /// The open data folder, or `None` after it failed.
    storage: Option<Storage>,
    founder: Founder,
    peers: Vec<SocketAddr>,
    addresses: HashMap<NodeId, SocketAddr>,
    introduced: HashMap<SocketAddr, Duration>,
    pushes: HashMap<Token, PushDone>,
    changes: HashMap<Token, ChangeDone>,
    next_token: Token,
    next_presence: Duration,
}

/// An error that shows that the disk failed, after which the replica must not continue.
struct DiskFailed;

impl Replica {
    pub(super) fn new(
        board: Arc<Blackboard>,
        links: Arc<Links>,
        settings: &ControlSettings,
        storage: Storage,
        restored: Restored,
    ) -> Self {
        let own = board.settings.node.control.announced;
        let peers = settings.peers.iter().copied().filter(|p| *p != own);
        let (core, founder) = restore(&board, settings, restored);
        Self {
            peers: peers.collect(),
            settings: settings.clone(),
            board,
            links,
            core,
            storage: Some(storage),
            founder,
            addresses: HashMap::new(),
            introduced: HashMap::new(),
            pushes: HashMap::new(),
            changes: HashMap::new(),
            next_token: OWN_TOKEN + 1,
            next_presence: Duration::ZERO,
        }
    }

    /// Handles events until `stop` is cancelled. When the disk fails, the content of the data folder is
    /// unknown until it is opened again, which is repeated until it succeeds.
    pub(super) fn run(mut self, inbox: &Receiver<Event>, stop: &CancellationToken) {
        while !stop.is_cancelled() {
            self.put_in_force();
            self.publish_role();
            while !stop.is_cancelled() {
                if self.step(inbox).is_err() {
                    tracing::error!("the data folder failed; opening it again");
                    self.reject_all();
                    self.reopen(inbox, stop);
                    break;
                }
            }
        }
    }

    /// Opens the data folder again, and refuses events until that succeeds or `stop` is cancelled.
    fn reopen(&mut self, inbox: &Receiver<Event>, stop: &CancellationToken) {
        // The folder is locked while it is open.
        self.storage = None;
        self.publish(CLOSED);
        while !stop.is_cancelled() {
            refuse_events(inbox, REOPEN_DELAY, stop);
            match Storage::open(log_folder(&self.board)) {
                Ok((storage, restored)) => {
                    tracing::info!(origin = ?restored.origin, "the data folder is open again");
                    (self.core, self.founder) = restore(&self.board, &self.settings, restored);
                    self.storage = Some(storage);
                    return;
                }
                Err(error) => tracing::warn!(%error, "the data folder cannot be opened"),
            }
        }
    }

    fn step(&mut self, inbox: &Receiver<Event>) -> Result<(), DiskFailed> {
        let now = self.board.now();
        let wait = self
            .core
            .next_tick(now)
            .saturating_sub(now)
            .min(MAX_TICK_DELAY);
        crossbeam::channel::select! {
            recv(inbox) -> event => if let Ok(event) = event {
                self.handle(event)?;
            },
            recv(after(wait)) -> _ => {}
        }
        let actions = self.core.tick(self.board.now());
        self.execute(actions)?;
        if self.board.now() >= self.next_presence {
            self.next_presence = self.board.now() + PRESENCE_PERIOD;
            self.maintain_members()?;
        }
        Ok(())
    }

    fn handle(&mut self, event: Event) -> Result<(), DiskFailed> {
        let now = self.board.now();
        match event {
            Event::Frame(frame) => self.handle_frame(frame),
            Event::Push { text, done } => self.push(&text, done),
            Event::Change { change, done } => self.change(change, done),
            Event::TransferLeadership => {
                let actions = self.core.transfer(now);
                self.execute(actions)
            }
        }
    }

    fn handle_frame(&mut self, frame: QuorumFrame) -> Result<(), DiskFailed> {
        let now = self.board.now();
        if let Ok(address) = frame.address.parse() {
            self.addresses.insert(frame.from, address);
        }
        match frame.body {
            Some(QuorumBody::Message(bytes)) => {
                let Ok(message) = Message::from_bytes(bytes.into()) else {
                    return Ok(());
                };
                let actions = self.core.handle(now, frame.from, message);
                self.execute(actions)
            }
            Some(QuorumBody::Presence(bytes)) => {
                if let Ok(presence) = Presence::from_bytes(bytes.into()) {
                    if let Some(lost) = self.core.note_presence(now, &presence) {
                        tracing::warn!(id = lost, "a control VM lost its disk");
                    }
                    self.founder.note_presence(now, presence);
                }
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn push(&mut self, text: &str, done: PushDone) -> Result<(), DiskFailed> {
        let signed = SignedBundle::parse("push", text)
            .and_then(|signed| signed.verify(&self.board.settings.trust).map(|()| signed));
        let signed = match signed {
            Ok(signed) => signed,
            Err(fault) => {
                done(invalid_reply(&fault));
                return Ok(());
            }
        };
        if signed.bundle().version > self.max_push_version() {
            done(version_too_high(self.max_push_version()));
            return Ok(());
        }
        let token = self.allocate_token();
        self.pushes.insert(token, done);
        let command = Command::Push(Bundle {
            version: signed.bundle().version,
            digest: signed.digest(),
            bytes: signed.to_text().into_bytes(),
        });
        let actions = self.core.propose(self.board.now(), token, command);
        self.execute(actions)
    }

    /// Returns the highest version that a push may have. The limit keeps a mistyped version from using
    /// up all versions.
    fn max_push_version(&self) -> u64 {
        let newest = self.core.bundles().newest_version();
        newest
            .max(self.board.version())
            .saturating_add(MAX_VERSION_STEP)
    }

    fn change(&mut self, change: Option<MemberChange>, done: ChangeDone) -> Result<(), DiskFailed> {
        let Some(change) = change else {
            done(self.members_reply());
            return Ok(());
        };
        let token = self.allocate_token();
        self.changes.insert(token, done);
        let now = self.board.now();
        let actions = self.core.change_members(now, token, change);
        self.execute(actions)
    }

    fn allocate_token(&mut self) -> Token {
        let token = self.next_token;
        self.next_token += 1;
        token
    }

    fn execute(&mut self, actions: Vec<Action>) -> Result<(), DiskFailed> {
        for action in actions {
            match action {
                Action::Persist(records) => self.persist(&records)?,
                Action::Send { to, message } => self.send(to, &message),
                Action::Applied { token, result, .. } => self.applied(token, &result),
                Action::MembersChanged { token, .. } => self.changed(token),
                Action::Rejected { token, reason } => self.rejected(token, reason),
                Action::RoleChanged { .. } => self.publish_role(),
                Action::Installed { .. } => self.put_in_force(),
                Action::Regressed { id } => tracing::warn!(id, "a control VM lost synced entries"),
                Action::ReadReady { .. } => {}
            }
        }
        Ok(())
    }

    fn persist(&mut self, records: &[buckthornweir_quorum::Record]) -> Result<(), DiskFailed> {
        let storage = self.storage.as_mut().ok_or(DiskFailed)?;
        storage.persist(records).map_err(|error| {
            tracing::error!(%error);
            DiskFailed
        })
    }

    fn applied(&mut self, token: Option<Token>, result: &PushResult) {
        self.put_in_force();
        if let Some(done) = token.and_then(|token| self.pushes.remove(&token)) {
            done(push_reply(result));
        }
    }

    fn changed(&mut self, token: Option<Token>) {
        let reply = self.members_reply();
        if let Some(done) = token.and_then(|token| self.changes.remove(&token)) {
            done(reply);
        }
    }

    fn rejected(&mut self, token: Token, reason: Reject) {
        let leader = match reason {
            Reject::NotLeader { leader } => self.core.address(leader).unwrap_or_default(),
            _ => "",
        };
        if let Some(done) = self.pushes.remove(&token) {
            done(reject_reply(reason, leader));
        }
        if let Some(done) = self.changes.remove(&token) {
            done(ControlReply {
                fault: reject_text(reason),
                leader: leader.into(),
                unknown: matches!(reason, Reject::Interrupted | Reject::TimedOut),
                ..ControlReply::default()
            });
        }
    }

    fn reject_all(&mut self) {
        let pushes: Vec<Token> = self.pushes.keys().copied().collect();
        let changes: Vec<Token> = self.changes.keys().copied().collect();
        for token in pushes.into_iter().chain(changes) {
            self.rejected(token, Reject::Interrupted);
        }
    }

    /// Puts the newest bundle of the log in force at this process.
    fn put_in_force(&self) {
        let Some(newest) = self.core.bundles().newest() else {
            return;
        };
        if newest.version > self.board.version()
            && let Ok(text) = std::str::from_utf8(&newest.bytes)
        {
            bundles::apply(&self.board, text);
        }
    }

    fn publish_role(&self) {
        let role = match self.core.role() {
            Role::Learner => "learner",
            Role::Follower => "follower",
            Role::Candidate => "candidate",
            Role::Leader => "leader",
        };
        self.publish(role);
    }

    fn publish(&self, role: &'static str) {
        let term = self.core.term();
        let before = self.board.quorum();
        self.board.set_quorum(QuorumState { role, term });
        let metrics = &self.board.metrics;
        metrics.set(Gauge::QuorumTerm, i64::try_from(term).unwrap_or(i64::MAX));
        metrics.set(Gauge::QuorumLeader, i64::from(role == "leader"));
        if before.role != role {
            let role = role.into();
            self.board.record(EventKind::RoleChanged { role, term });
        }
    }

    fn send(&mut self, to: NodeId, message: &Message) {
        let listed = self.core.address(to).and_then(|a| a.parse().ok());
        let known = listed.or_else(|| self.addresses.get(&to).copied());
        if let Some(address) = known {
            self.send_frame(address, QuorumBody::Message(message.to_bytes().to_vec()));
        }
    }

    fn send_frame(&mut self, to: SocketAddr, body: QuorumBody) {
        let frame = QuorumFrame {
            from: self.core.id(),
            address: self.introduction(to),
            body: Some(body),
        };
        let bytes = frame.encode_to_vec();
        let metrics = &self.board.metrics;
        metrics.count_by(Count::LogBytesOut, bytes.len() as u64);
        self.links.send_to(to, Body::Quorum(bytes));
    }

    /// Returns the own address if it is due to be sent again, else an empty string, since the receiver
    /// remembers it.
    fn introduction(&mut self, to: SocketAddr) -> String {
        let now = self.board.now();
        let last = self.introduced.get(&to);
        if last.is_some_and(|last| now < *last + INTRODUCTION_PERIOD) {
            return String::new();
        }
        self.introduced.insert(to, now);
        self.board.settings.node.control.announced.to_string()
    }
}

/// Returns the folder of the log.
pub(super) fn log_folder(board: &Blackboard) -> PathBuf {
    let data = board.settings.node.data.clone().unwrap_or_default();
    data.join("log")
}

/// Creates the core and the founder from the state in the data folder.
fn restore(board: &Blackboard, settings: &ControlSettings, restored: Restored) -> (Core, Founder) {
    let own = board.settings.node.control.announced.to_string();
    let listed = settings.peers.iter().map(ToString::to_string);
    let founder = Founder::new(restored.id, own.as_str(), listed).with_permission(settings.found);
    let config = Config::default().with_address(own);
    let core = Core::new(config, restored, rand::random(), board.now());
    (core, founder)
}

/// Refuses events for some time, or until `stop` is cancelled.
fn refuse_events(inbox: &Receiver<Event>, time: Duration, stop: &CancellationToken) {
    let deadline = Instant::now() + time;
    while Instant::now() < deadline && !stop.is_cancelled() {
        if let Ok(event) = inbox.recv_deadline(deadline.min(Instant::now() + MAX_TICK_DELAY)) {
            refuse_event(event);
        }
    }
}
