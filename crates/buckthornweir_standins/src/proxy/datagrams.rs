//! Forwarding of datagrams.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::net::UdpSocket;

use super::rules::Direction;
use super::{ProcessName, Shared};

/// Larger than any UDP datagram.
const BUFFER_BYTES: usize = 65_536;

/// The socket that is bound to the announced address of one process.
pub(super) struct ProxySocket {
    owner: ProcessName,
    target: SocketAddr,
    socket: UdpSocket,
}

/// The sockets of all processes, by the addresses that the processes bind.
#[derive(Default)]
pub(super) struct ProxySockets {
    by_target: Mutex<HashMap<SocketAddr, Arc<ProxySocket>>>,
}

impl ProxySockets {
    pub(super) fn add(
        &self,
        owner: &ProcessName,
        target: SocketAddr,
        socket: UdpSocket,
    ) -> Arc<ProxySocket> {
        let proxy_socket = Arc::new(ProxySocket {
            owner: owner.clone(),
            target,
            socket,
        });
        self.by_target.lock().insert(target, proxy_socket.clone());
        proxy_socket
    }

    fn get(&self, target: SocketAddr) -> Option<Arc<ProxySocket>> {
        self.by_target.lock().get(&target).cloned()
    }
}

/// Forwards the datagrams for the owner of `receiver`. Datagrams from unknown senders are dropped.
pub(super) async fn run(shared: Arc<Shared>, receiver: Arc<ProxySocket>) -> Infallible {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok((len, from)) = receiver.socket.recv_from(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        if let Some(sender) = shared.sockets.get(from) {
            forward(&shared, &sender, &receiver, &buffer[..len]).await;
        }
    }
}

async fn forward(
    shared: &Shared,
    sender: &Arc<ProxySocket>,
    receiver: &ProxySocket,
    datagram: &[u8],
) {
    let direction = Direction {
        from: sender.owner.clone(),
        to: receiver.owner.clone(),
    };
    if shared.rules.drops_datagram(&direction) {
        return;
    }
    let delay = shared.rules.delay();
    let target = receiver.target;
    if delay.is_zero() {
        // A datagram that can't be sent is dropped.
        let _ = sender.socket.send_to(datagram, target).await;
        return;
    }
    let sender = sender.clone();
    let datagram = datagram.to_vec();
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        let _ = sender.socket.send_to(&datagram, target).await;
    });
}
