//! Parses the report of a run from its JSON lines.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::fault::{Fault, Result};
use crate::figures::{BusyWindow, ColdFigures, DomainFigures, FlowFigures, Latency, Outcomes};

/// The figures of one period in which a failure domain was out.
pub(crate) type DomainReport = DomainFigures;

/// The parts of a report that are compared.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The name of the scenario.
    pub(crate) scenario: SmolStr,
    /// The duration of the load, in seconds.
    pub(crate) seconds: f64,
    /// The figures of the services.
    pub(crate) services: Vec<ServiceReport>,
    /// The figures of each period in which a failure domain was out.
    pub(crate) domains: Vec<DomainReport>,
}

/// The compared figures of a service.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ServiceReport {
    pub(crate) service: SmolStr,
    pub(crate) outcomes: Outcomes,
    pub(crate) flows: FlowFigures,
    pub(crate) latency: Latency,
    pub(crate) refusals: BTreeMap<SmolStr, usize>,
    pub(crate) busy: Vec<BusyWindow>,
    pub(crate) cold: ColdFigures,
}

/// One line of a report.
#[derive(Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
enum Line {
    Run {
        scenario: SmolStr,
        seconds: f64,
    },
    Service(Box<ServiceReport>),
    Domain(DomainReport),
    #[serde(other)]
    Other,
}

impl Report {
    /// Reads the report in the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, a line is not a line of a report, or the line
    /// of the run is missing.
    pub fn read(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).map_err(|err| Fault::File(path.to_owned(), err))?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses a report from `text`; `file` is the file name in error messages.
    ///
    /// # Errors
    ///
    /// Returns an error if a line is not a line of a report, or the line of the run is missing.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut report = None;
        for (index, line) in text.lines().enumerate() {
            let fault = |err| Fault::InvalidLine(file.into(), index + 1, err);
            report = Some(Self::with(
                report,
                serde_json::from_str(line).map_err(fault)?,
            ));
        }
        let report = report.filter(|report| !report.scenario.is_empty());
        report.ok_or_else(|| Fault::NoRun(file.into()))
    }

    fn with(report: Option<Self>, line: Line) -> Self {
        let mut report = report.unwrap_or_default();
        match line {
            Line::Run { scenario, seconds } => {
                report.scenario = scenario;
                report.seconds = seconds;
            }
            Line::Service(service) => report.services.push(*service),
            Line::Domain(domain) => report.domains.push(domain),
            Line::Other => {}
        }
        report
    }
}
