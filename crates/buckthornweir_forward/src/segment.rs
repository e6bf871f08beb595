//! The packet fields that decisions depend on.

use std::net::SocketAddrV4;

use siphasher::sip::SipHasher13;

/// Key of the placement hash, identical in all processes.
///
/// Callers choose their ports themselves, so a hash without a secret is enough to spread flows,
/// while a key that differs between processes would place them inconsistently.
const PLACEMENT_KEY: [u8; 16] = *b"forward-flow-key";

/// The two endpoints of a flow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port that the caller connects to.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// Returns the placement hash of the flow.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let mut bytes = [0; 12];
        bytes[..4].copy_from_slice(&self.caller.ip().octets());
        bytes[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.service.ip().octets());
        bytes[10..].copy_from_slice(&self.service.port().to_be_bytes());
        SipHasher13::new_with_key(&PLACEMENT_KEY).hash(&bytes)
    }
}

impl std::fmt::Display for FlowKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}>{}", self.caller, self.service)
    }
}

/// The packet fields that decisions depend on. The bytes stay with the caller of this crate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Source address and port.
    pub source: SocketAddrV4,
    /// Destination address and port.
    pub target: SocketAddrV4,
    /// Whether the packet is a SYN.
    pub syn: bool,
    /// Whether the packet ends its sender's direction.
    pub fin: bool,
    /// Whether the packet resets the flow.
    pub rst: bool,
    /// Whether the backend server returned the packet.
    pub returned: bool,
    /// Sequence number of the first byte.
    pub sequence: u32,
    /// Acknowledgement number; in a SYN, the number of earlier transmissions.
    pub acknowledged: u32,
    /// Payload length in bytes.
    pub length: u16,
    /// The encoded [`Tag`](crate::tag::Tag) of the packet.
    pub tag: u32,
}

impl Segment {
    /// Returns the flow of a packet sent by a caller.
    #[must_use]
    pub fn caller_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            service: self.target,
        }
    }

    /// Returns the flow of a packet sent by a backend server.
    #[must_use]
    pub fn backend_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.target,
            service: self.source,
        }
    }

    /// Returns how many times the caller sent this SYN before.
    #[must_use]
    pub fn retransmissions(&self) -> usize {
        if self.syn {
            self.acknowledged as usize
        } else {
            0
        }
    }
}

/// Returns a well-mixed hash of two numbers.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
