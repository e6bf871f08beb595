//! Contacts dead members and seeds, so that the fabric reunites after a network partition.

use std::collections::VecDeque;
use std::net::SocketAddr;

use rand::RngExt;

use super::Members;
use crate::messages::Body;

/// The number of seeds that a process without live members contacts at once.
const SEEDS_AT_ONCE: usize = 3;

/// The maximum number of unanswered introductions that are remembered.
const MAX_UNANSWERED: usize = 16;

/// The addresses to which this node has sent its record and that have not answered since.
///
/// The processes there may hold this node as a member although it doesn't know them.
#[derive(Debug, Default)]
pub(super) struct Introductions {
    /// The latest introduction last.
    unanswered: VecDeque<SocketAddr>,
}

impl Introductions {
    pub(super) fn note_sent(&mut self, to: SocketAddr) {
        self.note_answer(to);
        if self.unanswered.len() == MAX_UNANSWERED {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back(to);
    }

    pub(super) fn note_answer(&mut self, from: SocketAddr) {
        self.unanswered.retain(|address| *address != from);
    }

    pub(super) fn unanswered(&self) -> impl Iterator<Item = SocketAddr> {
        self.unanswered.iter().copied()
    }
}

impl Members {
    /// Contacts a random dead member that has not left and a random seed without a live member, either of which
    /// may be reachable again after a network partition.
    pub(super) fn tick_contacts(&mut self) {
        if self.now < self.next_contact {
            return;
        }
        self.next_contact = self.now + self.config.contact_interval;
        let table = &self.table;
        let dead = table.dead().iter().copied();
        let dead_nodes: Vec<_> = dead
            .filter(|&node| table.get(node).is_some_and(|entry| !entry.has_left()))
            .collect();
        if let Some(node) = self.choose(&dead_nodes) {
            self.send_to(node, Body::Ping { sequence: 0 });
        }
        let seeds = self.unknown_seeds();
        if let Some(seed) = self.choose(&seeds) {
            self.send_introduction(seed);
        }
    }

    pub(super) fn contact_seeds(&mut self) {
        let mut seeds = self.unknown_seeds();
        for _ in 0..SEEDS_AT_ONCE.min(seeds.len()) {
            let index = self.rng.random_range(0..seeds.len());
            self.send_introduction(seeds.swap_remove(index));
        }
    }

    /// Returns the seed addresses that no live member uses.
    fn unknown_seeds(&self) -> Vec<SocketAddr> {
        let own = self.own().gossip;
        let live = self
            .table
            .live()
            .iter()
            .filter_map(|&node| self.table.get(node));
        let used: Vec<_> = live
            .map(|entry| entry.record.gossip)
            .filter(|address| self.seeds.contains(address))
            .collect();
        let seeds = self.seeds.iter().copied();
        seeds
            .filter(|seed| *seed != own && !used.contains(seed))
            .collect()
    }
}
