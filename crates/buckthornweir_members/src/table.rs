//! The table of known members, with digests for anti-entropy and an order for probing.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use crate::messages::{Fingerprint, Held, Profile, Rumour};
use crate::record::ANY_INSTANCE;
use crate::{Health, Incarnation, Instance, MemberState, NodeId, Record};

/// The number of buckets that digests are kept for.
const BUCKETS: usize = 256;

/// What is known about one node.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) record: Arc<Record>,
    pub(crate) instance: Instance,
    pub(crate) health: Health,
    /// When the health changed last.
    pub(crate) changed: Duration,
}

impl Entry {
    /// Returns the rumour that states this entry, with or without its lasting part.
    ///
    /// A death without the lasting part leaves out what nobody needs of a dead member.
    pub(crate) fn rumour(&self, full: bool) -> Rumour {
        let record = &self.record;
        let brief = self.health == Health::Dead && !full;
        Rumour {
            node: record.node,
            instance: if brief { ANY_INSTANCE } else { self.instance },
            incarnation: record.incarnation,
            health: self.health,
            state: record.state,
            weight: record.weight,
            free: if brief { 0 } else { record.free },
            profile: full.then(|| Profile::of(record)),
        }
    }

    /// Returns what stands for the entry as it is, but for its health, bundle and free slots.
    pub(crate) fn statement(&self) -> Fingerprint {
        self.statement_under(self.record.incarnation)
    }

    fn statement_under(&self, incarnation: Incarnation) -> Fingerprint {
        let record = &self.record;
        let start = u64::from(self.instance) << 32;
        let status = start | (record.state as u64) << 8 | u64::from(record.weight);
        hash([record.node, incarnation, status]) as Fingerprint
    }

    /// Returns the statement that the entry becomes when only its incarnation goes up by one.
    fn next_statement(&self) -> Fingerprint {
        self.statement_under(self.record.incarnation.saturating_add(1))
    }

    /// Returns whether the node left on purpose.
    pub(crate) fn has_left(&self) -> bool {
        self.record.state == MemberState::Left
    }
}

#[derive(Debug, Default)]
struct Bucket {
    /// Nodes in the order of their ring position.
    nodes: Vec<NodeId>,
    digest: u32,
}

/// The table of known members.
#[derive(Debug)]
pub(crate) struct Table {
    own: NodeId,
    entries: BTreeMap<NodeId, Entry>,
    buckets: Vec<Bucket>,
    digest: u32,
    /// The members that are not dead, by their fingerprints.
    marks: BTreeMap<Fingerprint, NodeId>,
    /// The members by the statements that refute what is held about them.
    refutations: BTreeMap<Fingerprint, NodeId>,
    live: Vec<NodeId>,
    dead: BTreeSet<NodeId>,
    generation: u64,
}

impl Table {
    /// Creates a table that holds the own entry.
    pub(crate) fn new(own: Entry) -> Self {
        let mut table = Self {
            own: own.record.node,
            entries: BTreeMap::new(),
            buckets: (0..BUCKETS).map(|_| Bucket::default()).collect(),
            digest: 0,
            marks: BTreeMap::new(),
            refutations: BTreeMap::new(),
            live: Vec::new(),
            dead: BTreeSet::new(),
            generation: 0,
        };
        table.insert(own);
        table
    }

    pub(crate) fn get(&self, node: NodeId) -> Option<&Entry> {
        self.entries.get(&node)
    }

    /// Returns how many nodes are known, dead ones included.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the entry that is not dead and has this fingerprint.
    pub(crate) fn marked(&self, fingerprint: Fingerprint) -> Option<&Entry> {
        self.get(*self.marks.get(&fingerprint)?)
    }

    /// Returns the entry that this statement goes above by one incarnation.
    pub(crate) fn refuted(&self, statement: Fingerprint) -> Option<&Entry> {
        self.get(*self.refutations.get(&statement)?)
    }

    /// Returns the digest of all members that are not dead.
    pub(crate) fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns the digest of each bucket.
    pub(crate) fn digests(&self) -> Vec<u32> {
        self.buckets.iter().map(|bucket| bucket.digest).collect()
    }

    /// Returns the other members that are not dead, in no particular order.
    pub(crate) fn live(&self) -> &[NodeId] {
        &self.live
    }

    /// Returns the dead members.
    pub(crate) fn dead(&self) -> &BTreeSet<NodeId> {
        &self.dead
    }

    /// Returns a number that grows with each change of any member's health.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// Inserts an entry, or replaces the one of the same node.
    pub(crate) fn insert(&mut self, entry: Entry) {
        let node = entry.record.node;
        self.remove(node);
        let position = self.place(node);
        self.buckets[bucket_of(node)].nodes.insert(position, node);
        self.count_in(&entry);
        if entry.health == Health::Dead {
            self.dead.insert(node);
        } else if node != self.own {
            self.live.push(node);
        }
        self.generation += 1;
        self.entries.insert(node, entry);
    }

    /// Changes an entry in place. Does nothing for an unknown node.
    pub(crate) fn update(&mut self, node: NodeId, change: impl FnOnce(&mut Entry)) {
        let Some(mut entry) = self.entries.remove(&node) else {
            return;
        };
        self.count_out(&entry);
        let before = entry.health;
        change(&mut entry);
        self.count_in(&entry);
        if before != entry.health {
            self.generation += 1;
            self.relist(node, before, entry.health);
        }
        self.entries.insert(node, entry);
    }

    /// Removes an entry.
    pub(crate) fn remove(&mut self, node: NodeId) {
        let Some(entry) = self.entries.remove(&node) else {
            return;
        };
        self.count_out(&entry);
        self.relist(node, entry.health, Health::Dead);
        self.dead.remove(&node);
        self.buckets[bucket_of(node)]
            .nodes
            .retain(|&other| other != node);
        self.generation += 1;
    }

    /// Returns the other nodes in ring order, beginning after the own node.
    pub(crate) fn successors(&self) -> impl Iterator<Item = &Entry> {
        let start = bucket_of(self.own);
        let split = self.place(self.own) + 1;
        let (before, after) = self.buckets[start].nodes.split_at(split);
        let rest = (1..BUCKETS).flat_map(move |step| &self.buckets[(start + step) % BUCKETS].nodes);
        let nodes = after.iter().chain(rest).chain(before);
        nodes
            .filter(|&&node| node != self.own)
            .filter_map(|node| self.entries.get(node))
    }

    /// Returns the entries of a bucket.
    pub(crate) fn bucket(&self, bucket: u8) -> impl Iterator<Item = &Entry> {
        let nodes = &self.buckets[usize::from(bucket)].nodes;
        nodes.iter().filter_map(|node| self.entries.get(node))
    }

    /// Returns the versions held in a bucket.
    pub(crate) fn held(&self, bucket: u8) -> Vec<Held> {
        self.bucket(bucket).map(held).collect()
    }

    /// Adds the entry to the digests and fingerprints.
    fn count_in(&mut self, entry: &Entry) {
        let node = entry.record.node;
        self.refutations.insert(entry.next_statement(), node);
        if entry.health == Health::Dead {
            return;
        }
        let fingerprint = entry.record.fingerprint();
        self.marks.insert(fingerprint, node);
        self.toggle(node, fingerprint);
    }

    /// Takes the entry out of the digests and fingerprints.
    fn count_out(&mut self, entry: &Entry) {
        let node = entry.record.node;
        if self.refutations.get(&entry.next_statement()) == Some(&node) {
            self.refutations.remove(&entry.next_statement());
        }
        if entry.health == Health::Dead {
            return;
        }
        let fingerprint = entry.record.fingerprint();
        if self.marks.get(&fingerprint) == Some(&node) {
            self.marks.remove(&fingerprint);
        }
        self.toggle(node, fingerprint);
    }

    fn toggle(&mut self, node: NodeId, fingerprint: Fingerprint) {
        self.buckets[bucket_of(node)].digest ^= fingerprint;
        self.digest ^= fingerprint;
    }

    fn relist(&mut self, node: NodeId, before: Health, after: Health) {
        if before == Health::Dead {
            self.dead.remove(&node);
        }
        if after == Health::Dead {
            self.dead.insert(node);
        }
        if node == self.own {
            return;
        }
        match (before == Health::Dead, after == Health::Dead) {
            (true, false) => self.live.push(node),
            (false, true) => self.live.retain(|&other| other != node),
            _ => {}
        }
    }

    fn place(&self, node: NodeId) -> usize {
        let position = ring_position(node);
        let nodes = &self.buckets[bucket_of(node)].nodes;
        nodes.partition_point(|&other| ring_position(other) < position)
    }
}

/// Returns the version of an entry.
pub(crate) fn held(entry: &Entry) -> Held {
    Held {
        node: entry.record.node,
        incarnation: entry.record.incarnation,
        dead: entry.health == Health::Dead,
    }
}

/// Returns whether the first version is newer than the second.
pub(crate) fn is_newer(first: (Incarnation, bool), second: (Incarnation, bool)) -> bool {
    first > second
}

pub(crate) fn hash<const N: usize>(words: [u64; N]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0, 0);
    for word in words {
        hasher.write_u64(word.to_le());
    }
    hasher.finish()
}

fn ring_position(node: NodeId) -> (u64, NodeId) {
    (hash([node]), node)
}

fn bucket_of(node: NodeId) -> usize {
    (hash([node]) >> 56) as usize
}
