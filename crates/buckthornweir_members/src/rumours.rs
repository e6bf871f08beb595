//! The queue of changes to piggyback on messages.

use std::collections::{BTreeMap, VecDeque};

use crate::messages::{Fingerprint, MAX_ENTRIES, Rumour};
use crate::table::{Entry, Table};
use crate::{Health, MemberState, NodeId};

/// The order in which queued changes are put into messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    /// A member that accepts no new work.
    Leaving,
    /// A death, or the refutation of a death or suspicion.
    Health,
    /// A new member, state or weight.
    Change,
    /// A suspicion. Not spread during a flood, when most suspicions are correct.
    Suspicion,
    /// A report of free slots.
    Report,
}

/// The minimum queue length of a flood.
const FLOOD_LENGTH: usize = 16;

/// The number of copies of each change sent during a flood.
const FLOOD_COPIES: usize = 8;

/// The number of copies of each death or refutation sent as a fingerprint during a flood.
const FINGERPRINT_COPIES: usize = 10;

/// The minimum queue length of a large flood.
const LARGE_FLOOD_LENGTH: usize = 128;

/// The number of copies of each change sent during a large flood.
const LARGE_FLOOD_COPIES: usize = 5;

/// The number of copies of each full record sent during a flood. Anti-entropy reaches the remaining members.
const FULL_COPIES: usize = 2;

/// The encoded length of a fingerprint.
const FINGERPRINT_BYTES: usize = 4;

/// The encoded length of the first fingerprint in a list, including the list's tag and length.
const FIRST_FINGERPRINT_BYTES: usize = FINGERPRINT_BYTES + 3;

/// The maximum number of recently changed nodes that are remembered.
const MAX_RECENT: usize = 64;

#[derive(Debug)]
struct Item {
    priority: Priority,
    full: bool,
    sent: usize,
    pushed: usize,
}

/// The maximum number of copies of each kind of change.
struct CopyLimits {
    /// Copies of a change without the static part of the record.
    brief: usize,
    /// Copies of a full record.
    full: usize,
    /// Copies of a death or refutation sent as a fingerprint.
    fingerprint: usize,
}

impl CopyLimits {
    fn of(&self, update: &Update) -> usize {
        match update {
            Update::Rumour(rumour) if rumour.profile.is_some() => self.full,
            Update::Rumour(_) => self.brief,
            Update::Death(_) | Update::Refutation(_) => self.fingerprint,
        }
    }
}

/// The changes taken from the queue for one message.
#[derive(Debug, Default)]
pub(crate) struct RumourBatch {
    pub(crate) rumours: Vec<Rumour>,
    /// Fingerprints of deaths, used during a flood.
    pub(crate) deaths: Vec<Fingerprint>,
    /// Fingerprints of refutations, used during a flood.
    pub(crate) refutations: Vec<Fingerprint>,
    /// The nodes of all these changes.
    pub(crate) nodes: Vec<NodeId>,
}

/// The queue of changes to piggyback on messages, with at most one change per node.
#[derive(Debug, Default)]
pub(crate) struct RumourQueue {
    items: BTreeMap<NodeId, Item>,
    /// Recently changed nodes, the oldest first.
    recent: VecDeque<NodeId>,
}

impl RumourQueue {
    /// Queues the current entry of a node, with the static part of its record if `full`.
    pub(crate) fn push(&mut self, node: NodeId, priority: Priority, full: bool) {
        if priority == Priority::Suspicion && self.is_flood() {
            return;
        }
        if priority < Priority::Suspicion {
            self.remember(node);
        }
        let pending = self.items.remove(&node).is_some_and(|item| item.full);
        let item = Item {
            priority,
            full: full || pending,
            sent: 0,
            pushed: 0,
        };
        self.items.insert(node, item);
    }

    /// Returns recently changed nodes, the oldest first.
    pub(crate) fn recent(&self) -> &VecDeque<NodeId> {
        &self.recent
    }

    fn remember(&mut self, node: NodeId) {
        self.recent.retain(|&other| other != node);
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(node);
    }

    /// Returns whether the queue is so long that fewer copies of each change are sent.
    pub(crate) fn is_flood(&self) -> bool {
        self.items.len() >= FLOOD_LENGTH
    }

    /// Drops the full records of other members, which anti-entropy delivers as well.
    pub(crate) fn drop_records(&mut self, own: NodeId) {
        self.items
            .retain(|&node, item| !item.full || node == own || item.priority != Priority::Change);
    }

    /// Drops the queued change of a node.
    pub(crate) fn remove(&mut self, node: NodeId) {
        self.items.remove(&node);
    }

    /// Returns whether a change, other than a report, was pushed to fewer than `fan_out` members.
    pub(crate) fn has_unpushed(&self, fan_out: usize) -> bool {
        self.items
            .values()
            .any(|item| item.priority < Priority::Report && item.pushed < fan_out)
    }

    /// Records that the changes of these nodes were pushed in `copies` messages.
    pub(crate) fn count_push(&mut self, nodes: &[NodeId], copies: usize) {
        for node in nodes {
            if let Some(item) = self.items.get_mut(node) {
                item.pushed += copies;
            }
        }
    }

    /// Takes the changes that fit into `room` bytes, the most urgent first, for a message that is sent
    /// `copies` times.
    ///
    /// Drops changes that have been sent `limit` times, or less often during a flood.
    pub(crate) fn take(
        &mut self,
        table: &Table,
        mut room: usize,
        copies: usize,
        limit: usize,
    ) -> RumourBatch {
        let mut batch = RumourBatch::default();
        if self.items.is_empty() {
            return batch;
        }
        let flood = self.is_flood();
        let limits = self.limits(limit);
        for node in self.order() {
            if flood && self.is_suspicion(node) {
                self.items.remove(&node);
                continue;
            }
            let Some(update) = self.update_for(table, node, flood) else {
                self.items.remove(&node);
                continue;
            };
            let length = batch.cost(&update);
            if length > room {
                break;
            }
            room -= length;
            self.count(node, copies, limits.of(&update));
            batch.add(node, update);
        }
        batch
    }

    fn is_suspicion(&self, node: NodeId) -> bool {
        self.items
            .get(&node)
            .is_some_and(|item| item.priority == Priority::Suspicion)
    }

    fn order(&self) -> Vec<NodeId> {
        let mut nodes: Vec<_> = self.items.iter().collect();
        nodes.sort_by_key(|(_, item)| (item.priority, item.sent));
        nodes.into_iter().map(|(&node, _)| node).collect()
    }

    fn update_for(&self, table: &Table, node: NodeId, flood: bool) -> Option<Update> {
        let item = self.items.get(&node)?;
        let entry = table.get(node)?;
        Some(if flood && !item.full && is_plain_death(entry) {
            Update::Death(entry.record.fingerprint())
        } else if flood && !item.full && is_plain_refutation(entry, item) {
            Update::Refutation(entry.state_fingerprint())
        } else {
            Update::Rumour(Box::new(entry.rumour(item.full)))
        })
    }

    /// Returns the maximum number of copies for the current length of the queue.
    fn limits(&self, usual: usize) -> CopyLimits {
        let (brief, full) = match self.items.len() {
            LARGE_FLOOD_LENGTH.. => (LARGE_FLOOD_COPIES, FULL_COPIES),
            FLOOD_LENGTH.. => (FLOOD_COPIES, FULL_COPIES),
            _ => (usual, usual),
        };
        CopyLimits {
            brief: brief.min(usual),
            full: full.min(usual),
            fingerprint: FINGERPRINT_COPIES.min(usual),
        }
    }

    /// Counts sent copies of a change and drops the change once it reaches `limit`.
    fn count(&mut self, node: NodeId, copies: usize, limit: usize) {
        let Some(item) = self.items.get_mut(&node) else {
            return;
        };
        item.sent += copies;
        if item.sent >= limit {
            self.items.remove(&node);
        }
    }
}

/// A change in the form in which it is put into a message.
enum Update {
    Rumour(Box<Rumour>),
    Death(Fingerprint),
    Refutation(Fingerprint),
}

impl RumourBatch {
    /// Returns the length in bytes that the update adds to the message.
    fn cost(&self, update: &Update) -> usize {
        match update {
            Update::Rumour(rumour) => rumour.encoded_len(),
            Update::Death(_) => fingerprint_cost(&self.deaths),
            Update::Refutation(_) => fingerprint_cost(&self.refutations),
        }
    }

    fn add(&mut self, node: NodeId, update: Update) {
        self.nodes.push(node);
        match update {
            Update::Rumour(rumour) => self.rumours.push(*rumour),
            Update::Death(fingerprint) => self.deaths.push(fingerprint),
            Update::Refutation(fingerprint) => self.refutations.push(fingerprint),
        }
    }
}

/// Returns the length in bytes that one more fingerprint adds to a list.
fn fingerprint_cost(list: &[Fingerprint]) -> usize {
    match list.len() {
        0 => FIRST_FINGERPRINT_BYTES,
        MAX_ENTRIES.. => usize::MAX,
        _ => FINGERPRINT_BYTES,
    }
}

/// Returns whether the change only states that the member is alive.
fn is_plain_refutation(entry: &Entry, item: &Item) -> bool {
    entry.health == Health::Alive && item.priority == Priority::Health
}

/// Returns whether the member died without having left.
fn is_plain_death(entry: &Entry) -> bool {
    entry.health == Health::Dead && entry.record.state != MemberState::Left
}
