//! The settings of a small deployment on loopback.

use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU16, Ordering};

/// The cluster key of every deployment on loopback, as hexadecimal digits.
const CLUSTER_KEY: &str = "5b1d8c7e9f20314253647586978899aabbccddeeff00112233445566778899aa";

/// The first port that [`next_address`] returns.
const FIRST_PORT: u16 = 10_000;

/// Number of ports before [`next_address`] starts again at [`FIRST_PORT`].
const PORTS: u16 = 20_000;

/// Generates the settings of the processes of one deployment. Every process gets its own ports.
#[derive(Clone, Debug)]
pub struct Plan {
    trusted: String,
    seeds: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    next_control: usize,
    log: String,
    separate_addresses: bool,
}

/// The address that a process binds and the one that it announces to other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The address that the process binds.
    pub bind: SocketAddr,
    /// The address that the process announces.
    pub announced: SocketAddr,
}

/// The settings and addresses of one planned process.
#[derive(Clone, Debug)]
pub struct PlannedNode {
    /// The name of the process.
    pub name: String,
    /// The settings of the process, as INI text.
    pub settings: String,
    /// The address for operators, which is the bound address of `links`.
    pub control: SocketAddr,
    /// The addresses for membership gossip.
    pub gossip: Endpoint,
    /// The addresses for packets between balancers and agents.
    pub packets: Endpoint,
    /// The addresses for links from other processes.
    pub links: Endpoint,
    /// The address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// The address at which a balancer receives packets from the fabric.
    pub fabric: Option<SocketAddr>,
}

impl Plan {
    /// Returns a plan whose processes trust the signing key `trusted`, given as hexadecimal digits.
    pub fn new(trusted: impl Into<String>) -> Self {
        Self {
            trusted: trusted.into(),
            seeds: Vec::new(),
            peers: Vec::new(),
            next_control: 0,
            log: "warn".into(),
            separate_addresses: false,
        }
    }

    /// Makes every process announce other addresses than it binds, so that a
    /// [`Proxy`](crate::Proxy) can forward the traffic between them.
    #[must_use]
    pub fn with_announced(mut self) -> Self {
        self.separate_addresses = true;
        self
    }

    /// Sets the number of control processes. Each call of [`Plan::control`] uses the next of their
    /// addresses.
    #[must_use]
    pub fn with_control(mut self, count: usize) -> Self {
        self.peers = (0..count).map(|_| free_tcp()).collect();
        self
    }

    /// Sets the log filter of all processes.
    #[must_use]
    pub fn with_log(mut self, filter: &str) -> Self {
        self.log = filter.into();
        self
    }

    /// Returns the key that all processes share, as hexadecimal digits.
    pub fn cluster_key(&self) -> &'static str {
        CLUSTER_KEY
    }

    /// Plans a balancer.
    pub fn balancer(&mut self, name: &str, domain: &str) -> PlannedNode {
        let fabric = free_udp();
        let role = format!("[balancer]\nfabric = {fabric}\n");
        let mut node = self.node(name, domain, "balancer", &role, None);
        node.fabric = Some(fabric);
        node
    }

    /// Plans an agent for the backend server at `backend`. The agent sends packets for callers to
    /// `fabric`.
    pub fn agent(
        &mut self,
        name: &str,
        domain: &str,
        service: &str,
        backend: SocketAddr,
        fabric: SocketAddr,
    ) -> PlannedNode {
        let role = format!(
            "[agent]\nfabric = {fabric}\nservice = {service}\nbackend = {backend}\nfirst-start = yes\n"
        );
        self.node(name, domain, "agent", &role, None)
    }

    /// Plans a control process that stores its state in `data`. The first one may create the
    /// quorum's log.
    pub fn control(&mut self, name: &str, domain: &str, data: &Path) -> PlannedNode {
        if self.peers.is_empty() {
            self.peers.push(free_tcp());
        }
        let index = self.next_control.min(self.peers.len() - 1);
        self.next_control += 1;
        let peers: Vec<String> = self.peers.iter().map(ToString::to_string).collect();
        let role = format!("[control]\npeers = {}\nfound = yes\n", peers.join(", "));
        let links = self.peers[index];
        self.node_at(links, name, domain, "control", &role, Some(data))
    }

    fn node(
        &mut self,
        name: &str,
        domain: &str,
        roles: &str,
        role: &str,
        data: Option<&Path>,
    ) -> PlannedNode {
        self.node_at(free_tcp(), name, domain, roles, role, data)
    }

    fn node_at(
        &mut self,
        links: SocketAddr,
        name: &str,
        domain: &str,
        roles: &str,
        role: &str,
        data: Option<&Path>,
    ) -> PlannedNode {
        let gossip = self.endpoint(free_udp());
        let packets = self.endpoint(free_udp());
        let links = self.endpoint(links);
        let metrics = free_tcp();
        let mut text = format!("[node]\nname = {name}\nroles = {roles}\ndomain = {domain}\n");
        // Writing to a `String` cannot fail.
        text += &gossip.setting_lines("gossip");
        text += &packets.setting_lines("packets");
        text += &links.setting_lines("control");
        let _ = writeln!(text, "metrics = {metrics}");
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
            self.seeds.push(gossip.announced);
        }
        PlannedNode {
            name: name.into(),
            settings: text,
            control: links.bind,
            gossip,
            packets,
            links,
            metrics,
            fabric: None,
        }
    }

    /// Returns the addresses of a process that announces `announced`.
    fn endpoint(&self, announced: SocketAddr) -> Endpoint {
        let bind = if self.separate_addresses {
            next_address()
        } else {
            announced
        };
        Endpoint { bind, announced }
    }
}

impl Endpoint {
    /// Returns the lines for the settings.
    fn setting_lines(self, key: &str) -> String {
        let Self { bind, announced } = self;
        let bound = format!("{key} = {bind}\n");
        if bind == announced {
            return bound;
        }
        format!("{bound}announce-{key} = {announced}\n")
    }
}

/// Returns a loopback address with an unused UDP port.
pub fn free_udp() -> SocketAddr {
    next_address()
}

/// Returns a loopback address with an unused TCP port.
pub fn free_tcp() -> SocketAddr {
    next_address()
}

/// Returns this process's own loopback address with the next port.
///
/// The IP address is derived from the process id, so that processes which run at the same time use
/// different ones. The ports are below the range that the system uses for outgoing connections.
fn next_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let process = std::process::id();
    let [_, high, middle, low] = process.to_be_bytes();
    // The second octet is at least 1, which leaves 127.0.0.1 to other programs.
    let ip = Ipv4Addr::new(127, 1 + high % 64, middle, low.max(1));
    let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS;
    SocketAddr::new(IpAddr::V4(ip), port)
}
