//! The requests that went wrong, one by one, for whoever looks for the cause.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use buckthornweir_standins::Outcome;
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use super::Evidence;
use crate::callers::{RequestRecord, Trace};

/// Requests that are listed at most, apart from those with an answer that is not their own.
const LIMIT: usize = 500;

/// A request without a whole answer, with the answer of another, or one that ran more than once.
#[derive(Clone, Debug, Serialize)]
pub struct Trouble {
    /// The service.
    pub service: SmolStr,
    /// The request's id.
    pub request: SmolStr,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When it was due, in seconds from the start of the load.
    pub due: f64,
    /// When its caller had the outcome.
    pub ended: f64,
    /// What the caller got.
    pub outcome: SmolStr,
    /// The caller's address and port on the flow that the request went over.
    pub caller: Option<SocketAddr>,
    /// Which request of that flow it was, from 1.
    pub position: u32,
    /// How often the caller sent it.
    pub sends: u32,
    /// The backend server that the answer names.
    pub backend: Option<SmolStr>,
    /// The request that the answer belongs to, when it is not the caller's own.
    pub crossing: Option<Crossing>,
    /// Where it ran.
    pub runs: Vec<Run>,
}

/// The request whose answer came to another.
#[derive(Clone, Debug, Serialize)]
pub struct Crossing {
    /// The service that the answer names.
    pub service: SmolStr,
    /// The request id that the answer names.
    pub request: SmolStr,
    /// When that request was due; nothing when no caller sent one with that id.
    pub due: Option<f64>,
    /// When its own caller had the outcome.
    pub ended: Option<f64>,
    /// What its own caller got.
    pub outcome: Option<SmolStr>,
    /// The address and port of its own caller.
    pub caller: Option<SocketAddr>,
    /// Which request of its own flow it was, from 1.
    pub position: Option<u32>,
    /// Where it ran.
    pub runs: Vec<Run>,
}

/// One run of a request at a backend server.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// The backend server.
    pub backend: SmolStr,
    /// The backend server's service.
    pub service: SmolStr,
    /// When it began, in seconds from the start of the load.
    pub at: f64,
    /// When it ended.
    pub ended: Option<f64>,
    /// How it ended.
    pub end: SmolStr,
}

/// The books of both ends, by request id.
struct Index<'a> {
    requests: HashMap<&'a SmolStr, &'a RequestRecord>,
    runs: HashMap<&'a SmolStr, Vec<Run>>,
    start: Duration,
}

/// Lists the requests that went wrong, in the order in which they ended.
pub(crate) fn all(evidence: &Evidence<'_>) -> Vec<Trouble> {
    let index = Index::of(evidence);
    let mut troubles = Vec::new();
    let mut listed = 0;
    for request in evidence.requests {
        let trouble = index.trouble(request);
        if trouble.crossing.is_some() {
            troubles.push(trouble);
        } else if listed < LIMIT && is_trouble(request, &trouble.runs) {
            listed += 1;
            troubles.push(trouble);
        }
    }
    troubles
}

fn is_trouble(request: &RequestRecord, runs: &[Run]) -> bool {
    let service = &request.record.service;
    if runs.iter().any(|run| run.service != *service) {
        return true;
    }
    match request.record.outcome {
        Outcome::Answered { .. } => runs.len() != 1,
        Outcome::NotRun => !runs.is_empty(),
        _ => true,
    }
}

impl<'a> Index<'a> {
    fn of(evidence: &Evidence<'a>) -> Self {
        let requests = evidence.requests.iter();
        Self {
            requests: requests
                .map(|request| (&request.record.request_id, request))
                .collect(),
            runs: runs(evidence),
            start: evidence.start,
        }
    }

    fn since(&self, time: Duration) -> f64 {
        time.as_secs_f64() - self.start.as_secs_f64()
    }

    fn runs(&self, id: &SmolStr) -> Vec<Run> {
        self.runs.get(id).cloned().unwrap_or_default()
    }

    fn trouble(&self, request: &RequestRecord) -> Trouble {
        let record = &request.record;
        let Trace {
            caller,
            position,
            sends,
            backend,
        } = request.trace.clone();
        Trouble {
            service: record.service.clone(),
            request: record.request_id.clone(),
            repeatable: record.traits.repeatable,
            due: self.since(request.due),
            ended: self.since(request.ended),
            outcome: format_smolstr!("{:?}", record.outcome),
            caller,
            position,
            sends,
            backend,
            crossing: self.crossing(request),
            runs: self.runs(&record.request_id),
        }
    }

    /// Returns the request that the answer belongs to, unless it is the caller's own.
    fn crossing(&self, request: &RequestRecord) -> Option<Crossing> {
        let record = &request.record;
        let Outcome::Answered {
            service,
            request_id,
        } = &record.outcome
        else {
            return None;
        };
        if *service == record.service && *request_id == record.request_id {
            return None;
        }
        let owner = self.requests.get(request_id);
        Some(Crossing {
            service: service.clone(),
            request: request_id.clone(),
            due: owner.map(|owner| self.since(owner.due)),
            ended: owner.map(|owner| self.since(owner.ended)),
            outcome: owner.map(|owner| format_smolstr!("{:?}", owner.record.outcome)),
            caller: owner.and_then(|owner| owner.trace.caller),
            position: owner.map(|owner| owner.trace.position),
            runs: self.runs(request_id),
        })
    }
}

/// Returns the runs of each request.
fn runs<'a>(evidence: &Evidence<'a>) -> HashMap<&'a SmolStr, Vec<Run>> {
    let since = |time: Duration| time.as_secs_f64() - evidence.start.as_secs_f64();
    let mut runs: HashMap<_, Vec<_>> = HashMap::new();
    for backend in evidence.backends {
        for entry in backend.books.entries.iter().filter(|entry| entry.end.ran()) {
            runs.entry(&entry.request_id).or_default().push(Run {
                backend: backend.books.backend.clone(),
                service: backend.books.service.clone(),
                at: since(entry.started),
                ended: entry.ended.map(since),
                end: format_smolstr!("{:?}", entry.end),
            });
        }
    }
    runs
}
