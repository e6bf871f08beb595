//! What an agent does after a decision.

use crate::NodeId;
use crate::messages::FlowBody;
use crate::packet::FiveTuple;

/// What an agent does after a decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a stack for the flow, give it the packet, and call
    /// [`Ownership::record_syn_ack`](super::Ownership::record_syn_ack).
    Start(FiveTuple),
    /// Give the packet to the flow's stack.
    Deliver(FiveTuple),
    /// Forget the flow's stack without a packet: it is half-open and will not be established here.
    Abandon(FiveTuple),
    /// Reset the flow and forget its stack.
    Abort(FiveTuple),
    /// Send this packet to the fabric.
    Reset(Vec<u8>),
    /// Send a message to a node.
    Send {
        /// The node.
        to: NodeId,
        /// The message.
        body: FlowBody,
    },
    /// Nothing now: the packet is held until its owner is known.
    Hold,
    /// Drop the packet.
    Drop(DropReason),
}

/// Says why an agent dropped a packet.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DropReason {
    /// The agent's failure domain is out.
    DomainOut,
    /// The packet is for another service.
    WrongService,
    /// No agent takes new flows.
    NoOwner,
    /// The packet was passed on too often.
    TooManyHops,
    /// Another agent took this one for the flow's owner.
    NotOwner,
    /// The agent has as many flows as it may have.
    FlowsFull,
    /// The agent looks up as many flows as it may.
    LookupsFull,
    /// The agent doesn't know the service's members yet.
    NotSettled,
    /// Other nodes have a newer bundle.
    Behind,
    /// Nobody owns the flow, and a reset would answer a reset.
    Stray,
}
