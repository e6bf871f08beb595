//! The measures of a run. For all of them, lower is better.

use std::collections::BTreeMap;

use smol_str::{SmolStr, format_smolstr};

use super::report::{DomainReport, Report, ServiceReport};
use crate::fault::{Fault, Result};
use crate::figures::{BusyWindow, FlowFigures, Outcomes};

/// The name prefix of refusals by reason. A report omits reasons that did not occur.
const REFUSED: &str = "refused: ";

/// A measure of a service or failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct Measure {
    /// The service, or the failure domain and the number of its outage.
    pub subject: SmolStr,
    /// The name of the measure.
    pub name: SmolStr,
    /// The value. Lower is better; NaN if there is none, infinite if the event never happened.
    pub value: f64,
    /// The unit of the value.
    pub unit: Unit,
}

/// The unit of a measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// A plain count.
    Count,
    /// A share in percent.
    Percent,
    /// A ratio, such as the maximum divided by the mean.
    Ratio,
    /// Milliseconds.
    Milliseconds,
    /// Seconds.
    Seconds,
}

/// Collects the measures of one service or failure domain.
struct Measures {
    subject: SmolStr,
    list: Vec<Measure>,
}

impl Measure {
    /// Formats the value with its unit.
    pub(crate) fn format_value(&self) -> String {
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
        (self.subject.clone(), self.name.clone())
    }

    /// Returns `true` if the value is zero in a report that lacks the measure.
    fn defaults_to_zero(&self) -> bool {
        self.name.starts_with(REFUSED)
    }
}

impl Measures {
    fn of(subject: SmolStr) -> Self {
        Self {
            subject,
            list: Vec::new(),
        }
    }

    fn add(&mut self, name: impl Into<SmolStr>, value: f64, unit: Unit) {
        self.list.push(Measure {
            subject: self.subject.clone(),
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

/// Returns the imbalance, or NaN if no backend server was present throughout the window.
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

/// Returns both lists in the same order. Refusal reasons that one of them lacks are added as zero.
///
/// # Errors
///
/// Returns an error if only one list has some other measure.
pub(crate) fn pair(
    before: Vec<Measure>,
    after: &[Measure],
) -> Result<(Vec<Measure>, Vec<Measure>)> {
    let mut unpaired: BTreeMap<_, _> = after
        .iter()
        .map(|counterpart| (counterpart.key(), counterpart))
        .collect();
    let mut pairs = Vec::new();
    for measure in before {
        let counterpart = unpaired.remove(&measure.key()).cloned();
        let counterpart = counterpart.map_or_else(|| zero_measure(&measure), Ok)?;
        pairs.push((measure, counterpart));
    }
    for measure in unpaired.into_values() {
        pairs.push((zero_measure(measure)?, measure.clone()));
    }
    Ok(pairs.into_iter().unzip())
}

fn zero_measure(measure: &Measure) -> Result<Measure> {
    if !measure.defaults_to_zero() {
        return Err(Fault::NotComparable(format!(
            "only one has `{}` of {}",
            measure.name, measure.subject
        )));
    }
    Ok(Measure {
        value: 0.0,
        ..measure.clone()
    })
}
