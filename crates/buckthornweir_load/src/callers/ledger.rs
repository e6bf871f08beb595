//! Records of the callers' requests and flows.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use buckthornweir_standins::{CallerRecord, Outcome};
use parking_lot::Mutex;
use smol_str::SmolStr;

/// How a request was sent over its caller's flows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// The caller's address and port on the last flow that carried the request.
    pub caller: Option<SocketAddr>,
    /// The number of the request on that flow, starting at 1.
    pub position: u32,
    /// The number of attempts. A request is sent again only if no part of it was sent before.
    pub sends: u32,
    /// The backend server named in the response.
    pub backend: Option<SmolStr>,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The request and its outcome.
    pub record: CallerRecord,
    /// Whether the request had an idempotency key.
    pub keyed: bool,
    /// The reason given in an error response.
    pub problem: Option<SmolStr>,
    /// How the request was sent over the caller's flows.
    pub trace: Trace,
    /// When the request was due, on the stand-ins' clock.
    pub due: Duration,
    /// When the caller received the response or gave up.
    pub ended: Duration,
}

impl RequestRecord {
    /// Returns the time from when the request was due until it ended.
    #[must_use]
    pub fn latency(&self) -> Duration {
        self.ended.saturating_sub(self.due)
    }

    /// Returns `true` if the caller received a complete response of a backend server.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        matches!(self.record.outcome, Outcome::Answered { .. })
    }
}

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowEnd {
    /// The caller closed it.
    Finished,
    /// The service closed it between two requests.
    Closed,
    /// The connection broke after it was established.
    Broken,
    /// The caller gave up waiting for a response.
    Abandoned,
    /// The connection could not be established.
    NotOpened,
}

/// One flow of a caller.
#[derive(Clone, Debug)]
pub struct FlowRecord {
    /// The name of the service.
    pub service: SmolStr,
    /// When the caller began to connect, on the stand-ins' clock.
    pub opened: Duration,
    /// When the flow ended.
    pub ended: Duration,
    /// How the flow ended.
    pub end: FlowEnd,
}

/// Collects the requests and flows of all callers.
#[derive(Default)]
pub struct Ledger {
    requests: Mutex<Vec<RequestRecord>>,
    flows: Mutex<Vec<FlowRecord>>,
    open: AtomicUsize,
    answered: AtomicUsize,
    failed: AtomicUsize,
    broken: AtomicUsize,
}

/// Live counts of flows and requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerCounts {
    /// Flows that are open.
    pub open: usize,
    /// Requests with a complete response of a backend server.
    pub answered: usize,
    /// Requests with any other outcome.
    pub failed: usize,
    /// Flows that broke.
    pub broken: usize,
}

impl Ledger {
    /// Adds a request.
    pub fn add_request(&self, request: RequestRecord) {
        let counter = if request.is_answered() {
            &self.answered
        } else {
            &self.failed
        };
        counter.fetch_add(1, Ordering::Relaxed);
        self.requests.lock().push(request);
    }

    /// Adds a flow that has ended.
    pub fn add_flow(&self, flow: FlowRecord) {
        if flow.end == FlowEnd::Broken {
            self.broken.fetch_add(1, Ordering::Relaxed);
        }
        self.flows.lock().push(flow);
    }

    pub(crate) fn count_open(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_close(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the current counts.
    #[must_use]
    pub fn counts(&self) -> LedgerCounts {
        LedgerCounts {
            open: self.open.load(Ordering::Relaxed),
            answered: self.answered.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
            broken: self.broken.load(Ordering::Relaxed),
        }
    }

    /// Returns all requests, in the order in which they ended.
    #[must_use]
    pub fn requests(&self) -> Vec<RequestRecord> {
        self.requests.lock().clone()
    }

    /// Returns all flows, in the order in which they ended.
    #[must_use]
    pub fn flows(&self) -> Vec<FlowRecord> {
        self.flows.lock().clone()
    }
}
