//! What all callers got.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use buckthornweir_standins::{CallerRecord, Outcome};
use parking_lot::Mutex;
use smol_str::SmolStr;

/// How a request went over its caller's flows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// The caller's address and port on the last flow that it was sent on.
    pub caller: Option<SocketAddr>,
    /// Which request of that flow it was, from 1.
    pub position: u32,
    /// How often the caller sent it: again only when nothing of it went out.
    pub sends: u32,
    /// The backend server that the answer names.
    pub backend: Option<SmolStr>,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// What was sent, and what the caller got.
    pub record: CallerRecord,
    /// Whether it carried an idempotency key.
    pub keyed: bool,
    /// What an answer that is no success gives as its reason.
    pub problem: Option<SmolStr>,
    /// How it went over the caller's flows.
    pub trace: Trace,
    /// When the request was due, on the clock of the stand-ins.
    pub due: Duration,
    /// When the caller had its answer, or gave up.
    pub ended: Duration,
}

impl RequestRecord {
    /// Returns the time from when the request was due to its answer.
    #[must_use]
    pub fn latency(&self) -> Duration {
        self.ended.saturating_sub(self.due)
    }

    /// Tells whether the caller got a whole answer of a backend server.
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
    /// It was established, and broke.
    Broken,
    /// The caller gave up waiting for an answer on it.
    Abandoned,
    /// It was never established.
    NotOpened,
}

/// One flow of a caller.
#[derive(Clone, Debug)]
pub struct FlowRecord {
    /// The service.
    pub service: SmolStr,
    /// When the caller began to open it, on the clock of the stand-ins.
    pub opened: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How it ended.
    pub end: FlowEnd,
}

/// The books of all callers.
#[derive(Default)]
pub struct Ledger {
    requests: Mutex<Vec<RequestRecord>>,
    flows: Mutex<Vec<FlowRecord>>,
    open: AtomicUsize,
    answered: AtomicUsize,
    failed: AtomicUsize,
    broken: AtomicUsize,
}

/// How far the load is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerCounts {
    /// Flows that are open.
    pub open: usize,
    /// Requests with a whole answer.
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

    /// Returns how far the load is.
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
