//! Samples of measured values and their output.

use std::time::Duration;

use crate::simulation::{Process, Simulation, seconds};

/// The interval at which the propagation of a change is checked.
pub(crate) const STEP: Duration = Duration::from_millis(50);

/// A sorted sample of measured values.
pub(crate) struct Sample(Vec<f64>);

impl Sample {
    pub(crate) fn new(values: impl Iterator<Item = f64>) -> Self {
        let mut values: Vec<_> = values.collect();
        values.sort_by(f64::total_cmp);
        Self(values)
    }

    fn mean(&self) -> f64 {
        self.0.iter().sum::<f64>() / self.0.len() as f64
    }

    fn quantile(&self, share: f64) -> f64 {
        let last = self.0.len().saturating_sub(1);
        self.0
            .get((last as f64 * share).ceil() as usize)
            .copied()
            .unwrap_or(f64::NAN)
    }

    pub(crate) fn print(&self, name: &str, target: &str) {
        let (mean, p99, max) = (self.mean(), self.quantile(0.99), self.quantile(1.0));
        println!("  {name:<34} {mean:>9.3} {p99:>9.3} {max:>9.3}   {target:>6}");
    }
}

/// Prints a title and the column headers.
pub(crate) fn print_header(title: &str) {
    println!("{title}");
    println!(
        "  {:<34} {:>9} {:>9} {:>9}   {:>6}",
        "", "mean", "p99", "max", "target"
    );
}

/// Returns the time in seconds until `known` returns true for each process, or infinity after `limit`.
pub(crate) fn propagation_times(
    sim: &mut Simulation,
    limit: Duration,
    known: impl Fn(&Process) -> bool,
) -> Vec<f64> {
    let began = sim.now;
    let mut waiting: Vec<_> = sim.processes.keys().copied().collect();
    let mut times = Vec::new();
    while !waiting.is_empty() && sim.now < began + limit {
        sim.run(STEP);
        let elapsed = (sim.now - began).as_secs_f64();
        let done = waiting.extract_if(.., |at| known(&sim.processes[at]));
        times.extend(done.map(|_| elapsed));
    }
    times.extend(waiting.iter().map(|_| f64::INFINITY));
    sim.run(seconds(2.0));
    times
}

/// Returns the resident memory of this process in bytes.
pub(crate) fn resident_memory() -> f64 {
    const PAGE: f64 = 4_096.0;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(f64::NAN) * PAGE
}
