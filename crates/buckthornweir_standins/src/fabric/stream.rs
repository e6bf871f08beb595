//! A caller's connection as a byte stream.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use smoltcp::socket::tcp::{RecvError, Socket, State};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::connection::Connection;

/// A caller's TCP connection to a service, over the fabric.
///
/// A reset by the other end is seen as [`io::ErrorKind::ConnectionReset`], and bytes that stay
/// unacknowledged for too long as [`io::ErrorKind::TimedOut`]. Dropping it closes the connection.
pub struct CallerStream {
    connection: Arc<Connection>,
    local: SocketAddr,
    service: SocketAddr,
}

impl CallerStream {
    pub(crate) fn new(connection: Arc<Connection>, local: SocketAddr, service: SocketAddr) -> Self {
        Self {
            connection,
            local,
            service,
        }
    }

    /// Returns the caller's own address and port.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Returns the address and port of the service.
    #[must_use]
    pub fn service(&self) -> SocketAddr {
        self.service
    }

    /// Resets the connection.
    pub fn abort(&self) {
        self.connection.with(|socket, _| socket.abort());
    }

    /// Makes the caller vanish: it neither sends nor receives any more.
    pub fn silence(&self) {
        self.connection.silence();
    }

    /// Waits for the end of the handshake; returns false when it was refused or given up.
    pub(crate) async fn established(&self) -> bool {
        poll_fn(|cx| {
            self.connection.with(|socket, _| match socket.state() {
                State::SynSent | State::SynReceived => {
                    socket.register_send_waker(cx.waker());
                    Poll::Pending
                }
                State::Closed => Poll::Ready(false),
                _ => Poll::Ready(true),
            })
        })
        .await
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.connection.release();
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.with(|socket, reset| {
            if !socket.can_recv() && socket.may_recv() {
                socket.register_recv_waker(cx.waker());
                return Poll::Pending;
            }
            match socket.recv_slice(buf.initialize_unfilled()) {
                Ok(len) => {
                    buf.advance(len);
                    Poll::Ready(Ok(()))
                }
                Err(_) if reset => Poll::Ready(Err(broken(reset))),
                Err(RecvError::Finished) => Poll::Ready(Ok(())),
                Err(RecvError::InvalidState) => Poll::Ready(Err(broken(reset))),
            }
        })
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.connection
            .with(|socket, reset| match socket.send_slice(buf) {
                Ok(0) if !buf.is_empty() => {
                    socket.register_send_waker(cx.waker());
                    Poll::Pending
                }
                Ok(len) => Poll::Ready(Ok(len)),
                Err(_) => Poll::Ready(Err(closed(socket, reset))),
            })
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.with(|socket, _| socket.close());
        Poll::Ready(Ok(()))
    }
}

fn broken(reset: bool) -> io::Error {
    let kind = if reset {
        io::ErrorKind::ConnectionReset
    } else {
        io::ErrorKind::TimedOut
    };
    kind.into()
}

fn closed(socket: &Socket<'_>, reset: bool) -> io::Error {
    match socket.state() {
        State::Closed => broken(reset),
        _ => io::ErrorKind::BrokenPipe.into(),
    }
}
