//! Messages between control VMs.

use bytes::Bytes;
use prost::Message as _;

use crate::entry::{
    ClusterId, DecodeError, Index, MAX_ADDRESS_BYTES, MAX_ENTRY_BYTES, MAX_SNAPSHOT_BYTES, Result,
    Term, check_count, check_size,
};
use crate::members::NodeId;

/// Maximum size of a part of an entry or snapshot in one message, in bytes.
pub const MAX_PART_BYTES: usize = 256 * 1024;
/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = MAX_PART_BYTES + 64 * 1024;
/// Maximum number of entries in one message.
pub const MAX_MESSAGE_ENTRIES: usize = 64;

/// A message from one control VM to another.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Message {
    /// Identifier of the log of the sender, or zero if it has no log.
    #[prost(fixed64, tag = "1")]
    pub cluster: ClusterId,
    /// Identity of the receiver.
    #[prost(fixed64, tag = "2")]
    pub to: NodeId,
    /// Term of the sender, or the prospective term in a pre-vote.
    #[prost(uint64, tag = "3")]
    pub term: Term,
    /// Content of the message.
    #[prost(oneof = "Kind", tags = "4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub kind: Option<Kind>,
}

/// Content of a message.
#[derive(Clone, PartialEq, Eq, Hash, prost::Oneof)]
pub enum Kind {
    /// Asks whether the receiver would grant a vote, without changing any term.
    #[prost(message, tag = "4")]
    PreVote(VoteRequest),
    /// Reply to a pre-vote.
    #[prost(message, tag = "5")]
    PreVoteReply(VoteReply),
    /// Requests a vote.
    #[prost(message, tag = "6")]
    Vote(VoteRequest),
    /// Reply to a vote request.
    #[prost(message, tag = "7")]
    VoteReply(VoteReply),
    /// Carries entries; serves as a heartbeat if there are none.
    #[prost(message, tag = "8")]
    Append(Append),
    /// Reply to an append.
    #[prost(message, tag = "9")]
    AppendReply(AppendReply),
    /// Carries a part of a snapshot.
    #[prost(message, tag = "10")]
    Snapshot(SnapshotPart),
    /// Reply to a part of a snapshot.
    #[prost(message, tag = "11")]
    SnapshotReply(SnapshotReply),
    /// Asks the receiver to start an election at once.
    #[prost(message, tag = "12")]
    Campaign(Campaign),
    /// Requests to be added as a learner.
    #[prost(message, tag = "13")]
    Join(Join),
    /// Announces the planned stop of the sender to the leader.
    #[prost(message, tag = "14")]
    Leave(Leave),
}

/// Requests a vote or a pre-vote.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct VoteRequest {
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "1")]
    pub last_index: Index,
    /// Term of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_term: Term,
    /// Whether the leader requested this election, as part of a leadership transfer.
    #[prost(bool, tag = "3")]
    pub transfer: bool,
    /// The founding snapshot, while the log of the candidate contains nothing else.
    #[prost(bytes = "bytes", tag = "4")]
    pub founding: Bytes,
}

/// Reply to a vote request or pre-vote request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct VoteReply {
    /// Whether the vote was granted.
    #[prost(bool, tag = "1")]
    pub granted: bool,
}

/// One entry in an append.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct EntryPart {
    /// Term of the entry.
    #[prost(uint64, tag = "1")]
    pub term: Term,
    /// Encoded payload; empty if `difference` is set.
    #[prost(bytes = "bytes", tag = "2")]
    pub data: Bytes,
    /// Difference of the payload from that of the previous push.
    #[prost(bytes = "bytes", tag = "3")]
    pub difference: Bytes,
}

/// A part of an entry that exceeds one message.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Fragment {
    /// Term of the entry.
    #[prost(uint64, tag = "1")]
    pub term: Term,
    /// Size of the encoded payload, in bytes.
    #[prost(uint64, tag = "2")]
    pub total: u64,
    /// Offset of this part, in bytes.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// Content of the part.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}

/// Carries entries that follow `prev_index`.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Append {
    /// Sequence number of the message of the leader; repeated in the reply.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// Index of the entry before the first one in this message.
    #[prost(uint64, tag = "2")]
    pub prev_index: Index,
    /// Term of that entry.
    #[prost(uint64, tag = "3")]
    pub prev_term: Term,
    /// Commit index of the leader.
    #[prost(uint64, tag = "4")]
    pub commit: Index,
    /// Whole entries.
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<EntryPart>,
    /// A part of the entry after `prev_index`, sent instead of whole entries.
    #[prost(message, optional, tag = "6")]
    pub fragment: Option<Fragment>,
}

/// Reply to an append.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct AppendReply {
    /// Round of the append.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// Whether the entry at `prev_index` matched.
    #[prost(bool, tag = "2")]
    pub success: bool,
    /// Last matching index, or the index to try next if the append did not match.
    #[prost(uint64, tag = "3")]
    pub index: Index,
    /// Buffered bytes of the entry after `index`.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Whether the next entries may be sent as differences.
    #[prost(bool, tag = "5")]
    pub differences: bool,
}

/// Carries a part of a snapshot.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct SnapshotPart {
    /// Sequence number of the message of the leader; repeated in the reply.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// Index of the last entry that the snapshot covers.
    #[prost(uint64, tag = "2")]
    pub index: Index,
    /// Size of the encoded snapshot, in bytes.
    #[prost(uint64, tag = "3")]
    pub total: u64,
    /// Offset of this part, in bytes.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Content of the part.
    #[prost(bytes = "bytes", tag = "5")]
    pub data: Bytes,
}

/// Reply to a part of a snapshot.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct SnapshotReply {
    /// Round of the part.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// Index of the last entry that the snapshot covers.
    #[prost(uint64, tag = "2")]
    pub index: Index,
    /// Buffered bytes of the snapshot.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// Whether the state of the receiver covers `index`.
    #[prost(bool, tag = "4")]
    pub done: bool,
}

/// Asks the receiver to start an election at once.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Campaign {}

/// Requests to be added as a learner; followers forward the request to the leader.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Join {
    /// Identity of the new member.
    #[prost(fixed64, tag = "1")]
    pub id: NodeId,
    /// Socket address of the new member, as text.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Announces the planned stop of the sender to the leader, which then need not wait until the sender
/// counts as lost. Earlier releases ignore it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Leave {}

impl Message {
    /// Returns the encoded message.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Decodes a message and checks its size limits.
    ///
    /// # Errors
    ///
    /// Returns an error if `data` is malformed, incomplete or exceeds a limit.
    pub fn from_bytes(data: Bytes) -> Result<Self> {
        check_size("message", data.len(), MAX_MESSAGE_BYTES)?;
        let message = Self::decode(data)?;
        message.check()?;
        Ok(message)
    }

    fn check(&self) -> Result<()> {
        check_count("term", self.term)?;
        match self.kind.as_ref().ok_or(DecodeError::Missing("kind"))? {
            Kind::Append(append) => check_append(append),
            Kind::Snapshot(part) => {
                check_size("snapshot part", part.data.len(), MAX_PART_BYTES)?;
                check_part(
                    "snapshot",
                    part.total,
                    part.offset,
                    &part.data,
                    MAX_SNAPSHOT_BYTES,
                )
            }
            Kind::Join(join) => check_size("address", join.address.len(), MAX_ADDRESS_BYTES),
            Kind::PreVote(_)
            | Kind::PreVoteReply(_)
            | Kind::Vote(_)
            | Kind::VoteReply(_)
            | Kind::AppendReply(_)
            | Kind::SnapshotReply(_)
            | Kind::Campaign(_)
            | Kind::Leave(_) => Ok(()),
        }
    }
}

fn check_append(append: &Append) -> Result<()> {
    check_size("entries", append.entries.len(), MAX_MESSAGE_ENTRIES)?;
    match &append.fragment {
        Some(part) => check_part(
            "entry",
            part.total,
            part.offset,
            &part.data,
            MAX_ENTRY_BYTES,
        ),
        None => Ok(()),
    }
}

fn check_part(
    name: &'static str,
    total: u64,
    offset: u64,
    data: &[u8],
    limit: usize,
) -> Result<()> {
    let end = offset.saturating_add(data.len() as u64);
    if total > limit as u64 || end > total {
        return Err(DecodeError::OutOfRange(name, end.max(total)));
    }
    Ok(())
}
