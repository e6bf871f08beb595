//! The actions of an agent.

use crate::NodeId;
use crate::messages::FlowBody;
use crate::packet::FiveTuple;

/// An action that an agent carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a stack for the flow, deliver the packet to it, and call
    /// [`Ownership::record_syn_ack`](super::Ownership::record_syn_ack).
    Start(FiveTuple),
    /// Deliver the packet to the flow's stack.
    Deliver(FiveTuple),
    /// Drop the flow's stack without sending a packet: the half-open flow won't be established
    /// here.
    Abandon(FiveTuple),
    /// Reset the flow and drop its stack.
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
    /// Do nothing: the packet is held until the owner of its flow is known.
    Hold,
    /// Drop the packet.
    Drop(DropReason),
}

/// The reason why an agent drops a packet.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DropReason {
    /// The agent's failure domain is out.
    DomainOut,
    /// The packet is for another service.
    WrongService,
    /// No agent accepts new flows.
    NoOwner,
    /// The packet has reached the hop limit.
    TooManyHops,
    /// Another agent passed the packet on in the wrong belief that this agent owns the flow, or the
    /// flow is moving and no more packets are held.
    NotOwner,
    /// The agent has reached its maximum number of flows.
    FlowsFull,
    /// The agent has reached its maximum number of owner lookups.
    LookupsFull,
    /// The agent isn't settled: it may not know all members of the service yet.
    NotSettled,
    /// Other nodes have a newer bundle.
    Behind,
    /// The flow has no owner, and the packet is a reset, which is never answered with a reset.
    Stray,
}
