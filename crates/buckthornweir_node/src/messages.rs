//! Peer messages: the messages between processes.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use buckthornweir_forward::agent::{Question, Reply};
use buckthornweir_forward::loads::Load;
use buckthornweir_forward::segment::FlowKey;
use buckthornweir_members::messages::MessageError;
use buckthornweir_members::{Message as MembersMessage, Roster, RosterRequest};
use prost::{Message, Oneof};

/// Maximum size of a message sent as a datagram. It stays below the usual MTUs, so that the
/// datagram is not fragmented.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Maximum number of flows in one message: at 27 bytes each they fit into a datagram.
pub(crate) const MAX_FLOWS_PER_MESSAGE: usize = 40;

/// Maximum size of a message sent over a connection.
pub(crate) const MAX_FRAME_BYTES: usize = 9 * 1024 * 1024;

/// A message from one process to another.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PeerMessage {
    #[prost(oneof = "PeerBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub(crate) body: Option<PeerBody>,
}

/// The content of a peer message.
#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum PeerBody {
    /// A membership message, as encoded by the members crate.
    #[prost(bytes = "vec", tag = "1")]
    Members(Vec<u8>),
    /// An agent's questions about the owners of flows.
    #[prost(message, tag = "2")]
    Ask(AskMessage),
    /// An agent's answers.
    #[prost(message, tag = "3")]
    Tell(TellMessage),
    /// The agent that owns a flow.
    #[prost(message, tag = "4")]
    Hint(HintMessage),
    /// The presence of a control VM, as encoded by the quorum crate.
    #[prost(bytes = "vec", tag = "5")]
    Presence(Vec<u8>),
    /// A message of the replicated log.
    #[prost(message, tag = "6")]
    Quorum(QuorumMessage),
    /// A notice to a control VM that it was removed from the log.
    #[prost(message, tag = "7")]
    Expelled(ExpelledMessage),
    /// A request for a newer plan, over a connection.
    #[prost(message, tag = "8")]
    PlanRequest(PlanRequestMessage),
    /// The sender's plan, over a connection.
    #[prost(message, tag = "9")]
    Plan(PlanMessage),
    /// A request for members, over a connection.
    #[prost(message, tag = "10")]
    RosterRequest(RosterRequestMessage),
    /// Members that the requester lacks, over a connection.
    #[prost(message, tag = "11")]
    Roster(RosterMessage),
    /// An agent's withdrawal of its promise to start no flows. Earlier releases don't read it.
    #[prost(message, tag = "12")]
    Withdraw(WithdrawMessage),
    /// The acknowledgement of a withdrawal.
    #[prost(message, tag = "13")]
    Withdrawn(WithdrawnMessage),
}

/// A request for the members that the sender lacks.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RosterRequestMessage {
    /// Address on which the sender receives peer messages.
    #[prost(fixed64, tag = "2")]
    pub(crate) asker: u64,
    /// The sender's own record, as a membership message.
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) introduction: Vec<u8>,
    /// Digests of the members that the sender knows, one for each part of its table.
    #[prost(fixed32, repeated, tag = "1")]
    pub(crate) digests: Vec<u32>,
}

/// The members that the requester lacks.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RosterMessage {
    /// Membership messages, as encoded by the members crate.
    #[prost(bytes = "vec", repeated, tag = "1")]
    pub(crate) messages: Vec<Vec<u8>>,
    /// Digests of the members that the sender knows, one for each part of its table.
    #[prost(fixed32, repeated, tag = "2")]
    pub(crate) digests: Vec<u32>,
    /// Whether the sender's table is complete.
    #[prost(bool, tag = "3")]
    pub(crate) whole: bool,
}

/// The key of a flow; each field holds an address and a port.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct FlowMessage {
    #[prost(fixed64, tag = "1")]
    pub(crate) caller: u64,
    #[prost(fixed64, tag = "2")]
    pub(crate) service: u64,
}

/// An agent's questions about flows.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct AskMessage {
    /// Address on which the sender receives peer messages.
    #[prost(fixed64, tag = "1")]
    pub(crate) asker: u64,
    #[prost(message, repeated, tag = "2")]
    pub(crate) flows: Vec<AskedFlow>,
}

/// A question about a flow.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct AskedFlow {
    #[prost(message, required, tag = "1")]
    pub(crate) flow: FlowMessage,
    /// Acknowledgement number of the packet that caused the question.
    #[prost(fixed32, tag = "2")]
    pub(crate) acknowledged: u32,
}

/// An agent's answers about flows.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct TellMessage {
    /// Packet address of the sender.
    #[prost(fixed64, tag = "1")]
    pub(crate) agent: u64,
    /// Fingerprint of the set of agents that the sender knows.
    #[prost(fixed64, tag = "2")]
    pub(crate) known: u64,
    #[prost(message, repeated, tag = "3")]
    pub(crate) flows: Vec<ToldFlow>,
    /// Fingerprint of the starts of these agents. 0 in releases that don't send it.
    #[prost(fixed64, tag = "4")]
    pub(crate) instances: u64,
    /// Whether a [`Reply::Empty`] is a promise to start no flows. Earlier releases make none.
    #[prost(bool, tag = "5")]
    pub(crate) promises: bool,
}

impl TellMessage {
    /// Returns the reply in an answer, if it is known.
    pub(crate) fn reply(&self, told: &ToldFlow) -> Option<Reply> {
        match reply_from_code(told.reply) {
            Some(Reply::Empty) if !self.promises => Some(Reply::NeverOwned),
            reply => reply,
        }
    }
}

/// Withdraws the promise of an agent that has answered [`Reply::Empty`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct WithdrawMessage {
    /// Packet address of the sender.
    #[prost(fixed64, tag = "1")]
    pub(crate) agent: u64,
    /// Address on which the sender receives peer messages.
    #[prost(fixed64, tag = "2")]
    pub(crate) sender: u64,
    /// Start time of the sender.
    #[prost(fixed64, tag = "3")]
    pub(crate) started_ms: u64,
}

/// Acknowledges a [`WithdrawMessage`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct WithdrawnMessage {
    /// Address on which the sender receives peer messages.
    #[prost(fixed64, tag = "1")]
    pub(crate) asker: u64,
    /// Start time in the withdrawal.
    #[prost(fixed64, tag = "2")]
    pub(crate) started_ms: u64,
}

/// The answer about a flow.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct ToldFlow {
    #[prost(message, required, tag = "1")]
    pub(crate) flow: FlowMessage,
    /// Code of a [`Reply`]: 0 `NotOwned`, 1 `Owned`, 2 `MaybeOwned`, 3 `NeverOwned`, 4 `Empty`.
    #[prost(uint32, tag = "2")]
    pub(crate) reply: u32,
}

/// Informs a process about the agent that owns a flow.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct HintMessage {
    #[prost(message, required, tag = "1")]
    pub(crate) flow: FlowMessage,
    /// Packet address of the flow's agent.
    #[prost(fixed64, tag = "2")]
    pub(crate) agent: u64,
    /// Load of the sender. Earlier releases neither send nor read it.
    #[prost(message, optional, tag = "3")]
    pub(crate) load: Option<LoadMessage>,
}

/// The load of an agent's backend server.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct LoadMessage {
    /// Packet address of the agent whose load this is.
    #[prost(fixed64, tag = "1")]
    pub(crate) agent: u64,
    /// Expected wait of a new flow of the lowest priority, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub(crate) wait: u32,
    /// Mean service time of a request in milliseconds; 0 if unknown.
    #[prost(uint32, tag = "3")]
    pub(crate) service: u32,
    /// Number of further flows that start without waiting.
    #[prost(uint32, tag = "4")]
    pub(crate) capacity: u32,
    /// Number of requests that run concurrently.
    #[prost(uint32, tag = "5")]
    pub(crate) slots: u32,
}

impl LoadMessage {
    pub(crate) fn new(agent: SocketAddrV4, load: Load) -> Self {
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        Self {
            agent: pack(agent),
            wait: millis(load.wait),
            service: millis(load.service),
            capacity: load.capacity,
            slots: load.slots,
        }
    }

    pub(crate) fn read(self) -> (SocketAddrV4, Load) {
        let load = Load {
            wait: Duration::from_millis(self.wait.into()),
            service: Duration::from_millis(self.service.into()),
            capacity: self.capacity,
            slots: self.slots,
        };
        (unpack(self.agent), load)
    }
}

/// A message of the replicated log.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct QuorumMessage {
    /// Identity stored in the sender's data folder.
    #[prost(fixed64, tag = "1")]
    pub(crate) from: u64,
    /// Address on which the sender receives peer messages.
    #[prost(fixed64, tag = "2")]
    pub(crate) address: u64,
    /// The message, as encoded by the quorum crate.
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) bytes: Vec<u8>,
}

/// A notice to a control VM that it was removed from the log.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct ExpelledMessage {
    /// Identity of the log.
    #[prost(fixed64, tag = "1")]
    pub(crate) cluster: u64,
    /// Identity of the removed VM.
    #[prost(fixed64, tag = "2")]
    pub(crate) id: u64,
    /// Commit index of the sender.
    #[prost(uint64, tag = "3")]
    pub(crate) index: u64,
}

/// A request for a plan above a revision.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct PlanRequestMessage {
    #[prost(uint64, tag = "1")]
    pub(crate) above: u64,
}

/// A plan, with the configuration that defines it.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct PlanMessage {
    /// Revision of the plan; 0 if the sender has no newer plan.
    #[prost(uint64, tag = "1")]
    pub(crate) revision: u64,
    /// Version of the configuration.
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
    /// The configuration as the operator sent it.
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) text: Vec<u8>,
    /// Failure domains that are out.
    #[prost(string, repeated, tag = "4")]
    pub(crate) domains_out: Vec<String>,
    /// Failure domains that were brought back, each with the revision of the last order that did
    /// so.
    #[prost(btree_map = "string, uint64", tag = "5")]
    pub(crate) domains_back: BTreeMap<String, u64>,
}

impl PeerMessage {
    pub(crate) fn new(body: PeerBody) -> Self {
        Self { body: Some(body) }
    }
}

impl RosterRequestMessage {
    pub(crate) fn new(asker: SocketAddrV4, request: &RosterRequest) -> Self {
        Self {
            asker: pack(asker),
            introduction: request.introduction.encode(),
            digests: request.digests.clone(),
        }
    }

    /// Returns the requester's address and its request.
    ///
    /// # Errors
    ///
    /// Returns an error if the introduction is malformed.
    pub(crate) fn read(self) -> Result<(SocketAddrV4, RosterRequest), MessageError> {
        let request = RosterRequest {
            introduction: MembersMessage::decode(&self.introduction)?,
            digests: self.digests,
        };
        Ok((unpack(self.asker), request))
    }
}

impl From<&Roster> for RosterMessage {
    fn from(roster: &Roster) -> Self {
        Self {
            messages: roster.messages.iter().map(MembersMessage::encode).collect(),
            digests: roster.digests.clone(),
            whole: roster.whole,
        }
    }
}

impl RosterMessage {
    /// Returns the roster.
    ///
    /// # Errors
    ///
    /// Returns an error if one of its messages is malformed.
    pub(crate) fn read(self) -> Result<Roster, MessageError> {
        let messages = self
            .messages
            .iter()
            .map(|bytes| MembersMessage::decode(bytes));
        Ok(Roster {
            messages: messages.collect::<Result<_, _>>()?,
            digests: self.digests,
            whole: self.whole,
        })
    }
}

impl From<FlowKey> for FlowMessage {
    fn from(key: FlowKey) -> Self {
        Self {
            caller: pack(key.caller),
            service: pack(key.service),
        }
    }
}

impl From<FlowMessage> for FlowKey {
    fn from(flow: FlowMessage) -> Self {
        Self {
            caller: unpack(flow.caller),
            service: unpack(flow.service),
        }
    }
}

impl From<AskedFlow> for Question {
    fn from(asked: AskedFlow) -> Self {
        Self {
            key: asked.flow.into(),
            acknowledged: asked.acknowledged,
        }
    }
}

impl From<Question> for AskedFlow {
    fn from(question: Question) -> Self {
        Self {
            flow: question.key.into(),
            acknowledged: question.acknowledged,
        }
    }
}

/// Builds the answer about a flow.
pub(crate) fn flow_answer(flow: FlowMessage, reply: Reply) -> ToldFlow {
    ToldFlow {
        flow,
        reply: reply_code(reply),
    }
}

/// Returns the code of a reply.
fn reply_code(reply: Reply) -> u32 {
    match reply {
        Reply::NotOwned => 0,
        Reply::Owned => 1,
        Reply::MaybeOwned => 2,
        Reply::NeverOwned => 3,
        Reply::Empty => 4,
    }
}

/// Returns the reply with the given code, if it is known.
fn reply_from_code(code: u32) -> Option<Reply> {
    match code {
        0 => Some(Reply::NotOwned),
        1 => Some(Reply::Owned),
        2 => Some(Reply::MaybeOwned),
        3 => Some(Reply::NeverOwned),
        4 => Some(Reply::Empty),
        _ => None,
    }
}

/// Packs an address and a port into one number.
pub(crate) fn pack(address: SocketAddrV4) -> u64 {
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}

/// Unpacks an address and a port that [`pack`] combined.
pub(crate) fn unpack(packed: u64) -> SocketAddrV4 {
    let ip = Ipv4Addr::from_bits((packed >> 16) as u32);
    SocketAddrV4::new(ip, packed as u16)
}
