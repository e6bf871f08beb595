//! Flows that move to or from another agent.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Ownership;
use super::flows::FlowState;
use crate::NodeId;
use crate::messages::Forward;
use crate::packet::FiveTuple;

impl Ownership {
    /// Starts the move of a flow, and returns whether the flow is established and can move.
    ///
    /// Until the move ends, a few packets of the flow are held and the others dropped, and queries
    /// about it stay open.
    pub fn begin_move(&self, tuple: &FiveTuple) -> bool {
        let mut shard = self.shard(tuple);
        let is_established = shard.state(tuple) == Some(FlowState::Established);
        if is_established {
            shard.set_state(tuple, FlowState::Moving);
        }
        is_established
    }

    /// Cancels the move of a flow, which this agent continues to own.
    ///
    /// Packets held during the move are dropped; call [`take_held`](Self::take_held) first to keep
    /// them.
    pub fn cancel_move(&self, tuple: &FiveTuple) {
        let mut shard = self.shard(tuple);
        if shard.state(tuple) == Some(FlowState::Moving) {
            shard.set_state(tuple, FlowState::Established);
        }
        shard.take_held(tuple);
    }

    /// Removes a flow that has moved, and caches its new owner.
    pub fn complete_move(&self, tuple: &FiveTuple, target: NodeId, now: Duration) {
        let mut shard = self.shard(tuple);
        if shard.state(tuple) != Some(FlowState::Moving) {
            return;
        }
        shard.remove(tuple);
        shard.moved.insert(*tuple, target, now);
        self.count_removed(1);
    }

    /// Removes and returns the held packets of a flow.
    pub fn take_held(&self, tuple: &FiveTuple) -> Vec<Forward> {
        self.shard(tuple).take_held(tuple)
    }

    /// Accepts a flow from another agent, and returns whether it was added.
    ///
    /// The flow isn't added if the agent already owns a flow with the same endpoints, or has
    /// reached its maximum number of flows.
    pub fn adopt(&self, tuple: &FiveTuple) -> bool {
        let mut shard = self.shard(tuple);
        if shard.owns(tuple) || self.len() >= self.limits.flows {
            return false;
        }
        shard.adopt(*tuple);
        self.flows.fetch_add(1, Ordering::Relaxed);
        true
    }
}
