//! Agents that exchange their messages through a queue.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use buckthornweir_flows::messages::{FlowBody, Forward};
use buckthornweir_flows::prelude::*;

use super::{KEY, info};

pub(crate) const BALANCER: NodeId = 1_000;

pub(crate) fn member(node: NodeId, state: MemberState) -> Member {
    Member {
        node,
        address: ([10, 0, 0, node as u8], 7_000).into(),
        domain: format!("domain-{}", node % 3).into(),
        state,
        weight: 16,
    }
}

pub(crate) fn ready_members(nodes: &[NodeId]) -> Vec<Member> {
    let nodes = nodes.iter();
    nodes
        .map(|&node| member(node, MemberState::Ready))
        .collect()
}

pub(crate) fn service(name: &str, members: Vec<Member>) -> ServiceView {
    let addresses = vec![([198, 51, 100, 1], 80).into()];
    ServiceView::new(name.into(), addresses, members, &BTreeSet::new(), KEY)
}

pub(crate) fn view(node: NodeId, members: Vec<Member>) -> AgentView {
    view_of(node, service("orders", members))
}

fn view_of(node: NodeId, service: ServiceView) -> AgentView {
    let own = service.member(node);
    AgentView {
        node,
        version: 1,
        state: own.map_or(MemberState::Ready, |member| member.state),
        is_out: false,
        is_settled: true,
        service,
        others: Vec::new(),
    }
}

pub(crate) fn forward(packet: &[u8]) -> Forward {
    Forward {
        service: "orders".into(),
        bundle_version: 1,
        hops: 0,
        balancer: BALANCER,
        packet: packet.to_vec(),
        sender: 0,
    }
}

pub(crate) struct Agent {
    pub(crate) ownership: Ownership,
    pub(crate) view: AgentView,
    pub(crate) target: MoveTarget,
    /// Whether the agent neither receives nor sends messages.
    pub(crate) is_partitioned: bool,
}

/// Agents that exchange their messages through a queue.
pub(crate) struct Mesh {
    pub(crate) agents: BTreeMap<NodeId, Agent>,
    pub(crate) now: Duration,
    /// Actions since the log was last taken, such as `1:deliver`.
    pub(crate) log: Vec<String>,
    /// Number of times that agents received a packet since the last call of `send`.
    pub(crate) hops: u32,
    pub(crate) adopted: Vec<QuietFlow>,
    pub(crate) taken: Vec<buckthornweir_flows::messages::Taken>,
    queue: VecDeque<(NodeId, FlowBody)>,
}

impl Mesh {
    pub(crate) fn new(nodes: &[NodeId]) -> Self {
        Self::with_service(nodes, &service("orders", ready_members(nodes)))
    }

    pub(crate) fn with_service(nodes: &[NodeId], service: &ServiceView) -> Self {
        let agents = nodes
            .iter()
            .map(|&node| (node, agent(view_of(node, service.clone()))));
        Self {
            agents: agents.collect(),
            now: Duration::from_secs(1),
            log: Vec::new(),
            hops: 0,
            adopted: Vec::new(),
            taken: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    pub(crate) fn agent(&mut self, node: NodeId) -> &mut Agent {
        self.agents.get_mut(&node).unwrap()
    }

    pub(crate) fn update_views(&mut self, change: impl Fn(&mut AgentView)) {
        for agent in self.agents.values_mut() {
            change(&mut agent.view);
        }
    }

    /// Forwards a packet from the balancer to an agent, and returns the resulting actions.
    pub(crate) fn packet(&mut self, node: NodeId, packet: &[u8]) -> String {
        self.send(node, FlowBody::Forward(forward(packet)))
    }

    /// Sends a message to an agent, and returns the resulting actions.
    pub(crate) fn send(&mut self, node: NodeId, body: FlowBody) -> String {
        self.queue.push_back((node, body));
        self.run()
    }

    /// Establishes a flow at an agent, with the initial sequence number 0 in its SYN-ACK.
    pub(crate) fn establish(&mut self, node: NodeId, tuple: &FiveTuple) {
        self.packet(node, &super::syn(tuple, 0));
        self.agent(node).ownership.record_syn_ack(tuple, 0);
        let done = self.packet(node, &super::data(tuple, 1, b""));
        assert_eq!(done, format!("{node}:deliver"));
    }

    /// Advances the time in steps, and returns the resulting actions.
    pub(crate) fn advance(&mut self, time: Duration) -> String {
        const STEP: Duration = Duration::from_millis(10);
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for node in self.agents.keys().copied().collect::<Vec<_>>() {
                let mut out = Vec::new();
                let agent = &self.agents[&node];
                agent.ownership.tick(&agent.view, self.now, &mut out);
                self.run_actions(node, out);
            }
            self.deliver_all();
        }
        self.take_log()
    }

    fn run(&mut self) -> String {
        self.hops = 0;
        self.deliver_all();
        self.take_log()
    }

    fn take_log(&mut self) -> String {
        std::mem::take(&mut self.log).join(" ")
    }

    fn deliver_all(&mut self) {
        let mut messages = 0;
        while let Some((node, body)) = self.queue.pop_front() {
            messages += 1;
            assert!(messages < 10_000, "messages are exchanged endlessly");
            self.deliver(node, body);
        }
    }

    fn deliver(&mut self, node: NodeId, body: FlowBody) {
        let now = self.now;
        let Some(agent) = self
            .agents
            .get_mut(&node)
            .filter(|agent| !agent.is_partitioned)
        else {
            if let FlowBody::Hint(hint) = body {
                self.log.push(format!("hint:{}", hint.owner));
            }
            return;
        };
        let (view, mut out, mut moves) = (&agent.view, Vec::new(), Vec::new());
        match &body {
            FlowBody::Forward(forward) => {
                self.hops += 1;
                let info = info(&forward.packet);
                agent.ownership.packet(view, forward, &info, now, &mut out);
            }
            FlowBody::Query(query) => agent.ownership.query(view, query, now, &mut out).unwrap(),
            FlowBody::Answer(reply) => agent.ownership.answer(view, reply, now, &mut out).unwrap(),
            FlowBody::Offer(offer) => {
                agent
                    .target
                    .offer(&agent.ownership, view, offer, &mut moves)
                    .unwrap();
            }
            FlowBody::Taken(taken) => self.taken.push(taken.clone()),
            FlowBody::Hint(_) | FlowBody::Refusal(_) => {}
        }
        self.run_actions(node, out);
        self.run_moves(moves);
    }

    pub(crate) fn run_moves(&mut self, moves: Vec<MoveAction>) {
        for action in moves {
            match action {
                MoveAction::Send { to, body } => self.queue.push_back((to, body)),
                MoveAction::Adopt(flow) => self.adopted.push(flow),
                MoveAction::Deliver { .. } => self.log.push("held".into()),
                MoveAction::Resume(_) => self.log.push("resume".into()),
                MoveAction::Forget(_) => self.log.push("forget".into()),
            }
        }
    }

    fn run_actions(&mut self, node: NodeId, actions: Vec<Action>) {
        let is_partitioned = self.agents[&node].is_partitioned;
        for action in actions {
            let name = match action {
                Action::Start(_) => "start".into(),
                Action::Deliver(_) => "deliver".into(),
                Action::Abandon(_) => "abandon".into(),
                Action::Abort(_) => "abort".into(),
                Action::Reset(_) => "reset".into(),
                Action::Hold => "hold".into(),
                Action::Drop(reason) => format!("{reason:?}"),
                Action::Send { to, body } => {
                    if let FlowBody::Refusal(refusal) = &body {
                        self.log
                            .push(format!("{node}:refuse-v{}", refusal.bundle_version));
                    }
                    if !is_partitioned {
                        self.queue.push_back((to, body));
                    }
                    continue;
                }
            };
            self.log.push(format!("{node}:{name}"));
        }
    }
}

pub(crate) fn agent(view: AgentView) -> Agent {
    Agent {
        ownership: Ownership::new(view.node, KEY, 1, OwnerLimits::default()),
        target: MoveTarget::new(view.node),
        view,
        is_partitioned: false,
    }
}
