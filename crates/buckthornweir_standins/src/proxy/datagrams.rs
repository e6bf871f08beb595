//! Datagrams on the wire.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::net::UdpSocket;

use super::rules::Way;
use super::{ProcessName, Shared};

/// More than any datagram has.
const DATAGRAM: usize = 65_536;

/// The announced address of one process, as a socket.
pub(super) struct Outlet {
    owner: ProcessName,
    inner: SocketAddr,
    socket: UdpSocket,
}

/// The outlets by the addresses that the processes bind.
#[derive(Default)]
pub(super) struct Outlets {
    by_inner: Mutex<HashMap<SocketAddr, Arc<Outlet>>>,
}

impl Outlets {
    pub(super) fn add(
        &self,
        owner: &ProcessName,
        inner: SocketAddr,
        socket: UdpSocket,
    ) -> Arc<Outlet> {
        let outlet = Arc::new(Outlet {
            owner: owner.clone(),
            inner,
            socket,
        });
        self.by_inner.lock().insert(inner, outlet.clone());
        outlet
    }

    fn get(&self, inner: SocketAddr) -> Option<Arc<Outlet>> {
        self.by_inner.lock().get(&inner).cloned()
    }
}

/// Forwards what comes for the owner of `outlet`. Datagrams of strangers are dropped.
pub(super) async fn run(shared: Arc<Shared>, outlet: Arc<Outlet>) -> Infallible {
    let mut buffer = vec![0; DATAGRAM];
    loop {
        let Ok((length, from)) = outlet.socket.recv_from(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        if let Some(sender) = shared.outlets.get(from) {
            forward(&shared, &sender, &outlet, &buffer[..length]).await;
        }
    }
}

async fn forward(shared: &Shared, sender: &Arc<Outlet>, outlet: &Outlet, datagram: &[u8]) {
    let way = Way {
        from: sender.owner.clone(),
        to: outlet.owner.clone(),
    };
    if shared.rules.loses(&way) {
        return;
    }
    let delay = shared.rules.delay();
    let inner = outlet.inner;
    if delay.is_zero() {
        // A datagram that can't be sent is lost.
        let _ = sender.socket.send_to(datagram, inner).await;
        return;
    }
    let sender = sender.clone();
    let datagram = datagram.to_vec();
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        let _ = sender.socket.send_to(&datagram, inner).await;
    });
}
