//! The upkeep of the voters: all VMs that follow the log vote, and lost ones make room.

use std::time::Duration;

use super::{Core, State};
use crate::entry::Index;
use crate::members::{MemberChange, Members, NodeId, Standing};

/// When a leader changes the voters by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Number of voters that silence doesn't make fewer.
    pub min_voters: usize,
    /// Time without a word of a voter after which it counts as lost.
    pub silence_timeout: Duration,
}

impl Core {
    /// Returns the change that the leader should make next, one at a time.
    ///
    /// A learner that has caught up takes the place of a lost voter, or becomes one more. A lost voter
    /// without successor goes while more voters than the policy names are left: dead voters would use
    /// up the losses that the log bears.
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
            self.time_since_reply(id, now)
                .is_some_and(|s| s >= policy.silence_timeout)
        };
        let lost_voter = self.members.voters().find(|m| lost(m.id));
        let learners = || {
            self.members
                .iter()
                .filter(|m| m.standing == Standing::Learner)
        };
        let candidate = learners().find(|m| !lost(m.id) && self.entries_behind(m.id) == Some(0));
        match (candidate, lost_voter) {
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

    /// Returns how long the leader has heard nothing of a member.
    fn time_since_reply(&self, id: NodeId, now: Duration) -> Option<Duration> {
        let State::Leader(lead) = &self.state else {
            return None;
        };
        let peer = lead.peers.get(&id)?;
        Some(now.saturating_sub(peer.last_reply.max(lead.elected_at).max(peer.tracked_since)))
    }

    /// Returns the members as of [`Core::commit`], which no later leader takes back.
    #[must_use]
    pub fn committed_members(&self) -> Members {
        self.log.members_at(self.commit).1
    }

    /// Returns whether a member that has committed up to `index` without having this one among the
    /// members shows that this one was removed.
    #[must_use]
    pub fn is_expelled_at(&self, index: Index) -> bool {
        self.cluster() != 0 && index > self.members_index
    }
}
