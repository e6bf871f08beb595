//! The packet format of the tests: a header of 26 bytes, then the payload.

use std::net::{Ipv4Addr, SocketAddrV4};

use buckthornweir_forward::segment::{FlowKey, Segment};
use buckthornweir_node::PacketFormat;

const HEADER_BYTES: usize = 26;
const SYN: u8 = 1;
const FIN: u8 = 2;
const RST: u8 = 4;
const RETURNED: u8 = 8;

pub(crate) const FORMAT: PacketFormat = PacketFormat { read, mark, reset };

pub(crate) fn write(segment: &Segment) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + usize::from(segment.length));
    for address in [segment.source, segment.target] {
        bytes.extend(address.ip().octets());
        bytes.extend(address.port().to_be_bytes());
    }
    bytes.extend(segment.sequence.to_be_bytes());
    bytes.extend(segment.acknowledged.to_be_bytes());
    bytes.extend(segment.tag.to_be_bytes());
    let flags = [
        (segment.syn, SYN),
        (segment.fin, FIN),
        (segment.rst, RST),
        (segment.returned, RETURNED),
    ];
    let set = flags.iter().filter(|(is_set, _)| *is_set);
    bytes.push(set.fold(0, |sum, (_, flag)| sum | flag));
    bytes.push(0);
    bytes.resize(HEADER_BYTES + usize::from(segment.length), b'x');
    bytes
}

pub(crate) fn read(bytes: &[u8]) -> Option<Segment> {
    let head = bytes.get(..HEADER_BYTES)?;
    let word = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let address = |at: usize| {
        let port = u16::from_be_bytes([head[at + 4], head[at + 5]]);
        SocketAddrV4::new(Ipv4Addr::from_bits(word(at)), port)
    };
    let flags = head[24];
    Some(Segment {
        source: address(0),
        target: address(6),
        sequence: word(12),
        acknowledged: word(16),
        tag: word(20),
        syn: flags & SYN != 0,
        fin: flags & FIN != 0,
        rst: flags & RST != 0,
        returned: flags & RETURNED != 0,
        length: u16::try_from(bytes.len() - HEADER_BYTES).ok()?,
    })
}

fn mark(bytes: &mut [u8], tag: u32) {
    bytes[20..24].copy_from_slice(&tag.to_be_bytes());
    bytes[24] &= !RETURNED;
}

fn reset(key: &FlowKey, sequence: u32) -> Vec<u8> {
    write(&Segment {
        source: key.service,
        target: key.caller,
        syn: false,
        fin: false,
        rst: true,
        returned: false,
        sequence,
        acknowledged: 0,
        length: 0,
        tag: 0,
    })
}
