//! What decisions need of a packet.

use std::net::SocketAddrV4;

use siphasher::sip::SipHasher13;

/// Key of the hash that places flows; all processes use the same one.
///
/// Callers choose their ports, so that a hash without secret is enough to spread flows, while one that
/// differs between processes would place them differently.
const PLACEMENT_KEY: [u8; 16] = *b"forward-flow-key";

/// The two ends of a flow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port that the caller called.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// Returns the hash that places the flow.
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

/// The parts of a packet that decisions need; its bytes stay with the caller of this crate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Where the packet comes from.
    pub source: SocketAddrV4,
    /// Where the packet goes to.
    pub target: SocketAddrV4,
    /// Whether it opens a flow.
    pub syn: bool,
    /// Whether it ends its sender's direction.
    pub fin: bool,
    /// Whether it resets the flow.
    pub rst: bool,
    /// Whether the backend server returned it.
    pub returned: bool,
    /// Sequence number of the first byte.
    pub sequence: u32,
    /// Next sequence number that the sender expects; in a SYN, how many copies went before.
    pub acknowledged: u32,
    /// Bytes of data.
    pub length: u16,
    /// What processes of the system noted on the packet.
    pub tag: u32,
}

impl Segment {
    /// Returns the flow of a packet that a caller sent.
    #[must_use]
    pub fn caller_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            service: self.target,
        }
    }

    /// Returns the flow of a packet that a backend server sent.
    #[must_use]
    pub fn backend_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.target,
            service: self.source,
        }
    }

    /// Returns how many copies of this SYN the caller sent before.
    #[must_use]
    pub fn retransmissions(&self) -> usize {
        if self.syn {
            self.acknowledged as usize
        } else {
            0
        }
    }
}

/// Returns a well mixed number for two numbers.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
