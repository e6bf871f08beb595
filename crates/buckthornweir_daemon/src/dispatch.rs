//! Dispatches messages from links to the roles.

use std::sync::{Arc, OnceLock};

use buckthornweir_wire::{Body, Envelope, NodeId};

use crate::agent::RequestCoordinator;
use crate::balancer::BalancerRole;
use crate::board::Blackboard;
use crate::control::Control;
use crate::links::LinkSender;
use crate::operators;

/// Passes messages that arrive on links to the role that handles them.
#[derive(Debug)]
pub(crate) struct Dispatch {
    board: Arc<Blackboard>,
    coordinator: OnceLock<Arc<RequestCoordinator>>,
    control: OnceLock<Arc<Control>>,
    balancer: OnceLock<Arc<BalancerRole>>,
}

impl Dispatch {
    /// Creates a dispatch without roles.
    pub(crate) fn new(board: Arc<Blackboard>) -> Arc<Self> {
        Arc::new(Self {
            board,
            coordinator: OnceLock::new(),
            control: OnceLock::new(),
            balancer: OnceLock::new(),
        })
    }

    /// Sets the coordinator of the agent's requests.
    pub(crate) fn set_coordinator(&self, coordinator: Arc<RequestCoordinator>) {
        let _ = self.coordinator.set(coordinator);
    }

    /// Sets the control role.
    pub(crate) fn set_control(&self, control: Arc<Control>) {
        let _ = self.control.set(control);
    }

    /// Sets the balancer role.
    pub(crate) fn set_balancer(&self, balancer: Arc<BalancerRole>) {
        let _ = self.balancer.set(balancer);
    }

    /// Returns the balancer role, if the process has it.
    pub(crate) fn balancer(&self) -> Option<&BalancerRole> {
        self.balancer.get().map(Arc::as_ref)
    }

    /// Returns the control role, if the process has it.
    pub(crate) fn control(&self) -> Option<&Arc<Control>> {
        self.control.get()
    }

    /// Handles one message and sends replies over `replies`.
    pub(crate) fn receive(self: &Arc<Self>, envelope: Envelope, replies: &LinkSender) {
        let from = envelope.from;
        match envelope.body {
            None | Some(Body::Heartbeat(_) | Body::Flow(_) | Body::Members(_)) => {}
            Some(Body::Operator(message)) => {
                operators::answer(&self.board, self, *message, replies.clone());
            }
            Some(Body::Request(message)) => {
                if let Some(coordinator) = self.coordinator.get() {
                    coordinator.receive(from, *message, replies);
                }
            }
            Some(Body::Quorum(bytes)) => {
                if let Some(control) = self.control.get() {
                    control.receive(&bytes);
                }
            }
        }
    }

    /// Handles the loss of a link that was dialed to `peer`.
    pub(crate) fn link_lost(&self, peer: NodeId) {
        if let Some(coordinator) = self.coordinator.get() {
            coordinator.link_lost(peer);
        }
    }
}
