//! What a leader knows of its peers.

use std::time::Duration;

use crate::entry::Index;

/// What a leader knows of one peer.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// Index of the next entry to send.
    pub(super) next: Index,
    /// Last index known to be stored by the peer.
    pub(super) matched: Index,
    /// Bytes that the peer holds of the entry or snapshot being sent.
    pub(super) offset: u64,
    /// Index of the snapshot being sent; zero while entries are sent.
    pub(super) snapshot: Index,
    /// Round whose reply is awaited.
    pub(super) outstanding: Option<u64>,
    /// Highest round that the peer has answered.
    pub(super) confirmed: u64,
    /// Commit index that the peer was last told.
    pub(super) commit: Index,
    /// Whether the peer takes the next entries as differences.
    pub(super) differences: bool,
    /// Time of the last message to the peer.
    pub(super) sent: Duration,
    /// Time at which the leader began to send to the peer.
    pub(super) since: Duration,
    /// Time of the last message from the peer.
    pub(super) heard: Duration,
}

impl Progress {
    pub(super) fn new(next: Index, now: Duration) -> Self {
        Self {
            next,
            matched: 0,
            offset: 0,
            snapshot: 0,
            outstanding: None,
            confirmed: 0,
            commit: 0,
            differences: false,
            sent: now,
            since: now,
            heard: Duration::ZERO,
        }
    }

    /// Notes a reply; tells whether it answers the outstanding message.
    pub(super) fn note_reply(&mut self, now: Duration, round: u64) -> bool {
        self.heard = now;
        self.confirmed = self.confirmed.max(round);
        let answers = self.outstanding == Some(round);
        if answers {
            self.outstanding = None;
        }
        answers
    }

    /// Notes that the peer's log has to be sent from `index` on; tells whether the peer has lost
    /// entries that it had confirmed.
    pub(super) fn note_mismatch(&mut self, index: Index, last: Index) -> bool {
        self.next = index.clamp(1, last + 1);
        self.offset = 0;
        let forgot = self.next <= self.matched;
        self.matched = self.matched.min(self.next - 1);
        forgot
    }

    pub(super) fn note_match(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        if self.next <= self.matched {
            self.next = self.matched + 1;
            self.offset = 0;
        }
    }
}
