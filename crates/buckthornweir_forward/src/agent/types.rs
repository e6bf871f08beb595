//! Inputs and outputs of an agent.

use std::net::SocketAddrV4;
use std::time::Duration;

use smol_str::SmolStr;

use super::OverloadInputs;
use crate::NodeId;
use crate::backend::{ColdBound, Shut};
use crate::loads::Load;
use crate::peers::Peers;
use crate::plan::Plan;
use crate::segment::FlowKey;
use crate::tag::Tag;

/// Configuration of an agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Process of the agent.
    pub node: NodeId,
    /// Address at which the agent receives packets.
    pub packet_addr: SocketAddrV4,
    /// Failure domain of the agent.
    pub domain: SmolStr,
    /// Service of the agent.
    pub service: SmolStr,
    /// Bounds on new flows for a cold backend server.
    pub cold_bound: ColdBound,
    /// Interval between reports of the backend server.
    pub report_period: Duration,
    /// Start time of the agent, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// The capacity that an agent announces for new flows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Offer {
    /// Whether it accepts new flows.
    pub accepts: bool,
    /// Whether its backend server is cold.
    pub cold: bool,
    /// Number of free slots of its backend server.
    pub free: u32,
    /// Weight step of the agent, from 1 to 16.
    pub weight: u8,
}

/// The reason why a packet was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DropReason {
    /// The packet is held until the flow's owner is known or the backend server accepts it.
    Held,
    /// No agent owns the flow.
    NoOwner,
    /// The packet exceeded the hop limit.
    HopLimit,
    /// The local plan does not route the address to this service.
    NoRoute,
    /// Too many lookups are running.
    LookupsFull,
    /// The packet is a hedged SYN that the backend server can't serve at once.
    Hedged,
    /// The new flow can't start here, but another copy of its SYN may have reached a backend server, so
    /// that a reset might be untruthful.
    Overloaded,
    /// The packet of the backend server has no caller as its target.
    Odd,
}

/// A question to another agent: does it own this flow?
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Question {
    /// The flow.
    pub key: FlowKey,
    /// Acknowledgement number of the packet, which the owner compares with its SYN-ACK.
    pub acknowledged: u32,
}

/// An agent's answer to a question.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Packet address of the agent.
    pub agent: SocketAddrV4,
    /// Whether the agent owns the flow.
    pub reply: Reply,
    /// [`Peers::fingerprint`] of the agents that it knows.
    pub known: u64,
    /// [`Peers::instances`] of the agents that it knows, or 0 if it is of a release that doesn't
    /// send it.
    pub instances: u64,
}

/// What an agent reports about a flow that it was asked about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The local backend server holds the flow.
    Owned,
    /// The local backend server does not hold the flow.
    NotOwned,
    /// The local backend server does not hold the flow and never did: the agent has seen all its
    /// flows.
    NeverOwned,
    /// No backend server has been present since the agent started, so it holds no flows. The agent
    /// promises to start none before the asker has acknowledged an [`Action::Withdraw`], or
    /// [`EMPTY_TTL`](super::EMPTY_TTL) has passed.
    Empty,
    /// The local backend server may hold the flow from before the agent started.
    MaybeOwned,
}

/// An action for the caller of this crate to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Delivers the current packet, or the given one, to the backend server.
    Deliver {
        /// Bytes of a held packet; `None` for the current packet.
        bytes: Option<Vec<u8>>,
        /// Tag to write to the packet.
        tag: Tag,
    },
    /// Passes the current packet, or the given one, to another agent.
    Pass {
        /// Bytes of a held packet; `None` for the current packet.
        bytes: Option<Vec<u8>>,
        /// Packet address of the agent.
        to: SocketAddrV4,
        /// Tag to write to the packet.
        tag: Tag,
        /// Why the packet is passed on.
        reason: PassReason,
    },
    /// Records the inputs of an overload decision. The next action carries the decision out.
    Explain {
        /// The flow.
        key: FlowKey,
        /// The inputs.
        inputs: OverloadInputs,
    },
    /// Sends the current packet to its caller.
    ToCaller,
    /// Resets the caller's flow.
    Reset {
        /// The flow.
        key: FlowKey,
        /// Sequence number of the RST.
        sequence: u32,
        /// Why the flow is reset.
        reason: ResetReason,
    },
    /// Asks another agent about a flow.
    Ask {
        /// Question address of the agent.
        to: SocketAddrV4,
        /// The question.
        question: Question,
    },
    /// Answers an agent's probe.
    AnswerProbe {
        /// Packet address of the agent that sent the probe.
        to: SocketAddrV4,
        /// The flow.
        key: FlowKey,
        /// Whether the local backend server holds the flow.
        reply: Reply,
    },
    /// Withdraws the promise of an earlier [`Reply::Empty`].
    Withdraw {
        /// Question address of the agent that asked.
        to: SocketAddrV4,
        /// Start time of this agent, by which acknowledgements are matched.
        started_ms: u64,
    },
    /// Informs the sender of a packet about the agent that owns the flow.
    Hint {
        /// Packet address of the sender.
        to: SocketAddrV4,
        /// The flow.
        key: FlowKey,
        /// Packet address of the flow's agent.
        agent: SocketAddrV4,
        /// Load of the sending agent; `None` without overload control.
        load: Option<Load>,
    },
    /// Records that a new flow was delivered to the backend server.
    Opened {
        /// The flow.
        key: FlowKey,
    },
    /// Records that the backend server responded to a request.
    Served {
        /// The flow.
        key: FlowKey,
        /// Time from the request's first packet to the response's first packet.
        took: Duration,
    },
    /// Records that a SYN waits for a slot of the backend server.
    Queued {
        /// The flow.
        key: FlowKey,
    },
    /// Records that a SYN no longer waits: it is delivered, passed on, rejected or dropped.
    Dequeued {
        /// The flow.
        key: FlowKey,
        /// How long it has waited.
        waited: Duration,
    },
    /// Drops the current packet.
    Drop(DropReason),
    /// Records that a lookup found no owner. Its packets stay held for agents that start later.
    OwnerNotFound {
        /// The flow.
        key: FlowKey,
        /// Packet addresses of the agents that did not answer.
        missing: Vec<SocketAddrV4>,
        /// Whether all other agents denied the flow while knowing no agent that is unknown here.
        same_view: bool,
    },
}

/// The reason why a packet was passed to another agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PassReason {
    /// The other agent owns the flow.
    Owner,
    /// The other agent may own the flow.
    MayOwn,
    /// The local backend server has no free slot.
    Busy,
    /// The local backend server accepts no new flows.
    Shut(Shut),
    /// The local backend server returned the packet.
    Returned,
    /// The local backend server has not answered an earlier transmission.
    Unanswered,
    /// The request would not complete in time at the local backend server.
    Overloaded,
    /// This agent stops while it looks for the flow's owner.
    Stopping,
}

/// The reason why a flow was reset.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResetReason {
    /// No backend server accepts the new flow.
    NobodyTakes,
    /// The backend server that held the flow has lost it.
    Lost,
    /// The backend server that held the flow has restarted.
    Restarted,
    /// No backend server holds the flow, according to all agents.
    Unowned,
    /// No known backend server can complete the request in time.
    Overloaded,
}

/// What an agent expects for a new flow under an overload policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Latency objective of the route, if stated.
    pub objective: Option<Duration>,
    /// Expected wait for a slot; `None` if service times are unknown.
    pub wait: Option<Duration>,
    /// Expected service time of the request; `None` if unknown.
    pub service: Option<Duration>,
    /// Number of queued SYNs.
    pub queued: usize,
}

/// An agent's view of the system, besides its own state.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The plan in force.
    pub plan: &'a Plan,
    /// The live agents.
    pub peers: &'a Peers,
    /// Whether this process has run long enough to have heard of every agent that restarted and may
    /// return with its flows.
    pub grace_elapsed: bool,
    /// Whether all agents known to other processes are known to this one.
    pub peers_synced: bool,
}
