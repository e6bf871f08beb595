//! Ownership of flows: how an agent handles packets forwarded by balancers and other agents.
//!
//! The agent that answers a flow's SYN owns the flow until it ends or moves. An agent that receives
//! a packet of a flow it doesn't own looks up the owner: it queries the other members of the
//! service in descending order of likelihood, and passes the packet on to the owner. It resets the
//! flow only after every possible owner has denied owning it.

mod action;
mod answers;
mod arrivals;
mod flows;
mod held;
mod lookup;
mod moves;

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::{Mutex, MutexGuard};

use crate::NodeId;
use crate::hash::{Purpose, flow_hash, mix, shard_of};
use crate::packet::FiveTuple;
use crate::view::AgentView;
use flows::Shard;

pub use action::{Action, DropReason};

/// Number of shards of an agent's flow table.
const SHARDS: usize = 16;

/// Maximum number of agents that pass a packet on.
pub const MAX_HOPS: u32 = 3;

/// Limits of an agent's flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerLimits {
    /// Maximum number of flows, including half-open ones.
    pub flows: usize,
    /// Maximum number of flows with an incomplete handshake.
    pub half_open: usize,
    /// Maximum number of owner lookups in progress.
    pub lookups: usize,
    /// Maximum number of cached owners.
    pub owners: usize,
    /// Time until a cached owner expires.
    pub lifetime: Duration,
}

impl Default for OwnerLimits {
    fn default() -> Self {
        Self {
            flows: 64 * 1024,
            half_open: 2 * 1024,
            lookups: 2 * 1024,
            owners: 16 * 1024,
            lifetime: Duration::from_secs(60),
        }
    }
}

impl OwnerLimits {
    /// Sets the maximum number of flows.
    pub fn with_flows(mut self, flows: usize) -> Self {
        self.flows = flows;
        self
    }

    /// Sets the maximum number of half-open flows.
    pub fn with_half_open(mut self, half_open: usize) -> Self {
        self.half_open = half_open;
        self
    }

    /// Sets the maximum number of lookups.
    pub fn with_lookups(mut self, lookups: usize) -> Self {
        self.lookups = lookups;
        self
    }
}

/// The directory of an agent's flows and of the known owners of other flows.
///
/// The state is split into shards, each with its own lock, so that several threads can handle
/// packets concurrently.
#[derive(Debug)]
pub struct Ownership {
    node: NodeId,
    key: [u8; 16],
    limits: OwnerLimits,
    incarnation: u64,
    queries: AtomicU64,
    flows: AtomicUsize,
    shards: Box<[Mutex<Shard>]>,
}

impl Ownership {
    /// Creates an empty directory.
    ///
    /// `key` is the service's key. `incarnation` must differ from that of every earlier process of
    /// the agent, for example the start time.
    pub fn new(node: NodeId, key: [u8; 16], incarnation: u64, limits: OwnerLimits) -> Self {
        let shard = || Mutex::new(Shard::new(&limits));
        Self {
            node,
            key,
            limits,
            incarnation,
            queries: AtomicU64::new(0),
            flows: AtomicUsize::new(0),
            shards: std::iter::repeat_with(shard).take(SHARDS).collect(),
        }
    }

    /// Returns the key for the initial sequence numbers of this agent's flows.
    ///
    /// The key is unique to the agent, so two agents that answer the same SYN send different
    /// sequence numbers. The caller accepts the first answer, and the acknowledgement number of its
    /// packets identifies the agent that sent it: the other agent abandons its half-open flow.
    pub fn stack_key(&self) -> [u8; 16] {
        let mut key = self.key;
        for (index, byte) in mix(self.node, self.incarnation)
            .to_be_bytes()
            .iter()
            .enumerate()
        {
            key[index] ^= byte;
        }
        key
    }

    /// Returns the number of flows that the agent owns, including half-open ones.
    pub fn len(&self) -> usize {
        self.flows.load(Ordering::Relaxed)
    }

    /// Returns whether the agent owns no flows.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether the agent owns a flow.
    pub fn owns(&self, tuple: &FiveTuple) -> bool {
        self.shard(tuple).owns(tuple)
    }

    /// Records the initial sequence number of a flow's SYN-ACK.
    ///
    /// Must be called after the stack was started for [`Action::Start`] and before the SYN-ACK is
    /// sent.
    pub fn record_syn_ack(&self, tuple: &FiveTuple, sequence: u32) {
        self.shard(tuple).set_sequence(tuple, sequence);
    }

    /// Removes a flow whose stack is no longer open.
    pub fn remove_flow(&self, tuple: &FiveTuple) {
        let removed = self.shard(tuple).remove(tuple);
        self.count_removed(usize::from(removed));
    }

    /// Applies a new view: aborts all flows if the agent's failure domain is out.
    pub fn apply_view(&self, view: &AgentView, out: &mut Vec<Action>) {
        if !view.is_out {
            return;
        }
        self.abort_all(out);
    }

    /// Aborts all flows, for example at the time limit of a planned stop.
    pub fn abort_all(&self, out: &mut Vec<Action>) {
        for shard in &self.shards {
            let tuples = shard.lock().clear();
            self.count_removed(tuples.len());
            out.extend(tuples.into_iter().map(Action::Abort));
        }
    }

    /// Repeats unanswered queries, and returns the time of the next call.
    pub fn tick(&self, view: &AgentView, now: Duration, out: &mut Vec<Action>) -> Option<Duration> {
        let shards = self.shards.iter();
        let next = shards.filter_map(|shard| self.tick_shard(&mut shard.lock(), view, now, out));
        next.min()
    }

    fn shard(&self, tuple: &FiveTuple) -> MutexGuard<'_, Shard> {
        self.shards[shard_of(&self.key, tuple, SHARDS)].lock()
    }

    fn count_removed(&self, flows: usize) {
        self.flows.fetch_sub(flows, Ordering::Relaxed);
    }

    /// Returns a number for a query that differs from 0 and from those of earlier processes.
    fn next_query_number(&self, tuple: &FiveTuple) -> u64 {
        let count = self.queries.fetch_add(1, Ordering::Relaxed) as u32;
        let number = flow_hash(&self.key, Purpose::Query, tuple, count);
        mix(number, self.incarnation) | 1
    }
}
