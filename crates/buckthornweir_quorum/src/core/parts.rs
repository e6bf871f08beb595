//! Reassembly of entries and snapshots that are sent in parts.

use bytes::Bytes;

use crate::entry::{Index, Term};

/// Identifies the entry or snapshot that parts belong to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct PartKey {
    /// Index of the entry, or last index that the snapshot covers.
    pub(super) index: Index,
    /// Term of the entry; zero for a snapshot.
    pub(super) term: Term,
    /// Total size, in bytes.
    pub(super) total: u64,
}

/// Buffer of the contiguous parts received so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct PartBuffer {
    key: PartKey,
    data: Vec<u8>,
}

impl PartBuffer {
    /// Adds a part; returns the complete data once all parts have arrived.
    ///
    /// A part with another key, or at offset zero, resets the buffer. An out-of-order part is
    /// dropped.
    pub(super) fn add(&mut self, key: PartKey, offset: u64, data: &[u8]) -> Option<Bytes> {
        if self.key != key || offset == 0 {
            *self = Self {
                key,
                data: Vec::new(),
            };
        }
        if offset != self.data.len() as u64 {
            return None;
        }
        self.data.extend_from_slice(data);
        if (self.data.len() as u64) < key.total {
            return None;
        }
        Some(std::mem::take(self).data.into())
    }

    /// Returns the number of buffered bytes for `index`.
    pub(super) fn received_bytes(&self, index: Index) -> u64 {
        if self.key.index == index {
            self.data.len() as u64
        } else {
            0
        }
    }
}
