//! What an agent does with datagrams of balancers and sibling agents: it carries the decisions
//! about flows out on the stacks.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use buckthornweir_events::{Count, EventKind};
use buckthornweir_flows::messages::{FlowBody, Forward};
use buckthornweir_flows::moving::MoveAction;
use buckthornweir_flows::ownership::{Action, DropReason, Ownership};
use buckthornweir_flows::packet::{FiveTuple, PacketInfo, parse};
use buckthornweir_flows::view::AgentView;
use buckthornweir_wire::NodeId;
use smol_str::{SmolStr, format_smolstr};
use tokio_util::sync::CancellationToken;

use super::mover::Mover;
use super::serve::Server;
use super::shards::FlowTable;
use crate::board::Blackboard;
use crate::peer_packets::PeerSocket;
use crate::views::{GATHER, ViewBuilder};

/// How often lookups and offers are repeated where an answer is missing.
const TICK: Duration = Duration::from_millis(10);

/// Serves the flows of one agent.
pub(crate) struct FlowServer {
    board: Arc<Blackboard>,
    service: SmolStr,
    ownership: Arc<Ownership>,
    table: Arc<FlowTable>,
    mover: Arc<Mover>,
    server: Server,
    peers: Arc<PeerSocket>,
    view: ArcSwapOption<AgentView>,
}

/// The packet that a decision is about.
struct Packet<'a> {
    info: &'a PacketInfo,
    bytes: &'a [u8],
}

impl FlowServer {
    pub(crate) fn new(
        board: Arc<Blackboard>,
        service: SmolStr,
        ownership: Arc<Ownership>,
        table: Arc<FlowTable>,
        mover: Arc<Mover>,
        server: Server,
        peers: Arc<PeerSocket>,
    ) -> Self {
        Self {
            board,
            service,
            ownership,
            table,
            mover,
            server,
            peers,
            view: ArcSwapOption::empty(),
        }
    }

    /// Takes a message of a balancer or a sibling agent.
    pub(crate) fn receive(&self, body: FlowBody) {
        let Some(view) = self.view.load_full() else {
            return self.board.metrics.count(Count::PacketsDropped);
        };
        let now = self.board.now();
        let mut actions = Vec::new();
        let read = match body {
            FlowBody::Forward(forward) => return self.forwarded(&view, &forward),
            FlowBody::Query(query) => self.ownership.query(&view, &query, now, &mut actions),
            FlowBody::Answer(answer) => self.ownership.answer(&view, &answer, now, &mut actions),
            FlowBody::Offer(offer) => {
                return self.move_all(&view, self.mover.offered(&view, &offer));
            }
            FlowBody::Taken(taken) => return self.move_all(&view, self.mover.taken(&taken)),
            FlowBody::Hint(_) | FlowBody::Refusal(_) => return,
        };
        if read.is_err() {
            self.board.metrics.count(Count::DatagramsMalformed);
        }
        self.carry_out(&view, actions, None);
    }

    fn forwarded(&self, view: &AgentView, forward: &Forward) {
        let Ok(info) = parse(&forward.packet) else {
            return self.board.metrics.count(Count::PacketsMalformed);
        };
        let packet = Packet {
            info: &info,
            bytes: &forward.packet,
        };
        let mut actions = Vec::new();
        let now = self.board.now();
        self.ownership
            .packet(view, forward, &info, now, &mut actions);
        self.carry_out(view, actions, Some(&packet));
    }

    /// Follows the blackboard and repeats unanswered questions until `stop` is cancelled.
    pub(crate) async fn run(self: Arc<Self>, stop: CancellationToken) {
        let mut builder = ViewBuilder::new(&self.board.settings.node.key);
        let mut changes = self.board.changes();
        let mut ticks = tokio::time::interval(TICK);
        let mut changed_at = Some(Duration::ZERO);
        while !stop.is_cancelled() {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => {}
                _ = changes.changed() => {
                    changed_at.get_or_insert(self.board.now());
                }
            }
            if changed_at.is_some_and(|at| self.board.now() >= at + GATHER) {
                changed_at = None;
                self.follow(&mut builder);
            }
            self.tick();
        }
    }

    fn follow(&self, builder: &mut ViewBuilder) {
        let Some(view) = builder.agent(&self.board, &self.service) else {
            return;
        };
        let view = Arc::new(view);
        self.view.store(Some(view.clone()));
        let mut actions = Vec::new();
        self.ownership.apply_view(&view, &mut actions);
        self.carry_out(&view, actions, None);
    }

    fn tick(&self) {
        let Some(view) = self.view.load_full() else {
            return;
        };
        let mut actions = Vec::new();
        let now = self.board.now();
        self.ownership.tick(&view, now, &mut actions);
        self.carry_out(&view, actions, None);
        self.move_all(&view, self.mover.tick(&view));
    }

    /// Ends every flow after the request that runs on it, or hands it over.
    pub(crate) fn drain(&self) {
        self.server.drain();
    }

    /// Returns whether no flow is left, and none is on its way to a sibling.
    pub(crate) fn is_drained(&self) -> bool {
        self.server.serving() == 0 && self.mover.is_done()
    }

    /// Resets every flow that is left.
    pub(crate) fn give_up(&self) {
        let mut actions = Vec::new();
        self.ownership.give_up(&mut actions);
        for action in actions {
            if let Action::GiveUp(tuple) = action {
                self.reset(&tuple, "the stop's time limit");
            }
        }
    }

    fn carry_out(&self, view: &AgentView, actions: Vec<Action>, packet: Option<&Packet<'_>>) {
        for action in actions {
            self.carry_out_one(view, action, packet);
        }
    }

    fn carry_out_one(&self, view: &AgentView, action: Action, packet: Option<&Packet<'_>>) {
        let metrics = &self.board.metrics;
        match (action, packet) {
            (Action::Start(_), Some(packet)) => self.table.start(packet.info, packet.bytes),
            (Action::Deliver(tuple), Some(packet)) => {
                if let Some(stream) = self.table.deliver(&tuple, packet.bytes) {
                    self.server.serve(stream);
                }
            }
            (Action::Start(tuple) | Action::Deliver(tuple), None) => {
                // These answer a packet only.
                self.ownership.closed(&tuple);
            }
            (Action::Abandon(tuple), _) => self.table.abandon(&tuple),
            (Action::GiveUp(tuple), _) => self.reset(&tuple, "the failure domain is out"),
            (Action::Reset(bytes), _) => {
                metrics.count(Count::FlowsReset);
                self.table.send(&bytes);
            }
            (Action::Send { to, body }, _) => self.send(view, to, body),
            (Action::Hold, _) => metrics.count(Count::PacketsAwaitingOwner),
            (Action::Drop(DropReason::TooManyHops), _) => metrics.count(Count::PacketsHopLimit),
            (Action::Drop(_), _) => metrics.count(Count::PacketsDropped),
        }
    }

    fn reset(&self, tuple: &FiveTuple, reason: &str) {
        self.table.give_up(tuple);
        let flow = format_smolstr!("{} {}", tuple.caller, tuple.service);
        let reason = reason.into();
        self.board.record(EventKind::FlowReset { flow, reason });
    }

    fn move_all(&self, view: &AgentView, actions: Vec<MoveAction>) {
        for action in actions {
            match action {
                MoveAction::Send { to, body } => self.send(view, to, body),
                MoveAction::Adopt(flow) => {
                    self.board.metrics.count(Count::FlowsMovedIn);
                    self.resume(&flow);
                }
                MoveAction::Keep(flow) => self.resume(&flow),
                MoveAction::Lose(_) => self.board.metrics.count(Count::FlowsEnded),
            }
        }
    }

    fn resume(&self, flow: &buckthornweir_flows::moving::QuietFlow) {
        match self.table.adopt(flow) {
            Some(stream) => self.server.serve(stream),
            None => self.ownership.closed(&flow.tuple),
        }
    }

    fn send(&self, view: &AgentView, to: NodeId, body: FlowBody) {
        let known = view.service.member(to).map(|member| member.address);
        let address = known.or_else(|| self.board.member(to).map(|m| m.record.flows));
        if let Some(address) = address {
            self.peers.send(address, body);
        }
    }
}
