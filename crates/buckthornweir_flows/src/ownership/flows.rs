//! The flow table of one shard.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::held::Held;
use super::lookup::Lookup;
use super::{OwnerLimits, SHARDS};
use crate::NodeId;
use crate::bounded::BoundedMap;
use crate::messages::Forward;
use crate::packet::{FiveTuple, PacketInfo};

/// Maximum number of balancers that receive a hint per cached owner.
const MAX_HINTED: usize = 8;

/// State of a flow that the agent owns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FlowState {
    /// The handshake isn't complete. Holds the initial sequence number of the SYN-ACK, once it is
    /// known.
    HalfOpen(Option<u32>),
    /// The caller has acknowledged the SYN-ACK, or the flow has moved to this agent.
    Established,
    /// The flow is moving to another agent.
    Moving,
}

#[derive(Clone, Copy, Debug)]
struct Flow {
    state: FlowState,
    stamp: u64,
}

/// The cached owner of a flow.
#[derive(Debug)]
pub(super) struct KnownOwner {
    pub(super) node: NodeId,
    hinted: Vec<NodeId>,
}

impl KnownOwner {
    pub(super) fn new(node: NodeId) -> Self {
        Self {
            node,
            hinted: Vec::new(),
        }
    }

    /// Returns whether a balancer needs a hint, and marks the balancer as informed if so.
    pub(super) fn mark_hinted(&mut self, balancer: NodeId) -> bool {
        if self.hinted.contains(&balancer) || self.hinted.len() >= MAX_HINTED {
            return false;
        }
        self.hinted.push(balancer);
        true
    }
}

/// The flows of one shard, and the known owners of other flows.
#[derive(Debug)]
pub(super) struct Shard {
    flows: HashMap<FiveTuple, Flow>,
    half_open: VecDeque<(FiveTuple, u64)>,
    half_open_count: usize,
    max_half_open: usize,
    stamp: u64,
    /// Held packets of flows that are moving or have just moved to this agent.
    held: HashMap<FiveTuple, Held>,
    /// Lookups in progress.
    pub(super) lookups: BTreeMap<FiveTuple, Lookup>,
    /// Owners found by lookups.
    pub(super) owners: BoundedMap<FiveTuple, KnownOwner>,
    /// Owners of the flows that have moved from this agent to another one.
    pub(super) moved: BoundedMap<FiveTuple, NodeId>,
}

impl Shard {
    pub(super) fn new(limits: &OwnerLimits) -> Self {
        Self {
            flows: HashMap::new(),
            half_open: VecDeque::new(),
            half_open_count: 0,
            max_half_open: (limits.half_open / SHARDS).max(1),
            stamp: 0,
            held: HashMap::new(),
            lookups: BTreeMap::new(),
            owners: BoundedMap::new(limits.owners / SHARDS, limits.lifetime),
            moved: BoundedMap::new(limits.flows / SHARDS, limits.lifetime),
        }
    }

    pub(super) fn owns(&self, tuple: &FiveTuple) -> bool {
        self.flows.contains_key(tuple)
    }

    pub(super) fn state(&self, tuple: &FiveTuple) -> Option<FlowState> {
        self.flows.get(tuple).map(|flow| flow.state)
    }

    pub(super) fn set_sequence(&mut self, tuple: &FiveTuple, sequence: u32) {
        let Some(flow) = self.flows.get_mut(tuple) else {
            return;
        };
        if flow.state == FlowState::HalfOpen(None) {
            flow.state = FlowState::HalfOpen(Some(sequence));
        }
    }

    pub(super) fn set_state(&mut self, tuple: &FiveTuple, state: FlowState) {
        let Some(flow) = self.flows.get_mut(tuple) else {
            return;
        };
        if matches!(flow.state, FlowState::HalfOpen(_)) {
            self.half_open_count -= 1;
        }
        flow.state = state;
    }

    /// Adds a half-open flow. If this exceeds the limit, removes and returns the oldest one.
    pub(super) fn start(&mut self, tuple: FiveTuple) -> Option<FiveTuple> {
        self.insert(tuple, FlowState::HalfOpen(None));
        self.half_open_count += 1;
        self.half_open.push_back((tuple, self.stamp));
        self.pop_finished();
        if self.half_open_count <= self.max_half_open {
            return None;
        }
        let (oldest, _) = self.half_open.pop_front()?;
        self.remove(&oldest);
        Some(oldest)
    }

    /// Holds a packet of a moving flow, and returns whether there was room for it.
    pub(super) fn hold(&mut self, forward: &Forward, tuple: FiveTuple) -> bool {
        self.held.entry(tuple).or_default().push(forward)
    }

    /// Removes and returns the held packets of a flow.
    pub(super) fn take_held(&mut self, tuple: &FiveTuple) -> Vec<Forward> {
        let held = self.held.remove(tuple);
        held.map(Held::into_inner).unwrap_or_default()
    }

    /// Adds a flow that has moved to this agent, and keeps the packets held by its lookup.
    pub(super) fn adopt(&mut self, tuple: FiveTuple) {
        if let Some(lookup) = self.lookups.remove(&tuple) {
            self.held.insert(tuple, lookup.held);
        }
        self.insert(tuple, FlowState::Established);
        self.moved.remove(&tuple);
    }

    pub(super) fn remove(&mut self, tuple: &FiveTuple) -> bool {
        self.held.remove(tuple);
        let Some(flow) = self.flows.remove(tuple) else {
            return false;
        };
        if matches!(flow.state, FlowState::HalfOpen(_)) {
            self.half_open_count -= 1;
        }
        true
    }

    /// Removes all flows, lookups and held packets, and returns the flows in ascending order.
    pub(super) fn clear(&mut self) -> Vec<FiveTuple> {
        let mut tuples: Vec<_> = self.flows.drain().map(|(tuple, _)| tuple).collect();
        tuples.sort_unstable();
        self.half_open.clear();
        self.half_open_count = 0;
        self.lookups.clear();
        self.held.clear();
        tuples
    }

    fn insert(&mut self, tuple: FiveTuple, state: FlowState) {
        self.stamp += 1;
        self.lookups.remove(&tuple);
        self.owners.remove(&tuple);
        let flow = Flow {
            state,
            stamp: self.stamp,
        };
        self.flows.insert(tuple, flow);
    }

    /// Removes flows that are no longer half-open from the front of the queue.
    fn pop_finished(&mut self) {
        while let Some((tuple, stamp)) = self.half_open.front() {
            let flow = self.flows.get(tuple);
            let is_waiting =
                |flow: &Flow| flow.stamp == *stamp && matches!(flow.state, FlowState::HalfOpen(_));
            if flow.is_some_and(is_waiting) {
                return;
            }
            self.half_open.pop_front();
        }
    }
}

/// Returns whether an acknowledgement number confirms the SYN-ACK with this initial sequence
/// number.
pub(super) fn acknowledges(sequence: Option<u32>, acknowledged: Option<u32>) -> bool {
    match (sequence, acknowledged) {
        (Some(sequence), Some(acknowledged)) => sequence.wrapping_add(1) == acknowledged,
        _ => false,
    }
}

/// Returns the acknowledgement number of a packet, if it has one.
pub(super) fn acknowledged(info: &PacketInfo) -> Option<u32> {
    info.ack.then_some(info.ack_number)
}
