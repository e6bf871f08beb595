//! The settings of each process, as INI text.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

use buckthornweir_bundle::PublicKey;
use buckthornweir_settings::value;
use smol_str::SmolStr;

use super::addresses::Host;
use crate::scenario::{Name, Placed};

/// The key that all processes of a run share; the run never leaves loopback.
pub(crate) const CLUSTER_KEY: [u8; 32] = [0x5b; 32];

/// One process: what it is called, where it runs and what it does.
pub(crate) struct Role {
    pub(crate) name: Name,
    pub(crate) domain: SmolStr,
    pub(crate) host: Host,
    duty: Duty,
}

enum Duty {
    Control {
        founders: Vec<Name>,
    },
    Balancer,
    Agent {
        service: SmolStr,
        backend: SocketAddr,
    },
}

impl Role {
    pub(crate) fn control(placed: Placed, host: Host, founders: Vec<Name>) -> Self {
        Self {
            name: placed.name,
            domain: placed.domain,
            host,
            duty: Duty::Control { founders },
        }
    }

    pub(crate) fn balancer(placed: Placed, host: Host) -> Self {
        Self {
            name: placed.name,
            domain: placed.domain,
            host,
            duty: Duty::Balancer,
        }
    }

    pub(crate) fn agent(
        name: Name,
        domain: SmolStr,
        host: Host,
        service: &SmolStr,
        backend: SocketAddr,
    ) -> Self {
        let duty = Duty::Agent {
            service: service.clone(),
            backend,
        };
        Self {
            name,
            domain,
            host,
            duty,
        }
    }
}

/// The text of a settings file.
pub(crate) struct SettingsText(String);

impl SettingsText {
    /// Writes the settings of a process.
    pub(crate) fn new(
        role: &Role,
        seeds: &[SocketAddr],
        trusted: &PublicKey,
        fabric: SocketAddr,
        folder: &Path,
    ) -> Self {
        let mut text = Self(String::new());
        let host = role.host;
        text.section("node");
        text.key("roles", role.duty.word());
        text.key("name", &role.name);
        text.key("domain", &role.domain);
        text.key("gossip", host.gossip());
        text.key("packets", host.packets());
        text.key("control", host.control());
        text.key("metrics", host.metrics());
        let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
        text.key("seeds", seeds.join(", "));
        text.key("key", value::to_hex(&CLUSTER_KEY));
        text.duty(role, fabric, folder);
        text.section("trust");
        text.key("keys", value::to_hex(trusted));
        text
    }

    /// Returns the text.
    #[must_use]
    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }

    fn duty(&mut self, role: &Role, fabric: SocketAddr, folder: &Path) {
        match &role.duty {
            Duty::Control { founders } => {
                self.key("data", folder.join(&*role.name).display());
                self.section("control");
                self.key("founders", founders.join(", "));
            }
            Duty::Balancer => {
                self.section("balancer");
                self.key("fabric", role.host.fabric());
            }
            Duty::Agent { service, backend } => {
                self.section("agent");
                self.key("fabric", fabric);
                self.key("service", service);
                self.key("backend", backend);
            }
        }
    }

    fn section(&mut self, name: &str) {
        self.line(format_args!("[{name}]"));
    }

    fn key(&mut self, key: &str, value: impl std::fmt::Display) {
        self.line(format_args!("{key} = {value}"));
    }

    fn line(&mut self, line: std::fmt::Arguments<'_>) {
        // Writing to a text can't fail.
        let _ = writeln!(self.0, "{line}");
    }
}

impl Duty {
    fn word(&self) -> &'static str {
        match self {
            Self::Control { .. } => "control",
            Self::Balancer => "balancer",
            Self::Agent { .. } => "agent",
        }
    }
}
