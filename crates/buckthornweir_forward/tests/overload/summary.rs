//! Figures of a simulated load.

use std::time::{Duration, Instant};

use crate::callers::{CLASSES, HIGH, LOW, Outcome, Request, Violations};
use crate::model::{Case, Model};

/// What happened to the requests of a class that arrived in the measured time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) sent: usize,
    pub(crate) in_objective: usize,
    pub(crate) late: usize,
    pub(crate) rejected: usize,
    pub(crate) failed: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct Summary {
    pub(crate) classes: [Counts; 2],
    pub(crate) p50: Duration,
    pub(crate) p99: Duration,
    /// Requests begun at the busiest backend server relative to the mean.
    pub(crate) busiest: f64,
    /// Service time of the requests answered in their objective, relative to the capacity.
    pub(crate) useful: f64,
    /// Share of the started flows that are of the lowest priority.
    pub(crate) low_share: f64,
    pub(crate) violations: Violations,
}

impl Summary {
    /// Returns the share of a class that was answered within its objective.
    pub(crate) fn in_objective(&self, class: usize) -> f64 {
        let counts = self.classes[class];
        counts.in_objective as f64 / counts.sent.max(1) as f64
    }
}

fn is_timely(request: &Request, at: Duration) -> bool {
    at <= request.since + CLASSES[request.class].objective()
}

impl Model {
    pub(crate) fn summary(&self) -> Summary {
        let mut classes = [Counts::default(); 2];
        let mut useful = 0.0;
        let mut latencies = Vec::new();
        for request in &self.callers.requests {
            let Some((at, outcome)) = request.end else {
                continue;
            };
            let timely = is_timely(request, at);
            if outcome == Outcome::Answered && timely && self.is_measured(at) {
                useful += request.work.as_secs_f64();
            }
            if !self.is_measured(request.since) {
                continue;
            }
            let counts = &mut classes[request.class];
            counts.sent += 1;
            match outcome {
                Outcome::Answered if timely => counts.in_objective += 1,
                Outcome::Answered => counts.late += 1,
                Outcome::Rejected => counts.rejected += 1,
                Outcome::Failed => counts.failed += 1,
            }
            if outcome == Outcome::Answered {
                latencies.push(at - request.since);
            }
        }
        latencies.sort_unstable();
        let quantile = |q: f64| {
            let index = (latencies.len() as f64 * q) as usize;
            latencies.get(index).copied().unwrap_or_default()
        };
        let begun: Vec<usize> = self.sites.iter().map(|site| site.server.begun).collect();
        let total: usize = begun.iter().sum();
        let busiest = begun.iter().copied().max().unwrap_or(0) * begun.len();
        let started = self.callers.started;
        Summary {
            classes,
            p50: quantile(0.5),
            p99: quantile(0.99),
            busiest: busiest as f64 / total.max(1) as f64,
            useful: useful / (self.case.capacity() * self.case.measured.as_secs_f64()),
            low_share: started[LOW] as f64 / (started[HIGH] + started[LOW]).max(1) as f64,
            violations: self.callers.violations.clone(),
        }
    }

    /// Runs the simulation and prints its figures.
    pub(crate) fn summarize(&mut self, title: &str) -> Summary {
        let begun = Instant::now();
        self.run();
        let summary = self.summary();
        let Case {
            agents,
            load,
            unequal,
            policy,
            seed,
            ..
        } = self.case;
        println!(
            "{title}: {agents} agents, load {load}, unequal {unequal}, policy {}, seed {seed}: \
             p50 {:?}, p99 {:?}, busiest {:.2}, useful {:.3}, low share {:.3}, shed {}, {:?}, \
             ran for {:.1?}",
            policy.is_some(),
            summary.p50,
            summary.p99,
            summary.busiest,
            summary.useful,
            summary.low_share,
            self.callers.shed,
            summary.violations,
            begun.elapsed(),
        );
        for (counts, name) in summary.classes.iter().zip(["high", "low"]) {
            println!("  {name}: {counts:?}");
        }
        summary
    }

    /// Returns how many requests failed in the whole run.
    pub(crate) fn failed(&self) -> usize {
        let ends = self.callers.requests.iter().filter_map(|r| r.end);
        let failed = ends.filter(|(_, outcome)| *outcome == Outcome::Failed);
        failed.count()
    }
}
