//! The envelope around every message between processes.

use buckthornweir_events::Stamp;
use buckthornweir_flows::messages::FlowMessage;
use buckthornweir_requests::messages::RequestMessage;
use prost::Message;

use crate::fault::{Result, WireError};
use crate::key::{ClusterKey, TAG_BYTES};
use crate::operator::OperatorMessage;

/// The id of a process.
pub type NodeId = u64;

/// A message with its sender and the sender's clock.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// The sender.
    #[prost(uint64, tag = "1")]
    pub from: NodeId,
    /// The sender's clock, milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub stamp_millis: u64,
    /// The sender's clock within the millisecond.
    #[prost(uint32, tag = "3")]
    pub stamp_counter: u32,
    /// The message.
    #[prost(oneof = "Body", tags = "10, 11, 12, 13, 14, 15")]
    pub body: Option<Body>,
}

/// The messages that processes send.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Shows that a link is alive.
    #[prost(message, tag = "10")]
    Heartbeat(Heartbeat),
    /// Between balancers and agents.
    #[prost(message, tag = "11")]
    Flow(FlowMessage),
    /// Between members, as the members crate encodes it.
    #[prost(bytes = "vec", tag = "12")]
    Members(Vec<u8>),
    /// Between control VMs, as the quorum crate encodes it.
    #[prost(bytes = "vec", tag = "13")]
    Quorum(Vec<u8>),
    /// Between the agents of a service.
    #[prost(message, boxed, tag = "14")]
    Request(Box<RequestMessage>),
    /// Between an operator's client and a process.
    #[prost(message, boxed, tag = "15")]
    Operator(Box<OperatorMessage>),
}

/// Shows that a link is alive.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Heartbeat {}

impl Envelope {
    /// Returns an envelope around `body` with the clock at zero.
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

    /// Takes the message out.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::Empty`] when it is of a kind that this version does not know.
    pub fn into_body(self) -> Result<Body> {
        self.body.ok_or(WireError::Empty)
    }
}

/// Writes an envelope with its tag, as one datagram.
pub fn seal(key: &ClusterKey, envelope: &Envelope) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(TAG_BYTES + envelope.encoded_len());
    bytes.extend_from_slice(&[0; TAG_BYTES]);
    // Encoding into a vector cannot fail.
    let _ = envelope.encode(&mut bytes);
    let tag = key.tag(&[b"", &bytes[TAG_BYTES..]]);
    bytes[..TAG_BYTES].copy_from_slice(&tag);
    bytes
}

/// Reads a datagram that [`seal`] wrote.
///
/// # Errors
///
/// Returns [`WireError::Short`], [`WireError::Forged`] or [`WireError::Malformed`].
pub fn open(key: &ClusterKey, datagram: &[u8]) -> Result<Envelope> {
    let bytes = key.check(b"", datagram)?;
    Ok(Envelope::decode(bytes)?)
}
