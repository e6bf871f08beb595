//! Settings of a process, as plain structs that an adapter fills.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

use buckthornweir_forward::backend::ColdBound;
use smol_str::SmolStr;

/// Settings that every process has.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the process, unlike all others.
    pub name: SmolStr,
    /// Failure domain of the VM.
    pub domain: SmolStr,
    /// Address of the VM.
    pub ip: Ipv4Addr,
    /// Address at which other processes reach this one, where address translation or a proxy stands
    /// between them.
    pub announced_ip: Option<Ipv4Addr>,
    /// Port for messages between processes, over UDP and TCP; the same on all VMs.
    pub peer_port: u16,
    /// Some control VMs; the others are learned from them.
    pub seeds: Vec<Ipv4Addr>,
    /// Address of the metrics page, if there is one.
    pub metrics: Option<SocketAddrV4>,
    /// What the process does.
    pub role: RoleSettings,
}

impl NodeSettings {
    /// Returns the address on which messages between processes arrive.
    #[must_use]
    pub fn peer_addr(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.peer_port)
    }

    /// Returns the address that other processes send messages to.
    #[must_use]
    pub fn announced_peer_addr(&self) -> SocketAddrV4 {
        self.announced_addr(self.peer_addr())
    }

    /// Returns the address at which other processes reach one of this process's own addresses.
    #[must_use]
    pub fn announced_addr(&self, own: SocketAddrV4) -> SocketAddrV4 {
        SocketAddrV4::new(self.announced_ip.unwrap_or(*own.ip()), own.port())
    }

    /// Returns the seeds' addresses for messages between processes.
    #[must_use]
    pub fn seed_addresses(&self) -> Vec<SocketAddrV4> {
        let seeds = self.seeds.iter();
        seeds
            .map(|ip| SocketAddrV4::new(*ip, self.peer_port))
            .collect()
    }
}

/// Settings of the one role of a process.
#[derive(Clone, Debug)]
pub enum RoleSettings {
    /// Forwards callers' packets to agents.
    Balancer(BalancerSettings),
    /// Stands between balancers and the backend server beside it.
    Agent(AgentSettings),
    /// Keeps the plan in a replicated log.
    Control(ControlSettings),
}

/// Settings of a balancer.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Where callers' packets arrive.
    pub packets: SocketAddrV4,
    /// How long a stopping balancer goes on at most.
    pub grace: Duration,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Where balancers and other agents send packets; its port is also that of callers.
    pub packets: SocketAddrV4,
    /// Where the backend server sends all its packets.
    pub outbound: SocketAddrV4,
    /// Where the backend server takes packets.
    pub backend: SocketAddrV4,
    /// Where the backend server takes TCP connections, if it does: one that refuses them has ended.
    pub health: Option<SocketAddrV4>,
    /// Service of the backend server.
    pub service: SmolStr,
    /// Time between two reports of the backend server.
    pub report_period: Duration,
    /// Bounds for a cold backend server.
    pub cold_bound: ColdBound,
}

/// Settings of a control VM.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Folder that survives a restart.
    pub data: PathBuf,
    /// Whether the VM may found the log.
    pub may_found: bool,
    /// Number of VMs that may be lost at once.
    pub fault_tolerance: usize,
}
