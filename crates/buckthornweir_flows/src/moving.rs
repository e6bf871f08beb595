//! Moves quiet flows from a leaving agent to other agents of its service.
//!
//! The source stops a flow before it offers it, and repeats the offer until it is answered. The
//! target stores its answer for as long as the source may repeat the offer, so that an offer which
//! is lost, duplicated or delayed starts each flow at most once. A source that can't learn whether
//! an offer was accepted doesn't resume the flows.

mod quiet;
mod source;
mod target;

use crate::NodeId;
use crate::messages::FlowBody;
use crate::ownership::Ownership;
use crate::packet::FiveTuple;

pub use quiet::QuietFlow;
pub use source::MoveSource;
pub use target::MoveTarget;

/// Maximum number of flows in an offer, so that an offer fits in one packet.
pub const MAX_BATCH_FLOWS: usize = 16;

/// An action that an agent carries out to move flows.
#[derive(Clone, Debug, PartialEq)]
pub enum MoveAction {
    /// Send a message to a node.
    Send {
        /// The node.
        to: NodeId,
        /// The message.
        body: FlowBody,
    },
    /// Start a stack for a flow that was handed over by another agent.
    Adopt(QuietFlow),
    /// Resume a flow that no other agent has accepted.
    Resume(QuietFlow),
    /// Deliver a held packet to the flow's stack, which an earlier action has started.
    Deliver {
        /// The flow.
        tuple: FiveTuple,
        /// The packet.
        packet: Vec<u8>,
    },
    /// Forget a flow: the agent that may have accepted it is gone.
    Forget(FiveTuple),
}

/// Returns the deliveries of the packets held for a flow.
fn held_packets(
    ownership: &Ownership,
    tuple: &FiveTuple,
) -> impl Iterator<Item = MoveAction> + use<> {
    let tuple = *tuple;
    let held = ownership.take_held(&tuple).into_iter();
    held.map(move |forward| MoveAction::Deliver {
        tuple,
        packet: forward.packet,
    })
}
