//! The request log of a backend server.

use std::time::Duration;

use parking_lot::Mutex;
use smol_str::SmolStr;

/// How a request ended at the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The work is still in progress.
    Running,
    /// The work was done and the response was passed to the connection.
    Done,
    /// Refused without any work.
    Refused,
    /// Failed with 500 because it exceeded the concurrency limit of a cold backend server.
    FellOver,
    /// Failed with 500 for another reason.
    Failed,
    /// The connection was closed during the work, which stopped it.
    Cancelled,
    /// The deadline passed during the work, which stopped it.
    Expired,
    /// The work was done, but the connection was cut before the complete response was sent.
    Cut,
}

impl End {
    /// Returns whether any work was done on the request.
    #[must_use]
    pub fn ran(self) -> bool {
        self != Self::Refused
    }
}

/// One request in the log of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendRecord {
    /// The value of the header `x-request-id`, or an empty string.
    pub request_id: SmolStr,
    /// The value of the header `idempotency-key`.
    pub idempotency_key: Option<SmolStr>,
    /// The request's method.
    pub method: SmolStr,
    /// The request's path and query.
    pub path: SmolStr,
    /// The [`uptime`](crate::uptime) at which the request arrived.
    pub started: Duration,
    /// The [`uptime`](crate::uptime) at which the request ended.
    pub ended: Option<Duration>,
    /// How the request ended.
    pub end: End,
    /// The number of running requests on its arrival, including itself.
    pub concurrent: usize,
    /// Whether the backend server was cold on its arrival.
    pub cold: bool,
}

/// The log of one backend server.
#[derive(Default)]
pub(crate) struct RequestLog {
    records: Mutex<Vec<BackendRecord>>,
}

impl RequestLog {
    pub(crate) fn records(&self) -> Vec<BackendRecord> {
        self.records.lock().clone()
    }

    /// Adds a record and returns its index.
    pub(crate) fn add(&self, record: BackendRecord) -> usize {
        let mut records = self.records.lock();
        records.push(record);
        records.len() - 1
    }

    /// Sets how a request ended, unless that has been set before.
    pub(crate) fn end(&self, index: usize, end: End, now: Duration) {
        let record = &mut self.records.lock()[index];
        if record.end == End::Running {
            record.end = end;
            record.ended = Some(now);
        }
    }
}
