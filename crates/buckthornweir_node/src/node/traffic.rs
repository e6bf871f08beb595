//! Receiving and sending of packets, and execution of the decisions about them.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use buckthornweir_events::{Count, Latency};
use buckthornweir_forward::agent::{
    Action, Agent, DropReason, OverloadInputs, PassReason, ResetReason,
};
use buckthornweir_forward::balancer::{Decision, Loss};
use buckthornweir_forward::plan::{Class, Revision};
use buckthornweir_forward::segment::{FlowKey, Segment};
use buckthornweir_forward::tag::Tag;

use super::flow_metrics::{drop_metric, pass_metric, reset_metric};
use super::{Node, Role, agent_view, packet_addr, packet_port};
use crate::messages::{
    HintMessage, LoadMessage, PeerBody, PeerMessage, WithdrawMessage, flow_answer, pack,
};
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
                    let mut decision = core.route(now, self.plans.plan(), &self.peers, &segment);
                    self.note_forwarded(now, &mut decision, &segment, bytes);
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
                let passed = match &held {
                    Some(held) => (self.format.read)(held),
                    None => segment.copied(),
                };
                self.pass(held, bytes, to, tag);
                if let Some(syn) = passed.filter(|passed| passed.syn) {
                    if let Some(count) = pass_metric(reason) {
                        self.metrics.count(count);
                    }
                    self.log_pass(&syn, to, tag, reason);
                }
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
                if let Some(count) = reset_metric(reason) {
                    self.metrics.count(count);
                }
                self.log_reset(&key, reason);
            }
            Action::Ask { to, question } => self.questions.push((to, question)),
            Action::Withdraw { to, started_ms } => {
                let own = packet_addr(&self.settings).map(|own| self.settings.announced_addr(own));
                let withdrawal = WithdrawMessage {
                    agent: own.map_or(0, pack),
                    sender: pack(self.settings.announced_peer_addr()),
                    started_ms,
                };
                let body = PeerBody::Withdraw(withdrawal);
                self.send(SocketAddr::V4(to), &PeerMessage::new(body));
            }
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
            Action::Queued { .. } => {}
            Action::Dequeued { waited, .. } => self.metrics.observe(Latency::FlowWait, waited),
            Action::Explain { key, inputs } => self.explained = Some((key, inputs)),
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
        match self.log_budget.try_acquire(self.started.elapsed()) {
            true => self.agent(),
            false => None,
        }
    }

    fn agent(&self) -> Option<&Agent> {
        match &self.role {
            Role::Agent { core, .. } => Some(core),
            _ => None,
        }
    }

    fn log_pass(&mut self, syn: &Segment, to: SocketAddrV4, tag: Tag, reason: PassReason) {
        let key = syn.caller_flow();
        let inputs = self.take_inputs(&key);
        let allowed = self.log_budget.try_acquire(self.started.elapsed());
        if let Some(core) = self.agent().filter(|_| allowed) {
            let (revision, class) = self.revision_and_class(&key);
            tracing::info!(
                event = "flow_passed_on",
                flow = %key,
                agent = %to,
                ?reason,
                hops = tag.hops,
                running = core.flows().running(),
                slots = core.backend().slots(),
                priority = class.priority,
                objective_ms = millis(class.objective),
                wait_ms = millis(inputs.and_then(|i| i.wait)),
                waited_ms = millis(inputs.and_then(|i| i.waited)),
                service_ms = millis(inputs.and_then(|i| i.service)),
                queued = inputs.map(|i| i.queued),
                load_age_ms = millis(inputs.and_then(|i| i.load_age)),
                revision,
            );
        }
    }

    fn log_reset(&mut self, key: &FlowKey, reason: ResetReason) {
        let inputs = self.take_inputs(key);
        let sibling = inputs.and_then(|i| i.sibling);
        let allowed = self.log_budget.try_acquire(self.started.elapsed());
        if let Some(core) = self.agent().filter(|_| allowed) {
            let (revision, class) = self.revision_and_class(key);
            let agents = self.peers.len();
            let report = core.backend().last_report();
            tracing::info!(
                event = "flow_reset",
                flow = %key,
                ?reason,
                running = core.flows().running(),
                slots = core.backend().slots(),
                report = ?report.map(|r| (r.state, r.sequence)),
                priority = class.priority,
                objective_ms = millis(class.objective),
                wait_ms = millis(inputs.and_then(|i| i.wait)),
                waited_ms = millis(inputs.and_then(|i| i.waited)),
                service_ms = millis(inputs.and_then(|i| i.service)),
                queued = inputs.map(|i| i.queued),
                sibling = sibling.map(tracing::field::display),
                load_age_ms = millis(inputs.and_then(|i| i.load_age)),
                agents,
                revision,
            );
        }
    }

    /// Returns the revision of the plan in force and the class of the flow's requests.
    fn revision_and_class(&self, key: &FlowKey) -> (Revision, Class) {
        let plan = self.plans.plan();
        let class = plan.route(&key.service).map(|route| route.class);
        (plan.revision, class.unwrap_or_default())
    }

    /// Returns the inputs of the decision about the flow if the agent stated them just before.
    fn take_inputs(&mut self, key: &FlowKey) -> Option<OverloadInputs> {
        let (explained, inputs) = self.explained.take()?;
        (explained == *key).then_some(inputs)
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

fn millis(duration: Option<Duration>) -> Option<u64> {
    duration.map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
