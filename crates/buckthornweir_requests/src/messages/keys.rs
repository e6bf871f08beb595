//! Messages about idempotency keys.

use super::Header;
use crate::Refusal;

/// Asks a holder of a key's record for permission to run a request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyClaim {
    /// Id of the claim.
    #[prost(fixed64, tag = "1")]
    pub claim: u64,
    /// The caller's key.
    #[prost(bytes = "vec", tag = "2")]
    pub key: Vec<u8>,
    /// Digest of the request.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// Time until the request's deadline.
    #[prost(uint64, tag = "4")]
    pub remaining_us: u64,
    /// All holders of the key's record known to the claiming agent.
    #[prost(fixed64, repeated, tag = "5")]
    pub holders: Vec<u64>,
}

/// Answer to a [`KeyClaim`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyAnswer {
    /// Id of the claim.
    #[prost(fixed64, tag = "1")]
    pub claim: u64,
    /// State of the key at the holder.
    #[prost(enumeration = "KeyVerdict", tag = "2")]
    pub verdict: i32,
    /// The stored response, if the request ran before.
    #[prost(message, optional, tag = "3")]
    pub answer: Option<StoredAnswer>,
}

/// State of the key of a [`KeyClaim`] at a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum KeyVerdict {
    /// The holder can't decide, or knows a different set of holders than the claiming agent.
    NotReady = 0,
    /// The holder permits the request to run.
    Granted = 1,
    /// A request with the key is running.
    Running = 2,
    /// A request with the key has run.
    Done = 3,
    /// A request with the key may have run.
    Unknown = 4,
    /// The key was used for a different request.
    Mismatch = 5,
}

/// Reports to a holder how a claimed request ended.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyDone {
    /// Id of the claim.
    #[prost(fixed64, tag = "1")]
    pub claim: u64,
    /// The caller's key.
    #[prost(bytes = "vec", tag = "2")]
    pub key: Vec<u8>,
    /// Digest of the request.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// How the request ended.
    #[prost(enumeration = "KeyEnd", tag = "4")]
    pub end: i32,
    /// The response, if there is one.
    #[prost(message, optional, tag = "5")]
    pub answer: Option<StoredAnswer>,
}

/// How a claimed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum KeyEnd {
    /// The request may have run.
    Unknown = 0,
    /// The request ran.
    Done = 1,
    /// The request certainly did not run.
    NotRun = 2,
}

impl KeyEnd {
    /// Returns the end of a refused request.
    pub fn from_refusal(refusal: &Refusal) -> Self {
        if refusal.not_run {
            Self::NotRun
        } else {
            Self::Unknown
        }
    }
}

/// Acknowledges a [`KeyDone`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyStored {
    /// Id of the claim.
    #[prost(fixed64, tag = "1")]
    pub claim: u64,
}

/// Requests the records of another member.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeySync {
    /// Number that correlates the answer.
    #[prost(fixed64, tag = "1")]
    pub token: u64,
}

/// One part of the records of a member.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyRecords {
    /// Token of the [`KeySync`]; 0 if the sender sends its records unasked because it is leaving.
    #[prost(fixed64, tag = "1")]
    pub token: u64,
    /// Index of this part, starting at 0.
    #[prost(uint32, tag = "2")]
    pub part: u32,
    /// Number of parts.
    #[prost(uint32, tag = "3")]
    pub parts: u32,
    /// Completeness of the sender's records.
    #[prost(enumeration = "Standing", tag = "4")]
    pub standing: i32,
    /// Settled members known to the sender.
    #[prost(message, repeated, tag = "5")]
    pub settled: Vec<SettledMember>,
    /// Members that left after sending all of their records to the sender.
    #[prost(fixed64, repeated, tag = "6")]
    pub left: Vec<u64>,
    /// The records.
    #[prost(message, repeated, tag = "7")]
    pub records: Vec<KeyRecord>,
    /// Number that identifies the sender's current run; it changes with each start.
    #[prost(fixed64, tag = "8")]
    pub life: u64,
}

/// Completeness of a member's records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Standing {
    /// The member restarted and may have lost records.
    Forgetful = 0,
    /// The member lost no records, but may lack records of other members.
    New = 1,
    /// The member holds all of its records.
    Sure = 2,
}

/// A member that is eligible as a holder.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SettledMember {
    /// Id of the member.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Failure domain of the member.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Run of the member that was present when the service was founded; 0 if none was.
    #[prost(fixed64, tag = "3")]
    pub life: u64,
}

/// One record without the stored response.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyRecord {
    /// The caller's key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Digest of the request.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Id of the claim.
    #[prost(fixed64, tag = "3")]
    pub claim: u64,
    /// Whether the request is known to have run.
    #[prost(bool, tag = "4")]
    pub done: bool,
    /// Time until the claimed request's deadline; 0 if it has passed.
    #[prost(uint64, tag = "5")]
    pub remaining_us: u64,
    /// Time until the record expires.
    #[prost(uint64, tag = "6")]
    pub keep_us: u64,
}

/// A response stored for callers that send the request again.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StoredAnswer {
    /// HTTP status code.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Headers.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// Body.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
    /// Whether the body was too large to store; such a response is not replayed.
    #[prost(bool, tag = "4")]
    pub body_dropped: bool,
}
