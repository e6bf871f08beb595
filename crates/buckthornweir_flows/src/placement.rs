//! Placement of new flows on agents, which every node computes from the same members.
//!
//! A keyed hash maps a flow to a bucket, and weighted rendezvous hashing maps each bucket to an
//! agent. A bound on the buckets of each agent keeps the table balanced. Each change of the members
//! computes a new table, which replaces the old one as a whole.

mod owners;
mod table;

use crate::NodeId;
use crate::hash::{Purpose, flow_hash, mix};
use crate::packet::FiveTuple;
use owners::Owners;

/// Number of buckets of a placement.
pub const BUCKETS: u32 = 16_384;

/// Largest weight step of a candidate.
pub const MAX_WEIGHT: u8 = 16;

/// Marks a bucket without an owner.
const NO_OWNER: u16 = u16::MAX;

/// An agent that may own flows of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The agent.
    pub node: NodeId,
    /// Weight step from 0 to [`MAX_WEIGHT`]; an agent with weight step 0 gets no new flows.
    pub weight: u8,
}

/// The placement of a service's flows on its agents.
///
/// ```
/// use buckthornweir_flows::packet::FiveTuple;
/// use buckthornweir_flows::placement::{Candidate, Placement};
///
/// let candidates = [Candidate { node: 1, weight: 16 }, Candidate { node: 2, weight: 0 }];
/// let placement = Placement::new([7; 16], &candidates);
/// let tuple = FiveTuple {
///     caller: "192.0.2.1:40000".parse().unwrap(),
///     service: "198.51.100.1:80".parse().unwrap(),
/// };
/// assert_eq!(placement.owner(&tuple), Some(1));
/// assert_eq!(placement.order(&tuple), [1, 2]);
/// ```
#[derive(Clone, Debug)]
pub struct Placement {
    key: [u8; 16],
    candidates: Vec<Candidate>,
    owners: Owners,
}

impl Placement {
    /// Computes the table for a service's agents.
    ///
    /// The result doesn't depend on the order of the candidates. Of several candidates with the
    /// same node, the first is used.
    pub fn new(key: [u8; 16], candidates: &[Candidate]) -> Self {
        let mut candidates = candidates.to_vec();
        candidates.sort_by_key(|candidate| candidate.node);
        candidates.dedup_by_key(|candidate| candidate.node);
        candidates.truncate(usize::from(NO_OWNER));
        for candidate in &mut candidates {
            candidate.weight = candidate.weight.min(MAX_WEIGHT);
        }
        let owners = Owners::new(&table::fill(bucket_seed(&key), &candidates));
        Self {
            key,
            candidates,
            owners,
        }
    }

    /// Returns the agent that gets a new flow, or `None` if no candidate accepts new flows.
    pub fn owner(&self, tuple: &FiveTuple) -> Option<NodeId> {
        let index = self.owners.get(self.bucket(tuple) as usize)?;
        let candidate = self.candidates.get(index)?;
        Some(candidate.node)
    }

    /// Returns the owner of each bucket that has one.
    pub(crate) fn owners(&self) -> impl Iterator<Item = NodeId> {
        let indices = (0..BUCKETS as usize).filter_map(|bucket| self.owners.get(bucket));
        indices.filter_map(|index| Some(self.candidates.get(index)?.node))
    }

    /// Returns all candidates in descending order of their likelihood to own the flow.
    ///
    /// Candidates that accept no new flows are ranked by [`MAX_WEIGHT`], because a draining agent
    /// got its flows at full weight.
    pub fn order(&self, tuple: &FiveTuple) -> Vec<NodeId> {
        let bucket = self.bucket(tuple);
        let hash = mix(bucket_seed(&self.key), u64::from(bucket));
        let owner = self.owner(tuple);
        let mut order: Vec<_> = self
            .candidates
            .iter()
            .map(|candidate| (cost(hash, candidate), candidate.node))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        order.sort_by_key(|&(_, node)| Some(node) != owner);
        order.into_iter().map(|(_, node)| node).collect()
    }

    /// Returns the bucket of a flow, which is less than [`BUCKETS`].
    pub fn bucket(&self, tuple: &FiveTuple) -> u32 {
        (flow_hash(&self.key, Purpose::Bucket, tuple, 0) % u64::from(BUCKETS)) as u32
    }
}

fn bucket_seed(key: &[u8; 16]) -> u64 {
    let (low, high) = key.split_at(8);
    let number = |half: &[u8]| half.iter().fold(0, |sum, &byte| sum << 8 | u64::from(byte));
    mix(number(low), number(high))
}

/// Returns the rendezvous cost of a candidate for a bucket.
///
/// The candidate with the lowest cost wins, so each wins a share of buckets proportional to its
/// weight.
fn cost(hash: u64, candidate: &Candidate) -> f64 {
    let weight = match candidate.weight {
        0 => MAX_WEIGHT,
        weight => weight,
    };
    -unit_fraction(mix(hash, candidate.node)).ln() / f64::from(weight)
}

/// Maps a hash to a number strictly between 0 and 1.
fn unit_fraction(hash: u64) -> f64 {
    const STEP: f64 = 1.0 / (1u64 << 53) as f64;
    ((hash >> 11) as f64 + 0.5) * STEP
}
