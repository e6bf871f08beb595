//! Replication progress of the peers of a leader.

use std::time::Duration;

use crate::entry::Index;

/// Replication progress of one peer, as known to the leader.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// Index of the next entry to send.
    pub(super) next_index: Index,
    /// Highest index known to be stored by the peer.
    pub(super) match_index: Index,
    /// Last index of the log at `target_at`; once the peer holds it, the next target is set.
    target_index: Index,
    /// Time at which the target was set.
    target_at: Duration,
    /// Time as of which the peer is known to hold the whole log.
    synced_at: Option<Duration>,
    /// Bytes of the current entry or snapshot that the peer has buffered.
    pub(super) offset: u64,
    /// Index of the last snapshot that was sent; zero if none was.
    pub(super) snapshot_index: Index,
    /// Round whose reply is pending.
    pub(super) outstanding_round: Option<u64>,
    /// Highest round that the peer has replied to.
    pub(super) confirmed_round: u64,
    /// Commit index in the last message to the peer.
    pub(super) sent_commit: Index,
    /// Whether the next entries may be sent to the peer as differences.
    pub(super) accepts_differences: bool,
    /// Time of the last message to the peer.
    pub(super) last_sent: Duration,
    /// Time at which the leader started tracking the peer.
    pub(super) tracked_since: Duration,
    /// Time of the last reply from the peer.
    pub(super) last_reply: Duration,
    /// Time until which the announcement of the peer's planned stop is valid.
    pub(super) leaving_until: Duration,
}

impl Progress {
    pub(super) fn new(next_index: Index, now: Duration) -> Self {
        Self {
            next_index,
            match_index: 0,
            target_index: next_index - 1,
            target_at: now,
            synced_at: None,
            offset: 0,
            snapshot_index: 0,
            outstanding_round: None,
            confirmed_round: 0,
            sent_commit: 0,
            accepts_differences: false,
            last_sent: now,
            tracked_since: now,
            last_reply: Duration::ZERO,
            leaving_until: Duration::ZERO,
        }
    }

    /// Returns whether the peer holds the whole log up to `last`, or did so within `tolerance`.
    ///
    /// While pushes follow one another, a peer that keeps up with them is always some entries behind.
    pub(super) fn is_caught_up(&self, now: Duration, last: Index, tolerance: Duration) -> bool {
        let is_recent = |synced| now <= synced + tolerance;
        self.match_index >= last || self.synced_at.is_some_and(is_recent)
    }

    /// Records a reply; returns whether it matches the outstanding round.
    pub(super) fn note_reply(&mut self, now: Duration, round: u64) -> bool {
        self.last_reply = now;
        self.confirmed_round = self.confirmed_round.max(round);
        let is_outstanding = self.outstanding_round == Some(round);
        if is_outstanding {
            self.outstanding_round = None;
        }
        is_outstanding
    }

    /// Records that entries must be sent to the peer from `index` on; returns whether the peer lost
    /// entries that it had confirmed.
    pub(super) fn note_mismatch(&mut self, index: Index, last: Index) -> bool {
        self.next_index = index.clamp(1, last + 1);
        self.offset = 0;
        let lost_entries = self.next_index <= self.match_index;
        self.match_index = self.match_index.min(self.next_index - 1);
        lost_entries
    }

    /// Records that the peer holds the log up to `index`; `last` is the last index of the log.
    pub(super) fn note_match(&mut self, now: Duration, index: Index, last: Index) {
        self.match_index = self.match_index.max(index);
        if self.match_index >= self.target_index {
            self.synced_at = Some(self.target_at);
            self.target_index = last;
            self.target_at = now;
        }
        if self.next_index <= self.match_index {
            self.next_index = self.match_index + 1;
            self.offset = 0;
        }
    }
}
