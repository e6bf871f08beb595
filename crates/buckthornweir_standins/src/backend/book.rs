//! The books of a backend server: its own record of what it ran.

use std::time::Duration;

use parking_lot::Mutex;
use smol_str::SmolStr;

/// How a request ended at the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The work is still going on.
    Running,
    /// The work was done and the answer handed to the connection.
    Done,
    /// Refused without any work.
    Refused,
    /// Failed with 500 because more came than a cold backend server bears.
    FellOver,
    /// Failed with 500 for another reason.
    Failed,
    /// The connection was closed during the work, which was stopped.
    Cancelled,
    /// The deadline passed during the work, which was stopped.
    Expired,
    /// The work was done, and the connection cut before the whole answer was out.
    Cut,
}

impl End {
    /// Tells whether any work was done on the request.
    #[must_use]
    pub fn ran(self) -> bool {
        self != Self::Refused
    }
}

/// One request in the books of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BookEntry {
    /// The header `x-request-id`, or empty.
    pub request_id: SmolStr,
    /// The header `idempotency-key`.
    pub idempotency_key: Option<SmolStr>,
    /// The request's method.
    pub method: SmolStr,
    /// The request's path and query.
    pub path: SmolStr,
    /// When the request arrived, since the stand-ins were first used in this process.
    pub started: Duration,
    /// When it ended, on the same clock.
    pub ended: Option<Duration>,
    /// How it ended.
    pub end: End,
    /// How many requests ran when it arrived, itself included.
    pub concurrent: usize,
    /// Whether the backend server was cold when it arrived.
    pub cold: bool,
}

/// The entries of one backend server.
#[derive(Default)]
pub(crate) struct Book {
    entries: Mutex<Vec<BookEntry>>,
}

impl Book {
    pub(crate) fn entries(&self) -> Vec<BookEntry> {
        self.entries.lock().clone()
    }

    /// Adds an entry and returns its index.
    pub(crate) fn add(&self, entry: BookEntry) -> usize {
        let mut entries = self.entries.lock();
        entries.push(entry);
        entries.len() - 1
    }

    /// Sets how the entry ended, unless that is known already.
    pub(crate) fn end(&self, index: usize, end: End, now: Duration) {
        let entry = &mut self.entries.lock()[index];
        if entry.end == End::Running {
            entry.end = end;
            entry.ended = Some(now);
        }
    }
}
