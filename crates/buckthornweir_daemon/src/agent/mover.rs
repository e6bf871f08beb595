//! Handing quiet flows to sibling agents, and taking theirs.

use std::sync::Arc;

use buckthornweir_events::{Count, EventKind};
use buckthornweir_flows::messages::{Offer, Taken};
use buckthornweir_flows::moving::{MoveAction, MoveSource, MoveTarget, QuietFlow};
use buckthornweir_flows::ownership::Ownership;
use buckthornweir_flows::view::AgentView;
use parking_lot::Mutex;

use crate::board::Blackboard;

/// Hands quiet flows to sibling agents, and takes theirs.
pub(crate) struct Mover {
    board: Arc<Blackboard>,
    ownership: Arc<Ownership>,
    giver: Mutex<MoveSource>,
    taker: Mutex<MoveTarget>,
    waiting: Mutex<Vec<QuietFlow>>,
}

impl Mover {
    /// Returns a mover without flows.
    pub(crate) fn new(board: Arc<Blackboard>, ownership: Arc<Ownership>, incarnation: u64) -> Self {
        Self {
            giver: Mutex::new(MoveSource::new(board.id, incarnation)),
            taker: Mutex::new(MoveTarget::new(board.id)),
            waiting: Mutex::default(),
            board,
            ownership,
        }
    }

    /// Queues a flow whose stack has been taken down for the next offer.
    pub(crate) fn give(&self, flow: QuietFlow) {
        self.waiting.lock().push(flow);
    }

    /// Returns whether every flow that was given has a new owner, or was kept.
    pub(crate) fn is_done(&self) -> bool {
        self.waiting.lock().is_empty() && self.giver.lock().is_done()
    }

    /// Offers the waiting flows and repeats offers without an answer.
    pub(crate) fn tick(&self, view: &AgentView) -> Vec<MoveAction> {
        let now = self.board.now();
        let mut actions = Vec::new();
        let mut giver = self.giver.lock();
        let flows = self.take_waiting(giver.room());
        if !flows.is_empty() {
            giver.offer(&self.ownership, view, flows, now, &mut actions);
        }
        giver.tick(&self.ownership, view, now, &mut actions);
        actions
    }

    /// Takes a sibling's offer.
    pub(crate) fn offered(&self, view: &AgentView, offer: &Offer) -> Vec<MoveAction> {
        let mut actions = Vec::new();
        let mut taker = self.taker.lock();
        if taker
            .offer(&self.ownership, view, offer, &mut actions)
            .is_err()
        {
            self.board.metrics.count(Count::DatagramsMalformed);
        }
        actions
    }

    /// Takes a sibling's answer to an offer.
    pub(crate) fn taken(&self, taken: &Taken) -> Vec<MoveAction> {
        let mut actions = Vec::new();
        let now = self.board.now();
        let mut giver = self.giver.lock();
        giver.taken(&self.ownership, taken, now, &mut actions);
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

    fn take_waiting(&self, room: usize) -> Vec<QuietFlow> {
        let mut waiting = self.waiting.lock();
        let count = waiting.len().min(room);
        waiting.drain(..count).collect()
    }
}
