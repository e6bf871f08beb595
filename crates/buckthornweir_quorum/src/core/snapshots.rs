//! Log compaction, and the transfer and installation of snapshots.

use std::time::Duration;

use super::parts::PartKey;
use super::{Action, Core, State};
use crate::bundles::Bundles;
use crate::entry::{Index, Snapshot, Term};
use crate::members::NodeId;
use crate::messages::{Kind, MAX_PART_BYTES, SnapshotPart, SnapshotReply};
use crate::storage::{Record, Reset};

/// Ratio of the size of the entries to the size of the state that triggers compaction.
const COMPACTION_RATIO: usize = 4;
/// Lower limit of the size of the entries that triggers compaction, in bytes.
const MIN_COMPACTION_BYTES: usize = 64 * 1024;

impl Core {
    /// Replaces the applied entries with a snapshot once their number or size reaches its
    /// threshold.
    pub(super) fn maybe_compact(&mut self) {
        let covered = self.commit - self.log.snapshot.index;
        let many = covered >= self.config.compact_entries as Index;
        let large = self.log.bytes() >= self.compact_size();
        if covered == 0 || !(many || large) {
            return;
        }
        let snapshot = Snapshot {
            cluster: self.cluster(),
            index: self.commit,
            term: self.log.term_at(self.commit).unwrap_or_default(),
            members: self.log.members_at(self.commit).1,
            state: self.bundles.encode(),
        };
        self.log.compact(snapshot);
        self.record_reset();
    }

    /// Returns the size of the entries that triggers compaction, in bytes.
    ///
    /// A member that catches up receives the snapshot and the entries after it, so the entries are
    /// kept in proportion to the snapshot.
    fn compact_size(&self) -> usize {
        let state = self.log.snapshot.state.len();
        let threshold = (state * COMPACTION_RATIO).max(MIN_COMPACTION_BYTES);
        threshold.min(self.config.compact_bytes)
    }

    /// Replaces the state with a snapshot; returns whether the state now covers it.
    pub(super) fn install(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.index <= self.commit {
            return true;
        }
        let Ok(bundles) = Bundles::decode(snapshot.state.clone()) else {
            return false;
        };
        let index = snapshot.index;
        match self.log.term_at(index) == Some(snapshot.term) {
            true => self.log.compact(snapshot),
            false => self.log.replace(snapshot),
        }
        self.bundles = bundles;
        self.commit = index;
        self.reload_members();
        self.record_reset();
        self.actions.push(Action::Installed { index });
        true
    }

    fn record_reset(&mut self) {
        let reset = Reset {
            term: self.term,
            vote: self.vote,
            snapshot: self.log.snapshot.clone(),
            entries: self.log.entries().cloned().collect(),
        };
        self.records.push(Record::Reset(Box::new(reset)));
    }

    pub(super) fn snapshot_part(&mut self, to: NodeId, round: u64) -> Option<Kind> {
        let index = self.log.snapshot.index;
        let State::Leader(lead) = &mut self.state else {
            return None;
        };
        let encoded = match &lead.encoded_snapshot {
            Some((cached, encoded)) if *cached == index => encoded.clone(),
            Some(_) | None => self.log.snapshot.encode(),
        };
        lead.encoded_snapshot = Some((index, encoded.clone()));
        let peer = lead.peers.get_mut(&to)?;
        if peer.snapshot_index != index {
            peer.snapshot_index = index;
            peer.offset = 0;
        }
        let start = usize::try_from(peer.offset).ok()?.min(encoded.len());
        let end = encoded.len().min(start + MAX_PART_BYTES);
        let data = encoded.slice(start..end);
        let (total, offset) = (encoded.len() as u64, start as u64);
        Some(Kind::Snapshot(SnapshotPart {
            round,
            index,
            total,
            offset,
            data,
        }))
    }

    pub(super) fn on_snapshot(
        &mut self,
        now: Duration,
        from: NodeId,
        term: Term,
        part: &SnapshotPart,
    ) {
        let (round, index) = (part.round, part.index);
        if term >= self.term {
            self.follow_leader(now, from, term);
        }
        let done = term == self.term && self.add_snapshot_part(part);
        let offset = self.snapshot_parts.received_bytes(index);
        self.send(
            from,
            Kind::SnapshotReply(SnapshotReply {
                round,
                index,
                offset,
                done,
            }),
        );
    }

    fn add_snapshot_part(&mut self, part: &SnapshotPart) -> bool {
        if part.index <= self.commit {
            return true;
        }
        let key = PartKey {
            index: part.index,
            term: 0,
            total: part.total,
        };
        let Some(data) = self.snapshot_parts.add(key, part.offset, &part.data) else {
            return false;
        };
        let Ok(snapshot) = Snapshot::decode(data) else {
            return false;
        };
        let same_cluster = self.cluster() == 0 || self.cluster() == snapshot.cluster;
        same_cluster && snapshot.index == part.index && self.install(snapshot)
    }

    pub(super) fn on_snapshot_reply(
        &mut self,
        now: Duration,
        from: NodeId,
        term: Term,
        reply: SnapshotReply,
    ) {
        let last = self.log.last_index();
        let Some(peer) = self.peer_of_reply(now, from, term) else {
            return;
        };
        let is_outstanding = peer.note_reply(now, reply.round);
        let before = (peer.next_index, peer.offset);
        if reply.done {
            peer.note_match(now, reply.index.min(last), last);
        } else if is_outstanding && reply.index == peer.snapshot_index {
            peer.offset = reply.offset;
        }
        let more =
            is_outstanding && before != (peer.next_index, peer.offset) && peer.next_index <= last;
        self.after_reply(now, from, more);
    }
}
