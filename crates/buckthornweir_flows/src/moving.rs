//! Moves quiet flows from an agent that leaves to other agents of its service.
//!
//! The source stops a flow before it offers it, and an offer is repeated until it is answered. A target
//! remembers its answer for as long as the source may repeat the offer, so an offer that is lost,
//! doubled or late starts a flow once. A source that never learns whether an offer was taken doesn't
//! start the flows again.

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

/// Largest number of flows in one offer, so that an offer fits in one packet.
pub const MAX_BATCH_FLOWS: usize = 16;

/// What an agent does to move flows.
#[derive(Clone, Debug, PartialEq)]
pub enum MoveAction {
    /// Send a message to a node.
    Send {
        /// The node.
        to: NodeId,
        /// The message.
        body: FlowBody,
    },
    /// Start a stack for a flow that another agent has handed over.
    Adopt(QuietFlow),
    /// Start a stack again for a flow that no other agent has taken.
    Resume(QuietFlow),
    /// Give a packet that was held to the stack of the flow, which was started before.
    Deliver {
        /// The flow.
        tuple: FiveTuple,
        /// The packet.
        packet: Vec<u8>,
    },
    /// Forget a flow: the agent that may have taken it is gone.
    Forget(FiveTuple),
}

/// Returns the deliveries of the packets that waited for a flow's owner.
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
