//! Scenarios: the services, their load and the timed events of a run.

mod event;
mod read;

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};

pub use event::{Action, Event};

/// The name of a process or of a backend server.
pub type Name = SmolStr;
/// A fraction from 0 to 1.
pub type Share = f64;

/// A load scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The name shown in reports.
    pub name: SmolStr,
    /// The seed of all random choices. The same seed generates the same load.
    pub seed: u64,
    /// The duration of the load.
    pub time: Duration,
    /// The time at the start of the load that is excluded from latency and imbalance.
    pub warm_up: Duration,
    /// The length of the windows in which requests are counted.
    pub window: Duration,
    /// How long a caller waits for a response before it gives up.
    pub response_timeout: Duration,
    /// The delay until the fabric notices that a balancer went down or came up.
    pub detection_delay: Duration,
    /// The number of balancers.
    pub balancers: usize,
    /// The number of control processes.
    pub controls: usize,
    /// The region that contains the failure domains.
    pub region: SmolStr,
    /// The failure domains.
    pub domains: Vec<SmolStr>,
    /// The services and their load.
    pub services: Vec<Service>,
    /// The events, ordered by time.
    pub events: Vec<Event>,
}

/// A service, its backend servers and its load.
#[derive(Clone, Debug)]
pub struct Service {
    /// The name.
    pub name: SmolStr,
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// The number of backend servers. Each has an agent.
    pub backends: usize,
    /// The number of requests that a backend server runs concurrently.
    pub slots: usize,
    /// The number of concurrent requests that a cold backend server can handle.
    pub cold_slots: usize,
    /// The time for which a backend server is cold after its start.
    pub cold_time: Duration,
    /// The number of connections that a backend server accepts.
    pub connections: usize,
    /// The processing time of one request.
    pub work: Duration,
    /// The total time that a request may take.
    pub deadline: Duration,
    /// The load of the service's callers.
    pub load: Load,
}

/// The load of one service's callers.
#[derive(Clone, Debug)]
pub struct Load {
    /// The number of flows that are kept open.
    pub flows: usize,
    /// Requests per second over all of these flows.
    pub rate: u32,
    /// Requests on a flow before it is replaced by a new one.
    pub requests: u32,
    /// The share of requests that must not run more than once.
    pub once: Share,
    /// The share of these requests that have an idempotency key.
    pub keyed: Share,
    /// The padding of each response, in bytes.
    pub bytes: usize,
    /// The share of all requests that are sent over a single flow.
    pub hot: Share,
    /// The number of flows in a burst. Each carries one request.
    pub burst: usize,
    /// The interval between two bursts.
    pub burst_every: Duration,
}

/// A backend server or process and its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placed {
    /// The name.
    pub name: Name,
    /// The failure domain.
    pub domain: SmolStr,
}

impl Scenario {
    /// Returns the balancers and their failure domains.
    #[must_use]
    pub fn balancers(&self) -> Vec<Placed> {
        self.placed("balancer", self.balancers)
    }

    /// Returns the control processes and their failure domains.
    #[must_use]
    pub fn controls(&self) -> Vec<Placed> {
        self.placed("control", self.controls)
    }

    /// Returns the backend servers of a service and their failure domains.
    #[must_use]
    pub fn backends(&self, service: &Service) -> Vec<Placed> {
        self.placed(&service.name, service.backends)
    }

    /// Returns the number of processes that the scenario starts, including the agents.
    #[must_use]
    pub fn processes(&self) -> usize {
        let agents: usize = self.services.iter().map(|service| service.backends).sum();
        self.balancers + self.controls + agents
    }

    /// Assigns numbered names to the failure domains in a round-robin order.
    fn placed(&self, kind: &str, count: usize) -> Vec<Placed> {
        let place = |number: usize| Placed {
            name: format_smolstr!("{kind}-{}", number + 1),
            domain: self.domains[number % self.domains.len()].clone(),
        };
        (0..count).map(place).collect()
    }
}

/// Returns the name of a backend server's agent.
#[must_use]
pub(crate) fn agent_name(backend: &str) -> Name {
    format_smolstr!("agent-{backend}")
}
