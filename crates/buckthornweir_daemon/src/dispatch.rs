//! Where messages that arrive on links go.

use std::sync::{Arc, OnceLock};

use buckthornweir_wire::{Body, Envelope, NodeId};

use crate::agent::RequestCoordinator;
use crate::board::Blackboard;
use crate::control::Control;
use crate::links::LinkSender;
use crate::operators;

/// Hands messages of links to the role that they are for.
#[derive(Debug)]
pub(crate) struct Dispatch {
    board: Arc<Blackboard>,
    desk: OnceLock<Arc<RequestCoordinator>>,
    control: OnceLock<Arc<Control>>,
}

impl Dispatch {
    /// Returns a dispatch without any role.
    pub(crate) fn new(board: Arc<Blackboard>) -> Arc<Self> {
        Arc::new(Self {
            board,
            desk: OnceLock::new(),
            control: OnceLock::new(),
        })
    }

    /// Sets the agent's desk.
    pub(crate) fn set_desk(&self, desk: Arc<RequestCoordinator>) {
        let _ = self.desk.set(desk);
    }

    /// Sets the control role.
    pub(crate) fn set_control(&self, control: Arc<Control>) {
        let _ = self.control.set(control);
    }

    /// Returns the control role, if the process has it.
    pub(crate) fn control(&self) -> Option<&Arc<Control>> {
        self.control.get()
    }

    /// Takes one message; answers go back over `back`.
    pub(crate) fn receive(self: &Arc<Self>, envelope: Envelope, back: &LinkSender) {
        let from = envelope.from;
        match envelope.body {
            None | Some(Body::Heartbeat(_) | Body::Flow(_) | Body::Members(_)) => {}
            Some(Body::Operator(message)) => {
                operators::answer(&self.board, self, *message, back.clone());
            }
            Some(Body::Request(message)) => {
                if let Some(desk) = self.desk.get() {
                    desk.receive(from, *message, back);
                }
            }
            Some(Body::Quorum(bytes)) => {
                if let Some(control) = self.control.get() {
                    control.receive(&bytes);
                }
            }
        }
    }

    /// Notes that a link dialed to `peer` was lost.
    pub(crate) fn link_lost(&self, peer: NodeId) {
        if let Some(desk) = self.desk.get() {
            desk.link_lost(peer);
        }
    }
}
