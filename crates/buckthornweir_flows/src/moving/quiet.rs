//! The state of a quiet flow.

use crate::messages::{self, FlowKey, MessageError, MovedFlow};
use crate::packet::FiveTuple;

/// Largest receive buffer of a moved flow, in bytes.
const MAX_RECEIVE_BYTES: u32 = 1024 * 1024;

/// Largest window scale (RFC 7323, 2.3).
const MAX_SCALE: u8 = 14;

/// The state of a quiet flow, which is established and has no unread, unsent or unacknowledged
/// bytes in either direction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuietFlow {
    /// The two endpoints.
    pub tuple: FiveTuple,
    /// Next sequence number towards the caller.
    pub sent: u32,
    /// Next sequence number from the caller.
    pub received: u32,
    /// Window field of the caller's last packet.
    pub window: u16,
    /// Maximum segment size that the caller announced, in bytes.
    pub segment: Option<u16>,
    /// Window scale that the caller announced.
    pub scale: Option<u8>,
    /// Whether the caller permits selective acknowledgements.
    pub sack: bool,
    /// Size of the receive buffer in bytes.
    pub receive: u32,
}

impl From<&QuietFlow> for MovedFlow {
    fn from(flow: &QuietFlow) -> Self {
        Self {
            flow: Some(FlowKey::from(&flow.tuple)),
            sent: flow.sent,
            received: flow.received,
            window: flow.window.into(),
            segment: flow.segment.map(Into::into),
            scale: flow.scale.map(Into::into),
            sack: flow.sack,
            receive: flow.receive,
        }
    }
}

impl TryFrom<&MovedFlow> for QuietFlow {
    type Error = MessageError;

    fn try_from(flow: &MovedFlow) -> messages::Result<Self> {
        if flow.receive == 0 || flow.receive > MAX_RECEIVE_BYTES {
            return Err(MessageError::OutOfRange("receive buffer"));
        }
        Ok(Self {
            tuple: messages::decode_flow(flow.flow.as_ref())?,
            sent: flow.sent,
            received: flow.received,
            window: to_u16(flow.window, "window")?,
            segment: flow
                .segment
                .map(|size| to_u16(size, "segment"))
                .transpose()?,
            scale: flow.scale.map(window_scale).transpose()?,
            sack: flow.sack,
            receive: flow.receive,
        })
    }
}

fn to_u16(number: u32, field: &'static str) -> messages::Result<u16> {
    number
        .try_into()
        .map_err(|_| MessageError::OutOfRange(field))
}

fn window_scale(number: u32) -> messages::Result<u8> {
    let scale = u8::try_from(number).ok();
    scale
        .filter(|&scale| scale <= MAX_SCALE)
        .ok_or(MessageError::OutOfRange("window scale"))
}
