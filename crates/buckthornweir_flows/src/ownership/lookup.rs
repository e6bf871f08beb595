//! Owner lookup of one flow.

use std::time::Duration;

use super::held::Held;
use crate::NodeId;
use crate::messages::Forward;
use crate::packet::PacketInfo;
use crate::view::{AgentView, PossibleOwner};

/// Number of members in the first wave; each further wave doubles the number of queried members.
const FIRST_WAVE: usize = 2;

/// Time until the second wave, which also repeats unanswered queries.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Longest time between two waves.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Time until answers become stale, and until a lookup without new packets expires.
pub(super) const LOOKUP_TTL: Duration = Duration::from_secs(10);

/// The owner lookup of one flow.
///
/// Members are queried in descending order of likelihood, in waves of which each doubles the number
/// of queried members.
#[derive(Debug)]
pub(super) struct Lookup {
    pub(super) number: u64,
    /// The [`AgentView::possible_owners_digest`](crate::view::AgentView::possible_owners_digest) at
    /// the start.
    pub(super) digest: u64,
    possible_owners: Vec<PossibleOwner>,
    /// Whether each possible owner has denied owning the flow.
    denied: Vec<bool>,
    denials: usize,
    pub(super) last: PacketInfo,
    pub(super) held: Held,
    /// Highest bundle version in any answer or packet.
    pub(super) newest_version: u64,
    queried: usize,
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
            queried: 0,
            backoff: INITIAL_BACKOFF,
            next: now,
            started: now,
            last_seen: now,
        }
    }

    /// Holds another packet of the flow.
    pub(super) fn hold(&mut self, forward: &Forward, info: &PacketInfo, now: Duration) {
        self.last = *info;
        self.last_seen = now;
        self.newest_version = self.newest_version.max(forward.bundle_version);
        self.held.push(forward);
    }

    /// Restarts the lookup, which discards earlier answers.
    pub(super) fn restart(&mut self, number: u64, view: &AgentView, now: Duration) {
        self.number = number;
        self.digest = view.possible_owners_digest();
        self.possible_owners = view.possible_owners(&self.last.tuple);
        self.newest_version = 0;
        self.denied = vec![false; self.possible_owners.len()];
        self.denials = 0;
        self.queried = 0;
        self.backoff = INITIAL_BACKOFF;
        self.next = now;
        self.started = now;
    }

    /// Returns whether the lookup has received no packet for [`LOOKUP_TTL`].
    pub(super) fn is_expired(&self, now: Duration) -> bool {
        now >= self.last_seen.saturating_add(LOOKUP_TTL)
    }

    /// Returns whether the earliest answers may be stale.
    pub(super) fn is_stale(&self, now: Duration) -> bool {
        now >= self.started.saturating_add(LOOKUP_TTL)
    }

    /// Returns the members to query: a new wave, and the earlier ones that haven't denied.
    pub(super) fn next_wave(&mut self, now: Duration) -> Vec<PossibleOwner> {
        let wave = self.queried.max(FIRST_WAVE);
        self.queried = self
            .queried
            .saturating_add(wave)
            .min(self.possible_owners.len());
        self.next = now.saturating_add(self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        let queried = self.possible_owners[..self.queried]
            .iter()
            .zip(&self.denied);
        queried
            .filter(|&(_, &is_denied)| !is_denied)
            .map(|(peer, _)| peer.clone())
            .collect()
    }

    /// Records the denial of a member.
    pub(super) fn deny(&mut self, node: NodeId) {
        let mut queried = self.possible_owners[..self.queried].iter();
        let index = queried.position(|peer| peer.node == node);
        let Some(index) = index.filter(|&index| !self.denied[index]) else {
            return;
        };
        self.denied[index] = true;
        self.denials += 1;
    }

    /// Returns whether every queried member has denied.
    pub(super) fn is_wave_denied(&self) -> bool {
        self.denials == self.queried
    }

    /// Returns whether every possible owner has denied.
    pub(super) fn is_denied(&self) -> bool {
        self.denials == self.possible_owners.len()
    }
}
