//! Moves quiet flows between this agent and its siblings.

use std::sync::Arc;

use buckthornweir_events::{Count, EventKind};
use buckthornweir_flows::messages::{Offer, Taken};
use buckthornweir_flows::moving::{MoveAction, MoveSource, MoveTarget, QuietFlow};
use buckthornweir_flows::ownership::Ownership;
use buckthornweir_flows::view::AgentView;
use parking_lot::Mutex;

use crate::board::Blackboard;

/// Moves quiet flows to sibling agents, and accepts flows from them.
pub(crate) struct Mover {
    board: Arc<Blackboard>,
    ownership: Arc<Ownership>,
    source: Mutex<MoveSource>,
    target: Mutex<MoveTarget>,
    pending: Mutex<Vec<QuietFlow>>,
}

impl Mover {
    /// Returns a mover without flows.
    pub(crate) fn new(board: Arc<Blackboard>, ownership: Arc<Ownership>, incarnation: u64) -> Self {
        Self {
            source: Mutex::new(MoveSource::new(board.id, incarnation)),
            target: Mutex::new(MoveTarget::new(board.id)),
            pending: Mutex::default(),
            board,
            ownership,
        }
    }

    /// Queues a flow for the next offer. Its stack has been removed already.
    pub(crate) fn enqueue(&self, flow: QuietFlow) {
        self.pending.lock().push(flow);
    }

    /// Returns whether no move is pending: each queued flow has a new owner or was resumed here.
    pub(crate) fn is_done(&self) -> bool {
        self.pending.lock().is_empty() && self.source.lock().is_done()
    }

    /// Offers the pending flows and retries unanswered offers.
    pub(crate) fn tick(&self, view: &AgentView) -> Vec<MoveAction> {
        let now = self.board.now();
        let mut actions = Vec::new();
        let mut source = self.source.lock();
        let flows = self.take_pending(source.room());
        if !flows.is_empty() {
            source.offer(&self.ownership, view, flows, now, &mut actions);
        }
        source.tick(&self.ownership, view, now, &mut actions);
        actions
    }

    /// Handles an offer from a sibling.
    pub(crate) fn on_offer(&self, view: &AgentView, offer: &Offer) -> Vec<MoveAction> {
        let mut actions = Vec::new();
        let mut target = self.target.lock();
        if target
            .offer(&self.ownership, view, offer, &mut actions)
            .is_err()
        {
            self.board.metrics.count(Count::DatagramsMalformed);
        }
        actions
    }

    /// Handles a sibling's answer to an offer.
    pub(crate) fn on_taken(&self, taken: &Taken) -> Vec<MoveAction> {
        let mut actions = Vec::new();
        let now = self.board.now();
        let mut source = self.source.lock();
        source.taken(&self.ownership, taken, now, &mut actions);
        let moved = taken.taken.iter().filter(|t| **t).count();
        let metrics = &self.board.metrics;
        metrics.count_by(Count::FlowsMovedOut, moved as u64);
        self.record_moves(taken, moved);
        actions
    }

    fn record_moves(&self, taken: &Taken, moved: usize) {
        if moved == 0 {
            return;
        }
        let to = self.board.member(taken.from).map(|m| m.record.name);
        self.board.record(EventKind::FlowsMoved {
            count: moved as u64,
            to: to.unwrap_or_default(),
        });
    }

    fn take_pending(&self, capacity: usize) -> Vec<QuietFlow> {
        let mut pending = self.pending.lock();
        let count = pending.len().min(capacity);
        pending.drain(..count).collect()
    }
}
