//! Parses scenarios in INI format.

use std::path::Path;
use std::time::Duration;

use buckthornweir_settings::{Document, Section, value};
use buckthornweir_standins::Fault;
use smol_str::SmolStr;

use super::{Action, Event, Load, Name, Scenario, Service, Share, agent_name};
use crate::fault::Result;

const SECTIONS: &str = "[scenario], [service NAME], [event NAME]";
const MAX_DURATION: Duration = Duration::from_secs(3600);
const MAX_PROCESSES: usize = 200;
const MAX_FLOWS: usize = 50_000;
const MAX_RATE: u32 = 20_000;
const MAX_PADDING_BYTES: usize = 1 << 20;
const ZERO: Duration = Duration::ZERO;
const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

impl Scenario {
    /// Reads the scenario in the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the first error with its file, line and key, and the allowed values.
    pub fn read(path: &Path) -> Result<Self> {
        read(Document::read(path)?)
    }

    /// Parses a scenario from `text`; `file` is the file name in error messages.
    ///
    /// # Errors
    ///
    /// Returns the first error with its file, line and key, and the allowed values.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        read(Document::parse(file, text)?)
    }
}

fn read(mut document: Document) -> Result<Scenario> {
    let mut header = document.take("scenario")?;
    let time = header.required("time", value::duration(SECOND..=MAX_DURATION))?;
    let mut scenario = Scenario {
        name: header.required("name", value::name)?,
        seed: header.or("seed", 1, value::number(0..=u64::MAX))?,
        time,
        warm_up: header.or("warm-up", ZERO, value::duration(ZERO..=time))?,
        window: header.or("window", SECOND, value::duration(SECOND..=time))?,
        response_timeout: header.or(
            "patience",
            20 * SECOND,
            value::duration(SECOND..=MAX_DURATION),
        )?,
        detection_delay: header.or("notice", SECOND, value::duration(ZERO..=MAX_DURATION))?,
        balancers: header.or("balancers", 3, value::number(1..=MAX_PROCESSES))?,
        controls: header.or(
            "controls",
            1,
            value::one_of(&[("1", 1), ("3", 3), ("5", 5), ("7", 7)]),
        )?,
        region: header.required("region", value::name)?,
        domains: header.required("domains", value::list(value::name))?,
        services: Vec::new(),
        events: Vec::new(),
    };
    for section in document.take_all("service") {
        scenario.services.push(read_service(section)?);
    }
    if scenario.services.is_empty() {
        document.take("service NAME")?;
    }
    if scenario.processes() > MAX_PROCESSES {
        let allowed = format!("at most {MAX_PROCESSES} processes in all");
        let count = scenario.processes().to_string();
        return Err(header.invalid_value("balancers", &count, &allowed).into());
    }
    header.finish()?;
    for section in document.take_all("event") {
        let event = read_event(section, &scenario)?;
        scenario.events.push(event);
    }
    scenario.events.sort_by_key(|event| event.at);
    document.finish(SECTIONS)?;
    Ok(scenario)
}

fn read_service(mut section: Section) -> Result<Service> {
    let label = section.label().to_owned();
    let name = value::name(&label)
        .map_err(|allowed| section.invalid_value("NAME", &label, allowed.as_ref()))?;
    let slots = section.or("slots", 5, value::number(1..=1000))?;
    let service = Service {
        name,
        address: section.required("address", value::address)?,
        backends: section.required("backends", value::number(1..=MAX_PROCESSES))?,
        slots,
        cold_slots: section.or("cold-slots", slots, value::number(1..=slots))?,
        cold_time: section.or("cold-time", ZERO, value::duration(ZERO..=MAX_DURATION))?,
        connections: section.or("connections", 2000, value::number(1..=100_000))?,
        work: section.or("work", ZERO, value::duration(ZERO..=MAX_DURATION))?,
        deadline: section.or(
            "deadline",
            10 * SECOND,
            value::duration(10 * MILLISECOND..=MAX_DURATION),
        )?,
        load: read_load(&mut section)?,
    };
    section.finish()?;
    Ok(service)
}

fn read_load(section: &mut Section) -> Result<Load> {
    Ok(Load {
        flows: section.required("flows", value::number(0..=MAX_FLOWS))?,
        rate: section.required("rate", value::number(0..=MAX_RATE))?,
        requests: section.or("requests", 10, value::number(1..=1_000_000))?,
        once: section.or("once", 0.0, percent)?,
        keyed: section.or("keyed", 0.0, percent)?,
        bytes: section.or("bytes", 200, value::number(0..=MAX_PADDING_BYTES))?,
        hot: section.or("hot", 0.0, percent)?,
        burst: section.or("burst", 0, value::number(0..=MAX_FLOWS))?,
        burst_every: section.or(
            "burst-every",
            10 * SECOND,
            value::duration(10 * MILLISECOND..=MAX_DURATION),
        )?,
    })
}

fn percent(text: &str) -> value::Result<Share> {
    let digits = text.strip_suffix('%').unwrap_or("");
    match digits.parse::<f64>() {
        Ok(number) if (0.0..=100.0).contains(&number) => Ok(number / 100.0),
        _ => Err("a share from 0% to 100%".into()),
    }
}

fn read_event(mut section: Section, scenario: &Scenario) -> Result<Event> {
    let at = section.required("at", value::duration(ZERO..=scenario.time))?;
    let action = section.required("do", value::one_of(&actions()))?;
    let allowed = action.targets(scenario);
    let action = if allowed.is_empty() {
        action.build(Name::default())
    } else {
        let names: Vec<_> = allowed.iter().map(SmolStr::as_str).collect();
        let target = section.required("to", |text| match names.contains(&text) {
            true => Ok(SmolStr::from(text)),
            false => Err(names.join(", ")),
        })?;
        action.build(target)
    };
    let action = match action {
        Action::Fault(name, Fault::Late(_)) => {
            let delay = section.required("by", value::duration(MILLISECOND..=MAX_DURATION))?;
            Action::Fault(name, Fault::Late(delay))
        }
        other => other,
    };
    section.finish()?;
    Ok(Event { at, action })
}

/// An action without its target.
#[derive(Clone)]
enum Kind {
    Process(fn(Name) -> Action),
    Domain(fn(Name) -> Action),
    Backend(Fault),
    Push,
}

fn actions() -> Vec<(&'static str, Kind)> {
    let mut actions = vec![
        ("kill", Kind::Process(Action::Kill)),
        ("stop", Kind::Process(Action::Stop)),
        ("start", Kind::Process(Action::Start)),
        ("restart", Kind::Process(Action::Restart)),
        ("freeze", Kind::Process(Action::Freeze)),
        ("thaw", Kind::Process(Action::Thaw)),
        ("domain-out", Kind::Domain(Action::DomainOut)),
        ("domain-back", Kind::Domain(Action::DomainBack)),
        ("push", Kind::Push),
    ];
    let faults = [
        Fault::None,
        Fault::Shed,
        Fault::Drain,
        Fault::TurnCold,
        Fault::Late(ZERO),
        Fault::Silent,
        Fault::CutBeforeAnswer,
        Fault::CutAfterHeaders,
        Fault::CutMidBody,
        Fault::LyingHealth,
        Fault::LyingLoad,
    ];
    for fault in faults {
        let keyword = Action::Fault(Name::default(), fault).keyword();
        actions.push((keyword, Kind::Backend(fault)));
    }
    actions
}

impl Kind {
    fn build(self, target: Name) -> Action {
        match self {
            Self::Process(action) | Self::Domain(action) => action(target),
            Self::Backend(fault) => Action::Fault(target, fault),
            Self::Push => Action::Push,
        }
    }

    /// Returns the names of the allowed targets.
    fn targets(&self, scenario: &Scenario) -> Vec<Name> {
        let mut backends = Vec::new();
        for service in &scenario.services {
            backends.extend(
                scenario
                    .backends(service)
                    .into_iter()
                    .map(|placed| placed.name),
            );
        }
        match self {
            Self::Push => Vec::new(),
            Self::Domain(_) => scenario.domains.clone(),
            Self::Backend(_) => backends,
            Self::Process(_) => {
                let others = scenario.balancers().into_iter().chain(scenario.controls());
                let agents = backends.iter().map(|name| agent_name(name));
                others.map(|placed| placed.name).chain(agents).collect()
            }
        }
    }
}
