//! Wire format of messages, as `prost` types.

/// A datagram.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Datagram {
    /// The sender's state.
    #[prost(message, optional, tag = "1")]
    pub header: Option<Header>,
    /// Piggybacked rumours about members.
    #[prost(message, repeated, tag = "2")]
    pub rumours: Vec<Rumour>,
    /// The request or response.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<Body>,
    /// Fingerprints of dead members, 4 bytes each.
    #[prost(fixed32, repeated, tag = "13")]
    pub deaths: Vec<u32>,
    /// Fingerprints of refutations, 4 bytes each.
    #[prost(fixed32, repeated, tag = "14")]
    pub refutations: Vec<u32>,
}

/// The state of a message's sender.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Header {
    /// The sender.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// The sender's instance.
    #[prost(fixed32, tag = "2")]
    pub instance: u32,
    /// The incarnation of the sender's record.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Health, state and weight, packed.
    #[prost(uint32, tag = "4")]
    pub status: u32,
    /// Free slots.
    #[prost(uint32, tag = "5")]
    pub free: u32,
    /// The version of the sender's bundle.
    #[prost(uint64, tag = "6")]
    pub version: u64,
    /// The digest of the sender's bundle, empty if it has none.
    #[prost(bytes = "vec", tag = "7")]
    pub digest: Vec<u8>,
    /// The digest of the sender's table.
    #[prost(fixed32, tag = "8")]
    pub table: u32,
}

/// The state of one member, as known to the sender.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Rumour {
    /// The member.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// The member's instance.
    #[prost(fixed32, tag = "2")]
    pub instance: u32,
    /// The incarnation, which orders rumours about the member.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Health, state and weight, packed.
    #[prost(uint32, tag = "4")]
    pub status: u32,
    /// Free slots.
    #[prost(uint32, tag = "5")]
    pub free: u32,
    /// The static part of the record.
    #[prost(message, optional, tag = "6")]
    pub profile: Option<Profile>,
}

/// The static part of a record.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Profile {
    /// The name shown to operators.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The roles, one bit each.
    #[prost(uint32, tag = "2")]
    pub roles: u32,
    /// The failure domain.
    #[prost(string, tag = "3")]
    pub domain: String,
    /// The service of an agent.
    #[prost(string, tag = "4")]
    pub service: String,
    /// The UDP address for membership: 4 or 16 bytes of IP, 2 bytes of port.
    #[prost(bytes = "vec", tag = "5")]
    pub gossip: Vec<u8>,
    /// The UDP address for packets, empty when equal to `gossip`.
    #[prost(bytes = "vec", tag = "6")]
    pub flows: Vec<u8>,
    /// The TCP address for links, empty when equal to `gossip`.
    #[prost(bytes = "vec", tag = "7")]
    pub control: Vec<u8>,
}

/// The request or response in a message.
#[derive(Clone, PartialEq, ::prost::Oneof)]
pub enum Body {
    /// Requests an ack, with a sequence number.
    #[prost(uint32, tag = "3")]
    Ping(u32),
    /// Answers a ping.
    #[prost(uint32, tag = "4")]
    Ack(u32),
    /// Requests that a helper pings another member.
    #[prost(message, tag = "5")]
    IndirectPing(Indirect),
    /// Reports the outcome of an indirect ping.
    #[prost(message, tag = "6")]
    IndirectAck(Indirect),
    /// Carries rumours only.
    #[prost(bool, tag = "7")]
    Gossip(bool),
    /// Requests the full records of nodes.
    #[prost(message, tag = "8")]
    Want(Want),
    /// Requests a comparison of the table's buckets.
    #[prost(message, tag = "9")]
    Digest(Digest),
    /// Responds to a digest with the indexes of the buckets that differ, one byte each.
    #[prost(bytes, tag = "10")]
    Differ(Vec<u8>),
    /// Requests the records of some buckets.
    #[prost(message, tag = "11")]
    Fetch(Fetch),
    /// Responds to a fetch.
    #[prost(message, tag = "12")]
    Chunk(Chunk),
}

/// An indirect ping or its response.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Indirect {
    /// Matches the response to the request.
    #[prost(uint32, tag = "1")]
    pub sequence: u32,
    /// The member to ping.
    #[prost(fixed64, tag = "2")]
    pub target: u64,
    /// Whether the member answered.
    #[prost(bool, tag = "3")]
    pub reached: bool,
}

/// A request for records.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Want {
    /// The nodes.
    #[prost(fixed64, repeated, tag = "1")]
    pub nodes: Vec<u64>,
}

/// Digests of all buckets.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Digest {
    /// The digest of each bucket.
    #[prost(fixed32, repeated, tag = "1")]
    pub buckets: Vec<u32>,
}

/// A request for the records of some buckets.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Fetch {
    /// Matches the response to the request.
    #[prost(uint32, tag = "1")]
    pub sequence: u32,
    /// The indexes of the buckets, one byte each.
    #[prost(bytes = "vec", tag = "5")]
    pub buckets: Vec<u8>,
    /// The nodes that the requester knows in the buckets.
    #[prost(fixed64, repeated, tag = "2")]
    pub nodes: Vec<u64>,
    /// The incarnation of each node.
    #[prost(uint64, repeated, tag = "3")]
    pub incarnations: Vec<u64>,
    /// Whether the requester considers each node dead.
    #[prost(bool, repeated, tag = "4")]
    pub dead: Vec<bool>,
}

/// A response to a fetch.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Chunk {
    /// The sequence of the request.
    #[prost(uint32, tag = "1")]
    pub sequence: u32,
    /// Whether the buckets contain more records to fetch.
    #[prost(bool, tag = "2")]
    pub more: bool,
}
