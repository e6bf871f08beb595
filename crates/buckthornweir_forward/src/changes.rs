//! Recent changes of the known agents.
//!
//! Processes learn of joins and departures at slightly different times, so that their sets of agents
//! differ while agents are replaced. [`Changes`] finds out from fingerprints alone whether recent
//! changes account for such a difference.

use std::collections::{BTreeSet, VecDeque};

use crate::NodeId;
use crate::segment::mix;

/// Salt for hashing the starts of agents.
const MARK_SALT: u64 = 0x5354_4152_5453;

/// Maximum number of recent changes that are considered. Unknown agents are mistaken for a
/// combination of this many with a probability of 1 in 2^32.
const MAX_RECENT: usize = 32;

/// Returns the hash of one start of an agent.
#[must_use]
pub fn mark(node: NodeId, instance: u32) -> u64 {
    mix(mix(node, MARK_SALT), u64::from(instance))
}

/// All combinations of some hashes by exclusive or.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Hashes whose combinations are the same, each at the index of its highest bit, or 0.
    basis: [u64; 64],
}

impl Default for Span {
    fn default() -> Self {
        Self { basis: [0; 64] }
    }
}

impl Span {
    /// Returns the combinations of these hashes.
    #[must_use]
    pub fn of(hashes: impl IntoIterator<Item = u64>) -> Self {
        let mut span = Self::default();
        for hash in hashes {
            let rest = span.reduce(hash);
            if rest != 0 {
                span.basis[rest.ilog2() as usize] = rest;
            }
        }
        span
    }

    /// Returns whether a hash is one of the combinations.
    #[must_use]
    pub fn contains(&self, hash: u64) -> bool {
        self.reduce(hash) == 0
    }

    /// Eliminates the highest bits of a hash for as long as the basis has one with the same bit.
    fn reduce(&self, mut hash: u64) -> u64 {
        while hash != 0 {
            let row = self.basis[hash.ilog2() as usize];
            if row == 0 {
                return hash;
            }
            hash ^= row;
        }
        0
    }
}

/// The agents known to this process, and which of them joined or left last.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    live: BTreeSet<u64>,
    left: BTreeSet<u64>,
    /// Marks of agents that joined or left, the latest last.
    recent: VecDeque<u64>,
    /// Combinations of the recent changes.
    span: Span,
    /// Combination of all marks, by which an update without changes is recognized.
    summary: (u64, u64),
}

impl Changes {
    /// Replaces the marks of the live agents and of those that announced that they leave. Returns
    /// the differences for which recent changes account.
    ///
    /// An agent that is neither live nor left may own flows, so its absence accounts for nothing.
    pub fn update(
        &mut self,
        live: impl IntoIterator<Item = u64>,
        left: impl IntoIterator<Item = u64>,
    ) -> Span {
        let live: Vec<u64> = live.into_iter().collect();
        let left: Vec<u64> = left.into_iter().collect();
        let summary = (combine(&live), combine(&left));
        if summary != self.summary {
            self.summary = summary;
            self.replace(live.into_iter().collect(), left.into_iter().collect());
        }
        self.span
    }

    fn replace(&mut self, live: BTreeSet<u64>, left: BTreeSet<u64>) {
        let joined = live.difference(&self.live);
        let departed = left.difference(&self.left);
        let changed: Vec<u64> = joined.chain(departed).copied().collect();
        self.recent
            .retain(|mark| !changed.contains(mark) && (live.contains(mark) || left.contains(mark)));
        self.recent.extend(changed);
        let excess = self.recent.len().saturating_sub(MAX_RECENT);
        self.recent.drain(..excess);
        (self.live, self.left) = (live, left);
        self.span = Span::of(self.recent.iter().copied());
    }
}

fn combine(marks: &[u64]) -> u64 {
    marks.iter().fold(0, |all, mark| all ^ mark)
}
