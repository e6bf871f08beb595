//! Where an agent's packets for callers leave.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;

use buckthornweir_events::Count;

use crate::board::Blackboard;
use crate::fault::Result;
use crate::threads::bind_udp;

/// Sends packets to the fabric.
#[derive(Debug)]
pub(crate) struct Outlet {
    board: Arc<Blackboard>,
    socket: UdpSocket,
    fabric: SocketAddr,
}

impl Outlet {
    /// Takes any free port to send from.
    ///
    /// # Errors
    ///
    /// Returns an error when none can be taken.
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
