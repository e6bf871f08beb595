//! Messages between processes, as typed values.
//!
//! [`Message::decode`] accepts only what [`Message::encode`] could have written: every field is
//! checked, and the memory that a datagram can claim is bounded by its length.

mod convert;
pub mod wire;

use std::net::SocketAddr;

use quick_error::quick_error;
use smol_str::SmolStr;

use crate::record::RecordError;
use crate::{BundleStamp, Health, Incarnation, Instance, MemberState, NodeId, Record, Roles};

/// The largest datagram that is decoded, in bytes.
pub const MAX_DATAGRAM: usize = 1_500;

/// The most entries of any list in a message.
pub const MAX_ENTRIES: usize = 256;

/// Stands for one incarnation of one node, in place of both numbers.
pub type Fingerprint = u32;

/// The result of decoding a message.
pub type Result<T> = std::result::Result<T, MessageError>;

quick_error! {
    /// Why a datagram is no message.
    #[derive(Debug, Clone, PartialEq)]
    pub enum MessageError {
        /// The datagram is larger than [`MAX_DATAGRAM`].
        TooLarge(length: usize) {
            display("datagram of {length} bytes exceeds {MAX_DATAGRAM} bytes")
        }
        /// The datagram is not in the protocol's encoding.
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
        /// The lists of a message differ in length.
        Uneven(field: &'static str) {
            display("{field} has columns of different lengths")
        }
        /// A value is outside its range.
        OutOfRange(field: &'static str, value: u64) {
            display("{field} can't be {value}")
        }
        /// A fixed-size field has another size, in bytes.
        WrongSize(field: &'static str, size: usize) {
            display("{field} can't have {size} bytes")
        }
        /// A field of a record is over its limit.
        Record(cause: RecordError) {
            from()
            source(cause)
            display("invalid record: {cause}")
        }
    }
}

/// A message of one process to another.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// What the sender says about itself.
    pub header: Header,
    /// Statements about members that ride along.
    pub rumours: Vec<Rumour>,
    /// Members that are dead under the incarnation that each fingerprint stands for.
    pub deaths: Vec<Fingerprint>,
    /// Members that live, otherwise unchanged, under the next incarnation after the one held.
    pub refutations: Vec<Fingerprint>,
    /// What the message is for.
    pub body: Body,
}

/// What the sender of a message says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// The sender.
    pub node: NodeId,
    /// The sender's start.
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
    /// The digest of the members that the sender holds as not dead.
    pub table: u32,
}

/// A statement about one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rumour {
    /// The member.
    pub node: NodeId,
    /// The member's start.
    pub instance: Instance,
    /// Orders statements about the member.
    pub incarnation: Incarnation,
    /// The member's health.
    pub health: Health,
    /// The member's state.
    pub state: MemberState,
    /// The member's weight step.
    pub weight: u8,
    /// The member's free slots, rounded down to a power of two.
    pub free: u32,
    /// The part of the record that stays the same from start to stop.
    pub profile: Option<Profile>,
}

/// The part of a record that stays the same from start to stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Profile {
    /// The name that operators read.
    pub name: SmolStr,
    /// The roles.
    pub roles: Roles,
    /// The failure domain.
    pub domain: SmolStr,
    /// The service of an agent.
    pub service: SmolStr,
    /// The UDP address for membership.
    pub gossip: SocketAddr,
    /// The UDP address for packets of flows.
    pub flows: SocketAddr,
    /// The TCP address for links.
    pub control: SocketAddr,
}

impl Profile {
    /// Returns the lasting part of a record.
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

/// The version of one record that a process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// The node of the record.
    pub node: NodeId,
    /// The incarnation held.
    pub incarnation: Incarnation,
    /// Whether the node is held as dead.
    pub dead: bool,
}

/// What a message is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Asks for an [`Body::Ack`].
    Ping {
        /// Matches the answer to the probe.
        sequence: u32,
    },
    /// Answers a [`Body::Ping`].
    Ack {
        /// The sequence of the ping.
        sequence: u32,
    },
    /// Asks a helper to ping another member.
    IndirectPing {
        /// Matches the answer to the probe.
        sequence: u32,
        /// The member to ping.
        target: NodeId,
    },
    /// Tells what became of an [`Body::IndirectPing`].
    IndirectAck {
        /// The sequence of the request.
        sequence: u32,
        /// The member that was to be pinged.
        target: NodeId,
        /// Whether the member answered in time.
        reached: bool,
    },
    /// Carries rumours, or the sender's new bundle stamp, and wants no answer.
    Gossip,
    /// Asks for the full records of nodes.
    Want {
        /// The nodes whose records are wanted.
        nodes: Vec<NodeId>,
    },
    /// Asks which buckets of the table differ.
    Digest {
        /// The digest of each bucket.
        buckets: Vec<u32>,
    },
    /// Answers a [`Body::Digest`].
    Differ {
        /// The numbers of the buckets that differ.
        buckets: Vec<u8>,
    },
    /// Asks for the records of some buckets that the sender lacks.
    Fetch {
        /// Matches the answer to the request.
        sequence: u32,
        /// The numbers of the buckets.
        buckets: Vec<u8>,
        /// What the sender holds in these buckets.
        held: Vec<Held>,
    },
    /// Answers a [`Body::Fetch`] with the rumours that ride along.
    Chunk {
        /// The sequence of the request.
        sequence: u32,
        /// Whether more records of the buckets are to be fetched.
        more: bool,
    },
}
