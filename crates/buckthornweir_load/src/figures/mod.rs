//! The figures of a run, computed from the records of callers and backend servers.

mod busy;
mod domain;
mod load;
mod service;
mod timeline;
mod trouble;

use std::time::Duration;

use buckthornweir_standins::{BackendLog, FabricCounters};
use serde::Serialize;
use smol_str::SmolStr;

use crate::callers::{FlowRecord, RequestRecord};
use crate::scenario::Scenario;

pub use busy::BusyWindow;
pub use domain::DomainFigures;
pub use load::{Imbalance, LoadSeries, imbalance};
pub use service::{BackendFigures, ColdFigures, FlowFigures, Latency, Outcomes, ServiceFigures};
pub use timeline::{EventMark, WindowFigures};
pub use trouble::{Crossing, Run, Trouble};

/// The recorded data of a run. All times are on the stand-ins' clock.
pub struct RunData<'a> {
    /// The scenario that ran.
    pub scenario: &'a Scenario,
    /// When the load started.
    pub start: Duration,
    /// The requests of all callers.
    pub requests: &'a [RequestRecord],
    /// The flows of all callers.
    pub flows: &'a [FlowRecord],
    /// The data of the backend servers.
    pub backends: &'a [BackendData],
    /// The events and crashes of the run.
    pub events: &'a [EventMark],
    /// The packet counters of the fabric.
    pub fabric: FabricCounters,
}

/// The recorded data of a backend server.
#[derive(Clone, Debug)]
pub struct BackendData {
    /// The requests that arrived at the backend server.
    pub request_log: BackendLog,
    /// The failure domain of the backend server.
    pub domain: SmolStr,
    /// The maximum number of requests that ran or requested a slot concurrently.
    pub most: usize,
    /// The same maximum while the backend server was cold.
    pub most_cold: usize,
}

/// All figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// The name of the scenario.
    pub scenario: SmolStr,
    /// The seed of the load.
    pub seed: u64,
    /// The duration of the load, in seconds.
    pub seconds: f64,
    /// The length of a window, in seconds.
    pub window: f64,
    /// The figures of each service.
    pub services: Vec<ServiceFigures>,
    /// The figures of each period in which a failure domain was out.
    pub domains: Vec<DomainFigures>,
    /// The events and crashes of the run.
    pub events: Vec<EventMark>,
    /// The requests that failed, got another request's response or ran more than once.
    pub troubles: Vec<Trouble>,
    /// Packets that the fabric sent to balancers, received and dropped.
    pub packets: [u64; 3],
}

/// Computes all figures.
#[must_use]
pub fn figures(run_data: &RunData<'_>) -> Figures {
    let scenario = run_data.scenario;
    let fabric = run_data.fabric;
    Figures {
        scenario: scenario.name.clone(),
        seed: scenario.seed,
        seconds: scenario.time.as_secs_f64(),
        window: scenario.window.as_secs_f64(),
        services: service::service_figures(run_data),
        domains: domain::domain_figures(run_data),
        events: run_data.events.to_vec(),
        troubles: trouble::troubles(run_data),
        packets: [fabric.sent, fabric.received, fabric.dropped],
    }
}
