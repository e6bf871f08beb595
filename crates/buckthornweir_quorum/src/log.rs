//! The in-memory log: a snapshot and the entries after it.

use std::collections::VecDeque;

use crate::entry::{Entry, Index, Payload, Snapshot, Term};
use crate::members::Members;

/// A snapshot and the entries that follow it without a gap.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Log {
    pub(crate) snapshot: Snapshot,
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            snapshot,
            ..Self::default()
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    pub(crate) fn last_index(&self) -> Index {
        self.snapshot.index + self.entries.len() as Index
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot.term, |e| e.term)
    }

    /// Returns the term of the entry at `index`, unless it was compacted or is not yet present.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the size of the entries after the snapshot, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.bytes += entry.data.len();
        self.entries.push_back(entry);
    }

    /// Returns the entries after the snapshot.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Returns the entries before `index`, newest first.
    pub(crate) fn entries_before(&self, index: Index) -> impl Iterator<Item = &Entry> {
        self.entries.iter().rev().filter(move |e| e.index < index)
    }

    /// Removes all entries from `from` on.
    pub(crate) fn truncate(&mut self, from: Index) {
        while self.last_index() >= from {
            let Some(entry) = self.entries.pop_back() else {
                return;
            };
            self.bytes -= entry.data.len();
        }
    }

    /// Replaces the entries that `snapshot` covers.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        while self
            .entries
            .front()
            .is_some_and(|e| e.index <= snapshot.index)
        {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= entry.data.len();
        }
        self.snapshot = snapshot;
    }

    /// Replaces the whole log with `snapshot`.
    pub(crate) fn replace(&mut self, snapshot: Snapshot) {
        *self = Self {
            snapshot,
            ..Self::default()
        };
    }

    /// Returns the members as of `index`, with the index of the entry or snapshot that set them.
    pub(crate) fn members_at(&self, index: Index) -> (Index, Members) {
        let covered = self.entries.iter().rev().filter(|e| e.index <= index);
        for entry in covered {
            if let Ok(Payload::Members(members)) = Payload::decode(&entry.data) {
                return (entry.index, members);
            }
        }
        (self.snapshot.index, self.snapshot.members.clone())
    }
}
