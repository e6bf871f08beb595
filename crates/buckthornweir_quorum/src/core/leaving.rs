//! Planned stops: a member hands over its leadership and announces its stop to the leader.

use std::time::Duration;

use super::{Action, Core, State};
use crate::members::NodeId;
use crate::messages::{Kind, Leave};

/// Announcements of the planned stop of this member.
#[derive(Debug, Clone, Copy)]
pub(super) struct Departure {
    next: Duration,
    told: Option<NodeId>,
}

impl Core {
    /// Prepares a planned stop: transfers the leadership if this member leads, and announces the
    /// stop to the leader from then on.
    ///
    /// The leader may remove or replace an announced member at once ([`Core::next_member_change`]),
    /// instead of keeping a voter that is gone until it counts as lost.
    pub fn leave(&mut self, now: Duration) -> Vec<Action> {
        self.departure = Some(Departure {
            next: now,
            told: None,
        });
        let mut actions = self.transfer(now);
        self.tick_departure(now);
        actions.append(&mut self.take_actions());
        actions
    }

    /// Announces the stop to the leader, repeatedly since the message may be lost.
    pub(super) fn tick_departure(&mut self, now: Duration) {
        let is_due = self.next_announcement().is_some_and(|at| now >= at);
        let (true, Some(leader)) = (is_due, self.leader) else {
            return;
        };
        self.departure = Some(Departure {
            next: now + self.config.heartbeat_interval,
            told: Some(leader),
        });
        self.send(leader, Kind::Leave(Leave {}));
    }

    /// Returns when the stop is to be announced next, if another member leads.
    pub(super) fn next_announcement(&self) -> Option<Duration> {
        let departure = self.departure?;
        let leader = self.leader.filter(|leader| *leader != self.id)?;
        Some(match departure.told == Some(leader) {
            true => departure.next,
            false => Duration::ZERO,
        })
    }

    pub(super) fn on_leave(&mut self, now: Duration, from: NodeId) {
        let valid_until = now + self.config.election_timeout;
        if let State::Leader(lead) = &mut self.state
            && let Some(peer) = lead.peers.get_mut(&from)
        {
            peer.leaving_until = valid_until;
        }
    }

    /// Returns whether a member has announced its planned stop to this leader.
    pub(super) fn is_leaving(&self, id: NodeId, now: Duration) -> bool {
        let State::Leader(lead) = &self.state else {
            return false;
        };
        lead.peers.get(&id).is_some_and(|p| now < p.leaving_until)
    }
}
