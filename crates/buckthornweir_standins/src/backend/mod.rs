//! A backend server with slots, a cold start, injectable faults and a request log.

mod answer;
mod config;
mod connection;
mod endpoints;
mod fault;
mod request_log;
mod slots;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};

use connection::Connections;
use endpoints::Endpoints;

pub use answer::AnswerBody;
pub use config::BackendConfig;
pub use endpoints::{LoadReport, headers};
pub use fault::Fault;
pub use request_log::{BackendRecord, End};

/// The result of calls on a backend server.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// The reason why a backend server could not be started.
    #[derive(Debug)]
    pub enum Error {
        /// The address could not be bound.
        Bind(addr: SocketAddr, err: io::Error) {
            source(err)
            display("{addr}: {err}")
        }
    }
}

/// A running backend server, which stops when it is dropped.
pub struct Backend {
    addr: SocketAddr,
    name: SmolStr,
    service: SmolStr,
    endpoints: Arc<Endpoints>,
    connections: Arc<Connections>,
    _guard: DropGuard,
}

impl Backend {
    /// Binds the address and starts the server.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub async fn start(config: BackendConfig) -> Result<Self> {
        let bind = config.bind;
        let error = |err| Error::Bind(bind, err);
        let listener = TcpListener::bind(bind).await.map_err(error)?;
        let addr = listener.local_addr().map_err(error)?;
        let token = CancellationToken::new();
        let connections = Arc::new(Connections::new(config.connections));
        let (name, service, lag) = (config.name.clone(), config.service.clone(), config.lag);
        let endpoints = Arc::new(Endpoints::new(config));
        tokio::spawn(token.clone().run_until_cancelled_owned(connection::accept(
            listener,
            connections.clone(),
            endpoints.clone(),
            token.clone(),
        )));
        let refresh = refresh_reports(endpoints.clone(), lag);
        tokio::spawn(token.clone().run_until_cancelled_owned(refresh));
        Ok(Self {
            addr,
            name,
            service,
            endpoints,
            connections,
            _guard: token.drop_guard(),
        })
    }

    /// Returns the address that the backend server is bound to.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the backend server's name.
    #[must_use]
    pub fn name(&self) -> &SmolStr {
        &self.name
    }

    /// Returns the service that the backend server belongs to.
    #[must_use]
    pub fn service(&self) -> &SmolStr {
        &self.service
    }

    /// Returns a copy of the request log: one record per request, in order of arrival.
    #[must_use]
    pub fn records(&self) -> Vec<BackendRecord> {
        self.endpoints.request_log().records()
    }

    /// Returns the largest number of concurrent requests, including one that got no slot.
    #[must_use]
    pub fn max_concurrent(&self) -> usize {
        self.endpoints.slots().max_concurrent()
    }

    /// Returns the largest number of concurrent requests while the server was cold, including one
    /// that got no slot.
    #[must_use]
    pub fn max_cold(&self) -> usize {
        self.endpoints.slots().max_cold()
    }

    /// Returns the number of requests that are running.
    #[must_use]
    pub fn running(&self) -> usize {
        self.endpoints.slots().running()
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of connections that were refused because the limit was reached.
    #[must_use]
    pub fn refused_connections(&self) -> u64 {
        self.connections.refused()
    }

    /// Sets the current fault, which replaces the previous one.
    pub fn set_fault(&self, fault: Fault) {
        match fault {
            Fault::TurnCold => self.endpoints.slots().turn_cold(crate::uptime()),
            Fault::Silent => self.connections.silence(),
            _ => {}
        }
        self.endpoints.set_fault(fault);
    }
}

/// Refreshes the state that the health and load endpoints report, once per `lag`.
async fn refresh_reports(endpoints: Arc<Endpoints>, lag: Duration) {
    let mut ticks = tokio::time::interval(lag);
    loop {
        ticks.tick().await;
        endpoints.refresh_report();
    }
}
