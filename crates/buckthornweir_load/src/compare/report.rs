//! The report of a run, read back from its JSON lines.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::fault::{Fault, Result};
use crate::figures::{BusyWindow, ColdFigures, DomainFigures, FlowFigures, Latency, Outcomes};

/// What a report says of one time that a failure domain was out.
pub(crate) type DomainReport = DomainFigures;

/// The parts of a report that are compared.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The scenario's name.
    pub(crate) scenario: SmolStr,
    /// How long the load went on, in seconds.
    pub(crate) seconds: f64,
    /// The services.
    pub(crate) services: Vec<ServiceReport>,
    /// The times that a failure domain was out.
    pub(crate) domains: Vec<DomainReport>,
}

/// What a report says of one service.
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

/// One line.
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
    /// Returns an error when the file can't be read, or a line is no line of a report.
    pub fn read(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).map_err(|err| Fault::File(path.to_owned(), err))?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Reads a report from `text`; `file` is the name used in faults.
    ///
    /// # Errors
    ///
    /// Returns an error when a line is no line of a report, or the line of the run is missing.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut report = None;
        for (index, line) in text.lines().enumerate() {
            let fault = |err| Fault::Line(file.into(), index + 1, err);
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
