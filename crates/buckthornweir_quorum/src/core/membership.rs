//! Automatic member changes: learners that have caught up become voters, and lost members are
//! replaced or removed.

use std::time::Duration;

use super::{Core, State};
use crate::entry::Index;
use crate::members::{MemberChange, Members, NodeId, Standing};

/// Policy for member changes that the leader makes on its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Number of voters below which no silent voter is removed without a successor.
    pub min_voters: usize,
    /// Time without a reply after which a member counts as lost.
    pub timeout: Duration,
}

impl Core {
    /// Returns the change that the leader should make next, one at a time.
    ///
    /// A learner that has caught up replaces a lost voter, or is promoted if no voter is lost. A
    /// lost voter without a successor is removed while there are more than `min_voters`, since dead
    /// voters reduce the number of further losses that the quorum tolerates. Lost learners are
    /// removed last. A member that has announced its planned stop counts as lost at once.
    #[must_use]
    pub fn next_member_change(
        &self,
        now: Duration,
        policy: MembershipPolicy,
    ) -> Option<MemberChange> {
        if !matches!(self.state, State::Leader(_)) || self.has_pending_change() {
            return None;
        }
        let lost = |id| {
            let is_silent = self.silence(id, now).is_some_and(|s| s >= policy.timeout);
            is_silent || self.is_leaving(id, now)
        };
        let silent_voter = self.members.voters().find(|m| lost(m.id));
        let learners = || {
            self.members
                .iter()
                .filter(|m| m.standing == Standing::Learner)
        };
        let candidate = learners().find(|m| !lost(m.id) && self.is_caught_up(m.id, now));
        // A voter at the address of the learner has lost its disk, while a silent one may return.
        let emptied_voter =
            candidate.and_then(|c| self.members.voters().find(|m| m.address == c.address));
        match (candidate, emptied_voter.or(silent_voter)) {
            (Some(candidate), Some(lost)) => Some(MemberChange::Replace {
                id: lost.id,
                by: candidate.id,
            }),
            (Some(candidate), None) => Some(MemberChange::Promote { id: candidate.id }),
            (None, Some(lost)) if self.members.voters().count() > policy.min_voters => {
                Some(MemberChange::Remove { id: lost.id })
            }
            _ => learners()
                .find(|m| lost(m.id))
                .map(|m| MemberChange::Remove { id: m.id }),
        }
    }

    /// Returns the time since the last reply of a member.
    fn silence(&self, id: NodeId, now: Duration) -> Option<Duration> {
        let State::Leader(lead) = &self.state else {
            return None;
        };
        let peer = lead.peers.get(&id)?;
        Some(now.saturating_sub(peer.last_reply.max(lead.elected_at).max(peer.tracked_since)))
    }

    /// Returns the members as of [`Core::commit`], which no later leader can revert.
    #[must_use]
    pub fn committed_members(&self) -> Members {
        self.log.members_at(self.commit).1
    }

    /// Returns whether this member was removed, given that it is not among the members that another
    /// member has committed at `index`.
    ///
    /// An index at or below that of the newest members known here is no proof of removal. Neither is
    /// any index while the log of this member does not list it yet: a joining member may have
    /// installed a snapshot older than its addition, and the other member may not have committed the
    /// addition either.
    #[must_use]
    pub fn is_expelled_at(&self, index: Index) -> bool {
        self.is_listed() && index > self.members_index
    }

    /// Returns whether the log of this member lists it as a member.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.members.get(self.id).is_some()
    }
}
