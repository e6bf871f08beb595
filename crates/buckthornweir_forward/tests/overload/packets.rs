//! Packets of simulated callers.

use std::net::{Ipv4Addr, SocketAddrV4};

use buckthornweir_forward::segment::{FlowKey, Segment};
use buckthornweir_forward::tag::Tag;

/// Caller addresses, each with flows on ports of its own.
const CALLERS: usize = 128;
const FIRST_PORT: u16 = 2_000;

pub(crate) fn service_addr(class: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, class as u8 + 1), 443)
}

pub(crate) fn flow_key(attempt: usize, class: usize) -> FlowKey {
    let ip = Ipv4Addr::new(100, 64, 0, (attempt % CALLERS) as u8);
    let port = FIRST_PORT + (attempt / CALLERS) as u16;
    FlowKey {
        caller: SocketAddrV4::new(ip, port),
        service: service_addr(class),
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PacketKind {
    Syn,
    Data,
    Fin,
}

/// A packet of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Packet {
    pub(crate) attempt: usize,
    pub(crate) class: usize,
    pub(crate) kind: PacketKind,
    /// Acknowledgement number; in a SYN, the number of earlier transmissions.
    pub(crate) number: u32,
}

impl Packet {
    pub(crate) fn segment(&self, tag: Tag) -> Segment {
        let key = flow_key(self.attempt, self.class);
        let is_data = self.kind == PacketKind::Data;
        Segment {
            source: key.caller,
            target: key.service,
            syn: self.kind == PacketKind::Syn,
            fin: self.kind == PacketKind::Fin,
            rst: false,
            returned: false,
            sequence: 1,
            acknowledged: self.number,
            length: if is_data { 100 } else { 0 },
            tag: tag.word(),
        }
    }

    pub(crate) fn bytes(&self) -> [u8; 10] {
        let mut bytes = [0; 10];
        (bytes[0], bytes[1]) = (self.kind as u8, self.class as u8);
        bytes[2..6].copy_from_slice(&(self.attempt as u32).to_be_bytes());
        bytes[6..].copy_from_slice(&self.number.to_be_bytes());
        bytes
    }

    pub(crate) fn read(bytes: &[u8]) -> Self {
        let word = |bytes: &[u8]| bytes.iter().fold(0, |n, byte| n << 8 | u32::from(*byte));
        Self {
            attempt: word(&bytes[2..6]) as usize,
            class: usize::from(bytes[1]),
            kind: [PacketKind::Syn, PacketKind::Data, PacketKind::Fin][usize::from(bytes[0])],
            number: word(&bytes[6..]),
        }
    }

    pub(crate) fn attempt_of(key: &FlowKey) -> usize {
        let caller = usize::from(key.caller.ip().octets()[3]);
        usize::from(key.caller.port() - FIRST_PORT) * CALLERS + caller
    }
}
