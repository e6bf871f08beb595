//! Messages that balancers and agents exchange about flows.

use std::net::{IpAddr, SocketAddr};

use prost::{Message, Oneof};
use quick_error::quick_error;

use crate::packet::FiveTuple;

/// Largest encoded message that [`decode`] accepts, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// The result of decoding a message.
pub type Result<T> = std::result::Result<T, MessageError>;

quick_error! {
    /// The reason why a message can't be decoded.
    #[derive(Clone, Debug, PartialEq)]
    pub enum MessageError {
        /// The message is longer than [`MAX_MESSAGE_BYTES`].
        TooLong(length: usize) {
            display("message of {length} bytes is too long")
        }
        /// The bytes aren't a valid message.
        Decode(source: prost::DecodeError) {
            display("bad message: {source}")
            source(source)
            from()
        }
        /// The message has no body, or a kind of body that is unknown to this version.
        NoBody {
            display("message has no known body")
        }
        /// A required field is missing.
        MissingField(field: &'static str) {
            display("message has no {field}")
        }
        /// The value of a field is out of range.
        OutOfRange(field: &'static str) {
            display("{field} is out of range")
        }
        /// An encoded address has the wrong length in bytes.
        AddressLength(length: usize) {
            display("address of {length} bytes is neither IPv4 nor IPv6 with a port")
        }
    }
}

/// A message between balancers and agents.
#[derive(Clone, PartialEq, Message)]
pub struct FlowMessage {
    /// The content of the message.
    #[prost(oneof = "FlowBody", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<FlowBody>,
}

/// The content of a message.
#[derive(Clone, PartialEq, Oneof)]
pub enum FlowBody {
    /// A packet on its way to the agent that owns its flow.
    #[prost(message, tag = "1")]
    Forward(Forward),
    /// A query whether an agent owns a flow.
    #[prost(message, tag = "2")]
    Query(Query),
    /// The answer to a query.
    #[prost(message, tag = "3")]
    Answer(Answer),
    /// The owner of a flow, sent to a balancer.
    #[prost(message, tag = "4")]
    Hint(Hint),
    /// The refusal of a forwarded packet.
    #[prost(message, tag = "5")]
    Refusal(Refusal),
    /// Flows that an agent offers to hand over.
    #[prost(message, tag = "6")]
    Offer(Offer),
    /// The answer to an offer.
    #[prost(message, tag = "7")]
    Taken(Taken),
}

/// A packet on its way to the agent that owns its flow.
#[derive(Clone, PartialEq, Message)]
pub struct Forward {
    /// Name of the service that the packet is for.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Version of the bundle that the sender's decision was based on.
    #[prost(uint64, tag = "2")]
    pub bundle_version: u64,
    /// Number of agents that have passed the packet on so far.
    #[prost(uint32, tag = "3")]
    pub hops: u32,
    /// The balancer that received the packet from the fabric.
    #[prost(uint64, tag = "4")]
    pub balancer: u64,
    /// The IP packet.
    #[prost(bytes = "vec", tag = "5")]
    pub packet: Vec<u8>,
    /// The agent that passed the packet on, or 0 if a balancer sent it.
    #[prost(uint64, tag = "6")]
    pub sender: u64,
}

/// A query whether an agent owns a flow.
#[derive(Clone, PartialEq, Message)]
pub struct Query {
    /// Name of the service that the flow belongs to.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The agent that sends the query.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// The flow.
    #[prost(message, optional, tag = "3")]
    pub flow: Option<FlowKey>,
    /// Number of the query, which the answer repeats.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// Acknowledgement number of the packet that caused the query, if it has one.
    #[prost(uint32, optional, tag = "5")]
    pub acknowledged: Option<u32>,
}

/// The answer to a query.
#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    /// Name of the service that the flow belongs to.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The agent that answers.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// The flow.
    #[prost(message, optional, tag = "3")]
    pub flow: Option<FlowKey>,
    /// Number of the query, or 0 for an unsolicited answer.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// The agent's knowledge about the flow's owner.
    #[prost(enumeration = "OwnerState", tag = "5")]
    pub state: i32,
    /// The owner of the flow if the state is [`OwnerState::Owned`], else 0.
    #[prost(uint64, tag = "6")]
    pub owner: u64,
    /// Version of the bundle in force at the agent.
    #[prost(uint64, tag = "7")]
    pub bundle_version: u64,
    /// Digest of the members of the agent's service in the agent's view.
    #[prost(fixed64, tag = "8")]
    pub members: u64,
}

/// An agent's knowledge about the owner of a flow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum OwnerState {
    /// The agent can't tell at present, so the query stays open.
    Unknown = 0,
    /// The agent owns the flow, or knows its owner.
    Owned = 1,
    /// The agent doesn't own the flow.
    NotOwner = 2,
}

/// The owner of a flow, sent to a balancer.
#[derive(Clone, PartialEq, Message)]
pub struct Hint {
    /// Name of the service that the flow belongs to.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The flow.
    #[prost(message, optional, tag = "2")]
    pub flow: Option<FlowKey>,
    /// The agent that owns the flow.
    #[prost(uint64, tag = "3")]
    pub owner: u64,
}

/// The refusal of a forwarded packet by an agent whose bundle may be newer than the sender's.
#[derive(Clone, PartialEq, Message)]
pub struct Refusal {
    /// Name of the service that the packet was for.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The agent that refuses the packet.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// Version of the bundle in force at the agent.
    #[prost(uint64, tag = "3")]
    pub bundle_version: u64,
}

/// Flows that an agent offers to hand over.
#[derive(Clone, PartialEq, Message)]
pub struct Offer {
    /// Name of the service that the flows belong to.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The agent that offers the flows.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// Incarnation of that agent.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Number of the offer, which increases within an incarnation.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// Lowest number of the unanswered offers to the same target.
    #[prost(uint64, tag = "5")]
    pub floor: u64,
    /// The flows.
    #[prost(message, repeated, tag = "6")]
    pub flows: Vec<MovedFlow>,
}

/// The answer to an offer.
#[derive(Clone, PartialEq, Message)]
pub struct Taken {
    /// The agent that answers.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Incarnation of the agent that made the offer.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the offer.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Whether each flow was accepted, in the order of the offer.
    #[prost(bool, repeated, tag = "4")]
    pub taken: Vec<bool>,
}

/// The state of a quiet flow that moves to another agent.
#[derive(Clone, PartialEq, Message)]
pub struct MovedFlow {
    /// The flow.
    #[prost(message, optional, tag = "1")]
    pub flow: Option<FlowKey>,
    /// Next sequence number towards the caller.
    #[prost(fixed32, tag = "2")]
    pub sent: u32,
    /// Next sequence number from the caller.
    #[prost(fixed32, tag = "3")]
    pub received: u32,
    /// Window field of the caller's last packet.
    #[prost(uint32, tag = "4")]
    pub window: u32,
    /// Maximum segment size that the caller announced, in bytes.
    #[prost(uint32, optional, tag = "5")]
    pub segment: Option<u32>,
    /// Window scale that the caller announced.
    #[prost(uint32, optional, tag = "6")]
    pub scale: Option<u32>,
    /// Whether the caller permits selective acknowledgements.
    #[prost(bool, tag = "7")]
    pub sack: bool,
    /// Size of the receive buffer in bytes.
    #[prost(uint32, tag = "8")]
    pub receive: u32,
}

/// The two endpoints of a flow.
#[derive(Clone, PartialEq, Message)]
pub struct FlowKey {
    /// Address and port of the caller, 6 bytes for IPv4 and 18 for IPv6.
    #[prost(bytes = "vec", tag = "1")]
    pub caller: Vec<u8>,
    /// Address and port of the service, 6 bytes for IPv4 and 18 for IPv6.
    #[prost(bytes = "vec", tag = "2")]
    pub service: Vec<u8>,
}

impl From<FlowBody> for FlowMessage {
    fn from(body: FlowBody) -> Self {
        Self { body: Some(body) }
    }
}

impl From<&FiveTuple> for FlowKey {
    fn from(tuple: &FiveTuple) -> Self {
        Self {
            caller: encode_address(tuple.caller),
            service: encode_address(tuple.service),
        }
    }
}

impl TryFrom<&FlowKey> for FiveTuple {
    type Error = MessageError;

    fn try_from(key: &FlowKey) -> Result<Self> {
        Ok(Self {
            caller: decode_address(&key.caller)?,
            service: decode_address(&key.service)?,
        })
    }
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error if the bytes are too long, aren't a valid message, or have no known body.
pub fn decode(bytes: &[u8]) -> Result<FlowBody> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(MessageError::TooLong(bytes.len()));
    }
    FlowMessage::decode(bytes)?.body.ok_or(MessageError::NoBody)
}

/// Decodes the flow key of a message.
///
/// # Errors
///
/// Returns an error if the flow is missing or one of its addresses has the wrong length.
pub fn decode_flow(flow: Option<&FlowKey>) -> Result<FiveTuple> {
    flow.ok_or(MessageError::MissingField("flow"))?.try_into()
}

fn encode_address(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend_from_slice(&address.port().to_be_bytes());
    bytes
}

fn decode_address(bytes: &[u8]) -> Result<SocketAddr> {
    let wrong_length = || MessageError::AddressLength(bytes.len());
    let (ip, port) = bytes.split_last_chunk::<2>().ok_or_else(wrong_length)?;
    let port = u16::from_be_bytes(*port);
    if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        return Ok(SocketAddr::new(octets.into(), port));
    }
    let octets = <[u8; 16]>::try_from(ip).map_err(|_| wrong_length())?;
    Ok(SocketAddr::new(octets.into(), port))
}
