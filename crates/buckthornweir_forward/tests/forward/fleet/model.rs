//! Agents, backend servers, callers and a balancer, with the messages between them.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use buckthornweir_forward::NodeId;
use buckthornweir_forward::agent::{Action, Agent, AgentConfig, Answer, Question, Reply, View};
use buckthornweir_forward::backend::{ColdBound, Report, ReportState};
use buckthornweir_forward::plan::Plan;
use buckthornweir_forward::segment::{FlowKey, Segment};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::members::{Directory, Member, State, domain};
use super::work::Work;
use crate::common::{
    BALANCER, REPORT_PERIOD, ask_addr, data, key, ms, packet_addr, plan, reply, returned, syn,
    syn_ack,
};

/// Clock of all VMs at the start, in milliseconds.
const START_MS: u64 = 1_000_000_000;
const TICK_PERIOD: Duration = Duration::from_millis(25);
/// Interval at which a process compares its members with another one.
const SYNC_PERIOD: Duration = Duration::from_millis(500);
/// Time after its start by which a process knows all agents that started with it.
const GRACE_PERIOD: Duration = Duration::from_millis(1_500);
/// First port of the callers; each flow uses a new one.
const FIRST_PORT: u16 = 20_000;
const FLOW_PERIOD: Duration = Duration::from_millis(40);
const SYN_COPIES: [u64; 3] = [200, 600, 1_400];
/// How long a caller repeats a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Until when callers open flows and changes begin.
pub(super) const BUSY_TIME: Duration = Duration::from_secs(20);
/// When each caller of an open flow sends a last request, long after the last change.
const LAST_REQUESTS: Duration = Duration::from_secs(32);
const END: Duration = Duration::from_secs(40);

/// An agent's process.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) agent: Agent,
    directory: Directory,
    instance: u32,
    started: Duration,
    accepts: bool,
}

/// A backend server.
#[derive(Debug)]
pub(super) struct Server {
    start: u32,
    born: u64,
    sequence: u64,
    pub(super) state: ReportState,
    /// Sequence numbers of the SYN-ACKs of its flows, and whether they are open.
    flows: BTreeMap<u16, (u32, bool)>,
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
enum Caller {
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
struct Flow {
    caller: Caller,
    /// Since when a request is unanswered.
    asked: Option<Duration>,
    /// Agent that a hint named.
    hint: Option<u8>,
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
    queue: BTreeMap<(Duration, u64), Event>,
    events: u64,
    pub(super) vms: BTreeMap<u8, Vm>,
    /// Members known to the balancer.
    balancer: Directory,
    plan: Plan,
    flows: BTreeMap<u16, Flow>,
    next_port: u16,
    starts: u32,
    versions: u64,
    /// Whether agents are also killed, backend servers crash and clocks jump.
    pub(super) unplanned: bool,
    log: Vec<(Duration, String)>,
    /// The first open flow of a living backend server that was reset.
    broken: Option<String>,
    resets: usize,
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

    fn fail(&mut self, port: u16, reason: &str) {
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

    /// Checks that each caller of an open flow got an answer, and each caller of a lost one a reset.
    fn check_end(&mut self) {
        for (port, flow) in self.flows.clone() {
            if let Caller::Open { .. } = flow.caller
                && flow.asked.is_some()
            {
                let lost = !self.is_held(&flow.caller, port);
                let reason = match lost {
                    true => "the caller of a lost flow was not told",
                    false => "the caller of an open flow got no answer",
                };
                self.fail(port, reason);
            }
        }
    }

    pub(super) fn push(&mut self, after: Duration, event: Event) {
        self.events += 1;
        self.queue.insert((self.now + after, self.events), event);
    }

    pub(super) fn between(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(from * 1_000..=to * 1_000))
    }

    /// Sends a message between agents, which may be late, lost or doubled.
    fn send(&mut self, event: Event) {
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

    /// Returns the clock of a VM in milliseconds.
    fn clock(&self, vm: u8) -> u64 {
        let now = START_MS + self.now.as_millis() as u64;
        now.saturating_add_signed(self.vms[&vm].clock)
    }

    pub(super) fn add_vm(&mut self, vm: u8) {
        self.starts += 1;
        let node = u64::from(self.starts) * 1_000 + u64::from(vm);
        let vm_state = Vm {
            node,
            process: None,
            server: None,
            clock: 0,
            leaving: false,
        };
        self.vms.insert(vm, vm_state);
    }

    pub(super) fn start_server(&mut self, vm: u8) {
        if self.vms[&vm].server.is_some() {
            return;
        }
        self.starts += 1;
        let (start, born) = (self.starts, self.clock(vm));
        self.note(format!("backend server {start} starts at VM {vm}"));
        if let Some(vm) = self.vms.get_mut(&vm) {
            vm.server = Some(Server {
                start,
                born,
                sequence: 0,
                state: ReportState::Ready,
                flows: BTreeMap::new(),
                mute_until: Duration::ZERO,
            });
        }
        let delay = self.between(5, 60);
        self.push(delay, Event::Report { vm, start });
    }

    pub(super) fn start_agent(&mut self, vm: u8) {
        if !self.vms.contains_key(&vm) || self.vms[&vm].process.is_some() {
            return;
        }
        self.starts += 1;
        let instance = self.starts;
        let config = AgentConfig {
            node: self.vms[&vm].node,
            packet_addr: packet_addr(vm),
            domain: domain(vm).into(),
            service: "desk".into(),
            cold_bound: ColdBound {
                factor: 1.5,
                slack: 5.0,
            },
            report_period: REPORT_PERIOD,
            started_ms: self.clock(vm),
        };
        self.note(format!("agent {instance} starts at VM {vm}"));
        let process = Process {
            agent: Agent::new(config),
            directory: Directory::default(),
            instance,
            started: self.now,
            accepts: false,
        };
        if let Some(vm) = self.vms.get_mut(&vm) {
            vm.process = Some(process);
        }
        self.announce(vm, State::Running);
        let (look, sync) = (self.between(0, 5), self.between(10, 150));
        self.push(look, Event::Look { vm, instance });
        self.push(sync, Event::Sync { vm, instance });
        self.push(TICK_PERIOD, Event::Tick { vm, instance });
    }

    /// Ends an agent's process as planned.
    pub(super) fn stop_agent(&mut self, vm: u8) {
        if self.vms[&vm].process.is_none() {
            return;
        }
        self.with_agent(vm, None, |agent, now, view, out| {
            agent.set_stopping(now, view, out);
        });
        let Some(process) = &self.vms[&vm].process else {
            return;
        };
        // An agent connects to its backend server to find out whether it is present.
        let left = !process.agent.backend().is_present();
        let state = match self.vms[&vm].server {
            Some(_) if !left => State::Stopped,
            _ => State::Left,
        };
        self.note(format!("agent at VM {vm} stops: {state:?}"));
        self.announce(vm, state);
        self.end_agent(vm);
    }

    /// Ends an agent's process. The other processes consider it dead after a while.
    pub(super) fn end_agent(&mut self, vm: u8) {
        let node = self.vms[&vm].node;
        let ended = self.vms.get_mut(&vm).and_then(|vm| vm.process.take());
        let Some(ended) = ended else {
            return;
        };
        let instance = ended.instance;
        for to in self.processes() {
            let delay = self.between(900, 2_000);
            self.push(delay, Event::Suspect { to, node, instance });
        }
    }

    /// Returns the VMs with a running agent, and 0 for the balancer.
    fn processes(&self) -> Vec<u8> {
        let running = self.vms.iter().filter(|(_, vm)| vm.process.is_some());
        std::iter::once(0)
            .chain(running.map(|(vm, _)| *vm))
            .collect()
    }

    fn process(&mut self, vm: u8) -> Option<&mut Process> {
        self.vms.get_mut(&vm)?.process.as_mut()
    }

    fn process_time(&self, vm: u8) -> Duration {
        let process = self.vms.get(&vm).and_then(|vm| vm.process.as_ref());
        process.map_or(Duration::ZERO, |process| self.now - process.started)
    }

    fn directory(&mut self, at: u8) -> Option<&mut Directory> {
        match at {
            0 => Some(&mut self.balancer),
            vm => self.process(vm).map(|process| &mut process.directory),
        }
    }

    /// Announces the state of an agent to all processes.
    fn announce(&mut self, vm: u8, state: State) {
        self.versions += 1;
        let (node, version) = (self.vms[&vm].node, self.versions);
        let Some(process) = self.process(vm) else {
            return;
        };
        let member = Member {
            vm,
            node,
            instance: process.instance,
            version,
            accepts: process.accepts,
            state,
            dead: false,
        };
        process.directory.merge(&member);
        for to in self.processes() {
            let delay = match self.rng.random_range(0..100) {
                0..5 => self.between(150, 400),
                _ => self.between(2, 150),
            };
            self.push(
                delay,
                Event::Learn {
                    to,
                    member: member.clone(),
                },
            );
        }
    }

    fn with_agent(
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

    fn act(&mut self, vm: u8, current: Option<Segment>, action: Action) {
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

    /// Returns whether a living backend server holds the flow.
    fn is_held(&self, caller: &Caller, port: u16) -> bool {
        let Caller::Open { vm, start, .. } = caller else {
            return false;
        };
        let server = self.vms.get(vm).and_then(|vm| vm.server.as_ref());
        let server = server.filter(|server| server.start == *start);
        server.is_some_and(|server| server.flows.get(&port).is_some_and(|(_, open)| *open))
    }

    fn answer(&mut self, vm: u8, to: u8, key: FlowKey, reply: Reply) {
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

    fn handle(&mut self, event: Event) {
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
                if let Some(process) = self.process(to) {
                    process.agent.note_withdrawn(time, packet_addr(from));
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

    /// Lets an agent that has just started connect to its backend server.
    fn look(&mut self, vm: u8, instance: u32) {
        let present = self.vms.get(&vm).is_some_and(|vm| vm.server.is_some());
        let process = self.process(vm);
        let Some(process) = process.filter(|process| process.instance == instance) else {
            return;
        };
        if present {
            return process.agent.note_backend_at_start();
        }
        process.agent.note_backendless_start();
        self.note(format!("agent {instance} finds no backend server"));
    }

    fn tick(&mut self, vm: u8, instance: u32) {
        if self
            .process(vm)
            .is_none_or(|process| process.instance != instance)
        {
            return;
        }
        self.with_agent(vm, None, Agent::tick);
        let plan = self.plan.clone();
        let now = self.process_time(vm);
        if let Some(process) = self.process(vm) {
            let accepts = process.agent.offer(now, &plan).accepts;
            if std::mem::replace(&mut process.accepts, accepts) != accepts {
                self.announce(vm, State::Running);
            }
        }
        let now = self.now;
        self.balancer.refresh(now);
        self.push(TICK_PERIOD, Event::Tick { vm, instance });
    }

    /// Exchanges members with another process.
    fn sync(&mut self, vm: u8, instance: u32) {
        if self
            .process(vm)
            .is_none_or(|process| process.instance != instance)
        {
            return;
        }
        let others: Vec<u8> = self
            .processes()
            .into_iter()
            .filter(|other| *other != vm)
            .collect();
        let other = others[self.rng.random_range(0..others.len())];
        let members = |directory: &mut Directory| {
            let all = directory.members().cloned().collect::<Vec<_>>();
            (all, directory.synced)
        };
        let (theirs, synced) = self.directory(other).map(members).unwrap_or_default();
        let (ours, _) = self.directory(vm).map(members).unwrap_or_default();
        for (at, members) in [(vm, theirs), (other, ours)] {
            if let Some(directory) = self.directory(at) {
                members.iter().for_each(|member| directory.merge(member));
            }
        }
        if let Some(process) = self.process(vm) {
            process.directory.synced |= synced;
        }
        let period = match synced {
            true => SYNC_PERIOD,
            false => self.between(10, 100),
        };
        self.push(period, Event::Sync { vm, instance });
    }

    fn report(&mut self, vm: u8, start: u32) {
        let now = self.now;
        let period = self.between(850, 1_050);
        let server = self.vms.get_mut(&vm).and_then(|vm| vm.server.as_mut());
        let Some(server) = server.filter(|server| server.start == start) else {
            return;
        };
        let mute = now < server.mute_until;
        server.sequence += 1;
        let report = Report {
            id: server.id().into(),
            born: server.born,
            sequence: server.sequence,
            state: server.state,
            cold: Duration::ZERO,
            slots: 50,
        };
        if !mute {
            self.with_agent(vm, None, |agent, now, _, out| {
                agent.report(now, report, out);
            });
        }
        let retry = self.process(vm).is_none();
        self.push(
            if retry { period / 4 } else { period },
            Event::Report { vm, start },
        );
    }

    /// Handles a packet at a backend server.
    fn serve(&mut self, vm: u8, segment: Segment) {
        let port = segment.source.port();
        let sequence = self.rng.random();
        let server = self.vms.get_mut(&vm).and_then(|vm| vm.server.as_mut());
        let Some(server) = server else {
            return;
        };
        let answer = if segment.syn {
            let (sequence, _) = *server.flows.entry(port).or_insert((sequence, false));
            Some(Segment {
                sequence,
                ..syn_ack(port)
            })
        } else {
            let flow = server.flows.get_mut(&port);
            let holds = |(sequence, _): &(u32, bool)| {
                segment.acknowledged.wrapping_sub(*sequence) < 1 << 16
            };
            match flow.filter(|flow| holds(flow)) {
                Some(flow) => {
                    flow.1 = true;
                    let sequence = segment.acknowledged;
                    (segment.length > 0).then(|| Segment {
                        sequence,
                        ..reply(port, 500)
                    })
                }
                None => Some(returned(segment)),
            }
        };
        if let Some(segment) = answer {
            let delay = self.between(0, 6);
            self.push(delay, Event::FromServer { vm, segment });
        }
    }

    fn receive(&mut self, segment: Segment, vm: u8) {
        let port = segment.target.port();
        let server = self.vms.get(&vm).and_then(|vm| vm.server.as_ref());
        let start = server.map_or(0, |server| server.start);
        let Some(flow) = self.flows.get_mut(&port) else {
            return;
        };
        match flow.caller {
            Caller::Opening { .. } if segment.syn => {
                let acknowledged = segment.sequence.wrapping_add(1);
                flow.caller = Caller::Open {
                    vm,
                    start,
                    acknowledged,
                };
                self.note(format!(
                    "flow {port} opens at VM {vm}, backend server {start}"
                ));
                self.send_data(port, 0);
                let pause = self.between(1, 400);
                self.push(pause, Event::Request { port });
            }
            Caller::Open { .. }
                if segment.length > 0 && flow.asked.take().is_some() && self.now < BUSY_TIME =>
            {
                let pause = self.between(300, 3_000);
                self.push(pause, Event::Request { port });
            }
            _ => {}
        }
    }

    fn open_flow(&mut self) {
        if self.now > BUSY_TIME {
            return;
        }
        let port = self.next_port;
        self.next_port += 1;
        let flow = Flow {
            caller: Caller::Opening { copies: 0 },
            asked: None,
            hint: None,
        };
        self.flows.insert(port, flow);
        self.send_syn(port);
        self.push(FLOW_PERIOD, Event::Open);
        self.push(LAST_REQUESTS - self.now, Event::Request { port });
    }

    fn send_syn(&mut self, port: u16) {
        let Some(flow) = self.flows.get_mut(&port) else {
            return;
        };
        let Caller::Opening { copies } = flow.caller else {
            return;
        };
        if copies as usize == SYN_COPIES.len() {
            flow.caller = Caller::Closed;
            return;
        }
        flow.caller = Caller::Opening { copies: copies + 1 };
        let before = if copies == 0 {
            0
        } else {
            SYN_COPIES[copies as usize - 1]
        };
        self.push(
            ms(SYN_COPIES[copies as usize] - before),
            Event::CopySyn { port },
        );
        let accepting = self.balancer.peers().iter().filter(|peer| peer.accepts);
        let accepting: Vec<u8> = accepting.map(|peer| vm_of(peer.packet_addr)).collect();
        if !accepting.is_empty() {
            let to = accepting[self.rng.random_range(0..accepting.len())];
            let segment = syn(port, copies);
            let delay = self.between(1, 4);
            self.push(
                delay,
                Event::Packet {
                    to,
                    from: BALANCER,
                    segment,
                },
            );
        }
    }

    fn request(&mut self, port: u16) {
        let now = self.now;
        let Some(flow) = self.flows.get_mut(&port) else {
            return;
        };
        if !matches!(flow.caller, Caller::Open { .. }) || flow.asked.is_some() {
            return;
        }
        flow.asked = Some(now);
        self.send_data(port, 90);
        self.push(
            ms(200),
            Event::Repeat {
                port,
                asked: now,
                gap: 200,
            },
        );
    }

    /// Sends a caller's packet through the flow's agent or any other one, as routers select another
    /// balancer after each change of theirs.
    fn send_data(&mut self, port: u16, length: u16) {
        let flow = self.flows[&port];
        let Caller::Open {
            vm, acknowledged, ..
        } = flow.caller
        else {
            return;
        };
        let known: Vec<u8> = self
            .balancer
            .peers()
            .iter()
            .map(|p| vm_of(p.packet_addr))
            .collect();
        if known.is_empty() {
            return;
        }
        let hinted = Some(flow.hint.unwrap_or(vm)).filter(|vm| known.contains(vm));
        let to = match hinted.filter(|_| self.rng.random_bool(0.5)) {
            Some(vm) => vm,
            None => known[self.rng.random_range(0..known.len())],
        };
        let segment = Segment {
            acknowledged,
            ..data(port, length)
        };
        let delay = self.between(1, 4);
        self.push(
            delay,
            Event::Packet {
                to,
                from: BALANCER,
                segment,
            },
        );
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

fn vm_of(address: SocketAddrV4) -> u8 {
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
