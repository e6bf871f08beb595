//! Forwarding of connections.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::rules::{ConnectionNumber, Direction};
use super::{ProcessName, Shared};

/// Most bytes that one read returns.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// The name for a dialer that is none of the processes, such as an operator's client.
const UNKNOWN_DIALER: &str = "stranger";

/// Forwards the connections to one process.
#[derive(Clone)]
pub(super) struct ConnectionProxy {
    pub(super) shared: Arc<Shared>,
    pub(super) owner: ProcessName,
    pub(super) target: SocketAddr,
    pub(super) token: CancellationToken,
}

impl ConnectionProxy {
    pub(super) async fn run(self, listener: TcpListener) -> Infallible {
        loop {
            let Ok((stream, dialer)) = listener.accept().await else {
                tokio::task::yield_now().await;
                continue;
            };
            let forwarding = self.clone().connect(stream, dialer);
            tokio::spawn(self.token.clone().run_until_cancelled_owned(forwarding));
        }
    }

    async fn connect(self, incoming: TcpStream, dialer: SocketAddr) {
        let shared = self.shared.clone();
        let Ok(local) = incoming.local_addr() else {
            return;
        };
        let lookup = tokio::task::spawn_blocking(move || shared.processes.dialer(dialer, local));
        let dialer_name = lookup.await.ok().flatten();
        let direction = Direction {
            from: dialer_name.unwrap_or(UNKNOWN_DIALER.into()),
            to: self.owner.clone(),
        };
        let number = self.shared.rules.next_number();
        self.shared.rules.wait_connectable(&direction).await;
        if let Ok(outgoing) = TcpStream::connect(self.target).await {
            // Without this, Nagle's algorithm would delay small messages.
            let _ = outgoing.set_nodelay(true);
            let _ = incoming.set_nodelay(true);
            self.forward(incoming, outgoing, direction, number).await;
        }
    }

    async fn forward(
        &self,
        incoming: TcpStream,
        outgoing: TcpStream,
        direction: Direction,
        number: u64,
    ) {
        let (from_dialer, to_dialer) = incoming.into_split();
        let (from_owner, to_owner) = outgoing.into_split();
        let reverse = direction.reverse();
        let to_target = self.copy(from_dialer, to_owner, direction, number);
        let back = self.copy(from_owner, to_dialer, reverse, number);
        // An error ends both directions, an orderly close only its own.
        let _ = tokio::try_join!(to_target, back);
    }

    async fn copy(
        &self,
        mut reader: OwnedReadHalf,
        mut writer: OwnedWriteHalf,
        direction: Direction,
        number: ConnectionNumber,
    ) -> std::io::Result<()> {
        let rules = &self.shared.rules;
        let mut buffer = vec![0; MAX_CHUNK_BYTES];
        loop {
            let read = reader.read(&mut buffer).await;
            rules.wait_forwardable(&direction, number).await;
            tokio::time::sleep(rules.delay()).await;
            let len = read?;
            if len == 0 {
                return writer.shutdown().await;
            }
            writer.write_all(&buffer[..len]).await?;
        }
    }
}
