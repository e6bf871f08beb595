//! The sockets that packets of flows come and go by.

use std::net::{SocketAddr, SocketAddrV4};

use buckthornweir_events::{Count, Metrics};
use buckthornweir_forward::segment::{FlowKey, Segment};
use tokio::net::UdpSocket;

use crate::fault::{NodeError, Result};

/// Largest packet that is read, in bytes.
pub(crate) const PACKET_LIMIT: usize = 2_048;

/// Packets that are read before other work gets its turn.
pub(crate) const BATCH: usize = 64;

/// How packets look on the wire.
#[derive(Clone, Copy, Debug)]
pub struct PacketFormat {
    /// Reads what decisions need of a packet; `None` for bytes that are none.
    pub read: fn(&[u8]) -> Option<Segment>,
    /// Writes a tag into a packet that was read, and takes the mark of a returned one off.
    pub mark: fn(&mut [u8], u32),
    /// Makes a packet that resets a caller's flow.
    pub reset: fn(&FlowKey, u32) -> Vec<u8>,
}

/// A socket for packets.
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

    /// Waits until something can be read; a failed socket is seen at the next read.
    pub(crate) async fn readable(&self) {
        let _ = self.socket.readable().await;
    }

    /// Reads one datagram if one is there.
    pub(crate) fn receive<'a>(&self, buffer: &'a mut [u8]) -> Option<(&'a mut [u8], SocketAddrV4)> {
        loop {
            match self.socket.try_recv_from(buffer) {
                Ok((length, SocketAddr::V4(from))) => return Some((&mut buffer[..length], from)),
                Ok((_, SocketAddr::V6(_))) => {}
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return None,
                // An earlier datagram reached no listener; the next read tells of later ones.
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {}
                Err(error) => {
                    tracing::warn!(event = "receive_failed", %error);
                    return None;
                }
            }
        }
    }

    /// Sends a datagram. What finds no room is lost, as datagrams are.
    pub(crate) fn send(&self, bytes: &[u8], to: SocketAddrV4, metrics: &Metrics) {
        let sent = self.socket.try_send_to(bytes, SocketAddr::V4(to));
        if sent.is_err() {
            metrics.count(Count::DatagramsUnsent);
        }
    }
}
