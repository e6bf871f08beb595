//! The encapsulation between the fabric and the processes: one IP packet is the whole payload of a
//! UDP datagram (direct encapsulation, GUE variant 1).

use crate::fault::{Result, WireError};

/// The largest datagram in bytes that is taken from the fabric.
pub const DATAGRAM_LIMIT: usize = 9_216;

/// The smallest IP packet in bytes.
const PACKET_MINIMUM: usize = 20;

/// Returns the IP packet in a datagram of the fabric.
///
/// # Errors
///
/// Returns [`WireError::Short`], [`WireError::Long`], or [`WireError::NotEncapsulated`] when the
/// payload's first bits are the version of neither IPv4 nor IPv6.
pub fn inner_packet(datagram: &[u8]) -> Result<&[u8]> {
    let length = datagram.len();
    if length < PACKET_MINIMUM {
        return Err(WireError::Short { length });
    }
    if length > DATAGRAM_LIMIT {
        return Err(WireError::Long {
            length,
            limit: DATAGRAM_LIMIT,
        });
    }
    match datagram[0] >> 4 {
        4 | 6 => Ok(datagram),
        _ => Err(WireError::NotEncapsulated { first: datagram[0] }),
    }
}
