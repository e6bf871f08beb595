//! Messages between processes, as typed values.
//!
//! [`Message::decode`] accepts only what [`Message::encode`] can produce. It validates every field, and the
//! memory allocated for a datagram is bounded by the datagram's length.

mod convert;
pub mod wire;

use std::net::SocketAddr;

use quick_error::quick_error;
use smol_str::SmolStr;

use crate::record::RecordError;
use crate::{BundleStamp, Health, Incarnation, Instance, MemberState, NodeId, Record, Roles};

/// The maximum size of a decoded datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_500;

/// The maximum number of entries of any list in a message.
pub const MAX_ENTRIES: usize = 256;

/// A short hash that identifies a node's record at one incarnation.
pub type Fingerprint = u32;

/// The result of decoding a message.
pub type Result<T> = std::result::Result<T, MessageError>;

quick_error! {
    /// The reason why a datagram is not a valid message.
    #[derive(Debug, Clone, PartialEq)]
    pub enum MessageError {
        /// The datagram is larger than [`MAX_DATAGRAM_BYTES`].
        TooLarge(length: usize) {
            display("datagram of {length} bytes exceeds {MAX_DATAGRAM_BYTES} bytes")
        }
        /// The datagram is not a valid encoding.
        Malformed(cause: prost::DecodeError) {
            from()
            source(cause)
            display("malformed message: {cause}")
        }
        /// A mandatory field is missing.
        Missing(field: &'static str) {
            display("{field} is missing")
        }
        /// A list has more than [`MAX_ENTRIES`] entries.
        TooMany(field: &'static str, entries: usize) {
            display("{field} has {entries} entries, more than {MAX_ENTRIES}")
        }
        /// Parallel lists of a message differ in length.
        Uneven(field: &'static str) {
            display("{field} has columns of different lengths")
        }
        /// A value is outside its range.
        OutOfRange(field: &'static str, value: u64) {
            display("{field} can't be {value}")
        }
        /// A fixed-size field has the wrong size in bytes.
        WrongSize(field: &'static str, size: usize) {
            display("{field} can't have {size} bytes")
        }
        /// A field of a record exceeds its limit.
        Record(cause: RecordError) {
            from()
            source(cause)
            display("invalid record: {cause}")
        }
    }
}

/// A message from one process to another.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// The sender's state.
    pub header: Header,
    /// Piggybacked rumours about members.
    pub rumours: Vec<Rumour>,
    /// Fingerprints of records whose members are dead.
    pub deaths: Vec<Fingerprint>,
    /// Fingerprints of records with an incremented incarnation and no other change, which show that their
    /// members are alive.
    pub refutations: Vec<Fingerprint>,
    /// The request or response.
    pub body: Body,
}

/// The state of a message's sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// The sender.
    pub node: NodeId,
    /// The sender's instance.
    pub instance: Instance,
    /// The incarnation of the sender's record.
    pub incarnation: Incarnation,
    /// The sender's state.
    pub state: MemberState,
    /// The sender's weight step.
    pub weight: u8,
    /// The sender's free slots, rounded down to a power of two.
    pub free: u32,
    /// The bundle in force at the sender.
    pub bundle: BundleStamp,
    /// The digest of the members that the sender does not consider dead.
    pub table: u32,
}

/// The state of one member, as known to the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rumour {
    /// The member.
    pub node: NodeId,
    /// The member's instance.
    pub instance: Instance,
    /// The incarnation, which orders rumours about the member.
    pub incarnation: Incarnation,
    /// The member's health.
    pub health: Health,
    /// The member's state.
    pub state: MemberState,
    /// The member's weight step.
    pub weight: u8,
    /// The member's free slots, rounded down to a power of two.
    pub free: u32,
    /// The static part of the record, if included.
    pub profile: Option<Profile>,
}

/// The static part of a record, which doesn't change while the process runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Profile {
    /// The name shown to operators.
    pub name: SmolStr,
    /// The roles.
    pub roles: Roles,
    /// The failure domain.
    pub domain: SmolStr,
    /// The service of an agent.
    pub service: SmolStr,
    /// The UDP address for membership.
    pub gossip: SocketAddr,
    /// The UDP address for forwarded packets.
    pub flows: SocketAddr,
    /// The TCP address for links.
    pub control: SocketAddr,
}

impl Profile {
    /// Returns the static part of a record.
    pub(crate) fn of(record: &Record) -> Self {
        Self {
            name: record.name.clone(),
            roles: record.roles,
            domain: record.domain.clone(),
            service: record.service.clone(),
            gossip: record.gossip,
            flows: record.flows,
            control: record.control,
        }
    }
}

/// The version of a record in a process's table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordVersion {
    /// The node that the record describes.
    pub node: NodeId,
    /// The incarnation of the record.
    pub incarnation: Incarnation,
    /// Whether the process considers the node dead.
    pub dead: bool,
}

/// The request or response in a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Requests a [`Body::Ack`].
    Ping {
        /// Matches the response to the probe.
        sequence: u32,
    },
    /// Answers a [`Body::Ping`].
    Ack {
        /// The sequence of the ping.
        sequence: u32,
    },
    /// Requests that a helper pings another member.
    IndirectPing {
        /// Matches the response to the probe.
        sequence: u32,
        /// The member to ping.
        target: NodeId,
    },
    /// Reports the outcome of an [`Body::IndirectPing`].
    IndirectAck {
        /// The sequence of the request.
        sequence: u32,
        /// The member that was pinged.
        target: NodeId,
        /// Whether the member answered in time.
        reached: bool,
    },
    /// Carries rumours or the sender's new bundle stamp, and expects no response.
    Gossip,
    /// Requests the full records of nodes.
    Want {
        /// The nodes whose records are requested.
        nodes: Vec<NodeId>,
    },
    /// Requests a comparison of the table's buckets.
    Digest {
        /// The digest of each bucket.
        buckets: Vec<u32>,
    },
    /// Responds to a [`Body::Digest`].
    Differ {
        /// The indexes of the buckets that differ.
        buckets: Vec<u8>,
    },
    /// Requests the records of some buckets that are missing or outdated at the sender.
    Fetch {
        /// Matches the response to the request.
        sequence: u32,
        /// The indexes of the buckets.
        buckets: Vec<u8>,
        /// The versions of the sender's records in these buckets.
        versions: Vec<RecordVersion>,
    },
    /// Responds to a [`Body::Fetch`] with the records among the message's rumours.
    Chunk {
        /// The sequence of the request.
        sequence: u32,
        /// Whether the buckets contain more records to fetch.
        more: bool,
    },
}
