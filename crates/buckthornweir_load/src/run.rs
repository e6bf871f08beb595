//! Runs a scenario from its first process to its figures.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use buckthornweir_standins::uptime;
use smol_str::{SmolStr, format_smolstr};

use crate::callers::{self, Ledger, LedgerCounts};
use crate::deployment::{Deployment, Programs};
use crate::fault::Result;
use crate::figures::{BackendEvidence, EventMark, Evidence, Figures, figures};
use crate::scenario::{Action, Event, Scenario};

const PROGRESS_PAUSE: Duration = Duration::from_millis(250);

/// How far a run is.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Time since the start of the load.
    pub elapsed: Duration,
    /// What the callers got so far.
    pub counts: LedgerCounts,
    /// The event that happened last.
    pub last: SmolStr,
}

/// Runs a scenario and returns its figures; `report` is told how far it is.
///
/// # Errors
///
/// Returns an error when the processes can't be started or no service answers. A failure under
/// load is no error: it is in the figures.
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
            if !marks.iter().any(|mark| is_crash(mark, &name)) {
                marks.push(crash(&name, at));
            }
        }
        if let Some(event) = pending.next_if(|event| event.at <= elapsed) {
            let mark = happen(&mut deployment, event, start).await;
            last = mark.what.clone();
            marks.push(mark);
            continue;
        }
        report(&Progress {
            elapsed,
            counts: ledger.counts(),
            last: last.clone(),
        });
        let next = pending
            .peek()
            .map_or(PROGRESS_PAUSE, |event| event.at.saturating_sub(elapsed));
        tokio::time::sleep(next.min(PROGRESS_PAUSE)).await;
    }
    for mark in &mut marks {
        let spread = mark.version.and_then(|version| deployment.spread(version));
        mark.everywhere = spread.map(|time| time.as_secs_f64());
    }
    let figures = collect(scenario, &deployment, &ledger, &marks, start);
    deployment.end();
    Ok(figures)
}

/// Makes an event happen, and writes down when, and whether it could.
async fn happen(deployment: &mut Deployment, event: &Event, start: Duration) -> EventMark {
    let since = || uptime().saturating_sub(start).as_secs_f64();
    let at = since();
    let result = deployment.act(&event.action).await;
    let pushes = matches!(
        event.action,
        Action::DomainOut(_) | Action::DomainBack(_) | Action::Push
    );
    EventMark {
        at,
        done: since(),
        version: pushes.then(|| deployment.version()),
        everywhere: None,
        what: format_smolstr!("{}", event.action),
        failed: result.err().map(|fault| fault.to_string()),
        action: Some(event.action.clone()),
    }
}

fn crash(name: &str, at: f64) -> EventMark {
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

fn is_crash(mark: &EventMark, name: &str) -> bool {
    mark.action.is_none() && mark.what.starts_with(name)
}

fn collect(
    scenario: &Scenario,
    deployment: &Deployment,
    ledger: &Ledger,
    events: &[EventMark],
    start: Duration,
) -> Figures {
    let backends: Vec<_> = deployment
        .backends()
        .iter()
        .map(|placed| BackendEvidence {
            books: (&placed.backend).into(),
            domain: placed.domain.clone(),
            most: placed.backend.max_concurrent(),
            most_cold: placed.backend.max_cold(),
        })
        .collect();
    figures(&Evidence {
        scenario,
        start,
        requests: &ledger.requests(),
        flows: &ledger.flows(),
        backends: &backends,
        events,
        fabric: deployment.fabric().counters(),
    })
}
