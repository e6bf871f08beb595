//! The connections of a backend server, which can be made silent.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use slab::Slab;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::endpoints::Endpoints;

type SilentFlag = Arc<AtomicBool>;

/// The open connections of one backend server.
pub(crate) struct Connections {
    limit: usize,
    open: Mutex<Slab<SilentFlag>>,
    refused: AtomicU64,
}

impl Connections {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            open: Mutex::default(),
            refused: AtomicU64::new(0),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.open.lock().len()
    }

    pub(crate) fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Makes all currently open connections permanently silent.
    pub(crate) fn silence(&self) {
        for (_, silent) in self.open.lock().iter() {
            silent.store(true, Ordering::Relaxed);
        }
    }

    /// Accepts a connection, unless the limit is reached.
    fn admit(self: &Arc<Self>, stream: TcpStream) -> Option<Connection> {
        let mut open = self.open.lock();
        if open.len() >= self.limit {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        let silent = SilentFlag::default();
        let index = open.insert(silent.clone());
        Some(Connection {
            stream,
            silent,
            index,
            connections: self.clone(),
        })
    }
}

/// One connection. When it is silent, it doesn't read or write, and registers no waker.
struct Connection {
    stream: TcpStream,
    silent: SilentFlag,
    index: usize,
    connections: Arc<Connections>,
}

impl Connection {
    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.open.lock().remove(self.index);
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Accepts connections and serves each in its own task.
pub(crate) async fn accept(
    listener: TcpListener,
    connections: Arc<Connections>,
    endpoints: Arc<Endpoints>,
    token: CancellationToken,
) -> Infallible {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        if let Some(connection) = connections.admit(stream) {
            let serve = serve(connection, endpoints.clone());
            tokio::spawn(token.clone().run_until_cancelled_owned(serve));
        }
    }
}

async fn serve(connection: Connection, endpoints: Arc<Endpoints>) {
    let service = service_fn(move |request| endpoints.clone().handle(request));
    let served = http1::Builder::new().serve_connection(TokioIo::new(connection), service);
    // Errors of a connection are ignored: the request log records how its requests ended.
    drop(served.await);
}
