//! The settings of a small deployment on loopback.

use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU16, Ordering};

use crate::hosts::Hosts;

/// The shared key of every deployment on loopback, in hexadecimal digits.
const CLUSTER_KEY: &str = "5b1d8c7e9f20314253647586978899aabbccddeeff00112233445566778899aa";

const GOSSIP: u16 = 7000;
const PACKETS: u16 = 7001;
const CONTROL: u16 = 7002;
const METRICS: u16 = 7003;
const FABRIC: u16 = 7004;

/// The first port that a process takes.
const FIRST_PORT: u16 = 10_000;

/// How many ports a process takes before it starts over.
const PORTS: u16 = 20_000;

/// Writes the settings of processes that know one another. Every process gets ports of its own.
#[derive(Clone, Debug)]
pub struct Plan {
    trusted: String,
    seeds: Vec<SocketAddr>,
    control: Vec<Addresses>,
    controls: usize,
    log: String,
    hosts: Option<Hosts>,
}

/// The addresses of one process.
#[derive(Clone, Copy, Debug)]
struct Addresses {
    gossip: SocketAddr,
    packets: SocketAddr,
    control: SocketAddr,
    metrics: SocketAddr,
    fabric: SocketAddr,
}

/// Where one planned process is reached.
#[derive(Clone, Debug)]
pub struct PlannedNode {
    /// Its name.
    pub name: String,
    /// Its settings, as INI text.
    pub settings: String,
    /// Where it takes links and operators.
    pub control: SocketAddr,
    /// Where it shows its metrics.
    pub metrics: SocketAddr,
    /// Where a balancer takes packets of the fabric.
    pub fabric: Option<SocketAddr>,
}

impl Plan {
    /// Returns a plan whose processes trust the signing key `trusted`, in hexadecimal digits.
    pub fn new(trusted: impl Into<String>) -> Self {
        Self {
            trusted: trusted.into(),
            seeds: Vec::new(),
            control: Vec::new(),
            controls: 0,
            log: "warn".into(),
            hosts: None,
        }
    }

    /// Gives every process an IP number of its own with the same ports, in place of ports of its
    /// own.
    #[must_use]
    pub fn with_hosts(mut self, hosts: Hosts) -> Self {
        self.hosts = Some(hosts);
        self
    }

    /// Sets how many control processes there will be; each call of [`Plan::control`] takes the next
    /// of their addresses.
    #[must_use]
    pub fn with_control(mut self, count: usize) -> Self {
        self.control = (0..count).map(|_| self.addresses()).collect();
        self
    }

    /// Sets the filter of the logs.
    #[must_use]
    pub fn with_log(mut self, filter: &str) -> Self {
        self.log = filter.into();
        self
    }

    /// Returns the key that all processes share, in hexadecimal digits.
    pub fn cluster_key(&self) -> &'static str {
        CLUSTER_KEY
    }

    /// Plans a balancer.
    pub fn balancer(&mut self, name: &str, domain: &str) -> PlannedNode {
        let addresses = self.addresses();
        let fabric = addresses.fabric;
        let role = format!("[balancer]\nfabric = {fabric}\n");
        let mut node = self.node(name, domain, "balancer", &role, None, &addresses);
        node.fabric = Some(fabric);
        node
    }

    /// Plans an agent beside the backend server at `backend`, whose answers go to `fabric`.
    pub fn agent(
        &mut self,
        name: &str,
        domain: &str,
        service: &str,
        backend: SocketAddr,
        fabric: SocketAddr,
    ) -> PlannedNode {
        let role =
            format!("[agent]\nfabric = {fabric}\nservice = {service}\nbackend = {backend}\n");
        let addresses = self.addresses();
        self.node(name, domain, "agent", &role, None, &addresses)
    }

    /// Plans a control process that keeps its state in `data`; each of them may found the log.
    pub fn control(&mut self, name: &str, domain: &str, data: &Path) -> PlannedNode {
        if self.control.is_empty() {
            let addresses = self.addresses();
            self.control.push(addresses);
        }
        let peers: Vec<String> = self.control.iter().map(|a| a.control.to_string()).collect();
        let role = format!("[control]\npeers = {}\nfound = yes\n", peers.join(", "));
        let addresses = self.control[self.controls % self.control.len()];
        self.controls += 1;
        self.node(name, domain, "control", &role, Some(data), &addresses)
    }

    fn addresses(&mut self) -> Addresses {
        match &mut self.hosts {
            Some(hosts) => Addresses::on(hosts.next_ip()),
            None => Addresses::free(),
        }
    }

    fn node(
        &mut self,
        name: &str,
        domain: &str,
        roles: &str,
        role: &str,
        data: Option<&Path>,
        addresses: &Addresses,
    ) -> PlannedNode {
        let Addresses {
            gossip,
            packets,
            control,
            metrics,
            ..
        } = *addresses;
        let mut text = format!("[node]\nname = {name}\nroles = {roles}\ndomain = {domain}\n");
        // Writing to a `String` cannot fail.
        let _ = writeln!(text, "gossip = {gossip}\npackets = {packets}");
        let _ = writeln!(text, "control = {control}\nmetrics = {metrics}");
        let _ = writeln!(text, "key = {CLUSTER_KEY}");
        if !self.seeds.is_empty() {
            let seeds: Vec<String> = self.seeds.iter().map(ToString::to_string).collect();
            let _ = writeln!(text, "seeds = {}", seeds.join(", "));
        }
        if let Some(data) = data {
            let _ = writeln!(text, "data = {}", data.display());
        }
        let _ = writeln!(text, "\n{role}\n[trust]\nkeys = {}", self.trusted);
        let _ = writeln!(text, "\n[log]\nfilter = {}", self.log);
        if self.seeds.len() < 3 {
            self.seeds.push(gossip);
        }
        PlannedNode {
            name: name.into(),
            settings: text,
            control,
            metrics,
            fabric: None,
        }
    }
}

impl Addresses {
    /// Returns the same ports on every IP number.
    fn on(ip: IpAddr) -> Self {
        Self {
            gossip: SocketAddr::new(ip, GOSSIP),
            packets: SocketAddr::new(ip, PACKETS),
            control: SocketAddr::new(ip, CONTROL),
            metrics: SocketAddr::new(ip, METRICS),
            fabric: SocketAddr::new(ip, FABRIC),
        }
    }

    /// Returns ports that were free a moment ago.
    fn free() -> Self {
        Self {
            gossip: free_udp(),
            packets: free_udp(),
            control: free_tcp(),
            metrics: free_tcp(),
            fabric: free_udp(),
        }
    }
}

/// Returns a loopback address with a UDP port that nothing else on the machine takes.
pub fn free_udp() -> SocketAddr {
    own_address()
}

/// Returns a loopback address with a TCP port that nothing else on the machine takes.
pub fn free_tcp() -> SocketAddr {
    own_address()
}

/// Returns the next port of this process's own loopback address. Each process has an address of its
/// own, and the ports are below those that the system gives to outgoing connections.
fn own_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let process = std::process::id();
    let [_, high, middle, low] = process.to_be_bytes();
    // 127.0.0.1 itself stays with everybody.
    let ip = Ipv4Addr::new(127, 1 + high % 64, middle, low.max(1));
    let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS;
    SocketAddr::new(IpAddr::V4(ip), port)
}
