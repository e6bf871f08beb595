//! Entries and snapshots of which parts have arrived.

use bytes::Bytes;

use crate::entry::{Index, Term};

/// Names what the parts belong to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct PartKey {
    /// Index of the entry, or of the last entry that the snapshot covers.
    pub(super) index: Index,
    /// Term of the entry; zero for a snapshot.
    pub(super) term: Term,
    /// Size of the whole, in bytes.
    pub(super) total: u64,
}

/// PartBuffer that have arrived in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct PartBuffer {
    key: PartKey,
    data: Vec<u8>,
}

impl PartBuffer {
    /// Adds a part; returns the whole once it is complete.
    ///
    /// A part of something else, or a first part, begins anew. A part out of order is dropped.
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

    /// Returns the bytes held of what belongs to `index`.
    pub(super) fn received_bytes(&self, index: Index) -> u64 {
        if self.key.index == index {
            self.data.len() as u64
        } else {
            0
        }
    }
}
