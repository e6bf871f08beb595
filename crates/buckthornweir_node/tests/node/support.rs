//! Nodes on loopback addresses of one test.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;

use buckthornweir_forward::backend::{ColdBound, Report, ReportState};
use buckthornweir_forward::plan::{Plan, Route, Service, Split};
use buckthornweir_forward::segment::Segment;
use buckthornweir_node::prelude::*;
use tokio::net::{TcpListener, UdpSocket};
use tokio_util::sync::CancellationToken;

use crate::format::{FORMAT, read, write};

pub(crate) const INNER: u16 = 17_720;
pub(crate) const PACKETS: u16 = 17_730;
/// Runs of the tests that have addresses of their own.
const RUNS: u32 = 251;
pub(crate) const OUTBOUND: u16 = 17_731;
const BACKEND: u16 = 17_732;
/// How long a test waits for what must come; loaded machines are slow, and no verdict hangs on it.
const LIMIT: Duration = Duration::from_secs(20);
const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// A node that runs.
pub(crate) struct Running {
    pub(crate) handle: Handle,
    pub(crate) stop: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

impl Running {
    /// Stops the node as planned and waits until its addresses are free.
    pub(crate) async fn stop(self) {
        self.handle.stop().await;
        let _ = self.task.await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    /// Ends the node at once, as a kill does, and waits until its addresses are free.
    pub(crate) async fn kill(self) {
        self.task.abort();
        let _ = self.task.await;
        self.stop.cancel();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The addresses of one test: `127.<net>.<run>.<host>`, so that two runs at once don't meet.
#[derive(Clone, Copy)]
pub(crate) struct Net(pub(crate) u8);

impl Net {
    pub(crate) fn ip(self, host: u8) -> Ipv4Addr {
        let run = std::process::id() % RUNS;
        Ipv4Addr::new(127, self.0, run as u8, host)
    }

    fn settings(self, host: u8, role: RoleSettings) -> NodeSettings {
        NodeSettings {
            name: format!("node-{host}").into(),
            domain: if host.is_multiple_of(2) {
                "even"
            } else {
                "odd"
            }
            .into(),
            ip: self.ip(host),
            announced_ip: None,
            peer_port: INNER,
            seeds: [1, 2, 3].map(|seed| self.ip(seed)).to_vec(),
            metrics: None,
            role,
        }
    }

    pub(crate) async fn control(self, host: u8, data: &Path, may_found: bool) -> Running {
        let role = RoleSettings::Control(ControlSettings {
            data: data.join(host.to_string()),
            may_found,
            fault_tolerance: 1,
        });
        start(self.settings(host, role)).await
    }

    pub(crate) async fn balancer(self, host: u8) -> Running {
        let role = RoleSettings::Balancer(BalancerSettings {
            packets: SocketAddrV4::new(self.ip(host), PACKETS),
            grace: Duration::from_secs(2),
        });
        start(self.settings(host, role)).await
    }

    pub(crate) async fn agent(self, host: u8) -> Running {
        let role = RoleSettings::Agent(AgentSettings {
            packets: SocketAddrV4::new(self.ip(host), PACKETS),
            outbound: SocketAddrV4::new(self.ip(host), OUTBOUND),
            backend: SocketAddrV4::new(self.ip(host), BACKEND),
            health: Some(SocketAddrV4::new(self.ip(host), BACKEND)),
            service: "desk".into(),
            report_period: LIMIT,
            cold_bound: ColdBound {
                factor: 1.5,
                slack: 5.0,
            },
        });
        start(self.settings(host, role)).await
    }

    /// A backend server that ends flows, counts the SYNs that it took and returns what it doesn't hold.
    pub(crate) fn backend(self, host: u8) -> tokio::task::JoinHandle<()> {
        let address = SocketAddrV4::new(self.ip(host), BACKEND);
        let outbound = SocketAddrV4::new(self.ip(host), OUTBOUND);
        tokio::spawn(async move {
            let _health = TcpListener::bind(address)
                .await
                .expect("a working test set-up");
            let socket = UdpSocket::bind(address)
                .await
                .expect("a working test set-up");
            let mut flows = HashSet::new();
            let mut buffer = [0; 2_048];
            while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
                let segment = read(&buffer[..length]).expect("a working test set-up");
                if segment.syn {
                    flows.insert(segment.source);
                }
                let reply = match flows.contains(&segment.source) {
                    true => answer(&segment, host),
                    false => Segment {
                        returned: true,
                        ..segment
                    },
                };
                socket
                    .send_to(&write(&reply), outbound)
                    .await
                    .expect("a working test set-up");
            }
        })
    }

    pub(crate) async fn caller(self, host: u8) -> Caller {
        let address = SocketAddrV4::new(self.ip(host), PACKETS);
        Caller {
            socket: UdpSocket::bind(address)
                .await
                .expect("a working test set-up"),
            ip: self.ip(host),
        }
    }
}

/// The answer of backend server `host`: its number is in the sequence number.
fn answer(segment: &Segment, host: u8) -> Segment {
    Segment {
        source: segment.target,
        target: segment.source,
        sequence: u32::from(host) << 16,
        acknowledged: segment.sequence + 1,
        length: if segment.length > 0 { 100 } else { 0 },
        tag: 0,
        ..*segment
    }
}

/// A caller that speaks through any balancer.
pub(crate) struct Caller {
    socket: UdpSocket,
    ip: Ipv4Addr,
}

impl Caller {
    fn packet(&self, port: u16) -> Segment {
        Segment {
            source: SocketAddrV4::new(self.ip, port),
            target: SERVICE,
            syn: false,
            fin: false,
            rst: false,
            returned: false,
            sequence: 7,
            acknowledged: 0,
            length: 0,
            tag: 0,
        }
    }

    /// Opens a flow by way of a balancer; returns the answer to the SYN.
    pub(crate) async fn open(&self, balancer: Ipv4Addr, port: u16) -> Segment {
        let syn = Segment {
            syn: true,
            ..self.packet(port)
        };
        self.ask(balancer, syn).await
    }

    /// Opens a flow; returns the answer, or the reset.
    pub(crate) async fn open_any(&self, balancer: Ipv4Addr, port: u16) -> Segment {
        let syn = Segment {
            syn: true,
            ..self.packet(port)
        };
        self.ask_for(balancer, syn, |got| got.syn || got.rst).await
    }

    /// Sends a request on an open flow; returns the answer.
    pub(crate) async fn request(&self, balancer: Ipv4Addr, port: u16, opened: &Segment) -> Segment {
        let request = Segment {
            length: 50,
            acknowledged: opened.sequence + 1,
            ..self.packet(port)
        };
        self.ask(balancer, request).await
    }

    async fn ask(&self, balancer: Ipv4Addr, segment: Segment) -> Segment {
        self.ask_for(balancer, segment, |got| got.syn == segment.syn)
            .await
    }

    /// Sends a packet again and again until an answer to its flow comes.
    async fn ask_for(
        &self,
        balancer: Ipv4Addr,
        segment: Segment,
        fits: impl Fn(&Segment) -> bool,
    ) -> Segment {
        let to = SocketAddrV4::new(balancer, PACKETS);
        let mut buffer = [0; 2_048];
        let exchange = async {
            loop {
                self.socket
                    .send_to(&write(&segment), to)
                    .await
                    .expect("a working test set-up");
                let wait = Duration::from_millis(200);
                let until = tokio::time::Instant::now() + wait;
                while let Ok(Ok((length, _))) =
                    tokio::time::timeout_at(until, self.socket.recv_from(&mut buffer)).await
                {
                    let got = read(&buffer[..length]).expect("a working test set-up");
                    if got.target == segment.source && fits(&got) {
                        return got;
                    }
                }
            }
        };
        tokio::time::timeout(LIMIT, exchange)
            .await
            .expect("an answer")
    }
}

/// Starts a node; the addresses of one that was killed are free soon after.
async fn start(settings: NodeSettings) -> Running {
    let bound = async {
        loop {
            let stop = CancellationToken::new();
            match Node::bind(settings.clone(), FORMAT, read_plan, stop.clone()).await {
                Ok((node, handle)) => return (node, handle, stop),
                Err(_) => {
                    stop.cancel();
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    };
    let (node, handle, stop) = tokio::time::timeout(LIMIT, bound)
        .await
        .expect("the addresses are free");
    Running {
        handle,
        stop,
        task: tokio::spawn(node.run()),
    }
}

/// A configuration is one line: its version.
fn read_plan(text: &[u8]) -> Result<Plan, smol_str::SmolStr> {
    let text = std::str::from_utf8(text).map_err(|_| "no text")?;
    let version = text.trim().parse().map_err(|_| "no version")?;
    let splits = vec![Split {
        service: "desk".into(),
        weight: 1,
    }];
    Ok(Plan {
        version,
        routes: [(SERVICE, Route { splits })].into(),
        services: [("desk".into(), Service::default())].into(),
        ..Plan::default()
    })
}

pub(crate) fn order(version: u64) -> Order {
    Order::Replace {
        version,
        text: version.to_string().into_bytes(),
    }
}

pub(crate) fn report(sequence: u64, state: ReportState) -> Report {
    Report {
        id: "i-1".into(),
        born: 1,
        sequence,
        state,
        cold: Duration::ZERO,
        slots: 5,
    }
}

/// Gives an order to the nodes in turn, as an operator does, until it is accepted.
pub(crate) async fn give(nodes: &[&Running], order: Order) {
    let accepted = async {
        loop {
            for node in nodes {
                if node.handle.order(order.clone()).await == OrderOutcome::Accepted {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(LIMIT, accepted)
        .await
        .expect("accepted");
}

/// Reads the newest version from the nodes in turn, as an operator does.
pub(crate) async fn newest(nodes: &[&Running]) -> u64 {
    let version = async {
        loop {
            for node in nodes {
                if let ReadOutcome::Newest(document) = node.handle.read().await {
                    return document.version;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(LIMIT, version)
        .await
        .expect("a version")
}

pub(crate) async fn until(what: &str, mut done: impl FnMut() -> bool) {
    let wait = async {
        while !done() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(LIMIT, wait).await.expect(what);
}
