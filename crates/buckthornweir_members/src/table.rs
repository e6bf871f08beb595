//! The table of known members, with digests for anti-entropy and a ring order for probing.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use crate::messages::{Fingerprint, Profile, RecordVersion, Rumour};
use crate::record::ANY_INSTANCE;
use crate::{Health, Incarnation, Instance, MemberState, NodeId, Record};

/// The number of buckets, each with its own digest.
const BUCKETS: usize = 256;

/// The state of one node.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) record: Arc<Record>,
    pub(crate) instance: Instance,
    pub(crate) health: Health,
    /// When the health last changed.
    pub(crate) changed: Duration,
}

impl Entry {
    /// Returns a rumour about this entry, with the static part of its record if `full`.
    ///
    /// A death without the static part omits the instance and the free slots, which don't matter for a dead
    /// member.
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

    /// Returns a hash of the entry that excludes its health, bundle and free slots.
    pub(crate) fn state_fingerprint(&self) -> Fingerprint {
        self.fingerprint_at(self.record.incarnation)
    }

    fn fingerprint_at(&self, incarnation: Incarnation) -> Fingerprint {
        let record = &self.record;
        let start = u64::from(self.instance) << 32;
        let status = start | (record.state as u64) << 8 | u64::from(record.weight);
        hash([record.node, incarnation, status]) as Fingerprint
    }

    /// Returns the state fingerprint after an increment of the incarnation without any other change.
    fn refutation_fingerprint(&self) -> Fingerprint {
        self.fingerprint_at(self.record.incarnation.saturating_add(1))
    }

    /// Returns whether the node left voluntarily.
    pub(crate) fn has_left(&self) -> bool {
        self.record.state == MemberState::Left
    }
}

#[derive(Debug, Default)]
struct Bucket {
    /// Nodes ordered by ring position.
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
    /// The members that are not dead, by fingerprint.
    live_fingerprints: BTreeMap<Fingerprint, NodeId>,
    /// The members by the state fingerprint that refutes their entry.
    refutations: BTreeMap<Fingerprint, NodeId>,
    live: Vec<NodeId>,
    dead: BTreeSet<NodeId>,
    generation: u64,
}

impl Table {
    /// Creates a table that contains only this node's entry.
    pub(crate) fn new(own: Entry) -> Self {
        let mut table = Self {
            own: own.record.node,
            entries: BTreeMap::new(),
            buckets: (0..BUCKETS).map(|_| Bucket::default()).collect(),
            digest: 0,
            live_fingerprints: BTreeMap::new(),
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

    /// Returns the number of known nodes, including dead ones.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the entry with this fingerprint, unless it is dead.
    pub(crate) fn by_fingerprint(&self, fingerprint: Fingerprint) -> Option<&Entry> {
        self.get(*self.live_fingerprints.get(&fingerprint)?)
    }

    /// Returns the entry whose state fingerprint becomes `fingerprint` after one increment of the
    /// incarnation.
    pub(crate) fn by_refutation(&self, fingerprint: Fingerprint) -> Option<&Entry> {
        self.get(*self.refutations.get(&fingerprint)?)
    }

    /// Returns the digest of all members that are not dead.
    pub(crate) fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns the digest of each bucket.
    pub(crate) fn digests(&self) -> Vec<u32> {
        self.buckets.iter().map(|bucket| bucket.digest).collect()
    }

    /// Returns the other members that are not dead, in arbitrary order.
    pub(crate) fn live(&self) -> &[NodeId] {
        &self.live
    }

    /// Returns the dead members.
    pub(crate) fn dead(&self) -> &BTreeSet<NodeId> {
        &self.dead
    }

    /// Returns a counter that increases with each change of a member's health.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// Inserts an entry and replaces any existing entry of the node.
    pub(crate) fn insert(&mut self, entry: Entry) {
        let node = entry.record.node;
        self.remove(node);
        let position = self.bucket_position(node);
        self.buckets[bucket_of(node)].nodes.insert(position, node);
        self.index(&entry);
        if entry.health == Health::Dead {
            self.dead.insert(node);
        } else if node != self.own {
            self.live.push(node);
        }
        self.generation += 1;
        self.entries.insert(node, entry);
    }

    /// Modifies an entry in place. Does nothing if the node is unknown.
    pub(crate) fn update(&mut self, node: NodeId, change: impl FnOnce(&mut Entry)) {
        let Some(mut entry) = self.entries.remove(&node) else {
            return;
        };
        self.unindex(&entry);
        let before = entry.health;
        change(&mut entry);
        self.index(&entry);
        if before != entry.health {
            self.generation += 1;
            self.update_lists(node, before, entry.health);
        }
        self.entries.insert(node, entry);
    }

    /// Removes an entry.
    pub(crate) fn remove(&mut self, node: NodeId) {
        let Some(entry) = self.entries.remove(&node) else {
            return;
        };
        self.unindex(&entry);
        self.update_lists(node, entry.health, Health::Dead);
        self.dead.remove(&node);
        self.buckets[bucket_of(node)]
            .nodes
            .retain(|&other| other != node);
        self.generation += 1;
    }

    /// Returns the other nodes in ring order, starting after this node.
    pub(crate) fn successors(&self) -> impl Iterator<Item = &Entry> {
        let start = bucket_of(self.own);
        let split = self.bucket_position(self.own) + 1;
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

    /// Returns the record versions in a bucket.
    pub(crate) fn versions(&self, bucket: u8) -> Vec<RecordVersion> {
        self.bucket(bucket).map(version_of).collect()
    }

    /// Adds the entry to the digests and fingerprints.
    fn index(&mut self, entry: &Entry) {
        let node = entry.record.node;
        self.refutations
            .insert(entry.refutation_fingerprint(), node);
        if entry.health == Health::Dead {
            return;
        }
        let fingerprint = entry.record.fingerprint();
        self.live_fingerprints.insert(fingerprint, node);
        self.toggle_digest(node, fingerprint);
    }

    /// Removes the entry from the digests and fingerprints.
    fn unindex(&mut self, entry: &Entry) {
        let node = entry.record.node;
        if self.refutations.get(&entry.refutation_fingerprint()) == Some(&node) {
            self.refutations.remove(&entry.refutation_fingerprint());
        }
        if entry.health == Health::Dead {
            return;
        }
        let fingerprint = entry.record.fingerprint();
        if self.live_fingerprints.get(&fingerprint) == Some(&node) {
            self.live_fingerprints.remove(&fingerprint);
        }
        self.toggle_digest(node, fingerprint);
    }

    fn toggle_digest(&mut self, node: NodeId, fingerprint: Fingerprint) {
        self.buckets[bucket_of(node)].digest ^= fingerprint;
        self.digest ^= fingerprint;
    }

    fn update_lists(&mut self, node: NodeId, before: Health, after: Health) {
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

    fn bucket_position(&self, node: NodeId) -> usize {
        let position = ring_position(node);
        let nodes = &self.buckets[bucket_of(node)].nodes;
        nodes.partition_point(|&other| ring_position(other) < position)
    }
}

/// Returns the record version of an entry.
pub(crate) fn version_of(entry: &Entry) -> RecordVersion {
    RecordVersion {
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
