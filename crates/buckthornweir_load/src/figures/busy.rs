//! The busiest windows of a service, of the lengths that billing and rate limits use.

use serde::{Deserialize, Serialize};

use super::RunData;
use super::load::{Absence, Imbalance, absences, imbalance_of};

/// The window lengths in seconds: a single second, a burst, and the minute that billing uses.
const WINDOW_LENGTHS: [usize; 3] = [1, 10, 60];

/// The window, aligned to whole seconds, in which a service ran the most requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BusyWindow {
    /// The nominal length, in seconds.
    pub length: usize,
    /// The actual length, in seconds. Less than the nominal one if the measured load was shorter.
    pub taken: usize,
    /// Requests that the backend servers of the service ran in the window.
    pub ran: usize,
    /// The imbalance among the backend servers that were present throughout the window.
    pub imbalance: Imbalance,
}

/// Requests that a backend server ran in each second, and the times in which it was absent.
struct Seconds {
    ran: Vec<usize>,
    absences: Vec<Absence>,
}

/// Returns the busiest window of each length, excluding the warm-up.
pub(crate) fn busiest_windows(run_data: &RunData<'_>, service: &str) -> Vec<BusyWindow> {
    let backends = run_data
        .backends
        .iter()
        .filter(|backend| backend.request_log.service == service);
    let seconds: Vec<_> = backends
        .map(|backend| Seconds::of(run_data, backend))
        .collect();
    let first = run_data.scenario.warm_up.as_secs_f64().ceil() as usize;
    let count = whole_seconds(run_data);
    let busiest = |length| busiest_window(&seconds, length, first, count);
    WINDOW_LENGTHS.into_iter().filter_map(busiest).collect()
}

fn whole_seconds(run_data: &RunData<'_>) -> usize {
    run_data.scenario.time.as_secs() as usize
}

impl Seconds {
    fn of(run_data: &RunData<'_>, backend: &super::BackendData) -> Self {
        let mut ran = vec![0; whole_seconds(run_data)];
        for entry in backend
            .request_log
            .entries
            .iter()
            .filter(|entry| entry.end.ran())
        {
            let Some(since) = entry.started.checked_sub(run_data.start) else {
                continue;
            };
            if let Some(count) = ran.get_mut(since.as_secs() as usize) {
                *count += 1;
            }
        }
        Self {
            ran,
            absences: absences(run_data, &backend.request_log.backend, &backend.domain),
        }
    }

    fn ran(&self, from: usize, length: usize) -> usize {
        self.ran[from..from + length].iter().sum()
    }

    fn is_present(&self, from: usize, length: usize) -> bool {
        let (from, to) = (from as f64, (from + length) as f64);
        !self
            .absences
            .iter()
            .any(|absence| absence.overlaps(from, to))
    }
}

/// Returns the busiest window between the seconds `first` and `count`, the earliest if tied.
fn busiest_window(
    seconds: &[Seconds],
    length: usize,
    first: usize,
    count: usize,
) -> Option<BusyWindow> {
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
    // `max_by_key` returns the last maximum, so the reversed order yields the earliest window.
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
        imbalance: imbalance_of(from as f64, &present),
    })
}
