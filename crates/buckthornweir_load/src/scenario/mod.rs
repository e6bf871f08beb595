//! Scenarios: what runs, under which load, and what happens at which time.

mod event;
mod read;

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};

pub use event::{Action, Event};

/// The name of a process or of a backend server.
pub type Name = SmolStr;
/// A part of a whole, from 0 to 1.
pub type Share = f64;

/// A whole scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The name, for reports.
    pub name: SmolStr,
    /// The seed of all that is random; the same seed gives the same load.
    pub seed: u64,
    /// How long the load goes on.
    pub time: Duration,
    /// How much of the time at its start is left out of latency and imbalance.
    pub warm_up: Duration,
    /// The length of the windows in which load is counted.
    pub window: Duration,
    /// How long a caller waits for an answer.
    pub patience: Duration,
    /// How long the fabric goes on to send packets to a balancer that is gone.
    pub notice: Duration,
    /// How many balancers run.
    pub balancers: usize,
    /// How many control processes run.
    pub controls: usize,
    /// The region of the failure domains.
    pub region: SmolStr,
    /// The failure domains.
    pub domains: Vec<SmolStr>,
    /// The services with their load.
    pub services: Vec<Service>,
    /// What happens, in order of time.
    pub events: Vec<Event>,
}

/// A service, its backend servers and its load.
#[derive(Clone, Debug)]
pub struct Service {
    /// The name.
    pub name: SmolStr,
    /// The address that callers use.
    pub address: SocketAddr,
    /// How many backend servers run, each with an agent.
    pub backends: usize,
    /// How many requests a backend server runs at a time.
    pub slots: usize,
    /// How many requests a cold backend server bears at a time.
    pub cold_slots: usize,
    /// How long a backend server is cold after its start.
    pub cold_time: Duration,
    /// How many connections a backend server takes.
    pub connections: usize,
    /// How long the work on one request takes.
    pub work: Duration,
    /// How long a request may take in all.
    pub deadline: Duration,
    /// The load of the service's callers.
    pub load: Load,
}

/// The load of one service's callers.
#[derive(Clone, Debug)]
pub struct Load {
    /// Flows that are held open.
    pub flows: usize,
    /// Requests a second over all of them.
    pub rate: u32,
    /// Requests on a flow before its caller replaces it by a new one.
    pub requests: u32,
    /// The share of requests that may not be repeated.
    pub once: Share,
    /// The share of those that carry an idempotency key.
    pub keyed: Share,
    /// Padding of each answer, in bytes.
    pub bytes: usize,
    /// The share of requests that a single flow carries.
    pub hot: Share,
    /// Flows that arrive at once in a burst, with one request each.
    pub burst: usize,
    /// The time between two bursts.
    pub burst_every: Duration,
}

/// A backend server or process in its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placed {
    /// The name.
    pub name: Name,
    /// The failure domain.
    pub domain: SmolStr,
}

impl Scenario {
    /// Returns the balancers.
    #[must_use]
    pub fn balancers(&self) -> Vec<Placed> {
        self.placed("balancer", self.balancers)
    }

    /// Returns the control processes.
    #[must_use]
    pub fn controls(&self) -> Vec<Placed> {
        self.placed("control", self.controls)
    }

    /// Returns the backend servers of a service.
    #[must_use]
    pub fn backends(&self, service: &Service) -> Vec<Placed> {
        self.placed(&service.name, service.backends)
    }

    /// Returns the number of processes that the scenario starts.
    #[must_use]
    pub fn processes(&self) -> usize {
        let agents: usize = self.services.iter().map(|service| service.backends).sum();
        self.balancers + self.controls + agents
    }

    /// Deals numbered names out over the failure domains.
    fn placed(&self, kind: &str, count: usize) -> Vec<Placed> {
        let place = |number: usize| Placed {
            name: format_smolstr!("{kind}-{}", number + 1),
            domain: self.domains[number % self.domains.len()].clone(),
        };
        (0..count).map(place).collect()
    }
}

/// Returns the name of the agent beside a backend server.
#[must_use]
pub(crate) fn agent_name(backend: &str) -> Name {
    format_smolstr!("agent-{backend}")
}
