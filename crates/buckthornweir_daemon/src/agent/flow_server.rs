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
use buckthornweir_requests::messages::{Load, RequestBody, RequestMessage};
use buckthornweir_wire::{Body, NodeId};
use rand::seq::IteratorRandom as _;
use smol_str::{SmolStr, format_smolstr};
use tokio_util::sync::CancellationToken;

use super::desk::Desk;
use super::mover::Mover;
use super::serve::Server;
use super::shards::FlowTable;
use crate::board::{Blackboard, Leaving};
use crate::peer_packets::PeerSocket;
use crate::views::{VIEW_UPDATE_DELAY, ViewBuilder};

/// How often lookups and offers are repeated where an answer is missing.
const TICK: Duration = Duration::from_millis(20);

/// How long a leaving backend server still gets the requests of flows that have not moved yet.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// How often an agent tells its load to siblings.
const LOAD_PERIOD: Duration = Duration::from_millis(500);

/// How many siblings are told each time.
const LOAD_REPORTS: usize = 3;

/// Serves the flows of one agent.
pub(crate) struct FlowServer {
    pub(super) board: Arc<Blackboard>,
    pub(super) service: SmolStr,
    pub(super) ownership: Arc<Ownership>,
    pub(super) table: Arc<FlowTable>,
    pub(super) mover: Arc<Mover>,
    pub(super) desk: Arc<Desk>,
    pub(super) server: Server,
    pub(super) peers: Arc<PeerSocket>,
    /// Empty until there is a bundle with the service.
    pub(super) view: ArcSwapOption<AgentView>,
}

/// The packet that a decision is about.
struct Packet<'a> {
    info: &'a PacketInfo,
    bytes: &'a [u8],
}

impl FlowServer {
    /// Takes a message of a balancer or a sibling agent.
    pub(crate) fn receive(&self, body: FlowBody) {
        let Some(view) = self.view.load_full() else {
            return self.board.metrics.count(Count::PacketsDroppedNoBundle);
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
        let mut leaving_since = None;
        let mut next_report = Duration::ZERO;
        let mut changed_at = Some(Duration::ZERO);
        while !stop.is_cancelled() {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => {}
                _ = changes.changed() => {
                    changed_at.get_or_insert(self.board.now());
                }
            }
            if changed_at.is_some_and(|at| self.board.now() >= at + VIEW_UPDATE_DELAY) {
                let is_settled = self.follow(&mut builder);
                // The view settles by time alone.
                changed_at = (!is_settled).then(|| self.board.now());
            }
            if self.board.now() >= next_report {
                next_report = self.board.now() + LOAD_PERIOD;
                if let Some(view) = self.view.load_full() {
                    self.tell_load(&view);
                }
            }
            self.follow_leaving(&mut leaving_since);
            self.tick();
        }
    }

    /// Works the view out anew; returns whether it is settled, or has to wait for a bundle.
    fn follow(&self, builder: &mut ViewBuilder) -> bool {
        let Some(view) = builder.agent(&self.board, &self.service) else {
            return true;
        };
        let is_settled = view.is_settled;
        let view = Arc::new(view);
        self.view.store(Some(view.clone()));
        let mut actions = Vec::new();
        self.ownership.apply_view(&view, &mut actions);
        self.carry_out(&view, actions, None);
        is_settled
    }

    /// Takes a sibling's report of its load.
    pub(crate) fn note_load(&self, sibling: NodeId, load: Load) {
        self.desk.note_load(sibling, load);
    }

    /// Tells the own load to a few siblings drawn at random.
    fn tell_load(&self, view: &AgentView) {
        let load = self.desk.load();
        let own = self.board.id;
        let siblings = view.service.members().iter().filter(|m| m.node != own);
        for sibling in siblings.sample(&mut rand::rng(), LOAD_REPORTS) {
            let message = RequestMessage::new(RequestBody::Load(load));
            self.peers
                .send_body(sibling.address, Body::Request(Box::new(message)));
        }
    }

    /// Hands flows over while this process takes no new ones. What a leaving backend server runs
    /// ends [`LEAVING_GRACE`] later.
    fn follow_leaving(&self, leaving_since: &mut Option<Duration>) {
        let leaving = self.board.own().leaving;
        self.server.set_draining(leaving != Leaving::No);
        let now = self.board.now();
        let backend_leaves = matches!(leaving, Leaving::BackendServer | Leaving::Operator);
        if !backend_leaves {
            *leaving_since = None;
        }
        let since = backend_leaves.then(|| *leaving_since.get_or_insert(now));
        let is_over = since.is_some_and(|since| now >= since + LEAVING_GRACE);
        self.desk.set_leaving(is_over);
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

    /// Returns whether no flow and no request is left, and none is on its way to a sibling.
    pub(crate) fn is_drained(&self) -> bool {
        self.server.serving() == 0 && self.mover.is_done() && self.desk.is_idle()
    }

    /// Resets every flow that is left.
    pub(crate) fn give_up(&self) {
        let mut actions = Vec::new();
        self.ownership.abort_all(&mut actions);
        for action in actions {
            if let Action::Abort(tuple) = action {
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
                self.ownership.remove_flow(&tuple);
            }
            (Action::Abandon(tuple), _) => self.table.abandon(&tuple),
            (Action::Abort(tuple), _) => self.reset(&tuple, "the failure domain is out"),
            (Action::Reset(bytes), _) => {
                metrics.count(Count::FlowsUnowned);
                self.table.send(&bytes);
            }
            (Action::Send { to, body }, _) => self.send(view, to, body),
            (Action::Hold, _) => metrics.count(Count::PacketsAwaitingOwner),
            (Action::Drop(reason), _) => metrics.count(count_of(reason)),
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
                MoveAction::Resume(flow) => self.resume(&flow),
                MoveAction::Deliver { tuple, packet } => {
                    if let Some(stream) = self.table.deliver(&tuple, &packet) {
                        self.server.serve(stream);
                    }
                }
                MoveAction::Forget(_) => self.board.metrics.count(Count::FlowsEnded),
            }
        }
    }

    fn resume(&self, flow: &buckthornweir_flows::moving::QuietFlow) {
        match self.table.adopt(flow) {
            Some(stream) => self.server.serve(stream),
            None => self.ownership.remove_flow(&flow.tuple),
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

/// Returns what counts packets that are dropped for `reason`.
fn count_of(reason: DropReason) -> Count {
    match reason {
        DropReason::TooManyHops => Count::PacketsHopLimit,
        DropReason::DomainOut => Count::PacketsDroppedDomainOut,
        DropReason::WrongService => Count::PacketsDroppedWrongService,
        DropReason::NoOwner => Count::PacketsDroppedNoOwner,
        DropReason::NotOwner => Count::PacketsDroppedNotOwner,
        DropReason::FlowsFull => Count::PacketsDroppedFlowsFull,
        DropReason::LookupsFull => Count::PacketsDroppedLookupsFull,
        DropReason::NotSettled => Count::PacketsDroppedNotSettled,
        DropReason::Behind => Count::PacketsDroppedBehind,
        DropReason::Stray => Count::PacketsDroppedStray,
    }
}
