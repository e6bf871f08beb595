//! Delta encoding of entries: a push is sent as its difference from the previous push.
//!
//! A difference names its base and its target by digest, so a member either reconstructs exactly
//! the entry of the leader or requests the whole entry. Only messages carry differences; the log,
//! the disk and snapshots hold whole entries.

use buckthornweir_bundle::TextDifference;
use bytes::Bytes;

use super::{Core, State};
use crate::bundles::{Bundle, Command};
use crate::entry::{Entry, Index, MAX_ENTRY_BYTES, Payload, Result};
use crate::messages::{Append, EntryPart};

/// Maximum total size of the entries of one message after differences are applied, in bytes.
pub(super) const MAX_EXPANDED_BYTES: usize = 2 * MAX_ENTRY_BYTES;

/// Entries decoded from a message.
pub(super) struct ReceivedEntries {
    /// The entries up to the first one that could not be reconstructed.
    pub(super) entries: Vec<Entry>,
    /// Whether the bases of all differences were available.
    pub(super) has_all_bases: bool,
}

impl Core {
    /// Returns the difference between `entry` and the previous push, if it is smaller than the
    /// entry.
    pub(super) fn difference_of(&mut self, entry: &Entry) -> Option<Bytes> {
        let State::Leader(lead) = &self.state else {
            return None;
        };
        if let Some(cached) = lead.differences.get(&entry.index) {
            return cached.clone();
        }
        let difference = self.make_difference(entry);
        let compacted = self.log.snapshot.index;
        if let State::Leader(lead) = &mut self.state {
            lead.differences.retain(|index, _| *index > compacted);
            lead.differences.insert(entry.index, difference.clone());
        }
        difference
    }

    fn make_difference(&self, entry: &Entry) -> Option<Bytes> {
        let base = self.previous_push(entry.index)?;
        let difference = TextDifference::encode_if_smaller(&base, &entry.data)?;
        Some(difference.into())
    }

    /// Returns the last encoded push before `index`, from the log or from the applied bundles.
    fn previous_push(&self, index: Index) -> Option<Bytes> {
        let logged = self.previous_logged_push(index);
        logged.or_else(|| self.bundles.newest_before(index).map(encoded_push))
    }

    fn previous_logged_push(&self, index: Index) -> Option<Bytes> {
        let mut before = self.log.entries_before(index);
        before.find(|e| is_push(e)).map(|e| e.data.clone())
    }

    /// Decodes the entries of a message, up to the first difference that cannot be applied.
    pub(super) fn read_entries(&self, append: &Append) -> Result<ReceivedEntries> {
        let mut received = ReceivedEntries {
            entries: Vec::new(),
            has_all_bases: true,
        };
        let mut size = 0;
        for (index, part) in (append.prev_index.saturating_add(1)..).zip(&append.entries) {
            let Some(data) = self.entry_data(&received.entries, index, part) else {
                received.has_all_bases = false;
                break;
            };
            size += data.len();
            if size > MAX_EXPANDED_BYTES {
                break;
            }
            Payload::decode(&data)?;
            received.entries.push(Entry {
                index,
                term: part.term,
                data,
            });
        }
        Ok(received)
    }

    fn entry_data(&self, before: &[Entry], index: Index, part: &EntryPart) -> Option<Bytes> {
        if part.difference.is_empty() {
            return Some(part.data.clone());
        }
        let difference = TextDifference::from_bytes(&part.difference).ok()?;
        let received = before.iter().rev().find(|e| is_push(e));
        let first_index = index - before.len() as Index;
        let base = match received {
            Some(entry) => Some(entry.data.clone()),
            None => self.previous_push(first_index),
        };
        let data = base.and_then(|base| difference.apply(&base).ok());
        data.map(Bytes::from)
    }
}

fn is_push(entry: &Entry) -> bool {
    let payload = Payload::decode(&entry.data);
    matches!(
        payload,
        Ok(Payload::Command(Command::Push(_) | Command::Replace(_)))
    )
}

fn encoded_push(bundle: &Bundle) -> Bytes {
    Payload::Command(Command::Push(bundle.clone())).encode()
}
