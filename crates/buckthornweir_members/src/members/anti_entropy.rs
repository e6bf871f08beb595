//! Anti-entropy: compares digests of buckets with another member and fetches the records that differ.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Members;
use crate::budget::Budget;
use crate::messages::{Body, RecordVersion, Rumour};
use crate::table::{Entry, is_newer, version_of};
use crate::{Config, Health, NodeId};

/// The maximum number of fetches in flight.
const MAX_FETCHES: usize = 4;

/// The maximum number of buckets in one fetch.
const MAX_BUCKETS: usize = 16;

/// The maximum number of record versions in one fetch, unless a single bucket has more.
const MAX_VERSIONS: usize = 40;

/// The surplus of messages with a different table digest at which the table counts as different.
const DIFFERENCE_THRESHOLD: u32 = 8;

/// The same threshold without recent changes, when a difference isn't caused by changes in flight.
const SETTLED_THRESHOLD: u32 = 3;

/// The time without a change after which the table counts as settled.
const SETTLED_AFTER: Duration = Duration::from_millis(250);

/// The maximum time that a flood of changes postpones a comparison of tables.
const FLOOD_LIMIT: Duration = Duration::from_secs(10);

/// The minimum byte budget for a comparison of tables, so that changes are sent first.
const MIN_SYNC_BYTES: usize = 4_000;

/// The timeout of a fetch, after which another member is asked.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// The timeout of a digest, after which it may be sent again.
const DIGEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A request for the records of some buckets.
#[derive(Debug)]
struct Fetch {
    buckets: Vec<u8>,
    deadline: Duration,
}

/// The state of table comparison and of the fetches that follow.
#[derive(Debug)]
pub(super) struct AntiEntropy {
    /// The surplus of messages with a different table digest over those with an equal one.
    differences: u32,
    compared: bool,
    /// When the last flood of changes counts as over.
    flood_expiry: Duration,
    /// When the current flood stops postponing a comparison.
    flood_deadline: Duration,
    next_digest: Duration,
    /// The member that answered the last digest.
    source: Option<NodeId>,
    buckets: BTreeSet<u8>,
    fetches: BTreeMap<u32, Fetch>,
    sequence: u32,
    /// Limits the rate of fetches, at one token each.
    fetch_budget: Budget,
}

impl AntiEntropy {
    pub(super) fn new(config: &Config) -> Self {
        Self {
            differences: 0,
            compared: false,
            flood_expiry: Duration::ZERO,
            flood_deadline: Duration::ZERO,
            next_digest: Duration::ZERO,
            source: None,
            buckets: BTreeSet::new(),
            fetches: BTreeMap::new(),
            sequence: 0,
            fetch_budget: Budget::new(config.fetch_rate, config.fetch_rate),
        }
    }

    pub(super) fn refill(&mut self, now: Duration) {
        self.fetch_budget.refill(now);
    }

    /// Drops the fetches in flight and queues their buckets again.
    pub(super) fn clear(&mut self) {
        let dropped = std::mem::take(&mut self.fetches);
        self.buckets
            .extend(dropped.into_values().flat_map(|fetch| fetch.buckets));
    }

    /// Queues the buckets of timed-out fetches again, for another member.
    fn expire(&mut self, now: Duration) {
        let expired = self
            .fetches
            .extract_if(.., |_, fetch| now >= fetch.deadline);
        let expired: Vec<_> = expired.flat_map(|(_, fetch)| fetch.buckets).collect();
        if !expired.is_empty() {
            self.source = None;
            self.buckets.extend(expired);
        }
    }

    fn may_fetch(&self) -> bool {
        let room = self.fetches.len() < MAX_FETCHES && self.fetch_budget.available() > 0;
        room && !self.buckets.is_empty()
    }
}

impl Members {
    /// Compares the table digest in a message's header with this node's digest.
    pub(super) fn compare_digest(&mut self, from: SocketAddr, digest: u32) {
        if self.config.rosters {
            return self.compare_table(digest);
        }
        let differences = self.anti_entropy.differences;
        if digest == self.table.digest() {
            self.anti_entropy.differences = differences.saturating_sub(1);
            self.anti_entropy.compared = true;
            return;
        }
        if self.anti_entropy.compared && self.is_flooded() {
            self.anti_entropy.differences = 0;
            return;
        }
        self.anti_entropy.differences = (differences + 1).min(DIFFERENCE_THRESHOLD);
        let limit = if self.now >= self.changed + SETTLED_AFTER {
            SETTLED_THRESHOLD
        } else {
            DIFFERENCE_THRESHOLD
        };
        let persistent = self.anti_entropy.differences >= limit || !self.anti_entropy.compared;
        let idle = self.anti_entropy.buckets.is_empty() && self.anti_entropy.fetches.is_empty();
        let affordable = self.budget.available() >= MIN_SYNC_BYTES || !self.anti_entropy.compared;
        if persistent && idle && affordable && self.now >= self.anti_entropy.next_digest {
            self.send_digest(from);
        }
    }

    /// Returns whether so many changes are in flight that tables can't be expected to be equal.
    fn is_flooded(&mut self) -> bool {
        if self.now >= self.anti_entropy.flood_expiry {
            self.anti_entropy.flood_deadline = self.now + FLOOD_LIMIT;
        }
        if self.rumours.is_flood() || self.has_many_suspects() {
            self.anti_entropy.flood_expiry = self.now + SETTLED_AFTER;
        }
        self.now
            < self
                .anti_entropy
                .flood_expiry
                .min(self.anti_entropy.flood_deadline)
    }

    fn send_digest(&mut self, to: SocketAddr) {
        self.anti_entropy.next_digest = self.now + DIGEST_TIMEOUT;
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
        self.anti_entropy.compared = true;
        self.anti_entropy.differences = 0;
        self.anti_entropy.next_digest = self.now + self.config.sync_interval;
        self.anti_entropy.source = Some(sender);
        self.anti_entropy.buckets.extend(buckets);
        self.fetch_buckets();
    }

    pub(super) fn tick_sync(&mut self) {
        self.anti_entropy.expire(self.now);
        self.fetch_buckets();
    }

    /// Requests the next buckets, first from the member that answered the digest, then from random members.
    fn fetch_buckets(&mut self) {
        while self.anti_entropy.may_fetch() {
            let source = self
                .anti_entropy
                .source
                .take()
                .or_else(|| self.random_live());
            let Some(to) = source.and_then(|node| self.table.get(node)) else {
                return;
            };
            let to = to.record.gossip;
            let (buckets, versions) = self.next_buckets();
            self.anti_entropy.sequence = self.anti_entropy.sequence.wrapping_add(1);
            let sequence = self.anti_entropy.sequence;
            let body = Body::Fetch {
                sequence,
                buckets: buckets.clone(),
                versions,
            };
            let message = self.message(body, Vec::new());
            self.transmit(to, message);
            self.counters.fetches += 1;
            self.anti_entropy.fetch_budget.spend(1);
            let deadline = self.now + FETCH_TIMEOUT;
            self.anti_entropy
                .fetches
                .insert(sequence, Fetch { buckets, deadline });
        }
    }

    /// Takes the buckets for one fetch from the queue, with the record versions in them.
    fn next_buckets(&mut self) -> (Vec<u8>, Vec<RecordVersion>) {
        let mut buckets = Vec::new();
        let mut versions = Vec::new();
        while let Some(&bucket) = self.anti_entropy.buckets.first() {
            let more = self.table.versions(bucket);
            if !buckets.is_empty() && versions.len() + more.len() > MAX_VERSIONS {
                break;
            }
            self.anti_entropy.buckets.pop_first();
            buckets.push(bucket);
            versions.extend(more);
            if buckets.len() == MAX_BUCKETS {
                break;
            }
        }
        versions.truncate(self.version_limit());
        (buckets, versions)
    }

    /// Returns the number of record versions that fit into one message.
    fn version_limit(&self) -> usize {
        const VERSION_BYTES: usize = 8 + 9 + 1;
        const MARGIN: usize = 48;
        let room = self.room(&self.message(Body::Gossip, Vec::new()));
        room.saturating_sub(MARGIN) / VERSION_BYTES
    }

    pub(super) fn handle_fetch(
        &mut self,
        from: SocketAddr,
        sequence: u32,
        buckets: &[u8],
        versions: &[RecordVersion],
    ) {
        let versions: BTreeMap<NodeId, RecordVersion> = versions
            .iter()
            .map(|version| (version.node, *version))
            .collect();
        let entries = buckets.iter().flat_map(|&bucket| self.table.bucket(bucket));
        let newer =
            entries.filter_map(|entry| newer_rumour(entry, versions.get(&entry.record.node)));
        let (rumours, all) = self.fit(
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
        let nodes = self.outdated_nodes(&versions);
        if !nodes.is_empty() {
            self.send_optional(from, Body::Want { nodes }, Vec::new());
        }
    }

    /// Returns the nodes for which the other member has a newer version.
    fn outdated_nodes(&self, versions: &BTreeMap<NodeId, RecordVersion>) -> Vec<NodeId> {
        let newer = versions
            .values()
            .filter(|other| match self.table.get(other.node) {
                Some(entry) => {
                    let own = version_of(entry);
                    is_newer((other.incarnation, other.dead), (own.incarnation, own.dead))
                }
                None => !other.dead,
            });
        newer.map(|other| other.node).collect()
    }

    pub(super) fn handle_chunk(&mut self, sequence: u32, more: bool) {
        if let Some(fetch) = self.anti_entropy.fetches.remove(&sequence)
            && more
        {
            self.anti_entropy.buckets.extend(fetch.buckets);
        }
        self.fetch_buckets();
    }
}

/// Returns a rumour about an entry if it is newer than the other member's version.
fn newer_rumour(entry: &Entry, known: Option<&RecordVersion>) -> Option<Rumour> {
    let Some(other) = known else {
        return (entry.health != Health::Dead).then(|| entry.rumour(true));
    };
    let own = version_of(entry);
    let newer = is_newer((own.incarnation, own.dead), (other.incarnation, other.dead));
    newer.then(|| entry.rumour(false))
}
