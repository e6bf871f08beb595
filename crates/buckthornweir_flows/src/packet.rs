//! The caller's packets: parsing them and answering them with a reset.

use std::net::{IpAddr, SocketAddr};

use etherparse::{IpHeaders, IpNumber, IpSlice, PacketBuilder, TcpHeader, TcpSlice};
use quick_error::quick_error;

/// Hop limit of the packets that this crate makes.
const HOP_LIMIT: u8 = 64;

/// A result of reading a packet.
pub type Result<T> = std::result::Result<T, PacketError>;

quick_error! {
    /// Says why a packet is no whole TCP packet.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum PacketError {
        /// The IP header is damaged, truncated or of an unknown version.
        Ip(source: etherparse::err::ip::SliceError) {
            display("bad IP header: {source}")
            source(source)
            from()
        }
        /// The TCP header is damaged or truncated.
        Tcp(source: etherparse::err::tcp::HeaderSliceError) {
            display("bad TCP header: {source}")
            source(source)
            from()
        }
        /// The packet is a fragment.
        Fragment {
            display("packet is a fragment")
        }
        /// The packet carries another protocol than TCP.
        NotTcp(protocol: u8) {
            display("protocol {protocol} is not TCP")
        }
        /// One of the ports is zero or one of the addresses can't be an end of a flow.
        InvalidEndpoint {
            display("packet has an address or port that can't be an end of a flow")
        }
    }
}

/// The two ends of a TCP flow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FiveTuple {
    /// Address and port of the caller.
    pub caller: SocketAddr,
    /// Address and port that the caller called.
    pub service: SocketAddr,
}

/// The parts of a caller's packet that decisions need.
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
    /// Acknowledgement number, which counts only when the ACK flag is set.
    pub ack_number: u32,
    /// Payload length in bytes.
    pub payload: usize,
}

impl PacketInfo {
    /// Returns whether the packet asks for a new flow.
    pub fn starts_flow(&self) -> bool {
        self.syn && !self.ack && !self.rst && !self.fin
    }

    /// Returns the length that the packet takes in the sequence space.
    pub fn sequence_length(&self) -> u32 {
        let flags = u32::from(self.syn) + u32::from(self.fin);
        flags.wrapping_add(self.payload as u32)
    }
}

/// Reads an IPv4 or IPv6 packet that holds a TCP packet of a caller.
///
/// # Errors
///
/// Returns an error for a packet that is truncated, damaged, a fragment or no TCP.
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

/// Returns the reset packet that answers a packet of a flow that nobody knows (RFC 9293, 3.10.7.1).
///
/// A reset is never answered: the returned packet is empty when `packet` is one.
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

/// Returns a packet without payload from the service to the caller, with its checksums filled.
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
