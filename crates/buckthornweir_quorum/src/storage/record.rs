//! Records and their encoding.

use bytes::Bytes;
use prost::Message as _;

use super::frame;
use crate::entry::{DecodeError, Entry, Index, Payload, Result, Snapshot, Term};
use crate::members::NodeId;

/// A change of the durable state of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// The term, and the vote granted in it.
    Vote {
        /// Current term.
        term: Term,
        /// Member that received the vote.
        vote: Option<NodeId>,
    },
    /// An entry appended to the log.
    Entry(Entry),
    /// The removal of all entries from `from` on.
    Truncate {
        /// Index of the first removed entry.
        from: Index,
    },
    /// The commit index, which never decreases.
    Commit {
        /// Index of the last committed entry.
        index: Index,
    },
    /// The whole state, which replaces all earlier records.
    Reset(Box<Reset>),
}

/// The whole state of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reset {
    /// Current term.
    pub term: Term,
    /// Vote granted in that term.
    pub vote: Option<NodeId>,
    /// Snapshot.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Identity {
    #[prost(fixed64, tag = "1")]
    pub(super) id: NodeId,
}

impl Identity {
    pub(super) fn to_bytes(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    pub(super) fn from_bytes(data: &[u8]) -> Result<Self> {
        let identity = Self::decode(data)?;
        if identity.id == 0 {
            return Err(DecodeError::Missing("identity"));
        }
        Ok(identity)
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct RecordEnvelope {
    #[prost(oneof = "RecordBody", tags = "1, 2, 3, 4, 5, 6")]
    body: Option<RecordBody>,
}

/// A record as it is written in a segment.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(super) enum RecordBody {
    #[prost(message, tag = "1")]
    Start(Start),
    #[prost(message, tag = "2")]
    Vote(Vote),
    #[prost(message, tag = "3")]
    Entry(EntryBody),
    #[prost(message, tag = "4")]
    Truncate(Truncate),
    #[prost(message, tag = "5")]
    Synced(Synced),
    #[prost(message, tag = "6")]
    Commit(Commit),
}

/// The first record of a segment; holds the index of its snapshot, or zero if there is none.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Start {
    #[prost(uint64, tag = "1")]
    pub(super) snapshot: Index,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Vote {
    #[prost(uint64, tag = "1")]
    pub(super) term: Term,
    #[prost(fixed64, optional, tag = "2")]
    pub(super) vote: Option<NodeId>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct EntryBody {
    #[prost(uint64, tag = "1")]
    pub(super) index: Index,
    #[prost(uint64, tag = "2")]
    pub(super) term: Term,
    #[prost(bytes = "bytes", tag = "3")]
    pub(super) data: Bytes,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Truncate {
    #[prost(uint64, tag = "1")]
    pub(super) from: Index,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Commit {
    #[prost(uint64, tag = "1")]
    pub(super) index: Index,
}

/// Records that everything before it was synced.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Synced {}

impl RecordBody {
    /// Converts a record to its segment form; returns `None` for a reset, which starts a new
    /// segment.
    pub(super) fn from_record(record: &Record) -> Option<Self> {
        match record {
            Record::Vote { term, vote } => Some(Self::vote(*term, *vote)),
            Record::Entry(entry) => Some(Self::entry(entry)),
            Record::Truncate { from } => Some(Self::Truncate(Truncate { from: *from })),
            Record::Commit { index } => Some(Self::Commit(Commit { index: *index })),
            Record::Reset(_) => None,
        }
    }

    pub(super) fn vote(term: Term, vote: Option<NodeId>) -> Self {
        Self::Vote(Vote { term, vote })
    }

    pub(super) fn entry(entry: &Entry) -> Self {
        let (index, term, data) = (entry.index, entry.term, entry.data.clone());
        Self::Entry(EntryBody { index, term, data })
    }

    /// Appends the framed record to `data`.
    pub(super) fn encode_to(self, synced: u64, data: &mut Vec<u8>) {
        let envelope = RecordEnvelope { body: Some(self) };
        frame::encode(synced, &envelope.encode_to_vec(), data);
    }

    pub(super) fn decode(data: &[u8]) -> Result<Self> {
        let envelope = RecordEnvelope::decode(data)?;
        let body = envelope.body.ok_or(DecodeError::Missing("record"))?;
        if let Self::Entry(entry) = &body {
            Payload::decode(&entry.data)?;
        }
        Ok(body)
    }
}
