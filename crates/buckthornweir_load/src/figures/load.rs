//! Load per backend server, and its imbalance.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::Evidence;
use super::timeline::{window_count, window_of};
use crate::scenario::{Action, agent_name};

/// Requests that one backend server ran, window by window.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadSeries {
    /// The backend server.
    pub backend: SmolStr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Requests that began to run in each window.
    pub ran: Vec<usize>,
    /// The windows in which it, its agent or its failure domain was away for any time.
    pub away: Vec<bool>,
}

/// How uneven the load was in the busiest window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Imbalance {
    /// When the window begins, in seconds from the start of the load.
    pub at: f64,
    /// Requests that the busiest backend server ran in it.
    pub most: usize,
    /// The mean over the backend servers that were there throughout.
    pub mean: f64,
    /// The most over the mean; 1 is even.
    pub ratio: f64,
}

/// A time, in seconds from the start of the load, in which something was away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Absence {
    /// When it left.
    pub(crate) from: f64,
    /// When it was back.
    pub(crate) to: f64,
}

impl Absence {
    /// Tells whether any of it falls between two times.
    pub(crate) fn meets(&self, from: f64, to: f64) -> bool {
        self.from < to && self.to > from
    }
}

/// Returns the load series of a service's backend servers.
pub(crate) fn series(evidence: &Evidence<'_>, service: &str) -> Vec<LoadSeries> {
    let backends = evidence
        .backends
        .iter()
        .filter(|backend| backend.books.service == service);
    let count = window_count(evidence);
    let window = evidence.scenario.window.as_secs_f64();
    let one = |backend: &super::BackendEvidence| {
        let mut ran = vec![0; count];
        for entry in backend.books.entries.iter().filter(|entry| entry.end.ran()) {
            if let Some(index) = window_of(evidence, entry.started) {
                ran[index] += 1;
            }
        }
        let absences = absences(evidence, &backend.books.backend, &backend.domain);
        let is_away = |index: usize| {
            let (from, to) = (index as f64 * window, (index + 1) as f64 * window);
            absences.iter().any(|absence| absence.meets(from, to))
        };
        LoadSeries {
            backend: backend.books.backend.clone(),
            domain: backend.domain.clone(),
            away: (0..count).map(is_away).collect(),
            ran,
        }
    };
    backends.map(one).collect()
}

/// Returns the times in which a backend server could not be expected to carry its share.
pub(crate) fn absences(evidence: &Evidence<'_>, backend: &str, domain: &str) -> Vec<Absence> {
    let agent = agent_name(backend);
    let mut absences: Vec<Absence> = Vec::new();
    for mark in evidence.events {
        let Some(action) = &mark.action else {
            continue;
        };
        let concerned = [backend, &agent, domain].contains(&action.target());
        match action {
            _ if !concerned => {}
            Action::DomainBack(_)
            | Action::Start(_)
            | Action::Thaw(_)
            | Action::Fault(_, buckthornweir_standins::Fault::None) => {
                close(&mut absences, mark.done);
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

fn close(absences: &mut [Absence], at: f64) {
    for absence in absences
        .iter_mut()
        .filter(|absence| absence.to.is_infinite())
    {
        absence.to = at;
    }
}

/// Returns the imbalance in the window in which the service ran the most requests.
///
/// Windows before the end of the warm-up, in seconds, are left out.
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
    uneven(busiest as f64 * window, &ran)
}

/// Returns how uneven these counts are, one for each backend server, in the window at a time.
pub(crate) fn uneven(at: f64, ran: &[usize]) -> Imbalance {
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
