//! Messages between the processes.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use buckthornweir_forward::agent::{Question, Reply};
use buckthornweir_forward::segment::FlowKey;
use buckthornweir_members::messages::MessageError;
use buckthornweir_members::{Message as MembersMessage, Roster, RosterRequest};
use prost::{Message, Oneof};

/// Largest message that travels in one datagram, in bytes; it fits into every usual link.
pub(crate) const DATAGRAM_LIMIT: usize = 1_200;

/// Flows in one question: they fit into a datagram with 27 bytes each.
pub(crate) const ASKED_FLOWS: usize = 40;

/// Largest message that travels over a connection, in bytes.
pub(crate) const FRAME_LIMIT: usize = 9 * 1024 * 1024;

/// A message between two processes.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PeerMessage {
    #[prost(oneof = "PeerBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub(crate) body: Option<PeerBody>,
}

/// What is said.
#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum PeerBody {
    /// A message of the membership, as its crate encodes it.
    #[prost(bytes = "vec", tag = "1")]
    Members(Vec<u8>),
    /// An agent asks for a flow.
    #[prost(message, tag = "2")]
    Ask(AskMessage),
    /// An agent answers.
    #[prost(message, tag = "3")]
    Tell(TellMessage),
    /// An agent tells where a flow is.
    #[prost(message, tag = "4")]
    Hint(HintMessage),
    /// What a control VM says of itself, as the quorum crate encodes it.
    #[prost(bytes = "vec", tag = "5")]
    Presence(Vec<u8>),
    /// A message of the replicated log.
    #[prost(message, tag = "6")]
    Quorum(QuorumMessage),
    /// A control VM was removed from the log.
    #[prost(message, tag = "7")]
    Expelled(ExpelledMessage),
    /// Asks for a newer plan, over a connection.
    #[prost(message, tag = "8")]
    PlanRequest(PlanRequestMessage),
    /// The plan that the sender holds, over a connection.
    #[prost(message, tag = "9")]
    Plan(PlanMessage),
    /// Asks for members, over a connection.
    #[prost(message, tag = "10")]
    RosterRequest(RosterRequestMessage),
    /// Members that the asker does not know, over a connection.
    #[prost(message, tag = "11")]
    Roster(RosterMessage),
}

/// Asks for the members that the sender does not know.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RosterRequestMessage {
    /// Where the sender takes messages.
    #[prost(fixed64, tag = "2")]
    pub(crate) asker: u64,
    /// The sender's own record, as a message of the membership.
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) introduction: Vec<u8>,
    /// Digests of those that it knows, one for each part of its table.
    #[prost(fixed32, repeated, tag = "1")]
    pub(crate) digests: Vec<u32>,
}

/// Members that the asker does not know.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RosterMessage {
    /// Messages of the membership, as its crate encodes them.
    #[prost(bytes = "vec", repeated, tag = "1")]
    pub(crate) messages: Vec<Vec<u8>>,
    /// Digests of those that the sender knows, one for each part of its table.
    #[prost(fixed32, repeated, tag = "2")]
    pub(crate) digests: Vec<u32>,
    /// Whether the sender's table is whole.
    #[prost(bool, tag = "3")]
    pub(crate) whole: bool,
}

/// A flow, as two addresses with ports.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct FlowMessage {
    #[prost(fixed64, tag = "1")]
    pub(crate) caller: u64,
    #[prost(fixed64, tag = "2")]
    pub(crate) service: u64,
}

/// An agent asks for flows.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct AskMessage {
    /// Where the asker takes questions and answers.
    #[prost(fixed64, tag = "1")]
    pub(crate) asker: u64,
    #[prost(message, repeated, tag = "2")]
    pub(crate) flows: Vec<AskedFlow>,
}

/// A flow that is asked for.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct AskedFlow {
    #[prost(message, required, tag = "1")]
    pub(crate) flow: FlowMessage,
    /// Acknowledgement of the packet.
    #[prost(fixed32, tag = "2")]
    pub(crate) acknowledged: u32,
}

/// An agent answers questions.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct TellMessage {
    /// Where the sender takes packets.
    #[prost(fixed64, tag = "1")]
    pub(crate) agent: u64,
    /// Fingerprint of the agents that the sender knows.
    #[prost(fixed64, tag = "2")]
    pub(crate) known: u64,
    #[prost(message, repeated, tag = "3")]
    pub(crate) flows: Vec<ToldFlow>,
}

/// What is said of a flow.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct ToldFlow {
    #[prost(message, required, tag = "1")]
    pub(crate) flow: FlowMessage,
    /// 0 not mine, 1 mine, 2 perhaps, 3 never mine, 4 nothing.
    #[prost(uint32, tag = "2")]
    pub(crate) reply: u32,
}

/// An agent tells where a flow is.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct HintMessage {
    #[prost(message, required, tag = "1")]
    pub(crate) flow: FlowMessage,
    /// Where the flow's agent takes packets.
    #[prost(fixed64, tag = "2")]
    pub(crate) agent: u64,
}

/// A message of the replicated log.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct QuorumMessage {
    /// Identity of the sender's data folder.
    #[prost(fixed64, tag = "1")]
    pub(crate) from: u64,
    /// Where the sender takes messages.
    #[prost(fixed64, tag = "2")]
    pub(crate) address: u64,
    /// The message, as the quorum crate encodes it.
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) bytes: Vec<u8>,
}

/// A control VM was removed from the log.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct ExpelledMessage {
    /// The log.
    #[prost(fixed64, tag = "1")]
    pub(crate) cluster: u64,
    /// Identity that is no member.
    #[prost(fixed64, tag = "2")]
    pub(crate) id: u64,
    /// Index up to which the sender has committed.
    #[prost(uint64, tag = "3")]
    pub(crate) index: u64,
}

/// Asks for a plan above a revision.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct PlanRequestMessage {
    #[prost(uint64, tag = "1")]
    pub(crate) above: u64,
}

/// A plan.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct PlanMessage {
    /// State of the plan; 0 when the sender has none that is newer.
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
    /// Failure domains that were taken back, with the state of the log that the last order to do so made.
    #[prost(btree_map = "string, uint64", tag = "5")]
    pub(crate) domains_back: BTreeMap<String, u64>,
}

impl PeerMessage {
    pub(crate) fn of(body: PeerBody) -> Self {
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

    /// Returns the asker's address and what it asks.
    ///
    /// # Errors
    ///
    /// Returns an error when the introduction is malformed.
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
    /// Returns an error when one of its messages is malformed.
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

/// Returns what is said of a flow.
pub(crate) fn told_flow(flow: FlowMessage, reply: Reply) -> ToldFlow {
    ToldFlow {
        flow,
        reply: reply_number(reply),
    }
}

/// Returns the number that stands for a reply.
fn reply_number(reply: Reply) -> u32 {
    match reply {
        Reply::NotOwned => 0,
        Reply::Owned => 1,
        Reply::MaybeOwned => 2,
        Reply::NeverOwned => 3,
        Reply::Empty => 4,
    }
}

/// Returns the reply that a number stands for.
pub(crate) fn reply_of(number: u32) -> Option<Reply> {
    match number {
        0 => Some(Reply::NotOwned),
        1 => Some(Reply::Owned),
        2 => Some(Reply::MaybeOwned),
        3 => Some(Reply::NeverOwned),
        4 => Some(Reply::Empty),
        _ => None,
    }
}

/// Returns an address and port as one number.
pub(crate) fn pack(address: SocketAddrV4) -> u64 {
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}

/// Returns the address and port that a number holds.
pub(crate) fn unpack(number: u64) -> SocketAddrV4 {
    let ip = Ipv4Addr::from_bits((number >> 16) as u32);
    SocketAddrV4::new(ip, number as u16)
}
