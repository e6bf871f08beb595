//! Settings of a process, as plain structs that the platform adapter fills in.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

use buckthornweir_forward::backend::ColdBound;
use smol_str::SmolStr;

/// Settings of a process.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the process, unique in the region.
    pub name: SmolStr,
    /// Failure domain of the VM.
    pub domain: SmolStr,
    /// Address of the VM.
    pub ip: Ipv4Addr,
    /// Address at which other processes reach this one, if address translation or a proxy makes it
    /// differ from `ip`.
    pub announced_ip: Option<Ipv4Addr>,
    /// Port for peer messages over UDP and TCP; the same on all VMs.
    pub peer_port: u16,
    /// Addresses of some control VMs; the other processes are discovered through them.
    pub seeds: Vec<Ipv4Addr>,
    /// Address of the metrics endpoint, if there is one.
    pub metrics: Option<SocketAddrV4>,
    /// Role of the process.
    pub role: RoleSettings,
}

impl NodeSettings {
    /// Returns the address on which this process receives peer messages.
    #[must_use]
    pub fn peer_addr(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.peer_port)
    }

    /// Returns the address to which other processes send peer messages.
    #[must_use]
    pub fn announced_peer_addr(&self) -> SocketAddrV4 {
        self.announced_addr(self.peer_addr())
    }

    /// Returns the address at which other processes reach the local address `own`.
    #[must_use]
    pub fn announced_addr(&self, own: SocketAddrV4) -> SocketAddrV4 {
        SocketAddrV4::new(self.announced_ip.unwrap_or(*own.ip()), own.port())
    }

    /// Returns the seeds' addresses for peer messages.
    #[must_use]
    pub fn seed_addresses(&self) -> Vec<SocketAddrV4> {
        let seeds = self.seeds.iter();
        seeds
            .map(|ip| SocketAddrV4::new(*ip, self.peer_port))
            .collect()
    }
}

/// Settings of a process's role.
#[derive(Clone, Debug)]
pub enum RoleSettings {
    /// Forwards callers' packets to agents.
    Balancer(BalancerSettings),
    /// Relays packets between balancers and the backend server on the same VM.
    Agent(AgentSettings),
    /// Stores the plan in a replicated log.
    Control(ControlSettings),
}

/// Settings of a balancer.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Address on which callers' packets arrive.
    pub packets: SocketAddrV4,
    /// Maximum time for which a stopping balancer keeps forwarding.
    pub grace: Duration,
    /// Limit of hedged SYNs, as a share of new flows, for services whose overload policy states
    /// none; 0 disables them.
    pub second_tries: f64,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Address to which balancers and other agents send packets. Callers receive packets on the
    /// same port.
    pub packets: SocketAddrV4,
    /// Address to which the backend server sends all its packets.
    pub outbound: SocketAddrV4,
    /// Address on which the backend server receives packets.
    pub backend: SocketAddrV4,
    /// Address on which the backend server accepts TCP connections, if it does. A refused
    /// connection means that it has terminated.
    pub health: Option<SocketAddrV4>,
    /// Service of the backend server.
    pub service: SmolStr,
    /// Interval between reports of the backend server.
    pub report_period: Duration,
    /// Bound on new flows for a cold backend server.
    pub cold_bound: ColdBound,
}

/// Settings of a control VM.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Data folder, which must survive restarts.
    pub data: PathBuf,
    /// Whether this VM may found the log.
    pub may_found: bool,
    /// Number of simultaneous VM failures to tolerate.
    pub fault_tolerance: usize,
}
