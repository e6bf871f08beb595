//! Parsing of the packet fields that the fabric needs.

use std::net::SocketAddr;

use etherparse::{NetSlice, SlicedPacket, TransportSlice};

/// The destination of a packet, and whether it resets the connection.
pub(crate) struct Target {
    pub(crate) to: SocketAddr,
    pub(crate) reset: bool,
}

/// Parses an IP packet; returns `None` when it carries no TCP.
pub(crate) fn target(packet: &[u8]) -> Option<Target> {
    let sliced = SlicedPacket::from_ip(packet).ok()?;
    let ip = match sliced.net? {
        NetSlice::Ipv4(ip) => ip.header().destination_addr().into(),
        NetSlice::Ipv6(ip) => ip.header().destination_addr().into(),
        _ => return None,
    };
    let TransportSlice::Tcp(tcp) = sliced.transport? else {
        return None;
    };
    let to = SocketAddr::new(ip, tcp.destination_port());
    Some(Target {
        to,
        reset: tcp.rst(),
    })
}
