//! Replication, with one outstanding message per peer that is resent at each heartbeat.

use std::time::Duration;

use bytes::Bytes;

use super::differences::MAX_EXPANDED_BYTES;
use super::parts::PartKey;
use super::progress::Progress;
use super::{Action, Core, State};
use crate::entry::{Entry, Index, Payload, Term};
use crate::members::NodeId;
use crate::messages::{
    Append, AppendReply, EntryPart, Fragment, Kind, MAX_MESSAGE_ENTRIES, MAX_PART_BYTES,
};
use crate::storage::Record;

impl Core {
    pub(super) fn tick_leader(&mut self, now: Duration) {
        if !self.check_quorum(now) {
            return;
        }
        self.expire_proposals(now);
        let heartbeat = self.config.heartbeat_interval;
        if let State::Leader(lead) = &mut self.state {
            lead.transfer = lead.transfer.filter(|t| now < t.deadline);
            let due = lead
                .peers
                .iter()
                .filter(|(_, p)| now >= p.last_sent + heartbeat);
            let due: Vec<_> = due.map(|(id, _)| *id).collect();
            self.send_to(now, &due);
        }
        self.tick_changes(now);
    }

    /// Sends to all peers, including those with an outstanding message.
    pub(super) fn send_all(&mut self, now: Duration) {
        let State::Leader(lead) = &self.state else {
            return;
        };
        let all: Vec<_> = lead.peers.keys().copied().collect();
        self.send_to(now, &all);
    }

    /// Sends to the peers without an outstanding message.
    pub(super) fn send_idle(&mut self, now: Duration) {
        let State::Leader(lead) = &self.state else {
            return;
        };
        let idle = lead
            .peers
            .iter()
            .filter(|(_, p)| p.outstanding_round.is_none());
        let idle: Vec<_> = idle.map(|(id, _)| *id).collect();
        self.send_to(now, &idle);
    }

    fn send_to(&mut self, now: Duration, peers: &[NodeId]) {
        for id in peers {
            self.send_peer(now, *id);
        }
    }

    /// Sends the commit index to peers without an outstanding message that have an older one.
    fn send_commit(&mut self, now: Duration) {
        let State::Leader(lead) = &self.state else {
            return;
        };
        let commit = self.commit;
        let outdated = lead
            .peers
            .iter()
            .filter(|(_, p)| p.outstanding_round.is_none() && p.sent_commit < commit);
        let outdated: Vec<_> = outdated.map(|(id, _)| *id).collect();
        self.send_to(now, &outdated);
    }

    pub(super) fn send_peer(&mut self, now: Duration, id: NodeId) {
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        let Some(peer) = lead.peers.get_mut(&id) else {
            return;
        };
        lead.round += 1;
        peer.outstanding_round = Some(lead.round);
        peer.last_sent = now;
        peer.sent_commit = self.commit;
        let (round, next, offset) = (lead.round, peer.next_index, peer.offset);
        let differences = peer.accepts_differences;
        let kind = match next <= self.log.snapshot.index {
            true => self.snapshot_part(id, round),
            false => {
                let mut append = self.empty_append(next - 1, round);
                self.add_entries(&mut append, offset, differences);
                Some(Kind::Append(append))
            }
        };
        if let Some(kind) = kind {
            self.send(id, kind);
        }
    }

    fn empty_append(&self, prev_index: Index, round: u64) -> Append {
        let prev_term = self.log.term_at(prev_index).unwrap_or_default();
        Append {
            round,
            prev_index,
            prev_term,
            commit: self.commit,
            entries: Vec::new(),
            fragment: None,
        }
    }

    /// Adds the entries after `prev_index`, or a fragment of the first one if it exceeds one
    /// message.
    fn add_entries(&mut self, append: &mut Append, offset: u64, differences: bool) {
        let (mut sent_bytes, mut expanded_bytes) = (0, 0);
        for index in append.prev_index + 1..=self.log.last_index() {
            let Some(entry) = self.log.get(index).cloned() else {
                return;
            };
            let part = self.entry_part(&entry, differences);
            sent_bytes += part.data.len() + part.difference.len();
            expanded_bytes += entry.data.len();
            let is_first = append.entries.is_empty();
            if is_first && sent_bytes > MAX_PART_BYTES {
                append.fragment = Some(fragment_of(&entry, offset));
                return;
            }
            let is_full = append.entries.len() == MAX_MESSAGE_ENTRIES;
            if is_full || sent_bytes > MAX_PART_BYTES || expanded_bytes > MAX_EXPANDED_BYTES {
                return;
            }
            append.entries.push(part);
        }
    }

    fn entry_part(&mut self, entry: &Entry, differences: bool) -> EntryPart {
        let difference = match differences {
            true => self.difference_of(entry),
            false => None,
        };
        let data = match difference {
            Some(_) => Bytes::new(),
            None => entry.data.clone(),
        };
        EntryPart {
            term: entry.term,
            data,
            difference: difference.unwrap_or_default(),
        }
    }

    pub(super) fn on_append(&mut self, now: Duration, from: NodeId, term: Term, append: &Append) {
        let rejection = AppendReply {
            round: append.round,
            success: false,
            index: self.commit + 1,
            offset: 0,
            differences: true,
        };
        if term < self.term {
            self.send(from, Kind::AppendReply(rejection));
            return;
        }
        self.follow_leader(now, from, term);
        if !self.log_matches(append.prev_index, append.prev_term) {
            self.send(from, Kind::AppendReply(rejection));
            return;
        }
        let Ok(received) = self.read_entries(append) else {
            return;
        };
        let mut entries = received.entries;
        let start = append.prev_index + 1;
        entries.extend(
            append
                .fragment
                .as_ref()
                .and_then(|part| self.add_fragment(start, part)),
        );
        let matched = append.prev_index + entries.len() as Index;
        self.store_entries(entries);
        self.apply_to(append.commit.min(matched));
        self.maybe_compact();
        let reply = AppendReply {
            round: append.round,
            success: true,
            index: matched,
            offset: self.entry_parts.received_bytes(matched + 1),
            differences: received.has_all_bases,
        };
        self.send(from, Kind::AppendReply(reply));
    }

    /// Adds a fragment of the entry at `index`; returns the entry once it is complete.
    fn add_fragment(&mut self, index: Index, part: &Fragment) -> Option<Entry> {
        let key = PartKey {
            index,
            term: part.term,
            total: part.total,
        };
        let data = self.entry_parts.add(key, part.offset, &part.data)?;
        Payload::decode(&data).ok()?;
        Some(Entry {
            index,
            term: part.term,
            data,
        })
    }

    /// Follows the leader of `term`, which must not be below the current term.
    pub(super) fn follow_leader(&mut self, now: Duration, leader: NodeId, term: Term) {
        let is_following = matches!(self.state, State::Follower) && self.leader == Some(leader);
        if term > self.term || !is_following {
            self.step_down(now, term, Some(leader));
        }
        self.leader_contact = Some(now);
        self.reset_election_deadline(now);
    }

    fn log_matches(&self, index: Index, term: Term) -> bool {
        let covered = index < self.log.snapshot.index;
        self.cluster() != 0 && (covered || self.log.term_at(index) == Some(term))
    }

    fn store_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            self.truncate(entry.index);
            let sets_members = matches!(Payload::decode(&entry.data), Ok(Payload::Members(_)));
            self.append_entry(entry);
            if sets_members {
                self.reload_members();
            }
        }
    }

    fn truncate(&mut self, from: Index) {
        if from > self.log.last_index() {
            return;
        }
        self.records.push(Record::Truncate { from });
        self.log.truncate(from);
        if self.members_index >= from {
            self.reload_members();
        }
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Duration,
        from: NodeId,
        term: Term,
        reply: AppendReply,
    ) {
        let last = self.log.last_index();
        let Some(peer) = self.peer_of_reply(now, from, term) else {
            return;
        };
        let before = (peer.next_index, peer.offset);
        let is_outstanding = peer.note_reply(now, reply.round);
        if is_outstanding {
            peer.accepts_differences = reply.differences;
        }
        if reply.success {
            peer.note_match(now, reply.index.min(last), last);
        }
        if is_outstanding && reply.success {
            peer.offset = reply.offset;
        }
        let lost_entries =
            is_outstanding && !reply.success && peer.note_mismatch(reply.index, last);
        let moved = before != (peer.next_index, peer.offset);
        let more = is_outstanding && (moved || reply.success) && peer.next_index <= last;
        if lost_entries {
            self.actions.push(Action::Regressed { id: from });
        }
        self.after_reply(now, from, more);
    }

    /// Returns the progress of the peer that replied; steps down if the reply has a higher term.
    pub(super) fn peer_of_reply(
        &mut self,
        now: Duration,
        from: NodeId,
        term: Term,
    ) -> Option<&mut Progress> {
        if term > self.term {
            self.step_down(now, term, None);
        }
        match &mut self.state {
            State::Leader(lead) if term == self.term => lead.peers.get_mut(&from),
            _ => None,
        }
    }

    /// Advances the commit index and sends the next messages after a reply.
    pub(super) fn after_reply(&mut self, now: Duration, from: NodeId, more: bool) {
        self.advance_commit(now);
        self.complete_reads();
        if more {
            self.send_peer(now, from);
        }
        self.send_commit(now);
        self.advance_transfer();
    }

    /// Commits entries up to the highest one of the current term that a quorum holds.
    pub(super) fn advance_commit(&mut self, now: Duration) {
        let State::Leader(lead) = &self.state else {
            return;
        };
        let (own, last) = (self.id, self.log.last_index());
        let holds = |id, index| {
            id == own
                || lead
                    .peers
                    .get(&id)
                    .is_some_and(|p: &Progress| p.match_index >= index)
        };
        let lowest = lead.first_index.max(self.commit + 1);
        if last < lowest {
            return;
        }
        let electorate = self.electorate(&lead.lost);
        let committed = (lowest..=last)
            .rev()
            .find(|i| electorate.has_quorum(|id| holds(id, *i)));
        let Some(commit) = committed else {
            return;
        };
        let had_pending_change = self.has_pending_change();
        self.apply_to(commit);
        if had_pending_change && !self.has_pending_change() {
            self.release_removed_peers(now);
        }
        self.complete_reads();
        self.step_down_if_removed(now);
        self.maybe_compact();
    }
}

fn fragment_of(entry: &Entry, offset: u64) -> Fragment {
    let len = entry.data.len();
    let start = usize::try_from(offset).map_or(0, |offset| if offset < len { offset } else { 0 });
    let end = len.min(start + MAX_PART_BYTES);
    Fragment {
        term: entry.term,
        total: len as u64,
        offset: start as u64,
        data: entry.data.slice(start..end),
    }
}
