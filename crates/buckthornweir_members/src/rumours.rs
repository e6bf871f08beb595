//! The queue of changes that are still to be spread.

use std::collections::BTreeMap;

use crate::NodeId;
use crate::messages::Rumour;
use crate::table::Table;

/// Orders the changes that wait for room in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    /// A member that takes no new work.
    Leaving,
    /// A suspicion, a death or its refutation.
    Health,
    /// A new member, state or weight.
    Change,
    /// A report of free slots.
    Report,
}

#[derive(Debug)]
struct Item {
    priority: Priority,
    full: bool,
    sent: u32,
    pushed: u32,
}

/// The queue of changes that are still to be spread, one per node.
#[derive(Debug, Default)]
pub(crate) struct Rumours {
    items: BTreeMap<NodeId, Item>,
}

impl Rumours {
    /// Queues the present entry of a node, with its lasting part when `full`.
    pub(crate) fn push(&mut self, node: NodeId, priority: Priority, full: bool) {
        let pending = self.items.remove(&node).is_some_and(|item| item.full);
        let item = Item {
            priority,
            full: full || pending,
            sent: 0,
            pushed: 0,
        };
        self.items.insert(node, item);
    }

    /// Drops what is queued about a node.
    pub(crate) fn remove(&mut self, node: NodeId) {
        self.items.remove(&node);
    }

    /// Returns whether a change has not yet been sent at once to `fan_out` members.
    pub(crate) fn is_fresh(&self, fan_out: u32) -> bool {
        self.items
            .values()
            .any(|item| item.priority < Priority::Report && item.pushed < fan_out)
    }

    /// Counts one round of sending fresh changes, made of `copies` messages.
    pub(crate) fn count_push(&mut self, nodes: &[Rumour], copies: u32) {
        for rumour in nodes {
            if let Some(item) = self.items.get_mut(&rumour.node) {
                item.pushed += copies;
            }
        }
    }

    /// Takes the rumours that fit into `room` bytes, the most urgent first, and drops those that
    /// were sent `limit` times.
    pub(crate) fn take(&mut self, table: &Table, mut room: usize, limit: u32) -> Vec<Rumour> {
        if self.items.is_empty() {
            return Vec::new();
        }
        let mut taken = Vec::new();
        for node in self.order() {
            let Some(rumour) = self.state(table, node) else {
                self.items.remove(&node);
                continue;
            };
            let length = rumour.encoded_len();
            if length > room {
                break;
            }
            room -= length;
            taken.push(rumour);
            self.count(node, limit);
        }
        taken
    }

    fn order(&self) -> Vec<NodeId> {
        let mut nodes: Vec<_> = self.items.iter().collect();
        nodes.sort_by_key(|(_, item)| (item.priority, item.sent));
        nodes.into_iter().map(|(&node, _)| node).collect()
    }

    fn state(&self, table: &Table, node: NodeId) -> Option<Rumour> {
        let item = self.items.get(&node)?;
        Some(table.get(node)?.rumour(item.full))
    }

    fn count(&mut self, node: NodeId, limit: u32) {
        let Some(item) = self.items.get_mut(&node) else {
            return;
        };
        item.sent += 1;
        if item.sent >= limit {
            self.items.remove(&node);
        }
    }
}
