//! What an agent is told, says and asks for.

use std::net::SocketAddrV4;
use std::time::Duration;

use smol_str::SmolStr;

use crate::NodeId;
use crate::backend::{ColdBound, Shut};
use crate::peers::Peers;
use crate::plan::Plan;
use crate::segment::FlowKey;
use crate::tag::Tag;

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// The agent's process.
    pub node: NodeId,
    /// Where the agent takes packets.
    pub packet_addr: SocketAddrV4,
    /// The agent's failure domain.
    pub domain: SmolStr,
    /// The agent's service.
    pub service: SmolStr,
    /// Bounds for a cold backend server.
    pub cold_bound: ColdBound,
    /// Time between two reports of the backend server.
    pub report_period: Duration,
    /// When the agent started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// What an agent offers to new flows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Offer {
    /// Whether it takes any.
    pub accepts: bool,
    /// Whether its backend server is cold.
    pub cold: bool,
    /// Free slots of its backend server.
    pub free: u32,
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DropReason {
    /// It waits for the owner of its flow, or for the backend server.
    Held,
    /// No agent holds its flow.
    NoOwner,
    /// Agents passed it on too often.
    HopLimit,
    /// The plan known here does not lead its address to this service.
    NoRoute,
    /// Too many owners are looked up.
    LookupsFull,
    /// The backend server sent it to no caller.
    Odd,
}

/// Which agent holds a flow?
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Question {
    /// The flow.
    pub key: FlowKey,
    /// Acknowledgement of the packet, by which the holder knows its own answer to the SYN.
    pub acknowledged: u32,
}

/// An agent's answer to a question.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Where the agent takes packets.
    pub agent: SocketAddrV4,
    /// What it says about the flow.
    pub reply: Reply,
    /// [`Peers::fingerprint`] of the agents that it knows.
    pub known: u64,
}

/// What an agent says about a flow that it was asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The backend server here holds it.
    Owned,
    /// The backend server here does not hold it.
    NotOwned,
    /// The backend server here does not hold it, and never did: this agent has seen all of its flows.
    NeverOwned,
    /// No backend server has been here since this agent started, and no flow is held.
    Empty,
    /// The backend server here may hold it from before the agent started.
    MaybeOwned,
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// The packet at hand, or the one given, goes to the backend server.
    Deliver {
        /// Bytes of an earlier packet; `None` for the one at hand.
        bytes: Option<Vec<u8>>,
        /// The note on the packet.
        tag: Tag,
    },
    /// The packet at hand, or the one given, goes to another agent.
    Pass {
        /// Bytes of an earlier packet; `None` for the one at hand.
        bytes: Option<Vec<u8>>,
        /// Where the agent takes packets.
        to: SocketAddrV4,
        /// The note on the packet.
        tag: Tag,
        /// Why it goes there.
        reason: PassReason,
    },
    /// The packet at hand goes to its caller.
    ToCaller,
    /// The caller's flow is reset.
    Reset {
        /// The flow.
        key: FlowKey,
        /// Sequence number of the reset.
        sequence: u32,
        /// Why.
        reason: ResetReason,
    },
    /// Another agent is asked for a flow.
    Ask {
        /// Where the agent takes questions.
        to: SocketAddrV4,
        /// The question.
        question: Question,
    },
    /// An agent that asked by a copy of a packet is answered.
    AnswerProbe {
        /// Where that agent takes packets.
        to: SocketAddrV4,
        /// The flow.
        key: FlowKey,
        /// Whether the backend server here holds it.
        reply: Reply,
    },
    /// The process that sent the packet is told where the flow is.
    Hint {
        /// Where that process takes packets.
        to: SocketAddrV4,
        /// The flow.
        key: FlowKey,
        /// Where the flow's agent takes packets.
        agent: SocketAddrV4,
    },
    /// A new flow was given to the backend server.
    Opened {
        /// The flow.
        key: FlowKey,
    },
    /// A request was answered after this time.
    Served {
        /// The flow.
        key: FlowKey,
        /// Time from the request's first packet to the answer's first packet.
        took: Duration,
    },
    /// The packet at hand is dropped.
    Drop(DropReason),
    /// The packets that waited for the owner of a flow are dropped.
    OwnerNotFound {
        /// The flow.
        key: FlowKey,
        /// Where the agents that did not answer take packets.
        missing: Vec<SocketAddrV4>,
        /// Whether all other agents denied the flow while they knew the same ones.
        same_view: bool,
    },
}

/// Why a packet went to another agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PassReason {
    /// The other agent holds the flow.
    Owner,
    /// The other agent may hold the flow.
    MayOwn,
    /// The backend server here has no free slot.
    Busy,
    /// The backend server here takes no new flow.
    Shut(Shut),
    /// The backend server here returned it.
    Returned,
    /// The backend server here has not answered an earlier copy.
    Unanswered,
}

/// Why a flow was reset.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResetReason {
    /// No backend server takes the new flow.
    NobodyTakes,
    /// The backend server that held the flow has lost it.
    Lost,
    /// The backend server that held the flow has restarted.
    Restarted,
    /// No backend server holds the flow: all agents have said so.
    Unowned,
}

/// What an agent decides by, besides its own state.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The plan in force.
    pub plan: &'a Plan,
    /// The live agents.
    pub peers: &'a Peers,
    /// Whether no other agent may come back with its flows: this process runs long enough to have heard
    /// of one that restarts.
    pub grace_elapsed: bool,
    /// Whether all agents that other processes know are known here.
    pub peers_synced: bool,
}
