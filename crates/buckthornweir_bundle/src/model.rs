//! What a bundle says.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

/// The name of a service.
pub type ServiceName = SmolStr;

/// The name of a failure domain.
pub type DomainName = SmolStr;

/// The version of a bundle; a higher version replaces a lower one.
pub type Version = u64;

/// The configuration that all processes hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bundle {
    /// The version, from 1.
    pub version: Version,
    /// Whether a service may be left without any failure domain that is in.
    pub force: bool,
    /// The failure domains, by name.
    pub domains: Vec<Domain>,
    /// The services, by name.
    pub services: Vec<Service>,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Domain {
    /// The name.
    pub name: DomainName,
    /// The region that the failure domain is part of.
    pub region: SmolStr,
    /// Whether the failure domain has been taken out.
    pub out: bool,
}

/// What a service speaks with its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// Bytes are relayed between the caller and one backend connection.
    Tcp,
    /// HTTP/1.1, decided request by request.
    Http,
}

/// A service: the addresses callers use, and its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The name.
    pub name: ServiceName,
    /// The addresses and ports that callers use.
    pub addresses: Vec<SocketAddr>,
    /// What the service speaks.
    pub protocol: Protocol,
    /// The failure domains where the service runs.
    pub domains: Vec<DomainName>,
    /// How many requests a warm backend server runs at a time.
    pub slots: u32,
    /// How many requests a cold backend server runs at a time.
    pub cold: u32,
    /// How many connections a backend server takes.
    pub connections: u32,
    /// How many requests may wait at an agent.
    pub queue: u32,
    /// How long a request may take in all when its caller sets no deadline.
    pub deadline: Duration,
}

impl Bundle {
    /// Returns the service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Returns the service that callers reach at `address`.
    pub fn service_at(&self, address: &SocketAddr) -> Option<&Service> {
        self.services.iter().find(|s| s.addresses.contains(address))
    }

    /// Returns the failure domain called `name`.
    pub fn domain(&self, name: &str) -> Option<&Domain> {
        self.domains.iter().find(|d| d.name == name)
    }

    /// Returns whether the failure domain called `name` has been taken out.
    pub fn is_out(&self, name: &str) -> bool {
        self.domain(name).is_some_and(|d| d.out)
    }

    /// Returns whether `service` runs in the failure domain called `name`, which is in.
    pub fn serves(&self, service: &str, name: &str) -> bool {
        let Some(service) = self.service(service) else {
            return false;
        };
        service.domains.iter().any(|d| d == name) && !self.is_out(name)
    }

    /// Returns the bundle with the next version and the failure domain `name` in or out, or `None`
    /// when there is no such failure domain.
    #[must_use]
    pub fn with_domain_out(&self, name: &str, out: bool) -> Option<Self> {
        let mut next = self.clone();
        let domain = next.domains.iter_mut().find(|d| d.name == name)?;
        domain.out = out;
        next.version += 1;
        Some(next)
    }
}
