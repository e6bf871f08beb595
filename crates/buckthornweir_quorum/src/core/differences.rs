//! Entries as differences: a push travels as what changed since the push before it.
//!
//! A difference names its base and its result by digests, so a member makes exactly the leader's entry
//! or asks for the whole. Only messages hold differences; logs, disks and snapshots hold whole entries.

use buckthornweir_bundle::TextDifference;
use bytes::Bytes;

use super::{Core, State};
use crate::bundles::{Bundle, Command};
use crate::entry::{ENTRY_LIMIT, Entry, Index, Payload, Result};
use crate::messages::{Append, EntryPart};

/// Largest size of the entries that one message stands for, in bytes.
pub(super) const WHOLE_LIMIT: usize = 2 * ENTRY_LIMIT;

/// Entries of a message.
pub(super) struct Received {
    /// The entries that could be made.
    pub(super) entries: Vec<Entry>,
    /// Whether all differences had their base here.
    pub(super) had_bases: bool,
}

impl Core {
    /// Returns the difference that makes `entry` from the push before it, if that saves bytes.
    pub(super) fn difference_of(&mut self, entry: &Entry) -> Option<Bytes> {
        let State::Leader(lead) = &self.state else {
            return None;
        };
        if let Some(known) = lead.differences.get(&entry.index) {
            return known.clone();
        }
        let made = self.make_difference(entry);
        let compacted = self.log.snapshot.index;
        if let State::Leader(lead) = &mut self.state {
            lead.differences.retain(|index, _| *index > compacted);
            lead.differences.insert(entry.index, made.clone());
        }
        made
    }

    fn make_difference(&self, entry: &Entry) -> Option<Bytes> {
        let base = self.push_before(entry.index)?;
        let difference = TextDifference::encode_if_smaller(&base, &entry.data)?;
        Some(difference.into())
    }

    /// Returns the encoded push before `index`: an entry of the log, or a bundle that was applied.
    fn push_before(&self, index: Index) -> Option<Bytes> {
        let logged = self.logged_push_before(index);
        logged.or_else(|| self.bundles.kept_before(index).map(encoded_push))
    }

    fn logged_push_before(&self, index: Index) -> Option<Bytes> {
        let mut before = self.log.entries_before(index);
        before.find(|e| is_push(e)).map(|e| e.data.clone())
    }

    /// Returns the entries that a message carries, up to the first difference without its base.
    pub(super) fn read_entries(&self, append: &Append) -> Result<Received> {
        let mut received = Received {
            entries: Vec::new(),
            had_bases: true,
        };
        let mut size = 0;
        for (index, part) in (append.prev_index.saturating_add(1)..).zip(&append.entries) {
            let Some(data) = self.entry_data(&received.entries, index, part) else {
                received.had_bases = false;
                break;
            };
            size += data.len();
            if size > WHOLE_LIMIT {
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
        let in_log = index - before.len() as Index;
        let base = match received {
            Some(entry) => Some(entry.data.clone()),
            None => self.push_before(in_log),
        };
        let made = base.and_then(|base| difference.apply(&base).ok());
        made.map(Bytes::from)
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
