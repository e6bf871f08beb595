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
/// Reads and writes fail with [`io::ErrorKind::ConnectionReset`] after a reset by the peer, and with
/// [`io::ErrorKind::TimedOut`] when sent bytes stay unacknowledged for too long. Dropping the stream
/// closes the connection.
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
        self.connection.with_socket(|socket, _| socket.abort());
    }

    /// Makes the caller stop sending and receiving, without closing the connection.
    pub fn silence(&self) {
        self.connection.silence();
    }

    /// Waits for the end of the handshake. Returns false when it was refused or timed out.
    pub(crate) async fn established(&self) -> bool {
        poll_fn(|cx| {
            self.connection
                .with_socket(|socket, _| match socket.state() {
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
        self.connection.with_socket(|socket, reset| {
            if !socket.can_recv() && socket.may_recv() {
                socket.register_recv_waker(cx.waker());
                return Poll::Pending;
            }
            match socket.recv_slice(buf.initialize_unfilled()) {
                Ok(len) => {
                    buf.advance(len);
                    Poll::Ready(Ok(()))
                }
                Err(_) if reset => Poll::Ready(Err(reset_or_timeout(reset))),
                Err(RecvError::Finished) => Poll::Ready(Ok(())),
                Err(RecvError::InvalidState) => Poll::Ready(Err(reset_or_timeout(reset))),
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
            .with_socket(|socket, reset| match socket.send_slice(buf) {
                Ok(0) if !buf.is_empty() => {
                    socket.register_send_waker(cx.waker());
                    Poll::Pending
                }
                Ok(len) => Poll::Ready(Ok(len)),
                Err(_) => Poll::Ready(Err(write_error(socket, reset))),
            })
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.with_socket(|socket, _| socket.close());
        Poll::Ready(Ok(()))
    }
}

fn reset_or_timeout(reset: bool) -> io::Error {
    let kind = if reset {
        io::ErrorKind::ConnectionReset
    } else {
        io::ErrorKind::TimedOut
    };
    kind.into()
}

fn write_error(socket: &Socket<'_>, reset: bool) -> io::Error {
    match socket.state() {
        State::Closed => reset_or_timeout(reset),
        _ => io::ErrorKind::BrokenPipe.into(),
    }
}
