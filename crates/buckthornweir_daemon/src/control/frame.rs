//! Messages between control VMs.

use prost::{Message, Oneof};

/// A message between control VMs with the identity and address of its sender.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct QuorumFrame {
    /// The identity of the sender's data folder.
    #[prost(fixed64, tag = "1")]
    pub(crate) from: u64,
    /// The link address of the sender; empty if it was sent to the receiver recently.
    #[prost(string, tag = "2")]
    pub(crate) address: String,
    /// The content.
    #[prost(oneof = "QuorumBody", tags = "3, 4")]
    pub(crate) body: Option<QuorumBody>,
}

/// The content of a message between control VMs.
#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum QuorumBody {
    /// A message of the log, as the quorum crate encodes it.
    #[prost(bytes = "vec", tag = "3")]
    Message(Vec<u8>),
    /// The presence of the sender, as the quorum crate encodes it.
    #[prost(bytes = "vec", tag = "4")]
    Presence(Vec<u8>),
}

impl QuorumFrame {
    /// Decodes a frame, or returns `None` if the bytes are malformed.
    pub(crate) fn read(bytes: &[u8]) -> Option<Self> {
        Self::decode(bytes).ok()
    }
}
