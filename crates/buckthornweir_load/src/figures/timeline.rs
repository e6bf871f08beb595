//! Figures over time.

use std::time::Duration;

use buckthornweir_standins::Outcome;
use serde::Serialize;
use smol_str::SmolStr;

use super::Evidence;
use super::service::Latency;
use crate::callers::FlowEnd;
use crate::scenario::Action;

/// Something that happened during a run.
#[derive(Clone, Debug, Serialize)]
pub struct EventMark {
    /// When it began, in seconds from the start of the load.
    pub at: f64,
    /// When it was done, such as a bundle accepted or a process started again.
    pub done: f64,
    /// The version of the bundle that it pushed.
    pub version: Option<u64>,
    /// Seconds from when it began until every running process held that version.
    pub everywhere: Option<f64>,
    /// What happened, as a scenario writes it.
    pub what: SmolStr,
    /// Whether it was taken back: the fault of an event that failed.
    pub failed: Option<String>,
    /// The action, when the scenario asked for it.
    #[serde(skip)]
    pub action: Option<Action>,
}

/// What the callers of a service saw in one window.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WindowFigures {
    /// When the window begins, in seconds from the start of the load.
    pub at: f64,
    /// Requests that were due in it.
    pub sent: usize,
    /// Those with a whole answer.
    pub answered: usize,
    /// Those that were refused.
    pub refused: usize,
    /// Those with an unknown outcome, or none.
    pub failed: usize,
    /// Flows that broke in it.
    pub broken: usize,
    /// The latency of those with a whole answer.
    pub latency: Latency,
}

/// Returns the windows of a service.
pub(crate) fn windows(evidence: &Evidence<'_>, service: &str) -> Vec<WindowFigures> {
    let count = window_count(evidence);
    let mut windows = vec![WindowFigures::default(); count];
    let mut latencies = vec![Vec::new(); count];
    for (index, window) in windows.iter_mut().enumerate() {
        window.at = index as f64 * evidence.scenario.window.as_secs_f64();
    }
    for request in evidence
        .requests
        .iter()
        .filter(|request| request.record.service == service)
    {
        let Some(index) = window_of(evidence, request.due) else {
            continue;
        };
        windows[index].count(&request.record.outcome);
        if request.is_answered() {
            latencies[index].push(request.latency());
        }
    }
    let broken = |flow: &&_| is_broken(flow, service);
    for flow in evidence.flows.iter().filter(broken) {
        if let Some(index) = window_of(evidence, flow.ended) {
            windows[index].broken += 1;
        }
    }
    for (window, latencies) in windows.iter_mut().zip(latencies) {
        window.latency = Latency::of(&latencies);
    }
    windows
}

fn is_broken(flow: &crate::callers::FlowRecord, service: &str) -> bool {
    flow.service == service && flow.end == FlowEnd::Broken
}

impl WindowFigures {
    fn count(&mut self, outcome: &Outcome) {
        self.sent += 1;
        match outcome {
            Outcome::Answered { .. } => self.answered += 1,
            Outcome::NotRun => self.refused += 1,
            _ => self.failed += 1,
        }
    }
}

/// Returns how many windows the load fills.
pub(crate) fn window_count(evidence: &Evidence<'_>) -> usize {
    let scenario = evidence.scenario;
    (scenario.time.as_secs_f64() / scenario.window.as_secs_f64()).ceil() as usize
}

/// Returns the window that a time falls into, if it falls into the load.
pub(crate) fn window_of(evidence: &Evidence<'_>, time: Duration) -> Option<usize> {
    let since = time.checked_sub(evidence.start)?;
    let index = (since.as_secs_f64() / evidence.scenario.window.as_secs_f64()) as usize;
    (index < window_count(evidence)).then_some(index)
}
