//! One process: its event loop.

mod binding;
mod fetching;
mod peer_messages;
mod requests;
mod traffic;

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use buckthornweir_events::{Gauge, LineBudget, Metrics};
use buckthornweir_forward::agent::{Action, Agent, Offer, Question, View};
use buckthornweir_forward::backend::Presence;
use buckthornweir_forward::balancer::Balancer;
use buckthornweir_forward::peers::Peers;
use buckthornweir_members::{Filling, Roster};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use self::binding::{bind_peer_socket, bind_role, listen, serve_metrics};
use crate::control::Replica;
use crate::fault::Result;
use crate::gossip::{Gossip, Outcome, Pull};
use crate::handle::{Handle, Request};
use crate::links::{self, Incoming};
use crate::messages::ToldFlow;
use crate::packets::{PACKET_LIMIT, PacketFormat, PacketSocket};
use crate::plans::{Document, PlanReader, Plans};
use crate::settings::{NodeSettings, RoleSettings};

/// Requests of the adapter that may wait.
const REQUESTS: usize = 256;

/// Messages over connections that may wait.
const INCOMING: usize = 64;

/// Longest sleep of the loop.
const LONGEST_SLEEP: Duration = Duration::from_millis(250);

/// How often an agent that awaits answers looks whether they are overdue.
const LOOKUP_TICK: Duration = Duration::from_millis(25);

/// How often free slots are announced at most.
const OFFER_PERIOD: Duration = Duration::from_millis(200);

/// How often the view of agents is worked out at most: 300 agents take 45 µs and change hundreds of times
/// a second.
const VIEW_PERIOD: Duration = Duration::from_millis(20);

/// A stopping balancer ends once no packet came for so long: a router takes two missed probes, half a
/// second apart, to notice.
const QUIET: Duration = Duration::from_millis(1_500);

/// How long a stopping control VM waits for another one to lead.
const TRANSFER: Duration = Duration::from_millis(400);

/// How long a stopping agent waits for a connection to its backend server, on the same VM.
const HEALTH_LIMIT: Duration = Duration::from_millis(50);

/// How long messages of a process that ends take to leave.
const FAREWELL: Duration = Duration::from_millis(20);

/// Lines about single flows in a second; more are counted.
const FLOW_LINES: u32 = 20;

/// What came from another process over a connection.
enum Fetched {
    /// A newer plan, unless nobody that was asked has one.
    Plan(Option<Document>),
    Roster(SocketAddr, Option<Roster>),
    /// Whether the backend server was there when its agent started.
    Backend(Presence),
}

enum Role {
    Balancer {
        core: Balancer,
        packets: PacketSocket,
        grace: Duration,
    },
    Agent {
        core: Box<Agent>,
        packets: PacketSocket,
        outbound: PacketSocket,
        backend: SocketAddrV4,
    },
    Control(Box<Replica>),
}

/// A process with its role.
pub struct Node {
    settings: NodeSettings,
    format: PacketFormat,
    metrics: Arc<Metrics>,
    started: Instant,
    gossip: Gossip,
    plans: Plans,
    peers: Peers,
    /// Whether members changed since the view of agents was worked out.
    stale: bool,
    next_view: Duration,
    inner: UdpSocket,
    role: Role,
    ready: Arc<AtomicBool>,
    requests: mpsc::Receiver<Request>,
    incoming: mpsc::Receiver<Incoming>,
    fetched: (mpsc::Sender<Fetched>, mpsc::Receiver<Fetched>),
    /// Since when a plan is being fetched.
    pulling: Option<Duration>,
    /// Who announced a plan since.
    next_pull: Option<Pull>,
    stop: CancellationToken,
    stopping: Option<Duration>,
    last_packet: Duration,
    offered: Offer,
    next_offer: Duration,
    lines: LineBudget,
    actions: Vec<Action>,
    asks: Vec<(SocketAddrV4, Question)>,
    tells: Vec<(SocketAddrV4, ToldFlow)>,
    /// When the questions and answers that wait are sent.
    next_asks: Duration,
}

impl Node {
    /// Takes the addresses of the settings and returns the process with its handle.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be taken.
    pub async fn bind(
        settings: NodeSettings,
        format: PacketFormat,
        reader: PlanReader,
        stop: CancellationToken,
    ) -> Result<(Self, Handle)> {
        let wall = wall();
        let gossip = Gossip::new(&settings, wall)?;
        let inner = bind_peer_socket(&settings).await?;
        let metrics = Arc::new(Metrics::new()?);
        let started = Instant::now();
        let role = bind_role(&settings, gossip.node(), wall).await?;
        let listener = listen("links", settings.peer_addr()).await?;
        let (sender, incoming) = mpsc::channel(INCOMING);
        tokio::spawn(links::serve(listener, sender, stop.clone()));
        if let Some(address) = settings.metrics {
            let listener = listen("metrics", address).await?;
            tokio::spawn(serve_metrics(listener, metrics.clone(), stop.clone()));
        }
        let (sender, requests) = mpsc::channel(REQUESTS);
        let ready = Arc::new(AtomicBool::new(false));
        let handle = Handle {
            sender,
            ready: ready.clone(),
        };
        let node = Self {
            plans: Plans::new(reader),
            peers: Peers::default(),
            stale: false,
            next_view: Duration::ZERO,
            format,
            metrics,
            started,
            gossip,
            inner,
            role,
            ready,
            requests,
            incoming,
            fetched: mpsc::channel(INCOMING),
            pulling: None,
            next_pull: None,
            stop,
            stopping: None,
            last_packet: Duration::ZERO,
            offered: Offer::default(),
            next_offer: Duration::ZERO,
            lines: LineBudget::new(FLOW_LINES),
            actions: Vec::new(),
            asks: Vec::new(),
            tells: Vec::new(),
            next_asks: Duration::ZERO,
            settings,
        };
        Ok((node, handle))
    }

    /// Runs until a planned stop has ended or the token is cancelled.
    pub async fn run(mut self) {
        tracing::info!(event = "started", name = %self.settings.name, domain = %self.settings.domain);
        let mut buffer = [0; PACKET_LIMIT];
        self.look_for_backend();
        // The first turn of the loop registers the sockets, which sends need.
        let mut first = true;
        while !self.is_over() {
            let sleep = match first {
                true => Duration::ZERO,
                false => self.sleep(),
            };
            first = false;
            tokio::select! {
                biased;
                () = self.stop.cancelled() => break,
                () = readable(packets_of(&self.role)) => self.read_packets(&mut buffer),
                () = readable(outbound_of(&self.role)) => self.read_outbound(&mut buffer),
                _ = self.inner.readable() => self.read_inner(&mut buffer),
                Some(request) = self.requests.recv() => self.request(request),
                Some(incoming) = self.incoming.recv() => self.incoming(incoming),
                Some(fetched) = self.fetched.1.recv() => self.take(fetched),
                () = tokio::time::sleep(sleep) => {}
            }
            self.tick();
        }
        self.end().await;
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the address that connections to other processes come from: what stands between them
    /// tells processes apart by it.
    fn link_source(&self) -> Option<Ipv4Addr> {
        self.settings.announced_ip.map(|_| self.settings.ip)
    }

    fn sleep(&self) -> Duration {
        let now = self.now();
        let mut next = self.gossip.next_tick().min(now + LONGEST_SLEEP);
        match &self.role {
            Role::Control(replica) => next = next.min(replica.next_tick(now)),
            Role::Agent { core, .. } if core.is_waiting() => next = next.min(now + LOOKUP_TICK),
            Role::Agent { .. } | Role::Balancer { .. } => {}
        }
        if self.stale {
            next = next.min(self.next_view);
        }
        if !self.asks.is_empty() || !self.tells.is_empty() {
            next = next.min(self.next_asks);
        }
        next.saturating_sub(now).max(Duration::from_millis(1))
    }

    fn is_over(&self) -> bool {
        let now = self.now();
        let Some(since) = self.stopping else {
            return false;
        };
        match &self.role {
            Role::Balancer { grace, .. } => {
                let quiet = now >= since.max(self.last_packet) + QUIET;
                quiet || now >= since + *grace
            }
            Role::Agent { .. } => true,
            Role::Control(_) => now >= since + TRANSFER,
        }
    }

    async fn end(&mut self) {
        let now = self.now();
        // An agent whose backend server stays comes back, and its flows with it. One that does not know
        // falls silent, as control does, and the others wait a moment for it.
        let reported = match &self.role {
            Role::Agent { core, .. } => core.backend().presence(now),
            Role::Balancer { .. } => Presence::Gone,
            Role::Control(_) => Presence::Unknown,
        };
        let presence = presence(health_address(&self.settings), reported).await;
        let leaves = presence == Presence::Gone;
        let suspends = presence == Presence::Reporting;
        if suspends {
            let outcome = self.gossip.suspend(now);
            self.carry_out(outcome);
        }
        if leaves {
            let outcome = self.gossip.leave(now);
            self.carry_out(outcome);
            tokio::time::sleep(FAREWELL).await;
        }
        tracing::info!(event = "stopped", left = leaves, comes_back = suspends);
        self.stop.cancel();
    }

    fn tick(&mut self) {
        let now = self.now();
        if now >= self.gossip.next_tick() {
            let outcome = self.gossip.tick(now);
            self.carry_out(outcome);
        }
        match &mut self.role {
            Role::Control(replica) if now >= replica.next_tick(now) => {
                let others = self.gossip.control_addresses();
                let sends = replica.tick(now, &others);
                self.send_all(sends);
                self.publish();
            }
            Role::Agent { core, .. } => {
                let mut actions = std::mem::take(&mut self.actions);
                let view = agent_view(&self.plans, &self.peers, &self.gossip, now);
                core.tick(now, view, &mut actions);
                self.act(actions, &mut [], None);
                self.offer(now);
            }
            Role::Control(_) | Role::Balancer { .. } => {}
        }
        self.ask(now);
        self.renew_view(now);
        self.show();
        if let Some(left_out) = self.lines.overdue(now) {
            tracing::warn!(event = "lines_left_out", count = left_out);
        }
    }

    /// Works the view of agents out anew, some time after the first change: changes come in crowds.
    fn renew_view(&mut self, now: Duration) {
        self.stale |= self.peers.has_away() && self.gossip.none_awaited(now);
        if !self.stale || now < self.next_view {
            return;
        }
        self.stale = false;
        self.next_view = now + VIEW_PERIOD;
        self.peers = self.gossip.peers(now);
        let alive = i64::try_from(self.gossip.alive()).unwrap_or(i64::MAX);
        self.metrics.set(Gauge::MembersAlive, alive);
    }

    fn show(&mut self) {
        let ready = match &self.role {
            Role::Balancer { .. } => {
                let known = self.plans.plan().is_known() && !self.peers.is_empty();
                // A balancer that joins others waits for the members that these know.
                let behind = self.gossip.filling() == Filling::Behind;
                known && !behind && self.stopping.is_none()
            }
            Role::Agent { .. } | Role::Control(_) => self.stopping.is_none(),
        };
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            tracing::info!(
                event = "readiness",
                ready,
                revision = self.plans.plan().revision
            );
        }
    }

    /// Announces whether the agent takes new flows.
    fn offer(&mut self, now: Duration) {
        let Role::Agent { core, .. } = &mut self.role else {
            return;
        };
        let mut offer = core.offer(now, self.plans.plan());
        offer.accepts &= self.stopping.is_none();
        let before = self.offered;
        if (offer.accepts, offer.cold) != (before.accepts, before.cold) {
            tracing::info!(
                event = "offer",
                accepts = offer.accepts,
                cold = offer.cold,
                free = offer.free,
                report = core.backend().last_report().map(|r| r.sequence),
            );
        } else if offer.free == before.free || now < self.next_offer {
            return;
        }
        self.next_offer = now + OFFER_PERIOD;
        self.offered = offer;
        let outcome = self.gossip.announce_offer(now, offer);
        self.carry_out(outcome);
    }

    fn carry_out(&mut self, outcome: Outcome) {
        for (to, message) in outcome.sends {
            self.send(to, &message);
        }
        if outcome.changed {
            self.stale = true;
        }
        for teller in outcome.rosters {
            self.fetch_roster(teller);
        }
        for pull in outcome.pulls {
            self.pull(pull);
        }
    }
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Node")
            .field("name", &self.settings.name)
            .finish_non_exhaustive()
    }
}

/// Returns what an agent decides by at this moment.
fn agent_view<'a>(plans: &'a Plans, peers: &'a Peers, gossip: &Gossip, now: Duration) -> View<'a> {
    View {
        plan: plans.plan(),
        peers,
        grace_elapsed: gossip.knows_agents(now),
        peers_synced: gossip.is_whole(),
    }
}

fn packets_address(settings: &NodeSettings) -> Option<SocketAddrV4> {
    match &settings.role {
        RoleSettings::Balancer(balancer) => Some(balancer.packets),
        RoleSettings::Agent(agent) => Some(agent.packets),
        RoleSettings::Control(_) => None,
    }
}

/// Returns where the backend server of an agent takes TCP connections.
fn health_address(settings: &NodeSettings) -> Option<SocketAddrV4> {
    match &settings.role {
        RoleSettings::Agent(agent) => agent.health,
        RoleSettings::Balancer(_) | RoleSettings::Control(_) => None,
    }
}

/// Returns whether a backend server is there: its reports tell late that it has ended, a connection
/// tells at once.
async fn presence(health: Option<SocketAddrV4>, reported: Presence) -> Presence {
    let (Some(health), true) = (health, reported != Presence::Gone) else {
        return reported;
    };
    match tokio::time::timeout(HEALTH_LIMIT, TcpStream::connect(health)).await {
        Ok(Ok(_)) => Presence::Reporting,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Presence::Gone,
        Ok(Err(_)) | Err(_) => reported,
    }
}

fn port_of(settings: &NodeSettings) -> u16 {
    packets_address(settings).map_or(0, |address| address.port())
}

fn packets_of(role: &Role) -> Option<&PacketSocket> {
    match role {
        Role::Balancer { packets, .. } | Role::Agent { packets, .. } => Some(packets),
        Role::Control(_) => None,
    }
}

fn outbound_of(role: &Role) -> Option<&PacketSocket> {
    match role {
        Role::Agent { outbound, .. } => Some(outbound),
        Role::Balancer { .. } | Role::Control(_) => None,
    }
}

async fn readable(socket: Option<&PacketSocket>) {
    match socket {
        Some(socket) => socket.readable().await,
        None => std::future::pending().await,
    }
}

fn wall() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default()
}
