//! Records the results of a run at the callers and at the backend servers.

use std::collections::BTreeSet;
use std::time::Duration;

use buckthornweir_requests::{Action, Counters};

use super::server::Summary;

/// Length of the windows in which imbalance is measured.
const WINDOW: Duration = Duration::from_secs(60);
/// Time at the start that is excluded from the results.
pub(crate) const WARM_UP: Duration = Duration::from_secs(20);

#[derive(Clone, Copy, Debug)]
struct Entry {
    arrived: Duration,
    answered: Option<Duration>,
    ran: bool,
}

#[derive(Debug)]
pub(crate) struct Recorder {
    entries: Vec<Entry>,
    /// Number of requests run, by window and backend server.
    windows: Vec<Vec<u64>>,
    pub(crate) servers: Vec<Summary>,
    pub(crate) counters: Vec<Counters>,
    /// Times at which attempts started that are not copies.
    pub(crate) starts: Vec<Duration>,
    /// Times at which slots were granted for copies.
    pub(crate) grants: Vec<Duration>,
    /// Number of copies that responded first.
    pub(crate) wins: u64,
    /// Number of slots in use at the end.
    pub(crate) busy: u32,
    lost: BTreeSet<u64>,
    length: Duration,
}

impl Recorder {
    pub(crate) fn new(servers: usize, length: Duration) -> Self {
        let count = length.as_secs().div_ceil(WINDOW.as_secs()) + 1;
        Self {
            entries: Vec::new(),
            windows: vec![vec![0; servers]; count as usize],
            servers: Vec::new(),
            counters: Vec::new(),
            starts: Vec::new(),
            grants: Vec::new(),
            wins: 0,
            busy: 0,
            lost: BTreeSet::new(),
            length,
        }
    }

    pub(crate) fn record_arrival(&mut self, now: Duration) -> u64 {
        self.entries.push(Entry {
            arrived: now,
            answered: None,
            ran: false,
        });
        self.entries.len() as u64 - 1
    }

    pub(crate) fn record_start(&mut self, now: Duration) {
        self.starts.push(now);
    }

    /// Records a slot for a copy if it is granted by these actions.
    pub(crate) fn record_grant(&mut self, now: Duration, actions: &[Action]) {
        if matches!(actions.last(), Some(Action::Grant { .. })) {
            self.grants.push(now);
        }
    }

    /// Records that a request was lost together with its agent.
    pub(crate) fn record_loss(&mut self, number: u64) {
        self.lost.insert(number);
    }

    /// Returns the number of requests without a response, except for those of an agent that died.
    pub(crate) fn unanswered(&self) -> usize {
        let open = self.entries.iter().zip(0..);
        open.filter(|(e, number)| e.answered.is_none() && !self.lost.contains(number))
            .count()
    }

    pub(crate) fn record_win(&mut self) {
        self.wins += 1;
    }

    pub(crate) fn arrival_of(&self, number: u64) -> Duration {
        self.entries[number as usize].arrived
    }

    pub(crate) fn record_response(&mut self, number: u64, now: Duration, ran: bool) {
        let entry = &mut self.entries[number as usize];
        assert!(
            entry.answered.is_none(),
            "request {number} got two responses"
        );
        entry.answered = Some(now);
        entry.ran = ran;
    }

    pub(crate) fn record_run(&mut self, server: usize, now: Duration) {
        if now < WARM_UP {
            return;
        }
        let now = now - WARM_UP;
        let window = (now.as_secs() / WINDOW.as_secs()) as usize;
        self.windows[window][server] += 1;
    }

    /// Returns the ratio of maximum to mean load in the window with the most requests.
    pub(crate) fn busiest_imbalance(&self) -> f64 {
        let busiest = self.windows.iter().max_by_key(|w| w.iter().sum::<u64>());
        busiest.map_or(0.0, |window| {
            let peak = window.iter().copied().max().unwrap_or(0) as f64;
            peak * window.len() as f64 / window.iter().sum::<u64>() as f64
        })
    }

    fn counted(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|e| e.arrived >= WARM_UP)
    }

    /// Returns the requests per second that ran.
    pub(crate) fn goodput(&self) -> f64 {
        let ran = self.counted().filter(|e| e.ran).count();
        ran as f64 / (self.length - WARM_UP).as_secs_f64()
    }

    /// Returns the share of the requests that were refused or lost.
    pub(crate) fn refused_share(&self) -> f64 {
        let refused = self
            .counted()
            .filter(|e| e.answered.is_some() && !e.ran)
            .count();
        refused as f64 / self.counted().count() as f64
    }

    /// Returns a percentile of the time to the final response, over the requests that ran or over
    /// those that did not.
    pub(crate) fn latency(&self, ran: bool, percentile: f64) -> Duration {
        let wanted = self.counted().filter(|e| e.ran == ran);
        let mut times: Vec<_> = wanted
            .filter_map(|e| Some(e.answered? - e.arrived))
            .collect();
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        let index = (last as f64 * percentile / 100.0).round() as usize;
        times.get(index).copied().unwrap_or_default()
    }

    /// Returns the share of the requests that were handed over.
    pub(crate) fn handed_share(&self) -> f64 {
        let handed: u64 = self.counters.iter().map(|c| c.handed).sum();
        handed as f64 / self.entries.len() as f64
    }
}
