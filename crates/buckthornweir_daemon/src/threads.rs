//! Starts threads and binds UDP sockets.

use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::Duration;

use crate::fault::{DaemonError, Result};

/// How long a thread waits for a datagram before it checks for cancellation.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Starts a thread named `name`.
///
/// # Errors
///
/// Returns [`DaemonError::Thread`] when the thread cannot be started.
pub(crate) fn spawn(name: &'static str, work: impl FnOnce() + Send + 'static) -> Result<()> {
    let builder = thread::Builder::new().name(name.into());
    match builder.spawn(work) {
        Ok(_) => Ok(()),
        Err(source) => Err(DaemonError::Thread { name, source }),
    }
}

/// Binds a UDP socket; `what` names it in the error.
///
/// # Errors
///
/// Returns [`DaemonError::Bind`] when the address cannot be bound.
pub(crate) fn bind_udp(what: &'static str, address: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(address).map_err(|source| DaemonError::Bind {
        what,
        address,
        source,
    })
}
