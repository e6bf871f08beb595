//! Actions that the consensus core returns for its caller to carry out.

use std::time::Duration;

use crate::bundles::PushResult;
use crate::entry::{Index, Term};
use crate::members::{Members, NodeId};
use crate::messages::Message;
use crate::storage::Record;

/// Identifier of a proposal or read, chosen by the caller.
pub type Token = u64;

/// Role of a member in the current term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Replicates the log without voting.
    Learner,
    /// Replicates the log and votes.
    Follower,
    /// Requests votes.
    Candidate,
    /// Accepts proposals and replicates them.
    Leader,
}

/// An action for the caller, who must carry out actions in the order they are returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write and sync these records before any later action; the process must stop if this fails.
    Persist(Vec<Record>),
    /// Send a message, which may be lost.
    Send {
        /// Receiver.
        to: NodeId,
        /// Message to send.
        message: Message,
    },
    /// A committed command was applied.
    Applied {
        /// Index of the entry.
        index: Index,
        /// Token of the proposal, if it was made at this member.
        token: Option<Token>,
        /// Result of the command.
        result: PushResult,
    },
    /// A member change was committed.
    MembersChanged {
        /// Index of the entry.
        index: Index,
        /// Token of the change, if it was requested at this member.
        token: Option<Token>,
        /// Members after the change.
        members: Members,
    },
    /// A proposal was rejected, or its outcome is unknown.
    Rejected {
        /// Token of the proposal.
        token: Token,
        /// Reason for the rejection.
        reason: Reject,
    },
    /// A linearizable read may be served from the state at `commit` or later.
    ReadReady {
        /// Token of the read.
        token: Token,
        /// Minimum index that the read state must include.
        commit: Index,
    },
    /// The role, term or leader of this member changed.
    RoleChanged {
        /// New role.
        role: Role,
        /// Current term.
        term: Term,
        /// Leader of the term, if known.
        leader: Option<NodeId>,
    },
    /// The log of a member regressed: entries that it had confirmed are missing and are sent again.
    ///
    /// Either its disk loses synced writes, or its data folder was restored from an old copy.
    /// Operators should empty the folder, so that the member joins again under a new identity.
    Regressed {
        /// The member.
        id: NodeId,
    },
    /// A snapshot replaced the state; the newest bundle may have changed.
    Installed {
        /// Last index that the snapshot covers.
        index: Index,
    },
}

/// Reason why a proposal or read has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reject {
    /// Not proposed: this member is not the leader.
    NotLeader {
        /// The current leader.
        leader: NodeId,
    },
    /// Not proposed: no leader with a quorum is known.
    NoQuorum,
    /// Not proposed: too many proposals are pending, or a member change or leadership transfer is
    /// in progress.
    Busy {
        /// Time to wait before a retry.
        retry: Duration,
    },
    /// Not proposed: the change is invalid for the current members.
    Unfit,
    /// Not proposed: the text of the bundle exceeds the limit.
    TooLarge {
        /// The maximum size, in bytes.
        limit: usize,
    },
    /// Not proposed: the learner has not caught up.
    NotCaughtUp {
        /// Number of entries that the learner is missing.
        behind: Index,
    },
    /// Outcome unknown: the leader stepped down. A retry is safe.
    Interrupted,
    /// Outcome unknown: no quorum replied before the deadline. A retry is safe.
    TimedOut,
}

impl Reject {
    /// Returns whether the outcome is known: the proposal was not run and never will be.
    #[must_use]
    pub fn is_outcome_known(self) -> bool {
        !matches!(self, Self::Interrupted | Self::TimedOut)
    }
}
