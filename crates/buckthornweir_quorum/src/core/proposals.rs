//! Proposals, their results, and reads.

use std::time::Duration;

use super::{Action, Core, Leadership, Reject, State, Token};
use crate::bundles::Command;
use crate::entry::{Entry, Index, MAX_BUNDLE_BYTES, Payload};
use crate::members::{Members, NodeId};
use crate::storage::Record;

/// A proposal that is not yet committed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Proposal {
    pub(super) token: Token,
    pub(super) deadline: Duration,
}

/// A read that is pending until a quorum confirms the leader.
#[derive(Debug, Clone, Copy)]
pub(super) struct Read {
    pub(super) token: Token,
    pub(super) round: u64,
    pub(super) deadline: Duration,
}

impl Core {
    /// Proposes a command; [`Action::Applied`] or [`Action::Rejected`] reports the outcome.
    pub fn propose(&mut self, now: Duration, token: Token, command: Command) -> Vec<Action> {
        let too_large = command.size() > MAX_BUNDLE_BYTES;
        match self.reject_reason(now) {
            Some(reason) => self.reject(token, reason),
            None if too_large => self.reject(
                token,
                Reject::TooLarge {
                    limit: MAX_BUNDLE_BYTES,
                },
            ),
            None => self.propose_payload(now, token, &Payload::Command(command)),
        }
        self.take_actions()
    }

    /// Requests a linearizable read, which sees every push acknowledged before;
    /// [`Action::ReadReady`] or [`Action::Rejected`] reports the outcome.
    pub fn read(&mut self, now: Duration, token: Token) -> Vec<Action> {
        match self.reject_reason(now) {
            Some(reason) => self.reject(token, reason),
            None => self.start_read(now, token),
        }
        self.take_actions()
    }

    fn start_read(&mut self, now: Duration, token: Token) {
        let deadline = now + self.config.proposal_timeout;
        if let State::Leader(lead) = &mut self.state {
            let round = lead.round + 1;
            lead.reads.push(Read {
                token,
                round,
                deadline,
            });
        }
        self.send_all(now);
        self.complete_reads();
    }

    /// Completes the reads whose round a quorum has confirmed.
    pub(super) fn complete_reads(&mut self) {
        let State::Leader(lead) = &self.state else {
            return;
        };
        if self.commit < lead.first_index || lead.reads.is_empty() {
            return;
        }
        let electorate = self.electorate(&lead.lost);
        let confirmed = |read: &&Read| {
            electorate.has_quorum(|id| {
                id == self.id
                    || lead
                        .peers
                        .get(&id)
                        .is_some_and(|p| p.confirmed_round >= read.round)
            })
        };
        let ready: Vec<_> = lead
            .reads
            .iter()
            .filter(confirmed)
            .map(|r| r.token)
            .collect();
        if let State::Leader(lead) = &mut self.state {
            lead.reads.retain(|r| !ready.contains(&r.token));
        }
        let commit = self.commit;
        let actions = ready
            .into_iter()
            .map(|token| Action::ReadReady { token, commit });
        self.actions.extend(actions);
    }

    /// Returns why this member cannot accept a proposal now, if so.
    pub(super) fn reject_reason(&self, now: Duration) -> Option<Reject> {
        let State::Leader(lead) = &self.state else {
            let leader = self.leader.filter(|_| now < self.election_deadline);
            return Some(leader.map_or(Reject::NoQuorum, |leader| Reject::NotLeader { leader }));
        };
        if !self.has_active_quorum(now) {
            return Some(Reject::NoQuorum);
        }
        let pending = lead.proposals.len() + lead.reads.len();
        let is_log_full = self.log.bytes() >= self.config.compact_bytes.saturating_mul(2);
        if lead.transfer.is_some() || pending >= self.config.max_proposals || is_log_full {
            return Some(Reject::Busy {
                retry: self.config.heartbeat_interval,
            });
        }
        None
    }

    pub(super) fn propose_payload(&mut self, now: Duration, token: Token, payload: &Payload) {
        let index = self.log.last_index() + 1;
        let deadline = now + self.config.proposal_timeout;
        if let State::Leader(lead) = &mut self.state {
            lead.proposals.insert(index, Proposal { token, deadline });
        }
        self.append_as_leader(now, payload);
    }

    /// Appends an entry as the leader and sends it to all members.
    pub(super) fn append_as_leader(&mut self, now: Duration, payload: &Payload) {
        let index = self.log.last_index() + 1;
        let entry = Entry {
            index,
            term: self.term,
            data: payload.encode(),
        };
        self.append_entry(entry);
        if let Payload::Members(members) = payload {
            self.members = members.clone();
            self.members_index = index;
            self.update_peers(now);
        }
        self.advance_commit(now);
        self.send_idle(now);
    }

    pub(super) fn append_entry(&mut self, entry: Entry) {
        self.records.push(Record::Entry(entry.clone()));
        self.log.push(entry);
    }

    /// Applies all entries up to `commit` and persists the commit index.
    ///
    /// With the persisted index, a member that restarts without a quorum still knows the newest
    /// bundle.
    pub(super) fn apply_to(&mut self, commit: Index) {
        let mut changed = false;
        while self.commit < commit && self.log.get(self.commit + 1).is_some() {
            changed |= self.apply_next();
        }
        if changed {
            self.records.push(Record::Commit { index: self.commit });
        }
    }

    /// Applies the next entry; returns whether it held a command or member change.
    fn apply_next(&mut self) -> bool {
        self.commit += 1;
        let token = self.take_proposal(self.commit);
        let payload = self
            .log
            .get(self.commit)
            .map(|entry| Payload::decode(&entry.data));
        match payload {
            Some(Ok(Payload::Command(command))) => self.apply_command(token, &command),
            Some(Ok(Payload::Members(members))) => self.apply_members(token, members),
            Some(Ok(Payload::Empty) | Err(_)) | None => return false,
        }
        true
    }

    fn apply_command(&mut self, token: Option<Token>, command: &Command) {
        let index = self.commit;
        let result = self.bundles.apply(index, command);
        self.actions.push(Action::Applied {
            index,
            token,
            result,
        });
    }

    fn apply_members(&mut self, token: Option<Token>, members: Members) {
        let index = self.commit;
        self.actions.push(Action::MembersChanged {
            index,
            token,
            members,
        });
    }

    fn take_proposal(&mut self, index: Index) -> Option<Token> {
        let State::Leader(lead) = &mut self.state else {
            return None;
        };
        lead.proposals.remove(&index).map(|p| p.token)
    }

    /// Rejects proposals and reads whose deadline has passed.
    pub(super) fn expire_proposals(&mut self, now: Duration) {
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        let mut expired = Vec::new();
        lead.proposals
            .retain(|_, p| retain_pending(now, p.deadline, p.token, &mut expired));
        lead.reads
            .retain(|r| retain_pending(now, r.deadline, r.token, &mut expired));
        for token in expired {
            self.reject(token, Reject::TimedOut);
        }
    }

    /// Rejects all pending proposals and reads of a leader that steps down.
    pub(super) fn reject_pending(&mut self, lead: Leadership) {
        for proposal in lead.proposals.into_values() {
            self.reject(proposal.token, Reject::Interrupted);
        }
        for read in lead.reads {
            self.reject(read.token, Reject::NoQuorum);
        }
    }

    pub(super) fn reject(&mut self, token: Token, reason: Reject) {
        self.actions.push(Action::Rejected { token, reason });
    }

    /// Returns the address of a member, as text.
    #[must_use]
    pub fn address(&self, id: NodeId) -> Option<&str> {
        self.members.get(id).map(|m| m.address.as_str())
    }
}

fn retain_pending(
    now: Duration,
    deadline: Duration,
    token: Token,
    expired: &mut Vec<Token>,
) -> bool {
    if now >= deadline {
        expired.push(token);
    }
    now < deadline
}
