//! The figures of a run, from the books of callers and of backend servers.

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

/// What a run has left behind. All times are on the clock of the stand-ins.
pub struct Evidence<'a> {
    /// The scenario that ran.
    pub scenario: &'a Scenario,
    /// When the load began.
    pub start: Duration,
    /// The callers' requests.
    pub requests: &'a [RequestRecord],
    /// The callers' flows.
    pub flows: &'a [FlowRecord],
    /// The backend servers with their books.
    pub backends: &'a [BackendEvidence],
    /// What happened.
    pub events: &'a [EventMark],
    /// What the fabric carried.
    pub fabric: FabricCounters,
}

/// What one backend server has left behind.
#[derive(Clone, Debug)]
pub struct BackendEvidence {
    /// Its books.
    pub books: BackendLog,
    /// Its failure domain.
    pub domain: SmolStr,
    /// The most requests that ran or asked for a slot at the same time.
    pub most: usize,
    /// The same while it was cold.
    pub most_cold: usize,
}

/// All figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// The scenario's name.
    pub scenario: SmolStr,
    /// The seed.
    pub seed: u64,
    /// How long the load went on, in seconds.
    pub seconds: f64,
    /// The length of a window, in seconds.
    pub window: f64,
    /// The figures of each service.
    pub services: Vec<ServiceFigures>,
    /// The figures of each time that a failure domain was out.
    pub domains: Vec<DomainFigures>,
    /// What happened.
    pub events: Vec<EventMark>,
    /// Requests that went wrong, one by one.
    pub troubles: Vec<Trouble>,
    /// Packets that the fabric sent to balancers, received, and lost.
    pub packets: [u64; 3],
}

/// Works out all figures.
#[must_use]
pub fn figures(evidence: &Evidence<'_>) -> Figures {
    let scenario = evidence.scenario;
    let fabric = evidence.fabric;
    Figures {
        scenario: scenario.name.clone(),
        seed: scenario.seed,
        seconds: scenario.time.as_secs_f64(),
        window: scenario.window.as_secs_f64(),
        services: service::all(evidence),
        domains: domain::all(evidence),
        events: evidence.events.to_vec(),
        troubles: trouble::all(evidence),
        packets: [fabric.sent, fabric.received, fabric.dropped],
    }
}
