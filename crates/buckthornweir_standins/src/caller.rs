//! A caller that sends HTTP requests over the fabric.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use quick_error::quick_error;
use serde::Deserialize;
use tokio_util::task::AbortOnDropHandle;

use crate::backend::{AnswerBody, headers};
use crate::clock::uptime;
use crate::fabric::{self, Fabric};

/// The result of calls on a caller.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// The reason why a caller got no complete response.
    #[derive(Debug)]
    pub enum Error {
        /// The connection could not be established.
        Connect(err: fabric::Error) {
            from()
            source(err)
            display("connect: {err}")
        }
        /// The connection was closed before anything of the request was sent.
        Unsent(err: hyper::Error) {
            source(err)
            display("connection closed before the request was sent: {err}")
        }
        /// The connection broke before the response's headers had arrived.
        Broken(err: hyper::Error) {
            source(err)
            display("connection broken before the answer: {err}")
        }
        /// The connection broke in the middle of the response.
        Short(status: StatusCode, err: hyper::Error) {
            source(err)
            display("connection broken in the middle of an answer with status {status}: {err}")
        }
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// The response's status.
    pub status: StatusCode,
    /// The response's headers.
    pub headers: HeaderMap,
    /// The response's complete body.
    pub body: Bytes,
}

impl CallerAnswer {
    /// Returns the body of a backend server, or `None` when the body isn't in that format.
    #[must_use]
    pub fn echo(&self) -> Option<AnswerBody> {
        serde_json::from_slice(&self.body).ok()
    }

    /// Returns the title when the body is a problem document.
    #[must_use]
    pub fn problem(&self) -> Option<String> {
        #[derive(Deserialize)]
        struct Problem {
            title: String,
        }
        let problem: Problem = serde_json::from_slice(&self.body).ok()?;
        Some(problem.title)
    }

    /// Returns whether the response states that the request was not run.
    #[must_use]
    pub fn says_not_run(&self) -> bool {
        let header = self.headers.get(headers::NOT_RUN);
        header.is_some_and(|value| value == "yes") || self.has_not_run_problem()
    }

    fn has_not_run_problem(&self) -> bool {
        let kind = self.headers.get(http::header::CONTENT_TYPE);
        let problem = kind.is_some_and(|kind| kind == "application/problem+json");
        problem && String::from_utf8_lossy(&self.body).contains("not run")
    }
}

/// A caller with one connection that sends one request at a time and never retries.
///
/// Dropping it closes the connection, which abandons an in-flight request.
pub struct HttpCaller {
    sender: SendRequest<Full<Bytes>>,
    service: SocketAddr,
    local: SocketAddr,
    end: Arc<Mutex<Option<ConnectionEnd>>>,
    _driver: AbortOnDropHandle<()>,
}

impl HttpCaller {
    /// Connects to a service.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection can't be established.
    pub async fn connect(fabric: &Fabric, service: SocketAddr) -> Result<Self> {
        let stream = fabric.connect(service).await?;
        let local = stream.local_addr();
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(Error::Broken)?;
        let end = Arc::new(Mutex::new(None));
        let ended = end.clone();
        let driver = tokio::spawn(async move {
            let broken = connection.await.is_err();
            record_end(&ended, broken);
        });
        Ok(Self {
            sender,
            service,
            local,
            end,
            _driver: AbortOnDropHandle::new(driver),
        })
    }

    /// Returns the caller's own address and port.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Returns whether the connection has been closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether the connection ended in any other way than by a close between two requests.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        self.end.lock().is_some_and(|end| end.broken)
    }

    /// Returns the [`uptime`] at which the connection ended, or `None` while it is open.
    #[must_use]
    pub fn ended(&self) -> Option<Duration> {
        self.end.lock().map(|end| end.at)
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks before the response is complete.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<CallerAnswer> {
        let result = self.exchange(request).await;
        if matches!(result, Err(Error::Broken(_) | Error::Short(..))) {
            record_end(&self.end, true);
        }
        result
    }

    async fn exchange(&mut self, mut request: Request<Full<Bytes>>) -> Result<CallerAnswer> {
        if let Ok(host) = http::HeaderValue::try_from(self.service.to_string()) {
            request.headers_mut().entry(HOST).or_insert(host);
        }
        self.sender.ready().await.map_err(Error::Unsent)?;
        let response = self
            .sender
            .send_request(request)
            .await
            .map_err(send_error)?;
        let (parts, body) = response.into_parts();
        let truncated = |err| Error::Short(parts.status, err);
        let collected = body.collect().await.map_err(truncated)?;
        Ok(CallerAnswer {
            status: parts.status,
            headers: parts.headers,
            body: collected.to_bytes(),
        })
    }
}

/// When and how a connection ended.
#[derive(Clone, Copy)]
struct ConnectionEnd {
    at: Duration,
    broken: bool,
}

/// Records the end of a connection.
///
/// The connection's driver and its last request may see the end in any order. The first report sets
/// the time, and any of them can mark the connection as broken.
fn record_end(end: &Mutex<Option<ConnectionEnd>>, broken: bool) {
    let mut end = end.lock();
    let first = end.unwrap_or(ConnectionEnd {
        at: uptime(),
        broken,
    });
    *end = Some(ConnectionEnd {
        broken: first.broken || broken,
        ..first
    });
}

fn send_error(err: hyper::Error) -> Error {
    if err.is_canceled() {
        Error::Unsent(err)
    } else {
        Error::Broken(err)
    }
}
