//! Messages about idempotency keys.

use super::Header;
use crate::Refusal;

/// Asks a holder of a key's record for leave to run a request.
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
    /// All holders of the key's record, as the asker knows them.
    #[prost(fixed64, repeated, tag = "5")]
    pub holders: Vec<u64>,
}

/// Answer to a [`KeyClaim`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyAnswer {
    /// Id of the claim.
    #[prost(fixed64, tag = "1")]
    pub claim: u64,
    /// What the holder knows.
    #[prost(enumeration = "KeyVerdict", tag = "2")]
    pub verdict: i32,
    /// The stored answer, where the request ran before.
    #[prost(message, optional, tag = "3")]
    pub answer: Option<StoredAnswer>,
}

/// What a holder knows about the key of a [`KeyClaim`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum KeyVerdict {
    /// It can't tell, or knows other holders than the asker.
    NotReady = 0,
    /// The request may run as far as this holder goes.
    Granted = 1,
    /// A request with the key is running.
    Running = 2,
    /// A request with the key ran.
    Done = 3,
    /// A request with the key may have run.
    Unknown = 4,
    /// The key was used with another request.
    Mismatch = 5,
}

/// Tells a holder how a claimed request ended.
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
    /// The answer, where there is one.
    #[prost(message, optional, tag = "5")]
    pub answer: Option<StoredAnswer>,
}

/// How a claimed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum KeyEnd {
    /// It may have run.
    Unknown = 0,
    /// It ran.
    Done = 1,
    /// It certainly did not run.
    NotRun = 2,
}

impl KeyEnd {
    /// Returns the end of a request that was refused.
    pub fn of_refusal(refusal: &Refusal) -> Self {
        if refusal.not_run {
            Self::NotRun
        } else {
            Self::Unknown
        }
    }
}

/// Tells that a [`KeyDone`] was noted.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyStored {
    /// Id of the claim.
    #[prost(fixed64, tag = "1")]
    pub claim: u64,
}

/// Asks another member for its records.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeySync {
    /// Number that the answer carries.
    #[prost(fixed64, tag = "1")]
    pub token: u64,
}

/// Records of one member, in parts.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyRecords {
    /// Number of the [`KeySync`]; 0 where the sender leaves and was not asked.
    #[prost(fixed64, tag = "1")]
    pub token: u64,
    /// Position of this part, from 0 on.
    #[prost(uint32, tag = "2")]
    pub part: u32,
    /// Number of parts.
    #[prost(uint32, tag = "3")]
    pub parts: u32,
    /// How far the sender's records can be relied on.
    #[prost(enumeration = "Standing", tag = "4")]
    pub standing: i32,
    /// Members that count, as the sender knows them.
    #[prost(message, repeated, tag = "5")]
    pub settled: Vec<SettledMember>,
    /// Members that left after they sent the sender all of their records.
    #[prost(fixed64, repeated, tag = "6")]
    pub left: Vec<u64>,
    /// Records.
    #[prost(message, repeated, tag = "7")]
    pub records: Vec<KeyRecord>,
    /// The sender's life: another number after each start.
    #[prost(fixed64, tag = "8")]
    pub life: u64,
}

/// How far a member's records can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Standing {
    /// It restarted and may have forgotten records.
    Forgetful = 0,
    /// It forgot nothing, but may lack records of others.
    New = 1,
    /// It holds all of its records.
    Sure = 2,
}

/// A member that counts when holders are chosen.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SettledMember {
    /// Its id.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Its failure domain.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Its life that was there when the service was founded; 0 where none was.
    #[prost(fixed64, tag = "3")]
    pub life: u64,
}

/// One record without the stored answer.
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
    /// Time until the claimed request's deadline; 0 where it is over.
    #[prost(uint64, tag = "5")]
    pub remaining_us: u64,
    /// Time until the record expires.
    #[prost(uint64, tag = "6")]
    pub keep_us: u64,
}

/// An answer that is kept for callers who send the request again.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StoredAnswer {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Headers.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// Body.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
    /// Whether the body was too large to be kept; such an answer is not given again.
    #[prost(bool, tag = "4")]
    pub body_dropped: bool,
}
