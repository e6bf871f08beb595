//! The consensus core: elections, replication, snapshots and member changes.
//!
//! [`Core`] performs no I/O and reads no clock. The caller passes in the time since the process
//! started and carries out the returned actions in order: the records of an [`Action::Persist`]
//! must be written and synced before any later action of the same list. If that fails, the process
//! must stop.

mod actions;
mod changes;
mod config;
mod differences;
mod election;
mod electorate;
mod fingerprint;
mod leaving;
mod membership;
mod parts;
mod progress;
mod proposals;
mod replication;
mod snapshots;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use self::actions::{Action, Reject, Role, Token};
pub use self::config::Config;
use self::electorate::{LostDisks, Votes};
pub use self::membership::MembershipPolicy;
use self::parts::PartBuffer;
use self::progress::Progress;
use self::proposals::{Proposal, Read};
use crate::bundles::Bundles;
use crate::entry::{ClusterId, Entry, Index, Snapshot, Term};
use crate::log::Log;
use crate::members::{Members, NodeId};
use crate::messages::{Kind, Message};
use crate::storage::{Record, Restored};

/// The consensus core of one control VM.
///
/// ```
/// use std::time::Duration;
/// use buckthornweir_quorum::prelude::*;
///
/// let mut core = Core::new(Config::default(), Restored::blank(1), 42, Duration::ZERO);
/// let founder = Members::new([Member::voter(1, "192.0.2.1:7000")]);
/// core.found(Duration::ZERO, Founding { cluster: 9, members: founder, floor: 0 });
/// let now = Duration::from_secs(10);
/// core.tick(now);
/// assert_eq!(core.role(), Role::Leader);
/// let push = Command::Push(Bundle { version: 1, digest: [7; 32], bytes: b"text".to_vec() });
/// core.propose(now, 5, push);
/// assert_eq!(core.bundles().newest_version(), 1);
/// ```
#[derive(Debug, Clone)]
pub struct Core {
    id: NodeId,
    config: Config,
    rng: ChaCha8Rng,
    term: Term,
    vote: Option<NodeId>,
    log: Log,
    members: Members,
    members_index: Index,
    bundles: Bundles,
    commit: Index,
    state: State,
    leader: Option<NodeId>,
    leader_contact: Option<Duration>,
    election_deadline: Duration,
    entry_parts: PartBuffer,
    snapshot_parts: PartBuffer,
    join: changes::JoinState,
    departure: Option<leaving::Departure>,
    lost_disks: LostDisks,
    records: Vec<Record>,
    actions: Vec<Action>,
}

#[derive(Debug, Clone)]
enum State {
    Follower,
    PreCandidate(Votes),
    Candidate(Votes),
    Leader(Box<Leadership>),
}

/// State that only a leader maintains.
#[derive(Debug, Clone)]
struct Leadership {
    first_index: Index,
    elected_at: Duration,
    round: u64,
    peers: BTreeMap<NodeId, Progress>,
    /// Voters known to have lost their disks when this leader became a candidate.
    lost: BTreeSet<NodeId>,
    proposals: BTreeMap<Index, Proposal>,
    reads: Vec<Read>,
    transfer: Option<Transfer>,
    encoded_snapshot: Option<(Index, bytes::Bytes)>,
    /// Cached differences by entry index; `None` if there is no base or the whole entry is smaller.
    differences: BTreeMap<Index, Option<bytes::Bytes>>,
}

#[derive(Debug, Clone, Copy)]
struct Transfer {
    to: NodeId,
    deadline: Duration,
}

/// The initial state of a new log, common to all its founding members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Founding {
    /// Random, nonzero identifier of the new log.
    pub cluster: ClusterId,
    /// The founding members.
    pub members: Members,
    /// Version that the first push must exceed.
    pub floor: u64,
}

impl Core {
    /// Creates a core from the state recovered from its data folder.
    #[must_use]
    pub fn new(config: Config, restored: Restored, seed: u64, now: Duration) -> Self {
        let snapshot = restored.snapshot.unwrap_or_default();
        let bundles = Bundles::decode(snapshot.state.clone()).unwrap_or_default();
        let commit = snapshot.index;
        let log = Log::new(snapshot, restored.entries);
        let (members_index, members) = log.members_at(log.last_index());
        let mut core = Self {
            id: restored.id,
            config,
            rng: ChaCha8Rng::seed_from_u64(seed),
            term: restored.term,
            vote: restored.vote,
            log,
            members,
            members_index,
            bundles,
            commit,
            state: State::Follower,
            leader: None,
            leader_contact: None,
            election_deadline: now,
            entry_parts: PartBuffer::default(),
            snapshot_parts: PartBuffer::default(),
            join: changes::JoinState::default(),
            departure: None,
            lost_disks: LostDisks::new(),
            records: Vec::new(),
            actions: Vec::new(),
        };
        core.apply_to(restored.commit);
        core.actions.clear();
        core.records.clear();
        core.reset_election_deadline(now);
        core
    }

    /// Founds a new log; does nothing if this member already has a log or is not a founding voter.
    pub fn found(&mut self, now: Duration, founding: Founding) -> Vec<Action> {
        if self.cluster() != 0 || !founding.members.is_voter(self.id) {
            return Vec::new();
        }
        let snapshot = Snapshot {
            cluster: founding.cluster,
            index: 1,
            term: 0,
            members: founding.members,
            state: Bundles::with_floor(founding.floor).encode(),
        };
        self.install(snapshot);
        self.election_deadline = now;
        self.take_actions()
    }

    /// Handles a message that arrived from `from`.
    ///
    /// Messages for another identity or from another log are dropped.
    pub fn handle(&mut self, now: Duration, from: NodeId, message: Message) -> Vec<Action> {
        if message.to != self.id || from == self.id {
            return Vec::new();
        }
        let Message {
            cluster,
            term,
            kind,
            ..
        } = message;
        let Some(kind) = kind else { return Vec::new() };
        self.lost_disks.remove(&from);
        if cluster != self.cluster() && !self.is_join_traffic(&kind, cluster) {
            return Vec::new();
        }
        self.dispatch(now, from, term, kind);
        self.take_actions()
    }

    /// Advances all timers.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        match self.state {
            State::Leader(_) => self.tick_leader(now),
            _ if now >= self.election_deadline => self.start_prevote(now),
            _ => {}
        }
        self.tick_join(now);
        self.tick_departure(now);
        self.take_actions()
    }

    /// Returns the time at which [`Core::tick`] should be called next if no event occurs before.
    #[must_use]
    pub fn next_tick(&self, now: Duration) -> Duration {
        let next = match self.state {
            State::Leader(_) => now + self.config.heartbeat_interval / 2,
            _ => self.election_deadline.max(now + Duration::from_millis(1)),
        };
        self.next_announcement().map_or(next, |at| next.min(at))
    }

    /// Returns the identity of this member.
    #[must_use]
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Returns the identifier of the log that this member belongs to, or zero if it has no log.
    #[must_use]
    pub fn cluster(&self) -> ClusterId {
        self.log.snapshot.cluster
    }

    /// Returns the role of this member.
    #[must_use]
    pub fn role(&self) -> Role {
        match self.state {
            State::Leader(_) => Role::Leader,
            State::Candidate(_) | State::PreCandidate(_) => Role::Candidate,
            State::Follower if self.members.is_voter(self.id) => Role::Follower,
            State::Follower => Role::Learner,
        }
    }

    /// Returns the leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the index up to which entries are committed and applied.
    #[must_use]
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the index of the last entry.
    #[must_use]
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Returns the newest members in the log, committed or not.
    #[must_use]
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the accepted bundles as of [`Core::commit`].
    #[must_use]
    pub fn bundles(&self) -> &Bundles {
        &self.bundles
    }

    /// Returns the entry at `index`, unless a snapshot covers it.
    #[must_use]
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.get(index)
    }

    fn dispatch(&mut self, now: Duration, from: NodeId, term: Term, kind: Kind) {
        match kind {
            Kind::PreVote(request) => self.on_prevote(now, from, term, &request),
            Kind::PreVoteReply(reply) => self.on_prevote_reply(now, from, term, reply),
            Kind::Vote(request) => self.on_vote(now, from, term, &request),
            Kind::VoteReply(reply) => self.on_vote_reply(now, from, term, reply),
            Kind::Append(append) => self.on_append(now, from, term, &append),
            Kind::AppendReply(reply) => self.on_append_reply(now, from, term, reply),
            Kind::Snapshot(part) => self.on_snapshot(now, from, term, &part),
            Kind::SnapshotReply(reply) => self.on_snapshot_reply(now, from, term, reply),
            Kind::Campaign(_) => self.on_campaign(now, from, term),
            Kind::Join(join) => self.on_join(now, join),
            Kind::Leave(_) => self.on_leave(now, from),
        }
    }

    /// Takes the collected actions, with all records first.
    fn take_actions(&mut self) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.actions);
        if !self.records.is_empty() {
            actions.insert(0, Action::Persist(std::mem::take(&mut self.records)));
        }
        actions
    }

    fn send(&mut self, to: NodeId, kind: Kind) {
        self.send_with_term(to, self.term, kind);
    }

    fn send_with_term(&mut self, to: NodeId, term: Term, kind: Kind) {
        let message = Message {
            cluster: self.cluster(),
            to,
            term,
            kind: Some(kind),
        };
        self.actions.push(Action::Send { to, message });
    }

    fn reset_election_deadline(&mut self, now: Duration) {
        let jitter = self.rng.random_range(0.0..1.0);
        self.election_deadline = now + self.config.election_timeout.mul_f64(1.0 + jitter);
    }

    fn other_voters(&self) -> Vec<NodeId> {
        self.members
            .voters()
            .map(|m| m.id)
            .filter(|id| *id != self.id)
            .collect()
    }

    fn reload_members(&mut self) {
        (self.members_index, self.members) = self.log.members_at(self.log.last_index());
    }
}
