//! The queue of changes that are still to be spread.

use std::collections::{BTreeMap, VecDeque};

use crate::messages::{Fingerprint, MAX_ENTRIES, Rumour};
use crate::table::{Entry, Table};
use crate::{Health, MemberState, NodeId};

/// Orders the changes that wait for room in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    /// A member that takes no new work.
    Leaving,
    /// A death, or the refutation of a death or suspicion.
    Health,
    /// A new member, state or weight.
    Change,
    /// A suspicion. Not spread in a flood, where most suspicions are right.
    Doubt,
    /// A report of free slots.
    Report,
}

/// The length from which the queue counts as a flood.
const FLOOD: usize = 16;

/// The copies of each change that are sent in a flood.
const FLOOD_COPIES: usize = 8;

/// The copies of each death or refutation in a list that are sent in a flood.
const LISTED_COPIES: usize = 10;

/// The length from which the queue counts as a large flood.
const LARGE_FLOOD: usize = 128;

/// The copies of each change that are sent in a large flood.
const LARGE_FLOOD_COPIES: usize = 5;

/// The copies of each full record that are sent in a flood. Anti-entropy carries the rest.
const FULL_COPIES: usize = 2;

/// The bytes of a change in a list.
const LISTED_BYTES: usize = 4;

/// The bytes of the first change in a list, with the list's tag and length.
const FIRST_LISTED_BYTES: usize = LISTED_BYTES + 3;

/// The most nodes that are remembered as changed last.
const MAX_RECENT: usize = 64;

#[derive(Debug)]
struct Item {
    priority: Priority,
    full: bool,
    sent: usize,
    pushed: usize,
}

/// How often changes are sent.
struct Limits {
    /// Copies of a change without the lasting part of the record.
    brief: usize,
    /// Copies of a full record.
    full: usize,
    /// Copies of a change in a list.
    listed: usize,
}

impl Limits {
    fn of(&self, statement: &Statement) -> usize {
        match statement {
            Statement::Rumour(rumour) if rumour.profile.is_some() => self.full,
            Statement::Rumour(_) => self.brief,
            Statement::Death(_) | Statement::Refutation(_) => self.listed,
        }
    }
}

/// What was taken from the queue for one message.
#[derive(Debug, Default)]
pub(crate) struct Taken {
    pub(crate) rumours: Vec<Rumour>,
    /// Deaths in a flood, a fingerprint each.
    pub(crate) deaths: Vec<Fingerprint>,
    /// Refutations in a flood, a fingerprint each.
    pub(crate) refutations: Vec<Fingerprint>,
    /// The nodes that both are about.
    pub(crate) nodes: Vec<NodeId>,
}

/// The queue of changes that are still to be spread, one per node.
#[derive(Debug, Default)]
pub(crate) struct Rumours {
    items: BTreeMap<NodeId, Item>,
    /// The nodes that changed last, the oldest first.
    recent: VecDeque<NodeId>,
}

impl Rumours {
    /// Queues the present entry of a node, with its lasting part when `full`.
    pub(crate) fn push(&mut self, node: NodeId, priority: Priority, full: bool) {
        if priority == Priority::Doubt && self.is_flood() {
            return;
        }
        if priority < Priority::Doubt {
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

    /// Returns the nodes that changed last.
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

    /// Returns whether more changes wait than are sent with the usual number of copies.
    pub(crate) fn is_flood(&self) -> bool {
        self.items.len() >= FLOOD
    }

    /// Drops the full records of other members, which comparison of tables brings as well.
    pub(crate) fn drop_records(&mut self, own: NodeId) {
        self.items
            .retain(|&node, item| !item.full || node == own || item.priority != Priority::Change);
    }

    /// Drops what is queued about a node.
    pub(crate) fn remove(&mut self, node: NodeId) {
        self.items.remove(&node);
    }

    /// Returns whether a change has not yet been sent at once to `fan_out` members.
    pub(crate) fn is_fresh(&self, fan_out: usize) -> bool {
        self.items
            .values()
            .any(|item| item.priority < Priority::Report && item.pushed < fan_out)
    }

    /// Counts one round of sending fresh changes, made of `copies` messages.
    pub(crate) fn count_push(&mut self, nodes: &[NodeId], copies: usize) {
        for node in nodes {
            if let Some(item) = self.items.get_mut(node) {
                item.pushed += copies;
            }
        }
    }

    /// Takes the rumours that fit into `room` bytes for a message that is sent `copies` times, the
    /// most urgent first, and drops those that were sent `limit` times.
    pub(crate) fn take(
        &mut self,
        table: &Table,
        mut room: usize,
        copies: usize,
        limit: usize,
    ) -> Taken {
        let mut taken = Taken::default();
        if self.items.is_empty() {
            return taken;
        }
        let flood = self.is_flood();
        let limits = self.limits(limit);
        for node in self.order() {
            if flood && self.is_doubt(node) {
                self.items.remove(&node);
                continue;
            }
            let Some(statement) = self.state(table, node, flood) else {
                self.items.remove(&node);
                continue;
            };
            let length = taken.cost(&statement);
            if length > room {
                break;
            }
            room -= length;
            self.count(node, copies, limits.of(&statement));
            taken.add(node, statement);
        }
        taken
    }

    fn is_doubt(&self, node: NodeId) -> bool {
        self.items
            .get(&node)
            .is_some_and(|item| item.priority == Priority::Doubt)
    }

    fn order(&self) -> Vec<NodeId> {
        let mut nodes: Vec<_> = self.items.iter().collect();
        nodes.sort_by_key(|(_, item)| (item.priority, item.sent));
        nodes.into_iter().map(|(&node, _)| node).collect()
    }

    fn state(&self, table: &Table, node: NodeId, flood: bool) -> Option<Statement> {
        let item = self.items.get(&node)?;
        let entry = table.get(node)?;
        Some(if flood && !item.full && is_plain_death(entry) {
            Statement::Death(entry.record.fingerprint())
        } else if flood && !item.full && is_plain_refutation(entry, item) {
            Statement::Refutation(entry.statement())
        } else {
            Statement::Rumour(Box::new(entry.rumour(item.full)))
        })
    }

    /// Returns how often changes are sent, given the length of the queue.
    fn limits(&self, usual: usize) -> Limits {
        let (brief, full) = match self.items.len() {
            LARGE_FLOOD.. => (LARGE_FLOOD_COPIES, FULL_COPIES),
            FLOOD.. => (FLOOD_COPIES, FULL_COPIES),
            _ => (usual, usual),
        };
        Limits {
            brief: brief.min(usual),
            full: full.min(usual),
            listed: LISTED_COPIES.min(usual),
        }
    }

    /// Counts copies of a change, and drops it when it was sent often enough.
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

/// A change as it rides on a message.
enum Statement {
    Rumour(Box<Rumour>),
    Death(Fingerprint),
    Refutation(Fingerprint),
}

impl Taken {
    /// Returns the bytes that the statement adds to the message.
    fn cost(&self, statement: &Statement) -> usize {
        match statement {
            Statement::Rumour(rumour) => rumour.encoded_len(),
            Statement::Death(_) => listed_cost(&self.deaths),
            Statement::Refutation(_) => listed_cost(&self.refutations),
        }
    }

    fn add(&mut self, node: NodeId, statement: Statement) {
        self.nodes.push(node);
        match statement {
            Statement::Rumour(rumour) => self.rumours.push(*rumour),
            Statement::Death(fingerprint) => self.deaths.push(fingerprint),
            Statement::Refutation(fingerprint) => self.refutations.push(fingerprint),
        }
    }
}

/// Returns the bytes that one more change adds to a list.
fn listed_cost(list: &[Fingerprint]) -> usize {
    match list.len() {
        0 => FIRST_LISTED_BYTES,
        MAX_ENTRIES.. => usize::MAX,
        _ => LISTED_BYTES,
    }
}

/// Returns whether the change is that the member lives, and nothing else.
fn is_plain_refutation(entry: &Entry, item: &Item) -> bool {
    entry.health == Health::Alive && item.priority == Priority::Health
}

/// Returns whether the entry is that of a member that died without having left.
fn is_plain_death(entry: &Entry) -> bool {
    entry.health == Health::Dead && entry.record.state != MemberState::Left
}
