//! A fault-injecting proxy between processes on loopback, which can cut, delay and silence traffic.
//!
//! Every process announces addresses of the proxy and binds others, so all traffic between processes
//! passes through the proxy. A cut applies to one direction between two processes: the sender of a
//! datagram is known by its source address, and that of a connection by the process that dialed it.
//! Datagrams are forwarded from the sender's announced address.

mod connections;
mod datagrams;
mod dialer;
mod rules;

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;
use smol_str::SmolStr;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::plan::{Endpoint, PlannedNode};
use datagrams::ProxySockets;
use dialer::Processes;
use rules::Rules;

/// The name of a process.
pub type ProcessName = SmolStr;

/// The result of calls on the proxy.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// The reason why a process could not be added to the proxy.
    #[derive(Debug)]
    pub enum Error {
        /// An address could not be bound.
        Bind(address: SocketAddr, err: io::Error) {
            source(err)
            display("{address}: {err}")
        }
    }
}

/// A proxy between processes, which stops when the last clone is dropped.
#[derive(Clone)]
pub struct Proxy {
    shared: Arc<Shared>,
    token: CancellationToken,
    _guard: Arc<DropGuard>,
}

/// The state that the tasks of a proxy share.
#[derive(Default)]
struct Shared {
    rules: Rules,
    sockets: ProxySockets,
    processes: Processes,
}

impl Default for Proxy {
    fn default() -> Self {
        Self::new()
    }
}

impl Proxy {
    /// Returns a proxy that forwards all traffic.
    #[must_use]
    pub fn new() -> Self {
        let token = CancellationToken::new();
        Self {
            shared: Arc::default(),
            _guard: Arc::new(token.clone().drop_guard()),
            token,
        }
    }

    /// Starts to forward the traffic that other processes send to `node`, which must announce other
    /// addresses than it binds. A Tokio runtime must be running.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Bind`] when an announced address can't be bound.
    pub fn add(&self, node: &PlannedNode) -> Result<()> {
        let name = ProcessName::from(&node.name);
        self.add_datagrams(&name, node.gossip)?;
        self.add_datagrams(&name, node.packets)?;
        self.add_connections(&name, node.links)
    }

    /// Sets the process id of a node, by which the proxy identifies the connections that it dials.
    pub fn set_process(&self, name: &str, id: u32) {
        self.shared.processes.set(name.into(), id);
    }

    /// Cuts the directions from every process of `from` to every process of `to`. Datagrams are
    /// dropped, bytes of open connections are held back, and new connections aren't established.
    pub fn cut_one_way(&self, from: &[&str], to: &[&str]) {
        self.shared.rules.cut(from, to);
    }

    /// Cuts both directions between the processes of `one` and those of `other`.
    pub fn cut(&self, one: &[&str], other: &[&str]) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    /// Ends all cuts. Bytes that were held back are forwarded.
    pub fn heal(&self) {
        self.shared.rules.heal();
    }

    /// Makes the open connections between the processes of `one` and those of `other` permanently
    /// silent in both directions, without closing them. New connections work.
    pub fn silence(&self, one: &[&str], other: &[&str]) {
        self.shared.rules.silence(one, other);
    }

    /// Delays every datagram, and every chunk of a connection's bytes, by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.rules.set_delay(delay);
    }

    /// Returns how often a cut dropped a datagram, or a cut or silence held back a connection.
    ///
    /// Tests use it to check that a fault took effect.
    #[must_use]
    pub fn hits(&self) -> u64 {
        self.shared.rules.hits()
    }

    fn add_datagrams(&self, name: &ProcessName, addresses: Endpoint) -> Result<()> {
        let error = |err| Error::Bind(addresses.announced, err);
        let socket = UdpSocket::bind(addresses.announced).map_err(error)?;
        socket.set_nonblocking(true).map_err(error)?;
        let socket = tokio::net::UdpSocket::from_std(socket).map_err(error)?;
        let proxy_socket = self.shared.sockets.add(name, addresses.bind, socket);
        let work = datagrams::run(self.shared.clone(), proxy_socket);
        tokio::spawn(self.token.clone().run_until_cancelled_owned(work));
        Ok(())
    }

    fn add_connections(&self, name: &ProcessName, addresses: Endpoint) -> Result<()> {
        let error = |err| Error::Bind(addresses.announced, err);
        let listener = std::net::TcpListener::bind(addresses.announced).map_err(error)?;
        listener.set_nonblocking(true).map_err(error)?;
        let listener = tokio::net::TcpListener::from_std(listener).map_err(error)?;
        let proxy = connections::ConnectionProxy {
            shared: self.shared.clone(),
            owner: name.clone(),
            target: addresses.bind,
            token: self.token.clone(),
        };
        let work = proxy.run(listener);
        tokio::spawn(self.token.clone().run_until_cancelled_owned(work));
        Ok(())
    }
}

impl std::fmt::Debug for Proxy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Wire").finish_non_exhaustive()
    }
}
