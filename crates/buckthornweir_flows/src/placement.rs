//! The agent that gets a new flow, worked out by every node from the same members.
//!
//! A keyed hash of the flow picks a bucket, and weighted rendezvous hashing picks the agent of each
//! bucket, within a bound for each agent that keeps the table even. The table is worked out once for each change of the members and swapped whole.

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
    /// Weight step from 0 to [`MAX_WEIGHT`]; an agent of step 0 gets no new flows.
    pub weight: u8,
}

/// The placement of one service's flows on its agents.
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
    /// Works out the table for a service's agents.
    ///
    /// The order of the candidates doesn't count. Of candidates with the same node the first counts.
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

    /// Returns the agent that gets a new flow, or `None` when no candidate takes new flows.
    pub fn owner(&self, tuple: &FiveTuple) -> Option<NodeId> {
        let index = self.owners.get(self.bucket(tuple) as usize)?;
        let candidate = self.candidates.get(index)?;
        Some(candidate.node)
    }

    /// Returns all candidates, the likeliest owner of the flow first.
    ///
    /// Candidates that take no new flows come in the place that their full weight gives them: an
    /// agent that drains owned its flows at that weight.
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

    /// Returns the bucket of a flow, below [`BUCKETS`].
    pub fn bucket(&self, tuple: &FiveTuple) -> u32 {
        (flow_hash(&self.key, Purpose::Bucket, tuple, 0) % u64::from(BUCKETS)) as u32
    }
}

fn bucket_seed(key: &[u8; 16]) -> u64 {
    let (low, high) = key.split_at(8);
    let number = |half: &[u8]| half.iter().fold(0, |sum, &byte| sum << 8 | u64::from(byte));
    mix(number(low), number(high))
}

/// Returns the cost of a candidate for a bucket: the lowest one wins, in proportion to the weights.
fn cost(hash: u64, candidate: &Candidate) -> f64 {
    let weight = match candidate.weight {
        0 => MAX_WEIGHT,
        weight => weight,
    };
    -unit_interval(mix(hash, candidate.node)).ln() / f64::from(weight)
}

/// Returns a number above 0 and below 1 for a hash.
fn unit_interval(hash: u64) -> f64 {
    const STEP: f64 = 1.0 / (1u64 << 53) as f64;
    ((hash >> 11) as f64 + 0.5) * STEP
}
