//! The operators' plan: the routes from addresses to services, and the failure domains that are
//! out.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use smol_str::SmolStr;

use crate::segment::{FlowKey, mix};

/// Revision of the plan, which increases with each change.
pub type Revision = u64;

/// Makes the choice of a service independent of the choice of an agent for the same flow.
const SPLIT_SALT: u64 = 0x0053_504c_4954;

/// Idle timeout of flows if the plan states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A service and its share of an address's new flows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Split {
    /// Name of the service.
    pub service: SmolStr,
    /// Share of new flows, relative to the other weights.
    pub weight: u32,
}

/// Whether the requests of a route may be repeated.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RequestKind {
    /// Running a request twice has the same effect as running it once.
    Idempotent,
    /// A request runs at most once.
    #[default]
    NonIdempotent,
    /// An idempotent request with a long response.
    Download,
}

impl RequestKind {
    /// Returns whether a request may be sent again after an unknown outcome.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        self != Self::NonIdempotent
    }
}

/// What operators state about the requests of a route.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Class {
    /// Whether the requests may be repeated.
    pub kind: RequestKind,
    /// Priority of the requests, 0 is the highest; `None` if not stated.
    pub priority: Option<u8>,
    /// Latency objective of the requests; `None` if not stated.
    pub objective: Option<Duration>,
    /// Timeout of the requests; `None` if not stated.
    pub timeout: Option<Duration>,
}

/// The services that receive the flows of an address.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Route {
    /// The services and their weights.
    pub splits: Vec<Split>,
    /// The class of the requests.
    pub class: Class,
}

impl Route {
    /// Returns whether new flows may go to `service`.
    #[must_use]
    pub fn allows(&self, service: &str) -> bool {
        let mut splits = self.splits.iter();
        splits.any(|split| split.weight > 0 && split.service == service)
    }

    /// Returns the service that a new flow goes to.
    #[must_use]
    pub fn service(&self, key: &FlowKey) -> Option<&SmolStr> {
        if let [only] = self.splits.as_slice() {
            return (only.weight > 0).then_some(&only.service);
        }
        let sum: u64 = self.splits.iter().map(|s| u64::from(s.weight)).sum();
        if sum == 0 {
            return None;
        }
        let mut remaining = mix(key.hash(), SPLIT_SALT) % sum;
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if remaining < weight {
                return Some(&split.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// How a service treats new flows that exceed its capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadPolicy {
    /// Share of the started flows that lower priorities get while they wait, from 0 to 1.
    pub least_share: f64,
    /// Limit of second SYNs as a share of new flows, from 0 to 1; 0 disables them.
    pub second_tries: f64,
}

impl Default for OverloadPolicy {
    fn default() -> Self {
        Self {
            least_share: 0.1,
            second_tries: 0.0,
        }
    }
}

/// Settings of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Service {
    /// New flows per second that a cold backend server can handle; `None` if unknown.
    pub cold_rate: Option<f64>,
    /// Treatment of new flows under overload; `None` disables overload control.
    pub overload: Option<OverloadPolicy>,
}

/// The plan in force at a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Revision of the plan.
    pub revision: Revision,
    /// Version of the configuration, as set by the operators.
    pub version: u64,
    /// Routes by the addresses that callers connect to.
    pub routes: BTreeMap<SocketAddrV4, Route>,
    /// Services by name.
    pub services: BTreeMap<SmolStr, Service>,
    /// Failure domains that are given no new flows.
    pub domains_out: BTreeSet<SmolStr>,
    /// Failure domains that were brought back, with the revision of the last such order.
    pub domains_back: BTreeMap<SmolStr, Revision>,
    /// Idle timeout of flows.
    pub idle: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            revision: 0,
            version: 0,
            routes: BTreeMap::new(),
            services: BTreeMap::new(),
            domains_out: BTreeSet::new(),
            domains_back: BTreeMap::new(),
            idle: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

impl Plan {
    /// Returns whether a configuration is in force.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.version > 0
    }

    /// Returns the route of an address.
    #[must_use]
    pub fn route(&self, service: &SocketAddrV4) -> Option<&Route> {
        self.routes.get(service)
    }

    /// Returns whether the failure domain is out, so that it gets no new flows.
    #[must_use]
    pub fn is_out(&self, domain: &str) -> bool {
        self.domains_out.contains(domain)
    }
}
