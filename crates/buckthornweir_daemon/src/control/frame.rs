//! Messages between control VMs.

use prost::{Message, Oneof};

/// A message between control VMs with the identity and address of its sender.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct QuorumFrame {
    /// The identity of the sender's data folder.
    #[prost(fixed64, tag = "1")]
    pub(crate) from: u64,
    /// Where the sender takes links; empty when it has told the receiver lately.
    #[prost(string, tag = "2")]
    pub(crate) address: String,
    /// What it says.
    #[prost(oneof = "QuorumBody", tags = "3, 4")]
    pub(crate) body: Option<QuorumBody>,
}

/// What a control VM says.
#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum QuorumBody {
    /// A message of the log, as the quorum crate encodes it.
    #[prost(bytes = "vec", tag = "3")]
    Message(Vec<u8>),
    /// What the sender says of itself, as the quorum crate encodes it.
    #[prost(bytes = "vec", tag = "4")]
    Presence(Vec<u8>),
}

impl QuorumFrame {
    /// Reads a frame, or returns `None` for bytes that are none.
    pub(crate) fn read(bytes: &[u8]) -> Option<Self> {
        Self::decode(bytes).ok()
    }
}
