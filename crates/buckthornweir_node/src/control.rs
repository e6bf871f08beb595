//! The control role: a replica of the log that stores the plan, in this VM's data folder.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

use buckthornweir_quorum::storage::Origin;
use buckthornweir_quorum::{
    Action, Bundle, Command, Config, Core, Decision, Founder, MembershipPolicy, Message, NodeId,
    Presence, PushResult, Record, Reject, Storage, Token, messages::Kind,
};
use sha2::{Digest, Sha256};
use smol_str::{SmolStr, ToSmolStr};
use tokio::sync::oneshot;

use crate::gossip::as_v4;
use crate::handle::Order;
use crate::messages::{ExpelledMessage, PeerBody, QuorumMessage, pack, unpack};
use crate::plans::Document;
use crate::settings::{ControlSettings, NodeSettings};

/// Interval between heartbeats of the leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Minimum time without a leader before an election. It covers several heartbeats and a sync of a
/// slow disk.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(750);

/// Interval at which a VM without a log announces its presence.
const PRESENCE_PERIOD: Duration = Duration::from_millis(200);

/// Interval at which the leader checks whether the voters must change.
const VOTER_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// How long a voter may be silent before another VM replaces it; longer than a restart takes.
const VOTER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Minimum interval between notices to removed VMs.
const EXPELLED_NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before a failed data folder is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

/// Token of the membership changes that this process initiates.
const INTERNAL_TOKEN: Token = 0;

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// A quorum has stored it, or something newer.
    Accepted,
    /// This control VM does not lead; the one at the given address does.
    NotLeader(Ipv4Addr),
    /// Nothing was done, since no quorum can be reached.
    Unavailable,
    /// It may or may not come into force; submitting it again is safe.
    Unknown,
    /// It exceeds a size limit of the log.
    TooLarge,
    /// Nothing was done, since as many failure domains are out as the log can hold.
    DomainsFull,
}

/// The outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The newest document; a quorum has confirmed since the read began that there is no newer one.
    Newest(Document),
    /// This control VM does not lead; the one at the given address does.
    NotLeader(Ipv4Addr),
    /// The newest document could not be determined.
    Unavailable,
}

/// Messages to send.
pub(crate) type Outbox = Vec<(SocketAddr, PeerBody)>;

/// Error of a failed write. What the disk contains is unknown until the data folder is opened
/// again.
struct DiskFailed;

struct Log {
    core: Core,
    storage: Storage,
    founder: Founder,
}

/// One control VM's replica of the log.
pub(crate) struct Replica {
    own_addr: SocketAddrV4,
    seeds: Vec<SocketAddrV4>,
    folder: PathBuf,
    may_found: bool,
    policy: MembershipPolicy,
    log: Option<Log>,
    reopen_at: Duration,
    addresses: HashMap<NodeId, SocketAddrV4>,
    orders: HashMap<Token, oneshot::Sender<OrderOutcome>>,
    reads: HashMap<Token, oneshot::Sender<ReadOutcome>>,
    next_token: Token,
    next_presence: Duration,
    next_check: Duration,
    next_notice: Duration,
    departure: Departure,
    outbox: Outbox,
}

/// Progress of a planned stop of this VM.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Departure {
    /// The VM runs on.
    None,
    /// The VM has announced its stop to the leader.
    Announced,
    /// The VM was removed from the log, so that its stop loses no vote.
    Removed,
}

impl Replica {
    /// Opens the log in the data folder. If that fails, later ticks retry it.
    pub(crate) fn new(now: Duration, node: &NodeSettings, settings: &ControlSettings) -> Self {
        let mut replica = Self {
            own_addr: node.announced_peer_addr(),
            seeds: node.seed_addresses(),
            folder: settings.data.join("log"),
            may_found: settings.may_found,
            policy: MembershipPolicy {
                min_voters: 2 * settings.fault_tolerance + 1,
                timeout: VOTER_TIMEOUT,
            },
            log: None,
            reopen_at: now,
            addresses: HashMap::new(),
            orders: HashMap::new(),
            reads: HashMap::new(),
            next_token: INTERNAL_TOKEN + 1,
            next_presence: now,
            next_check: now,
            next_notice: now,
            departure: Departure::None,
            outbox: Vec::new(),
        };
        replica.open(now);
        replica
    }

    /// Replaces the seeds, which are used only while the VM has no log.
    pub(crate) fn set_seeds(&mut self, node: &NodeSettings) {
        self.seeds = node.seed_addresses();
    }

    /// Returns the time of the next call to [`Replica::tick`].
    pub(crate) fn next_tick(&self, now: Duration) -> Duration {
        let Some(log) = &self.log else {
            return self.reopen_at;
        };
        let own_tick = match log.core.cluster() {
            0 => self.next_presence,
            _ => self.next_check,
        };
        log.core.next_tick(now).min(own_tick)
    }

    /// Performs the work that is due; `controls` are the addresses of the other known control VMs.
    pub(crate) fn tick(&mut self, now: Duration, controls: &[SocketAddr]) -> Outbox {
        if self.log.is_none() && now >= self.reopen_at {
            self.open(now);
        }
        self.with_log(now, |log| log.core.tick(now));
        if now >= self.next_presence {
            self.next_presence = now + PRESENCE_PERIOD;
            self.found_or_join(now, controls);
        }
        if now >= self.next_check {
            self.next_check = now + VOTER_CHECK_PERIOD;
            self.maintain_voters(now);
        }
        std::mem::take(&mut self.outbox)
    }

    /// Handles a log message of another control VM.
    pub(crate) fn on_quorum(&mut self, now: Duration, frame: QuorumMessage) -> Outbox {
        self.addresses.insert(frame.from, unpack(frame.address));
        match Message::from_bytes(frame.bytes.into()) {
            Ok(message) => {
                self.notify_expelled(now, frame.from, message.cluster);
                if matches!(message.kind, Some(Kind::Leave(_))) {
                    tracing::info!(event = "stop_announced", id = frame.from);
                    self.next_check = now;
                }
                self.with_log(now, |log| log.core.handle(now, frame.from, message));
            }
            Err(error) => tracing::warn!(event = "log_message_malformed", %error),
        }
        std::mem::take(&mut self.outbox)
    }

    /// Handles the presence of another control VM, and responds with the own one if the sender has
    /// no log.
    pub(crate) fn on_presence(&mut self, now: Duration, bytes: Vec<u8>) -> Outbox {
        let presence = match Presence::from_bytes(bytes.into()) {
            Ok(presence) => presence,
            Err(error) => {
                tracing::warn!(event = "presence_malformed", %error);
                return Outbox::new();
            }
        };
        let Some(log) = &mut self.log else {
            return Outbox::new();
        };
        let sender = presence.address.parse::<SocketAddr>();
        if let Some(address) = sender.as_ref().ok().copied().and_then(as_v4) {
            self.addresses.insert(presence.id, address);
        }
        let lacks_log = presence.cluster == 0;
        if let Some(lost) = log.core.note_presence(now, &presence) {
            tracing::warn!(event = "disk_lost", id = lost, successor = presence.id);
        }
        log.founder.note_presence(now, presence);
        if let (true, true, Ok(sender)) = (lacks_log, log.core.cluster() != 0, sender) {
            let own = log.founder.presence(&log.core).to_bytes().to_vec();
            return vec![(sender, PeerBody::Presence(own))];
        }
        Outbox::new()
    }

    /// Handles a notice that this VM was removed from the log: deletes the data folder and starts
    /// again without a log, unless the VM is stopping.
    pub(crate) fn on_expelled(&mut self, now: Duration, notice: ExpelledMessage) {
        let Some(log) = &self.log else { return };
        let core = &log.core;
        let is_addressee = notice.id == core.id() && notice.cluster == core.cluster();
        if !is_addressee {
            return;
        }
        let is_removed = core.is_expelled_at(notice.index);
        if self.departure != Departure::None && (is_removed || !core.is_listed()) {
            tracing::info!(event = "left_log", index = notice.index);
            self.departure = Departure::Removed;
        }
        if self.departure != Departure::None || !is_removed {
            return;
        }
        tracing::warn!(event = "expelled", id = notice.id, index = notice.index);
        self.close(now);
        if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            tracing::error!(event = "folder_not_emptied", %error);
            return;
        }
        self.may_found = false;
        self.open(now);
    }

    /// Proposes an order to the log.
    pub(crate) fn order(
        &mut self,
        now: Duration,
        order: Order,
        reply: oneshot::Sender<OrderOutcome>,
    ) -> Outbox {
        let token = self.allocate_token();
        self.orders.insert(token, reply);
        let command = to_command(order);
        if self.log.is_none() {
            self.finish_order(token, OrderOutcome::Unavailable);
        }
        self.with_log(now, |log| log.core.propose(now, token, command));
        std::mem::take(&mut self.outbox)
    }

    /// Starts a read of the newest document.
    pub(crate) fn read(&mut self, now: Duration, reply: oneshot::Sender<ReadOutcome>) -> Outbox {
        let token = self.allocate_token();
        self.reads.insert(token, reply);
        if self.log.is_none() {
            self.finish_read(token, ReadOutcome::Unavailable);
        }
        self.with_log(now, |log| log.core.read(now, token));
        std::mem::take(&mut self.outbox)
    }

    /// Begins a planned stop: transfers the leadership to another VM if this one leads, and lets
    /// the leader remove this VM from the voters.
    pub(crate) fn begin_stop(&mut self, now: Duration) -> Outbox {
        self.departure = Departure::Announced;
        self.with_log(now, |log| log.core.leave(now));
        std::mem::take(&mut self.outbox)
    }

    /// Returns whether this VM is stopping and can be removed from the voters, but was not yet.
    pub(crate) fn awaits_removal(&self) -> bool {
        let members = self.log.as_ref().map(|log| log.core.members());
        let spare_voters = members.is_some_and(|m| m.voters().count() > self.policy.min_voters);
        self.departure == Departure::Announced && spare_voters
    }

    /// Returns the addresses of the committed voters.
    pub(crate) fn voters(&self) -> Vec<SmolStr> {
        let members = self.log.as_ref().map(|log| log.core.committed_members());
        let members = members.unwrap_or_default();
        members.voters().map(|m| m.address.clone()).collect()
    }

    /// Returns the committed document if its revision is above `revision`.
    pub(crate) fn document_above(&self, revision: u64) -> Option<Document> {
        let core = &self.log.as_ref()?.core;
        (core.bundles().revision() > revision).then(|| document(core))
    }

    fn allocate_token(&mut self) -> Token {
        let token = self.next_token;
        self.next_token += 1;
        token
    }

    fn open(&mut self, now: Duration) {
        let (storage, restored) = match Storage::open(&self.folder) {
            Ok(opened) => opened,
            Err(error) => {
                tracing::error!(event = "folder_not_opened", %error);
                self.reopen_at = now + REOPEN_DELAY;
                return;
            }
        };
        tracing::info!(
            event = "folder_opened",
            id = restored.id,
            origin = ?restored.origin,
            term = restored.term,
            commit = restored.commit,
        );
        let may_found = self.may_found && restored.origin == Origin::Empty;
        let address = self.own_addr.to_smolstr();
        let seeds = self.seeds.iter().map(ToSmolStr::to_smolstr);
        let founder = Founder::from_seeds(restored.id, address.clone(), seeds);
        let config = Config::default()
            .with_address(address)
            .with_timers(HEARTBEAT_INTERVAL, ELECTION_TIMEOUT);
        self.log = Some(Log {
            founder: founder.with_permission(may_found),
            core: Core::new(config, restored, rand::random(), now),
            storage,
        });
    }

    fn close(&mut self, now: Duration) {
        self.log = None;
        self.reopen_at = now + REOPEN_DELAY;
        for token in self.orders.keys().copied().collect::<Vec<_>>() {
            self.finish_order(token, OrderOutcome::Unknown);
        }
        for token in self.reads.keys().copied().collect::<Vec<_>>() {
            self.finish_read(token, ReadOutcome::Unavailable);
        }
    }

    /// Calls `step` with the log, if it is open, and executes the resulting actions.
    fn with_log(&mut self, now: Duration, step: impl FnOnce(&mut Log) -> Vec<Action>) {
        let Some(log) = &mut self.log else { return };
        let actions = step(log);
        if self.execute(actions).is_err() {
            self.close(now);
        }
    }

    fn execute(&mut self, actions: Vec<Action>) -> Result<(), DiskFailed> {
        for action in actions {
            match action {
                Action::Persist(records) => self.persist(&records)?,
                Action::Send { to, message } => self.send(to, &message),
                Action::Applied {
                    index,
                    token,
                    result,
                } => {
                    tracing::info!(event = "order_applied", index, ?result);
                    if let Some(token) = token {
                        let outcome = match result {
                            PushResult::Full { .. } => OrderOutcome::DomainsFull,
                            _ => OrderOutcome::Accepted,
                        };
                        self.finish_order(token, outcome);
                    }
                }
                Action::MembersChanged { index, members, .. } => {
                    let members: Vec<_> =
                        members.iter().map(|m| (&m.address, m.standing)).collect();
                    tracing::info!(event = "voters_changed", index, ?members);
                }
                Action::Rejected { token, reason } => self.reject(token, reason),
                Action::ReadReady { token, .. } => {
                    if let Some(log) = &self.log {
                        let outcome = newest_document(&log.core);
                        self.finish_read(token, outcome);
                    }
                }
                Action::RoleChanged { role, term, leader } => {
                    tracing::info!(event = "role_changed", ?role, term, ?leader);
                }
                Action::Regressed { id } => tracing::warn!(event = "member_forgot", id),
                Action::Installed { index } => tracing::info!(event = "snapshot_installed", index),
            }
        }
        Ok(())
    }

    fn persist(&mut self, records: &[Record]) -> Result<(), DiskFailed> {
        let Some(log) = &mut self.log else {
            return Err(DiskFailed);
        };
        log.storage.persist(records).map_err(|error| {
            tracing::error!(event = "disk_failed", %error);
            DiskFailed
        })
    }

    fn send(&mut self, to: NodeId, message: &Message) {
        let Some(log) = &self.log else { return };
        let member_addr = log.core.address(to).and_then(|a| a.parse().ok());
        let learned_addr = self.addresses.get(&to).copied().map(SocketAddr::V4);
        if let Some(address) = member_addr.or(learned_addr) {
            let frame = QuorumMessage {
                from: log.core.id(),
                address: pack(self.own_addr),
                bytes: message.to_bytes().to_vec(),
            };
            self.outbox.push((address, PeerBody::Quorum(frame)));
        }
    }

    fn reject(&mut self, token: Token, reason: Reject) {
        let leader = match reason {
            Reject::NotLeader { leader } => self.address_of(leader),
            _ => None,
        };
        tracing::info!(event = "order_rejected", ?reason, ?leader);
        let order = match (reason, leader) {
            (Reject::NotLeader { .. }, Some(leader)) => OrderOutcome::NotLeader(leader),
            (Reject::Interrupted | Reject::TimedOut, _) => OrderOutcome::Unknown,
            (Reject::TooLarge { .. }, _) => OrderOutcome::TooLarge,
            _ => OrderOutcome::Unavailable,
        };
        let read = leader.map_or(ReadOutcome::Unavailable, ReadOutcome::NotLeader);
        self.finish_order(token, order);
        self.finish_read(token, read);
    }

    fn address_of(&self, id: NodeId) -> Option<Ipv4Addr> {
        let core = &self.log.as_ref()?.core;
        let member_addr = core.address(id).and_then(|a| a.parse().ok());
        let address = member_addr.or_else(|| self.addresses.get(&id).copied())?;
        Some(*address.ip())
    }

    fn finish_order(&mut self, token: Token, outcome: OrderOutcome) {
        if let Some(reply) = self.orders.remove(&token) {
            // The operator may have disconnected.
            let _ = reply.send(outcome);
        }
    }

    fn finish_read(&mut self, token: Token, outcome: ReadOutcome) {
        if let Some(reply) = self.reads.remove(&token) {
            // The operator may have disconnected.
            let _ = reply.send(outcome);
        }
    }

    fn found_or_join(&mut self, now: Duration, controls: &[SocketAddr]) {
        let own = SocketAddr::V4(self.own_addr);
        let Some(log) = &mut self.log else { return };
        if log.core.cluster() != 0 {
            if self.departure == Departure::None {
                self.with_log(now, |log| log.core.rejoin(now));
            }
            return;
        }
        let presence = log.founder.presence(&log.core).to_bytes().to_vec();
        let mut peers: Vec<SocketAddr> = self.seeds.iter().copied().map(SocketAddr::V4).collect();
        peers.extend(controls);
        peers.sort_unstable();
        peers.dedup();
        for peer in peers.into_iter().filter(|peer| *peer != own) {
            self.outbox
                .push((peer, PeerBody::Presence(presence.clone())));
        }
        let cluster = rand::random::<u64>().max(1);
        let decision = log.founder.decide(now, cluster);
        tracing::debug!(event = "founding", ?decision);
        match decision {
            Decision::Found(founding) => {
                tracing::info!(
                    event = "log_founded",
                    cluster,
                    voters = founding.members.len()
                );
                self.with_log(now, |log| log.core.found(now, founding));
            }
            Decision::Join { via } => self.with_log(now, |log| log.core.join(now, via)),
            _ => {}
        }
    }

    fn maintain_voters(&mut self, now: Duration) {
        let policy = self.policy;
        self.with_log(now, |log| match log.core.next_member_change(now, policy) {
            Some(change) => {
                tracing::info!(event = "voter_change", ?change);
                log.core.change_members(now, INTERNAL_TOKEN, change)
            }
            None => Vec::new(),
        });
    }

    /// Notifies a VM that was removed from the log but still sends messages.
    fn notify_expelled(&mut self, now: Duration, from: NodeId, cluster: u64) {
        let Some(log) = &self.log else { return };
        let same_log = cluster != 0 && cluster == log.core.cluster();
        if !same_log || now < self.next_notice || log.core.committed_members().get(from).is_some() {
            return;
        }
        self.next_notice = now + EXPELLED_NOTICE_INTERVAL;
        let notice = ExpelledMessage {
            cluster,
            id: from,
            index: log.core.commit(),
        };
        if let Some(address) = self.addresses.get(&from) {
            let to = SocketAddr::V4(*address);
            self.outbox.push((to, PeerBody::Expelled(notice)));
        }
    }
}

fn to_command(order: Order) -> Command {
    match order {
        Order::Replace { version, text } => Command::Replace(Bundle {
            version,
            digest: Sha256::digest(&text).into(),
            bytes: text,
        }),
        Order::Domain { name, out } => Command::Domain { name, out },
    }
}

fn document(core: &Core) -> Document {
    let bundles = core.bundles();
    let newest = bundles.newest();
    Document {
        revision: bundles.revision(),
        version: newest.map_or(0, |bundle| bundle.version),
        text: newest.map_or_else(Vec::new, |bundle| bundle.bytes.clone()),
        domains_out: bundles.domains_out().cloned().collect(),
        domains_back: bundles
            .domains_back()
            .map(|(n, i)| (n.clone(), i))
            .collect(),
    }
}

fn newest_document(core: &Core) -> ReadOutcome {
    match core.bundles().newest() {
        Some(_) => ReadOutcome::Newest(document(core)),
        None => ReadOutcome::Unavailable,
    }
}
