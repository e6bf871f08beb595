//! Sends an agent's packets for callers.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;

use buckthornweir_events::Count;

use crate::board::Blackboard;
use crate::fault::Result;
use crate::threads::bind_udp;

/// Sends packets to the fabric.
#[derive(Debug)]
pub(crate) struct PacketSender {
    board: Arc<Blackboard>,
    socket: UdpSocket,
    fabric: SocketAddr,
}

impl PacketSender {
    /// Binds a socket to any free port.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound.
    pub(crate) fn new(board: Arc<Blackboard>, fabric: SocketAddr) -> Result<Self> {
        let any = match fabric.ip() {
            IpAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
            IpAddr::V6(_) => IpAddr::V6(Ipv6Addr::UNSPECIFIED),
        };
        Ok(Self {
            board,
            socket: bind_udp("outlet", SocketAddr::new(any, 0))?,
            fabric,
        })
    }

    /// Sends one IP packet.
    pub(crate) fn send(&self, packet: &[u8]) {
        let count = match self.socket.send_to(packet, self.fabric) {
            Ok(_) => Count::PacketsOut,
            Err(_) => Count::DatagramsUnsent,
        };
        self.board.metrics.count(count);
    }
}
