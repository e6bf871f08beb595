//! Events and figures over time.

use std::time::Duration;

use buckthornweir_standins::Outcome;
use serde::Serialize;
use smol_str::SmolStr;

use super::RunData;
use super::service::Latency;
use crate::callers::FlowEnd;
use crate::scenario::Action;

/// An event or crash during a run.
#[derive(Clone, Debug, Serialize)]
pub struct EventMark {
    /// When the event began, in seconds from the start of the load.
    pub at: f64,
    /// When the event was done, for example when the bundle was accepted or the process restarted.
    pub done: f64,
    /// The bundle version that the event pushed.
    pub version: Option<u64>,
    /// Seconds from the push until every running process had that version.
    pub everywhere: Option<f64>,
    /// A description of the event, such as `kill balancer-2`.
    pub what: SmolStr,
    /// The error message if the event failed.
    pub failed: Option<String>,
    /// The action, or `None` for a crash.
    #[serde(skip)]
    pub action: Option<Action>,
}

/// The figures of a service's callers in one window.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WindowFigures {
    /// The start of the window, in seconds from the start of the load.
    pub at: f64,
    /// Requests that were due in the window.
    pub sent: usize,
    /// The part of these requests with a complete response.
    pub answered: usize,
    /// The part that was refused.
    pub refused: usize,
    /// The part with an unknown outcome or without a complete response.
    pub failed: usize,
    /// Flows that broke in the window.
    pub broken: usize,
    /// The latency of the complete responses.
    pub latency: Latency,
}

/// Returns the figures of each window of a service.
pub(crate) fn windows(run_data: &RunData<'_>, service: &str) -> Vec<WindowFigures> {
    let count = window_count(run_data);
    let mut windows = vec![WindowFigures::default(); count];
    let mut latencies = vec![Vec::new(); count];
    for (index, window) in windows.iter_mut().enumerate() {
        window.at = index as f64 * run_data.scenario.window.as_secs_f64();
    }
    for request in run_data
        .requests
        .iter()
        .filter(|request| request.record.service == service)
    {
        let Some(index) = window_of(run_data, request.due) else {
            continue;
        };
        windows[index].count(&request.record.outcome);
        if request.is_answered() {
            latencies[index].push(request.latency());
        }
    }
    let broken = |flow: &&_| is_broken(flow, service);
    for flow in run_data.flows.iter().filter(broken) {
        if let Some(index) = window_of(run_data, flow.ended) {
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

/// Returns the number of windows in the load, including a partial one at its end.
pub(crate) fn window_count(run_data: &RunData<'_>) -> usize {
    let scenario = run_data.scenario;
    (scenario.time.as_secs_f64() / scenario.window.as_secs_f64()).ceil() as usize
}

/// Returns the index of the window that contains a time, or `None` outside the load.
pub(crate) fn window_of(run_data: &RunData<'_>, time: Duration) -> Option<usize> {
    let since = time.checked_sub(run_data.start)?;
    let index = (since.as_secs_f64() / run_data.scenario.window.as_secs_f64()) as usize;
    (index < window_count(run_data)).then_some(index)
}
