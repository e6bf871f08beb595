//! Test harness for one agent with its view, and constructors for packets.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use buckthornweir_forward::agent::{Action, Agent, AgentConfig, Answer, Question, Reply, View};
use buckthornweir_forward::backend::{ColdBound, Report, ReportState};
use buckthornweir_forward::peers::{Peer, Peers};
use buckthornweir_forward::plan::{Plan, Route, Service, Split};
use buckthornweir_forward::segment::{FlowKey, Segment};
use buckthornweir_forward::tag::Tag;

pub(crate) const REPORT_PERIOD: Duration = Duration::from_secs(1);
pub(crate) const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
pub(crate) const BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 9, 9), 7000);
/// Sequence number of the SYN-ACKs of the simulated backend server.
pub(crate) const SYN_ACK_SEQUENCE: u32 = 5_000_000;

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn packet_addr(node: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, node), 7000)
}

pub(crate) fn ask_addr(node: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, node), 7100)
}

pub(crate) fn caller(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port)
}

pub(crate) fn key(port: u16) -> FlowKey {
    FlowKey {
        caller: caller(port),
        service: SERVICE,
    }
}

pub(crate) fn peer(node: u8, domain: &str, service: &str) -> Peer {
    Peer {
        node: u64::from(node),
        instance: 1,
        packet_addr: packet_addr(node),
        ask_addr: ask_addr(node),
        domain: domain.into(),
        service: service.into(),
        accepts: true,
        cold: false,
        free: 4,
        weight: 16,
    }
}

pub(crate) fn plan(service: &str) -> Plan {
    let route = Route {
        splits: vec![Split {
            service: service.into(),
            weight: 1,
        }],
        ..Route::default()
    };
    Plan {
        revision: 1,
        version: 1,
        routes: [(SERVICE, route)].into(),
        services: [(service.into(), Service::default())].into(),
        ..Plan::default()
    }
}

/// Returns a packet with `length` payload bytes of the caller at `port`.
pub(crate) fn data(port: u16, length: u16) -> Segment {
    Segment {
        source: caller(port),
        target: SERVICE,
        syn: false,
        fin: false,
        rst: false,
        returned: false,
        sequence: 1,
        acknowledged: SYN_ACK_SEQUENCE + 1,
        length,
        tag: 0,
    }
}

/// Returns the SYN of the caller at `port` after `retransmissions` earlier transmissions.
pub(crate) fn syn(port: u16, retransmissions: u32) -> Segment {
    Segment {
        syn: true,
        acknowledged: retransmissions,
        ..data(port, 0)
    }
}

/// Returns a packet of the backend server to the caller at `port`.
pub(crate) fn reply(port: u16, length: u16) -> Segment {
    Segment {
        source: SERVICE,
        target: caller(port),
        sequence: SYN_ACK_SEQUENCE + 1,
        acknowledged: 2,
        ..data(port, length)
    }
}

pub(crate) fn syn_ack(port: u16) -> Segment {
    Segment {
        syn: true,
        sequence: SYN_ACK_SEQUENCE,
        ..reply(port, 0)
    }
}

/// Returns the packet as the backend server returns it.
pub(crate) fn returned(segment: Segment) -> Segment {
    Segment {
        returned: true,
        ..segment
    }
}

/// Returns the packet as agents of this release pass it on.
pub(crate) fn with_hops(segment: Segment, hops: u8) -> Segment {
    let tag = Tag {
        hops,
        aside: true,
        age_known: true,
        ..Tag::default()
    };
    Segment {
        tag: tag.word(),
        ..segment
    }
}

pub(crate) fn report(sequence: u64) -> Report {
    Report {
        id: "i-1".into(),
        born: 1_000_000,
        sequence,
        state: ReportState::Ready,
        cold: Duration::ZERO,
        slots: 2,
    }
}

/// Agent 1 with its siblings 2 and 3, all of service `desk` in the failure domain `a`.
pub(crate) struct Harness {
    pub(crate) agent: Agent,
    pub(crate) plan: Plan,
    pub(crate) peers: Peers,
    pub(crate) now: Duration,
    pub(crate) grace_elapsed: bool,
    pub(crate) peers_synced: bool,
}

impl Harness {
    pub(crate) fn new() -> Self {
        Self::started(1_000_100)
    }

    /// Returns a harness whose agent started at `started_ms` by the clock of its VM.
    pub(crate) fn started(started_ms: u64) -> Self {
        let config = AgentConfig {
            node: 1,
            packet_addr: packet_addr(1),
            domain: "a".into(),
            service: "desk".into(),
            cold_bound: ColdBound {
                factor: 1.5,
                slack: 5.0,
            },
            report_period: REPORT_PERIOD,
            started_ms,
        };
        Self {
            agent: Agent::new(config),
            plan: plan("desk"),
            peers: Peers::new([1, 2, 3].map(|node| peer(node, "a", "desk"))),
            now: ms(100),
            grace_elapsed: true,
            peers_synced: true,
        }
    }

    /// Returns a harness whose backend server has reported.
    pub(crate) fn reported() -> Self {
        let mut harness = Self::new();
        harness.report(report(1));
        harness
    }

    pub(crate) fn report(&mut self, report: Report) -> Vec<Action> {
        let mut out = Vec::new();
        self.agent.report(self.now, report, &mut out);
        out
    }

    pub(crate) fn after(&mut self, wait: u64) -> &mut Self {
        self.now += ms(wait);
        self
    }

    pub(crate) fn from(&mut self, from: SocketAddrV4, segment: Segment) -> Vec<Action> {
        let mut out = Vec::new();
        let view = View {
            plan: &self.plan,
            peers: &self.peers,
            grace_elapsed: self.grace_elapsed,
            peers_synced: self.peers_synced,
        };
        let bytes = segment.sequence.to_be_bytes();
        self.agent
            .caller_packet(self.now, view, from, &segment, &bytes, &mut out);
        out
    }

    pub(crate) fn caller(&mut self, segment: Segment) -> Vec<Action> {
        self.from(BALANCER, segment)
    }

    pub(crate) fn backend(&mut self, segment: Segment) -> Vec<Action> {
        let mut out = Vec::new();
        let view = View {
            plan: &self.plan,
            peers: &self.peers,
            grace_elapsed: self.grace_elapsed,
            peers_synced: self.peers_synced,
        };
        let bytes = segment.sequence.to_be_bytes();
        self.agent
            .backend_packet(self.now, view, &segment, &bytes, &mut out);
        out
    }

    /// Answers a question of agent 2.
    pub(crate) fn ask(&mut self, question: &Question) -> Reply {
        self.agent.answer(self.now, ask_addr(2), question)
    }

    pub(crate) fn tick(&mut self) -> Vec<Action> {
        let mut out = Vec::new();
        let view = View {
            plan: &self.plan,
            peers: &self.peers,
            grace_elapsed: self.grace_elapsed,
            peers_synced: self.peers_synced,
        };
        self.agent.tick(self.now, view, &mut out);
        out
    }

    /// Opens the flow of the caller at `port` at the local backend server.
    pub(crate) fn open(&mut self, port: u16) {
        self.caller(syn(port, 0));
        self.backend(syn_ack(port));
        self.caller(data(port, 0));
        self.backend(reply(port, 0));
    }
}

/// What a list of actions does with the current packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Delivered,
    PassedTo(u8),
    Reset,
    Held,
    Dropped,
    ToCaller,
}

pub(crate) fn outcome(actions: &[Action]) -> Option<Outcome> {
    use buckthornweir_forward::agent::DropReason;
    actions.iter().find_map(|action| match action {
        Action::Deliver { .. } => Some(Outcome::Delivered),
        Action::Pass { to, .. } => Some(Outcome::PassedTo(to.ip().octets()[3])),
        Action::Reset { .. } => Some(Outcome::Reset),
        Action::ToCaller => Some(Outcome::ToCaller),
        Action::Drop(DropReason::Held) => Some(Outcome::Held),
        Action::Drop(_) | Action::OwnerNotFound { .. } => Some(Outcome::Dropped),
        Action::Ask { .. }
        | Action::AnswerProbe { .. }
        | Action::Hint { .. }
        | Action::Opened { .. }
        | Action::Explain { .. }
        | Action::Queued { .. }
        | Action::Dequeued { .. }
        | Action::Withdraw { .. }
        | Action::Served { .. } => None,
    })
}

pub(crate) fn questions(actions: &[Action]) -> usize {
    let asks = actions.iter().filter(|a| matches!(a, Action::Ask { .. }));
    asks.count()
}

/// Answers for an agent that knows the same agents as the harness.
pub(crate) fn answer_from(harness: &mut Harness, from: u8, port: u16, reply: Reply) -> Vec<Action> {
    let answer = Answer {
        agent: packet_addr(from),
        reply,
        known: harness.peers.fingerprint(),
        instances: harness.peers.instances(),
    };
    handle_answer(harness, port, answer)
}

/// Answers for an agent that knows the agents with this fingerprint and does not send their
/// instances.
pub(crate) fn answer_from_with_known(
    harness: &mut Harness,
    from: u8,
    port: u16,
    reply: Reply,
    known: u64,
) -> Vec<Action> {
    let answer = Answer {
        agent: packet_addr(from),
        reply,
        known,
        instances: 0,
    };
    handle_answer(harness, port, answer)
}

pub(crate) fn handle_answer(harness: &mut Harness, port: u16, answer: Answer) -> Vec<Action> {
    let mut out = Vec::new();
    let view = View {
        plan: &harness.plan,
        peers: &harness.peers,
        grace_elapsed: harness.grace_elapsed,
        peers_synced: harness.peers_synced,
    };
    harness
        .agent
        .handle_answer(harness.now, view, key(port), answer, &mut out);
    out
}

/// Returns a harness with a running lookup for the flow of the caller at port 40,000.
pub(crate) fn harness_with_lookup() -> Harness {
    let mut harness = Harness::reported();
    let question = harness.caller(data(40_000, 90));
    assert_eq!(
        outcome(&question),
        Some(Outcome::Delivered),
        "the backend server is asked first"
    );
    let got = harness.backend(returned(data(40_000, 90)));
    assert_eq!((questions(&got), outcome(&got)), (2, Some(Outcome::Held)));
    harness
}
