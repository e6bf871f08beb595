//! The settings of a fabric.

use std::net::SocketAddr;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
const ACK_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of the receive buffer and of the send buffer of a caller's connection.
const BUFFER_BYTES: usize = 4096;

/// Settings of a [`Fabric`](crate::Fabric).
///
/// ```
/// # use buckthornweir_standins::FabricConfig;
/// let config = FabricConfig::new("127.0.0.1:0".parse().unwrap(), 7)
///     .with_balancers(vec!["127.0.0.1:9001".parse().unwrap()])
///     .with_loss(0.01);
/// ```
#[derive(Clone, Debug)]
pub struct FabricConfig {
    pub(crate) bind: SocketAddr,
    pub(crate) seed: u64,
    pub(crate) balancers: Vec<SocketAddr>,
    pub(crate) loss: f64,
    pub(crate) duplicates: f64,
    pub(crate) connect_timeout: Duration,
    pub(crate) ack_timeout: Duration,
    pub(crate) buffer: usize,
}

impl FabricConfig {
    /// Returns the settings of a fabric without faults or balancers.
    #[must_use]
    pub fn new(bind: SocketAddr, seed: u64) -> Self {
        Self {
            bind,
            seed,
            balancers: Vec::new(),
            loss: 0.0,
            duplicates: 0.0,
            connect_timeout: CONNECT_TIMEOUT,
            ack_timeout: ACK_TIMEOUT,
            buffer: BUFFER_BYTES,
        }
    }

    /// Sets the balancers that packets are sprayed over.
    #[must_use]
    pub fn with_balancers(mut self, balancers: Vec<SocketAddr>) -> Self {
        self.balancers = balancers;
        self
    }

    /// Sets the share of packets that are dropped in each direction, from 0 to 1.
    #[must_use]
    pub fn with_loss(mut self, loss: f64) -> Self {
        self.loss = loss.clamp(0.0, 1.0);
        self
    }

    /// Sets the share of packets to balancers that are sent twice, from 0 to 1.
    #[must_use]
    pub fn with_duplicates(mut self, duplicates: f64) -> Self {
        self.duplicates = duplicates.clamp(0.0, 1.0);
        self
    }

    /// Sets the timeout for establishing a connection.
    #[must_use]
    pub fn with_connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets how long sent bytes may stay unacknowledged before a caller's connection times out.
    #[must_use]
    pub fn with_ack_timeout(mut self, timeout: Duration) -> Self {
        self.ack_timeout = timeout;
        self
    }

    /// Sets the size of the receive buffer and of the send buffer of each connection, in bytes.
    #[must_use]
    pub fn with_buffer(mut self, bytes: usize) -> Self {
        self.buffer = bytes;
        self
    }
}
