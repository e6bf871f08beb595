//! Log entries and snapshots, with their encoding.

use bytes::Bytes;
use prost::Message as _;
use quick_error::quick_error;
use smol_str::SmolStr;

use crate::bundles::{Bundle, Command, Digest, MAX_DOMAIN_NAME_BYTES};
use crate::members::{Member, Members, NodeId, Standing};

/// Number of an election term; each term has at most one leader.
pub type Term = u64;
/// Index of an entry in the log, starting at 1.
pub type Index = u64;
/// Identifier of a log; messages from other logs are dropped.
pub type ClusterId = u64;

/// Maximum size of the text of a bundle, in bytes.
pub const MAX_BUNDLE_BYTES: usize = 1024 * 1024;
/// Maximum size of an encoded entry, in bytes.
pub const MAX_ENTRY_BYTES: usize = MAX_BUNDLE_BYTES + 1024;
/// Maximum size of an encoded snapshot, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;
/// Maximum accepted term and index, so that increments cannot overflow.
pub(crate) const MAX_COUNT: u64 = 1 << 62;
/// Maximum number of members in an entry or a snapshot.
pub const MAX_MEMBERS: usize = 32;
/// Maximum length of a socket address as text, in bytes.
pub const MAX_ADDRESS_BYTES: usize = 64;

quick_error! {
    /// Error of decoding an entry, a snapshot or a message.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// The bytes are not a valid message.
        Malformed(err: prost::DecodeError) {
            from()
            source(err)
            display("malformed message: {err}")
        }
        /// A required field is missing.
        Missing(part: &'static str) {
            display("missing {part}")
        }
        /// The size or value of a field is out of range.
        OutOfRange(part: &'static str, size: u64) {
            display("{part} out of range: {size}")
        }
    }
}

/// Result of decoding an entry, a snapshot or a message.
pub(crate) type Result<T, E = DecodeError> = std::result::Result<T, E>;

/// An entry of the log; `data` is an encoded [`Payload`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Encoded payload.
    pub data: Bytes,
}

/// Payload of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Payload {
    /// No operation; a new leader commits it to find out which entries are committed.
    Empty,
    /// A command for the state machine.
    Command(Command),
    /// The members as of this entry.
    Members(Members),
}

impl Payload {
    /// Returns the encoded payload.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let body = match self {
            Self::Empty => PayloadBody::Empty(EmptyRecord {}),
            Self::Command(Command::Push(bundle)) => PayloadBody::Push(bundle.into()),
            Self::Command(Command::Replace(bundle)) => PayloadBody::Replace(bundle.into()),
            Self::Command(Command::Domain { name, out }) => PayloadBody::Domain(DomainRecord {
                name: name.to_string(),
                out: *out,
            }),
            Self::Members(members) => PayloadBody::Members(members.into()),
        };
        PayloadRecord { body: Some(body) }.encode_to_vec().into()
    }

    /// Decodes a payload.
    ///
    /// # Errors
    ///
    /// Returns an error if `data` is malformed, incomplete or exceeds a limit.
    pub fn decode(data: &[u8]) -> Result<Self> {
        check_size("entry", data.len(), MAX_ENTRY_BYTES)?;
        let record = PayloadRecord::decode(data)?;
        match record.body.ok_or(DecodeError::Missing("payload"))? {
            PayloadBody::Empty(_) => Ok(Self::Empty),
            PayloadBody::Push(bundle) => Ok(Self::Command(Command::Push(bundle.try_into()?))),
            PayloadBody::Replace(bundle) => Ok(Self::Command(Command::Replace(bundle.try_into()?))),
            PayloadBody::Domain(record) => {
                check_size("failure domain", record.name.len(), MAX_DOMAIN_NAME_BYTES)?;
                Ok(Self::Command(Command::Domain {
                    name: record.name.into(),
                    out: record.out,
                }))
            }
            PayloadBody::Members(members) => Ok(Self::Members(members.try_into()?)),
        }
    }
}

/// The state at one index, which replaces all entries up to it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Hash)]
pub struct Snapshot {
    /// Identifier of the log.
    pub cluster: ClusterId,
    /// Index of the last entry that the snapshot covers.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Members as of that entry.
    pub members: Members,
    /// Encoded state machine.
    pub state: Bytes,
}

impl Snapshot {
    /// Returns the encoded snapshot.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let record = SnapshotRecord {
            cluster: self.cluster,
            index: self.index,
            term: self.term,
            members: Some((&self.members).into()),
            state: self.state.clone(),
        };
        record.encode_to_vec().into()
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if `data` is malformed, incomplete or exceeds a limit.
    pub fn decode(data: Bytes) -> Result<Self> {
        check_size("snapshot", data.len(), MAX_SNAPSHOT_BYTES)?;
        let record = SnapshotRecord::decode(data)?;
        check_count("snapshot index", record.index)?;
        check_count("snapshot term", record.term)?;
        if record.cluster == 0 || record.index == 0 {
            return Err(DecodeError::Missing("cluster or index"));
        }
        Ok(Self {
            cluster: record.cluster,
            index: record.index,
            term: record.term,
            members: record
                .members
                .ok_or(DecodeError::Missing("members"))?
                .try_into()?,
            state: record.state,
        })
    }
}

/// Rejects counts that could overflow when incremented.
pub(crate) fn check_count(part: &'static str, count: u64) -> Result<()> {
    if count > MAX_COUNT {
        return Err(DecodeError::OutOfRange(part, count));
    }
    Ok(())
}

pub(crate) fn check_size(part: &'static str, size: usize, limit: usize) -> Result<()> {
    if size > limit {
        return Err(DecodeError::OutOfRange(part, size as u64));
    }
    Ok(())
}

#[derive(Clone, PartialEq, prost::Message)]
struct PayloadRecord {
    #[prost(oneof = "PayloadBody", tags = "1, 2, 3, 4, 5")]
    body: Option<PayloadBody>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum PayloadBody {
    #[prost(message, tag = "1")]
    Empty(EmptyRecord),
    #[prost(message, tag = "2")]
    Push(BundleRecord),
    #[prost(message, tag = "3")]
    Members(MembersRecord),
    #[prost(message, tag = "4")]
    Replace(BundleRecord),
    #[prost(message, tag = "5")]
    Domain(DomainRecord),
}

#[derive(Clone, PartialEq, prost::Message)]
struct DomainRecord {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(bool, tag = "2")]
    out: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EmptyRecord {}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct BundleRecord {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(bytes = "bytes", tag = "2")]
    digest: Bytes,
    #[prost(bytes = "vec", tag = "3")]
    bytes: Vec<u8>,
}

impl From<&Bundle> for BundleRecord {
    fn from(bundle: &Bundle) -> Self {
        Self {
            version: bundle.version,
            digest: Bytes::copy_from_slice(&bundle.digest),
            bytes: bundle.bytes.clone(),
        }
    }
}

impl TryFrom<BundleRecord> for Bundle {
    type Error = DecodeError;

    fn try_from(record: BundleRecord) -> Result<Self> {
        check_size("bundle", record.bytes.len(), MAX_BUNDLE_BYTES)?;
        let digest = decode_digest(&record.digest)?;
        Ok(Self {
            version: record.version,
            digest,
            bytes: record.bytes,
        })
    }
}

pub(crate) fn decode_digest(data: &[u8]) -> Result<Digest> {
    Digest::try_from(data).map_err(|_| DecodeError::OutOfRange("digest", data.len() as u64))
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct MembersRecord {
    #[prost(message, repeated, tag = "1")]
    list: Vec<MemberRecord>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct MemberRecord {
    #[prost(fixed64, tag = "1")]
    id: NodeId,
    #[prost(string, tag = "2")]
    address: String,
    #[prost(uint32, tag = "3")]
    standing: u32,
}

impl From<&Members> for MembersRecord {
    fn from(members: &Members) -> Self {
        let list = members.iter().map(|m| MemberRecord {
            id: m.id,
            address: m.address.to_string(),
            standing: m.standing as u32,
        });
        Self {
            list: list.collect(),
        }
    }
}

impl TryFrom<MembersRecord> for Members {
    type Error = DecodeError;

    fn try_from(record: MembersRecord) -> Result<Self> {
        check_size("members", record.list.len(), MAX_MEMBERS)?;
        let list: Result<Vec<_>> = record.list.into_iter().map(Member::try_from).collect();
        Ok(Self::new(list?))
    }
}

impl TryFrom<MemberRecord> for Member {
    type Error = DecodeError;

    fn try_from(record: MemberRecord) -> Result<Self> {
        check_size("address", record.address.len(), MAX_ADDRESS_BYTES)?;
        let standing = match record.standing {
            0 => Standing::Learner,
            1 => Standing::Pending,
            2 => Standing::Voter,
            other => return Err(DecodeError::OutOfRange("standing", u64::from(other))),
        };
        Ok(Self {
            id: record.id,
            address: SmolStr::from(record.address),
            standing,
        })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct SnapshotRecord {
    #[prost(fixed64, tag = "1")]
    cluster: u64,
    #[prost(uint64, tag = "2")]
    index: u64,
    #[prost(uint64, tag = "3")]
    term: u64,
    #[prost(message, optional, tag = "4")]
    members: Option<MembersRecord>,
    #[prost(bytes = "bytes", tag = "5")]
    state: Bytes,
}
