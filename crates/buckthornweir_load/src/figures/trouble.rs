//! Details of each request that failed, got the response to another request, ran at another service or
//! ran an unexpected number of times.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use buckthornweir_standins::Outcome;
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use super::RunData;
use crate::callers::{RequestRecord, Trace};

/// The maximum number of requests listed. Requests with another request's response are always
/// listed and don't count towards it.
const MAX_LISTED: usize = 500;

/// A request that failed, got the response to another request, ran at another service or ran an
/// unexpected number of times.
#[derive(Clone, Debug, Serialize)]
pub struct Trouble {
    /// The name of the service.
    pub service: SmolStr,
    /// The request id.
    pub request: SmolStr,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// When the request was due, in seconds from the start of the load.
    pub due: f64,
    /// When the caller received the response or gave up, in seconds from the start of the load.
    pub ended: f64,
    /// The outcome for the caller.
    pub outcome: SmolStr,
    /// The caller's address and port on the flow that carried the request.
    pub caller: Option<SocketAddr>,
    /// The number of the request on that flow, starting at 1.
    pub position: u32,
    /// The number of attempts.
    pub sends: u32,
    /// The backend server named in the response.
    pub backend: Option<SmolStr>,
    /// The request that the response belongs to, if it is not the caller's own.
    pub crossing: Option<Crossing>,
    /// The runs of the request.
    pub runs: Vec<Run>,
}

/// The request whose response another request's caller received.
#[derive(Clone, Debug, Serialize)]
pub struct Crossing {
    /// The service named in the response.
    pub service: SmolStr,
    /// The request id named in the response.
    pub request: SmolStr,
    /// When this request was due, or `None` if no caller sent a request with this id.
    pub due: Option<f64>,
    /// When its own caller received the response or gave up.
    pub ended: Option<f64>,
    /// The outcome for its own caller.
    pub outcome: Option<SmolStr>,
    /// The address and port of its own caller on the flow that carried it.
    pub caller: Option<SocketAddr>,
    /// The number of the request on its own flow, starting at 1.
    pub position: Option<u32>,
    /// The runs of this request.
    pub runs: Vec<Run>,
}

/// One run of a request at a backend server.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// The name of the backend server.
    pub backend: SmolStr,
    /// The service of the backend server.
    pub service: SmolStr,
    /// When the run began, in seconds from the start of the load.
    pub at: f64,
    /// When the run ended, in seconds from the start of the load.
    pub ended: Option<f64>,
    /// How the run ended.
    pub end: SmolStr,
}

/// The records of callers and backend servers by request id.
struct Index<'a> {
    requests: HashMap<&'a SmolStr, &'a RequestRecord>,
    runs: HashMap<&'a SmolStr, Vec<Run>>,
    start: Duration,
}

/// Returns the requests with problems, in the order in which they ended.
pub(crate) fn troubles(run_data: &RunData<'_>) -> Vec<Trouble> {
    let index = Index::of(run_data);
    let mut troubles = Vec::new();
    let mut listed = 0;
    for request in run_data.requests {
        let trouble = index.trouble(request);
        if trouble.crossing.is_some() {
            troubles.push(trouble);
        } else if listed < MAX_LISTED && is_trouble(request, &trouble.runs) {
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
    fn of(run_data: &RunData<'a>) -> Self {
        let requests = run_data.requests.iter();
        Self {
            requests: requests
                .map(|request| (&request.record.request_id, request))
                .collect(),
            runs: runs(run_data),
            start: run_data.start,
        }
    }

    fn since_start(&self, time: Duration) -> f64 {
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
            due: self.since_start(request.due),
            ended: self.since_start(request.ended),
            outcome: format_smolstr!("{:?}", record.outcome),
            caller,
            position,
            sends,
            backend,
            crossing: self.crossing(request),
            runs: self.runs(&record.request_id),
        }
    }

    /// Returns the request that the response belongs to, unless it is the caller's own.
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
            due: owner.map(|owner| self.since_start(owner.due)),
            ended: owner.map(|owner| self.since_start(owner.ended)),
            outcome: owner.map(|owner| format_smolstr!("{:?}", owner.record.outcome)),
            caller: owner.and_then(|owner| owner.trace.caller),
            position: owner.map(|owner| owner.trace.position),
            runs: self.runs(request_id),
        })
    }
}

/// Returns the runs of all requests by request id.
fn runs<'a>(run_data: &RunData<'a>) -> HashMap<&'a SmolStr, Vec<Run>> {
    let since_start = |time: Duration| time.as_secs_f64() - run_data.start.as_secs_f64();
    let mut runs: HashMap<_, Vec<_>> = HashMap::new();
    for backend in run_data.backends {
        for entry in backend
            .request_log
            .entries
            .iter()
            .filter(|entry| entry.end.ran())
        {
            runs.entry(&entry.request_id).or_default().push(Run {
                backend: backend.request_log.backend.clone(),
                service: backend.request_log.service.clone(),
                at: since_start(entry.started),
                ended: entry.ended.map(since_start),
                end: format_smolstr!("{:?}", entry.end),
            });
        }
    }
    runs
}
