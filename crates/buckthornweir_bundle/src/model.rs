//! The data model of a bundle.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

/// The name of a service.
pub type ServiceName = SmolStr;

/// The name of a failure domain.
pub type DomainName = SmolStr;

/// The version of a bundle; a higher version replaces a lower one.
pub type Version = u64;

/// The configuration shared by all processes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bundle {
    /// The version, starting at 1.
    pub version: Version,
    /// Whether a service may have no failure domain that is in.
    pub force: bool,
    /// The failure domains, sorted by name.
    pub domains: Vec<Domain>,
    /// The services, sorted by name.
    pub services: Vec<Service>,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Domain {
    /// The name.
    pub name: DomainName,
    /// The region that contains the failure domain.
    pub region: SmolStr,
    /// Whether the failure domain has been taken out.
    pub out: bool,
}

/// The protocol between a service and its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// TCP; bytes are relayed between the caller and one backend connection.
    Tcp,
    /// HTTP/1.1; each request is scheduled separately.
    Http,
}

/// A service with its addresses and limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The name.
    pub name: ServiceName,
    /// The addresses and ports that callers use.
    pub addresses: Vec<SocketAddr>,
    /// The protocol between the service and its callers.
    pub protocol: Protocol,
    /// The failure domains where the service runs.
    pub domains: Vec<DomainName>,
    /// The maximum number of concurrent requests at a warm backend server.
    pub slots: u32,
    /// The maximum number of concurrent requests at a cold backend server.
    pub cold: u32,
    /// The maximum number of connections to a backend server.
    pub connections: u32,
    /// The maximum number of requests that wait at an agent.
    pub queue: u32,
    /// The total time limit of a request when its caller sets no deadline.
    pub deadline: Duration,
    /// The maximum percentage of requests that are hedged with a second copy; 0 turns hedging off.
    pub second_tries: u32,
}

impl Bundle {
    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Returns the service with this address.
    pub fn service_at(&self, address: &SocketAddr) -> Option<&Service> {
        self.services.iter().find(|s| s.addresses.contains(address))
    }

    /// Returns the failure domain with this name.
    pub fn domain(&self, name: &str) -> Option<&Domain> {
        self.domains.iter().find(|d| d.name == name)
    }

    /// Returns whether the failure domain with this name has been taken out.
    pub fn is_out(&self, name: &str) -> bool {
        self.domain(name).is_some_and(|d| d.out)
    }

    /// Returns whether `service` runs in the failure domain `name` and that domain is in.
    pub fn serves(&self, service: &str, name: &str) -> bool {
        let Some(service) = self.service(service) else {
            return false;
        };
        service.domains.iter().any(|d| d == name) && !self.is_out(name)
    }

    /// Returns a copy with the next version and the failure domain `name` in or out, or `None` when
    /// there is no such failure domain or no higher version.
    ///
    /// Taking a failure domain out resets `force`, so that permission given for an earlier bundle
    /// does not let this one leave a service without a failure domain.
    #[must_use]
    pub fn with_domain_out(&self, name: &str, out: bool) -> Option<Self> {
        let mut next = self.clone();
        let domain = next.domains.iter_mut().find(|d| d.name == name)?;
        domain.out = out;
        next.version = self.version.checked_add(1)?;
        next.force = self.force && !out;
        Some(next)
    }
}
