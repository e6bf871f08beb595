//! The settings of a small deployment on loopback.

use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU16, Ordering};

/// The shared key of every deployment on loopback, in hexadecimal digits.
const CLUSTER_KEY: &str = "5b1d8c7e9f20314253647586978899aabbccddeeff00112233445566778899aa";

/// The first port that a process takes.
const FIRST_PORT: u16 = 10_000;

/// How many ports a process takes before it starts over.
const PORTS: u16 = 20_000;

/// Writes the settings of processes that know one another. Every process gets ports of its own.
#[derive(Clone, Debug)]
pub struct Plan {
    trusted: String,
    seeds: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    controls: usize,
    log: String,
    is_apart: bool,
}

/// The address that a process binds, and the one under which others reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The address that it binds.
    pub bind: SocketAddr,
    /// The address that it announces.
    pub announced: SocketAddr,
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
    /// Where it takes membership.
    pub gossip: Place,
    /// Where it takes packets of balancers and agents.
    pub packets: Place,
    /// Where it takes links.
    pub links: Place,
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
            peers: Vec::new(),
            controls: 0,
            log: "warn".into(),
            is_apart: false,
        }
    }

    /// Lets every process announce other addresses than it binds, so that a
    /// [`Wire`](crate::Wire) can stand between them.
    #[must_use]
    pub fn with_announced(mut self) -> Self {
        self.is_apart = true;
        self
    }

    /// Sets how many control processes there will be; each call of [`Plan::control`] takes the next
    /// of their addresses.
    #[must_use]
    pub fn with_control(mut self, count: usize) -> Self {
        self.peers = (0..count).map(|_| free_tcp()).collect();
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
        let fabric = free_udp();
        let role = format!("[balancer]\nfabric = {fabric}\n");
        let mut node = self.node(name, domain, "balancer", &role, None);
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
        let role = format!(
            "[agent]\nfabric = {fabric}\nservice = {service}\nbackend = {backend}\nfirst-start = yes\n"
        );
        self.node(name, domain, "agent", &role, None)
    }

    /// Plans a control process that keeps its state in `data`. The first one may found the log.
    pub fn control(&mut self, name: &str, domain: &str, data: &Path) -> PlannedNode {
        if self.peers.is_empty() {
            self.peers.push(free_tcp());
        }
        let at = self.controls.min(self.peers.len() - 1);
        self.controls += 1;
        let peers: Vec<String> = self.peers.iter().map(ToString::to_string).collect();
        let role = format!("[control]\npeers = {}\nfound = yes\n", peers.join(", "));
        let own = self.peers[at];
        self.node_at(own, name, domain, "control", &role, Some(data))
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
        let gossip = self.place(free_udp());
        let packets = self.place(free_udp());
        let links = self.place(links);
        let metrics = free_tcp();
        let mut text = format!("[node]\nname = {name}\nroles = {roles}\ndomain = {domain}\n");
        // Writing to a `String` cannot fail.
        text += &gossip.lines("gossip");
        text += &packets.lines("packets");
        text += &links.lines("control");
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

    /// Returns where a process takes what is sent to `announced`.
    fn place(&self, announced: SocketAddr) -> Place {
        let bind = if self.is_apart {
            own_address()
        } else {
            announced
        };
        Place { bind, announced }
    }
}

impl Place {
    /// Returns the lines of the settings.
    fn lines(self, key: &str) -> String {
        let Self { bind, announced } = self;
        let bound = format!("{key} = {bind}\n");
        if bind == announced {
            return bound;
        }
        format!("{bound}announce-{key} = {announced}\n")
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
