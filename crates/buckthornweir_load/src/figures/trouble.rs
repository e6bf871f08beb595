//! The requests that went wrong, one by one, for whoever looks for the cause.

use std::collections::HashMap;

use buckthornweir_standins::Outcome;
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use super::Evidence;
use crate::callers::RequestRecord;

/// Requests that are listed at most.
const LIMIT: usize = 500;

/// A request without a whole answer, or one that ran more than once.
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
    /// Where it ran.
    pub runs: Vec<Run>,
}

/// One run of a request at a backend server.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// The backend server.
    pub backend: SmolStr,
    /// When it began, in seconds from the start of the load.
    pub at: f64,
    /// How it ended.
    pub end: SmolStr,
}

/// Lists the first requests that went wrong, in the order in which they ended.
pub(crate) fn all(evidence: &Evidence<'_>) -> Vec<Trouble> {
    let mut runs = runs(evidence);
    let since = |time: std::time::Duration| time.as_secs_f64() - evidence.start.as_secs_f64();
    let mut troubles = Vec::new();
    for request in evidence.requests {
        let runs = runs.remove(&request.record.request_id).unwrap_or_default();
        if troubles.len() == LIMIT || !is_trouble(request, runs.len()) {
            continue;
        }
        troubles.push(Trouble {
            service: request.record.service.clone(),
            request: request.record.request_id.clone(),
            repeatable: request.record.traits.repeatable,
            due: since(request.due),
            ended: since(request.ended),
            outcome: format_smolstr!("{:?}", request.record.outcome),
            runs,
        });
    }
    troubles
}

fn is_trouble(request: &RequestRecord, runs: usize) -> bool {
    match request.record.outcome {
        Outcome::Answered { .. } => runs != 1,
        Outcome::NotRun => runs > 0,
        _ => true,
    }
}

/// Returns the runs of each request.
fn runs(evidence: &Evidence<'_>) -> HashMap<SmolStr, Vec<Run>> {
    let mut runs: HashMap<_, Vec<_>> = HashMap::new();
    for backend in evidence.backends {
        for entry in backend.books.entries.iter().filter(|entry| entry.end.ran()) {
            runs.entry(entry.request_id.clone()).or_default().push(Run {
                backend: backend.books.backend.clone(),
                at: entry.started.as_secs_f64() - evidence.start.as_secs_f64(),
                end: format_smolstr!("{:?}", entry.end),
            });
        }
    }
    runs
}
