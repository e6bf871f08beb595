//! The settings of a backend server.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

const DEFAULT_SLOTS: usize = 5;
const DEFAULT_CONNECTIONS: usize = 2000;
const DEFAULT_LAG: Duration = Duration::from_millis(200);

/// Settings of a [`Backend`](crate::Backend).
///
/// ```
/// # use std::time::Duration;
/// # use buckthornweir_standins::BackendConfig;
/// let config = BackendConfig::new("127.0.0.1:0".parse().unwrap(), "o1", "orders")
///     .with_work(Duration::from_millis(20))
///     .with_cold_start(Duration::from_secs(10), 1);
/// ```
#[derive(Clone, Debug)]
pub struct BackendConfig {
    pub(crate) bind: SocketAddr,
    pub(crate) name: SmolStr,
    pub(crate) service: SmolStr,
    pub(crate) slots: usize,
    pub(crate) connections: usize,
    pub(crate) work: Duration,
    pub(crate) cold_time: Duration,
    pub(crate) cold_slots: usize,
    pub(crate) lag: Duration,
}

impl BackendConfig {
    /// Returns the settings of a warm backend server with 5 slots, 2,000 connections and work
    /// that takes no time.
    #[must_use]
    pub fn new(bind: SocketAddr, name: impl Into<SmolStr>, service: impl Into<SmolStr>) -> Self {
        Self {
            bind,
            name: name.into(),
            service: service.into(),
            slots: DEFAULT_SLOTS,
            connections: DEFAULT_CONNECTIONS,
            work: Duration::ZERO,
            cold_time: Duration::ZERO,
            cold_slots: DEFAULT_SLOTS,
            lag: DEFAULT_LAG,
        }
    }

    /// Sets the maximum number of concurrent requests.
    #[must_use]
    pub fn with_slots(mut self, slots: usize) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the maximum number of open connections.
    #[must_use]
    pub fn with_connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the time that the work on one request takes.
    #[must_use]
    pub fn with_work(mut self, work: Duration) -> Self {
        self.work = work;
        self
    }

    /// Sets how long the backend server is cold after its start, and the maximum number of
    /// concurrent requests while it is cold. A request over this limit fails with 500 and restarts
    /// the cold time.
    #[must_use]
    pub fn with_cold_start(mut self, time: Duration, slots: usize) -> Self {
        self.cold_time = time;
        self.cold_slots = slots;
        self
    }

    /// Sets the maximum age of the state that the health and load endpoints report.
    #[must_use]
    pub fn with_lag(mut self, lag: Duration) -> Self {
        self.lag = lag.max(Duration::from_millis(1));
        self
    }
}
