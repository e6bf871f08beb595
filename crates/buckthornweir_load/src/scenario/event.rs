//! Timed events of a scenario.

use std::fmt;
use std::time::Duration;

use buckthornweir_standins::Fault;
use smol_str::SmolStr;

use super::Name;

/// An action at a given time of the load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The time since the start of the load.
    pub at: Duration,
    /// The action to execute.
    pub action: Action,
}

/// The action of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Kills a process (SIGKILL).
    Kill(Name),
    /// Asks a process to stop (SIGTERM).
    Stop(Name),
    /// Starts a stopped process.
    Start(Name),
    /// Asks a process to stop and starts it again once it has exited.
    Restart(Name),
    /// Suspends a process (SIGSTOP).
    Freeze(Name),
    /// Resumes a process (SIGCONT).
    Thaw(Name),
    /// Takes a failure domain out.
    DomainOut(SmolStr),
    /// Brings a failure domain back.
    DomainBack(SmolStr),
    /// Pushes the next version of the bundle with the same content.
    Push,
    /// Sets the fault that a backend server simulates.
    Fault(Name, Fault),
}

impl Action {
    /// Returns the keyword of the action in a scenario.
    #[must_use]
    pub fn keyword(&self) -> &'static str {
        match self {
            Self::Kill(_) => "kill",
            Self::Stop(_) => "stop",
            Self::Start(_) => "start",
            Self::Restart(_) => "restart",
            Self::Freeze(_) => "freeze",
            Self::Thaw(_) => "thaw",
            Self::DomainOut(_) => "domain-out",
            Self::DomainBack(_) => "domain-back",
            Self::Push => "push",
            Self::Fault(_, fault) => fault_keyword(*fault),
        }
    }

    /// Returns the name of the action's target, or an empty string if it has none.
    #[must_use]
    pub fn target(&self) -> &str {
        match self {
            Self::Kill(name)
            | Self::Stop(name)
            | Self::Start(name)
            | Self::Restart(name)
            | Self::Freeze(name)
            | Self::Thaw(name)
            | Self::DomainOut(name)
            | Self::DomainBack(name)
            | Self::Fault(name, _) => name,
            Self::Push => "",
        }
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.keyword())?;
        if self.target().is_empty() {
            return Ok(());
        }
        write!(f, " {}", self.target())
    }
}

fn fault_keyword(fault: Fault) -> &'static str {
    match fault {
        Fault::None => "heal",
        Fault::Shed => "shed",
        Fault::Drain => "drain",
        Fault::TurnCold => "cold",
        Fault::Late(_) => "late",
        Fault::Silent => "silent",
        Fault::CutBeforeAnswer => "cut-before-answer",
        Fault::CutAfterHeaders => "cut-after-headers",
        Fault::CutMidBody => "cut-mid-body",
        Fault::LyingHealth => "lying-health",
        Fault::LyingLoad => "lying-load",
    }
}
