//! The control role: the replicated log that holds the plan, on this VM's data folder.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

use buckthornweir_quorum::storage::Origin;
use buckthornweir_quorum::{
    Action, Bundle, Command, Config, Core, Decision, Founder, MembershipPolicy, Message, NodeId,
    Presence, Record, Reject, Storage, Token,
};
use sha2::{Digest, Sha256};
use smol_str::ToSmolStr;
use tokio::sync::oneshot;

use crate::gossip::v4;
use crate::handle::Order;
use crate::messages::{ExpelledMessage, PeerBody, QuorumMessage, pack, unpack};
use crate::plans::Document;
use crate::settings::{ControlSettings, NodeSettings};

/// Time between two heartbeats of the leader.
const HEARTBEAT: Duration = Duration::from_millis(150);

/// Shortest time without a leader before an election: some heartbeats, and a sync of a slow disk.
const ELECTION: Duration = Duration::from_millis(750);

/// How often a VM without a log tells that it is there.
const PRESENCE_PERIOD: Duration = Duration::from_millis(200);

/// How often the leader looks after the voters.
const UPKEEP_PERIOD: Duration = Duration::from_millis(250);

/// How long a voter may be silent before another VM takes its place: longer than a restart.
const VOTER_SILENCE: Duration = Duration::from_millis(2_500);

/// How often a VM that was removed is told so.
const EXPEL_PERIOD: Duration = Duration::from_millis(500);

/// How long a failed data folder is left alone before it is opened again.
const REOPEN_PERIOD: Duration = Duration::from_millis(500);

/// The token of changes that this process makes by itself.
const OWN_TOKEN: Token = 0;

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// A quorum holds it, or something newer.
    Accepted,
    /// The control VM at this address leads.
    NotLeader(Ipv4Addr),
    /// Nothing was done: no quorum can be reached.
    Unavailable,
    /// It may or may not come into force; giving it again is safe.
    Unknown,
    /// It is over a limit of the log.
    TooLarge,
}

/// What became of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The newest document; a quorum confirmed after the question that there is none newer.
    Newest(Document),
    /// The control VM at this address leads.
    NotLeader(Ipv4Addr),
    /// It is not sure which document is the newest.
    Unavailable,
}

/// Messages that are to be sent.
pub(crate) type Sends = Vec<(SocketAddr, PeerBody)>;

/// The disk failed: what it holds is known only by opening it again.
struct DiskFailed;

struct Log {
    core: Core,
    storage: Storage,
    founder: Founder,
}

/// The log of one control VM.
pub(crate) struct Replica {
    own: SocketAddrV4,
    seeds: Vec<SocketAddrV4>,
    folder: PathBuf,
    may_found: bool,
    policy: MembershipPolicy,
    log: Option<Log>,
    reopen: Duration,
    addresses: HashMap<NodeId, SocketAddrV4>,
    orders: HashMap<Token, oneshot::Sender<OrderOutcome>>,
    reads: HashMap<Token, oneshot::Sender<ReadOutcome>>,
    next_token: Token,
    next_presence: Duration,
    next_upkeep: Duration,
    next_expel: Duration,
    sends: Sends,
}

impl Replica {
    /// Opens the log of the data folder; one that can't be opened is tried again later.
    pub(crate) fn new(now: Duration, node: &NodeSettings, settings: &ControlSettings) -> Self {
        let mut replica = Self {
            own: node.announced_peer_addr(),
            seeds: node.seed_addresses(),
            folder: settings.data.join("log"),
            may_found: settings.may_found,
            policy: MembershipPolicy {
                min_voters: 2 * settings.fault_tolerance + 1,
                timeout: VOTER_SILENCE,
            },
            log: None,
            reopen: now,
            addresses: HashMap::new(),
            orders: HashMap::new(),
            reads: HashMap::new(),
            next_token: OWN_TOKEN + 1,
            next_presence: now,
            next_upkeep: now,
            next_expel: now,
            sends: Vec::new(),
        };
        replica.open(now);
        replica
    }

    /// Sets the seeds anew; they count for a VM without a log only.
    pub(crate) fn set_seeds(&mut self, node: &NodeSettings) {
        self.seeds = node.seed_addresses();
    }

    /// Returns when [`Replica::tick`] has something to do.
    pub(crate) fn next_tick(&self, now: Duration) -> Duration {
        let Some(log) = &self.log else {
            return self.reopen;
        };
        let own = match log.core.cluster() {
            0 => self.next_presence,
            _ => self.next_upkeep,
        };
        log.core.next_tick(now).min(own)
    }

    /// Does what is due; `others` are control VMs that membership knows.
    pub(crate) fn tick(&mut self, now: Duration, others: &[SocketAddr]) -> Sends {
        if self.log.is_none() && now >= self.reopen {
            self.open(now);
        }
        self.with_log(now, |log| log.core.tick(now));
        if now >= self.next_presence {
            self.next_presence = now + PRESENCE_PERIOD;
            self.found_or_join(now, others);
        }
        if now >= self.next_upkeep {
            self.next_upkeep = now + UPKEEP_PERIOD;
            self.look_after_voters(now);
        }
        std::mem::take(&mut self.sends)
    }

    /// Takes a message of another control VM.
    pub(crate) fn quorum(&mut self, now: Duration, frame: QuorumMessage) -> Sends {
        self.addresses.insert(frame.from, unpack(frame.address));
        match Message::from_bytes(frame.bytes.into()) {
            Ok(message) => {
                self.tell_expelled(now, frame.from, message.cluster);
                self.with_log(now, |log| log.core.handle(now, frame.from, message));
            }
            Err(error) => tracing::warn!(event = "log_message_malformed", %error),
        }
        std::mem::take(&mut self.sends)
    }

    /// Takes what another control VM says of itself.
    pub(crate) fn presence(&mut self, now: Duration, bytes: Vec<u8>) -> Sends {
        let presence = match Presence::from_bytes(bytes.into()) {
            Ok(presence) => presence,
            Err(error) => {
                tracing::warn!(event = "presence_malformed", %error);
                return Sends::new();
            }
        };
        let Some(log) = &mut self.log else {
            return Sends::new();
        };
        let asker = presence.address.parse::<SocketAddr>();
        if let Some(address) = asker.as_ref().ok().copied().and_then(v4) {
            self.addresses.insert(presence.id, address);
        }
        let lacks_log = presence.cluster == 0;
        log.founder.note_presence(now, presence);
        if let (true, true, Ok(asker)) = (lacks_log, log.core.cluster() != 0, asker) {
            let own = log.founder.presence(&log.core).to_bytes().to_vec();
            return vec![(asker, PeerBody::Presence(own))];
        }
        Sends::new()
    }

    /// Takes the notice that this VM was removed: it begins anew without a log.
    pub(crate) fn expelled(&mut self, now: Duration, notice: ExpelledMessage) {
        let Some(log) = &self.log else { return };
        let core = &log.core;
        let meant = notice.id == core.id() && notice.cluster == core.cluster();
        if !meant || !core.is_expelled_at(notice.index) {
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

    /// Gives an order to the log.
    pub(crate) fn order(
        &mut self,
        now: Duration,
        order: Order,
        done: oneshot::Sender<OrderOutcome>,
    ) -> Sends {
        let token = self.take_token();
        self.orders.insert(token, done);
        let command = command_of(order);
        if self.log.is_none() {
            self.end_order(token, OrderOutcome::Unavailable);
        }
        self.with_log(now, |log| log.core.propose(now, token, command));
        std::mem::take(&mut self.sends)
    }

    /// Asks the log for the newest document.
    pub(crate) fn read(&mut self, now: Duration, done: oneshot::Sender<ReadOutcome>) -> Sends {
        let token = self.take_token();
        self.reads.insert(token, done);
        if self.log.is_none() {
            self.end_read(token, ReadOutcome::Unavailable);
        }
        self.with_log(now, |log| log.core.read(now, token));
        std::mem::take(&mut self.sends)
    }

    /// Hands the leadership to another VM.
    pub(crate) fn leave(&mut self, now: Duration) -> Sends {
        self.with_log(now, |log| log.core.transfer(now));
        std::mem::take(&mut self.sends)
    }

    /// Returns the committed document above `revision`.
    pub(crate) fn document_above(&self, revision: u64) -> Option<Document> {
        let core = &self.log.as_ref()?.core;
        (core.bundles().revision() > revision).then(|| document(core))
    }

    fn take_token(&mut self) -> Token {
        let token = self.next_token;
        self.next_token += 1;
        token
    }

    fn open(&mut self, now: Duration) {
        let (storage, restored) = match Storage::open(&self.folder) {
            Ok(opened) => opened,
            Err(error) => {
                tracing::error!(event = "folder_not_opened", %error);
                self.reopen = now + REOPEN_PERIOD;
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
        let address = self.own.to_smolstr();
        let seeds = self.seeds.iter().map(ToSmolStr::to_smolstr);
        let founder = Founder::from_seeds(restored.id, address.clone(), seeds);
        let config = Config::default()
            .with_address(address)
            .with_timers(HEARTBEAT, ELECTION);
        self.log = Some(Log {
            founder: founder.with_permission(may_found),
            core: Core::new(config, restored, rand::random(), now),
            storage,
        });
    }

    fn close(&mut self, now: Duration) {
        self.log = None;
        self.reopen = now + REOPEN_PERIOD;
        for token in self.orders.keys().copied().collect::<Vec<_>>() {
            self.end_order(token, OrderOutcome::Unknown);
        }
        for token in self.reads.keys().copied().collect::<Vec<_>>() {
            self.end_read(token, ReadOutcome::Unavailable);
        }
    }

    /// Lets the log decide, and carries out what it wants.
    fn with_log(&mut self, now: Duration, decide: impl FnOnce(&mut Log) -> Vec<Action>) {
        let Some(log) = &mut self.log else { return };
        let actions = decide(log);
        if self.carry_out(actions).is_err() {
            self.close(now);
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) -> Result<(), DiskFailed> {
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
                        self.end_order(token, OrderOutcome::Accepted);
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
                        let outcome = newest(&log.core);
                        self.end_read(token, outcome);
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
        let listed = log.core.address(to).and_then(|a| a.parse().ok());
        let known = self.addresses.get(&to).copied().map(SocketAddr::V4);
        if let Some(address) = listed.or(known) {
            let frame = QuorumMessage {
                from: log.core.id(),
                address: pack(self.own),
                bytes: message.to_bytes().to_vec(),
            };
            self.sends.push((address, PeerBody::Quorum(frame)));
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
        self.end_order(token, order);
        self.end_read(token, read);
    }

    fn address_of(&self, id: NodeId) -> Option<Ipv4Addr> {
        let core = &self.log.as_ref()?.core;
        let listed = core.address(id).and_then(|a| a.parse().ok());
        let address = listed.or_else(|| self.addresses.get(&id).copied())?;
        Some(*address.ip())
    }

    fn end_order(&mut self, token: Token, outcome: OrderOutcome) {
        if let Some(done) = self.orders.remove(&token) {
            // The operator may have hung up.
            let _ = done.send(outcome);
        }
    }

    fn end_read(&mut self, token: Token, outcome: ReadOutcome) {
        if let Some(done) = self.reads.remove(&token) {
            // The operator may have hung up.
            let _ = done.send(outcome);
        }
    }

    fn found_or_join(&mut self, now: Duration, others: &[SocketAddr]) {
        let own = SocketAddr::V4(self.own);
        let Some(log) = &mut self.log else { return };
        if log.core.cluster() != 0 {
            return;
        }
        let presence = log.founder.presence(&log.core).to_bytes().to_vec();
        let mut peers: Vec<SocketAddr> = self.seeds.iter().copied().map(SocketAddr::V4).collect();
        peers.extend(others);
        peers.sort_unstable();
        peers.dedup();
        for peer in peers.into_iter().filter(|peer| *peer != own) {
            self.sends
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

    fn look_after_voters(&mut self, now: Duration) {
        let policy = self.policy;
        self.with_log(now, |log| match log.core.next_member_change(now, policy) {
            Some(change) => {
                tracing::info!(event = "voter_change", ?change);
                log.core.change_members(now, OWN_TOKEN, change)
            }
            None => Vec::new(),
        });
    }

    /// Tells a VM that is no member any more to begin anew.
    fn tell_expelled(&mut self, now: Duration, from: NodeId, cluster: u64) {
        let Some(log) = &self.log else { return };
        let same = cluster != 0 && cluster == log.core.cluster();
        if !same || now < self.next_expel || log.core.committed_members().get(from).is_some() {
            return;
        }
        self.next_expel = now + EXPEL_PERIOD;
        let notice = ExpelledMessage {
            cluster,
            id: from,
            index: log.core.commit(),
        };
        if let Some(address) = self.addresses.get(&from) {
            let to = SocketAddr::V4(*address);
            self.sends.push((to, PeerBody::Expelled(notice)));
        }
    }
}

fn command_of(order: Order) -> Command {
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

fn newest(core: &Core) -> ReadOutcome {
    match core.bundles().newest() {
        Some(_) => ReadOutcome::Newest(document(core)),
        None => ReadOutcome::Unavailable,
    }
}
