//! Connections to the backend server. One request at a time runs on each; a connection with an
//! abandoned request is closed, never used again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthornweir_events::Count;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use quick_error::quick_error;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::idle::IdlePool;
use crate::board::Blackboard;

/// How long a connection may take to come up.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// How long an idle connection is kept. Short, because something on the way may lose track of a
/// connection that is silent.
const IDLE_LIMIT: Duration = Duration::from_secs(2);

/// How many idle connections are kept.
const IDLE_CONNECTIONS: usize = 8;

/// The result of working with a backend connection.
pub(crate) type Result<T> = std::result::Result<T, BackendError>;

quick_error! {
    /// A backend connection failed.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "quick_error takes no pub(crate)")]
    pub enum BackendError {
        /// It could not be opened.
        Connect(source: std::io::Error) {
            from()
            display("backend server: {source}")
            source(source)
        }
        /// It did not come up in time.
        TimedOut {
            display("backend server: no connection within {CONNECT_LIMIT:?}")
        }
        /// The exchange on it failed.
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
}

/// One connection that speaks HTTP.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

impl Backend {
    /// Returns no connections to the backend server at `address`.
    pub(crate) fn new(board: Arc<Blackboard>, address: SocketAddr) -> Self {
        Self {
            board,
            address,
            idle: Mutex::new(IdlePool::new(IDLE_CONNECTIONS, IDLE_LIMIT)),
        }
    }

    /// Opens a connection for bytes.
    ///
    /// # Errors
    ///
    /// Returns [`BackendError::Connect`] or [`BackendError::TimedOut`].
    pub(crate) async fn connect(&self) -> Result<TcpStream> {
        self.board.metrics.count(Count::BackendConnections);
        let Ok(connected) = timeout(CONNECT_LIMIT, TcpStream::connect(self.address)).await else {
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
    /// Returns an error when no connection comes up.
    pub(crate) async fn checkout(&self) -> Result<Connection> {
        let idle = self.idle.lock().take(Connection::is_ready);
        match idle {
            Some(connection) => Ok(connection),
            None => self.open().await,
        }
    }

    /// Opens a connection that speaks HTTP.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not come up.
    pub(crate) async fn open(&self) -> Result<Connection> {
        let stream = self.connect().await?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // An error shows at the request that runs on the connection.
            let _ = connection.await;
        });
        Ok(Connection { sender })
    }

    /// Takes back a connection whose answer came whole.
    pub(crate) fn give_back(&self, connection: Connection) {
        let mut idle = self.idle.lock();
        idle.close_stale(Connection::is_ready);
        if !connection.sender.is_closed() {
            idle.keep(connection);
        }
    }

    /// Returns a watch over a request that is sent on one of the connections.
    pub(crate) fn watch(&self) -> AbandonWatch {
        AbandonWatch {
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

    /// Sends a request and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`BackendError::Exchange`].
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        Ok(self.sender.send_request(request).await?)
    }
}

/// Counts a connection that is closed with an abandoned request, when it is dropped before the
/// request has ended.
pub(crate) struct AbandonWatch {
    board: Arc<Blackboard>,
    count: Option<Count>,
}

impl AbandonWatch {
    /// Notes that the answer has begun.
    pub(crate) fn note_answer(&mut self) {
        self.count = Some(Count::BackendAbandonedAnswering);
    }

    /// Notes that the request has ended, well or not.
    pub(crate) fn end(&mut self) {
        self.count = None;
    }
}

impl Drop for AbandonWatch {
    fn drop(&mut self) {
        if let Some(count) = self.count {
            self.board.metrics.count(count);
        }
    }
}
