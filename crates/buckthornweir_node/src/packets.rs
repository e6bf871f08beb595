//! The UDP sockets for packets of flows, and the packet format.

use std::net::{SocketAddr, SocketAddrV4};

use buckthornweir_events::{Count, Metrics};
use buckthornweir_forward::segment::{FlowKey, Segment};
use tokio::net::UdpSocket;

use crate::fault::{NodeError, Result};

/// Maximum size of a received packet.
pub(crate) const MAX_PACKET_BYTES: usize = 2_048;

/// Maximum number of datagrams read from a socket before the event loop does other work.
pub(crate) const MAX_BATCH: usize = 64;

/// Functions for the platform's packet format.
#[derive(Clone, Copy, Debug)]
pub struct PacketFormat {
    /// Parses a packet; returns `None` if it is malformed.
    pub read: fn(&[u8]) -> Option<Segment>,
    /// Writes a tag to a parsed packet, and clears the mark of a returned packet.
    pub mark: fn(&mut [u8], u32),
    /// Builds a packet that resets a caller's flow, with the given sequence number.
    pub reset: fn(&FlowKey, u32) -> Vec<u8>,
}

/// A UDP socket for packets.
#[derive(Debug)]
pub(crate) struct PacketSocket {
    socket: UdpSocket,
}

impl PacketSocket {
    pub(crate) async fn bind(what: &'static str, address: SocketAddrV4) -> Result<Self> {
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|source| NodeError::Bind {
                what,
                address: address.into(),
                source,
            })?;
        Ok(Self { socket })
    }

    /// Waits until the socket is readable. Errors are left to the next read.
    pub(crate) async fn readable(&self) {
        let _ = self.socket.readable().await;
    }

    /// Receives a datagram, if one is available.
    pub(crate) fn receive<'a>(&self, buffer: &'a mut [u8]) -> Option<(&'a mut [u8], SocketAddrV4)> {
        loop {
            match self.socket.try_recv_from(buffer) {
                Ok((length, SocketAddr::V4(from))) => return Some((&mut buffer[..length], from)),
                Ok((_, SocketAddr::V6(_))) => {}
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return None,
                // Reports that an earlier datagram reached no listener; the next read may succeed.
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {}
                Err(error) => {
                    tracing::warn!(event = "receive_failed", %error);
                    return None;
                }
            }
        }
    }

    /// Sends a datagram without waiting; it is lost if the socket's buffer is full.
    pub(crate) fn send(&self, bytes: &[u8], to: SocketAddrV4, metrics: &Metrics) {
        let sent = self.socket.try_send_to(bytes, SocketAddr::V4(to));
        if sent.is_err() {
            metrics.count(Count::DatagramsUnsent);
        }
    }
}
