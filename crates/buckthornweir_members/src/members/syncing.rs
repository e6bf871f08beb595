//! Anti-entropy: finds the buckets that differ from another member's, and fetches their records.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Members;
use crate::budget::Budget;
use crate::messages::{Body, Held, Rumour};
use crate::table::{held, is_newer};
use crate::{Config, Health, NodeId};

/// The most fetches in flight.
const MAX_FETCHES: usize = 4;

/// How long a fetch may take before another member is asked.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// The shortest time between two digests of a process that has not yet compared its table.
const FIRST_INTERVAL: Duration = Duration::from_millis(1_000);

/// What is left to fetch.
#[derive(Debug)]
pub(super) struct Syncing {
    /// Since when every message showed a table that differs from the own one.
    differs: Option<Duration>,
    compared: bool,
    next_digest: Duration,
    buckets: BTreeSet<u8>,
    fetches: BTreeMap<u8, Duration>,
    /// Limits fetches, one token each.
    allowance: Budget,
}

impl Syncing {
    pub(super) fn new(config: &Config) -> Self {
        Self {
            differs: None,
            compared: false,
            next_digest: Duration::ZERO,
            buckets: BTreeSet::new(),
            fetches: BTreeMap::new(),
            allowance: Budget::new(config.catch_up),
        }
    }

    pub(super) fn refill(&mut self, now: Duration) {
        self.allowance.refill(now);
    }

    pub(super) fn clear(&mut self) {
        let lost = std::mem::take(&mut self.fetches);
        self.buckets.extend(lost.into_keys());
    }
}

impl Members {
    /// Compares the digest in a message's header with the own one.
    pub(super) fn note_digest(&mut self, from: SocketAddr, digest: u32) {
        if digest == self.table.digest() {
            self.syncing.differs = None;
            self.syncing.compared = true;
            return;
        }
        let since = *self.syncing.differs.get_or_insert(self.now);
        let waited = self.now >= since + self.config.sync_interval;
        let idle = self.syncing.buckets.is_empty() && self.syncing.fetches.is_empty();
        let due = self.now >= self.syncing.next_digest;
        if idle && due && (waited || !self.syncing.compared) {
            self.send_digest(from);
        }
    }

    fn send_digest(&mut self, to: SocketAddr) {
        let interval = if self.syncing.compared {
            self.config.sync_interval
        } else {
            FIRST_INTERVAL
        };
        self.syncing.next_digest = self.now + interval;
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

    pub(super) fn handle_differ(&mut self, buckets: &[u8]) {
        self.syncing.compared = true;
        self.syncing.differs = None;
        self.syncing.buckets.extend(buckets);
        self.fetch_buckets();
    }

    pub(super) fn tick_sync(&mut self) {
        let now = self.now;
        let late = self
            .syncing
            .fetches
            .extract_if(.., |_, deadline| now >= *deadline);
        let late: Vec<_> = late.map(|(bucket, _)| bucket).collect();
        self.syncing.buckets.extend(late);
        self.fetch_buckets();
    }

    /// Asks a random member for each of the next buckets.
    fn fetch_buckets(&mut self) {
        while self.syncing.fetches.len() < MAX_FETCHES && self.syncing.allowance.available() > 0 {
            let Some(bucket) = self.syncing.buckets.pop_first() else {
                return;
            };
            let Some(to) = self.random_members(1, None).pop() else {
                return;
            };
            let Some(to) = self.table.get(to).map(|entry| entry.record.gossip) else {
                return;
            };
            let body = Body::Fetch {
                bucket,
                held: self.shown(bucket),
            };
            let message = self.message(body, Vec::new());
            self.transmit(to, message);
            self.counters.fetches += 1;
            self.syncing.allowance.spend(1);
            self.syncing
                .fetches
                .insert(bucket, self.now + FETCH_TIMEOUT);
        }
    }

    /// Returns as many of the versions held in a bucket as fit into one message.
    fn shown(&self, bucket: u8) -> Vec<Held> {
        let mut held = self.table.held(bucket);
        loop {
            let body = Body::Fetch {
                bucket,
                held: held.clone(),
            };
            if self.message(body, Vec::new()).encoded_len() <= self.config.message_size() {
                return held;
            }
            held.truncate(held.len() / 2);
        }
    }

    pub(super) fn handle_fetch(&mut self, from: SocketAddr, bucket: u8, shown: &[Held]) {
        let shown: BTreeMap<NodeId, Held> = shown.iter().map(|held| (held.node, *held)).collect();
        let rumours = self.newer_than(bucket, &shown);
        let body = Body::Chunk {
            bucket,
            more: false,
        };
        let (rumours, all) = self.cut(&body, rumours);
        self.send_optional(from, Body::Chunk { bucket, more: !all }, rumours);
        let nodes = self.older_than(&shown);
        if !nodes.is_empty() {
            self.send_optional(from, Body::Want { nodes }, Vec::new());
        }
    }

    /// Returns the statements of a bucket that are newer than what the other member showed.
    fn newer_than(&self, bucket: u8, shown: &BTreeMap<NodeId, Held>) -> Vec<Rumour> {
        let newer = self.table.bucket(bucket).filter(|entry| {
            let own = held(entry);
            match shown.get(&own.node) {
                Some(other) => {
                    is_newer((own.incarnation, own.dead), (other.incarnation, other.dead))
                }
                None => entry.health != Health::Dead,
            }
        });
        newer.map(|entry| entry.rumour(true)).collect()
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

    pub(super) fn handle_chunk(&mut self, bucket: u8, more: bool) {
        self.syncing.fetches.remove(&bucket);
        if more {
            self.syncing.buckets.insert(bucket);
        }
        self.fetch_buckets();
    }
}
