//! Rewrites headers of a flow's packets, such as the sequence numbers of a resumed flow.

use std::borrow::Cow;
use std::ops::Range;

use etherparse::{IpSlice, TcpSlice};

/// Kind of the end-of-option-list option.
const OPTION_END: u8 = 0;
/// Kind of the no-operation option, which pads the option list.
const OPTION_NOP: u8 = 1;
/// Kind of the selective acknowledgement option.
const OPTION_SACK: u8 = 5;
/// Length in bytes of a TCP header without options.
const HEADER_BYTES: usize = 20;
/// Offset of the sequence number in a TCP header.
const SEQUENCE_OFFSET: usize = 4;
/// Offset of the acknowledgement number in a TCP header.
const ACKNOWLEDGEMENT_OFFSET: usize = 8;
/// Offset of the window field in a TCP header.
const WINDOW_OFFSET: usize = 14;
/// Offset of the checksum in a TCP header.
const CHECKSUM_OFFSET: usize = 16;

/// Converts a packet from the caller to the stack's sequence numbers, or returns `None` if it is
/// damaged.
///
/// Subtracts `shift` from the acknowledgement number and the SACK blocks, and updates the checksum.
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
    let options = HEADER_BYTES..tcp.header_slice().len();
    let mut packet = packet.to_vec();
    let bytes = &mut packet[segment];
    if has_ack {
        add_at(bytes, ACKNOWLEDGEMENT_OFFSET, shift.wrapping_neg());
    }
    shift_sack(bytes, options, shift.wrapping_neg());
    update_checksum(&mut packet);
    Some(Cow::Owned(packet))
}

/// Returns whether the TCP checksum of a packet is correct.
pub(super) fn is_intact(packet: &[u8]) -> bool {
    let Some((segment, checksum)) = segment_of(packet) else {
        return false;
    };
    TcpSlice::from_slice(&packet[segment]).is_ok_and(|tcp| tcp.checksum() == checksum)
}

/// Sets the window field of a packet from the caller, if `window` is given.
///
/// The packet must be intact, as this function computes a new checksum.
pub(super) fn with_window(packet: Cow<'_, [u8]>, window: Option<u16>) -> Cow<'_, [u8]> {
    let Some((window, (segment, _))) = window.zip(segment_of(&packet)) else {
        return packet;
    };
    let window_field = segment.start + WINDOW_OFFSET..segment.start + WINDOW_OFFSET + 2;
    if packet[window_field.clone()] == window.to_be_bytes() {
        return packet;
    }
    let mut packet = packet.into_owned();
    packet[window_field].copy_from_slice(&window.to_be_bytes());
    update_checksum(&mut packet);
    Cow::Owned(packet)
}

/// Converts a packet from the stack to the sequence numbers that the caller sees.
///
/// Adds `shift` to the sequence number, and updates the checksum.
pub fn shift_outgoing(packet: &mut [u8], shift: u32) {
    if shift == 0 {
        return;
    }
    let Some((segment, _)) = segment_of(packet) else {
        return;
    };
    add_at(&mut packet[segment], SEQUENCE_OFFSET, shift);
    update_checksum(packet);
}

/// Returns the byte range of the TCP segment in a packet, and its correct checksum.
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

fn update_checksum(packet: &mut [u8]) {
    let Some((segment, checksum)) = segment_of(packet) else {
        return;
    };
    packet[segment][CHECKSUM_OFFSET..CHECKSUM_OFFSET + 2].copy_from_slice(&checksum.to_be_bytes());
}

/// Adds `shift` to the 32-bit number at an offset, unless it is out of bounds.
fn add_at(bytes: &mut [u8], offset: usize, shift: u32) {
    let Some(number) = bytes.get_mut(offset..offset + 4) else {
        return;
    };
    let old = number
        .iter()
        .fold(0, |sum, &byte| sum << 8 | u32::from(byte));
    number.copy_from_slice(&old.wrapping_add(shift).to_be_bytes());
}

/// Adds `shift` to the edges of all SACK blocks.
fn shift_sack(bytes: &mut [u8], options: Range<usize>, shift: u32) {
    let mut offset = options.start;
    while offset + 1 < options.end {
        let length = match bytes[offset] {
            OPTION_END => return,
            OPTION_NOP => 1,
            _ => usize::from(bytes[offset + 1]).max(2),
        };
        let end = (offset + length).min(options.end);
        if bytes[offset] == OPTION_SACK {
            for edge in (offset + 2..end).step_by(4).filter(|edge| edge + 4 <= end) {
                add_at(bytes, edge, shift);
            }
        }
        offset = end;
    }
}
