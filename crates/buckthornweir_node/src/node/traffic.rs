//! Receiving and sending of packets, and execution of the decisions about them.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use buckthornweir_events::{Count, Latency};
use buckthornweir_forward::agent::{Action, Agent, DropReason, PassReason, ResetReason};
use buckthornweir_forward::balancer::{Decision, Loss};
use buckthornweir_forward::segment::{FlowKey, Segment};
use buckthornweir_forward::tag::Tag;

use super::{Node, Role, agent_view, packet_addr, packet_port};
use crate::messages::{HintMessage, LoadMessage, PeerBody, PeerMessage, flow_answer, pack};
use crate::packets::MAX_BATCH;

/// Maximum number of silent agents listed in a log line about a lookup.
const MAX_LOGGED_AGENTS: usize = 4;

impl Node {
    pub(super) fn read_packets(&mut self, buffer: &mut [u8]) {
        let now = self.now();
        for _ in 0..MAX_BATCH {
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
                    let decision = core.route(now, self.plans.plan(), &self.peers, &segment);
                    self.forward(&decision, &segment, bytes);
                }
                Role::Agent { core, .. } => {
                    let view = agent_view(&self.plans, &self.peers, &self.gossip, now);
                    let mut actions = std::mem::take(&mut self.actions);
                    core.caller_packet(now, view, from, &segment, bytes, &mut actions);
                    self.execute_all(actions, bytes, Some(&segment));
                }
                Role::Control(_) => {}
            }
        }
    }

    pub(super) fn forward(&mut self, decision: &Decision, segment: &Segment, bytes: &mut [u8]) {
        let Role::Balancer { packets, .. } = &self.role else {
            return;
        };
        let now = self.started.elapsed();
        match decision {
            Decision::Forward { to, tag } => {
                (self.format.mark)(bytes, tag.word());
                packets.send(bytes, *to, &self.metrics);
                self.metrics.count(Count::PacketsForwarded);
                if segment.syn && self.log_budget.try_acquire(now) {
                    tracing::info!(
                        event = "flow_placed",
                        flow = %segment.caller_flow(),
                        agent = %to,
                        copies = segment.retransmissions(),
                        aside = tag.aside,
                        revision = self.plans.plan().revision,
                    );
                }
            }
            Decision::Reset(loss) => {
                let key = segment.caller_flow();
                let reset = (self.format.reset)(&key, segment.acknowledged);
                self.send_to_caller(&reset, *key.caller.ip());
                self.metrics.count(Count::FlowsUnowned);
                self.log_loss("flow_refused", *loss, segment);
            }
            Decision::Drop(loss) => {
                self.metrics.count(match loss {
                    Loss::NoAgent => Count::PacketsNoAgent,
                    Loss::NoPlan | Loss::NoRoute => Count::PacketsUnknownAddress,
                });
                self.log_loss("packet_dropped", *loss, segment);
            }
        }
    }

    pub(super) fn log_loss(&mut self, event: &'static str, loss: Loss, segment: &Segment) {
        if self.log_budget.try_acquire(self.started.elapsed()) {
            tracing::info!(
                event,
                flow = %segment.caller_flow(),
                reason = ?loss,
                syn = segment.syn,
                revision = self.plans.plan().revision,
            );
        }
    }

    pub(super) fn read_outbound(&mut self, buffer: &mut [u8]) {
        let now = self.now();
        for _ in 0..MAX_BATCH {
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
            let view = agent_view(&self.plans, &self.peers, &self.gossip, now);
            let mut actions = std::mem::take(&mut self.actions);
            core.backend_packet(now, view, &segment, bytes, &mut actions);
            self.execute_all(actions, bytes, Some(&segment));
        }
    }

    /// Executes the agent's actions; `bytes` is the current packet.
    pub(super) fn execute_all(
        &mut self,
        mut actions: Vec<Action>,
        bytes: &mut [u8],
        segment: Option<&Segment>,
    ) {
        for action in actions.drain(..) {
            self.execute(action, bytes, segment);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: Action, bytes: &mut [u8], segment: Option<&Segment>) {
        match action {
            Action::Deliver { bytes: held, tag } => self.deliver(held, bytes, tag),
            Action::Pass {
                bytes: held,
                to,
                tag,
                reason,
            } => {
                self.pass(held, bytes, to, tag);
                self.log_pass(segment, to, tag, reason);
            }
            Action::ToCaller => {
                if let Some(segment) = segment {
                    self.send_to_caller(bytes, *segment.target.ip());
                }
            }
            Action::Reset {
                key,
                sequence,
                reason,
            } => {
                let reset = (self.format.reset)(&key, sequence);
                self.send_to_caller(&reset, *key.caller.ip());
                self.metrics.count(Count::FlowsReset);
                self.log_reset(&key, reason);
            }
            Action::Ask { to, question } => self.questions.push((to, question)),
            Action::AnswerProbe { to, key, reply } => {
                let to = SocketAddrV4::new(*to.ip(), self.settings.peer_port);
                self.answers.push((to, flow_answer(key.into(), reply)));
            }
            Action::Hint {
                to,
                key,
                agent,
                load,
            } => {
                let own = packet_addr(&self.settings).map(|own| self.settings.announced_addr(own));
                let hint = HintMessage {
                    flow: key.into(),
                    agent: pack(agent),
                    load: own.zip(load).map(|(own, load)| LoadMessage::new(own, load)),
                };
                let to = SocketAddrV4::new(*to.ip(), self.settings.peer_port);
                self.send(SocketAddr::V4(to), &PeerMessage::new(PeerBody::Hint(hint)));
            }
            Action::Opened { key } => {
                self.metrics.count(Count::FlowsStarted);
                self.log_opened(&key);
            }
            Action::Queued { .. } | Action::Dequeued { .. } => {}
            Action::Served { took, .. } => self.metrics.observe(Latency::Request, took),
            Action::OwnerNotFound {
                key,
                missing,
                same_view,
            } => {
                self.metrics.count(Count::PacketsDroppedNoOwner);
                self.log_owner_not_found(&key, &missing, same_view);
            }
            Action::Drop(reason) => {
                self.metrics.count(drop_metric(reason));
                self.log_drop(segment, reason);
            }
        }
    }

    /// Sends the held packet, or else the current one, to the backend server.
    fn deliver(&self, held: Option<Vec<u8>>, bytes: &mut [u8], tag: Tag) {
        if let Role::Agent {
            outbound, backend, ..
        } = &self.role
        {
            let mut held = held;
            let packet = held.as_deref_mut().unwrap_or(bytes);
            (self.format.mark)(packet, tag.word());
            outbound.send(packet, *backend, &self.metrics);
        }
    }

    /// Passes the held packet, or else the current one, to another agent.
    fn pass(&self, held: Option<Vec<u8>>, bytes: &mut [u8], to: SocketAddrV4, tag: Tag) {
        if let Role::Agent { packets, .. } = &self.role {
            let mut held = held;
            let packet = held.as_deref_mut().unwrap_or(bytes);
            (self.format.mark)(packet, tag.word());
            packets.send(packet, to, &self.metrics);
            self.metrics.count(Count::PacketsForwarded);
        }
    }

    fn send_to_caller(&self, bytes: &[u8], caller: Ipv4Addr) {
        if let Role::Balancer { packets, .. } | Role::Agent { packets, .. } = &self.role {
            let to = SocketAddrV4::new(caller, packet_port(&self.settings));
            packets.send(bytes, to, &self.metrics);
        }
    }

    /// Returns the agent if this process has one and the log budget allows a line about a flow.
    fn agent_within_log_budget(&mut self) -> Option<&Agent> {
        let allowed = self.log_budget.try_acquire(self.started.elapsed());
        match &self.role {
            Role::Agent { core, .. } if allowed => Some(core),
            _ => None,
        }
    }

    fn log_pass(
        &mut self,
        segment: Option<&Segment>,
        to: SocketAddrV4,
        tag: Tag,
        reason: PassReason,
    ) {
        let revision = self.plans.plan().revision;
        if let Some(syn) = segment.filter(|s| s.syn)
            && let Some(core) = self.agent_within_log_budget()
        {
            tracing::info!(
                event = "flow_passed_on",
                flow = %syn.caller_flow(),
                agent = %to,
                ?reason,
                hops = tag.hops,
                running = core.flows().running(),
                slots = core.backend().slots(),
                revision,
            );
        }
    }

    fn log_reset(&mut self, key: &FlowKey, reason: ResetReason) {
        let revision = self.plans.plan().revision;
        let agents = self.peers.len();
        if let Some(core) = self.agent_within_log_budget() {
            let report = core.backend().last_report();
            tracing::info!(
                event = "flow_reset",
                flow = %key,
                ?reason,
                running = core.flows().running(),
                report = ?report.map(|r| (r.state, r.sequence)),
                agents,
                revision,
            );
        }
    }

    fn log_opened(&mut self, key: &FlowKey) {
        let now = self.now();
        let revision = self.plans.plan().revision;
        if let Some(core) = self.agent_within_log_budget() {
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

    fn log_owner_not_found(&mut self, key: &FlowKey, missing: &[SocketAddrV4], same_view: bool) {
        let revision = self.plans.plan().revision;
        let agents = self.peers.len();
        let fingerprint = self.peers.fingerprint();
        let filling = self.gossip.filling();
        if self.agent_within_log_budget().is_some() {
            tracing::info!(
                event = "owner_not_found",
                flow = %key,
                missing = missing.len(),
                silent = ?&missing[..missing.len().min(MAX_LOGGED_AGENTS)],
                same_view,
                agents,
                away = self.peers.has_away(),
                fingerprint,
                ?filling,
                revision,
            );
        }
    }

    fn log_drop(&mut self, segment: Option<&Segment>, reason: DropReason) {
        let revision = self.plans.plan().revision;
        let agents = self.peers.len();
        if let Some(segment) = segment
            && reason != DropReason::Held
            && self.agent_within_log_budget().is_some()
        {
            tracing::info!(
                event = "packet_dropped",
                flow = %segment.caller_flow(),
                ?reason,
                syn = segment.syn,
                agents,
                revision,
            );
        }
    }
}

fn drop_metric(reason: DropReason) -> Count {
    match reason {
        DropReason::Held => Count::PacketsAwaitingOwner,
        DropReason::NoOwner | DropReason::Overloaded => Count::PacketsDroppedNoOwner,
        DropReason::HopLimit => Count::PacketsHopLimit,
        DropReason::NoRoute => Count::PacketsDroppedWrongService,
        DropReason::LookupsFull => Count::PacketsDroppedLookupsFull,
        DropReason::Odd => Count::PacketsMalformed,
    }
}
