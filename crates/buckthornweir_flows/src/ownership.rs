//! Ownership of flows: what an agent does with a packet that a balancer or another agent forwards.
//!
//! The agent that answered a flow's SYN owns the flow until it ends or moves. An agent that gets a
//! packet of a flow it doesn't own asks the other members of the service, the likeliest one first,
//! and passes the packet on to the owner. It resets the flow only when every member that may own it
//! has said that it doesn't.

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

/// Number of shards of an agent's flows.
const SHARDS: usize = 16;

/// Largest number of agents that pass one packet on.
pub const MAX_HOPS: u32 = 3;

/// Limits of an agent's flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerLimits {
    /// Number of flows.
    pub flows: usize,
    /// Number of flows whose handshake isn't over.
    pub half_open: usize,
    /// Number of flows whose owner is being looked up.
    pub lookups: usize,
    /// Number of owners that are remembered.
    pub owners: usize,
    /// Time after which a remembered owner expires.
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
    /// Returns the limits with another number of flows.
    pub fn with_flows(mut self, flows: usize) -> Self {
        self.flows = flows;
        self
    }

    /// Returns the limits with another number of half-open flows.
    pub fn with_half_open(mut self, half_open: usize) -> Self {
        self.half_open = half_open;
        self
    }

    /// Returns the limits with another number of lookups.
    pub fn with_lookups(mut self, lookups: usize) -> Self {
        self.lookups = lookups;
        self
    }
}

/// The directory of an agent's flows and of the owners that it knows.
///
/// Its state lies in shards, each under its own lock, so several threads decide side by side.
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
    /// Returns an empty directory.
    ///
    /// `key` is the service's key. `incarnation` is a number that no earlier process of the agent
    /// had, such as its start time.
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
    /// Each agent has its own, so two agents that answer one SYN give different sequence numbers. The
    /// caller takes the first answer, and the acknowledgement number of its packets tells which agent
    /// that was: the other one gives its half-open flow up.
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

    /// Returns the number of flows that the agent owns, half-open ones included.
    pub fn len(&self) -> usize {
        self.flows.load(Ordering::Relaxed)
    }

    /// Returns whether the agent owns no flow.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether the agent owns a flow.
    pub fn owns(&self, tuple: &FiveTuple) -> bool {
        self.shard(tuple).owns(tuple)
    }

    /// Records the initial sequence number of a flow's answer to the SYN.
    ///
    /// The caller of this method has started the stack after [`Action::Start`], and sends the answer
    /// only after this call.
    pub fn record_syn_ack(&self, tuple: &FiveTuple, sequence: u32) {
        self.shard(tuple).set_sequence(tuple, sequence);
    }

    /// Forgets a flow whose stack is no longer open.
    pub fn remove_flow(&self, tuple: &FiveTuple) {
        let removed = self.shard(tuple).remove(tuple);
        self.count_removed(usize::from(removed));
    }

    /// Takes a new view: when the agent's failure domain is out, all its flows are given up.
    pub fn apply_view(&self, view: &AgentView, out: &mut Vec<Action>) {
        if !view.is_out {
            return;
        }
        self.abort_all(out);
    }

    /// Gives up all flows, as at the time limit of a planned stop.
    pub fn abort_all(&self, out: &mut Vec<Action>) {
        for shard in &self.shards {
            let tuples = shard.lock().clear();
            self.count_removed(tuples.len());
            out.extend(tuples.into_iter().map(Action::Abort));
        }
    }

    /// Asks again where answers are missing, and returns the time of the next call.
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

    /// Returns a number for a question that differs from 0 and from those of earlier processes.
    fn next_query_number(&self, tuple: &FiveTuple) -> u64 {
        let count = self.queries.fetch_add(1, Ordering::Relaxed) as u32;
        let number = flow_hash(&self.key, Purpose::Query, tuple, count);
        mix(number, self.incarnation) | 1
    }
}
