//! Flows that are unknown to the agent: lookups of their owners, and packets that the backend
//! server returned.

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use super::{
    Action, Agent, Answer, Arrival, DropReason, EMPTY_TTL, HOP_LIMIT, PassReason, Question, Reply,
    ResetReason, View,
};
use crate::NodeId;
use crate::flows::Holder;
use crate::lookup::{HeldPacket, LookupOutcome, LookupRequest, OwnerNotFound, ResolvedLookup};
use crate::peers::{Peer, Peers};
use crate::segment::{FlowKey, mix};

/// How much later than its backend server an agent must have started to count as restarted, rather
/// than as started with it.
const START_MARGIN: Duration = Duration::from_millis(1_500);

/// How much later than its backend server an agent must have started for an earlier agent to have
/// opened flows: less than the platform waits before it restarts a process.
const EARLIER_AGENT_MARGIN: Duration = Duration::from_millis(100);

/// Maximum time after its start until an agent is known to all others.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of agents asked about a flow in each step of a lookup. Questions of one turn
/// share datagrams, and the largest tested deployment of 300 VMs has about 200 agents.
const MAX_QUESTIONS: usize = 512;

/// What was known of the agents when lookups were last reconsidered.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Considered {
    instances: u64,
    grace_elapsed: bool,
    peers_synced: bool,
}

impl Agent {
    /// Answers the question of the agent whose question address is `asker`.
    #[must_use]
    pub fn answer(&mut self, now: Duration, asker: SocketAddrV4, question: &Question) -> Reply {
        if self.holds_no_flows() {
            return match self.given.give(now, asker) {
                true => Reply::Empty,
                false => Reply::NeverOwned,
            };
        }
        self.answer_with_backend(question)
    }

    fn answer_with_backend(&self, question: &Question) -> Reply {
        match self.flows.get(&question.key) {
            Some(flow) if flow.holder != Holder::Local => Reply::NotOwned,
            _ if self.denied.contains(&question.key) && self.may_have_missed() => Reply::NotOwned,
            _ if self.denied.contains(&question.key) => Reply::NeverOwned,
            Some(flow) if flow.assumed => Reply::MaybeOwned,
            Some(flow) if flow.confirmed => Reply::Owned,
            Some(flow) if flow.acknowledges_syn_ack(question.acknowledged) => Reply::Owned,
            Some(_) => Reply::NotOwned,
            None if self.may_have_predecessor() => Reply::MaybeOwned,
            None => Reply::NeverOwned,
        }
    }

    /// Returns whether this agent has started so much later than its backend server that others which
    /// are absent may return with flows too.
    pub(super) fn may_have_missed(&self) -> bool {
        self.started_later_than(START_MARGIN)
    }

    /// Returns whether the backend server may hold flows that an earlier agent opened.
    pub(super) fn may_have_predecessor(&self) -> bool {
        self.backend_reported || self.started_later_than(EARLIER_AGENT_MARGIN)
    }

    /// Returns whether this agent started by more than `margin` later than its backend server, or may
    /// have.
    fn started_later_than(&self, margin: Duration) -> bool {
        let margin = margin.as_millis() as u64;
        let started = self.config.started_ms;
        match self.backend.last_report() {
            _ if self.backendless_start => false,
            // The clock was set back between the two starts.
            Some(report)
                if self.backend_at_start && report.born > started.saturating_add(margin) =>
            {
                true
            }
            Some(report) => report.born.saturating_add(margin) < started,
            None => true,
        }
    }

    /// Returns whether the backend server certainly holds no flow: none was present when this agent
    /// started, and none has reported since.
    pub(super) fn holds_no_flows(&self) -> bool {
        self.backendless_start && self.backend.last_report().is_none()
    }

    /// Handles another agent's answer to a question about a flow.
    pub fn handle_answer(
        &mut self,
        now: Duration,
        view: View<'_>,
        key: FlowKey,
        answer: Answer,
        out: &mut Vec<Action>,
    ) {
        let agent = answer.agent;
        // The question was sent after the lookup had started, so the promise lasts at least until then.
        let until = self.lookups.first_started(&key).map(|at| at + EMPTY_TTL);
        match (answer.reply, view.peers.by_address(&agent), until) {
            (Reply::Empty, Some(peer), Some(until)) => self.received.insert(now, peer, until),
            (Reply::Empty, _, _) => {}
            _ => self.received.remove(&agent),
        }
        let outcome = match answer.reply {
            Reply::Owned => {
                if let Some(resolved) = self.lookups.resolve(&key, agent) {
                    self.resolve_lookup(now, key, agent, resolved, out);
                }
                return;
            }
            Reply::NotOwned => self.lookups.deny(&key, answer, false),
            Reply::NeverOwned | Reply::Empty => self.lookups.deny(&key, answer, true),
            // Its earlier start denied the flow, and no backend server becomes the owner of an open flow.
            Reply::MaybeOwned if self.lookups.has_denied(&key, &agent) => {
                self.lookups.deny(&key, answer, false)
            }
            Reply::MaybeOwned => {
                let probe = self.lookups.probe(now, &key, agent);
                out.extend(probe.map(|held| Action::Pass {
                    bytes: Some(held.bytes),
                    to: agent,
                    tag: held.tag.probing(),
                    reason: PassReason::MayOwn,
                }));
                return;
            }
        };
        self.conclude(now, view, key, outcome, out);
    }

    /// Handles another agent's hint about the owner of a flow that was passed on to it.
    pub fn hint(&mut self, key: FlowKey, agent: SocketAddrV4) {
        let own = self.config.packet_addr;
        if let Some(flow) = self.flows.get_mut(&key)
            && flow.holder != Holder::Local
            && agent != own
        {
            flow.holder = Holder::Peer(agent);
        }
    }

    /// Handles a packet of an unknown flow.
    pub(super) fn handle_unknown_flow(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            now,
            segment,
            tag,
            bytes,
            ..
        } = arrival;
        let key = segment.caller_flow();
        if segment.rst {
            // An RST only ends the flow, which its owner also forgets after the idle timeout.
            return out.push(Action::Drop(DropReason::NoOwner));
        }
        let held = HeldPacket {
            bytes: bytes.to_vec(),
            tag,
        };
        if self.lookups.hold(now, &key, held) {
            return out.push(Action::Drop(DropReason::Held));
        }
        if self.holds_no_flows() {
            self.denied.insert(now, key);
            return self.start_lookup(arrival, out);
        }
        if self.denied.contains(&key) || !self.backend.is_present() {
            return self.start_lookup(arrival, out);
        }
        // Deliver the packet to find out; the backend server returns it if it doesn't hold the
        // flow.
        let flow = self.flows.start(now, key, Holder::Local);
        flow.assumed = true;
        self.deliver(now, &key, segment, tag, out);
    }

    /// Handles a probe: a copy of a packet that asks whether the backend server holds the flow.
    pub(super) fn handle_probe(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            now,
            from,
            segment,
            tag,
            ..
        } = arrival;
        let key = segment.caller_flow();
        let question = Question {
            key,
            acknowledged: segment.acknowledged,
        };
        let reply = match self.holds_no_flows() {
            true => Reply::NeverOwned,
            false => self.answer_with_backend(&question),
        };
        if !matches!(reply, Reply::Owned | Reply::MaybeOwned) || !self.backend.is_present() {
            let reply = Reply::NotOwned;
            out.push(Action::AnswerProbe {
                to: from,
                key,
                reply,
            });
            return out.push(Action::Drop(DropReason::NoOwner));
        }
        if self.flows.get(&key).is_none() {
            self.flows.start(now, key, Holder::Local).assumed = true;
        }
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.prober = Some(from);
        }
        if reply == Reply::Owned {
            self.answer_prober(&key, reply, out);
        }
        self.deliver(now, &key, segment, tag, out);
    }

    /// Answers the agent that probed for the flow, if any.
    pub(super) fn answer_prober(&mut self, key: &FlowKey, reply: Reply, out: &mut Vec<Action>) {
        let flow = self.flows.get_mut(key);
        if let Some(to) = flow.and_then(|flow| flow.prober.take()) {
            out.push(Action::AnswerProbe {
                to,
                key: *key,
                reply,
            });
        }
    }

    /// Handles a packet that the backend server returned.
    pub(super) fn handle_returned(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            now, segment, tag, ..
        } = arrival;
        let key = segment.caller_flow();
        if segment.syn {
            return self.handle_returned_syn(arrival, out);
        }
        self.denied.insert(now, key);
        let confirmed = self.flows.get(&key).is_some_and(|flow| flow.confirmed);
        let own = self.config.packet_addr;
        if confirmed {
            // The backend server held the flow and lost it by a restart or by discarding it.
            self.flows.remove(&key);
            self.backend.suspect_cold(now);
            return out.push(Action::Reset {
                key,
                sequence: segment.acknowledged,
                reason: ResetReason::Lost,
            });
        }
        if tag.probe {
            self.answer_prober(&key, Reply::NotOwned, out);
            self.flows.remove(&key);
            return out.push(Action::Drop(DropReason::NoOwner));
        }
        match self.flows.get(&key).map(|flow| flow.holder) {
            Some(Holder::Peer(to)) => self.pass_on(own, key, to, tag, PassReason::Owner, out),
            Some(Holder::Local) | None => self.start_lookup(arrival, out),
        }
    }

    /// Looks up the owner of a flow, first in the own failure domain and then elsewhere, and holds
    /// the packet until an agent answers.
    pub(super) fn start_lookup(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            now,
            view,
            from,
            segment,
            tag,
            bytes,
        } = arrival;
        let key = segment.caller_flow();
        let held = HeldPacket {
            bytes: bytes.to_vec(),
            tag,
        };
        self.flows.remove(&key);
        if self.lookups.hold(now, &key, held.clone()) {
            return out.push(Action::Drop(DropReason::Held));
        }
        let request = LookupRequest {
            requester: from,
            acknowledged: segment.acknowledged,
            retries: 0,
        };
        if view.peers.iter().all(|peer| peer.node == self.config.node) {
            return out.push(Action::Drop(DropReason::NoOwner));
        }
        // The agents that are asked now are not asked again until they restart.
        self.reconsider_lookups(now, view, out);
        if !self.lookups.start(now, key, request, Some(held)) {
            return out.push(Action::Drop(DropReason::LookupsFull));
        }
        out.push(Action::Drop(DropReason::Held));
        self.ask_own_domain(now, view, key, out);
    }

    /// Asks the agents of the own failure domain, or all others if these have already denied the
    /// flow.
    fn ask_own_domain(
        &mut self,
        now: Duration,
        view: View<'_>,
        key: FlowKey,
        out: &mut Vec<Action>,
    ) {
        let near = self.candidates(view, true);
        let asked = self.lookups.ask(now, &key, near, view.peers);
        match asked.is_empty() {
            true => self.conclude(now, view, key, LookupOutcome::NotLocal, out),
            false => self.push_questions(&asked, key, out),
        }
    }

    /// Retries inconclusive lookups once all agents are known and present, so that the callers of
    /// lost flows get a reset without retransmitting.
    pub(super) fn retry_lookups(&mut self, now: Duration, view: View<'_>, out: &mut Vec<Action>) {
        let may_conclude = view.grace_elapsed || view.peers_synced && !self.may_have_missed();
        if !may_conclude || self.awaits_absent(now, view) {
            return;
        }
        for (key, request) in self.lookups.due_retries(now) {
            let request = LookupRequest {
                retries: request.retries + u8::from(view.grace_elapsed),
                ..request
            };
            if self.flows.get(&key).is_none() && self.lookups.start(now, key, request, None) {
                self.ask_own_domain(now, view, key, out);
            }
        }
    }

    fn push_questions(&self, agents: &[&Peer], key: FlowKey, out: &mut Vec<Action>) {
        let Some(acknowledged) = self.lookups.acknowledged(&key) else {
            return;
        };
        let question = Question { key, acknowledged };
        out.extend(agents.iter().map(|peer| Action::Ask {
            to: peer.ask_addr,
            question,
        }));
    }

    /// Returns the other agents of the own failure domain if `near` is set, else those of the
    /// other failure domains.
    fn candidates<'a>(&self, view: View<'a>, near: bool) -> Vec<&'a Peer> {
        let own = self.config.node;
        let fits = |peer: &&Peer| (peer.domain == self.config.domain) == near;
        let others = view.peers.iter().filter(|peer| peer.node != own);
        others.filter(fits).take(MAX_QUESTIONS).collect()
    }

    pub(super) fn conclude(
        &mut self,
        now: Duration,
        view: View<'_>,
        key: FlowKey,
        outcome: LookupOutcome,
        out: &mut Vec<Action>,
    ) {
        let outcome = match outcome {
            LookupOutcome::NotLocal => {
                let far = self.candidates(view, false);
                let asked = self.lookups.ask(now, &key, far, view.peers);
                self.push_questions(&asked, key, out);
                self.lookups.finish_asking(&key)
            }
            outcome => outcome,
        };
        let LookupOutcome::NotFound(not_found) = outcome else {
            return;
        };
        let same_view = self.is_denied(now, view, &key, Some(view.peers));
        if self.may_reset(now, view, &key, &not_found, same_view) {
            return out.push(Action::Reset {
                key,
                sequence: not_found.request.acknowledged,
                reason: ResetReason::Unowned,
            });
        }
        self.lookups.schedule_retry(&key);
        out.push(Action::OwnerNotFound {
            key,
            missing: not_found.missing,
            same_view,
        });
    }

    /// Reconsiders running and inconclusive lookups if what is known of the agents has changed, so
    /// that callers of lost flows are told without another question.
    pub(super) fn reconsider_lookups(
        &mut self,
        now: Duration,
        view: View<'_>,
        out: &mut Vec<Action>,
    ) {
        let considered = Considered {
            instances: view.peers.instances(),
            grace_elapsed: view.grace_elapsed,
            peers_synced: view.peers_synced,
        };
        if considered == self.considered {
            return;
        }
        self.considered = considered;
        self.ask_started_agents(now, view, out);
        for (key, outcome) in self.lookups.drop_unknown(view.peers) {
            self.conclude(now, view, key, outcome, out);
        }
        for (key, not_found) in self.lookups.undecided() {
            let same_view = self.is_denied(now, view, &key, Some(view.peers));
            if self.may_reset(now, view, &key, &not_found, same_view) {
                self.lookups.decide(&key);
                out.push(Action::Reset {
                    key,
                    sequence: not_found.request.acknowledged,
                    reason: ResetReason::Unowned,
                });
            }
        }
    }

    /// Asks the agents that have started about the flows that are being looked up.
    ///
    /// The owner of a flow may have been down when its packet came, and again whenever the caller
    /// retransmits it.
    fn ask_started_agents(&mut self, now: Duration, view: View<'_>, out: &mut Vec<Action>) {
        let own = self.config.node;
        let is_started = |peer: &&Peer| self.known_starts.get(&peer.node) != Some(&peer.instance);
        let others = view.peers.iter().filter(|peer| peer.node != own);
        let started: Vec<&Peer> = others.filter(is_started).collect();
        if !started.is_empty() {
            let domain = &self.config.domain;
            let questions = self.lookups.ask_started(now, &started, domain, view.peers);
            for (key, asked) in questions {
                self.push_questions(&asked, key, out);
            }
        }
        let starts = view.peers.iter().map(|peer| (peer.node, peer.instance));
        self.known_starts = starts.collect();
    }

    /// Passes the packets that are held for lookups to other agents of the service, which look for the
    /// owners in turn.
    pub(super) fn hand_over_held(&mut self, view: View<'_>, out: &mut Vec<Action>) {
        let away: HashSet<NodeId> = view.peers.away().collect();
        let own = self.config.node;
        let peers = view.peers.in_service(&self.config.service);
        let present: Vec<&Peer> = peers
            .filter(|peer| peer.node != own && !away.contains(&peer.node))
            .collect();
        for (key, held) in self.lookups.take_held() {
            let hash = key.hash();
            let preference = |peer: &&&Peer| {
                let is_near = peer.domain == self.config.domain;
                (is_near, mix(hash, peer.node))
            };
            let Some(peer) = present.iter().max_by_key(preference) else {
                return;
            };
            let held = held.into_iter();
            let held = held.filter(|held| held.tag.hops < HOP_LIMIT);
            out.extend(held.map(|held| Action::Pass {
                bytes: Some(held.bytes),
                to: peer.packet_addr,
                tag: held.tag.passed_on(),
                reason: PassReason::Stopping,
            }));
        }
    }

    /// Returns whether an absent agent may return with flows.
    fn awaits_absent(&self, now: Duration, view: View<'_>) -> bool {
        let mut away = view.peers.away();
        away.any(|node| !self.received.covers_absent(now, node))
    }

    /// Returns whether a flow without a known owner is certainly lost. `same_view` is set if all
    /// other agents denied the flow while knowing no agent that is unknown here.
    ///
    /// An agent that is unknown here may own the flow. This is ruled out if the agents that denied
    /// the flow know no such agent, or if enough time has passed to learn of every agent that was
    /// running when the lookup began. Right after a start of all VMs, an agent may still be missing
    /// although its backend server kept running. If every agent that answered has seen all flows of
    /// its backend server, the backend servers started together with their agents, so a missing
    /// agent need not be awaited.
    fn may_reset(
        &self,
        now: Duration,
        view: View<'_>,
        key: &FlowKey,
        not_found: &OwnerNotFound,
        same_view: bool,
    ) -> bool {
        let all_known = same_view
            || view.peers_synced
                && now >= not_found.first_started + DISCOVERY_TIMEOUT
                && self.is_denied(now, view, key, None);
        let all_present = view.grace_elapsed
            || view.peers_synced && not_found.conclusive && !self.may_have_missed();
        let certain = all_known && all_present && !self.awaits_absent(now, view);
        certain && self.denied.contains(key)
    }

    /// Returns whether all other agents have denied a flow. If `known` is given, a denial counts only
    /// if its agent knew no agent that is not among these. Agents that have promised to start no
    /// flows and accept none are skipped.
    fn is_denied(
        &self,
        now: Duration,
        view: View<'_>,
        key: &FlowKey,
        known: Option<&Peers>,
    ) -> bool {
        let own = self.config.node;
        let is_idle = |peer: &&Peer| !peer.accepts && self.received.covers(now, peer);
        let others = view.peers.iter().filter(|peer| peer.node != own);
        let others = others.filter(|peer| !is_idle(peer));
        self.lookups.is_denied_by(key, others, known)
    }

    /// Records the owner and sends it the held packets.
    fn resolve_lookup(
        &mut self,
        now: Duration,
        key: FlowKey,
        owner: SocketAddrV4,
        resolved: ResolvedLookup,
        out: &mut Vec<Action>,
    ) {
        self.flows.start(now, key, Holder::Peer(owner));
        out.extend(resolved.held.into_iter().map(|held| Action::Pass {
            bytes: Some(held.bytes),
            to: owner,
            tag: held.tag.passed_on(),
            reason: PassReason::Owner,
        }));
        if resolved.requester != self.config.packet_addr {
            out.push(Action::Hint {
                to: resolved.requester,
                key,
                agent: owner,
                load: None,
            });
        }
    }
}
