//! Parsing of callers' packets, and construction of resets.

use std::net::{IpAddr, SocketAddr};

use etherparse::{IpHeaders, IpNumber, IpSlice, PacketBuilder, TcpHeader, TcpSlice};
use quick_error::quick_error;

/// IP hop limit of the packets built here.
const HOP_LIMIT: u8 = 64;

/// The result of parsing a packet.
pub type Result<T> = std::result::Result<T, PacketError>;

quick_error! {
    /// The reason why a packet can't be parsed as a TCP packet of a caller.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum PacketError {
        /// The IP header is invalid, truncated or of an unknown version.
        Ip(source: etherparse::err::ip::SliceError) {
            display("bad IP header: {source}")
            source(source)
            from()
        }
        /// The TCP header is invalid or truncated.
        Tcp(source: etherparse::err::tcp::HeaderSliceError) {
            display("bad TCP header: {source}")
            source(source)
            from()
        }
        /// The packet is a fragment.
        Fragment {
            display("packet is a fragment")
        }
        /// The packet carries a protocol other than TCP.
        NotTcp(protocol: u8) {
            display("protocol {protocol} is not TCP")
        }
        /// A port is 0, or an address is unspecified, multicast or broadcast.
        InvalidEndpoint {
            display("packet has an address or port that can't be an end of a flow")
        }
    }
}

/// The two endpoints of a TCP flow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FiveTuple {
    /// Address and port of the caller.
    pub caller: SocketAddr,
    /// Address and port that the caller connects to.
    pub service: SocketAddr,
}

/// The header fields of a caller's packet that routing decisions depend on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PacketInfo {
    /// The flow that the packet belongs to.
    pub tuple: FiveTuple,
    /// Whether the SYN flag is set.
    pub syn: bool,
    /// Whether the ACK flag is set.
    pub ack: bool,
    /// Whether the FIN flag is set.
    pub fin: bool,
    /// Whether the RST flag is set.
    pub rst: bool,
    /// Sequence number.
    pub seq: u32,
    /// Acknowledgement number, which is only valid if the ACK flag is set.
    pub ack_number: u32,
    /// Payload length in bytes.
    pub payload: usize,
}

impl PacketInfo {
    /// Returns whether the packet requests a new flow.
    pub fn starts_flow(&self) -> bool {
        self.syn && !self.ack && !self.rst && !self.fin
    }

    /// Returns the length of the packet in sequence space, where SYN and FIN count as one byte
    /// each.
    pub fn sequence_length(&self) -> u32 {
        let flags = u32::from(self.syn) + u32::from(self.fin);
        flags.wrapping_add(self.payload as u32)
    }
}

/// Parses an IPv4 or IPv6 packet that carries a TCP segment of a caller.
///
/// # Errors
///
/// Returns an error for a packet that is truncated, malformed, a fragment, not TCP, or has an
/// invalid address or port.
pub fn parse(packet: &[u8]) -> Result<PacketInfo> {
    let ip = IpSlice::from_slice(packet)?;
    let payload = ip.payload();
    if payload.fragmented {
        return Err(PacketError::Fragment);
    }
    if payload.ip_number != IpNumber::TCP {
        return Err(PacketError::NotTcp(payload.ip_number.0));
    }
    let tcp = TcpSlice::from_slice(payload.payload)?;
    let tuple = FiveTuple {
        caller: SocketAddr::new(ip.source_addr(), tcp.source_port()),
        service: SocketAddr::new(ip.destination_addr(), tcp.destination_port()),
    };
    if !is_valid_endpoint(tuple.caller) || !is_valid_endpoint(tuple.service) {
        return Err(PacketError::InvalidEndpoint);
    }
    Ok(PacketInfo {
        tuple,
        syn: tcp.syn(),
        ack: tcp.ack(),
        fin: tcp.fin(),
        rst: tcp.rst(),
        seq: tcp.sequence_number(),
        ack_number: tcp.acknowledgment_number(),
        payload: tcp.payload().len(),
    })
}

fn is_valid_endpoint(endpoint: SocketAddr) -> bool {
    let broadcast = matches!(endpoint.ip(), IpAddr::V4(address) if address.is_broadcast());
    endpoint.port() != 0
        && !endpoint.ip().is_unspecified()
        && !endpoint.ip().is_multicast()
        && !broadcast
}

/// Returns the reset for a packet of a flow without an owner (RFC 9293, 3.10.7.1).
///
/// A reset is never answered with a reset: the result is empty if `packet` has the RST flag.
pub fn reset_for(packet: &PacketInfo) -> Vec<u8> {
    if packet.rst {
        return Vec::new();
    }
    let tuple = &packet.tuple;
    let mut tcp = TcpHeader::new(tuple.service.port(), tuple.caller.port(), 0, 0);
    tcp.rst = true;
    if packet.ack {
        tcp.sequence_number = packet.ack_number;
    } else {
        tcp.ack = true;
        tcp.acknowledgment_number = packet.seq.wrapping_add(packet.sequence_length());
    }
    build_reply(tuple, tcp)
}

/// Builds a packet without payload from the service to the caller, including checksums.
fn build_reply(tuple: &FiveTuple, tcp: TcpHeader) -> Vec<u8> {
    let Some(ip) = reply_header(tuple) else {
        return Vec::new();
    };
    let step = PacketBuilder::ip(ip).tcp_header(tcp);
    let mut packet = Vec::with_capacity(step.size(0));
    match step.write(&mut packet, &[]) {
        Ok(()) => packet,
        Err(_) => Vec::new(),
    }
}

fn reply_header(tuple: &FiveTuple) -> Option<IpHeaders> {
    match (tuple.service.ip(), tuple.caller.ip()) {
        (IpAddr::V4(source), IpAddr::V4(destination)) => {
            let header = etherparse::Ipv4Header::new(
                0,
                HOP_LIMIT,
                IpNumber::TCP,
                source.octets(),
                destination.octets(),
            );
            Some(IpHeaders::Ipv4(header.ok()?, Default::default()))
        }
        (IpAddr::V6(source), IpAddr::V6(destination)) => {
            let header = etherparse::Ipv6Header {
                next_header: IpNumber::TCP,
                hop_limit: HOP_LIMIT,
                source: source.octets(),
                destination: destination.octets(),
                ..Default::default()
            };
            Some(IpHeaders::Ipv6(header, Default::default()))
        }
        _ => None,
    }
}
