//! A wire between processes on loopback that can be cut, delayed and silenced.
//!
//! Every process announces addresses of the wire and binds others, so whatever processes send one
//! another passes here. A datagram goes on from the sender's announced address, and a connection is
//! known by the process that dialed it, so cuts hold for one way between two processes.

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

use crate::plan::{AddressPair, PlannedNode};
use datagrams::Outlets;
use dialer::Processes;
use rules::Rules;

/// The name of a process.
pub type ProcessName = SmolStr;

/// The result of calls on the wire.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Says why the wire could not be laid.
    #[derive(Debug)]
    pub enum Error {
        /// An address could not be bound.
        Bind(address: SocketAddr, err: io::Error) {
            source(err)
            display("{address}: {err}")
        }
    }
}

/// A wire between processes; it ends when the last clone is dropped.
#[derive(Clone)]
pub struct Proxy {
    shared: Arc<Shared>,
    token: CancellationToken,
    _guard: Arc<DropGuard>,
}

/// What the tasks of a wire share.
#[derive(Default)]
struct Shared {
    rules: Rules,
    outlets: Outlets,
    processes: Processes,
}

impl Default for Proxy {
    fn default() -> Self {
        Self::new()
    }
}

impl Proxy {
    /// Returns a wire that lets everything pass.
    #[must_use]
    pub fn new() -> Self {
        let token = CancellationToken::new();
        Self {
            shared: Arc::default(),
            _guard: Arc::new(token.clone().drop_guard()),
            token,
        }
    }

    /// Takes what other processes send to `node`, which has to announce other addresses than it
    /// binds. A Tokio runtime must be running.
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

    /// Says which process has the name, so that connections that it dials are known.
    pub fn set_process(&self, name: &str, id: u32) {
        self.shared.processes.set(name.into(), id);
    }

    /// Cuts the ways from every process of `from` to every process of `to`. Datagrams are lost;
    /// bytes of open connections wait, and new connections don't come up.
    pub fn cut_one_way(&self, from: &[&str], to: &[&str]) {
        self.shared.rules.cut(from, to);
    }

    /// Cuts both ways between the processes of `one` and those of `other`.
    pub fn cut(&self, one: &[&str], other: &[&str]) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    /// Ends all cuts. Bytes that waited go on.
    pub fn heal(&self) {
        self.shared.rules.heal();
    }

    /// Makes the open connections between the processes of `one` and those of `other` silent for
    /// good, both ways and without an end; new ones work.
    pub fn silence(&self, one: &[&str], other: &[&str]) {
        self.shared.rules.silence(one, other);
    }

    /// Delays every datagram, and every piece of a connection's bytes, by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.rules.set_delay(delay);
    }

    /// Returns how many datagrams and new connections met a cut, and how many connections were
    /// silenced, so that a test can see that its failure came about.
    #[must_use]
    pub fn hits(&self) -> u64 {
        self.shared.rules.hits()
    }

    fn add_datagrams(&self, name: &ProcessName, place: AddressPair) -> Result<()> {
        let error = |err| Error::Bind(place.announced, err);
        let socket = UdpSocket::bind(place.announced).map_err(error)?;
        socket.set_nonblocking(true).map_err(error)?;
        let socket = tokio::net::UdpSocket::from_std(socket).map_err(error)?;
        let outlet = self.shared.outlets.add(name, place.bind, socket);
        let work = datagrams::run(self.shared.clone(), outlet);
        tokio::spawn(self.token.clone().run_until_cancelled_owned(work));
        Ok(())
    }

    fn add_connections(&self, name: &ProcessName, place: AddressPair) -> Result<()> {
        let error = |err| Error::Bind(place.announced, err);
        let listener = std::net::TcpListener::bind(place.announced).map_err(error)?;
        listener.set_nonblocking(true).map_err(error)?;
        let listener = tokio::net::TcpListener::from_std(listener).map_err(error)?;
        let entry = connections::Entry {
            shared: self.shared.clone(),
            owner: name.clone(),
            inner: place.bind,
            token: self.token.clone(),
        };
        let work = entry.run(listener);
        tokio::spawn(self.token.clone().run_until_cancelled_owned(work));
        Ok(())
    }
}

impl std::fmt::Debug for Proxy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Wire").finish_non_exhaustive()
    }
}
