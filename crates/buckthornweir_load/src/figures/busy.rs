//! The busiest windows of a service, of the lengths that bills and limits go by.

use serde::{Deserialize, Serialize};

use super::Evidence;
use super::load::{Absence, Imbalance, absences, uneven};

/// The lengths of the windows, in seconds: a moment, a burst, and the minute that bills go by.
const LENGTHS: [usize; 3] = [1, 10, 60];

/// The window of one length, starting at a whole second, in which a service ran the most requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BusyWindow {
    /// The length that was looked for, in seconds.
    pub length: usize,
    /// The length that there was: less when the load after the warm-up was shorter.
    pub taken: usize,
    /// Requests that all backend servers of the service ran in it.
    pub ran: usize,
    /// How uneven they were over those that were there throughout.
    pub imbalance: Imbalance,
}

/// Requests that one backend server ran in each second, and when it was away.
struct Seconds {
    ran: Vec<usize>,
    absences: Vec<Absence>,
}

/// Returns the busiest window of each length after the warm-up.
pub(crate) fn all(evidence: &Evidence<'_>, service: &str) -> Vec<BusyWindow> {
    let backends = evidence
        .backends
        .iter()
        .filter(|backend| backend.books.service == service);
    let seconds: Vec<_> = backends
        .map(|backend| Seconds::of(evidence, backend))
        .collect();
    let first = evidence.scenario.warm_up.as_secs_f64().ceil() as usize;
    let count = whole_seconds(evidence);
    let busiest = |length| busiest(&seconds, length, first, count);
    LENGTHS.into_iter().filter_map(busiest).collect()
}

fn whole_seconds(evidence: &Evidence<'_>) -> usize {
    evidence.scenario.time.as_secs() as usize
}

impl Seconds {
    fn of(evidence: &Evidence<'_>, backend: &super::BackendEvidence) -> Self {
        let mut ran = vec![0; whole_seconds(evidence)];
        for entry in backend.books.entries.iter().filter(|entry| entry.end.ran()) {
            let Some(since) = entry.started.checked_sub(evidence.start) else {
                continue;
            };
            if let Some(count) = ran.get_mut(since.as_secs() as usize) {
                *count += 1;
            }
        }
        Self {
            ran,
            absences: absences(evidence, &backend.books.backend, &backend.domain),
        }
    }

    fn ran(&self, from: usize, length: usize) -> usize {
        self.ran[from..from + length].iter().sum()
    }

    fn is_present(&self, from: usize, length: usize) -> bool {
        let (from, to) = (from as f64, (from + length) as f64);
        !self.absences.iter().any(|absence| absence.meets(from, to))
    }
}

/// Returns the first of the busiest windows that begin between two seconds.
fn busiest(seconds: &[Seconds], length: usize, first: usize, count: usize) -> Option<BusyWindow> {
    let taken = length.min(count.checked_sub(first)?);
    if taken == 0 {
        return None;
    }
    let total = |from: &usize| -> usize {
        seconds
            .iter()
            .map(|backend| backend.ran(*from, taken))
            .sum()
    };
    // The last of equals is taken, so this finds the first in time.
    let from = (first..=count - taken).rev().max_by_key(total)?;
    let present: Vec<_> = seconds
        .iter()
        .filter(|backend| backend.is_present(from, taken))
        .map(|backend| backend.ran(from, taken))
        .collect();
    Some(BusyWindow {
        length,
        taken,
        ran: total(&from),
        imbalance: uneven(from as f64, &present),
    })
}
