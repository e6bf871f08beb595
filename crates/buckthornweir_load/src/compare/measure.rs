//! The measures of a run; of each, less is better.

use std::collections::BTreeMap;

use smol_str::{SmolStr, format_smolstr};

use super::report::{DomainReport, Report, ServiceReport};
use crate::fault::{Fault, Result};
use crate::figures::{BusyWindow, FlowFigures, Outcomes};

/// The start of the names of refusals by kind, which a report may lack when there were none.
const REFUSED: &str = "refused: ";

/// One measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Measure {
    /// The service or failure domain that it is of.
    pub of: SmolStr,
    /// Its name.
    pub name: SmolStr,
    /// Its value, of which less is better.
    pub value: f64,
    /// What it is counted in.
    pub unit: Unit,
}

/// What a measure is counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// How many.
    Count,
    /// A part of a whole, in percent.
    Percent,
    /// A quotient, such as the most over the mean.
    Ratio,
    /// Milliseconds.
    Milliseconds,
    /// Seconds.
    Seconds,
}

/// Collects the measures of one service or failure domain.
struct Measures {
    of: SmolStr,
    list: Vec<Measure>,
}

impl Measure {
    /// Returns the value with its unit.
    pub(crate) fn shown(&self) -> String {
        let value = self.value;
        if value.is_nan() {
            return "none".into();
        }
        if value.is_infinite() {
            return "never".into();
        }
        match self.unit {
            Unit::Count => format!("{value}"),
            Unit::Percent => format!("{value:.2} %"),
            Unit::Ratio => format!("{value:.2}"),
            Unit::Milliseconds => format!("{value:.1} ms"),
            Unit::Seconds => format!("{value:.2} s"),
        }
    }

    fn key(&self) -> (SmolStr, SmolStr) {
        (self.of.clone(), self.name.clone())
    }

    /// Tells whether a report that lacks it says that there were none.
    fn is_kind(&self) -> bool {
        self.name.starts_with(REFUSED)
    }
}

impl Measures {
    fn of(of: SmolStr) -> Self {
        Self {
            of,
            list: Vec::new(),
        }
    }

    fn add(&mut self, name: impl Into<SmolStr>, value: f64, unit: Unit) {
        self.list.push(Measure {
            of: self.of.clone(),
            name: name.into(),
            value,
            unit,
        });
    }

    fn count(&mut self, name: &str, count: usize) {
        self.add(name, count as f64, Unit::Count);
    }

    fn share(&mut self, name: impl Into<SmolStr>, part: usize, whole: usize) {
        let value = 100.0 * part as f64 / whole.max(1) as f64;
        self.add(name, value, Unit::Percent);
    }
}

impl Report {
    /// Returns all measures.
    #[must_use]
    pub fn measures(&self) -> Vec<Measure> {
        let mut list: Vec<_> = self.services.iter().flat_map(service).collect();
        let mut times = BTreeMap::<_, usize>::new();
        for figures in &self.domains {
            let time = times.entry(&figures.domain).or_default();
            *time += 1;
            list.extend(domain(figures, *time));
        }
        list
    }
}

fn service(report: &ServiceReport) -> Vec<Measure> {
    let mut measures = Measures::of(report.service.clone());
    flows(&mut measures, &report.flows);
    outcomes(&mut measures, &report.outcomes);
    for (kind, count) in &report.refusals {
        let name = format_smolstr!("{REFUSED}{kind}");
        measures.share(name, *count, report.outcomes.sent);
    }
    for window in &report.busy {
        let name = format_smolstr!("imbalance, busiest {} s", window.length);
        measures.add(name, imbalance(window), Unit::Ratio);
    }
    let beyond = report.cold.most.saturating_sub(report.cold.bears);
    measures.count("most beyond what a cold one bears", beyond);
    measures.count("fell over", report.cold.fell_over);
    measures.add("p50", report.latency.p50, Unit::Milliseconds);
    measures.add("p99", report.latency.p99, Unit::Milliseconds);
    measures.list
}

/// Returns the imbalance, or no number when no backend server was there throughout the window.
fn imbalance(window: &BusyWindow) -> f64 {
    if window.imbalance.mean > 0.0 {
        window.imbalance.ratio
    } else {
        f64::NAN
    }
}

fn flows(measures: &mut Measures, flows: &FlowFigures) {
    measures.share("broken flows", flows.broken, flows.opened);
    measures.share("abandoned flows", flows.abandoned, flows.opened);
    measures.share("flows not opened", flows.not_opened, flows.opened);
}

fn outcomes(measures: &mut Measures, outcomes: &Outcomes) {
    let sent = outcomes.sent;
    measures.share("not answered", sent.saturating_sub(outcomes.answered), sent);
    measures.share("lost", outcomes.lost, sent);
    measures.share("unknown", outcomes.unknown, sent);
    measures.share("refused", outcomes.refused, sent);
    measures.count("doubled", outcomes.doubled);
    measures.count("crossed", outcomes.crossed);
    measures.count("wrong service", outcomes.wrong_service);
    measures.count("false refusals", outcomes.false_refusals);
    measures.count("unfounded", outcomes.unfounded);
}

fn domain(report: &DomainReport, time: usize) -> Vec<Measure> {
    let mut measures = Measures::of(format_smolstr!("{} out, time {time}", report.domain));
    let unanswered = report.sent.saturating_sub(report.answered);
    measures.share("not answered", unanswered, report.sent);
    measures.count("broken flows", report.broken);
    measures.count("broken after back", report.broken_return);
    let last = report.last_run.unwrap_or_default();
    measures.add("last request after out", last, Unit::Seconds);
    let first = report.first_run.unwrap_or(f64::INFINITY);
    measures.add("first request after back", first, Unit::Seconds);
    measures.list
}

/// Returns both lists in the same order, with refusals of a kind that one lacks as none.
pub(crate) fn pair(
    before: Vec<Measure>,
    after: &[Measure],
) -> Result<(Vec<Measure>, Vec<Measure>)> {
    let mut later: BTreeMap<_, _> = after.iter().map(|found| (found.key(), found)).collect();
    let mut pairs = Vec::new();
    for measure in before {
        let found = later.remove(&measure.key()).cloned();
        let found = found.map_or_else(|| none(&measure), Ok)?;
        pairs.push((measure, found));
    }
    for measure in later.into_values() {
        pairs.push((none(measure)?, measure.clone()));
    }
    Ok(pairs.into_iter().unzip())
}

fn none(measure: &Measure) -> Result<Measure> {
    if !measure.is_kind() {
        return Err(Fault::Apart(format!(
            "only one has `{}` of {}",
            measure.name, measure.of
        )));
    }
    Ok(Measure {
        value: 0.0,
        ..measure.clone()
    })
}
