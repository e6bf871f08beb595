//! Nodes, backend servers and callers on the loopback addresses of a test.

use std::collections::{BTreeSet, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use buckthornweir_forward::backend::{ColdBound, Report, ReportState};
use buckthornweir_forward::plan::{
    Class, OverloadPolicy, Plan, RequestKind, Route, Service, Split,
};
use buckthornweir_forward::segment::Segment;
use buckthornweir_node::prelude::*;
use tokio::net::{TcpListener, UdpSocket};
use tokio_util::sync::CancellationToken;

use crate::format::{FORMAT, read, write};

pub(crate) const PEER_PORT: u16 = 17_720;
pub(crate) const PACKET_PORT: u16 = 17_730;
/// Number of test runs that can have distinct addresses.
const MAX_RUNS: u32 = 251;
pub(crate) const OUTBOUND_PORT: u16 = 17_731;
pub(crate) const METRICS_PORT: u16 = 17_733;
const BACKEND_PORT: u16 = 17_732;
/// Time limit for expected events. It is generous, since loaded machines are slow and no test
/// result depends on its length.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The same for a change of the voters, which takes several rounds of messages for each VM.
const VOTERS_TIMEOUT: Duration = Duration::from_secs(60);
const SERVICE_ADDR: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// A running node.
pub(crate) struct RunningNode {
    pub(crate) handle: Handle,
    pub(crate) stop: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

impl RunningNode {
    /// Performs a planned stop, and waits until the node's addresses are free.
    pub(crate) async fn stop(self) {
        self.handle.stop().await;
        let _ = self.task.await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    /// Aborts the node like a killed process, and waits until its addresses are free.
    pub(crate) async fn kill(self) {
        self.task.abort();
        let _ = self.task.await;
        self.stop.cancel();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The subnet of one test, which no other test uses: tests of one run are in the same process.
/// Its addresses are `127.<net>.<run>.<host>`, so that concurrent runs
/// don't collide.
#[derive(Clone, Copy)]
pub(crate) struct TestNet(u8);

/// The next subnet to be claimed.
static NEXT_NET: AtomicU8 = AtomicU8::new(81);

impl TestNet {
    pub(crate) fn claim() -> Self {
        Self(NEXT_NET.fetch_add(1, Ordering::Relaxed))
    }

    pub(crate) fn ip(self, host: u8) -> Ipv4Addr {
        let run = std::process::id() % MAX_RUNS;
        Ipv4Addr::new(127, self.0, run as u8, host)
    }

    fn peer_addr(self, host: u8) -> String {
        SocketAddrV4::new(self.ip(host), PEER_PORT).to_string()
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
            peer_port: PEER_PORT,
            seeds: [1, 2, 3].map(|seed| self.ip(seed)).to_vec(),
            metrics: None,
            role,
        }
    }

    pub(crate) async fn control(self, host: u8, data: &Path, may_found: bool) -> RunningNode {
        let role = RoleSettings::Control(ControlSettings {
            data: data.join(host.to_string()),
            may_found,
            fault_tolerance: 1,
        });
        start(self.settings(host, role)).await
    }

    pub(crate) async fn balancer(self, host: u8) -> RunningNode {
        self.hedging_balancer(host, 0.0).await
    }

    pub(crate) async fn hedging_balancer(self, host: u8, second_tries: f64) -> RunningNode {
        let role = RoleSettings::Balancer(BalancerSettings {
            packets: SocketAddrV4::new(self.ip(host), PACKET_PORT),
            grace: Duration::from_secs(2),
            second_tries,
        });
        start(self.settings(host, role)).await
    }

    pub(crate) async fn agent(self, host: u8) -> RunningNode {
        start(self.agent_settings(host)).await
    }

    /// Starts an agent whose backend server reports at this interval.
    pub(crate) async fn agent_with_reports(self, host: u8, period: Duration) -> RunningNode {
        let mut settings = self.agent_settings(host);
        if let RoleSettings::Agent(agent) = &mut settings.role {
            agent.report_period = period;
        }
        start(settings).await
    }

    /// Starts an agent that serves its metrics at [`METRICS_PORT`].
    pub(crate) async fn measured_agent(self, host: u8) -> RunningNode {
        let metrics = Some(SocketAddrV4::new(self.ip(host), METRICS_PORT));
        start(NodeSettings {
            metrics,
            ..self.agent_settings(host)
        })
        .await
    }

    fn agent_settings(self, host: u8) -> NodeSettings {
        let role = RoleSettings::Agent(AgentSettings {
            packets: SocketAddrV4::new(self.ip(host), PACKET_PORT),
            outbound: SocketAddrV4::new(self.ip(host), OUTBOUND_PORT),
            backend: SocketAddrV4::new(self.ip(host), BACKEND_PORT),
            health: Some(SocketAddrV4::new(self.ip(host), BACKEND_PORT)),
            service: "desk".into(),
            report_period: TIMEOUT,
            cold_bound: ColdBound {
                factor: 1.5,
                slack: 5.0,
            },
        });
        self.settings(host, role)
    }

    /// Starts a simulated backend server that responds to packets of flows whose SYN it received,
    /// and returns all others.
    pub(crate) fn backend(self, host: u8) -> tokio::task::JoinHandle<()> {
        self.slow_backend(host, Duration::ZERO)
    }

    /// Starts a simulated backend server that responds to requests after `service_time`.
    pub(crate) fn slow_backend(
        self,
        host: u8,
        service_time: Duration,
    ) -> tokio::task::JoinHandle<()> {
        let address = SocketAddrV4::new(self.ip(host), BACKEND_PORT);
        let outbound = SocketAddrV4::new(self.ip(host), OUTBOUND_PORT);
        tokio::spawn(async move {
            let _health = TcpListener::bind(address).await.expect("test setup failed");
            let socket = UdpSocket::bind(address).await.expect("test setup failed");
            let socket = Arc::new(socket);
            let mut flows = HashSet::new();
            let mut buffer = [0; 2_048];
            while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
                let segment = read(&buffer[..length]).expect("test setup failed");
                if segment.syn {
                    flows.insert(segment.source);
                }
                let reply = match flows.contains(&segment.source) {
                    true => response(&segment, host),
                    false => Segment {
                        returned: true,
                        ..segment
                    },
                };
                let socket = socket.clone();
                let send = async move {
                    let sent = socket.send_to(&write(&reply), outbound).await;
                    sent.expect("test setup failed");
                };
                if segment.length == 0 || service_time.is_zero() {
                    send.await;
                    continue;
                }
                tokio::spawn(async move {
                    tokio::time::sleep(service_time).await;
                    send.await;
                });
            }
        })
    }

    pub(crate) async fn caller(self, host: u8) -> Caller {
        let address = SocketAddrV4::new(self.ip(host), PACKET_PORT);
        Caller {
            socket: UdpSocket::bind(address).await.expect("test setup failed"),
            ip: self.ip(host),
        }
    }
}

/// Returns the response of backend server `host`, whose number is encoded in the sequence number.
fn response(segment: &Segment, host: u8) -> Segment {
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

/// A caller that can send through any balancer.
pub(crate) struct Caller {
    pub(crate) socket: UdpSocket,
    ip: Ipv4Addr,
}

impl Caller {
    pub(crate) fn packet(&self, port: u16) -> Segment {
        Segment {
            source: SocketAddrV4::new(self.ip, port),
            target: SERVICE_ADDR,
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

    /// Sends one SYN, which counts `retransmissions` earlier ones, and returns the response unless
    /// there is none within `limit`.
    pub(crate) async fn send_syn_once(
        &self,
        balancer: Ipv4Addr,
        port: u16,
        retransmissions: u32,
        limit: Duration,
    ) -> Option<Segment> {
        let syn = Segment {
            syn: true,
            acknowledged: retransmissions,
            ..self.packet(port)
        };
        let to = SocketAddrV4::new(balancer, PACKET_PORT);
        let sent = self.socket.send_to(&write(&syn), to).await;
        sent.expect("test setup failed");
        let mut buffer = [0; 2_048];
        let response = async {
            loop {
                let received = self.socket.recv_from(&mut buffer).await;
                let (length, _) = received.expect("test setup failed");
                let segment = read(&buffer[..length]).expect("test setup failed");
                if segment.target == syn.source {
                    return segment;
                }
            }
        };
        tokio::time::timeout(limit, response).await.ok()
    }

    /// Opens a flow through a balancer and returns the response to the SYN.
    pub(crate) async fn open(&self, balancer: Ipv4Addr, port: u16) -> Segment {
        let syn = Segment {
            syn: true,
            ..self.packet(port)
        };
        self.send(balancer, syn).await
    }

    /// Opens a flow and returns the response, which may be an RST.
    pub(crate) async fn try_open(&self, balancer: Ipv4Addr, port: u16) -> Segment {
        let syn = Segment {
            syn: true,
            ..self.packet(port)
        };
        self.send_until(balancer, syn, |response| response.syn || response.rst)
            .await
    }

    /// Sends a request on an open flow and returns the response.
    pub(crate) async fn request(&self, balancer: Ipv4Addr, port: u16, opened: &Segment) -> Segment {
        let request = Segment {
            length: 50,
            acknowledged: opened.sequence + 1,
            ..self.packet(port)
        };
        self.send(balancer, request).await
    }

    async fn send(&self, balancer: Ipv4Addr, segment: Segment) -> Segment {
        self.send_until(balancer, segment, |response| response.syn == segment.syn)
            .await
    }

    /// Retransmits a packet until a response of its flow matches.
    async fn send_until(
        &self,
        balancer: Ipv4Addr,
        segment: Segment,
        matches: impl Fn(&Segment) -> bool,
    ) -> Segment {
        let to = SocketAddrV4::new(balancer, PACKET_PORT);
        let mut buffer = [0; 2_048];
        let exchange = async {
            loop {
                self.socket
                    .send_to(&write(&segment), to)
                    .await
                    .expect("test setup failed");
                let delay = Duration::from_millis(200);
                let deadline = tokio::time::Instant::now() + delay;
                while let Ok(Ok((length, _))) =
                    tokio::time::timeout_at(deadline, self.socket.recv_from(&mut buffer)).await
                {
                    let received = read(&buffer[..length]).expect("test setup failed");
                    if received.target == segment.source && matches(&received) {
                        return received;
                    }
                }
            }
        };
        tokio::time::timeout(TIMEOUT, exchange)
            .await
            .expect("no response in time")
    }
}

/// Starts a node. Binding is retried, since the addresses of a killed node become free with a
/// delay.
async fn start(settings: NodeSettings) -> RunningNode {
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
    let (node, handle, stop) = tokio::time::timeout(TIMEOUT, bound)
        .await
        .expect("the addresses did not become free in time");
    RunningNode {
        handle,
        stop,
        task: tokio::spawn(node.run()),
    }
}

/// First version of a configuration whose service has an overload policy and idempotent requests.
pub(crate) const OVERLOAD_VERSION: u64 = 1_000;

/// First version of a configuration whose route also states a priority and an objective.
pub(crate) const OBJECTIVE_VERSION: u64 = 2_000;

/// The objective that such a route states.
const OBJECTIVE: Duration = Duration::from_millis(400);

/// Parses a configuration, which consists only of its version.
fn read_plan(text: &[u8]) -> Result<Plan, smol_str::SmolStr> {
    let text = std::str::from_utf8(text).map_err(|_| "no text")?;
    let version: u64 = text.trim().parse().map_err(|_| "no version")?;
    let overload = (version >= OVERLOAD_VERSION).then(OverloadPolicy::default);
    let kind = match overload {
        Some(_) => RequestKind::Idempotent,
        None => RequestKind::default(),
    };
    let splits = vec![Split {
        service: "desk".into(),
        weight: 1,
    }];
    let has_objective = version >= OBJECTIVE_VERSION;
    let class = Class {
        kind,
        priority: has_objective.then_some(1),
        objective: has_objective.then_some(OBJECTIVE),
        ..Class::default()
    };
    let route = Route { splits, class };
    let service = Service {
        overload,
        ..Service::default()
    };
    Ok(Plan {
        version,
        routes: [(SERVICE_ADDR, route)].into(),
        services: [("desk".into(), service)].into(),
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

/// Waits until each of these nodes knows that the control VMs with these hosts are the voters.
pub(crate) async fn await_voters(net: TestNet, nodes: &[RunningNode], hosts: &[u8]) {
    let addresses = hosts.iter().map(|host| net.peer_addr(*host));
    let expected: BTreeSet<String> = addresses.collect();
    let agreed = async {
        for node in nodes {
            let is_known = async || {
                let voters = node.handle.voters().await.into_iter();
                voters.map(String::from).collect::<BTreeSet<_>>() == expected
            };
            while !is_known().await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    };
    tokio::time::timeout(VOTERS_TIMEOUT, agreed)
        .await
        .expect("the VMs did not become the voters");
}

/// Submits an order to each node in turn until one accepts it, as an operator does.
pub(crate) async fn submit(nodes: &[&RunningNode], order: Order) {
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
    tokio::time::timeout(TIMEOUT, accepted)
        .await
        .expect("the order was not accepted in time");
}

/// Reads the newest version from each node in turn until one returns it, as an operator does.
pub(crate) async fn newest_version(nodes: &[&RunningNode]) -> u64 {
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
    tokio::time::timeout(TIMEOUT, version)
        .await
        .expect("no version was read in time")
}

pub(crate) async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait).await.expect(what);
}
