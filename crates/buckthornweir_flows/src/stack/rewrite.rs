//! Shifts the sequence numbers of a flow that was resumed.

use std::borrow::Cow;
use std::ops::Range;

use etherparse::{IpSlice, TcpSlice};

/// Kind of the option that ends the list of options.
const OPTION_END: u8 = 0;
/// Kind of the option that pads the list of options.
const OPTION_PAD: u8 = 1;
/// Kind of the selective acknowledgement option.
const OPTION_SACK: u8 = 5;
/// Length of the fixed part of a TCP header in bytes.
const HEADER: usize = 20;
/// Place of the sequence number in a TCP header.
const SEQUENCE: usize = 4;
/// Place of the acknowledgement number in a TCP header.
const ACKNOWLEDGEMENT: usize = 8;
/// Place of the window in a TCP header.
const WINDOW: usize = 14;
/// Place of the checksum in a TCP header.
const CHECKSUM: usize = 16;

/// Returns the caller's packet as the stack numbers it, or `None` for a damaged packet.
///
/// `shift` is taken from the acknowledgement number and from the selectively acknowledged blocks, and
/// the checksum is filled again.
pub fn shift_incoming(packet: &[u8], shift: u32) -> Option<Cow<'_, [u8]>> {
    if shift == 0 {
        return Some(Cow::Borrowed(packet));
    }
    let (segment, checksum) = segment_of(packet)?;
    let tcp = TcpSlice::from_slice(&packet[segment.clone()]).ok()?;
    if checksum != tcp.checksum() {
        return None;
    }
    let has_ack = tcp.ack();
    let options = HEADER..tcp.header_slice().len();
    let mut packet = packet.to_vec();
    let bytes = &mut packet[segment];
    if has_ack {
        add(bytes, ACKNOWLEDGEMENT, shift.wrapping_neg());
    }
    shift_sack(bytes, options, shift.wrapping_neg());
    refill(&mut packet);
    Some(Cow::Owned(packet))
}

/// Returns the caller's packet with another window field, or `None` for a damaged packet.
pub(super) fn with_window(packet: &[u8], window: u16) -> Option<Vec<u8>> {
    let (segment, checksum) = segment_of(packet)?;
    let tcp = TcpSlice::from_slice(&packet[segment.clone()]).ok()?;
    if checksum != tcp.checksum() {
        return None;
    }
    let mut packet = packet.to_vec();
    packet[segment][WINDOW..WINDOW + 2].copy_from_slice(&window.to_be_bytes());
    refill(&mut packet);
    Some(packet)
}

/// Changes a packet of the stack to the numbers that the caller sees.
///
/// `shift` is added to the sequence number, and the checksum is filled again.
pub fn shift_outgoing(packet: &mut [u8], shift: u32) {
    if shift == 0 {
        return;
    }
    let Some((segment, _)) = segment_of(packet) else {
        return;
    };
    add(&mut packet[segment], SEQUENCE, shift);
    refill(packet);
}

/// Returns the place of the TCP segment in a packet, and the checksum that it should have.
fn segment_of(packet: &[u8]) -> Option<(Range<usize>, u16)> {
    let ip = IpSlice::from_slice(packet).ok()?;
    let payload = ip.payload().payload;
    let start = payload.as_ptr() as usize - packet.as_ptr() as usize;
    let tcp = TcpSlice::from_slice(payload).ok()?;
    let checksum = match &ip {
        IpSlice::Ipv4(ip) => {
            let header = ip.header();
            tcp.calc_checksum_ipv4(header.source(), header.destination())
        }
        IpSlice::Ipv6(ip) => {
            let header = ip.header();
            tcp.calc_checksum_ipv6(header.source(), header.destination())
        }
    };
    Some((start..start + payload.len(), checksum.ok()?))
}

fn refill(packet: &mut [u8]) {
    let Some((segment, checksum)) = segment_of(packet) else {
        return;
    };
    packet[segment][CHECKSUM..CHECKSUM + 2].copy_from_slice(&checksum.to_be_bytes());
}

/// Adds to the number at a place; a place beyond the end is left alone.
fn add(bytes: &mut [u8], place: usize, shift: u32) {
    let Some(number) = bytes.get_mut(place..place + 4) else {
        return;
    };
    let old = number
        .iter()
        .fold(0, |sum, &byte| sum << 8 | u32::from(byte));
    number.copy_from_slice(&old.wrapping_add(shift).to_be_bytes());
}

/// Shifts the blocks of a selective acknowledgement.
fn shift_sack(bytes: &mut [u8], options: Range<usize>, shift: u32) {
    let mut place = options.start;
    while place + 1 < options.end {
        let length = match bytes[place] {
            OPTION_END => return,
            OPTION_PAD => 1,
            _ => usize::from(bytes[place + 1]).max(2),
        };
        let end = (place + length).min(options.end);
        if bytes[place] == OPTION_SACK {
            for edge in (place + 2..end).step_by(4).filter(|edge| edge + 4 <= end) {
                add(bytes, edge, shift);
            }
        }
        place = end;
    }
}
