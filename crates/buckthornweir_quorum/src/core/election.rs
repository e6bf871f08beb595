//! Elections: pre-vote, vote, quorum check and leadership transfer.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;

use super::electorate::Votes;
use super::progress::Progress;
use super::{Action, Core, Leadership, State, Transfer};
use crate::entry::{Payload, Snapshot, Term};
use crate::members::NodeId;
use crate::messages::{Campaign, Kind, VoteReply, VoteRequest};
use crate::storage::Record;

impl Core {
    /// Starts a leadership transfer to the most up-to-date voter, for a planned stop.
    pub fn transfer(&mut self, now: Duration) -> Vec<Action> {
        let members = &self.members;
        if let State::Leader(lead) = &mut self.state {
            let voters = lead.peers.iter().filter(|(id, _)| members.is_voter(**id));
            let best = voters.max_by_key(|(_, p)| (p.match_index, p.last_reply));
            let deadline = now + self.config.election_timeout;
            lead.transfer = best.map(|(id, _)| Transfer { to: *id, deadline });
        }
        self.advance_transfer();
        self.take_actions()
    }

    /// Asks the transfer target to campaign once it holds the whole log.
    pub(super) fn advance_transfer(&mut self) {
        let last = self.log.last_index();
        let State::Leader(lead) = &self.state else {
            return;
        };
        let Some(transfer) = lead.transfer else {
            return;
        };
        let caught_up = lead
            .peers
            .get(&transfer.to)
            .is_some_and(|p| p.match_index >= last);
        if caught_up {
            self.send(transfer.to, Kind::Campaign(Campaign {}));
        }
    }

    pub(super) fn on_campaign(&mut self, now: Duration, from: NodeId, term: Term) {
        let from_leader = self.leader == Some(from) && term == self.term;
        if from_leader && self.members.is_voter(self.id) {
            self.start_election(now, true);
        }
    }

    /// Starts a pre-vote; a member that may not campaign only resets its election timeout.
    pub(super) fn start_prevote(&mut self, now: Duration) {
        self.reset_election_deadline(now);
        let had_leader = self.leader.take().is_some();
        if !self.may_campaign() {
            if had_leader {
                self.report_role();
            }
            return;
        }
        let was_candidate = matches!(self.state, State::PreCandidate(_));
        let votes = self.own_vote(now);
        let is_elected = self.is_elected(&votes);
        self.state = State::PreCandidate(votes);
        if had_leader || !was_candidate {
            self.report_role();
        }
        if is_elected {
            self.start_election(now, false);
            return;
        }
        let request = self.vote_request(false);
        for to in self.other_electors() {
            self.send_with_term(to, self.term + 1, Kind::PreVote(request.clone()));
        }
    }

    /// Returns whether this member may become leader.
    ///
    /// A voter whose removal is not yet committed may campaign too, because it may be the only
    /// member that holds the entry.
    fn may_campaign(&self) -> bool {
        let committed = || self.log.members_at(self.commit).1;
        self.members.is_voter(self.id)
            || (self.has_pending_change() && committed().is_voter(self.id))
    }

    pub(super) fn on_prevote(
        &mut self,
        now: Duration,
        from: NodeId,
        term: Term,
        request: &VoteRequest,
    ) {
        self.install_founding(&request.founding);
        let granted = term > self.term && !self.has_active_leader(now) && self.is_current(request);
        let reply_term = if granted { term } else { self.term };
        self.send_with_term(from, reply_term, Kind::PreVoteReply(VoteReply { granted }));
    }

    pub(super) fn on_prevote_reply(
        &mut self,
        now: Duration,
        from: NodeId,
        term: Term,
        reply: VoteReply,
    ) {
        if !reply.granted {
            if term > self.term {
                self.step_down(now, term, None);
            }
            return;
        }
        if term != self.term + 1 {
            return;
        }
        let State::PreCandidate(votes) = &mut self.state else {
            return;
        };
        votes.granted.insert(from);
        let votes = votes.clone();
        if self.is_elected(&votes) {
            self.start_election(now, false);
        }
    }

    /// Starts an election in the next term.
    pub(super) fn start_election(&mut self, now: Duration, transfer: bool) {
        self.term += 1;
        self.vote = Some(self.id);
        self.records.push(Record::Vote {
            term: self.term,
            vote: self.vote,
        });
        self.leader = None;
        self.reset_election_deadline(now);
        let votes = self.own_vote(now);
        let is_elected = self.is_elected(&votes);
        self.state = State::Candidate(votes.clone());
        self.report_role();
        if is_elected {
            self.become_leader(now, votes);
            return;
        }
        let request = self.vote_request(transfer);
        for to in self.other_electors() {
            self.send(to, Kind::Vote(request.clone()));
        }
    }

    pub(super) fn on_vote(
        &mut self,
        now: Duration,
        from: NodeId,
        term: Term,
        request: &VoteRequest,
    ) {
        self.install_founding(&request.founding);
        if term > self.term && (request.transfer || !self.has_active_leader(now)) {
            self.step_down(now, term, None);
        }
        let may_grant = self.vote.is_none_or(|vote| vote == from);
        let granted = term == self.term && may_grant && self.is_current(request);
        if granted && self.vote.is_none() {
            self.vote = Some(from);
            self.records.push(Record::Vote {
                term,
                vote: self.vote,
            });
            self.reset_election_deadline(now);
        }
        self.send(from, Kind::VoteReply(VoteReply { granted }));
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: Duration,
        from: NodeId,
        term: Term,
        reply: VoteReply,
    ) {
        if term > self.term {
            self.step_down(now, term, None);
            return;
        }
        if term < self.term || !reply.granted {
            return;
        }
        let State::Candidate(votes) = &mut self.state else {
            return;
        };
        votes.granted.insert(from);
        let votes = votes.clone();
        if self.is_elected(&votes) {
            self.become_leader(now, votes);
        }
    }

    fn become_leader(&mut self, now: Duration, votes: Votes) {
        let next = self.log.last_index() + 1;
        let others = self.members.iter().filter(|m| m.id != self.id);
        let peers: BTreeMap<_, _> = others.map(|m| (m.id, Progress::new(next, now))).collect();
        self.state = State::Leader(Box::new(Leadership {
            first_index: next,
            elected_at: now,
            round: 0,
            peers,
            lost: votes.lost,
            proposals: BTreeMap::new(),
            reads: Vec::new(),
            transfer: None,
            encoded_snapshot: None,
            differences: BTreeMap::new(),
        }));
        self.leader = Some(self.id);
        self.report_role();
        self.append_as_leader(now, &Payload::Empty);
    }

    /// Becomes a follower in `term`, which is not below the current one.
    pub(super) fn step_down(&mut self, now: Duration, term: Term, leader: Option<NodeId>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.records.push(Record::Vote { term, vote: None });
        }
        let state = std::mem::replace(&mut self.state, State::Follower);
        let changed = !matches!(state, State::Follower) || self.leader != leader;
        if let State::Leader(lead) = state {
            self.reject_pending(*lead);
        }
        self.leader = leader;
        self.reset_election_deadline(now);
        if changed {
            self.report_role();
        }
    }

    /// Steps down if no quorum has replied within the election timeout; returns whether this member
    /// still leads.
    pub(super) fn check_quorum(&mut self, now: Duration) -> bool {
        if self.has_active_quorum(now) {
            return true;
        }
        self.step_down(now, self.term, None);
        false
    }

    /// Returns whether a quorum has replied to this leader within the election timeout.
    pub(super) fn has_active_quorum(&self, now: Duration) -> bool {
        let State::Leader(lead) = &self.state else {
            return false;
        };
        let timeout = self.config.election_timeout;
        let is_active = |id| {
            let peer = lead
                .peers
                .get(&id)
                .map(|p| p.last_reply.max(lead.elected_at));
            id == self.id || peer.is_some_and(|contact| now < contact + timeout)
        };
        self.electorate(&lead.lost).has_quorum(is_active)
    }

    /// Installs the founding snapshot of a log that lists this member, which has no log, as a
    /// voter.
    fn install_founding(&mut self, founding: &Bytes) {
        if self.cluster() != 0 || founding.is_empty() {
            return;
        }
        let Ok(snapshot) = Snapshot::decode(founding.clone()) else {
            return;
        };
        if snapshot.members.is_voter(self.id) {
            self.install(snapshot);
        }
    }

    /// Returns whether a leader was active within the election timeout, so that candidates are
    /// ignored.
    pub(super) fn has_active_leader(&self, now: Duration) -> bool {
        match self.state {
            State::Leader(_) => self.has_active_quorum(now),
            _ => {
                let timeout = self.config.election_timeout;
                self.leader.is_some()
                    && self
                        .leader_contact
                        .is_some_and(|contact| now < contact + timeout)
            }
        }
    }

    /// Returns whether the log of the candidate is at least as up to date as this log.
    fn is_current(&self, request: &VoteRequest) -> bool {
        let own = (self.log.last_term(), self.log.last_index());
        self.cluster() != 0 && (request.last_term, request.last_index) >= own
    }

    fn vote_request(&self, transfer: bool) -> VoteRequest {
        let founding = match self.log.last_index() {
            1 => self.log.snapshot.encode(),
            _ => Bytes::new(),
        };
        VoteRequest {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
            founding,
        }
    }

    pub(super) fn report_role(&mut self) {
        let (role, term, leader) = (self.role(), self.term, self.leader);
        self.actions
            .push(Action::RoleChanged { role, term, leader });
    }
}
