//! Anti-entropy: finds the buckets that differ from another member's, and fetches their records.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Members;
use crate::budget::Budget;
use crate::messages::{Body, Held, Rumour};
use crate::table::{Entry, held, is_newer};
use crate::{Config, Health, NodeId};

/// The most fetches in flight.
const MAX_FETCHES: usize = 4;

/// The most buckets that one fetch asks for.
const MAX_BUCKETS: usize = 16;

/// The most versions that one fetch shows, unless a single bucket holds more.
const MAX_HELD: usize = 40;

/// The surplus of messages that show another table, from which the own one counts as different.
const DIFFERENCES: u32 = 8;

/// The same while no change arrives, when differences are no changes on their way.
const SETTLED_DIFFERENCES: u32 = 3;

/// The time without a change after which the table counts as settled.
const SETTLED_AFTER: Duration = Duration::from_millis(250);

/// How long a flood of changes may put off a comparison of tables.
const FLOOD_LIMIT: Duration = Duration::from_secs(10);

/// The bytes that the budget must hold for a comparison of tables, so that changes go first.
const SYNC_BYTES: usize = 4_000;

/// How long a fetch may take before another member is asked.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// The time after which a digest that was not answered is sent again.
const DIGEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A request for the records of some buckets.
#[derive(Debug)]
struct Fetch {
    buckets: Vec<u8>,
    deadline: Duration,
}

/// What is left to fetch.
#[derive(Debug)]
pub(super) struct Syncing {
    /// How many more messages showed another table than showed the own one.
    differences: u32,
    compared: bool,
    /// When the last flood of changes will be over.
    calm: Duration,
    /// When a comparison is no longer put off by the present flood.
    flood_end: Duration,
    next_digest: Duration,
    /// The member that answered the last digest.
    source: Option<NodeId>,
    buckets: BTreeSet<u8>,
    fetches: BTreeMap<u32, Fetch>,
    sequence: u32,
    /// Limits fetches, one token each.
    allowance: Budget,
}

impl Syncing {
    pub(super) fn new(config: &Config) -> Self {
        Self {
            differences: 0,
            compared: false,
            calm: Duration::ZERO,
            flood_end: Duration::ZERO,
            next_digest: Duration::ZERO,
            source: None,
            buckets: BTreeSet::new(),
            fetches: BTreeMap::new(),
            sequence: 0,
            allowance: Budget::new(config.catch_up, config.catch_up),
        }
    }

    pub(super) fn refill(&mut self, now: Duration) {
        self.allowance.refill(now);
    }

    /// Drops the fetches in flight and asks again.
    pub(super) fn clear(&mut self) {
        let lost = std::mem::take(&mut self.fetches);
        self.buckets
            .extend(lost.into_values().flat_map(|fetch| fetch.buckets));
    }

    /// Asks again for what was not answered in time, and elsewhere.
    fn expire(&mut self, now: Duration) {
        let late = self
            .fetches
            .extract_if(.., |_, fetch| now >= fetch.deadline);
        let late: Vec<_> = late.flat_map(|(_, fetch)| fetch.buckets).collect();
        if !late.is_empty() {
            self.source = None;
            self.buckets.extend(late);
        }
    }

    fn may_fetch(&self) -> bool {
        let room = self.fetches.len() < MAX_FETCHES && self.allowance.available() > 0;
        room && !self.buckets.is_empty()
    }
}

impl Members {
    /// Compares the digest in a message's header with the own one.
    pub(super) fn note_digest(&mut self, from: SocketAddr, digest: u32) {
        if self.config.rosters {
            return self.note_table(digest);
        }
        let differences = self.syncing.differences;
        if digest == self.table.digest() {
            self.syncing.differences = differences.saturating_sub(1);
            self.syncing.compared = true;
            return;
        }
        if self.syncing.compared && self.is_flooded() {
            self.syncing.differences = 0;
            return;
        }
        self.syncing.differences = (differences + 1).min(DIFFERENCES);
        let limit = if self.now >= self.changed + SETTLED_AFTER {
            SETTLED_DIFFERENCES
        } else {
            DIFFERENCES
        };
        let lasting = self.syncing.differences >= limit || !self.syncing.compared;
        let idle = self.syncing.buckets.is_empty() && self.syncing.fetches.is_empty();
        let affordable = self.budget.available() >= SYNC_BYTES || !self.syncing.compared;
        if lasting && idle && affordable && self.now >= self.syncing.next_digest {
            self.send_digest(from);
        }
    }

    /// Returns whether so many changes are on their way that tables can't be equal yet.
    fn is_flooded(&mut self) -> bool {
        if self.now >= self.syncing.calm {
            self.syncing.flood_end = self.now + FLOOD_LIMIT;
        }
        if self.rumours.is_flood() || self.has_many_suspects() {
            self.syncing.calm = self.now + SETTLED_AFTER;
        }
        self.now < self.syncing.calm.min(self.syncing.flood_end)
    }

    fn send_digest(&mut self, to: SocketAddr) {
        self.syncing.next_digest = self.now + DIGEST_TIMEOUT;
        let buckets = self.table.digests();
        if self.send_optional(to, Body::Digest { buckets }, Vec::new()) {
            self.counters.digests += 1;
        }
    }

    pub(super) fn handle_digest(&mut self, from: SocketAddr, digests: &[u32]) {
        let own = self.table.digests();
        let pairs = own.iter().zip(digests).zip(0..=u8::MAX);
        let differing = pairs.filter(|((own, other), _)| own != other);
        let buckets = differing.map(|(_, bucket)| bucket).collect();
        self.send_optional(from, Body::Differ { buckets }, Vec::new());
    }

    pub(super) fn handle_differ(&mut self, sender: NodeId, buckets: &[u8]) {
        self.syncing.compared = true;
        self.syncing.differences = 0;
        self.syncing.next_digest = self.now + self.config.sync_interval;
        self.syncing.source = Some(sender);
        self.syncing.buckets.extend(buckets);
        self.fetch_buckets();
    }

    pub(super) fn tick_sync(&mut self) {
        self.syncing.expire(self.now);
        self.fetch_buckets();
    }

    /// Asks for the next buckets: the member that answered the digest first, then random ones.
    fn fetch_buckets(&mut self) {
        while self.syncing.may_fetch() {
            let source = self.syncing.source.take().or_else(|| self.random_live());
            let Some(to) = source.and_then(|node| self.table.get(node)) else {
                return;
            };
            let to = to.record.gossip;
            let (buckets, held) = self.next_buckets();
            self.syncing.sequence = self.syncing.sequence.wrapping_add(1);
            let sequence = self.syncing.sequence;
            let body = Body::Fetch {
                sequence,
                buckets: buckets.clone(),
                held,
            };
            let message = self.message(body, Vec::new());
            self.transmit(to, message);
            self.counters.fetches += 1;
            self.syncing.allowance.spend(1);
            let deadline = self.now + FETCH_TIMEOUT;
            self.syncing
                .fetches
                .insert(sequence, Fetch { buckets, deadline });
        }
    }

    /// Takes as many buckets as one fetch asks for, with the versions held in them.
    fn next_buckets(&mut self) -> (Vec<u8>, Vec<Held>) {
        let mut buckets = Vec::new();
        let mut shown = Vec::new();
        while let Some(&bucket) = self.syncing.buckets.first() {
            let more = self.table.held(bucket);
            if !buckets.is_empty() && shown.len() + more.len() > MAX_HELD {
                break;
            }
            self.syncing.buckets.pop_first();
            buckets.push(bucket);
            shown.extend(more);
            if buckets.len() == MAX_BUCKETS {
                break;
            }
        }
        shown.truncate(self.held_limit());
        (buckets, shown)
    }

    /// Returns how many versions fit into one message.
    fn held_limit(&self) -> usize {
        const HELD_BYTES: usize = 8 + 9 + 1;
        const MARGIN: usize = 48;
        let room = self.room(&self.message(Body::Gossip, Vec::new()));
        room.saturating_sub(MARGIN) / HELD_BYTES
    }

    pub(super) fn handle_fetch(
        &mut self,
        from: SocketAddr,
        sequence: u32,
        buckets: &[u8],
        shown: &[Held],
    ) {
        let shown: BTreeMap<NodeId, Held> = shown.iter().map(|held| (held.node, *held)).collect();
        let entries = buckets.iter().flat_map(|&bucket| self.table.bucket(bucket));
        let newer = entries.filter_map(|entry| newer_than(entry, shown.get(&entry.record.node)));
        let (rumours, all) = self.cut(
            &Body::Chunk {
                sequence,
                more: true,
            },
            newer.collect(),
        );
        self.send_optional(
            from,
            Body::Chunk {
                sequence,
                more: !all,
            },
            rumours,
        );
        let nodes = self.older_than(&shown);
        if !nodes.is_empty() {
            self.send_optional(from, Body::Want { nodes }, Vec::new());
        }
    }

    /// Returns the nodes of which the other member showed a newer version.
    fn older_than(&self, shown: &BTreeMap<NodeId, Held>) -> Vec<NodeId> {
        let newer = shown
            .values()
            .filter(|other| match self.table.get(other.node) {
                Some(entry) => {
                    let own = held(entry);
                    is_newer((other.incarnation, other.dead), (own.incarnation, own.dead))
                }
                None => !other.dead,
            });
        newer.map(|other| other.node).collect()
    }

    pub(super) fn handle_chunk(&mut self, sequence: u32, more: bool) {
        if let Some(fetch) = self.syncing.fetches.remove(&sequence)
            && more
        {
            self.syncing.buckets.extend(fetch.buckets);
        }
        self.fetch_buckets();
    }
}

/// Returns the statement of an entry, when it is newer than what the other member showed.
fn newer_than(entry: &Entry, shown: Option<&Held>) -> Option<Rumour> {
    let Some(other) = shown else {
        return (entry.health != Health::Dead).then(|| entry.rumour(true));
    };
    let own = held(entry);
    let newer = is_newer((own.incarnation, own.dead), (other.incarnation, other.dead));
    newer.then(|| entry.rumour(false))
}
