//! The load generator: runs scenarios against real processes and reports the measurements.
//!
//! A scenario in INI format defines the services, their backend servers, the load and a list of
//! timed events. A run starts the daemons as separate processes on loopback, and the stand-ins of
//! the fabric, the callers and the backend servers in its own process. Its figures are computed
//! from the records of the callers and of the backend servers.
//!
//! ```
//! use buckthornweir_load::Scenario;
//!
//! let text = "
//! [scenario]
//! name = small
//! time = 10s
//! region = fj-west
//! domains = fj-west-a, fj-west-b
//! [service orders]
//! address = 10.100.0.1:80
//! backends = 2
//! flows = 10
//! rate = 20
//! [event 1]
//! at = 5s
//! do = kill
//! to = balancer-2
//! ";
//! let scenario = Scenario::parse("small.ini", text)?;
//! assert_eq!(scenario.events[0].action.to_string(), "kill balancer-2");
//! # Ok::<(), buckthornweir_load::Fault>(())
//! ```

mod callers;
mod compare;
mod deployment;
mod fault;
mod figures;
mod options;
mod output;
mod run;
mod scenario;

pub use callers::{
    FlowEnd, FlowRecord, Ledger, LedgerCounts, RequestRecord, RequestSpec, Trace, generate_request,
};
pub use compare::{Comparison, Measure, Report, Row, Verdict, compare};
pub use deployment::{Deployment, PlacedBackend, Programs};
pub use fault::{Fault, Result};
pub use figures::{
    BackendData, BackendFigures, BusyWindow, ColdFigures, Crossing, DomainFigures, EventMark,
    Figures, FlowFigures, Imbalance, Latency, LoadSeries, Outcomes, Run, RunData, ServiceFigures,
    Trouble, WindowFigures, figures, imbalance,
};
pub use options::{CompareOptions, LoadOptions};
pub use output::{Line, Plot, draw, page, tables, write_lines};
pub use run::{Progress, run};
pub use scenario::{Action, Event, Load, Name, Placed, Scenario, Service, Share};

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{Fault, Figures, Programs, Scenario, run};
}
