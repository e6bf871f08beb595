//! Datagrams between balancers and agents.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, OnceLock};

use buckthornweir_events::Count;
use buckthornweir_flows::messages::{FlowBody, FlowMessage};
use buckthornweir_requests::messages::RequestBody;
use buckthornweir_wire::{Body, Envelope, MAX_DATAGRAM_BYTES, NodeId, open, seal};
use tokio_util::sync::CancellationToken;

use crate::agent::FlowServer;
use crate::balancer::BalancerRole;
use crate::board::Blackboard;
use crate::fault::Result;
use crate::threads::{READ_TIMEOUT, bind_udp, spawn};

/// The maximum number of bytes that the envelope adds to a packet.
const MAX_ENVELOPE_BYTES: usize = 512;

/// The socket for datagrams between balancers and agents.
pub(crate) struct PeerSocket {
    board: Arc<Blackboard>,
    socket: UdpSocket,
}

impl PeerSocket {
    /// Binds the address from the settings.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub(crate) fn bind(board: &Arc<Blackboard>) -> Result<Arc<Self>> {
        let socket = bind_udp("packets", board.settings.node.packets.bind)?;
        // The read timeout lets the reader threads notice cancellation.
        let _ = socket.set_read_timeout(Some(READ_TIMEOUT));
        Ok(Arc::new(Self {
            board: board.clone(),
            socket,
        }))
    }

    /// Sends a flow message. Returns whether the socket accepted it.
    pub(crate) fn send(&self, to: SocketAddr, body: FlowBody) -> bool {
        self.send_body(to, Body::Flow(FlowMessage::from(body)))
    }

    /// Sends a message of any kind. Returns whether the socket accepted it.
    pub(crate) fn send_body(&self, to: SocketAddr, body: Body) -> bool {
        let envelope = Envelope::new(self.board.id, body);
        let datagram = seal(&self.board.settings.node.key, &envelope);
        let is_sent = self.socket.send_to(&datagram, to).is_ok();
        if !is_sent {
            self.board.metrics.count(Count::DatagramsUnsent);
        }
        is_sent
    }
}

/// The roles of this process that handle datagrams between balancers and agents.
#[derive(Default)]
pub(crate) struct PeerRoles {
    pub(crate) balancer: OnceLock<Arc<BalancerRole>>,
    pub(crate) agent: OnceLock<Arc<FlowServer>>,
}

/// Starts `threads` reader threads, which run until `stop` is cancelled.
///
/// # Errors
///
/// Returns an error when a thread cannot be started.
pub(crate) fn start(
    peers: &Arc<PeerSocket>,
    roles: &Arc<PeerRoles>,
    threads: usize,
    stop: &CancellationToken,
) -> Result<()> {
    for _ in 0..threads {
        let reader = Reader {
            peers: peers.clone(),
            roles: roles.clone(),
        };
        let stop = stop.clone();
        spawn("peer-packets", move || reader.run(&stop))?;
    }
    Ok(())
}

struct Reader {
    peers: Arc<PeerSocket>,
    roles: Arc<PeerRoles>,
}

impl Reader {
    fn run(&self, stop: &CancellationToken) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + MAX_ENVELOPE_BYTES];
        while !stop.is_cancelled() {
            if let Ok((length, _)) = self.peers.socket.recv_from(&mut buffer) {
                self.handle(&buffer[..length]);
            }
        }
    }

    fn handle(&self, datagram: &[u8]) {
        let board = &self.peers.board;
        let Ok(envelope) = open(&board.settings.node.key, datagram) else {
            return board.metrics.count(Count::DatagramsForged);
        };
        let body = match envelope.body {
            Some(Body::Flow(message)) => message.body,
            Some(Body::Request(message)) => return self.request(envelope.from, message.body),
            _ => None,
        };
        match body {
            Some(FlowBody::Hint(hint)) => {
                if let Some(balancer) = self.roles.balancer.get() {
                    balancer.learn_owner(&hint);
                }
            }
            Some(body) => {
                if let Some(agent) = self.roles.agent.get() {
                    agent.receive(body);
                }
            }
            None => board.metrics.count(Count::DatagramsMalformed),
        }
    }

    fn request(&self, from: NodeId, body: Option<RequestBody>) {
        if let (Some(agent), Some(RequestBody::Load(load))) = (self.roles.agent.get(), body) {
            agent.note_load(from, load);
        }
    }
}
