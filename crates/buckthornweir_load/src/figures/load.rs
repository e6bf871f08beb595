//! The load of each backend server and its imbalance.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::RunData;
use super::timeline::{window_count, window_of};
use crate::scenario::{Action, agent_name};

/// Requests that a backend server ran in each window.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadSeries {
    /// The name of the backend server.
    pub backend: SmolStr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Requests that began to run in each window.
    pub ran: Vec<usize>,
    /// Whether the backend server, its agent or its failure domain was absent at any time in each
    /// window.
    pub away: Vec<bool>,
}

/// The imbalance of the load in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Imbalance {
    /// The start of the window, in seconds from the start of the load.
    pub at: f64,
    /// Requests that the busiest backend server ran in the window.
    pub most: usize,
    /// The mean over the backend servers that were present throughout the window.
    pub mean: f64,
    /// The maximum divided by the mean; 1 is perfectly balanced.
    pub ratio: f64,
}

/// A period in which a backend server was absent, in seconds from the start of the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Absence {
    /// The start of the period.
    pub(crate) from: f64,
    /// The end of the period; infinite if the backend server did not return.
    pub(crate) to: f64,
}

impl Absence {
    /// Returns `true` if the absence overlaps the period between two times.
    pub(crate) fn overlaps(&self, from: f64, to: f64) -> bool {
        self.from < to && self.to > from
    }
}

/// Returns the load of each backend server of a service.
pub(crate) fn series(run_data: &RunData<'_>, service: &str) -> Vec<LoadSeries> {
    let backends = run_data
        .backends
        .iter()
        .filter(|backend| backend.request_log.service == service);
    let count = window_count(run_data);
    let window = run_data.scenario.window.as_secs_f64();
    let series_of = |backend: &super::BackendData| {
        let mut ran = vec![0; count];
        for entry in backend
            .request_log
            .entries
            .iter()
            .filter(|entry| entry.end.ran())
        {
            if let Some(index) = window_of(run_data, entry.started) {
                ran[index] += 1;
            }
        }
        let absences = absences(run_data, &backend.request_log.backend, &backend.domain);
        let is_away = |index: usize| {
            let (from, to) = (index as f64 * window, (index + 1) as f64 * window);
            absences.iter().any(|absence| absence.overlaps(from, to))
        };
        LoadSeries {
            backend: backend.request_log.backend.clone(),
            domain: backend.domain.clone(),
            away: (0..count).map(is_away).collect(),
            ran,
        }
    };
    backends.map(series_of).collect()
}

/// Returns the periods in which events kept a backend server from taking its share of the load.
pub(crate) fn absences(run_data: &RunData<'_>, backend: &str, domain: &str) -> Vec<Absence> {
    let agent = agent_name(backend);
    let mut absences: Vec<Absence> = Vec::new();
    for mark in run_data.events {
        let Some(action) = &mark.action else {
            continue;
        };
        let affected = [backend, &agent, domain].contains(&action.target());
        match action {
            _ if !affected => {}
            Action::DomainBack(_)
            | Action::Start(_)
            | Action::Thaw(_)
            | Action::Fault(_, buckthornweir_standins::Fault::None) => {
                end_open(&mut absences, mark.done);
            }
            Action::Restart(_) => absences.push(Absence {
                from: mark.at,
                to: mark.done,
            }),
            _ => absences.push(Absence {
                from: mark.at,
                to: f64::INFINITY,
            }),
        }
    }
    absences
}

fn end_open(absences: &mut [Absence], at: f64) {
    for absence in absences
        .iter_mut()
        .filter(|absence| absence.to.is_infinite())
    {
        absence.to = at;
    }
}

/// Returns the imbalance in the window in which the service ran the most requests.
///
/// `window` and `warm_up` are in seconds. Windows that start during the warm-up are excluded.
#[must_use]
pub fn imbalance(series: &[LoadSeries], window: f64, warm_up: f64) -> Imbalance {
    let count = series.first().map_or(0, |series| series.ran.len());
    let first = (warm_up / window).ceil() as usize;
    let total = |index: &usize| {
        series
            .iter()
            .map(|series| series.ran[*index])
            .sum::<usize>()
    };
    let Some(busiest) = (first..count).max_by_key(total) else {
        return Imbalance::default();
    };
    let present: Vec<_> = series
        .iter()
        .filter(|series| !series.away[busiest])
        .collect();
    let ran: Vec<_> = present.iter().map(|series| series.ran[busiest]).collect();
    imbalance_of(busiest as f64 * window, &ran)
}

/// Returns the imbalance of the window at `at` from the number of requests per backend server.
pub(crate) fn imbalance_of(at: f64, ran: &[usize]) -> Imbalance {
    let most = ran.iter().copied().max().unwrap_or(0);
    let mean = ran.iter().sum::<usize>() as f64 / ran.len().max(1) as f64;
    let ratio = if mean > 0.0 { most as f64 / mean } else { 0.0 };
    Imbalance {
        at,
        most,
        mean,
        ratio,
    }
}
