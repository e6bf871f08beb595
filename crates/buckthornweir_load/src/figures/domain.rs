//! The effect of taking a failure domain out and bringing it back.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{EventMark, RunData};
use crate::callers::FlowEnd;
use crate::scenario::Action;

/// The time after a failure domain's return in which failures are still attributed to it.
const AFTER_RETURN_SECONDS: f64 = 5.0;

/// The figures of one period in which a failure domain was out.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DomainFigures {
    /// The name of the failure domain.
    pub domain: SmolStr,
    /// When operators took the domain out, in seconds from the start of the load.
    pub out: f64,
    /// When operators brought the domain back, or the end of the load if they didn't.
    pub back: f64,
    /// Seconds from when the domain was taken out until its backend servers began their last
    /// request, or `None` if none began one.
    pub last_run: Option<f64>,
    /// Seconds from when the domain was brought back until its backend servers began a request.
    pub first_run: Option<f64>,
    /// Requests that were due while the domain was out or shortly after its return.
    pub sent: usize,
    /// The part of these requests with a complete response.
    pub answered: usize,
    /// Flows of all services that broke in the same time.
    pub broken: usize,
    /// The part of these flows that broke after the domain's return.
    pub broken_return: usize,
}

/// Returns the figures of each period in which a failure domain was out.
pub(crate) fn domain_figures(run_data: &RunData<'_>) -> Vec<DomainFigures> {
    let mut figures = Vec::new();
    for (index, mark) in run_data.events.iter().enumerate() {
        if let Some(Action::DomainOut(domain)) = &mark.action {
            figures.push(figures_of(
                run_data,
                domain,
                mark,
                &run_data.events[index..],
            ));
        }
    }
    figures
}

fn figures_of(
    run_data: &RunData<'_>,
    domain: &SmolStr,
    out: &EventMark,
    later_events: &[EventMark],
) -> DomainFigures {
    let is_back = |mark: &&EventMark| mark.action == Some(Action::DomainBack(domain.clone()));
    let back = later_events.iter().find(is_back);
    let end = run_data.scenario.time.as_secs_f64();
    let back_at = back.map_or(end, |mark| mark.at);
    let until = (back_at + AFTER_RETURN_SECONDS).min(end);
    let since_start = |time: Duration| time.as_secs_f64() - run_data.start.as_secs_f64();
    let during = |time: Duration| (out.at..until).contains(&since_start(time));
    let after_return = |time: Duration| (back_at..until).contains(&since_start(time));
    let requests = || {
        run_data
            .requests
            .iter()
            .filter(|request| during(request.due))
    };
    let broken = || {
        run_data
            .flows
            .iter()
            .filter(|flow| flow.end == FlowEnd::Broken)
    };
    let run_starts = run_starts(run_data, domain);
    DomainFigures {
        domain: domain.clone(),
        out: out.at,
        back: back_at,
        last_run: run_starts
            .iter()
            .rfind(|at| (out.at..back_at).contains(*at))
            .map(|at| at - out.at),
        first_run: run_starts
            .iter()
            .find(|at| back.is_some() && **at >= back_at)
            .map(|at| at - back_at),
        sent: requests().count(),
        answered: requests().filter(|request| request.is_answered()).count(),
        broken: broken().filter(|flow| during(flow.ended)).count(),
        broken_return: broken().filter(|flow| after_return(flow.ended)).count(),
    }
}

/// Returns the sorted times at which the backend servers of a failure domain began requests.
fn run_starts(run_data: &RunData<'_>, domain: &str) -> Vec<f64> {
    let mut run_starts = Vec::new();
    for backend in run_data
        .backends
        .iter()
        .filter(|backend| backend.domain == domain)
    {
        let ran = backend
            .request_log
            .entries
            .iter()
            .filter(|entry| entry.end.ran());
        run_starts
            .extend(ran.map(|entry| entry.started.as_secs_f64() - run_data.start.as_secs_f64()));
    }
    run_starts.sort_by(f64::total_cmp);
    run_starts
}
