//! The figures of each service.

use std::collections::BTreeMap;
use std::time::Duration;

use buckthornweir_standins::{BackendLog, CallerRecord, End, Outcome, tally};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::busy::{self, BusyWindow};
use super::load::{Imbalance, LoadSeries, imbalance, series};
use super::timeline::{WindowFigures, windows};
use super::{BackendData, RunData};
use crate::callers::{FlowEnd, RequestRecord};

/// The precision of the latency histogram, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// The upper bound of the latency histogram. Longer latencies are recorded as this value.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;

/// The reason reported for refusals without a problem document, such as those of a backend server.
const NO_REASON: &str = "none given";

/// All figures of one service.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceFigures {
    /// The name of the service.
    pub service: SmolStr,
    /// The outcomes of the requests.
    pub outcomes: Outcomes,
    /// The number of error responses by reason.
    pub problems: BTreeMap<SmolStr, usize>,
    /// The number of refusals, that is of "not run" responses, by reason.
    pub refusals: BTreeMap<SmolStr, usize>,
    /// The outcomes of the flows.
    pub flows: FlowFigures,
    /// The latency of complete responses, excluding the warm-up.
    pub latency: Latency,
    /// The imbalance in the busiest window.
    pub imbalance: Imbalance,
    /// The busiest window of each length.
    pub busy: Vec<BusyWindow>,
    /// The load on cold backend servers.
    pub cold: ColdFigures,
    /// The figures of each backend server.
    pub backends: Vec<BackendFigures>,
    /// The load on each backend server over time.
    pub load: Vec<LoadSeries>,
    /// The callers' figures over time.
    pub windows: Vec<WindowFigures>,
}

/// The outcomes of requests, computed from the records of callers and backend servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Requests that callers sent or tried to send.
    pub sent: usize,
    /// Complete responses of the right service to the caller's own request.
    pub answered: usize,
    /// Responses that truthfully say that the request was not run.
    pub refused: usize,
    /// Error responses that leave open whether the request ran.
    pub unknown: usize,
    /// Requests without a complete response.
    pub lost: usize,
    /// Truncated responses. They also count as lost.
    pub short: usize,
    /// Requests that must not run more than once but did.
    pub doubled: usize,
    /// The part of the requests counted in `doubled` that had an idempotency key.
    pub doubled_key: usize,
    /// Requests with a safe method that ran more than once.
    pub repeated: usize,
    /// Responses from another service, and runs at another service.
    pub wrong_service: usize,
    /// Responses to another request.
    pub crossed: usize,
    /// Responses that say "not run" although the request ran.
    pub false_refusals: usize,
    /// Success responses that no backend server's records confirm.
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
    /// Counts the outcomes. `keyed` is the part of `records` that had an idempotency key.
    fn of(records: &[CallerRecord], keyed: &[CallerRecord], logs: &[BackendLog]) -> Self {
        let doubled_key = tally(keyed, logs).doubled;
        let tally = tally(records, logs);
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

/// The outcomes of flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowFigures {
    /// Flows that callers opened or tried to open.
    pub opened: usize,
    /// Flows that broke after they were established.
    pub broken: usize,
    /// Flows that the service closed between two requests.
    pub closed: usize,
    /// Flows whose caller gave up waiting for a response.
    pub abandoned: usize,
    /// Flows that could not be established.
    pub not_opened: usize,
}

/// Percentiles of latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The maximum.
    pub max: f64,
}

/// The figures of one backend server.
#[derive(Clone, Debug, Serialize)]
pub struct BackendFigures {
    /// The name of the backend server.
    pub backend: SmolStr,
    /// The failure domain of the backend server.
    pub domain: SmolStr,
    /// Requests that ran.
    pub ran: usize,
    /// Requests that were refused because all slots were busy or the backend server shed load.
    pub refused: usize,
    /// Requests that failed because they exceeded the cold limit.
    pub fell_over: usize,
    /// Requests that were stopped because the connection was closed or the deadline passed.
    pub stopped: usize,
    /// The maximum number of requests that ran or requested a slot concurrently.
    pub most: usize,
    /// The same maximum while the backend server was cold.
    pub most_cold: usize,
}

/// The load on the cold backend servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdFigures {
    /// The number of concurrent requests that a cold backend server can handle.
    pub bears: usize,
    /// The maximum number of concurrent requests at a cold backend server, including those that
    /// exceeded the limit.
    pub most: usize,
    /// Requests that failed because they exceeded the cold limit.
    pub fell_over: usize,
}

impl ColdFigures {
    fn of(run_data: &RunData<'_>, service: &str) -> Self {
        let mut services = run_data.scenario.services.iter();
        let service_config = services.find(|service_config| service_config.name == service);
        let mut figures = Self {
            bears: service_config.map_or(0, |service_config| service_config.cold_slots),
            ..Self::default()
        };
        let backends = run_data.backends.iter();
        for backend in backends.filter(|backend| backend.request_log.service == service) {
            figures.most = figures.most.max(backend.most_cold);
            figures.fell_over += BackendFigures::of(backend).fell_over;
        }
        figures
    }
}

/// Computes the figures of all services.
pub(crate) fn service_figures(run_data: &RunData<'_>) -> Vec<ServiceFigures> {
    let logs: Vec<_> = run_data
        .backends
        .iter()
        .map(|backend| backend.request_log.clone())
        .collect();
    let services = run_data.scenario.services.iter();
    services
        .map(|service| figures_of(run_data, &service.name, &logs))
        .collect()
}

fn figures_of(run_data: &RunData<'_>, service: &SmolStr, logs: &[BackendLog]) -> ServiceFigures {
    let scenario = run_data.scenario;
    let requests = || {
        run_data
            .requests
            .iter()
            .filter(|request| request.record.service == *service)
    };
    let records: Vec<CallerRecord> = requests().map(|request| request.record.clone()).collect();
    let keyed: Vec<CallerRecord> = requests()
        .filter(|request| request.keyed)
        .map(|request| request.record.clone())
        .collect();
    let measured_from = run_data.start + scenario.warm_up;
    let measured =
        requests().filter(|request| request.is_answered() && request.due >= measured_from);
    let latencies: Vec<_> = measured.map(RequestRecord::latency).collect();
    let load = series(run_data, service);
    let (window, warm_up) = (
        scenario.window.as_secs_f64(),
        scenario.warm_up.as_secs_f64(),
    );
    let backends = run_data
        .backends
        .iter()
        .filter(|backend| backend.request_log.service == *service);
    ServiceFigures {
        service: service.clone(),
        outcomes: Outcomes::of(&records, &keyed, logs),
        problems: problems(requests()),
        refusals: refusals(requests()),
        flows: FlowFigures::of(run_data, service),
        latency: Latency::of(&latencies),
        imbalance: imbalance(&load, window, warm_up),
        busy: busy::busiest_windows(run_data, service),
        cold: ColdFigures::of(run_data, service),
        backends: backends.map(BackendFigures::of).collect(),
        load,
        windows: windows(run_data, service),
    }
}

impl FlowFigures {
    fn of(run_data: &RunData<'_>, service: &str) -> Self {
        let mut figures = Self::default();
        for flow in run_data.flows.iter().filter(|flow| flow.service == service) {
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
    /// Returns the percentiles of the latencies, or zeros if there are none.
    #[must_use]
    pub fn of(latencies: &[Duration]) -> Self {
        let Ok(mut histogram) =
            Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        else {
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
    fn of(backend: &BackendData) -> Self {
        let entries = &backend.request_log.entries;
        let count = |ends: &[End]| {
            entries
                .iter()
                .filter(|entry| ends.contains(&entry.end))
                .count()
        };
        Self {
            backend: backend.request_log.backend.clone(),
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
