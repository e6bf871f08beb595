//! Writes the figures as JSON lines, for scripts.

use std::collections::BTreeMap;
use std::io::Write;

use serde::Serialize;
use smol_str::SmolStr;

use crate::fault::Result;
use crate::figures::{
    BackendFigures, BusyWindow, ColdFigures, DomainFigures, EventMark, Figures, FlowFigures,
    Imbalance, Latency, Outcomes, Trouble, WindowFigures,
};

/// One line of the output.
#[derive(Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
enum Line<'a> {
    Run {
        scenario: &'a SmolStr,
        seed: u64,
        seconds: f64,
        window: f64,
        packets: [u64; 3],
    },
    Service {
        service: &'a SmolStr,
        outcomes: &'a Outcomes,
        problems: &'a BTreeMap<SmolStr, usize>,
        flows: &'a FlowFigures,
        latency: &'a Latency,
        imbalance: &'a Imbalance,
        refusals: &'a BTreeMap<SmolStr, usize>,
        busy: &'a [BusyWindow],
        cold: &'a ColdFigures,
    },
    Backend {
        service: &'a SmolStr,
        #[serde(flatten)]
        figures: &'a BackendFigures,
        load: &'a [usize],
    },
    Window {
        service: &'a SmolStr,
        #[serde(flatten)]
        figures: &'a WindowFigures,
    },
    Domain(&'a DomainFigures),
    Event(&'a EventMark),
    Trouble(&'a Trouble),
}

/// Writes all figures, one JSON object per line. The field `kind` names the type of the line.
///
/// # Errors
///
/// Returns an error if a line can't be serialized or written.
pub fn write_lines(figures: &Figures, out: &mut impl Write) -> Result<()> {
    write(
        out,
        &Line::Run {
            scenario: &figures.scenario,
            seed: figures.seed,
            seconds: figures.seconds,
            window: figures.window,
            packets: figures.packets,
        },
    )?;
    for event in &figures.events {
        write(out, &Line::Event(event))?;
    }
    for domain in &figures.domains {
        write(out, &Line::Domain(domain))?;
    }
    for trouble in &figures.troubles {
        write(out, &Line::Trouble(trouble))?;
    }
    for service in &figures.services {
        write(
            out,
            &Line::Service {
                service: &service.service,
                outcomes: &service.outcomes,
                problems: &service.problems,
                flows: &service.flows,
                latency: &service.latency,
                imbalance: &service.imbalance,
                refusals: &service.refusals,
                busy: &service.busy,
                cold: &service.cold,
            },
        )?;
        for (backend, load) in service.backends.iter().zip(&service.load) {
            let service = &service.service;
            write(
                out,
                &Line::Backend {
                    service,
                    figures: backend,
                    load: &load.ran,
                },
            )?;
        }
        for window in &service.windows {
            write(
                out,
                &Line::Window {
                    service: &service.service,
                    figures: window,
                },
            )?;
        }
    }
    Ok(())
}

fn write(out: &mut impl Write, line: &Line<'_>) -> Result<()> {
    serde_json::to_writer(&mut *out, line)?;
    out.write_all(b"\n").map_err(serde_json::Error::io)?;
    Ok(())
}
