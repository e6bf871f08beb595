//! The event loop of a process.

mod binding;
mod fetching;
mod flow_metrics;
mod hedged_syns;
mod peer_messages;
mod requests;
mod traffic;

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use buckthornweir_events::{Gauge, LogRateLimiter, Metrics};
use buckthornweir_forward::agent::{Action, Agent, Offer, OverloadInputs, Question, View};
use buckthornweir_forward::backend::Presence;
use buckthornweir_forward::balancer::Balancer;
use buckthornweir_forward::hedging::Hedging;
use buckthornweir_forward::peers::Peers;
use buckthornweir_forward::segment::FlowKey;
use buckthornweir_members::{Filling, Roster};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use self::binding::{bind_peer_socket, bind_role, listen, serve_metrics};
use self::flow_metrics::announced_weight;
use crate::control::Replica;
use crate::fault::Result;
use crate::gossip::{Gossip, Outcome, Pull};
use crate::handle::{Handle, Request};
use crate::links::{self, Incoming};
use crate::messages::ToldFlow;
use crate::packets::{MAX_PACKET_BYTES, PacketFormat, PacketSocket};
use crate::plans::{Document, PlanReader, Plans};
use crate::settings::{NodeSettings, RoleSettings};

/// Maximum number of queued requests of the adapter.
const MAX_REQUESTS: usize = 256;

/// Maximum number of queued messages from connections, and of queued results of fetches.
const MAX_INCOMING: usize = 64;

/// Maximum sleep of the event loop.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// Interval at which an agent with pending lookups checks for expired ones.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(25);

/// Minimum interval between announcements of free slots.
const OFFER_PERIOD: Duration = Duration::from_millis(200);

/// Minimum interval between updates of the set of agents: an update takes 45 µs with 300 agents,
/// which change hundreds of times a second.
const PEERS_UPDATE_PERIOD: Duration = Duration::from_millis(20);

/// Time without packets after which a stopping balancer terminates. Routers stop sending after two
/// missed probes, which are half a second apart.
const QUIET_PERIOD: Duration = Duration::from_millis(1_500);

/// How long a stopping control VM waits for another one to become leader.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a stopping control VM waits at most until it is no longer a voter; below the grace period
/// of platforms.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for an agent's connection to its backend server, which runs on the same VM.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(50);

/// Delay before a leaving process terminates, so that its last messages are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of log lines about single flows per second; further ones are only counted.
const MAX_FLOW_LINES_PER_SECOND: u32 = 20;

/// The result of a background task.
enum Fetched {
    /// A newer plan, or `None` if no other process returned one.
    Plan(Option<Document>),
    /// The response of the process at this address to a roster request, or `None` if it failed.
    Roster(SocketAddr, Option<Roster>),
    /// Whether the backend server was present when its agent started.
    Backend(Presence),
}

enum Role {
    Balancer {
        core: Balancer,
        hedging: Box<Hedging>,
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

/// A process and its role.
pub struct Node {
    settings: NodeSettings,
    format: PacketFormat,
    metrics: Arc<Metrics>,
    started: Instant,
    gossip: Gossip,
    plans: Plans,
    peers: Peers,
    /// Whether members have changed since `peers` was updated.
    peers_stale: bool,
    next_refresh: Duration,
    peer_socket: UdpSocket,
    role: Role,
    ready: Arc<AtomicBool>,
    requests: mpsc::Receiver<Request>,
    incoming: mpsc::Receiver<Incoming>,
    fetched: (mpsc::Sender<Fetched>, mpsc::Receiver<Fetched>),
    /// Start of the plan fetch in flight.
    fetch_started: Option<Duration>,
    /// Newest announcement of a plan since that fetch started.
    pending_pull: Option<Pull>,
    stop: CancellationToken,
    stopping: Option<Duration>,
    last_packet: Duration,
    last_offer: Offer,
    next_offer: Duration,
    /// Time of the next update of the service time gauge.
    next_service_time: Duration,
    log_budget: LogRateLimiter,
    actions: Vec<Action>,
    /// Inputs of the agent's latest decision about a new flow, for the log line about the next
    /// action.
    explained: Option<(FlowKey, OverloadInputs)>,
    questions: Vec<(SocketAddrV4, Question)>,
    answers: Vec<(SocketAddrV4, ToldFlow)>,
    /// Time at which the queued questions and answers are sent.
    next_flush: Duration,
}

impl Node {
    /// Binds the sockets, and returns the process with its handle.
    ///
    /// # Errors
    ///
    /// Returns an error if the own record is invalid, the metrics can't be registered, or an
    /// address can't be bound.
    pub async fn bind(
        settings: NodeSettings,
        format: PacketFormat,
        reader: PlanReader,
        stop: CancellationToken,
    ) -> Result<(Self, Handle)> {
        let unix_time = unix_time();
        let gossip = Gossip::new(&settings, unix_time)?;
        let peer_socket = bind_peer_socket(&settings).await?;
        let metrics = Arc::new(Metrics::new()?);
        let started = Instant::now();
        let role = bind_role(&settings, gossip.node(), unix_time).await?;
        let listener = listen("links", settings.peer_addr()).await?;
        let (sender, incoming) = mpsc::channel(MAX_INCOMING);
        tokio::spawn(links::serve(listener, sender, stop.clone()));
        if let Some(address) = settings.metrics {
            let listener = listen("metrics", address).await?;
            tokio::spawn(serve_metrics(listener, metrics.clone(), stop.clone()));
        }
        let (sender, requests) = mpsc::channel(MAX_REQUESTS);
        let ready = Arc::new(AtomicBool::new(false));
        let handle = Handle {
            sender,
            ready: ready.clone(),
        };
        let node = Self {
            plans: Plans::new(reader),
            peers: Peers::default(),
            peers_stale: false,
            next_refresh: Duration::ZERO,
            format,
            metrics,
            started,
            gossip,
            peer_socket,
            role,
            ready,
            requests,
            incoming,
            fetched: mpsc::channel(MAX_INCOMING),
            fetch_started: None,
            pending_pull: None,
            stop,
            stopping: None,
            last_packet: Duration::ZERO,
            last_offer: Offer::default(),
            next_offer: Duration::ZERO,
            next_service_time: Duration::ZERO,
            log_budget: LogRateLimiter::new(MAX_FLOW_LINES_PER_SECOND),
            actions: Vec::new(),
            explained: None,
            questions: Vec::new(),
            answers: Vec::new(),
            next_flush: Duration::ZERO,
            settings,
        };
        Ok((node, handle))
    }

    /// Runs until a planned stop is complete or the token is cancelled.
    pub async fn run(mut self) {
        tracing::info!(event = "started", name = %self.settings.name, domain = %self.settings.domain);
        let mut buffer = [0; MAX_PACKET_BYTES];
        self.check_backend();
        // The first iteration must not sleep: it registers the sockets, which is required for
        // sending.
        let mut first = true;
        while !self.is_finished() {
            let pause = match first {
                true => Duration::ZERO,
                false => self.next_sleep(),
            };
            first = false;
            tokio::select! {
                biased;
                () = self.stop.cancelled() => break,
                () = readable(packet_socket(&self.role)) => self.read_packets(&mut buffer),
                () = readable(outbound_socket(&self.role)) => self.read_outbound(&mut buffer),
                _ = self.peer_socket.readable() => self.read_peer_messages(&mut buffer),
                Some(request) = self.requests.recv() => self.handle_request(request),
                Some(incoming) = self.incoming.recv() => self.handle_incoming(incoming),
                Some(fetched) = self.fetched.1.recv() => self.handle_fetched(fetched),
                () = tokio::time::sleep(pause) => {}
            }
            self.tick();
        }
        self.shut_down().await;
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the source address for connections to other processes, if it matters: a proxy
    /// between the processes identifies them by it.
    fn link_source(&self) -> Option<Ipv4Addr> {
        self.settings.announced_ip.map(|_| self.settings.ip)
    }

    fn next_sleep(&self) -> Duration {
        let now = self.now();
        let mut next = self.gossip.next_tick().min(now + MAX_SLEEP);
        match &self.role {
            Role::Control(replica) => next = next.min(replica.next_tick(now)),
            Role::Agent { core, .. } if core.is_waiting() => next = next.min(now + LOOKUP_INTERVAL),
            Role::Balancer { hedging, .. } => next = next.min(hedging.next_due().unwrap_or(next)),
            Role::Agent { .. } => {}
        }
        if self.peers_stale {
            next = next.min(self.next_refresh);
        }
        if !self.questions.is_empty() || !self.answers.is_empty() {
            next = next.min(self.next_flush);
        }
        next.saturating_sub(now).max(Duration::from_millis(1))
    }

    fn is_finished(&self) -> bool {
        let now = self.now();
        let Some(since) = self.stopping else {
            return false;
        };
        match &self.role {
            Role::Balancer { grace, .. } => {
                let quiet = now >= since.max(self.last_packet) + QUIET_PERIOD;
                quiet || now >= since + *grace
            }
            Role::Agent { .. } => true,
            Role::Control(replica) => {
                let limit = match replica.awaits_removal() {
                    true => REMOVAL_TIMEOUT,
                    false => TRANSFER_TIMEOUT,
                };
                now >= since + limit
            }
        }
    }

    async fn shut_down(&mut self) {
        let now = self.now();
        // If the backend server keeps running, the agent suspends itself, since it will return with
        // its flows. If it is unknown whether the backend server keeps running, the agent announces
        // nothing, like a control VM, and the other processes wait a short time for its return.
        let can_probe = health_addr(&self.settings).is_some();
        let reported = match &self.role {
            Role::Agent { core, .. } => match core.backend().presence(now) {
                // Its reports may have stopped while it keeps its flows.
                Presence::Gone if core.backend().is_present() && can_probe => Presence::Unknown,
                presence => presence,
            },
            Role::Balancer { .. } => Presence::Gone,
            Role::Control(_) => Presence::Unknown,
        };
        let presence = probe_backend(health_addr(&self.settings), reported).await;
        let leaves = presence == Presence::Gone;
        let suspends = presence == Presence::Reporting;
        if suspends {
            let outcome = self.gossip.suspend(now);
            self.apply(outcome);
        }
        if leaves {
            let outcome = self.gossip.leave(now);
            self.apply(outcome);
            tokio::time::sleep(FLUSH_DELAY).await;
        }
        tracing::info!(event = "stopped", left = leaves, comes_back = suspends);
        self.stop.cancel();
    }

    fn tick(&mut self) {
        let now = self.now();
        if now >= self.gossip.next_tick() {
            let outcome = self.gossip.tick(now);
            self.apply(outcome);
        }
        match &mut self.role {
            Role::Control(replica) if now >= replica.next_tick(now) => {
                let controls = self.gossip.control_addresses();
                let outbox = replica.tick(now, &controls);
                self.send_all(outbox);
                self.apply_committed();
            }
            Role::Agent { core, .. } => {
                let mut actions = std::mem::take(&mut self.actions);
                let view = agent_view(&self.plans, &self.peers, &self.gossip, now);
                core.tick(now, view, &mut actions);
                self.execute_all(actions, &mut [], None);
                self.announce_offer(now);
            }
            Role::Balancer { .. } => self.send_hedged_syns(now),
            Role::Control(_) => {}
        }
        self.flush_questions(now);
        self.refresh_peers(now);
        self.update_readiness();
        if let Some(left_out) = self.log_budget.take_suppressed(now) {
            tracing::warn!(event = "lines_left_out", count = left_out);
        }
    }

    /// Updates the set of agents, with a delay after the first change, since changes come in
    /// bursts.
    fn refresh_peers(&mut self, now: Duration) {
        self.peers_stale |= self.peers.has_away() && self.gossip.none_awaited(now);
        if !self.peers_stale || now < self.next_refresh {
            return;
        }
        self.peers_stale = false;
        self.next_refresh = now + PEERS_UPDATE_PERIOD;
        self.peers = self.gossip.peers(now);
        let alive = i64::try_from(self.gossip.alive()).unwrap_or(i64::MAX);
        self.metrics.set(Gauge::MembersAlive, alive);
    }

    fn update_readiness(&mut self) {
        let ready = match &self.role {
            Role::Balancer { .. } => {
                let can_route = self.plans.plan().is_known() && !self.peers.is_empty();
                // A balancer that joins running processes waits until it knows all members.
                let behind = self.gossip.filling() == Filling::Behind;
                can_route && !behind && self.stopping.is_none()
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

    /// Announces the agent's capacity for new flows, if it has changed.
    fn announce_offer(&mut self, now: Duration) {
        let Role::Agent { core, .. } = &mut self.role else {
            return;
        };
        let mut offer = core.offer(now, self.plans.plan());
        offer.accepts &= self.stopping.is_none();
        let report = core.backend().last_report().map(|r| r.sequence);
        self.set_gauges(now, offer);
        let before = self.last_offer;
        let public = |offer: Offer| (offer.accepts, offer.cold, announced_weight(offer));
        if public(offer) != public(before) {
            tracing::info!(
                event = "offer",
                accepts = offer.accepts,
                cold = offer.cold,
                free = offer.free,
                weight = announced_weight(offer),
                report,
            );
        } else if offer.free == before.free || now < self.next_offer {
            return;
        }
        self.next_offer = now + OFFER_PERIOD;
        self.last_offer = offer;
        let outcome = self.gossip.announce_offer(now, offer);
        self.apply(outcome);
    }

    fn apply(&mut self, outcome: Outcome) {
        for (to, message) in outcome.outbox {
            self.send(to, &message);
        }
        if outcome.members_changed {
            self.peers_stale = true;
        }
        for source in outcome.roster_sources {
            self.fetch_roster(source);
        }
        for pull in outcome.pulls {
            self.fetch_plan(pull);
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

/// Returns the current context for an agent's decisions.
fn agent_view<'a>(plans: &'a Plans, peers: &'a Peers, gossip: &Gossip, now: Duration) -> View<'a> {
    View {
        plan: plans.plan(),
        peers,
        grace_elapsed: gossip.knows_all_agents(now),
        peers_synced: gossip.is_complete(),
    }
}

fn packet_addr(settings: &NodeSettings) -> Option<SocketAddrV4> {
    match &settings.role {
        RoleSettings::Balancer(balancer) => Some(balancer.packets),
        RoleSettings::Agent(agent) => Some(agent.packets),
        RoleSettings::Control(_) => None,
    }
}

/// Returns the address on which an agent's backend server accepts TCP connections.
fn health_addr(settings: &NodeSettings) -> Option<SocketAddrV4> {
    match &settings.role {
        RoleSettings::Agent(agent) => agent.health,
        RoleSettings::Balancer(_) | RoleSettings::Control(_) => None,
    }
}

/// Returns whether the backend server is present. A connection attempt detects its end at once,
/// while `reported`, which is based on its reports, lags behind.
async fn probe_backend(health: Option<SocketAddrV4>, reported: Presence) -> Presence {
    let (Some(health), true) = (health, reported != Presence::Gone) else {
        return reported;
    };
    match tokio::time::timeout(HEALTH_TIMEOUT, TcpStream::connect(health)).await {
        Ok(Ok(_)) => Presence::Reporting,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Presence::Gone,
        Ok(Err(_)) | Err(_) => reported,
    }
}

fn packet_port(settings: &NodeSettings) -> u16 {
    packet_addr(settings).map_or(0, |address| address.port())
}

fn packet_socket(role: &Role) -> Option<&PacketSocket> {
    match role {
        Role::Balancer { packets, .. } | Role::Agent { packets, .. } => Some(packets),
        Role::Control(_) => None,
    }
}

fn outbound_socket(role: &Role) -> Option<&PacketSocket> {
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

fn unix_time() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default()
}
