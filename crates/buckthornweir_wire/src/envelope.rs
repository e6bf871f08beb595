//! The envelope of all messages between processes.

use buckthornweir_events::Stamp;
use buckthornweir_flows::messages::FlowMessage;
use buckthornweir_requests::messages::RequestMessage;
use prost::Message;

use crate::fault::{Result, WireError};
use crate::key::{ClusterKey, TAG_BYTES};
use crate::operator::OperatorMessage;

/// The ID of a process.
pub type NodeId = u64;

/// A message together with its sender and the sender's logical clock.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// The sender.
    #[prost(uint64, tag = "1")]
    pub from: NodeId,
    /// The sender's clock, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub stamp_millis: u64,
    /// The counter that orders stamps within one millisecond.
    #[prost(uint32, tag = "3")]
    pub stamp_counter: u32,
    /// The message.
    #[prost(oneof = "Body", tags = "10, 11, 12, 13, 14, 15")]
    pub body: Option<Body>,
}

/// The kinds of messages between processes.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Keeps a link alive.
    #[prost(message, tag = "10")]
    Heartbeat(Heartbeat),
    /// A message between balancers and agents.
    #[prost(message, tag = "11")]
    Flow(FlowMessage),
    /// A message between members, encoded by the members crate.
    #[prost(bytes = "vec", tag = "12")]
    Members(Vec<u8>),
    /// A message between control VMs, encoded by the quorum crate.
    #[prost(bytes = "vec", tag = "13")]
    Quorum(Vec<u8>),
    /// A message between agents of the same service.
    #[prost(message, boxed, tag = "14")]
    Request(Box<RequestMessage>),
    /// A message between an operator's client and a process.
    #[prost(message, boxed, tag = "15")]
    Operator(Box<OperatorMessage>),
}

/// Keeps a link alive.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Heartbeat {}

impl Envelope {
    /// Creates an envelope with a stamp of zero.
    pub fn new(from: NodeId, body: Body) -> Self {
        Self {
            from,
            stamp_millis: 0,
            stamp_counter: 0,
            body: Some(body),
        }
    }

    /// Sets the sender's clock.
    #[must_use]
    pub fn with_stamp(mut self, stamp: Stamp) -> Self {
        self.stamp_millis = stamp.millis;
        self.stamp_counter = stamp.counter;
        self
    }

    /// Returns the sender's clock.
    pub fn stamp(&self) -> Stamp {
        Stamp {
            millis: self.stamp_millis,
            counter: self.stamp_counter,
        }
    }

    /// Returns the message without its envelope.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::Empty`] when the message is of an unknown kind.
    pub fn into_body(self) -> Result<Body> {
        self.body.ok_or(WireError::Empty)
    }
}

/// Encodes an envelope and its authentication tag into one datagram.
pub fn seal(key: &ClusterKey, envelope: &Envelope) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(TAG_BYTES + envelope.encoded_len());
    bytes.extend_from_slice(&[0; TAG_BYTES]);
    // Encoding into a vector cannot fail.
    let _ = envelope.encode(&mut bytes);
    let tag = key.datagram_key().tag(&[&bytes[TAG_BYTES..]]);
    bytes[..TAG_BYTES].copy_from_slice(&tag);
    bytes
}

/// Verifies and decodes a datagram written by [`seal`].
///
/// # Errors
///
/// Returns [`WireError::Short`], [`WireError::Forged`] or [`WireError::Malformed`].
pub fn open(key: &ClusterKey, datagram: &[u8]) -> Result<Envelope> {
    let bytes = key.datagram_key().verify(b"", datagram)?;
    Ok(Envelope::decode(bytes)?)
}
