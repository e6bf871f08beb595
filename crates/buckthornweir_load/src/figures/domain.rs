//! Service while a failure domain leaves and returns.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{EventMark, Evidence};
use crate::callers::FlowEnd;
use crate::scenario::Action;

/// How long after its return a failure domain's effects are still counted to it, in seconds.
const AFTERMATH: f64 = 5.0;

/// One time that a failure domain was out.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DomainFigures {
    /// The failure domain.
    pub domain: SmolStr,
    /// When operators took it out, in seconds from the start of the load.
    pub out: f64,
    /// When operators brought it back; the end of the load when they never did.
    pub back: f64,
    /// Seconds from the push that took it out until its backend servers began their last request,
    /// or nothing when none began one.
    pub last_run: Option<f64>,
    /// Seconds from the push that brought it back until its backend servers began a request.
    pub first_run: Option<f64>,
    /// Requests that were due from when it was taken out until a little after its return.
    pub sent: usize,
    /// Those with a whole answer.
    pub answered: usize,
    /// Flows that broke in that time, of all services.
    pub broken: usize,
    /// Flows that broke after its return, of all services.
    pub broken_return: usize,
}

/// Returns the figures of each time that a failure domain was out.
pub(crate) fn all(evidence: &Evidence<'_>) -> Vec<DomainFigures> {
    let mut figures = Vec::new();
    for (index, mark) in evidence.events.iter().enumerate() {
        if let Some(Action::DomainOut(domain)) = &mark.action {
            figures.push(one(evidence, domain, mark, &evidence.events[index..]));
        }
    }
    figures
}

fn one(
    evidence: &Evidence<'_>,
    domain: &SmolStr,
    out: &EventMark,
    later: &[EventMark],
) -> DomainFigures {
    let is_back = |mark: &&EventMark| mark.action == Some(Action::DomainBack(domain.clone()));
    let back = later.iter().find(is_back);
    let end = evidence.scenario.time.as_secs_f64();
    let back_at = back.map_or(end, |mark| mark.at);
    let until = (back_at + AFTERMATH).min(end);
    let seconds = |time: Duration| time.as_secs_f64() - evidence.start.as_secs_f64();
    let during = |time: Duration| (out.at..until).contains(&seconds(time));
    let returning = |time: Duration| (back_at..until).contains(&seconds(time));
    let requests = || {
        evidence
            .requests
            .iter()
            .filter(|request| during(request.due))
    };
    let broken = || {
        evidence
            .flows
            .iter()
            .filter(|flow| flow.end == FlowEnd::Broken)
    };
    let runs = runs(evidence, domain);
    DomainFigures {
        domain: domain.clone(),
        out: out.at,
        back: back_at,
        last_run: runs
            .iter()
            .rfind(|at| (out.at..back_at).contains(*at))
            .map(|at| at - out.at),
        first_run: runs
            .iter()
            .find(|at| back.is_some() && **at >= back_at)
            .map(|at| at - back_at),
        sent: requests().count(),
        answered: requests().filter(|request| request.is_answered()).count(),
        broken: broken().filter(|flow| during(flow.ended)).count(),
        broken_return: broken().filter(|flow| returning(flow.ended)).count(),
    }
}

/// Returns when the backend servers of a failure domain began requests, in order.
fn runs(evidence: &Evidence<'_>, domain: &str) -> Vec<f64> {
    let mut runs = Vec::new();
    for backend in evidence
        .backends
        .iter()
        .filter(|backend| backend.domain == domain)
    {
        let ran = backend.books.entries.iter().filter(|entry| entry.end.ran());
        runs.extend(ran.map(|entry| entry.started.as_secs_f64() - evidence.start.as_secs_f64()));
    }
    runs.sort_by(f64::total_cmp);
    runs
}
