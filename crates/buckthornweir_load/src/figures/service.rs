//! The figures of one service.

use std::collections::BTreeMap;
use std::time::Duration;

use buckthornweir_standins::{BackendLog, CallerRecord, End, Outcome, tally};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::busy::{self, BusyWindow};
use super::load::{Imbalance, LoadSeries, imbalance, series};
use super::timeline::{WindowFigures, windows};
use super::{BackendEvidence, Evidence};
use crate::callers::{FlowEnd, RequestRecord};

/// Significant decimal digits of a latency.
const DIGITS: u8 = 3;
/// The longest latency that is told apart from longer ones, in microseconds.
const LONGEST: u64 = 3_600_000_000;

/// Stands for the reason of a refusal without a problem document, as a backend server writes it.
const NO_REASON: &str = "none given";

/// All figures of one service.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceFigures {
    /// The service.
    pub service: SmolStr,
    /// What became of its requests.
    pub outcomes: Outcomes,
    /// How often each reason was given for an answer that is no success.
    pub problems: BTreeMap<SmolStr, usize>,
    /// How often each reason was given for an answer that says "not run".
    pub refusals: BTreeMap<SmolStr, usize>,
    /// What became of its flows.
    pub flows: FlowFigures,
    /// The latency of whole answers after the warm-up.
    pub latency: Latency,
    /// How uneven the load was in the busiest window.
    pub imbalance: Imbalance,
    /// The busiest windows of several lengths.
    pub busy: Vec<BusyWindow>,
    /// What came to its backend servers while they were cold.
    pub cold: ColdFigures,
    /// The figures of each backend server.
    pub backends: Vec<BackendFigures>,
    /// The load of each backend server over time.
    pub load: Vec<LoadSeries>,
    /// What the callers saw over time.
    pub windows: Vec<WindowFigures>,
}

/// What became of requests, from the books of both sides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Requests that were due.
    pub sent: usize,
    /// Whole answers of the right service to the caller's own request.
    pub answered: usize,
    /// Refusals that say that the request was not run.
    pub refused: usize,
    /// Honest errors.
    pub unknown: usize,
    /// Requests whose caller got no whole answer at all.
    pub lost: usize,
    /// Answers that broke off; they are among the lost ones.
    pub short: usize,
    /// Requests that may not be repeated, and ran more than once.
    pub doubled: usize,
    /// Those of the doubled ones that carried an idempotency key.
    pub doubled_key: usize,
    /// Requests of a safe method that ran more than once.
    pub repeated: usize,
    /// Answers of, and runs at, another service.
    pub wrong_service: usize,
    /// Answers for another request.
    pub crossed: usize,
    /// Refusals that say "not run" of a request that ran.
    pub false_refusals: usize,
    /// Successes that no backend server has in its books.
    pub unfounded: usize,
}

fn problems<'a>(requests: impl Iterator<Item = &'a RequestRecord>) -> BTreeMap<SmolStr, usize> {
    let mut problems = BTreeMap::new();
    for problem in requests.filter_map(|request| request.problem.clone()) {
        *problems.entry(problem).or_default() += 1;
    }
    problems
}

fn refusals<'a>(requests: impl Iterator<Item = &'a RequestRecord>) -> BTreeMap<SmolStr, usize> {
    let mut refusals = BTreeMap::new();
    for request in requests.filter(|request| request.record.outcome == Outcome::NotRun) {
        let reason = request.problem.clone();
        *refusals
            .entry(reason.unwrap_or_else(|| NO_REASON.into()))
            .or_default() += 1;
    }
    refusals
}

impl Outcomes {
    /// Counts from the books of both ends; `keyed` are those of the records that had a key.
    fn of(records: &[CallerRecord], keyed: &[CallerRecord], books: &[BackendLog]) -> Self {
        let doubled_key = tally(keyed, books).doubled;
        let tally = tally(records, books);
        Self {
            sent: tally.sent,
            answered: tally.answered,
            refused: tally.refused,
            unknown: tally.unknown,
            lost: tally.lost + tally.unsent,
            short: tally.short,
            doubled: tally.doubled,
            doubled_key,
            repeated: tally.repeated,
            wrong_service: tally.wrong_service,
            crossed: tally.crossed,
            false_refusals: tally.false_refusals,
            unfounded: tally.unfounded,
        }
    }
}

/// What became of flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowFigures {
    /// Flows that callers began to open.
    pub opened: usize,
    /// Flows that were established, and broke.
    pub broken: usize,
    /// Flows that the service closed between two requests.
    pub closed: usize,
    /// Flows whose caller gave up waiting for an answer.
    pub abandoned: usize,
    /// Flows that were never established.
    pub not_opened: usize,
}

/// Percentiles of latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// The median.
    pub p50: f64,
    /// Nine in ten are no slower.
    pub p90: f64,
    /// 99 in 100 are no slower.
    pub p99: f64,
    /// 999 in 1,000 are no slower.
    pub p999: f64,
    /// The slowest.
    pub max: f64,
}

/// The figures of one backend server.
#[derive(Clone, Debug, Serialize)]
pub struct BackendFigures {
    /// The backend server.
    pub backend: SmolStr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Requests that it ran.
    pub ran: usize,
    /// Requests that it refused because all slots were busy, or it shed load.
    pub refused: usize,
    /// Requests that were more than it bore when cold.
    pub fell_over: usize,
    /// Requests that it stopped because the connection was closed or the deadline passed.
    pub stopped: usize,
    /// The most requests that ran or asked for a slot at the same time.
    pub most: usize,
    /// The same while it was cold.
    pub most_cold: usize,
}

/// What came to cold backend servers of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdFigures {
    /// Requests that a cold backend server bears at a time.
    pub bears: usize,
    /// The most that came to one at the same time, the one too many included.
    pub most: usize,
    /// Requests that failed because they were more than a cold one bore.
    pub fell_over: usize,
}

impl ColdFigures {
    fn of(evidence: &Evidence<'_>, service: &str) -> Self {
        let mut services = evidence.scenario.services.iter();
        let found = services.find(|found| found.name == service);
        let mut figures = Self {
            bears: found.map_or(0, |found| found.cold_slots),
            ..Self::default()
        };
        let backends = evidence.backends.iter();
        for backend in backends.filter(|backend| backend.books.service == service) {
            figures.most = figures.most.max(backend.most_cold);
            figures.fell_over += BackendFigures::of(backend).fell_over;
        }
        figures
    }
}

/// Works out the figures of all services.
pub(crate) fn all(evidence: &Evidence<'_>) -> Vec<ServiceFigures> {
    let books: Vec<_> = evidence
        .backends
        .iter()
        .map(|backend| backend.books.clone())
        .collect();
    let services = evidence.scenario.services.iter();
    services
        .map(|service| one(evidence, &service.name, &books))
        .collect()
}

fn one(evidence: &Evidence<'_>, service: &SmolStr, books: &[BackendLog]) -> ServiceFigures {
    let scenario = evidence.scenario;
    let requests = || {
        evidence
            .requests
            .iter()
            .filter(|request| request.record.service == *service)
    };
    let records: Vec<CallerRecord> = requests().map(|request| request.record.clone()).collect();
    let keyed: Vec<CallerRecord> = requests()
        .filter(|request| request.keyed)
        .map(|request| request.record.clone())
        .collect();
    let warm = evidence.start + scenario.warm_up;
    let measured = requests().filter(|request| request.is_answered() && request.due >= warm);
    let latencies: Vec<_> = measured.map(RequestRecord::latency).collect();
    let load = series(evidence, service);
    let (window, warm_up) = (
        scenario.window.as_secs_f64(),
        scenario.warm_up.as_secs_f64(),
    );
    let backends = evidence
        .backends
        .iter()
        .filter(|backend| backend.books.service == *service);
    ServiceFigures {
        service: service.clone(),
        outcomes: Outcomes::of(&records, &keyed, books),
        problems: problems(requests()),
        refusals: refusals(requests()),
        flows: FlowFigures::of(evidence, service),
        latency: Latency::of(&latencies),
        imbalance: imbalance(&load, window, warm_up),
        busy: busy::all(evidence, service),
        cold: ColdFigures::of(evidence, service),
        backends: backends.map(BackendFigures::of).collect(),
        load,
        windows: windows(evidence, service),
    }
}

impl FlowFigures {
    fn of(evidence: &Evidence<'_>, service: &str) -> Self {
        let mut figures = Self::default();
        for flow in evidence.flows.iter().filter(|flow| flow.service == service) {
            figures.opened += 1;
            match flow.end {
                FlowEnd::Finished => {}
                FlowEnd::Closed => figures.closed += 1,
                FlowEnd::Broken => figures.broken += 1,
                FlowEnd::Abandoned => figures.abandoned += 1,
                FlowEnd::NotOpened => figures.not_opened += 1,
            }
        }
        figures
    }
}

impl Latency {
    /// Returns the percentiles of these latencies, or zeros when there are none.
    #[must_use]
    pub fn of(latencies: &[Duration]) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LONGEST, DIGITS) else {
            return Self::default();
        };
        for latency in latencies {
            histogram.saturating_record(latency.as_micros() as u64);
        }
        let value = |share| histogram.value_at_quantile(share) as f64 / 1000.0;
        Self {
            p50: value(0.5),
            p90: value(0.9),
            p99: value(0.99),
            p999: value(0.999),
            max: histogram.max() as f64 / 1000.0,
        }
    }
}

impl BackendFigures {
    fn of(backend: &BackendEvidence) -> Self {
        let entries = &backend.books.entries;
        let count = |ends: &[End]| {
            entries
                .iter()
                .filter(|entry| ends.contains(&entry.end))
                .count()
        };
        Self {
            backend: backend.books.backend.clone(),
            domain: backend.domain.clone(),
            ran: entries.iter().filter(|entry| entry.end.ran()).count(),
            refused: count(&[End::Refused]),
            fell_over: count(&[End::FellOver]),
            stopped: count(&[End::Cancelled, End::Expired]),
            most: backend.most,
            most_cold: backend.most_cold,
        }
    }
}
