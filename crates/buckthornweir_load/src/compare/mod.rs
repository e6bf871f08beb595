//! Compares the reports of two runs.

mod measure;
mod report;

use std::fmt;

use comfy_table::presets::UTF8_FULL_CONDENSED;
use comfy_table::{CellAlignment, Table};

use crate::fault::{Fault, Result};

pub use measure::Measure;
pub use report::Report;

/// The measures of two runs of the same scenario.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// The measures with their values in both runs.
    pub rows: Vec<Row>,
}

/// One measure in two runs.
#[derive(Clone, Debug)]
pub struct Row {
    /// The measure in the earlier run.
    pub before: Measure,
    /// The same measure in the later run.
    pub after: Measure,
    /// How the measure changed.
    pub verdict: Verdict,
}

/// How a measure changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The change is within the tolerance.
    Same,
    /// Worse by more than the tolerance.
    Worse,
    /// Better by more than the tolerance.
    Better,
}

/// Compares two reports. A measure is worse if it grew by more than `share` of its earlier value.
///
/// # Errors
///
/// Returns an error if the reports are of different scenarios or durations, or have different
/// measures.
pub fn compare(before: &Report, after: &Report, share: f64) -> Result<Comparison> {
    let run = |report: &Report| (report.scenario.clone(), report.seconds.to_bits());
    if run(before) != run(after) {
        return Err(Fault::NotComparable(format!(
            "{} of {} s, and {} of {} s",
            before.scenario, before.seconds, after.scenario, after.seconds
        )));
    }
    let (earlier, later) = measure::pair(before.measures(), &after.measures())?;
    let rows = earlier.into_iter().zip(later);
    Ok(Comparison {
        rows: rows
            .map(|(before, after)| Row::of(before, after, share))
            .collect(),
    })
}

impl Row {
    fn of(before: Measure, after: Measure, share: f64) -> Self {
        let exceeds = |from: f64, to: f64| to > from * (1.0 + share);
        let verdict = if exceeds(before.value, after.value) {
            Verdict::Worse
        } else if exceeds(after.value, before.value) {
            Verdict::Better
        } else {
            Verdict::Same
        };
        Self {
            before,
            after,
            verdict,
        }
    }
}

impl Comparison {
    /// Returns the number of measures that got worse.
    #[must_use]
    pub fn worse(&self) -> usize {
        let worse = |row: &&Row| row.verdict == Verdict::Worse;
        self.rows.iter().filter(worse).count()
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new();
        table
            .load_style(UTF8_FULL_CONDENSED)
            .set_header(["of", "measure", "before", "after", ""]);
        for column in table.column_iter_mut().skip(2).take(2) {
            column.set_cell_alignment(CellAlignment::Right);
        }
        for row in &self.rows {
            table.add_row([
                row.before.subject.to_string(),
                row.before.name.to_string(),
                row.before.format_value(),
                row.after.format_value(),
                row.verdict.to_string(),
            ]);
        }
        write!(f, "{table}\n{} measures got worse", self.worse())
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Same => "",
            Self::Worse => "worse",
            Self::Better => "better",
        })
    }
}
