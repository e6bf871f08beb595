//! Load after all agents restart at once while their backend servers keep running: no agent knows
//! any flow, and callers continue all of them through agents that don't hold them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use buckthornweir_forward::agent::{Action, Agent, AgentConfig, Answer, Question, View};
use buckthornweir_forward::backend::{ColdBound, Report};
use buckthornweir_forward::peers::Peers;
use buckthornweir_forward::plan::Plan;
use buckthornweir_forward::segment::{FlowKey, Segment};

use crate::common::{
    BALANCER, REPORT_PERIOD, ask_addr, data, ms, packet_addr, peer, plan, reply, report, returned,
};

const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
const AGENTS: u8 = 40;
const FLOWS: u16 = 400;

/// One-way delay between agents, and the time in which a backend server responds.
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);
const SERVICE_TIME: Duration = Duration::from_millis(30);

/// Interval of the agents' ticks.
const TICK_PERIOD: Duration = Duration::from_millis(25);

/// Start time of the agents, in milliseconds of the backend servers' clocks.
const STARTED_MS: u64 = 9_000_000;

/// Time after which an agent certainly knows all others, in milliseconds.
const GRACE_MS: u64 = 1_500;

/// Retransmission interval of a caller without a response, in milliseconds.
const RESEND_MS: u64 = 200;

#[derive(Clone, Copy)]
enum Event {
    Packet {
        to: u8,
        from: SocketAddrV4,
        segment: Segment,
    },
    Returned {
        at: u8,
        segment: Segment,
    },
    Responded {
        at: u8,
        port: u16,
    },
    Ask {
        to: u8,
        from: u8,
        question: Question,
    },
    Answer {
        to: u8,
        key: FlowKey,
        answer: Answer,
    },
}

/// What was sent, and when callers got a response or a reset.
#[derive(Debug, Default)]
struct Stats {
    messages: usize,
    cross_domain: usize,
    strays: BTreeMap<u16, usize>,
    responded: BTreeMap<u16, Duration>,
    resets: usize,
    reset_at: BTreeMap<u16, Duration>,
}

struct Mesh {
    agents: Vec<Agent>,
    peers: Peers,
    plan: Plan,
    now: Duration,
    queue: VecDeque<(Duration, Event)>,
    owners: BTreeMap<u16, u8>,
    stats: Stats,
    /// When the agents have run long enough to know all others.
    grace_end: Duration,
}

fn domain(agent: u8) -> &'static str {
    DOMAINS[usize::from(agent) % DOMAINS.len()]
}

fn agent_of(address: SocketAddrV4) -> u8 {
    address.ip().octets()[3]
}

impl Mesh {
    /// Returns agents that have just started beside backend servers that have been running for
    /// long.
    fn with_running_backends() -> Self {
        Self::with_backends_started_at(report(1).born)
    }

    /// Returns agents that have just started beside backend servers that started at `born`.
    fn with_backends_started_at(born: u64) -> Self {
        let agent = |node: u8| {
            let mut agent = Agent::new(AgentConfig {
                node: u64::from(node),
                packet_addr: packet_addr(node),
                domain: domain(node).into(),
                service: "desk".into(),
                cold_bound: ColdBound {
                    factor: 1.5,
                    slack: 5.0,
                },
                report_period: REPORT_PERIOD,
                started_ms: STARTED_MS,
            });
            let report = Report { born, ..report(1) };
            agent.report(ms(50), report, &mut Vec::new());
            agent
        };
        Self {
            agents: (1..=AGENTS).map(agent).collect(),
            peers: Peers::new((1..=AGENTS).map(|node| peer(node, domain(node), "desk"))),
            plan: plan("desk"),
            now: ms(100),
            queue: VecDeque::new(),
            owners: BTreeMap::new(),
            stats: Stats::default(),
            grace_end: Duration::ZERO,
        }
    }

    fn push(&mut self, after: Duration, event: Event) {
        let at = self.now + after;
        let index = self.queue.partition_point(|(other, _)| *other <= at);
        self.queue.insert(index, (at, event));
    }

    /// Sends a request of a flow's caller through `entry_agent`.
    fn send(&mut self, port: u16, entry_agent: u8) {
        let segment = data(port, 90);
        self.push(
            ONE_WAY_DELAY,
            Event::Packet {
                to: entry_agent,
                from: BALANCER,
                segment,
            },
        );
    }

    fn run(&mut self, until: Duration) {
        while self.now < until {
            let next = (self.now + TICK_PERIOD).min(until);
            while let Some((at, event)) = self.queue.pop_front_if(|(at, _)| *at < next) {
                self.now = at;
                self.handle(event);
            }
            self.now = next;
            self.tick();
        }
    }

    fn tick(&mut self) {
        for node in 1..=AGENTS {
            self.with_agent(node, None, |agent, now, view, out| {
                agent.tick(now, view, out);
            });
        }
    }

    fn with_agent(
        &mut self,
        node: u8,
        segment: Option<Segment>,
        decide: impl FnOnce(&mut Agent, Duration, View<'_>, &mut Vec<Action>),
    ) {
        let view = View {
            plan: &self.plan,
            peers: &self.peers,
            grace_elapsed: self.now >= self.grace_end,
            peers_synced: true,
        };
        let mut out = Vec::new();
        decide(
            &mut self.agents[usize::from(node) - 1],
            self.now,
            view,
            &mut out,
        );
        for action in out {
            self.act(node, segment, action);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Packet { to, from, segment } => {
                let bytes = segment.source.port().to_be_bytes();
                self.with_agent(to, Some(segment), |agent, now, view, out| {
                    agent.caller_packet(now, view, from, &segment, &bytes, out);
                });
            }
            Event::Returned { at, segment } => {
                let segment = returned(segment);
                let bytes = segment.source.port().to_be_bytes();
                self.with_agent(at, Some(segment), |agent, now, view, out| {
                    agent.backend_packet(now, view, &segment, &bytes, out);
                });
            }
            Event::Responded { at, port } => {
                let segment = reply(port, 500);
                self.with_agent(at, Some(segment), |agent, now, view, out| {
                    agent.backend_packet(now, view, &segment, &[], out);
                });
                self.stats.responded.entry(port).or_insert(self.now);
            }
            Event::Ask { to, from, question } => {
                let asker = ask_addr(from);
                let reply = self.agents[usize::from(to) - 1].answer(self.now, asker, &question);
                let known = self.peers.fingerprint();
                let answer = Answer {
                    agent: packet_addr(to),
                    reply,
                    known,
                    instances: self.peers.instances(),
                };
                self.count(to, from);
                self.push(
                    ONE_WAY_DELAY,
                    Event::Answer {
                        to: from,
                        key: question.key,
                        answer,
                    },
                );
            }
            Event::Answer { to, key, answer } => {
                self.with_agent(to, None, |agent, now, view, out| {
                    agent.handle_answer(now, view, key, answer, out);
                });
            }
        }
    }

    fn count(&mut self, from: u8, to: u8) {
        self.stats.messages += 1;
        self.stats.cross_domain += usize::from(domain(from) != domain(to));
    }

    fn act(&mut self, node: u8, segment: Option<Segment>, action: Action) {
        let packet = |bytes: &Option<Vec<u8>>| match bytes {
            Some(held) => data(u16::from_be_bytes([held[0], held[1]]), 90),
            None => segment.expect("there is no current packet"),
        };
        match action {
            Action::Deliver { bytes, tag } => {
                let segment = Segment {
                    returned: false,
                    tag: tag.word(),
                    ..packet(&bytes)
                };
                let port = segment.source.port();
                if self.owners.get(&port) == Some(&node) {
                    self.push(SERVICE_TIME, Event::Responded { at: node, port });
                } else {
                    *self.stats.strays.entry(port).or_default() += 1;
                    self.push(Duration::ZERO, Event::Returned { at: node, segment });
                }
            }
            Action::Pass { bytes, to, tag, .. } => {
                let segment = Segment {
                    returned: false,
                    tag: tag.word(),
                    ..packet(&bytes)
                };
                self.count(node, agent_of(to));
                let (to, from) = (agent_of(to), packet_addr(node));
                self.push(ONE_WAY_DELAY, Event::Packet { to, from, segment });
            }
            Action::Ask { to, question } => {
                self.count(node, agent_of(to));
                self.push(
                    ONE_WAY_DELAY,
                    Event::Ask {
                        to: agent_of(to),
                        from: node,
                        question,
                    },
                );
            }
            Action::AnswerProbe { to, key, reply } => {
                let known = self.peers.fingerprint();
                let answer = Answer {
                    agent: packet_addr(node),
                    reply,
                    known,
                    instances: self.peers.instances(),
                };
                self.count(node, agent_of(to));
                self.push(
                    ONE_WAY_DELAY,
                    Event::Answer {
                        to: agent_of(to),
                        key,
                        answer,
                    },
                );
            }
            Action::Reset { key, .. } => {
                self.stats.resets += 1;
                self.stats
                    .reset_at
                    .entry(key.caller.port())
                    .or_insert(self.now);
            }
            _ => {}
        }
    }

    /// Lets callers send, and retransmit while they have no response.
    fn send_rounds(&mut self, entry_agents: &BTreeMap<u16, u8>, rounds: u64) {
        for round in 0..rounds {
            for (port, entry_agent) in entry_agents {
                if !self.stats.responded.contains_key(port) {
                    self.send(*port, *entry_agent);
                }
            }
            self.run(ms(100 + RESEND_MS * (round + 1)));
        }
    }
}

/// Placement keeps flows in their callers' failure domain.
#[test]
fn flows_in_the_own_failure_domain_are_found_without_retransmission() {
    let mut mesh = Mesh::with_running_backends();
    let mut entry_agents = BTreeMap::new();
    for index in 0..FLOWS {
        let (port, owner) = (20_000 + index, (index % u16::from(AGENTS)) as u8 + 1);
        // Another agent of the same failure domain.
        let entry_agent = (owner - 1 + DOMAINS.len() as u8) % AGENTS + 1;
        mesh.owners.insert(port, owner);
        entry_agents.insert(port, entry_agent);
    }
    mesh.send_rounds(&entry_agents, 1);
    let stats = &mesh.stats;
    assert_eq!(
        (stats.responded.len(), stats.resets),
        (entry_agents.len(), 0)
    );
    let longest = stats.responded.values().max().copied();
    assert!(
        longest <= Some(ms(100) + SERVICE_TIME + ONE_WAY_DELAY * 8),
        "{longest:?}"
    );
    assert_eq!(stats.cross_domain, 0, "nothing leaves the failure domain");
    // A question, an answer, a probe and its answer for each agent of the failure domain.
    let near = usize::from(AGENTS) / DOMAINS.len();
    assert!(
        stats.messages <= entry_agents.len() * 4 * near,
        "{}",
        stats.messages
    );
}

/// Flows may be held in another failure domain, for example after their own was out.
#[test]
fn flows_in_other_failure_domains_are_found_without_retransmission() {
    let mut mesh = Mesh::with_running_backends();
    let mut entry_agents = BTreeMap::new();
    for index in 0..FLOWS {
        let (port, owner) = (20_000 + index, (index % u16::from(AGENTS)) as u8 + 1);
        mesh.owners.insert(port, owner);
        entry_agents.insert(port, owner % AGENTS + 1);
    }
    mesh.send_rounds(&entry_agents, 1);
    let stats = &mesh.stats;
    assert_eq!(
        (stats.responded.len(), stats.resets),
        (entry_agents.len(), 0)
    );
}

/// Flows without an owner are reset after one lookup, in which each backend server sees at most one
/// of their packets.
#[test]
fn lost_flows_are_reset_after_one_lookup() {
    let mut mesh = Mesh::with_running_backends();
    let entry_agents: BTreeMap<u16, u8> = (0..40).map(|index| (20_000 + index, 7)).collect();
    mesh.send_rounds(&entry_agents, 1);
    assert_eq!(mesh.stats.resets, entry_agents.len());
    assert!(
        mesh.stats
            .strays
            .values()
            .all(|strays| *strays <= usize::from(AGENTS))
    );
    assert!(mesh.stats.responded.is_empty());
}

/// Sends one packet of each flow at 300 ms and returns when the last flow was reset.
fn last_lost_flow_reset(mut mesh: Mesh) -> Duration {
    mesh.grace_end = ms(GRACE_MS);
    mesh.run(ms(300));
    for index in 0..FLOWS {
        let entry_agent = (index % u16::from(AGENTS)) as u8 + 1;
        mesh.send(20_000 + index, entry_agent);
    }
    mesh.run(ms(5_000));
    assert_eq!(mesh.stats.reset_at.len(), usize::from(FLOWS));
    mesh.stats
        .reset_at
        .values()
        .max()
        .copied()
        .unwrap_or_default()
}

/// Guards against resets that wait for the callers' retransmissions, 400 to 1,600 ms later.
#[test]
fn lost_flows_are_reset_without_retransmission() {
    // Backend servers that have run for long may hold flows of an agent that has not returned yet.
    let reset_at = last_lost_flow_reset(Mesh::with_running_backends());
    assert!(
        reset_at >= ms(GRACE_MS) && reset_at <= ms(GRACE_MS + 450),
        "{reset_at:?}"
    );
    // After a power loss there are no such flows.
    let reset_at = last_lost_flow_reset(Mesh::with_backends_started_at(STARTED_MS));
    assert!(reset_at <= ms(400), "{reset_at:?}");
}
