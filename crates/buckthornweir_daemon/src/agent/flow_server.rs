//! Handles datagrams from balancers and sibling agents and applies the resulting ownership
//! decisions to the TCP stacks.

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

use super::coordinator::RequestCoordinator;
use super::flow_table::FlowTable;
use super::flow_tasks::FlowTasks;
use super::mover::Mover;
use crate::board::{Blackboard, Leaving};
use crate::peer_packets::PeerSocket;
use crate::views::{VIEW_UPDATE_DELAY, ViewBuilder};

/// How often timers are checked; unanswered lookups and offers are retried from there.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// How long a leaving backend server still gets requests on flows that have not moved yet.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// How often an agent reports its load to siblings.
const LOAD_PERIOD: Duration = Duration::from_millis(500);

/// How many siblings get each load report.
const LOAD_FANOUT: usize = 3;

/// Handles the datagrams about the flows of one agent.
pub(crate) struct FlowServer {
    pub(super) board: Arc<Blackboard>,
    pub(super) service: SmolStr,
    pub(super) ownership: Arc<Ownership>,
    pub(super) table: Arc<FlowTable>,
    pub(super) mover: Arc<Mover>,
    pub(super) coordinator: Arc<RequestCoordinator>,
    pub(super) tasks: FlowTasks,
    pub(super) peers: Arc<PeerSocket>,
    /// Empty until a bundle that contains the service is in force.
    pub(super) view: ArcSwapOption<AgentView>,
}

/// The packet that a decision applies to.
struct Packet<'a> {
    info: &'a PacketInfo,
    bytes: &'a [u8],
}

impl FlowServer {
    /// Handles a message from a balancer or a sibling agent.
    pub(crate) fn receive(&self, body: FlowBody) {
        let Some(view) = self.view.load_full() else {
            return self.board.metrics.count(Count::PacketsDroppedNoBundle);
        };
        let now = self.board.now();
        let mut actions = Vec::new();
        let result = match body {
            FlowBody::Forward(forward) => return self.handle_forward(&view, &forward),
            FlowBody::Query(query) => self.ownership.query(&view, &query, now, &mut actions),
            FlowBody::Answer(answer) => self.ownership.answer(&view, &answer, now, &mut actions),
            FlowBody::Offer(offer) => {
                return self.apply_moves(&view, self.mover.on_offer(&view, &offer));
            }
            FlowBody::Taken(taken) => return self.apply_moves(&view, self.mover.on_taken(&taken)),
            FlowBody::Hint(_) | FlowBody::Refusal(_) => return,
        };
        if result.is_err() {
            self.board.metrics.count(Count::DatagramsMalformed);
        }
        self.apply_actions(&view, actions, None);
    }

    fn handle_forward(&self, view: &AgentView, forward: &Forward) {
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
        self.apply_actions(view, actions, Some(&packet));
    }

    /// Rebuilds the view when the blackboard changes and runs the timers until `stop` is cancelled.
    pub(crate) async fn run(self: Arc<Self>, stop: CancellationToken) {
        let mut builder = ViewBuilder::new(&self.board.settings.node.key);
        let mut changes = self.board.changes();
        let mut ticks = tokio::time::interval(TICK_PERIOD);
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
                let is_settled = self.update_view(&mut builder);
                // Schedules another rebuild: a view also settles without a further change.
                changed_at = (!is_settled).then(|| self.board.now());
            }
            if self.board.now() >= next_report {
                next_report = self.board.now() + LOAD_PERIOD;
                if let Some(view) = self.view.load_full() {
                    self.report_load(&view);
                }
            }
            self.update_leaving(&mut leaving_since);
            self.tick();
        }
    }

    /// Rebuilds the view. Returns whether no further rebuild is due: the view is settled, or no
    /// bundle contains the service yet.
    fn update_view(&self, builder: &mut ViewBuilder) -> bool {
        let Some(view) = builder.agent(&self.board, &self.service) else {
            return true;
        };
        let is_settled = view.is_settled;
        let view = Arc::new(view);
        self.view.store(Some(view.clone()));
        let mut actions = Vec::new();
        self.ownership.apply_view(&view, &mut actions);
        self.apply_actions(&view, actions, None);
        is_settled
    }

    /// Handles a load report from a sibling.
    pub(crate) fn note_load(&self, sibling: NodeId, load: Load) {
        self.coordinator.note_load(sibling, load);
    }

    /// Reports the load of this agent to a random sample of siblings.
    fn report_load(&self, view: &AgentView) {
        let load = self.coordinator.load();
        let own = self.board.id;
        let siblings = view.service.members().iter().filter(|m| m.node != own);
        for sibling in siblings.sample(&mut rand::rng(), LOAD_FANOUT) {
            let message = RequestMessage::new(RequestBody::Load(load));
            self.peers
                .send_body(sibling.address, Body::Request(Box::new(message)));
        }
    }

    /// Hands flows over while this process accepts no new ones. Requests stop running at a leaving
    /// backend server after [`LEAVING_GRACE`].
    fn update_leaving(&self, leaving_since: &mut Option<Duration>) {
        let leaving = self.board.own().leaving;
        self.tasks.set_draining(leaving != Leaving::No);
        let now = self.board.now();
        let backend_leaves = matches!(leaving, Leaving::BackendServer | Leaving::Operator);
        if !backend_leaves {
            *leaving_since = None;
        }
        let since = backend_leaves.then(|| *leaving_since.get_or_insert(now));
        let is_expired = since.is_some_and(|since| now >= since + LEAVING_GRACE);
        self.coordinator.set_leaving(is_expired);
    }

    fn tick(&self) {
        let Some(view) = self.view.load_full() else {
            return;
        };
        let mut actions = Vec::new();
        let now = self.board.now();
        self.ownership.tick(&view, now, &mut actions);
        self.apply_actions(&view, actions, None);
        self.apply_moves(&view, self.mover.tick(&view));
    }

    /// Returns whether no flow and no request is left and no flow is being moved to a sibling.
    pub(crate) fn is_drained(&self) -> bool {
        self.tasks.active() == 0 && self.mover.is_done() && self.coordinator.is_idle()
    }

    /// Resets all remaining flows.
    pub(crate) fn abort_all_flows(&self) {
        let mut actions = Vec::new();
        self.ownership.abort_all(&mut actions);
        for action in actions {
            if let Action::Abort(tuple) = action {
                self.reset(&tuple, "the stop's time limit");
            }
        }
    }

    fn apply_actions(&self, view: &AgentView, actions: Vec<Action>, packet: Option<&Packet<'_>>) {
        for action in actions {
            self.apply_action(view, action, packet);
        }
    }

    fn apply_action(&self, view: &AgentView, action: Action, packet: Option<&Packet<'_>>) {
        let metrics = &self.board.metrics;
        match (action, packet) {
            (Action::Start(_), Some(packet)) => self.table.start(packet.info, packet.bytes),
            (Action::Deliver(tuple), Some(packet)) => {
                if let Some(stream) = self.table.deliver(&tuple, packet.bytes) {
                    self.tasks.serve(stream);
                }
            }
            (Action::Start(tuple) | Action::Deliver(tuple), None) => {
                // These actions are only returned for a packet.
                self.ownership.remove_flow(&tuple);
            }
            (Action::Abandon(tuple), _) => self.table.remove_half_open(&tuple),
            (Action::Abort(tuple), _) => self.reset(&tuple, "the failure domain is out"),
            (Action::Reset(bytes), _) => {
                metrics.count(Count::FlowsUnowned);
                self.table.send(&bytes);
            }
            (Action::Send { to, body }, _) => self.send(view, to, body),
            (Action::Hold, _) => metrics.count(Count::PacketsAwaitingOwner),
            (Action::Drop(reason), _) => metrics.count(drop_counter(reason)),
        }
    }

    fn reset(&self, tuple: &FiveTuple, reason: &str) {
        self.table.reset(tuple);
        let flow = format_smolstr!("{} {}", tuple.caller, tuple.service);
        let reason = reason.into();
        self.board.record(EventKind::FlowReset { flow, reason });
    }

    fn apply_moves(&self, view: &AgentView, actions: Vec<MoveAction>) {
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
                        self.tasks.serve(stream);
                    }
                }
                MoveAction::Forget(_) => self.board.metrics.count(Count::FlowsEnded),
            }
        }
    }

    fn resume(&self, flow: &buckthornweir_flows::moving::QuietFlow) {
        match self.table.resume(flow) {
            Some(stream) => self.tasks.serve(stream),
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

/// Returns the counter of packets that are dropped for `reason`.
fn drop_counter(reason: DropReason) -> Count {
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
