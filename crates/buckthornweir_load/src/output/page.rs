//! The report, a self-contained HTML page with plots.

use std::fmt::Write;

use super::plot::{Line, Plot, draw};
use super::table::tables;
use crate::fault::Result;
use crate::figures::{Figures, Latency, ServiceFigures, WindowFigures};

const STYLE: &str = "body{font-family:sans-serif;max-width:1040px;margin:2em auto;color:#222}\
    svg{max-width:100%;height:auto}pre{overflow-x:auto;font-size:12px;line-height:1.25}";

/// Returns the report as HTML.
///
/// # Errors
///
/// Returns an error if a plot can't be drawn.
pub fn page(figures: &Figures) -> Result<String> {
    let title = escape_html(&format!("buckthornweir-load: {}", figures.scenario));
    let mut html = String::new();
    let mut add = |text: &str| {
        html.push_str(text);
        html.push('\n');
    };
    add("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">");
    add(&format!(
        "<title>{title}</title><style>{STYLE}</style></head><body>"
    ));
    add(&format!("<h1>{title}</h1>"));
    for plot in plots(figures) {
        add(&draw(&plot)?);
    }
    add(&format!("<h2>Events</h2>{}", event_list(figures)));
    add(&format!(
        "<h2>Figures</h2><pre>{}</pre>",
        escape_html(&tables(figures))
    ));
    add("</body></html>");
    Ok(html)
}

/// Returns the plots of the report, three per service.
fn plots(figures: &Figures) -> Vec<Plot> {
    let mut plots = Vec::new();
    for service in &figures.services {
        plots.push(load_plot(figures, service));
        plots.push(latency_plot(figures, service));
        plots.push(failure_plot(figures, service));
    }
    plots
}

fn plot(figures: &Figures, title: String, unit: &str, lines: Vec<Line>, log: bool) -> Plot {
    let marks = figures.events.iter().map(|event| event.at).collect();
    Plot {
        title,
        unit: unit.into(),
        end: figures.seconds,
        lines,
        marks,
        log,
    }
}

fn load_plot(figures: &Figures, service: &ServiceFigures) -> Plot {
    let lines = service.load.iter().map(|series| Line {
        name: format!("{} {}", series.backend, series.domain),
        points: series
            .ran
            .iter()
            .enumerate()
            .map(|(index, ran)| {
                (
                    (index as f64 + 0.5) * figures.window,
                    *ran as f64 / figures.window,
                )
            })
            .collect(),
    });
    let title = format!("{}: load per backend server", service.service);
    plot(figures, title, "requests a second", lines.collect(), false)
}

fn latency_plot(figures: &Figures, service: &ServiceFigures) -> Plot {
    let line = |name: &str, value: fn(&Latency) -> f64| Line {
        name: name.into(),
        points: points(figures, service, |window| value(&window.latency)),
    };
    let lines = vec![
        line("p50", |latency| latency.p50),
        line("p90", |latency| latency.p90),
        line("p99", |latency| latency.p99),
        line("max", |latency| latency.max),
    ];
    plot(
        figures,
        format!("{}: latency", service.service),
        "milliseconds",
        lines,
        true,
    )
}

fn failure_plot(figures: &Figures, service: &ServiceFigures) -> Plot {
    let line = |name: &str, value: fn(&WindowFigures) -> usize| Line {
        name: name.into(),
        points: points(figures, service, |window| value(window) as f64),
    };
    let lines = vec![
        line("broken flows", |window| window.broken),
        line("refused", |window| window.refused),
        line("failed", |window| window.failed),
    ];
    let title = format!(
        "{}: broken flows and requests without an answer",
        service.service
    );
    plot(figures, title, "number a window", lines, false)
}

fn points(
    figures: &Figures,
    service: &ServiceFigures,
    value: impl Fn(&WindowFigures) -> f64,
) -> Vec<(f64, f64)> {
    let half = figures.window / 2.0;
    service
        .windows
        .iter()
        .map(|window| (window.at + half, value(window)))
        .collect()
}

fn event_list(figures: &Figures) -> String {
    let mut list = String::from("<ul>");
    for event in &figures.events {
        let failed = event
            .failed
            .as_ref()
            .map(|fault| format!(" (failed: {fault})"));
        let text = escape_html(&format!("{}{}", event.what, failed.unwrap_or_default()));
        // Writing to a `String` can't fail.
        let _ = write!(list, "<li>{:.1} s: {text}</li>", event.at);
    }
    list.push_str("</ul>");
    list
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
