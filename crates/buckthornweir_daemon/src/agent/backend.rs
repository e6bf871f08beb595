//! Connections to the backend server. Each runs one request at a time. A connection with an
//! abandoned request is closed and never reused.
//!
//! HTTP/1.1 matches responses to requests only by their order, so a response that the backend server
//! sends twice could be taken for that to the next request on the connection. Each request therefore
//! carries an id of its own, and a connection is reused only if the backend server returns it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthornweir_events::{Count, LogRateLimiter};
use bytes::Bytes;
use http::header::HeaderValue;
use http::request::Parts;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use quick_error::quick_error;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::headers::{EXCHANGE_HEADER, REQUEST_ID_HEADER};
use super::idle::IdlePool;
use crate::board::Blackboard;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an idle connection is kept. This is short because a middlebox may drop the state of an
/// idle connection without notice.
const IDLE_TTL: Duration = Duration::from_secs(2);

/// The maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// The maximum number of log lines per second about single requests.
const MAX_REQUEST_LINES: u32 = 20;

/// The result of working with a backend connection.
pub(crate) type Result<T> = std::result::Result<T, BackendError>;

quick_error! {
    /// An error of a backend connection.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "quick_error takes no pub(crate)")]
    pub enum BackendError {
        /// The connection could not be opened.
        Connect(source: std::io::Error) {
            from()
            display("backend server: {source}")
            source(source)
        }
        /// The connection was not established in time.
        TimedOut {
            display("backend server: no connection within {CONNECT_TIMEOUT:?}")
        }
        /// The response belongs to another request.
        OtherResponse {
            display("backend server: response to another request")
        }
        /// The HTTP exchange failed.
        Exchange(source: hyper::Error) {
            from()
            display("backend server: {source}")
            source(source)
        }
    }
}

/// The connections to one backend server.
pub(crate) struct Backend {
    board: Arc<Blackboard>,
    address: SocketAddr,
    idle: Mutex<IdlePool<Connection>>,
    log_budget: Mutex<LogRateLimiter>,
}

/// An HTTP connection.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Whether a response was received on it.
    is_used: bool,
    /// Whether the last response returned the id of its request.
    is_verified: bool,
}

impl Backend {
    /// Returns an empty pool of connections to the backend server at `address`.
    pub(crate) fn new(board: Arc<Blackboard>, address: SocketAddr) -> Self {
        Self {
            board,
            address,
            idle: Mutex::new(IdlePool::new(MAX_IDLE_CONNECTIONS, IDLE_TTL)),
            log_budget: Mutex::new(LogRateLimiter::new(MAX_REQUEST_LINES)),
        }
    }

    /// Opens a TCP connection.
    ///
    /// # Errors
    ///
    /// Returns [`BackendError::Connect`] or [`BackendError::TimedOut`].
    pub(crate) async fn connect(&self) -> Result<TcpStream> {
        self.board.metrics.count(Count::BackendConnections);
        let Ok(connected) = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await else {
            return Err(BackendError::TimedOut);
        };
        let stream = connected?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Returns an idle connection, or a new one.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection can be established.
    pub(crate) async fn check_out(&self) -> Result<Connection> {
        let idle = self.idle.lock().take(Connection::is_ready);
        match idle {
            Some(connection) => Ok(connection),
            None => self.open().await,
        }
    }

    /// Opens an HTTP connection.
    ///
    /// # Errors
    ///
    /// Returns an error when it can't be established.
    pub(crate) async fn open(&self) -> Result<Connection> {
        let stream = self.connect().await?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // Errors are returned to the request that runs on the connection.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            is_used: false,
            is_verified: false,
        })
    }

    /// Returns a connection to the pool after a complete response, or closes it if it must not be
    /// reused.
    pub(crate) fn check_in(&self, connection: Connection) {
        let mut idle = self.idle.lock();
        idle.close_stale(Connection::is_ready);
        if connection.is_verified && !connection.sender.is_closed() {
            idle.put(connection);
        }
    }

    /// Records that the response to this request was that to another one.
    pub(crate) fn note_other_response(&self, request: &Parts) {
        self.board.metrics.count(Count::BackendAbandonedOther);
        if self.may_log() {
            let id = request.headers.get(REQUEST_ID_HEADER);
            tracing::warn!(event = "other_response", request = ?id, method = %request.method);
        }
    }

    /// Returns whether a log line about a single request may be written.
    pub(crate) fn may_log(&self) -> bool {
        self.log_budget.lock().try_acquire(self.board.now())
    }

    /// Returns a guard for a request that is about to be sent.
    pub(crate) fn abandon_guard(&self) -> AbandonGuard {
        AbandonGuard {
            board: self.board.clone(),
            count: Some(Count::BackendAbandonedWaiting),
        }
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&self) {
        self.idle.lock().clear();
    }
}

impl Connection {
    fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request with an id of its own and returns the head of the response.
    ///
    /// A connection whose backend server doesn't return the id carries one request.
    ///
    /// # Errors
    ///
    /// Returns [`BackendError::Exchange`], or [`BackendError::OtherResponse`] if the response belongs to
    /// another request.
    pub(crate) async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        let id = HeaderValue::from(rand::random::<u64>());
        request.headers_mut().insert(EXCHANGE_HEADER, id.clone());
        let mut response = self.sender.send_request(request).await?;
        let returned = response.headers_mut().remove(EXCHANGE_HEADER);
        self.is_verified = returned.as_ref() == Some(&id);
        let may_omit = returned.is_none() && !self.is_used;
        self.is_used = true;
        if !self.is_verified && !may_omit {
            return Err(BackendError::OtherResponse);
        }
        Ok(response)
    }
}

/// Counts a request as abandoned when it is dropped before [`AbandonGuard::disarm`]. The connection
/// of an abandoned request is closed.
pub(crate) struct AbandonGuard {
    board: Arc<Blackboard>,
    count: Option<Count>,
}

impl AbandonGuard {
    /// Records that the response has started.
    pub(crate) fn response_started(&mut self) {
        self.count = Some(Count::BackendAbandonedAnswering);
    }

    /// Records that the request has ended, with or without success.
    pub(crate) fn disarm(&mut self) {
        self.count = None;
    }
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if let Some(count) = self.count {
            self.board.metrics.count(count);
        }
    }
}
