//! The packet threads of an agent.

use std::net::UdpSocket;
use std::sync::Arc;

use buckthornweir_events::Count;
use buckthornweir_flows::messages::{FlowBody, Forward};
use buckthornweir_flows::packet::parse;
use buckthornweir_wire::{Body, DATAGRAM_LIMIT, open};
use tokio_util::sync::CancellationToken;

use super::serve::Server;
use crate::board::Blackboard;
use crate::fault::{DaemonError, Result};
use crate::threads::{READ_LIMIT, spawn};

/// Bytes that the envelope adds to a packet, at most.
const ENVELOPE: usize = 512;

/// Starts one thread; it runs until `stop` is cancelled.
///
/// # Errors
///
/// Returns an error when the thread cannot be started.
pub(crate) fn start(
    board: &Arc<Blackboard>,
    server: &Arc<Server>,
    socket: &UdpSocket,
    stop: &CancellationToken,
) -> Result<()> {
    let socket = socket.try_clone().map_err(|source| DaemonError::Bind {
        what: "packets",
        address: board.settings.node.packets,
        source,
    })?;
    let path = PacketPath {
        board: board.clone(),
        server: server.clone(),
    };
    let stop = stop.clone();
    spawn("agent", move || path.run(&socket, &stop))
}

struct PacketPath {
    board: Arc<Blackboard>,
    server: Arc<Server>,
}

impl PacketPath {
    fn run(&self, socket: &UdpSocket, stop: &CancellationToken) {
        let mut buffer = vec![0; DATAGRAM_LIMIT + ENVELOPE];
        // The read timeout lets the loop see that it is to stop.
        let _ = socket.set_read_timeout(Some(READ_LIMIT));
        while !stop.is_cancelled() {
            if let Ok((length, _)) = socket.recv_from(&mut buffer) {
                self.handle(&buffer[..length]);
            }
        }
    }

    fn handle(&self, datagram: &[u8]) {
        let metrics = &self.board.metrics;
        let Ok(envelope) = open(&self.board.settings.node.key, datagram) else {
            return metrics.count(Count::DatagramsForged);
        };
        let body = match envelope.body {
            Some(Body::Flow(message)) => message.body,
            _ => None,
        };
        match body {
            Some(FlowBody::Forward(forward)) => self.forwarded(&forward),
            Some(_) => {}
            None => metrics.count(Count::DatagramsMalformed),
        }
    }

    fn forwarded(&self, forward: &Forward) {
        let metrics = &self.board.metrics;
        let Ok(info) = parse(&forward.packet) else {
            return metrics.count(Count::PacketsMalformed);
        };
        if self.server.table().owns(&info.tuple) {
            self.server.deliver(&info, &forward.packet);
        } else if info.starts_flow() {
            self.server.start(&info, &forward.packet);
        } else {
            metrics.count(Count::PacketsDropped);
        }
    }
}
