//! Starting threads and taking addresses.

use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::Duration;

use crate::fault::{DaemonError, Result};

/// How long a thread waits for a datagram before it looks whether it is to stop.
pub(crate) const READ_LIMIT: Duration = Duration::from_millis(100);

/// Starts a thread called `name`.
///
/// # Errors
///
/// Returns [`DaemonError::Thread`].
pub(crate) fn spawn(name: &'static str, work: impl FnOnce() + Send + 'static) -> Result<()> {
    let builder = thread::Builder::new().name(name.into());
    match builder.spawn(work) {
        Ok(_) => Ok(()),
        Err(source) => Err(DaemonError::Thread { name, source }),
    }
}

/// Takes a UDP address.
///
/// # Errors
///
/// Returns [`DaemonError::Bind`].
pub(crate) fn bind_udp(what: &'static str, address: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(address).map_err(|source| DaemonError::Bind {
        what,
        address,
        source,
    })
}
