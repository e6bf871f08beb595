//! The fleet: its VMs, flows and messages in flight, and what they lead to.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use buckthornweir_forward::NodeId;
use buckthornweir_forward::agent::{Action, Agent, Answer, Question, Reply, View};
use buckthornweir_forward::backend::ReportState;
use buckthornweir_forward::plan::Plan;
use buckthornweir_forward::segment::{FlowKey, Segment};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::callers::{FIRST_PORT, LAST_REQUESTS};
use super::members::{Directory, Member};
use super::work::Work;
use crate::common::{BALANCER, ask_addr, data, key, ms, packet_addr, plan};

/// Time after its start by which a process knows all agents that started with it.
const GRACE_PERIOD: Duration = Duration::from_millis(1_500);
/// How long a caller repeats a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Until when callers open flows and changes begin.
pub(super) const BUSY_TIME: Duration = Duration::from_secs(20);
const END: Duration = Duration::from_secs(40);

/// An agent's process.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) agent: Agent,
    pub(super) directory: Directory,
    pub(super) instance: u32,
    pub(super) started: Duration,
    pub(super) accepts: bool,
}

/// A backend server.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) start: u32,
    pub(super) born: u64,
    pub(super) sequence: u64,
    pub(super) state: ReportState,
    /// Sequence numbers of the SYN-ACKs of its flows, and whether they are open.
    pub(super) flows: BTreeMap<u16, (u32, bool)>,
    /// Until when it sends no reports.
    pub(super) mute_until: Duration,
}

impl Server {
    pub(super) fn id(&self) -> String {
        format!("i-{}", self.start)
    }
}

#[derive(Debug)]
pub(super) struct Vm {
    pub(super) node: NodeId,
    pub(super) process: Option<Process>,
    pub(super) server: Option<Server>,
    /// Difference between its clock and the others', in milliseconds.
    pub(super) clock: i64,
    /// Whether it is being taken away.
    pub(super) leaving: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Caller {
    Opening {
        copies: u32,
    },
    /// The VM and start of the backend server, and the next acknowledgement number.
    Open {
        vm: u8,
        start: u32,
        acknowledged: u32,
    },
    Closed,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    pub(super) caller: Caller,
    /// Since when a request is unanswered.
    pub(super) asked: Option<Duration>,
    /// Agent that a hint named.
    pub(super) hint: Option<u8>,
    /// Packets of an unanswered request that other backend servers got since the flow's own last got
    /// one, and when the first of them came.
    pub(super) strays: (u32, Duration),
}

#[derive(Clone, Debug)]
pub(super) enum Event {
    Packet {
        to: u8,
        from: SocketAddrV4,
        segment: Segment,
    },
    ToServer {
        vm: u8,
        segment: Segment,
    },
    FromServer {
        vm: u8,
        segment: Segment,
    },
    ToCaller {
        segment: Segment,
        vm: u8,
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
    Withdraw {
        to: u8,
        from: u8,
        started_ms: u64,
    },
    Acknowledge {
        to: u8,
        from: u8,
        started_ms: u64,
    },
    Hint {
        to: u8,
        key: FlowKey,
        agent: SocketAddrV4,
    },
    Learn {
        to: u8,
        member: Member,
    },
    Suspect {
        to: u8,
        node: NodeId,
        instance: u32,
    },
    Tick {
        vm: u8,
        instance: u32,
    },
    Sync {
        vm: u8,
        instance: u32,
    },
    Look {
        vm: u8,
        instance: u32,
    },
    Report {
        vm: u8,
        start: u32,
    },
    Open,
    CopySyn {
        port: u16,
    },
    Request {
        port: u16,
    },
    Repeat {
        port: u16,
        asked: Duration,
        gap: u64,
    },
    Change,
    Work(Work),
}

/// A fleet of VMs with agents of one service.
pub(super) struct Fleet {
    pub(super) rng: ChaCha8Rng,
    pub(super) now: Duration,
    pub(super) queue: BTreeMap<(Duration, u64), Event>,
    pub(super) events: u64,
    pub(super) vms: BTreeMap<u8, Vm>,
    /// Members known to the balancer.
    pub(super) balancer: Directory,
    pub(super) plan: Plan,
    pub(super) flows: BTreeMap<u16, Flow>,
    pub(super) next_port: u16,
    pub(super) starts: u32,
    pub(super) versions: u64,
    /// Whether agents are also killed, backend servers crash and clocks jump.
    pub(super) unplanned: bool,
    pub(super) log: Vec<(Duration, String)>,
    /// The first open flow of a living backend server that was reset.
    pub(super) broken: Option<String>,
    pub(super) resets: usize,
}

/// What a run has shown.
#[derive(Debug)]
pub(super) struct Outcome {
    pub(super) broken: Option<String>,
    pub(super) resets: usize,
    pub(super) opened: usize,
}

impl Fleet {
    pub(super) fn new(seed: u64) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            events: 0,
            vms: BTreeMap::new(),
            balancer: Directory::default(),
            plan: Plan {
                idle: ms(60_000),
                ..plan("desk")
            },
            flows: BTreeMap::new(),
            next_port: FIRST_PORT,
            starts: 0,
            versions: 0,
            unplanned: seed % 2 == 1,
            log: Vec::new(),
            broken: None,
            resets: 0,
        };
        fleet.balancer.synced = true;
        let count = fleet.rng.random_range(2..=5);
        for vm in 1..=count {
            fleet.add_vm(vm);
            fleet.start_server(vm);
            fleet.start_agent(vm);
        }
        fleet.push(ms(800), Event::Open);
        fleet.push(ms(2_000), Event::Change);
        fleet
    }

    /// Plays the seed to its end, or until an open flow of a living backend server is reset.
    pub(super) fn run(mut self) -> Outcome {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at >= END || self.broken.is_some() {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        if self.broken.is_none() {
            self.check_end();
        }
        let opened = self.flows.len();
        Outcome {
            broken: self.broken,
            resets: self.resets,
            opened,
        }
    }

    pub(super) fn note(&mut self, text: impl Into<String>) {
        self.log.push((self.now, text.into()));
    }

    pub(super) fn fail(&mut self, port: u16, reason: &str) {
        let of_port = format!("flow {port} ");
        let lines = self
            .log
            .iter()
            .filter(|(_, line)| line.starts_with(&of_port) || !line.starts_with("flow "));
        let lines: Vec<String> = lines
            .map(|(at, line)| format!("{at:>10.1?} {line}"))
            .collect();
        self.broken
            .get_or_insert(format!("{reason}\n{}", lines.join("\n")));
    }

    pub(super) fn push(&mut self, after: Duration, event: Event) {
        self.events += 1;
        self.queue.insert((self.now + after, self.events), event);
    }

    pub(super) fn between(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(from * 1_000..=to * 1_000))
    }

    /// Sends a message between agents, which may be late, lost or doubled.
    pub(super) fn send(&mut self, event: Event) {
        if self.now > BUSY_TIME {
            let delay = self.between(1, 20);
            return self.push(delay, event);
        }
        let copies = match self.rng.random_range(0..100) {
            0..4 => 0,
            4..9 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = match self.rng.random_range(0..100) {
                0..6 => self.between(100, 1_200),
                _ => self.between(1, 20),
            };
            self.push(delay, event.clone());
        }
    }

    pub(super) fn with_agent(
        &mut self,
        vm: u8,
        segment: Option<Segment>,
        decide: impl FnOnce(&mut Agent, Duration, View<'_>, &mut Vec<Action>),
    ) {
        let now = self.now;
        let Some(process) = self.vms.get_mut(&vm).and_then(|vm| vm.process.as_mut()) else {
            return;
        };
        let time = now - process.started;
        process.directory.refresh(now);
        let view = View {
            plan: &self.plan,
            peers: process.directory.peers(),
            grace_elapsed: process.directory.synced && time >= GRACE_PERIOD,
            peers_synced: process.directory.synced,
        };
        let mut out = Vec::new();
        decide(&mut process.agent, time, view, &mut out);
        // The agent's tables have no fixed order, which the play of a seed must not depend on.
        out.sort_by_key(port_of);
        for action in out {
            self.act(vm, segment, action);
        }
    }

    pub(super) fn act(&mut self, vm: u8, current: Option<Segment>, action: Action) {
        let packet = |bytes: Option<Vec<u8>>, tag: buckthornweir_forward::tag::Tag| {
            let segment = match bytes {
                Some(bytes) => decode(&bytes),
                None => current.expect("there is no current packet"),
            };
            Segment {
                returned: false,
                tag: tag.word(),
                ..segment
            }
        };
        match action {
            Action::Deliver { bytes, tag } => {
                let segment = packet(bytes, tag);
                let delay = self.between(0, 1);
                self.push(delay, Event::ToServer { vm, segment });
            }
            Action::Pass { bytes, to, tag, .. } => {
                let segment = packet(bytes, tag);
                let delay = self.between(1, 10);
                let from = packet_addr(vm);
                self.push(
                    delay,
                    Event::Packet {
                        to: vm_of(to),
                        from,
                        segment,
                    },
                );
            }
            Action::ToCaller => {
                if let Some(segment) = current {
                    let delay = self.between(1, 5);
                    self.push(delay, Event::ToCaller { segment, vm });
                }
            }
            Action::Ask { to, question } => {
                self.send(Event::Ask {
                    to: vm_of(to),
                    from: vm,
                    question,
                });
            }
            Action::AnswerProbe { to, key, reply } => self.answer(vm, vm_of(to), key, reply),
            Action::Withdraw { to, started_ms } => {
                let (to, from) = (vm_of(to), vm);
                self.send(Event::Withdraw {
                    to,
                    from,
                    started_ms,
                });
            }
            Action::Hint { to, key, agent, .. } if to == BALANCER => {
                if let Some(flow) = self.flows.get_mut(&key.caller.port()) {
                    flow.hint = Some(vm_of(agent));
                }
            }
            Action::Hint { to, key, agent, .. } => {
                self.send(Event::Hint {
                    to: vm_of(to),
                    key,
                    agent,
                });
            }
            Action::Reset { key, reason, .. } => {
                let port = key.caller.port();
                let Some(flow) = self.flows.get(&port).copied() else {
                    return;
                };
                self.resets += 1;
                self.note(format!("flow {port} is reset by VM {vm}: {reason:?}"));
                if self.is_held(&flow.caller, port) {
                    self.fail(port, "an open flow of a living backend server was reset");
                }
                if let Some(flow) = self.flows.get_mut(&port) {
                    flow.caller = Caller::Closed;
                }
            }
            _ => {}
        }
    }

    pub(super) fn answer(&mut self, vm: u8, to: u8, key: FlowKey, reply: Reply) {
        let Some(process) = self.process(vm) else {
            return;
        };
        let peers = process.directory.peers();
        let answer = Answer {
            agent: packet_addr(vm),
            reply,
            known: peers.fingerprint(),
            instances: peers.instances(),
        };
        self.note(format!(
            "flow {} VM {vm} answers VM {to}: {reply:?}",
            key.caller.port()
        ));
        self.send(Event::Answer { to, key, answer });
    }

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Packet { to, from, segment } => {
                let bytes = encode(&segment);
                self.with_agent(to, Some(segment), |agent, now, view, out| {
                    agent.caller_packet(now, view, from, &segment, &bytes, out);
                });
            }
            Event::FromServer { vm, segment } => {
                let bytes = encode(&segment);
                self.with_agent(vm, Some(segment), |agent, now, view, out| {
                    agent.backend_packet(now, view, &segment, &bytes, out);
                });
            }
            Event::ToServer { vm, segment } => self.serve(vm, segment),
            Event::ToCaller { segment, vm } => self.receive(segment, vm),
            Event::Ask { to, from, question } => {
                let now = self.now;
                let Some(process) = self.process(to) else {
                    return;
                };
                process.directory.refresh(now);
                let time = now - process.started;
                let reply = process.agent.answer(time, ask_addr(from), &question);
                self.answer(to, from, question.key, reply);
            }
            Event::Answer { to, key, answer } => {
                self.with_agent(to, None, |agent, now, view, out| {
                    agent.handle_answer(now, view, key, answer, out);
                });
            }
            Event::Hint { to, key, agent } => {
                if let Some(process) = self.process(to) {
                    process.agent.hint(key, agent);
                }
            }
            Event::Withdraw {
                to,
                from,
                started_ms,
            } => {
                let time = self.process_time(to);
                let process = self.process(to);
                if process.is_some_and(|p| p.agent.note_withdrawn(time, packet_addr(from))) {
                    self.send(Event::Acknowledge {
                        to: from,
                        from: to,
                        started_ms,
                    });
                }
            }
            Event::Acknowledge {
                to,
                from,
                started_ms,
            } => {
                if let Some(process) = self.process(to) {
                    process.agent.note_acknowledged(&ask_addr(from), started_ms);
                }
            }
            Event::Learn { to, member } => {
                if let Some(directory) = self.directory(to) {
                    directory.merge(&member);
                }
            }
            Event::Suspect { to, node, instance } => {
                if let Some(directory) = self.directory(to) {
                    directory.suspect(node, instance);
                }
            }
            Event::Tick { vm, instance } => self.tick(vm, instance),
            Event::Sync { vm, instance } => self.sync(vm, instance),
            Event::Look { vm, instance } => self.look(vm, instance),
            Event::Report { vm, start } => self.report(vm, start),
            Event::Open => self.open_flow(),
            Event::CopySyn { port } => self.send_syn(port),
            Event::Request { port } => self.request(port),
            Event::Repeat { port, asked, gap } => {
                let is_asked = self
                    .flows
                    .get(&port)
                    .is_some_and(|f| f.asked == Some(asked));
                if is_asked && self.now < asked + REQUEST_TIMEOUT {
                    self.send_data(port, 90);
                    let next = (gap * 2).min(1_600);
                    self.push(
                        ms(next),
                        Event::Repeat {
                            port,
                            asked,
                            gap: next,
                        },
                    );
                } else if is_asked
                    && self.now < LAST_REQUESTS
                    && let Some(flow) = self.flows.get_mut(&port)
                {
                    flow.asked = None;
                }
            }
            Event::Change => self.change(),
            Event::Work(work) => self.begin(work),
        }
    }
}

/// Returns the caller's port of the flow that an action is about, or 0.
fn port_of(action: &Action) -> u16 {
    match action {
        Action::Ask { question, .. } => question.key.caller.port(),
        Action::Pass {
            bytes: Some(bytes), ..
        }
        | Action::Deliver {
            bytes: Some(bytes), ..
        } => decode(bytes).source.port(),
        Action::Reset { key, .. }
        | Action::Hint { key, .. }
        | Action::Opened { key }
        | Action::AnswerProbe { key, .. }
        | Action::OwnerNotFound { key, .. } => key.caller.port(),
        _ => 0,
    }
}

pub(super) fn vm_of(address: SocketAddrV4) -> u8 {
    let [_, _, _, vm] = address.ip().octets();
    debug_assert!(address == packet_addr(vm) || address == ask_addr(vm));
    vm
}

/// Returns the bytes that stand for a caller's packet.
fn encode(segment: &Segment) -> Vec<u8> {
    let mut bytes = segment.source.port().to_be_bytes().to_vec();
    bytes.extend(segment.acknowledged.to_be_bytes());
    bytes.extend(segment.length.to_be_bytes());
    bytes.push(u8::from(segment.syn));
    bytes
}

fn decode(bytes: &[u8]) -> Segment {
    let port = u16::from_be_bytes([bytes[0], bytes[1]]);
    let acknowledged = u32::from_be_bytes([bytes[2], bytes[3], bytes[4], bytes[5]]);
    let length = u16::from_be_bytes([bytes[6], bytes[7]]);
    debug_assert_eq!(key(port).caller.port(), port);
    Segment {
        syn: bytes[8] != 0,
        acknowledged,
        ..data(port, length)
    }
}
