//! What the consensus core asks its caller to do.

use std::time::Duration;

use crate::bundles::PushResult;
use crate::entry::{Index, Term};
use crate::members::{Members, NodeId};
use crate::messages::Message;
use crate::storage::Record;

/// Names a proposal, chosen by the caller.
pub type Token = u64;

/// The part that a member plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Receives the log and doesn't vote.
    Learner,
    /// Votes and receives the log.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Takes proposals.
    Leader,
}

/// What the caller must do, in the order of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write and sync these records before any later action; stop the process when it fails.
    Persist(Vec<Record>),
    /// Send a message; it may be lost.
    Send {
        /// Receiver.
        to: NodeId,
        /// Message to send.
        message: Message,
    },
    /// A committed push was applied.
    Applied {
        /// Position of the push in the log.
        index: Index,
        /// Token of the proposal, when it was made here.
        token: Option<Token>,
        /// Answer to the push.
        result: PushResult,
    },
    /// A change of members was committed.
    MembersChanged {
        /// Position of the change in the log.
        index: Index,
        /// Token of the change, when it was asked for here.
        token: Option<Token>,
        /// Members from now on.
        members: Members,
    },
    /// A proposal ended without a known result.
    Rejected {
        /// Token of the proposal.
        token: Token,
        /// Reason for the rejection.
        reason: Reject,
    },
    /// A read may be answered from the state at `commit` or later.
    ReadReady {
        /// Token of the read.
        token: Token,
        /// Index that the answer covers at least.
        commit: Index,
    },
    /// This member's role, term or leader changed.
    RoleChanged {
        /// New role.
        role: Role,
        /// Current term.
        term: Term,
        /// Leader of the term, as far as it is known.
        leader: Option<NodeId>,
    },
    /// A member no longer holds entries that it had confirmed; it is sent them again.
    ///
    /// Its disk loses what was synced, or its folder was put back from an old copy: operators
    /// should empty the folder, so that the member joins again under a new identity.
    EntriesLost {
        /// The member.
        id: NodeId,
    },
    /// A snapshot took the place of the state; the newest bundle may have changed.
    SnapshotInstalled {
        /// Position that the state covers now.
        index: Index,
    },
}

/// Tells why a proposal has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reject {
    /// Nothing was proposed: this member isn't the leader.
    NotLeader {
        /// The leader to ask.
        leader: NodeId,
    },
    /// Nothing was proposed: no leader with a quorum is known.
    NoQuorum,
    /// Nothing was proposed: too much is waiting, or a change or transfer is under way.
    Busy {
        /// Time after which to try again.
        retry: Duration,
    },
    /// Nothing was proposed: the change doesn't fit the members.
    Unfit,
    /// Nothing was proposed: the bundle's text is above the limit.
    TooLarge {
        /// The largest size taken, in bytes.
        limit: usize,
    },
    /// Nothing was proposed: the learner misses entries.
    NotCaughtUp {
        /// Number of entries that the learner misses.
        behind: Index,
    },
    /// The outcome is unknown: the leader stepped down; sending again is safe.
    Interrupted,
    /// The outcome is unknown: no quorum answered in time; sending again is safe.
    TimedOut,
}

impl Reject {
    /// Tells whether the proposal certainly didn't run and never will.
    #[must_use]
    pub fn is_outcome_known(self) -> bool {
        !matches!(self, Self::Interrupted | Self::TimedOut)
    }
}
