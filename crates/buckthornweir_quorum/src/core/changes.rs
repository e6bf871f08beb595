//! Member changes, one at a time, and the replacement of a member that lost its data folder.

use std::time::Duration;

use rand::RngExt;
use smol_str::SmolStr;

use super::electorate::Electorate;
use super::progress::Progress;
use super::{Action, Core, Reject, State, Token};
use crate::entry::{ClusterId, Payload};
use crate::members::{MemberChange, Members, NodeId, Standing};
use crate::messages::{Join, Kind};

/// Interval between join requests.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of members without a vote.
const MAX_NON_VOTERS: usize = 8;

/// State of the join requests of a member that does not yet vote.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct JoinState {
    via: Option<NodeId>,
    next_attempt: Duration,
}

impl Core {
    /// Proposes a single member change; [`Action::MembersChanged`] or [`Action::Rejected`] reports
    /// the outcome.
    pub fn change_members(
        &mut self,
        now: Duration,
        token: Token,
        change: MemberChange,
    ) -> Vec<Action> {
        match self.plan_change(now, change) {
            Ok(members) => self.propose_payload(now, token, &Payload::Members(members)),
            Err(reason) => self.reject(token, reason),
        }
        self.take_actions()
    }

    /// Requests, through a member of an existing log, to be added as a learner.
    ///
    /// The request is repeated until this member has joined.
    pub fn join(&mut self, now: Duration, via: NodeId) -> Vec<Action> {
        self.join.via = Some(via);
        self.tick_join(now);
        self.take_actions()
    }

    /// Requests to be added through a voter of the own log, if that log does not list this member.
    ///
    /// This happens when a joining member restarts with a snapshot older than its addition, and the
    /// addition was lost together with the leader that appended it.
    pub fn rejoin(&mut self, now: Duration) -> Vec<Action> {
        let voters = self.other_voters();
        if self.is_listed() || voters.is_empty() {
            return Vec::new();
        }
        let via = voters[self.rng.random_range(0..voters.len())];
        self.join(now, via)
    }

    /// Repeats the join request until this member is a voter, or a learner that knows a leader.
    ///
    /// A learner without a leader repeats it, because its addition can be lost together with the
    /// leader that appended it.
    pub(super) fn tick_join(&mut self, now: Duration) {
        let own_standing = self.members.get(self.id).map(|m| m.standing);
        let is_joined = own_standing == Some(Standing::Voter)
            || (own_standing.is_some() && self.leader.is_some());
        if is_joined || now < self.join.next_attempt {
            return;
        }
        let Some(via) = self.join_target(own_standing.is_some()) else {
            return;
        };
        self.join.next_attempt = now + JOIN_RETRY_INTERVAL;
        let address = self.config.address.to_string();
        self.send(
            via,
            Kind::Join(Join {
                id: self.id,
                address,
            }),
        );
    }

    /// Returns the member to send the join request to: a random known voter, or the member that the
    /// caller named.
    fn join_target(&mut self, is_known: bool) -> Option<NodeId> {
        let voters = if is_known {
            self.other_voters()
        } else {
            Vec::new()
        };
        match voters.is_empty() {
            true => self.join.via,
            false => voters.get(self.rng.random_range(0..voters.len())).copied(),
        }
    }

    /// Returns whether a message with another cluster ID is allowed because sender or receiver has
    /// no log yet.
    pub(super) fn is_join_traffic(&self, kind: &Kind, cluster: ClusterId) -> bool {
        match kind {
            Kind::Append(_) | Kind::Snapshot(_) | Kind::PreVote(_) | Kind::Vote(_) => {
                self.cluster() == 0
            }
            Kind::Join(_) | Kind::AppendReply(_) | Kind::SnapshotReply(_) => cluster == 0,
            Kind::PreVoteReply(_) | Kind::VoteReply(_) | Kind::Campaign(_) | Kind::Leave(_) => {
                false
            }
        }
    }

    pub(super) fn on_join(&mut self, now: Duration, join: Join) {
        if let Some(leader) = self.leader.filter(|leader| *leader != self.id) {
            self.send(leader, Kind::Join(join));
            return;
        }
        if self.members.get(join.id).is_some() {
            return;
        }
        let address = SmolStr::from(join.address);
        let is_non_voter = |m: &&crate::members::Member| m.standing != Standing::Voter;
        let previous = self
            .members
            .iter()
            .filter(is_non_voter)
            .find(|m| m.address == address);
        let change = match previous {
            Some(previous) => MemberChange::Remove { id: previous.id },
            None => MemberChange::AddLearner {
                id: join.id,
                address,
            },
        };
        let is_full = self.members.iter().filter(is_non_voter).count() >= MAX_NON_VOTERS;
        if previous.is_some() || !is_full {
            self.change_without_token(now, change);
        }
    }

    /// Continues the replacement of a lost voter: removes the voter, then promotes its successor.
    pub(super) fn tick_changes(&mut self, now: Duration) {
        if let Some(change) = self.next_repair(now) {
            self.change_without_token(now, change);
        }
    }

    fn next_repair(&self, now: Duration) -> Option<MemberChange> {
        let mut caught_up = self.members.iter().filter(|m| {
            m.standing != Standing::Voter
                && self.is_caught_up(m.id, now)
                && self.is_active(m.id, now)
        });
        caught_up.find_map(|member| match member.standing {
            Standing::Pending => Some(MemberChange::Promote { id: member.id }),
            Standing::Learner | Standing::Voter => {
                let mut voters = self.members.voters();
                let lost = voters.find(|v| v.address == member.address && v.id != self.id)?;
                let is_unresponsive = !self.is_active(lost.id, now);
                is_unresponsive.then_some(MemberChange::Replace {
                    id: lost.id,
                    by: member.id,
                })
            }
        })
    }

    fn change_without_token(&mut self, now: Duration, change: MemberChange) {
        if let Ok(members) = self.plan_change(now, change) {
            self.append_as_leader(now, &Payload::Members(members));
        }
    }

    /// Returns the members after the change, or the reason to reject it.
    fn plan_change(&self, now: Duration, change: MemberChange) -> Result<Members, Reject> {
        if let Some(reason) = self.reject_reason(now) {
            return Err(reason);
        }
        let State::Leader(lead) = &self.state else {
            return Err(Reject::NoQuorum);
        };
        if self.members_index > self.commit || self.commit < lead.first_index {
            return Err(Reject::Busy {
                retry: self.config.heartbeat_interval,
            });
        }
        let promoted = match change {
            MemberChange::Promote { id } | MemberChange::Replace { by: id, .. } => Some(id),
            MemberChange::AddLearner { .. } | MemberChange::Remove { .. } => None,
        };
        let members = self.members.after(change).ok_or(Reject::Unfit)?;
        if let Some(id) = promoted
            && !self.is_caught_up(id, now)
        {
            let match_index = lead.peers.get(&id).map_or(0, |p| p.match_index);
            let behind = self.log.last_index() - match_index;
            return Err(Reject::NotCaughtUp { behind });
        }
        let electorate = Electorate::new(&members, Some(self.members.clone()), &lead.lost);
        if !electorate.has_quorum(|id| id == self.id || self.is_active(id, now)) {
            return Err(Reject::NoQuorum);
        }
        Ok(members)
    }

    /// Returns whether a member holds the log of this leader as of an election timeout ago or later.
    pub(super) fn is_caught_up(&self, id: NodeId, now: Duration) -> bool {
        let State::Leader(lead) = &self.state else {
            return false;
        };
        let (last, tolerance) = (self.log.last_index(), self.config.election_timeout);
        lead.peers
            .get(&id)
            .is_some_and(|p| p.is_caught_up(now, last, tolerance))
    }

    fn is_active(&self, id: NodeId, now: Duration) -> bool {
        let State::Leader(lead) = &self.state else {
            return false;
        };
        let timeout = self.config.election_timeout;
        lead.peers
            .get(&id)
            .is_some_and(|p| p.last_reply > Duration::ZERO && now < p.last_reply + timeout)
    }

    /// Adds and removes tracked peers to match the newest members. A removed voter whose agreement may
    /// be needed stays until the removal is committed.
    pub(super) fn update_peers(&mut self, now: Duration) {
        let next = self.log.last_index() + 1;
        let electors = self.other_electors();
        let (own, members) = (self.id, &self.members);
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        lead.peers
            .retain(|id, _| members.get(*id).is_some() || electors.contains(id));
        for member in members.iter().filter(|m| m.id != own) {
            lead.peers
                .entry(member.id)
                .or_insert_with(|| Progress::new(next, now));
        }
    }

    /// Stops tracking removed peers once the removal is committed, after telling them so: a removed
    /// member that does not know it may campaign.
    pub(super) fn release_removed_peers(&mut self, now: Duration) {
        let State::Leader(lead) = &self.state else {
            return;
        };
        let is_removed = |id: &&NodeId| self.members.get(**id).is_none();
        let removed: Vec<_> = lead.peers.keys().filter(is_removed).copied().collect();
        for id in removed {
            self.send_peer(now, id);
        }
        self.update_peers(now);
    }

    /// Steps down once the removal of this leader is committed.
    pub(super) fn step_down_if_removed(&mut self, now: Duration) {
        let is_leader = matches!(self.state, State::Leader(_));
        let is_committed = self.members_index <= self.commit;
        if is_leader && is_committed && !self.members.is_voter(self.id) {
            self.step_down(now, self.term, None);
        }
    }

    /// Returns whether an uncommitted member change is in the log.
    #[must_use]
    pub fn has_pending_change(&self) -> bool {
        self.members_index > self.commit
    }

    /// Returns the number of entries that a member is missing, as known to this leader.
    #[must_use]
    pub fn entries_behind(&self, id: NodeId) -> Option<u64> {
        let State::Leader(lead) = &self.state else {
            return None;
        };
        lead.peers
            .get(&id)
            .map(|p| self.log.last_index().saturating_sub(p.match_index))
    }
}
