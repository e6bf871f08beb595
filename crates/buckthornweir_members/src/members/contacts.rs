//! Contacts of members beyond a cut, and of seeds.

use std::net::SocketAddr;

use rand::RngExt;

use super::Members;
use crate::messages::Body;

/// The seeds that are contacted at once by a process that knows no other.
const SEEDS_AT_ONCE: usize = 3;

impl Members {
    /// Looks for members beyond a cut: dead ones, and seeds that are no members.
    pub(super) fn tick_contacts(&mut self) {
        if self.now < self.next_contact {
            return;
        }
        self.next_contact = self.now + self.config.contact_interval;
        let table = &self.table;
        let dead = table.dead().iter().copied();
        let gone: Vec<_> = dead
            .filter(|&node| table.get(node).is_some_and(|entry| !entry.has_left()))
            .collect();
        if let Some(node) = self.choose(&gone) {
            self.send_to(node, Body::Ping { sequence: 0 });
        }
        let seeds = self.lost_seeds();
        if let Some(seed) = self.choose(&seeds) {
            self.greet(seed);
        }
    }

    pub(super) fn contact_seeds(&mut self) {
        let mut seeds = self.lost_seeds();
        for _ in 0..SEEDS_AT_ONCE.min(seeds.len()) {
            let index = self.rng.random_range(0..seeds.len());
            self.greet(seeds.swap_remove(index));
        }
    }

    /// Returns the seeds at which no live member is known.
    fn lost_seeds(&self) -> Vec<SocketAddr> {
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
