//! Reads a scenario from INI text.

use std::path::Path;
use std::time::Duration;

use buckthornweir_settings::{Document, Section, value};
use buckthornweir_standins::Fault;
use smol_str::SmolStr;

use super::{Action, Event, Load, Name, Scenario, Service, Share, agent_name};
use crate::fault::Result;

const SECTIONS: &str = "[scenario], [service NAME], [event NAME]";
const TIME_LIMIT: Duration = Duration::from_secs(3600);
const PROCESS_LIMIT: usize = 200;
const FLOW_LIMIT: usize = 50_000;
const RATE_LIMIT: u32 = 20_000;
const BYTES_LIMIT: usize = 1 << 20;
const ZERO: Duration = Duration::ZERO;
const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

impl Scenario {
    /// Reads the scenario in the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the first fault with its file, line, key and what is allowed.
    pub fn read(path: &Path) -> Result<Self> {
        read(Document::read(path)?)
    }

    /// Reads a scenario from `text`; `file` is the name used in faults.
    ///
    /// # Errors
    ///
    /// Returns the first fault with its file, line, key and what is allowed.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        read(Document::parse(file, text)?)
    }
}

fn read(mut document: Document) -> Result<Scenario> {
    let mut head = document.take("scenario")?;
    let time = head.required("time", value::duration(SECOND..=TIME_LIMIT))?;
    let mut scenario = Scenario {
        name: head.required("name", value::name)?,
        seed: head.or("seed", 1, value::number(0..=u64::MAX))?,
        time,
        warm_up: head.or("warm-up", ZERO, value::duration(ZERO..=time))?,
        window: head.or("window", SECOND, value::duration(SECOND..=time))?,
        patience: head.or(
            "patience",
            20 * SECOND,
            value::duration(SECOND..=TIME_LIMIT),
        )?,
        notice: head.or("notice", SECOND, value::duration(ZERO..=TIME_LIMIT))?,
        balancers: head.or("balancers", 3, value::number(1..=PROCESS_LIMIT))?,
        controls: head.or(
            "controls",
            1,
            value::one_of(&[("1", 1), ("3", 3), ("5", 5), ("7", 7)]),
        )?,
        region: head.required("region", value::name)?,
        domains: head.required("domains", value::list(value::name))?,
        services: Vec::new(),
        events: Vec::new(),
    };
    for section in document.take_all("service") {
        scenario.services.push(read_service(section)?);
    }
    if scenario.services.is_empty() {
        document.take("service NAME")?;
    }
    if scenario.processes() > PROCESS_LIMIT {
        let allowed = format!("at most {PROCESS_LIMIT} processes in all");
        let count = scenario.processes().to_string();
        return Err(head.invalid_value("balancers", &count, &allowed).into());
    }
    head.finish()?;
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
        backends: section.required("backends", value::number(1..=PROCESS_LIMIT))?,
        slots,
        cold_slots: section.or("cold-slots", slots, value::number(1..=slots))?,
        cold_time: section.or("cold-time", ZERO, value::duration(ZERO..=TIME_LIMIT))?,
        connections: section.or("connections", 2000, value::number(1..=100_000))?,
        work: section.or("work", ZERO, value::duration(ZERO..=TIME_LIMIT))?,
        deadline: section.or(
            "deadline",
            10 * SECOND,
            value::duration(10 * MILLISECOND..=TIME_LIMIT),
        )?,
        load: read_load(&mut section)?,
    };
    section.finish()?;
    Ok(service)
}

fn read_load(section: &mut Section) -> Result<Load> {
    Ok(Load {
        flows: section.required("flows", value::number(0..=FLOW_LIMIT))?,
        rate: section.required("rate", value::number(0..=RATE_LIMIT))?,
        requests: section.or("requests", 10, value::number(1..=1_000_000))?,
        once: section.or("once", 0.0, percent)?,
        keyed: section.or("keyed", 0.0, percent)?,
        bytes: section.or("bytes", 200, value::number(0..=BYTES_LIMIT))?,
        hot: section.or("hot", 0.0, percent)?,
        burst: section.or("burst", 0, value::number(0..=FLOW_LIMIT))?,
        burst_every: section.or(
            "burst-every",
            10 * SECOND,
            value::duration(10 * MILLISECOND..=TIME_LIMIT),
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
        let words: Vec<_> = allowed.iter().map(SmolStr::as_str).collect();
        let target = section.required("to", |text| match words.contains(&text) {
            true => Ok(SmolStr::from(text)),
            false => Err(words.join(", ")),
        })?;
        action.build(target)
    };
    let action = match action {
        Action::Fault(name, Fault::Late(_)) => {
            let delay = section.required("by", value::duration(MILLISECOND..=TIME_LIMIT))?;
            Action::Fault(name, Fault::Late(delay))
        }
        other => other,
    };
    section.finish()?;
    Ok(Event { at, action })
}

/// A kind of action, before its target is known.
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
        let word = Action::Fault(Name::default(), fault).word();
        actions.push((word, Kind::Backend(fault)));
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

    /// Returns the names that the action can be done to.
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
