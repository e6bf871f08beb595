//! One process: its event loop.

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use buckthornweir_events::{Count, Gauge, LineBudget, Metrics, Span};
use buckthornweir_forward::agent::{
    Action, Agent, AgentLimits, Answer, DropReason, Offer, Question, View,
};
use buckthornweir_forward::balancer::{Balancer, Choice, Loss};
use buckthornweir_forward::peers::Peers;
use buckthornweir_forward::segment::Segment;
use prost::Message as _;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::control::{OrderOutcome, ReadOutcome, Replica, Sends};
use crate::fault::{NodeError, Result};
use crate::gossip::{Gossip, Outcome, Pull};
use crate::handle::{Handle, Request};
use crate::http_server::serve_http;
use crate::links::{self, Incoming};
use crate::messages::{
    ASKED_FLOWS, AskMessage, AskedFlow, DATAGRAM_LIMIT, HintMessage, PeerBody, PeerMessage,
    PlanMessage, RosterMessage, TellMessage, ToldFlow, pack, reply_number, reply_of, unpack,
};
use crate::packets::{BATCH, PACKET_LIMIT, PacketFormat, PacketSocket};
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

/// How long messages of a process that ends take to leave.
const FAREWELL: Duration = Duration::from_millis(20);

/// Lines about single flows in a second; more are counted.
const FLOW_LINES: u32 = 20;

/// Pauses before each fetch of all members after the start.
const ROSTER_PAUSES: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(300),
    Duration::from_millis(600),
    Duration::from_millis(1_500),
];

/// Largest request of a metrics reader, in bytes.
const METRICS_BODY: usize = 1_024;

/// What came from another process over a connection.
enum Fetched {
    Plan(Document),
    Roster(SocketAddr, RosterMessage),
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
    stop: CancellationToken,
    stopping: Option<Duration>,
    last_packet: Duration,
    offered: Offer,
    next_offer: Duration,
    lines: LineBudget,
    actions: Vec<Action>,
    asks: Vec<(SocketAddrV4, Question)>,
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
        let inner = bind_inner(&settings).await?;
        let metrics = Arc::new(Metrics::new()?);
        let started = Instant::now();
        let role = bind_role(&settings, gossip.node(), wall).await?;
        let listener = listen("links", settings.inner()).await?;
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
            stop,
            stopping: None,
            last_packet: Duration::ZERO,
            offered: Offer::default(),
            next_offer: Duration::ZERO,
            lines: LineBudget::new(FLOW_LINES),
            actions: Vec::new(),
            asks: Vec::new(),
            settings,
        };
        Ok((node, handle))
    }

    /// Runs until a planned stop has ended or the token is cancelled.
    pub async fn run(mut self) {
        tracing::info!(event = "started", name = %self.settings.name, domain = %self.settings.domain);
        let mut buffer = [0; PACKET_LIMIT];
        self.fetch_rosters();
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
        // An agent whose backend server stays comes back at once, and its flows with it.
        let leaves = match &self.role {
            Role::Agent { core, .. } => !core.backend().is_present(),
            Role::Balancer { .. } => true,
            Role::Control(_) => false,
        };
        if leaves {
            let outcome = self.gossip.leave(now);
            self.carry_out(outcome);
            tokio::time::sleep(FAREWELL).await;
        }
        tracing::info!(event = "stopped", left = leaves);
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
                let view = View {
                    plan: self.plans.plan(),
                    peers: &self.peers,
                    complete: self.gossip.knows_agents(now),
                };
                core.tick(now, view, &mut actions);
                self.act(actions, &mut [], None);
                self.offer(now);
            }
            Role::Control(_) | Role::Balancer { .. } => {}
        }
        self.ask();
        self.renew_view(now);
        self.show();
        if let Some(left_out) = self.lines.overdue(now) {
            tracing::warn!(event = "lines_left_out", count = left_out);
        }
    }

    /// Works the view of agents out anew, some time after the first change: changes come in crowds.
    fn renew_view(&mut self, now: Duration) {
        if !self.stale || now < self.next_view {
            return;
        }
        self.stale = false;
        self.next_view = now + VIEW_PERIOD;
        self.peers = self.gossip.peers();
        let alive = i64::try_from(self.gossip.alive()).unwrap_or(i64::MAX);
        self.metrics.set(Gauge::MembersAlive, alive);
    }

    fn show(&mut self) {
        let ready = match &self.role {
            Role::Balancer { .. } => {
                let known = self.plans.plan().is_known() && self.peers.iter().next().is_some();
                known && self.stopping.is_none()
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
        for pull in outcome.pulls {
            self.pull(pull);
        }
    }

    /// Fetches a newer plan, from another holder when the first one does not answer.
    fn pull(&self, pull: Pull) {
        let above = self.plans.document().revision;
        let spare = self.gossip.holder_above(above, pull.from);
        let done = self.fetched.0.clone();
        tokio::spawn(async move {
            for holder in std::iter::once(pull.from).chain(spare) {
                match links::pull(holder, above).await {
                    Ok(Some(plan)) => {
                        // The loop that would take it has ended.
                        let _ = done.send(Fetched::Plan(plan.into())).await;
                        return;
                    }
                    Ok(None) => {}
                    Err(error) => {
                        tracing::info!(event = "pull_failed", %holder, above, %error);
                    }
                }
            }
        });
    }

    /// Fetches all members from the seeds, several times: after a start of all VMs the first answers name
    /// few.
    fn fetch_rosters(&self) {
        let own = self.settings.inner();
        let seeds = self.settings.seed_addresses().into_iter();
        let seeds: Vec<_> = seeds.filter(|s| *s != own).map(SocketAddr::V4).collect();
        let done = self.fetched.0.clone();
        let stop = self.stop.clone();
        tokio::spawn(async move {
            for (pause, seed) in ROSTER_PAUSES.into_iter().zip(seeds.iter().cycle()) {
                tokio::select! {
                    () = stop.cancelled() => return,
                    () = tokio::time::sleep(pause) => {}
                }
                match links::roster(*seed).await {
                    // The loop that would take it may have ended.
                    Ok(roster) => drop(done.send(Fetched::Roster(*seed, roster)).await),
                    Err(error) => tracing::info!(event = "roster_failed", %seed, %error),
                }
            }
        });
    }

    fn take(&mut self, fetched: Fetched) {
        match fetched {
            Fetched::Plan(document) => self.apply(document),
            Fetched::Roster(from, roster) => {
                let now = self.now();
                for bytes in roster.messages {
                    let outcome = self.gossip.handle(now, from, &bytes);
                    self.carry_out(outcome);
                }
            }
        }
    }

    /// Puts a document in force and announces it.
    fn apply(&mut self, document: Document) {
        let stamp = document.stamp();
        if !self.plans.apply(document) {
            return;
        }
        let now = self.now();
        self.metrics.count(Count::BundlesApplied);
        let version = self.plans.plan().version;
        self.metrics.set(
            Gauge::BundleVersion,
            i64::try_from(version).unwrap_or(i64::MAX),
        );
        if let Role::Agent { core, .. } = &mut self.role {
            core.apply(now, self.plans.plan());
        }
        let outcome = self.gossip.announce_plan(now, stamp);
        self.carry_out(outcome);
    }

    /// Puts what the own log has committed in force.
    fn publish(&mut self) {
        let Role::Control(replica) = &self.role else {
            return;
        };
        if let Some(document) = replica.document_above(self.plans.document().revision) {
            self.apply(document);
        }
    }

    fn request(&mut self, request: Request) {
        let now = self.now();
        match request {
            Request::Report(report, done) => {
                if let Role::Agent { core, .. } = &mut self.role {
                    let mut actions = std::mem::take(&mut self.actions);
                    let before = core.backend().last_report().cloned();
                    let reported = core.report(now, report.clone(), &mut actions);
                    let same = before.as_ref().is_some_and(|b| {
                        b.born == report.born && b.state == report.state && b.id == report.id
                    });
                    if !same {
                        tracing::info!(event = "backend_report", ?report, ?reported);
                    }
                    self.act(actions, &mut [], None);
                    self.offer(now);
                }
                // The backend server may have hung up.
                let _ = done.send(());
            }
            Request::Leave(id, done) => {
                if let Role::Agent { core, .. } = &mut self.role {
                    tracing::info!(event = "backend_left", %id);
                    core.leave(&id);
                    self.offer(now);
                }
                // The backend server may have hung up.
                let _ = done.send(());
            }
            Request::Order(order, done) => match &mut self.role {
                Role::Control(replica) => {
                    let sends = replica.order(now, order, done);
                    self.send_all(sends);
                    self.publish();
                }
                // The operator may have hung up.
                _ => drop(done.send(OrderOutcome::Unavailable)),
            },
            Request::Read(done) => match &mut self.role {
                Role::Control(replica) => {
                    let sends = replica.read(now, done);
                    self.send_all(sends);
                }
                // The operator may have hung up.
                _ => drop(done.send(ReadOutcome::Unavailable)),
            },
            Request::Reload(settings) => self.reload(*settings),
            Request::Stop => self.begin_stop(now),
        }
    }

    fn reload(&mut self, settings: NodeSettings) {
        tracing::info!(event = "reloaded", seeds = ?settings.seeds);
        self.gossip.set_seeds(&settings);
        if let Role::Control(replica) = &mut self.role {
            replica.set_seeds(&settings);
        }
        self.settings.seeds = settings.seeds;
    }

    fn begin_stop(&mut self, now: Duration) {
        if self.stopping.is_some() {
            return;
        }
        tracing::info!(event = "stopping");
        self.stopping = Some(now);
        if let Role::Control(replica) = &mut self.role {
            let sends = replica.leave(now);
            self.send_all(sends);
        }
    }

    fn incoming(&mut self, incoming: Incoming) {
        match incoming.body {
            PeerBody::PlanRequest(request) => {
                let document = self.plans.document();
                let plan = match document.revision > request.above {
                    true => PlanMessage::from(&**document),
                    false => PlanMessage::default(),
                };
                // The asker may have given up.
                let _ = incoming.answer.send(PeerBody::Plan(plan));
            }
            PeerBody::RosterRequest(_) => {
                let messages = self.gossip.roster();
                // The asker may have given up.
                let _ = incoming
                    .answer
                    .send(PeerBody::Roster(RosterMessage { messages }));
            }
            body => self.message(incoming.from, body),
        }
    }

    fn read_inner(&mut self, buffer: &mut [u8]) {
        for _ in 0..BATCH {
            let Ok((length, from)) = self.inner.try_recv_from(buffer) else {
                return;
            };
            self.metrics.count_by(Count::ControlBytesIn, length as u64);
            match PeerMessage::decode(&buffer[..length]) {
                Ok(PeerMessage { body: Some(body) }) => self.message(from, body),
                _ => self.metrics.count(Count::DatagramsMalformed),
            }
        }
    }

    fn message(&mut self, from: SocketAddr, body: PeerBody) {
        let now = self.now();
        let sends = match (&mut self.role, body) {
            (_, PeerBody::Members(bytes)) => {
                let outcome = self.gossip.handle(now, from, &bytes);
                return self.carry_out(outcome);
            }
            (Role::Agent { core, .. }, PeerBody::Ask(ask)) => {
                let told = |asked: &AskedFlow| ToldFlow {
                    flow: asked.flow,
                    reply: reply_number(core.answer(&(*asked).into())),
                };
                let tell = TellMessage {
                    agent: packets_address(&self.settings).map_or(0, pack),
                    known: self.peers.fingerprint(),
                    flows: ask.flows.iter().take(ASKED_FLOWS).map(told).collect(),
                };
                let to = SocketAddr::V4(unpack(ask.asker));
                return self.send(to, &PeerMessage::of(PeerBody::Tell(tell)));
            }
            (Role::Agent { .. }, PeerBody::Tell(tell)) => return self.told(now, &tell),
            (Role::Agent { core, .. }, PeerBody::Hint(hint)) => {
                return core.hint(hint.flow.into(), unpack(hint.agent));
            }
            (Role::Balancer { core, .. }, PeerBody::Hint(hint)) => {
                return core.hint(now, hint.flow.into(), unpack(hint.agent));
            }
            (Role::Control(replica), PeerBody::Quorum(frame)) => replica.quorum(now, frame),
            (Role::Control(replica), PeerBody::Presence(bytes)) => replica.presence(now, bytes),
            (Role::Control(replica), PeerBody::Expelled(notice)) => {
                replica.expelled(now, notice);
                Sends::new()
            }
            _ => return self.metrics.count(Count::DatagramsMalformed),
        };
        self.send_all(sends);
        self.publish();
    }

    /// Takes another agent's answers.
    fn told(&mut self, now: Duration, tell: &TellMessage) {
        let Role::Agent { core, .. } = &mut self.role else {
            return;
        };
        let view = View {
            plan: self.plans.plan(),
            peers: &self.peers,
            complete: self.gossip.knows_agents(now),
        };
        let mut actions = std::mem::take(&mut self.actions);
        for told in &tell.flows {
            if let Some(reply) = reply_of(told.reply) {
                let answer = Answer {
                    agent: unpack(tell.agent),
                    reply,
                    known: tell.known,
                };
                core.answered(now, view, told.flow.into(), answer, &mut actions);
            }
        }
        self.act(actions, &mut [], None);
    }

    /// Sends the questions that came up in this turn of the loop. Many come up at once after a restart
    /// of many VMs; each agent then gets a few datagrams, not one for each flow.
    fn ask(&mut self) {
        let mut by_agent: BTreeMap<SocketAddrV4, Vec<AskedFlow>> = BTreeMap::new();
        for (to, question) in self.asks.drain(..) {
            by_agent.entry(to).or_default().push(question.into());
        }
        let asker = pack(self.settings.inner());
        for (to, flows) in by_agent {
            for part in flows.chunks(ASKED_FLOWS) {
                let flows = part.to_vec();
                let ask = AskMessage { asker, flows };
                self.send(SocketAddr::V4(to), &PeerMessage::of(PeerBody::Ask(ask)));
            }
        }
    }

    fn send_all(&self, sends: Sends) {
        for (to, body) in sends {
            self.send(to, &PeerMessage::of(body));
        }
    }

    /// Sends a message: in a datagram if it fits, else over a connection of its own.
    fn send(&self, to: SocketAddr, message: &PeerMessage) {
        let bytes = message.encode_to_vec();
        self.metrics
            .count_by(Count::ControlBytesOut, bytes.len() as u64);
        if bytes.len() <= DATAGRAM_LIMIT {
            if self.inner.try_send_to(&bytes, to).is_err() {
                self.metrics.count(Count::DatagramsUnsent);
            }
            return;
        }
        if let Some(body) = message.body.clone() {
            tokio::spawn(async move {
                if let Err(error) = links::send(to, body).await {
                    tracing::debug!(event = "link_failed", %to, %error);
                }
            });
        }
    }

    fn read_packets(&mut self, buffer: &mut [u8]) {
        let now = self.now();
        for _ in 0..BATCH {
            let received = match &self.role {
                Role::Balancer { packets, .. } | Role::Agent { packets, .. } => {
                    packets.receive(buffer)
                }
                Role::Control(_) => None,
            };
            let Some((bytes, from)) = received else {
                return;
            };
            self.last_packet = now;
            self.metrics.count(Count::PacketsIn);
            let Some(segment) = (self.format.read)(bytes) else {
                self.metrics.count(Count::PacketsMalformed);
                continue;
            };
            match &mut self.role {
                Role::Balancer { core, .. } => {
                    let choice = core.route(now, self.plans.plan(), &self.peers, &segment);
                    self.forward(&choice, &segment, bytes);
                }
                Role::Agent { core, .. } => {
                    let view = View {
                        plan: self.plans.plan(),
                        peers: &self.peers,
                        complete: self.gossip.knows_agents(now),
                    };
                    let mut actions = std::mem::take(&mut self.actions);
                    core.caller_packet(now, view, from, &segment, bytes, &mut actions);
                    self.act(actions, bytes, Some(&segment));
                }
                Role::Control(_) => {}
            }
        }
    }

    fn forward(&mut self, choice: &Choice, segment: &Segment, bytes: &mut [u8]) {
        let Role::Balancer { packets, .. } = &self.role else {
            return;
        };
        let now = self.started.elapsed();
        match choice {
            Choice::Forward { to, tag } => {
                (self.format.mark)(bytes, tag.word());
                packets.send(bytes, *to, &self.metrics);
                self.metrics.count(Count::PacketsForwarded);
                if segment.syn && self.lines.take(now) {
                    tracing::info!(
                        event = "flow_placed",
                        flow = %segment.from_caller(),
                        agent = %to,
                        copies = segment.copies(),
                        aside = tag.aside,
                        revision = self.plans.plan().revision,
                    );
                }
            }
            Choice::Reset(loss) => {
                let key = segment.from_caller();
                let reset = (self.format.reset)(&key, segment.acknowledged);
                let port = packets_address(&self.settings).map_or(0, |a| a.port());
                let caller = SocketAddrV4::new(*key.caller.ip(), port);
                packets.send(&reset, caller, &self.metrics);
                self.metrics.count(Count::FlowsUnowned);
                self.log_loss("flow_refused", *loss, segment);
            }
            Choice::Drop(loss) => {
                self.metrics.count(match loss {
                    Loss::NoAgent => Count::PacketsNoAgent,
                    Loss::NoPlan | Loss::NoRoute => Count::PacketsUnknownAddress,
                });
                self.log_loss("packet_dropped", *loss, segment);
            }
        }
    }

    fn log_loss(&mut self, event: &'static str, loss: Loss, segment: &Segment) {
        if self.lines.take(self.started.elapsed()) {
            tracing::info!(
                event,
                flow = %segment.from_caller(),
                reason = ?loss,
                syn = segment.syn,
                revision = self.plans.plan().revision,
            );
        }
    }

    fn read_outbound(&mut self, buffer: &mut [u8]) {
        let now = self.now();
        for _ in 0..BATCH {
            let Role::Agent { core, outbound, .. } = &mut self.role else {
                return;
            };
            let Some((bytes, _)) = outbound.receive(buffer) else {
                return;
            };
            self.metrics.count(Count::PacketsOut);
            let Some(segment) = (self.format.read)(bytes) else {
                self.metrics.count(Count::PacketsMalformed);
                continue;
            };
            let view = View {
                plan: self.plans.plan(),
                peers: &self.peers,
                complete: self.gossip.knows_agents(now),
            };
            let mut actions = std::mem::take(&mut self.actions);
            core.backend_packet(now, view, &segment, bytes, &mut actions);
            self.act(actions, bytes, Some(&segment));
        }
    }

    /// Carries out what the agent decided; `bytes` is the packet at hand.
    fn act(&mut self, mut actions: Vec<Action>, bytes: &mut [u8], segment: Option<&Segment>) {
        for action in actions.drain(..) {
            self.act_one(action, bytes, segment);
        }
        self.actions = actions;
    }

    fn act_one(&mut self, action: Action, bytes: &mut [u8], segment: Option<&Segment>) {
        let Role::Agent {
            core,
            packets,
            outbound,
            backend,
        } = &self.role
        else {
            return;
        };
        let now = self.started.elapsed();
        let metrics = &self.metrics;
        let revision = self.plans.plan().revision;
        match action {
            Action::Deliver { bytes: held, tag } => {
                let mut held = held;
                let packet = held.as_deref_mut().unwrap_or(bytes);
                (self.format.mark)(packet, tag.word());
                outbound.send(packet, *backend, metrics);
            }
            Action::Pass {
                bytes: held,
                to,
                tag,
                reason,
            } => {
                let mut held = held;
                let packet = held.as_deref_mut().unwrap_or(bytes);
                (self.format.mark)(packet, tag.word());
                packets.send(packet, to, metrics);
                metrics.count(Count::PacketsForwarded);
                if let Some(segment) = segment.filter(|s| s.syn)
                    && self.lines.take(now)
                {
                    tracing::info!(
                        event = "flow_passed_on",
                        flow = %segment.from_caller(),
                        agent = %to,
                        ?reason,
                        hops = tag.hops,
                        running = core.flows().running(),
                        slots = core.backend().slots(),
                        revision,
                    );
                }
            }
            Action::Answer => {
                if let Some(segment) = segment {
                    let caller = SocketAddrV4::new(*segment.target.ip(), port_of(&self.settings));
                    packets.send(bytes, caller, metrics);
                }
            }
            Action::Reset {
                key,
                sequence,
                reason,
            } => {
                let reset = (self.format.reset)(&key, sequence);
                let caller = SocketAddrV4::new(*key.caller.ip(), port_of(&self.settings));
                packets.send(&reset, caller, metrics);
                metrics.count(Count::FlowsReset);
                if self.lines.take(now) {
                    tracing::info!(
                        event = "flow_reset",
                        flow = %key,
                        ?reason,
                        running = core.flows().running(),
                        report = ?core.backend().last_report().map(|r| (r.state, r.sequence)),
                        agents = self.peers.iter().count(),
                        revision,
                    );
                }
            }
            Action::Ask { to, question } => self.asks.push((to, question)),
            Action::Hint { to, key, agent } => {
                let hint = HintMessage {
                    flow: key.into(),
                    agent: pack(agent),
                };
                let to = SocketAddrV4::new(*to.ip(), self.settings.inner_port);
                self.send(SocketAddr::V4(to), &PeerMessage::of(PeerBody::Hint(hint)));
            }
            Action::Opened { key } => {
                metrics.count(Count::FlowsStarted);
                if self.lines.take(now) {
                    tracing::info!(
                        event = "flow_opened",
                        flow = %key,
                        running = core.flows().running(),
                        slots = core.backend().slots(),
                        cold = core.backend().is_cold(now),
                        revision,
                    );
                }
            }
            Action::Served { took, .. } => metrics.time(Span::Request, took),
            Action::Unfound { key, missing } => {
                metrics.count(Count::PacketsDroppedNoOwner);
                if self.lines.take(now) {
                    tracing::info!(
                        event = "owner_not_found",
                        flow = %key,
                        missing,
                        agents = self.peers.iter().count(),
                        revision,
                    );
                }
            }
            Action::Drop(reason) => {
                metrics.count(drop_count(reason));
                if let Some(segment) = segment
                    && reason != DropReason::Held
                    && self.lines.take(now)
                {
                    tracing::info!(
                        event = "packet_dropped",
                        flow = %segment.from_caller(),
                        ?reason,
                        syn = segment.syn,
                        agents = self.peers.iter().count(),
                        revision,
                    );
                }
            }
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

fn drop_count(reason: DropReason) -> Count {
    match reason {
        DropReason::Held => Count::PacketsAwaitingOwner,
        DropReason::NoOwner => Count::PacketsDroppedNoOwner,
        DropReason::HopLimit => Count::PacketsHopLimit,
        DropReason::NoRoute => Count::PacketsDroppedWrongService,
        DropReason::LookupsFull => Count::PacketsDroppedLookupsFull,
        DropReason::Odd => Count::PacketsMalformed,
    }
}

fn packets_address(settings: &NodeSettings) -> Option<SocketAddrV4> {
    match &settings.role {
        RoleSettings::Balancer(balancer) => Some(balancer.packets),
        RoleSettings::Agent(agent) => Some(agent.packets),
        RoleSettings::Control(_) => None,
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

async fn bind_role(settings: &NodeSettings, node: u64, wall: Duration) -> Result<Role> {
    Ok(match &settings.role {
        RoleSettings::Balancer(balancer) => Role::Balancer {
            core: Balancer::new(settings.domain.clone()),
            packets: PacketSocket::bind("packets", balancer.packets).await?,
            grace: balancer.grace,
        },
        RoleSettings::Agent(agent) => {
            let limits = AgentLimits {
                node,
                packets: agent.packets,
                domain: settings.domain.clone(),
                service: agent.service.clone(),
                cold: agent.cold,
                period: agent.period,
                started: u64::try_from(wall.as_millis()).unwrap_or(u64::MAX),
            };
            Role::Agent {
                core: Box::new(Agent::new(limits)),
                packets: PacketSocket::bind("packets", agent.packets).await?,
                outbound: PacketSocket::bind("outbound", agent.outbound).await?,
                backend: agent.backend,
            }
        }
        RoleSettings::Control(control) => {
            let replica = Replica::new(Duration::ZERO, settings, control);
            Role::Control(Box::new(replica))
        }
    })
}

async fn bind_inner(settings: &NodeSettings) -> Result<UdpSocket> {
    let address = SocketAddr::V4(settings.inner());
    let bound = UdpSocket::bind(address).await;
    bound.map_err(|source| NodeError::Bind {
        what: "messages",
        address,
        source,
    })
}

async fn listen(what: &'static str, address: SocketAddrV4) -> Result<TcpListener> {
    let address = SocketAddr::V4(address);
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| NodeError::Bind {
        what,
        address,
        source,
    })
}

async fn serve_metrics(listener: TcpListener, metrics: Arc<Metrics>, stop: CancellationToken) {
    serve_http(listener, METRICS_BODY, stop, move |_| {
        let metrics = metrics.clone();
        async move {
            match metrics.to_text() {
                Ok(text) => http::Response::new(text.into_bytes().into()),
                Err(error) => {
                    tracing::error!(event = "metrics_failed", %error);
                    let mut reply = http::Response::new(http_body_util::Full::default());
                    *reply.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
                    reply
                }
            }
        }
    })
    .await;
}

fn wall() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default()
}
