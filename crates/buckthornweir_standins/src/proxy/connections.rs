//! Connections on the wire.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::rules::{ConnectionNumber, Way};
use super::{ProcessName, Shared};

/// The most bytes that are read at once.
const PIECE: usize = 16 * 1024;

/// The name of whoever is none of the processes, such as an operator.
const STRANGER: &str = "stranger";

/// Where connections to one process come in.
#[derive(Clone)]
pub(super) struct Entry {
    pub(super) shared: Arc<Shared>,
    pub(super) owner: ProcessName,
    pub(super) inner: SocketAddr,
    pub(super) token: CancellationToken,
}

impl Entry {
    pub(super) async fn run(self, listener: TcpListener) -> Infallible {
        loop {
            let Ok((stream, dialer)) = listener.accept().await else {
                tokio::task::yield_now().await;
                continue;
            };
            let work = self.clone().connect(stream, dialer);
            tokio::spawn(self.token.clone().run_until_cancelled_owned(work));
        }
    }

    async fn connect(self, outside: TcpStream, dialer: SocketAddr) {
        let shared = self.shared.clone();
        let Ok(entry) = outside.local_addr() else {
            return;
        };
        let find = tokio::task::spawn_blocking(move || shared.processes.dialer(dialer, entry));
        let dialed_by = find.await.ok().flatten();
        let way = Way {
            from: dialed_by.unwrap_or(STRANGER.into()),
            to: self.owner.clone(),
        };
        let number = self.shared.rules.number();
        self.shared.rules.open(&way).await;
        if let Ok(inside) = TcpStream::connect(self.inner).await {
            // Small messages are not to wait for one another.
            let _ = inside.set_nodelay(true);
            let _ = outside.set_nodelay(true);
            self.join(outside, inside, way, number).await;
        }
    }

    async fn join(&self, outside: TcpStream, inside: TcpStream, way: Way, number: u64) {
        let (from_dialer, to_dialer) = outside.into_split();
        let (from_owner, to_owner) = inside.into_split();
        let back = way.back();
        let there = self.pump(from_dialer, to_owner, way, number);
        let back = self.pump(from_owner, to_dialer, back, number);
        // An end with a fault ends both ways, an end without one only its own.
        let _ = tokio::try_join!(there, back);
    }

    async fn pump(
        &self,
        mut reader: OwnedReadHalf,
        mut writer: OwnedWriteHalf,
        way: Way,
        number: ConnectionNumber,
    ) -> std::io::Result<()> {
        let rules = &self.shared.rules;
        let mut buffer = vec![0; PIECE];
        loop {
            let read = reader.read(&mut buffer).await;
            rules.go_on(&way, number).await;
            tokio::time::sleep(rules.delay()).await;
            let length = read?;
            if length == 0 {
                return writer.shutdown().await;
            }
            writer.write_all(&buffer[..length]).await?;
        }
    }
}
