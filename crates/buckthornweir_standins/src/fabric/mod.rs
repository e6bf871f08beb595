//! A fabric that sprays its callers' packets over all balancers.

mod config;
mod connection;
mod delivery;
mod packet;
mod shards;
mod stack;
mod stream;
mod uplink;

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use quick_error::quick_error;
use tokio_util::sync::{CancellationToken, DropGuard};

use connection::Connection;
use shards::Shards;
use uplink::Uplink;

pub use config::FabricConfig;
pub use stream::CallerStream;
pub use uplink::FabricCounters;

/// Number of caller addresses 10.200.x.y, each of which is used once before any is used again.
const CALLER_ADDRESSES: u64 = 250 * 250;
const FIRST_PORT: u64 = 10_000;
const PORTS: u64 = 50_000;

/// The result of calls on the fabric.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// The reason why the fabric or a connection on it failed.
    #[derive(Debug)]
    pub enum Error {
        /// The fabric's socket failed.
        Socket(err: io::Error) {
            from()
            source(err)
            display("fabric socket: {err}")
        }
        /// The peer answered the SYN with a reset.
        Refused(service: SocketAddr) {
            display("{service} refused the connection")
        }
        /// The connection was not established within the timeout.
        TimedOut(service: SocketAddr) {
            display("no connection to {service} within the time limit")
        }
        /// All caller addresses are in use.
        NoAddress {
            display("all caller addresses are in use")
        }
        /// The caller's TCP stack could not be set up.
        Stack {
            display("the caller's TCP stack could not be set up")
        }
    }
}

/// A simulated fabric on a UDP socket, with callers behind it.
///
/// Clones share the socket. The fabric stops when the last clone is dropped.
#[derive(Clone)]
pub struct Fabric {
    inner: Arc<Inner>,
    _guard: Arc<DropGuard>,
}

struct Inner {
    config: FabricConfig,
    addr: SocketAddr,
    uplink: Arc<Uplink>,
    shards: Arc<Shards>,
    next_caller: AtomicU64,
    token: CancellationToken,
}

impl Fabric {
    /// Binds the fabric's socket and starts to deliver packets to callers.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket can't be bound.
    pub async fn start(config: FabricConfig) -> Result<Self> {
        let socket = UdpSocket::bind(config.bind)?;
        let addr = socket.local_addr()?;
        let uplink = Arc::new(Uplink::new(socket.try_clone()?, &config));
        let shards = Arc::new(Shards::default());
        let token = CancellationToken::new();
        delivery::start(socket, &shards, &uplink, &token)?;
        let guard = Arc::new(token.clone().drop_guard());
        let next_caller = AtomicU64::new(0);
        let inner = Inner {
            config,
            addr,
            uplink,
            shards,
            next_caller,
            token,
        };
        Ok(Self {
            inner: Arc::new(inner),
            _guard: guard,
        })
    }

    /// Returns the address of the fabric's socket.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.inner.addr
    }

    /// Replaces the balancers that packets are sprayed over.
    pub fn set_balancers(&self, balancers: Vec<SocketAddr>) {
        self.inner.uplink.set_balancers(balancers);
    }

    /// Replaces the share of packets that are dropped in each direction.
    pub fn set_loss(&self, loss: f64) {
        self.inner.uplink.set_loss(loss);
    }

    /// Returns the packet counters.
    #[must_use]
    pub fn counters(&self) -> FabricCounters {
        self.inner.uplink.counters()
    }

    /// Returns the number of connections that haven't been removed yet.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.inner.shards.len()
    }

    /// Returns the address and port of the caller that the next call of [`Fabric::connect`] with
    /// this service connects.
    #[must_use]
    pub fn next_caller(&self, service: SocketAddr) -> SocketAddr {
        let number = self.inner.next_caller.load(Ordering::Relaxed);
        caller_address(number, service.is_ipv6())
    }

    /// Connects a new caller to a service.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is refused, when it isn't established within the
    /// timeout, or when no caller address is free.
    pub async fn connect(&self, service: SocketAddr) -> Result<CallerStream> {
        let inner = &self.inner;
        let number = inner.next_caller.fetch_add(1, Ordering::Relaxed);
        let local = caller_address(number, service.is_ipv6());
        let connection = Connection::open(local, service, number, &inner.config, &inner.uplink)?;
        if !inner.shards.insert(local, connection.clone()) {
            return Err(Error::NoAddress);
        }
        let drive = connection::drive(connection.clone(), local, inner.shards.clone());
        tokio::spawn(inner.token.clone().run_until_cancelled_owned(drive));
        let stream = CallerStream::new(connection, local, service);
        let established = stream.established();
        match tokio::time::timeout(inner.config.connect_timeout, established).await {
            Ok(true) => Ok(stream),
            Ok(false) => Err(Error::Refused(service)),
            Err(_) => {
                stream.abort();
                Err(Error::TimedOut(service))
            }
        }
    }
}

/// Returns the address and port of the caller with this number.
fn caller_address(number: u64, is_ipv6: bool) -> SocketAddr {
    let host = number % CALLER_ADDRESSES;
    let port = (FIRST_PORT + (number / CALLER_ADDRESSES + host * 7) % PORTS) as u16;
    let (high, low) = ((host / 250) as u8, (host % 250) as u8 + 1);
    let ip = if is_ipv6 {
        IpAddr::V6(Ipv6Addr::new(
            0xfd00,
            0xc8,
            0,
            0,
            0,
            0,
            high.into(),
            low.into(),
        ))
    } else {
        IpAddr::V4(Ipv4Addr::new(10, 200, high, low))
    };
    SocketAddr::new(ip, port)
}
