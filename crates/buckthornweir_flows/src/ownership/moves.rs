//! Flows that move to another agent or from one.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Ownership;
use super::flows::FlowState;
use crate::NodeId;
use crate::messages::Forward;
use crate::packet::FiveTuple;

impl Ownership {
    /// Stops the packets of an established flow, and returns whether the flow is one.
    ///
    /// Until the move is over, a few packets of the flow are held, the others dropped, and questions
    /// about it stay open.
    pub fn begin_move(&self, tuple: &FiveTuple) -> bool {
        let mut shard = self.shard(tuple);
        let is_established = shard.state(tuple) == Some(FlowState::Established);
        if is_established {
            shard.set_state(tuple, FlowState::Moving);
        }
        is_established
    }

    /// Goes on with a flow that didn't move after all.
    ///
    /// Packets that were held meanwhile are dropped, unless [`take_held`](Self::take_held) was called.
    pub fn cancel_move(&self, tuple: &FiveTuple) {
        let mut shard = self.shard(tuple);
        if shard.state(tuple) == Some(FlowState::Moving) {
            shard.set_state(tuple, FlowState::Established);
        }
        shard.take_held(tuple);
    }

    /// Forgets a flow that has moved, and remembers its new owner.
    pub fn complete_move(&self, tuple: &FiveTuple, target: NodeId, now: Duration) {
        let mut shard = self.shard(tuple);
        if shard.state(tuple) != Some(FlowState::Moving) {
            return;
        }
        shard.remove(tuple);
        shard.moved.insert(*tuple, target, now);
        self.count_removed(1);
    }

    /// Takes the packets that were held while a flow moved.
    pub fn take_held(&self, tuple: &FiveTuple) -> Vec<Forward> {
        self.shard(tuple).take_held(tuple)
    }

    /// Takes a flow from another agent, and returns whether there was room for it.
    ///
    /// A flow of the same ends that the agent owns already is never replaced.
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
