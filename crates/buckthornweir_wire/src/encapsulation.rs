//! The encapsulation between the fabric and the processes: the payload of each UDP datagram is
//! exactly one IP packet (direct encapsulation, GUE variant 1).

use crate::fault::{Result, WireError};

/// The largest datagram in bytes that is accepted from the fabric.
pub const MAX_DATAGRAM_BYTES: usize = 9_216;

/// The length in bytes of an IPv4 header without options.
const IPV4_HEADER_BYTES: usize = 20;

/// The length in bytes of an IPv6 header.
const IPV6_HEADER_BYTES: usize = 40;

/// Returns the IP packet inside a datagram from the fabric.
///
/// # Errors
///
/// Returns [`WireError::Short`], [`WireError::Long`], or [`WireError::NotEncapsulated`] when the
/// first bits of the payload are the version of neither IPv4 nor IPv6.
pub fn inner_packet(datagram: &[u8]) -> Result<&[u8]> {
    let length = datagram.len();
    if length > MAX_DATAGRAM_BYTES {
        return Err(WireError::Long {
            length,
            limit: MAX_DATAGRAM_BYTES,
        });
    }
    let Some(&first) = datagram.first() else {
        return Err(WireError::Short { length });
    };
    let header = match first >> 4 {
        4 => IPV4_HEADER_BYTES,
        6 => IPV6_HEADER_BYTES,
        _ => return Err(WireError::NotEncapsulated { first }),
    };
    if length < header {
        return Err(WireError::Short { length });
    }
    Ok(datagram)
}
