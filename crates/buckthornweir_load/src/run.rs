//! Runs a scenario: starts the processes, applies load and events, and collects the figures.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use buckthornweir_standins::uptime;
use smol_str::{SmolStr, format_smolstr};

use crate::callers::{self, Ledger, LedgerCounts};
use crate::deployment::{Deployment, Programs};
use crate::fault::Result;
use crate::figures::{BackendData, EventMark, Figures, RunData, figures};
use crate::scenario::{Action, Event, Scenario};

const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// The progress of a run.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Time since the start of the load.
    pub elapsed: Duration,
    /// Counts of the callers' flows and requests so far.
    pub counts: LedgerCounts,
    /// A description of the latest event.
    pub last: SmolStr,
}

/// Runs a scenario and returns its figures. `report` is called regularly with the progress.
///
/// # Errors
///
/// Returns an error if the processes can't be started or a service doesn't answer. Failures under
/// load are not errors; the figures contain them.
pub async fn run(
    scenario: &Scenario,
    programs: &Programs,
    folder: &Path,
    mut report: impl FnMut(&Progress),
) -> Result<Figures> {
    let mut deployment = Deployment::start(scenario, programs, folder).await?;
    let ledger = Arc::new(Ledger::default());
    let start = uptime();
    let load = {
        let (scenario, ledger) = (scenario.clone(), ledger.clone());
        let fabric = deployment.fabric().clone();
        tokio::spawn(async move { callers::run(&scenario, &fabric, &ledger, start).await })
    };
    let mut marks = Vec::new();
    let mut pending = scenario.events.iter().peekable();
    let mut last = SmolStr::default();
    while !load.is_finished() {
        let elapsed = uptime().saturating_sub(start);
        for name in deployment.crashed() {
            let at = elapsed.as_secs_f64();
            if !marks.iter().any(|mark| is_crash_of(mark, &name)) {
                marks.push(crash_mark(&name, at));
            }
        }
        if let Some(event) = pending.next_if(|event| event.at <= elapsed) {
            let mark = execute_event(&mut deployment, event, start).await;
            last = mark.what.clone();
            marks.push(mark);
            continue;
        }
        report(&Progress {
            elapsed,
            counts: ledger.counts(),
            last: last.clone(),
        });
        let delay = pending
            .peek()
            .map_or(PROGRESS_INTERVAL, |event| event.at.saturating_sub(elapsed));
        tokio::time::sleep(delay.min(PROGRESS_INTERVAL)).await;
    }
    for mark in &mut marks {
        let rollout = mark
            .version
            .and_then(|version| deployment.rollout_time(version));
        mark.everywhere = rollout.map(|time| time.as_secs_f64());
    }
    let figures = collect_figures(scenario, &deployment, &ledger, &marks, start);
    deployment.end();
    Ok(figures)
}

/// Executes an event and returns a mark with its times and result.
async fn execute_event(deployment: &mut Deployment, event: &Event, start: Duration) -> EventMark {
    let elapsed = || uptime().saturating_sub(start).as_secs_f64();
    let at = elapsed();
    let result = deployment.execute(&event.action).await;
    let pushes = matches!(
        event.action,
        Action::DomainOut(_) | Action::DomainBack(_) | Action::Push
    );
    EventMark {
        at,
        done: elapsed(),
        version: pushes.then(|| deployment.version()),
        everywhere: None,
        what: format_smolstr!("{}", event.action),
        failed: result.err().map(|fault| fault.to_string()),
        action: Some(event.action.clone()),
    }
}

fn crash_mark(name: &str, at: f64) -> EventMark {
    let what = format_smolstr!("{name} ended unasked");
    EventMark {
        at,
        done: at,
        version: None,
        everywhere: None,
        what,
        failed: None,
        action: None,
    }
}

fn is_crash_of(mark: &EventMark, name: &str) -> bool {
    mark.action.is_none() && mark.what.starts_with(name)
}

fn collect_figures(
    scenario: &Scenario,
    deployment: &Deployment,
    ledger: &Ledger,
    events: &[EventMark],
    start: Duration,
) -> Figures {
    let backends: Vec<_> = deployment
        .backends()
        .iter()
        .map(|placed| BackendData {
            request_log: (&placed.backend).into(),
            domain: placed.domain.clone(),
            most: placed.backend.max_concurrent(),
            most_cold: placed.backend.max_cold(),
        })
        .collect();
    figures(&RunData {
        scenario,
        start,
        requests: &ledger.requests(),
        flows: &ledger.flows(),
        backends: &backends,
        events,
        fabric: deployment.fabric().counters(),
    })
}
