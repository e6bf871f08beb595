//! The search for the owner of one flow.

use std::time::Duration;

use super::held::Held;
use crate::NodeId;
use crate::messages::Forward;
use crate::packet::PacketInfo;
use crate::view::{AgentView, PossibleOwner};

/// Number of members that are asked first; each wave asks twice as many as the last one.
const FIRST_WAVE: usize = 2;

/// Time after which the next wave is asked, and members that haven't answered are asked again.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Longest time between two waves.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Time after which answers no longer count.
pub(super) const LIFETIME: Duration = Duration::from_secs(10);

/// The search for the owner of one flow.
#[derive(Debug)]
pub(super) struct Lookup {
    pub(super) number: u64,
    /// What [`AgentView::possible_owners_digest`](crate::view::AgentView::possible_owners_digest) gave at the start.
    pub(super) digest: u64,
    possible_owners: Vec<PossibleOwner>,
    /// For each peer, whether it has said that it isn't the owner.
    denied: Vec<bool>,
    denials: usize,
    pub(super) last: PacketInfo,
    pub(super) held: Held,
    /// Newest bundle version that an answer or a packet told.
    pub(super) newest_version: u64,
    asked: usize,
    backoff: Duration,
    /// Time of the next wave.
    pub(super) next: Duration,
    started: Duration,
    last_seen: Duration,
}

impl Lookup {
    pub(super) fn new(number: u64, view: &AgentView, last: PacketInfo, now: Duration) -> Self {
        let possible_owners = view.possible_owners(&last.tuple);
        Self {
            number,
            digest: view.possible_owners_digest(),
            denied: vec![false; possible_owners.len()],
            denials: 0,
            possible_owners,
            last,
            held: Held::default(),
            newest_version: 0,
            asked: 0,
            backoff: INITIAL_BACKOFF,
            next: now,
            started: now,
            last_seen: now,
        }
    }

    /// Takes another packet of the flow.
    pub(super) fn hold(&mut self, forward: &Forward, info: &PacketInfo, now: Duration) {
        self.last = *info;
        self.last_seen = now;
        self.newest_version = self.newest_version.max(forward.bundle_version);
        self.held.push(forward);
    }

    /// Starts over: earlier answers no longer count.
    pub(super) fn restart(&mut self, number: u64, view: &AgentView, now: Duration) {
        self.number = number;
        self.digest = view.possible_owners_digest();
        self.possible_owners = view.possible_owners(&self.last.tuple);
        self.newest_version = 0;
        self.denied = vec![false; self.possible_owners.len()];
        self.denials = 0;
        self.asked = 0;
        self.backoff = INITIAL_BACKOFF;
        self.next = now;
        self.started = now;
    }

    /// Returns whether no packet has come for so long that the search is pointless.
    pub(super) fn is_expired(&self, now: Duration) -> bool {
        now >= self.last_seen.saturating_add(LIFETIME)
    }

    /// Returns whether its first answers are too old to count.
    pub(super) fn is_stale(&self, now: Duration) -> bool {
        now >= self.started.saturating_add(LIFETIME)
    }

    /// Returns the members to ask now: those that haven't answered, and a wave of new ones.
    pub(super) fn next_wave(&mut self, now: Duration) -> Vec<PossibleOwner> {
        let wave = self.asked.max(FIRST_WAVE);
        self.asked = self
            .asked
            .saturating_add(wave)
            .min(self.possible_owners.len());
        self.next = now.saturating_add(self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        let asked = self.possible_owners[..self.asked].iter().zip(&self.denied);
        asked
            .filter(|&(_, &is_denied)| !is_denied)
            .map(|(peer, _)| peer.clone())
            .collect()
    }

    /// Takes the answer that a member isn't the owner.
    pub(super) fn deny(&mut self, node: NodeId) {
        let mut asked = self.possible_owners[..self.asked].iter();
        let index = asked.position(|peer| peer.node == node);
        let Some(index) = index.filter(|&index| !self.denied[index]) else {
            return;
        };
        self.denied[index] = true;
        self.denials += 1;
    }

    /// Returns whether every member that was asked isn't the owner.
    pub(super) fn is_wave_denied(&self) -> bool {
        self.denials == self.asked
    }

    /// Returns whether no member is the owner.
    pub(super) fn is_denied(&self) -> bool {
        self.denials == self.possible_owners.len()
    }
}
