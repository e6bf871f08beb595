//! Messages between control VMs.

use bytes::Bytes;
use prost::Message as _;

use crate::entry::{
    ClusterId, DecodeError, Index, MAX_ADDRESS_BYTES, MAX_ENTRY_BYTES, MAX_SNAPSHOT_BYTES, Result,
    Term, check_count, check_size,
};
use crate::members::NodeId;

/// Largest part of an entry or snapshot in one message, in bytes.
pub const MAX_PART_BYTES: usize = 256 * 1024;
/// Largest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = MAX_PART_BYTES + 64 * 1024;
/// Largest number of entries in one message.
pub const MAX_MESSAGE_ENTRIES: usize = 64;

/// One message from one control VM to another.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Message {
    /// The log that the sender belongs to; zero while it belongs to none.
    #[prost(fixed64, tag = "1")]
    pub cluster: ClusterId,
    /// Identity that the message is meant for.
    #[prost(fixed64, tag = "2")]
    pub to: NodeId,
    /// Term of the sender, or the term asked for in a pre-vote.
    #[prost(uint64, tag = "3")]
    pub term: Term,
    /// What is said.
    #[prost(oneof = "Kind", tags = "4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub kind: Option<Kind>,
}

/// What a message says.
#[derive(Clone, PartialEq, Eq, Hash, prost::Oneof)]
pub enum Kind {
    /// Asks whether an election would be won, without changing any term.
    #[prost(message, tag = "4")]
    PreVote(VoteRequest),
    /// Answers a pre-vote.
    #[prost(message, tag = "5")]
    PreVoteReply(VoteReply),
    /// Asks for a vote.
    #[prost(message, tag = "6")]
    Vote(VoteRequest),
    /// Answers a request for a vote.
    #[prost(message, tag = "7")]
    VoteReply(VoteReply),
    /// Carries entries; without any it is a heartbeat.
    #[prost(message, tag = "8")]
    Append(Append),
    /// Answers an append.
    #[prost(message, tag = "9")]
    AppendReply(AppendReply),
    /// Carries a part of a snapshot.
    #[prost(message, tag = "10")]
    Snapshot(SnapshotPart),
    /// Answers a part of a snapshot.
    #[prost(message, tag = "11")]
    SnapshotReply(SnapshotReply),
    /// Asks the receiver to start an election at once.
    #[prost(message, tag = "12")]
    Campaign(Campaign),
    /// Asks to be added as a learner.
    #[prost(message, tag = "13")]
    Join(Join),
}

/// Asks for a vote or a pre-vote.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct VoteRequest {
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "1")]
    pub last_index: Index,
    /// Term of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_term: Term,
    /// Whether the leader itself asked for this election.
    #[prost(bool, tag = "3")]
    pub transfer: bool,
    /// The founding snapshot, while the candidate's log holds nothing else.
    #[prost(bytes = "bytes", tag = "4")]
    pub founding: Bytes,
}

/// Answers a request for a vote.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct VoteReply {
    /// Whether the vote was given.
    #[prost(bool, tag = "1")]
    pub granted: bool,
}

/// One entry in an append.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct EntryPart {
    /// Term of the entry.
    #[prost(uint64, tag = "1")]
    pub term: Term,
    /// Encoded payload; empty where there is a difference.
    #[prost(bytes = "bytes", tag = "2")]
    pub data: Bytes,
    /// Difference that makes the payload from that of the push before it.
    #[prost(bytes = "bytes", tag = "3")]
    pub difference: Bytes,
}

/// A part of an entry that is too large for one message.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Fragment {
    /// Term of the entry.
    #[prost(uint64, tag = "1")]
    pub term: Term,
    /// Size of the encoded payload, in bytes.
    #[prost(uint64, tag = "2")]
    pub total: u64,
    /// Position of this part, in bytes.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// The part itself.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}

/// Carries entries that follow `prev_index`.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Append {
    /// Counts the leader's messages; the reply repeats it.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// Index of the entry before the first one carried.
    #[prost(uint64, tag = "2")]
    pub prev_index: Index,
    /// Term of that entry.
    #[prost(uint64, tag = "3")]
    pub prev_term: Term,
    /// Index up to which the leader has committed.
    #[prost(uint64, tag = "4")]
    pub commit: Index,
    /// Whole entries.
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<EntryPart>,
    /// A part of the entry after `prev_index`, in place of whole entries.
    #[prost(message, optional, tag = "6")]
    pub fragment: Option<Fragment>,
}

/// Answers an append.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct AppendReply {
    /// Round of the append.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// Whether the entry at `prev_index` matched.
    #[prost(bool, tag = "2")]
    pub success: bool,
    /// Last index known to match, or the index to try next when nothing matched.
    #[prost(uint64, tag = "3")]
    pub index: Index,
    /// Bytes held of the entry after `index`.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Whether the next entries may be sent as differences.
    #[prost(bool, tag = "5")]
    pub differences: bool,
}

/// Carries a part of a snapshot.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct SnapshotPart {
    /// Counts the leader's messages; the reply repeats it.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// Index of the last entry that the snapshot covers.
    #[prost(uint64, tag = "2")]
    pub index: Index,
    /// Size of the encoded snapshot, in bytes.
    #[prost(uint64, tag = "3")]
    pub total: u64,
    /// Position of this part, in bytes.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// The part itself.
    #[prost(bytes = "bytes", tag = "5")]
    pub data: Bytes,
}

/// Answers a part of a snapshot.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct SnapshotReply {
    /// Round of the part.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// Index of the last entry that the snapshot covers.
    #[prost(uint64, tag = "2")]
    pub index: Index,
    /// Bytes held of the snapshot.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// Whether the receiver's state covers `index`.
    #[prost(bool, tag = "4")]
    pub done: bool,
}

/// Asks the receiver to start an election at once.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Campaign {}

/// Asks to be added as a learner; followers pass it on to the leader.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Join {
    /// Identity of the new member.
    #[prost(fixed64, tag = "1")]
    pub id: NodeId,
    /// Socket address of the new member, as text.
    #[prost(string, tag = "2")]
    pub address: String,
}

impl Message {
    /// Returns the encoded message.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Returns the message that `data` holds, its sizes checked.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are malformed, incomplete or above a limit.
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
            | Kind::Campaign(_) => Ok(()),
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
