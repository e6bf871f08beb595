//! A discrete-event simulation of agents, balancers, backend servers and callers under load.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use buckthornweir_forward::agent::{Agent, AgentConfig, Answer, Offer, Question};
use buckthornweir_forward::backend::{ColdBound, Report, ReportState};
use buckthornweir_forward::balancer::Balancer;
use buckthornweir_forward::loads::Load;
use buckthornweir_forward::peers::{Peer, Peers};
use buckthornweir_forward::plan::{OverloadPolicy, Plan, Route, Service, Split};
use buckthornweir_forward::segment::FlowKey;
use buckthornweir_forward::speed::FULL_STEP;
use buckthornweir_forward::tag::Tag;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::callers::{CLASSES, Callers};
use crate::packets::{Packet, service_addr};
use crate::servers::{ReplyKind, SLOTS, Server};

/// Interval at which a quarter of the agents announce their free slots, so that each does so every
/// 200 ms, and the delay until others know them.
const VIEW_PERIOD: Duration = ms(50);
const ANNOUNCERS: usize = 4;
const ANNOUNCEMENT_DELAY: Duration = ms(300);

/// Number of view periods in the second between two reports of a backend server.
const REPORTERS: usize = 20;

/// Time until other processes notice that an agent has stopped.
const DETECTION_TIME: Duration = ms(1_000);

/// Time after the measured one in which requests still arrive, to compete with measured ones.
const TAIL: Duration = ms(200);

/// Start of the backend servers, in milliseconds since the epoch.
const BORN_MS: u64 = 1_000_000;

pub(crate) const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A load to simulate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Case {
    pub(crate) agents: usize,
    /// Offered work relative to the work that all slots can do at their speeds.
    pub(crate) load: f64,
    /// Whether a quarter of the backend servers run at half speed.
    pub(crate) unequal: bool,
    pub(crate) policy: Option<OverloadPolicy>,
    pub(crate) warm_up: Duration,
    pub(crate) measured: Duration,
    pub(crate) seed: u64,
}

impl Case {
    fn speed(&self, agent: usize) -> f64 {
        let slow = (self.agents + 2) / 4;
        if self.unequal && agent < slow {
            0.5
        } else {
            1.0
        }
    }

    /// Returns how many seconds of service time all slots complete in a second.
    pub(crate) fn capacity(&self) -> f64 {
        let speeds = (0..self.agents).map(|agent| self.speed(agent));
        speeds.sum::<f64>() * f64::from(SLOTS)
    }

    fn domains(&self) -> usize {
        if self.agents > 50 { 4 } else { 2 }
    }

    fn domain(&self, agent: usize) -> String {
        format!("domain-{}", agent % self.domains())
    }

    fn plan(policy: Option<OverloadPolicy>) -> Plan {
        let split = || Split {
            service: "desk".into(),
            weight: 1,
        };
        let route = |class| Route {
            splits: vec![split()],
            class,
        };
        let service = Service {
            overload: policy,
            ..Service::default()
        };
        let classes = CLASSES.iter().enumerate();
        Plan {
            revision: 1,
            version: 1,
            routes: classes
                .map(|(i, class)| (service_addr(i), route(class.class)))
                .collect(),
            services: [("desk".into(), service)].into(),
            ..Plan::default()
        }
    }
}

/// Agents, requests and attempts are identified by their index.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// A request arrives at a caller.
    Arrival,
    /// A caller tries a request again.
    Retry(usize),
    /// A caller's timer for an attempt expires.
    Timer(usize),
    ToBalancer(Packet),
    /// A packet reaches an agent from this address.
    ToAgent(usize, SocketAddrV4, Packet, Tag),
    /// A reply to an attempt reaches its caller.
    ToCaller(usize, ReplyKind),
    /// A reset reaches the caller of an attempt.
    Reset(usize),
    /// A backend server has completed the request of an attempt.
    Completed(usize, usize),
    /// A backend server replies to an attempt.
    Reply(usize, usize, ReplyKind),
    /// A hint about the agent of a flow reaches the process with the first address.
    Hint(SocketAddrV4, FlowKey, SocketAddrV4),
    /// The load of the agent with this address reaches another.
    Load(usize, SocketAddrV4, Load),
    /// A question of the second agent reaches the first.
    Ask(usize, usize, Question),
    Answer(usize, FlowKey, Answer),
    Tick(usize),
    /// Announcements and reports are due.
    Announce,
    /// A failure to inject.
    Inject(fn(&mut Model)),
}

/// An agent and its backend server.
pub(crate) struct Site {
    pub(crate) agent: Agent,
    pub(crate) server: Server,
    pub(crate) down_since: Option<Duration>,
    pub(crate) ticking: bool,
    /// Whether the agent holds the plan without the policy.
    pub(crate) stale_plan: bool,
    instance: u32,
    reports: u64,
    announced: Offer,
}

/// How hints travel between agents.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HintFault {
    pub(crate) lost: bool,
    pub(crate) load_delay: Duration,
}

pub(crate) struct Model {
    pub(crate) case: Case,
    pub(crate) now: Duration,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) sites: Vec<Site>,
    pub(crate) balancers: Vec<Balancer>,
    pub(crate) callers: Callers,
    pub(crate) hint_fault: HintFault,
    pub(crate) plan: Plan,
    pub(crate) old_plan: Plan,
    pub(crate) peers: Peers,
    announcements: VecDeque<(Duration, usize, Offer)>,
    rounds: usize,
    queue: BTreeMap<(Duration, u64), Event>,
    scheduled: u64,
}

pub(crate) fn packet_addr(agent: usize) -> SocketAddrV4 {
    let [.., high, low] = (agent + 1).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 7000)
}

impl Model {
    pub(crate) fn new(case: Case) -> Self {
        let balancers = (0..case.domains()).map(|i| Balancer::new(case.domain(i)));
        let mut model = Self {
            case,
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(case.seed),
            sites: Vec::new(),
            balancers: balancers.collect(),
            callers: Callers::default(),
            hint_fault: HintFault::default(),
            plan: Case::plan(case.policy),
            old_plan: Case::plan(None),
            peers: Peers::default(),
            announcements: VecDeque::new(),
            rounds: 0,
            queue: BTreeMap::new(),
            scheduled: 0,
        };
        for i in 0..case.agents {
            model.sites.push(Site {
                agent: model.new_agent(i, BORN_MS + 100),
                server: Server::new(case.speed(i)),
                down_since: None,
                ticking: false,
                stale_plan: false,
                instance: 1,
                reports: 0,
                announced: Offer {
                    accepts: true,
                    cold: false,
                    free: SLOTS,
                    weight: FULL_STEP,
                },
            });
            model.report(i);
        }
        model.refresh_peers();
        model.push(VIEW_PERIOD, Event::Announce);
        model.push(Duration::ZERO, Event::Arrival);
        model
    }

    fn new_agent(&self, i: usize, started_ms: u64) -> Agent {
        let mut agent = Agent::new(AgentConfig {
            node: i as u64 + 1,
            packet_addr: packet_addr(i),
            domain: self.case.domain(i).into(),
            service: "desk".into(),
            cold_bound: ColdBound {
                factor: 1.5,
                slack: 5.0,
            },
            report_period: ms(1_000),
            started_ms,
        });
        agent.apply(self.now, &self.plan);
        agent
    }

    pub(crate) fn push(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.queue.insert((self.now + after, self.scheduled), event);
    }

    /// Returns when requests stop arriving.
    pub(crate) fn arrivals_end(&self) -> Duration {
        self.case.warm_up + self.case.measured + TAIL
    }

    pub(crate) fn is_measured(&self, at: Duration) -> bool {
        at >= self.case.warm_up && at < self.case.warm_up + self.case.measured
    }

    /// Runs until all requests have ended.
    pub(crate) fn run(&mut self) {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            self.handle(event);
            if at > self.arrivals_end() && self.callers.unfinished == 0 {
                return;
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrival => self.arrive(),
            Event::Retry(request) => self.attempt(request),
            Event::Timer(attempt) => self.expire(attempt),
            Event::ToBalancer(packet) => self.route(packet),
            Event::ToAgent(to, from, packet, tag) => {
                let segment = packet.segment(tag);
                self.with_agent(to, Some(packet), |agent, view, out| {
                    agent.caller_packet(now, view, from, &segment, &packet.bytes(), out);
                });
            }
            Event::ToCaller(attempt, kind) => self.replied(attempt, kind),
            Event::Reset(attempt) => self.reset(attempt),
            Event::Completed(at, attempt) => self.complete(at, attempt),
            Event::Reply(at, attempt, kind) => self.reply(at, attempt, kind),
            Event::Hint(to, key, agent) => self.hint(to, key, agent),
            Event::Load(to, agent, load) => {
                self.with_agent(to, None, |own, _, _| own.note_load(now, agent, load));
            }
            Event::Ask(to, from, question) => self.answer_question(to, from, &question),
            Event::Answer(to, key, answer) => self.with_agent(to, None, |agent, view, out| {
                agent.handle_answer(now, view, key, answer, out);
            }),
            Event::Tick(at) => {
                self.sites[at].ticking = false;
                self.tick(at);
            }
            Event::Announce => self.announce(),
            Event::Inject(inject) => inject(self),
        }
    }

    fn tick(&mut self, at: usize) {
        let now = self.now;
        self.with_agent(at, None, |agent, view, out| agent.tick(now, view, out));
    }

    fn announce(&mut self) {
        self.rounds += 1;
        for i in 0..self.sites.len() {
            if i % REPORTERS == self.rounds % REPORTERS {
                self.report(i);
                self.tick(i);
            }
            if i % ANNOUNCERS == self.rounds % ANNOUNCERS {
                let site = &mut self.sites[i];
                let plan = [&self.plan, &self.old_plan][usize::from(site.stale_plan)];
                let offer = site.agent.offer(self.now, plan);
                let seen_at = self.now + ANNOUNCEMENT_DELAY;
                self.announcements.push_back((seen_at, i, offer));
            }
        }
        let now = self.now;
        while let Some((_, i, offer)) = self.announcements.pop_front_if(|(at, ..)| *at <= now) {
            self.sites[i].announced = offer;
        }
        self.refresh_peers();
        self.push(VIEW_PERIOD, Event::Announce);
    }

    fn report(&mut self, at: usize) {
        let (now, site) = (self.now, &mut self.sites[at]);
        site.reports += 1;
        let report = Report {
            id: format!("server-{at}").into(),
            born: BORN_MS,
            sequence: site.reports,
            state: ReportState::Ready,
            cold: Duration::ZERO,
            slots: SLOTS,
        };
        self.with_agent(at, None, |agent, _, out| {
            agent.report(now, report, out);
        });
    }

    fn refresh_peers(&mut self) {
        let noticed = |down: Duration| self.now >= down + DETECTION_TIME;
        let sites = self.sites.iter().enumerate();
        let up = sites.filter(|(_, site)| !site.down_since.is_some_and(noticed));
        self.peers = Peers::new(up.map(|(i, site)| Peer {
            node: i as u64 + 1,
            instance: site.instance,
            packet_addr: packet_addr(i),
            ask_addr: packet_addr(i),
            domain: self.case.domain(i).into(),
            service: "desk".into(),
            accepts: site.announced.accepts,
            cold: site.announced.cold,
            free: site.announced.free,
            weight: site.announced.weight,
        }));
    }

    /// Stops an agent without notice; its backend server keeps running.
    pub(crate) fn kill(&mut self, at: usize) {
        self.sites[at].down_since = Some(self.now);
    }

    /// Starts a stopped agent again, without any of its state.
    pub(crate) fn restart(&mut self, at: usize) {
        let started_ms = BORN_MS + 5_000 + self.now.as_millis() as u64;
        let agent = self.new_agent(at, started_ms);
        let site = &mut self.sites[at];
        site.agent = agent;
        site.instance += 1;
        site.down_since = None;
        self.report(at);
    }

    /// Gives all agents the plan in force.
    pub(crate) fn update_plans(&mut self) {
        for site in &mut self.sites {
            site.stale_plan = false;
            site.agent.apply(self.now, &self.plan);
        }
    }
}
