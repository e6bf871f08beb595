//! Formats the figures as terminal tables.

use comfy_table::presets::UTF8_FULL_CONDENSED;
use comfy_table::{CellAlignment, Table};

use crate::figures::{BusyWindow, DomainFigures, EventMark, Figures, ServiceFigures};

/// Returns all tables as one string.
#[must_use]
pub fn tables(figures: &Figures) -> String {
    let mut parts = vec![
        format!(
            "Scenario {}, seed {}, {} s, windows of {} s",
            figures.scenario, figures.seed, figures.seconds, figures.window
        ),
        measures(&figures.services).to_string(),
        busy(&figures.services).to_string(),
        outcomes(&figures.services).to_string(),
        backends(&figures.services).to_string(),
        cold(&figures.services).to_string(),
    ];
    if figures
        .services
        .iter()
        .any(|service| !service.refusals.is_empty())
    {
        parts.push(refusals(&figures.services).to_string());
    }
    if figures
        .services
        .iter()
        .any(|service| !service.problems.is_empty())
    {
        parts.push(problems(&figures.services).to_string());
    }
    if !figures.domains.is_empty() {
        parts.push(domains(&figures.domains).to_string());
    }
    if !figures.events.is_empty() {
        parts.push(events(&figures.events).to_string());
    }
    parts.join("\n\n")
}

fn table<const N: usize>(header: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_FULL_CONDENSED).set_header(header);
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

/// Returns the main measures of each service.
fn measures(services: &[ServiceFigures]) -> Table {
    let mut table = table([
        "service",
        "flows",
        "broken flows",
        "closed",
        "lost",
        "doubled",
        "imbalance",
        "busiest window",
        "p50 ms",
        "p90 ms",
        "p99 ms",
        "max ms",
    ]);
    for figures in services {
        let imbalance = &figures.imbalance;
        table.add_row([
            figures.service.to_string(),
            figures.flows.opened.to_string(),
            figures.flows.broken.to_string(),
            figures.flows.closed.to_string(),
            figures.outcomes.lost.to_string(),
            figures.outcomes.doubled.to_string(),
            format!("{:.2}", imbalance.ratio),
            format!(
                "{} / {:.1} at {} s",
                imbalance.most, imbalance.mean, imbalance.at
            ),
            format!("{:.1}", figures.latency.p50),
            format!("{:.1}", figures.latency.p90),
            format!("{:.1}", figures.latency.p99),
            format!("{:.1}", figures.latency.max),
        ]);
    }
    table
}

/// Returns the busiest window of each length.
fn busy(services: &[ServiceFigures]) -> Table {
    let mut table = table([
        "busiest window",
        "s",
        "at s",
        "ran",
        "most at one",
        "mean",
        "imbalance",
    ]);
    for figures in services {
        for window in &figures.busy {
            table.add_row([
                figures.service.to_string(),
                format_length(window),
                window.imbalance.at.to_string(),
                window.ran.to_string(),
                window.imbalance.most.to_string(),
                format!("{:.1}", window.imbalance.mean),
                format!("{:.2}", window.imbalance.ratio),
            ]);
        }
    }
    table
}

fn format_length(window: &BusyWindow) -> String {
    if window.taken == window.length {
        window.length.to_string()
    } else {
        format!("{} of {}", window.taken, window.length)
    }
}

fn refusals(services: &[ServiceFigures]) -> Table {
    let mut table = table(["service", "kind of refusal", "requests"]);
    for figures in services {
        for (kind, count) in &figures.refusals {
            table.add_row([
                figures.service.to_string(),
                kind.to_string(),
                count.to_string(),
            ]);
        }
    }
    table
}

/// Returns the load on cold backend servers and the limit that they can handle.
fn cold(services: &[ServiceFigures]) -> Table {
    let mut table = table([
        "cold backend servers",
        "bear at once",
        "most at once",
        "fell over",
    ]);
    for figures in services {
        table.add_row([
            figures.service.to_string(),
            figures.cold.bears.to_string(),
            figures.cold.most.to_string(),
            figures.cold.fell_over.to_string(),
        ]);
    }
    table
}

fn outcomes(services: &[ServiceFigures]) -> Table {
    let mut table = table([
        "requests",
        "sent",
        "answered",
        "refused",
        "unknown",
        "lost",
        "short",
        "doubled",
        "key doubled",
        "repeated",
        "wrong service",
        "crossed",
        "false refusals",
        "unfounded",
    ]);
    for figures in services {
        let outcomes = &figures.outcomes;
        let counts = [
            outcomes.sent,
            outcomes.answered,
            outcomes.refused,
            outcomes.unknown,
            outcomes.lost,
            outcomes.short,
            outcomes.doubled,
            outcomes.doubled_key,
            outcomes.repeated,
            outcomes.wrong_service,
            outcomes.crossed,
            outcomes.false_refusals,
            outcomes.unfounded,
        ];
        let counts = counts.iter().map(ToString::to_string);
        table.add_row(std::iter::once(figures.service.to_string()).chain(counts));
    }
    table
}

fn problems(services: &[ServiceFigures]) -> Table {
    let mut table = table(["service", "reason of a refusal or error", "requests"]);
    for figures in services {
        for (problem, count) in &figures.problems {
            table.add_row([
                figures.service.to_string(),
                problem.to_string(),
                count.to_string(),
            ]);
        }
    }
    table
}

fn backends(services: &[ServiceFigures]) -> Table {
    let mut table = table([
        "backend server",
        "failure domain",
        "ran",
        "refused",
        "fell over",
        "stopped",
        "most at once",
        "most when cold",
    ]);
    for backend in services.iter().flat_map(|figures| &figures.backends) {
        table.add_row([
            backend.backend.to_string(),
            backend.domain.to_string(),
            backend.ran.to_string(),
            backend.refused.to_string(),
            backend.fell_over.to_string(),
            backend.stopped.to_string(),
            backend.most.to_string(),
            backend.most_cold.to_string(),
        ]);
    }
    table
}

fn domains(domains: &[DomainFigures]) -> Table {
    let mut table = table([
        "failure domain",
        "out at s",
        "back at s",
        "last request after out s",
        "first request after back s",
        "sent",
        "answered",
        "broken flows",
        "broken after back",
    ]);
    for domain in domains {
        table.add_row([
            domain.domain.to_string(),
            format!("{:.1}", domain.out),
            format!("{:.1}", domain.back),
            format_optional(domain.last_run),
            format_optional(domain.first_run),
            domain.sent.to_string(),
            format!(
                "{} ({:.2} %)",
                domain.answered,
                percent(domain.answered, domain.sent)
            ),
            domain.broken.to_string(),
            domain.broken_return.to_string(),
        ]);
    }
    table
}

fn events(events: &[EventMark]) -> Table {
    let mut table = table([
        "event",
        "at s",
        "done after s",
        "everywhere after s",
        "failed",
    ]);
    for event in events {
        table.add_row([
            event.what.to_string(),
            format!("{:.1}", event.at),
            format!("{:.2}", event.done - event.at),
            event
                .everywhere
                .map_or(String::new(), |seconds| format!("{seconds:.2}")),
            event.failed.clone().unwrap_or_default(),
        ]);
    }
    table
}

fn format_optional(seconds: Option<f64>) -> String {
    seconds.map_or("none".into(), |seconds| format!("{seconds:.2}"))
}

fn percent(part: usize, whole: usize) -> f64 {
    if whole == 0 {
        100.0
    } else {
        100.0 * part as f64 / whole as f64
    }
}
