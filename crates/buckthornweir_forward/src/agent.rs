//! An agent's decisions about packets of callers and of its backend server.
//!
//! Each packet is decided by, in this order: the agent's own flows, what the other agents know, and the
//! backend server itself, which returns what it doesn't hold.

use std::net::SocketAddrV4;
use std::time::Duration;

use smol_str::SmolStr;

use crate::NodeId;
use crate::backend::{Backend, ColdBound, Report, Reported, Shut, Standing};
use crate::flows::{Flows, Holder};
use crate::lookup::{Denied, Found, Held, Lookups};
use crate::peers::{Peer, Peers};
use crate::plan::Plan;
use crate::segment::{FlowKey, Segment, mix};
use crate::tag::Tag;
use crate::waiting::{PATIENCE, Waiting};

/// How many agents may pass one packet on.
const HOP_LIMIT: u8 = 4;

/// How many agents may pass a new flow on because they are busy; the last one lets it queue.
const BUSY_HOPS: u8 = 2;

/// How long a backend server may take for its answer to a SYN before a copy goes to another one.
const ANSWER_WAIT: Duration = Duration::from_millis(150);

/// How many agents are asked for a flow at most.
const ASK_LIMIT: usize = 128;

/// How often ended flows are forgotten.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// How much later than its backend server an agent must have started to have missed flows.
const BIRTH_MARGIN: Duration = Duration::from_millis(1_500);

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentLimits {
    /// The agent's process.
    pub node: NodeId,
    /// Where the agent takes packets.
    pub packets: SocketAddrV4,
    /// The agent's failure domain.
    pub domain: SmolStr,
    /// The agent's service.
    pub service: SmolStr,
    /// Bounds for a cold backend server.
    pub cold: ColdBound,
    /// Time between two reports of the backend server.
    pub period: Duration,
    /// When the agent started, in milliseconds since the Unix epoch.
    pub started: u64,
}

/// What an agent offers to new flows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Offer {
    /// Whether it takes any.
    pub accepts: bool,
    /// Whether its backend server is cold.
    pub cold: bool,
    /// Free slots of its backend server.
    pub free: u32,
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DropReason {
    /// It waits for the owner of its flow, or for the backend server.
    Held,
    /// No agent holds its flow.
    NoOwner,
    /// Agents passed it on too often.
    HopLimit,
    /// The plan known here does not lead its address to this service.
    NoRoute,
    /// Too many owners are looked up.
    LookupsFull,
    /// The backend server sent it to no caller.
    Odd,
}

/// Which agent holds a flow?
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Question {
    /// The flow.
    pub key: FlowKey,
    /// Acknowledgement of the packet, by which the holder knows its own answer to the SYN.
    pub acknowledged: u32,
}

/// An agent's answer to a question.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Where the agent takes packets.
    pub agent: SocketAddrV4,
    /// What it says about the flow.
    pub reply: Reply,
    /// [`Peers::fingerprint`] of the agents that it knows.
    pub known: u64,
}

/// What an agent says about a flow that it was asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The backend server here holds it.
    Mine,
    /// The backend server here does not hold it.
    NotMine,
    /// The backend server here may hold it from before the agent started.
    Perhaps,
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// The packet at hand, or the one given, goes to the backend server.
    Deliver {
        /// Bytes of an earlier packet; `None` for the one at hand.
        bytes: Option<Vec<u8>>,
        /// The note on the packet.
        tag: Tag,
    },
    /// The packet at hand, or the one given, goes to another agent.
    Pass {
        /// Bytes of an earlier packet; `None` for the one at hand.
        bytes: Option<Vec<u8>>,
        /// Where the agent takes packets.
        to: SocketAddrV4,
        /// The note on the packet.
        tag: Tag,
        /// Why it goes there.
        reason: PassReason,
    },
    /// The packet at hand goes to its caller.
    Answer,
    /// The caller's flow is reset.
    Reset {
        /// The flow.
        key: FlowKey,
        /// Sequence number of the reset.
        sequence: u32,
        /// Why.
        reason: ResetReason,
    },
    /// Another agent is asked for a flow.
    Ask {
        /// Where the agent takes questions.
        to: SocketAddrV4,
        /// The question.
        question: Question,
    },
    /// The process that sent the packet is told where the flow is.
    Hint {
        /// Where that process takes packets.
        to: SocketAddrV4,
        /// The flow.
        key: FlowKey,
        /// Where the flow's agent takes packets.
        agent: SocketAddrV4,
    },
    /// A new flow was given to the backend server.
    Opened {
        /// The flow.
        key: FlowKey,
    },
    /// A request was answered after this time.
    Served {
        /// The flow.
        key: FlowKey,
        /// Time from the request's first packet to the answer's first packet.
        took: Duration,
    },
    /// The packet at hand is dropped.
    Drop(DropReason),
    /// The packets that waited for the owner of a flow are dropped.
    Unfound {
        /// The flow.
        key: FlowKey,
        /// Agents that did not answer.
        missing: usize,
    },
}

/// Why a packet went to another agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PassReason {
    /// The other agent holds the flow.
    Owner,
    /// The other agent may hold the flow.
    MayOwn,
    /// The backend server here has no free slot.
    Busy,
    /// The backend server here takes no new flow.
    Shut(Shut),
    /// The backend server here returned it.
    Returned,
    /// The backend server here has not answered an earlier copy.
    Unanswered,
}

/// Why a flow was reset.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResetReason {
    /// No backend server takes the new flow.
    NobodyTakes,
    /// The backend server that held the flow has lost it.
    Lost,
    /// The backend server that held the flow has restarted.
    Restarted,
    /// No backend server holds the flow: all agents have said so.
    Unowned,
}

/// The decisions of one agent.
#[derive(Debug)]
pub struct Agent {
    limits: AgentLimits,
    backend: Backend,
    flows: Flows,
    lookups: Lookups,
    denied: Denied,
    waiting: Waiting,
    was_out: bool,
    next_sweep: Duration,
}

/// What an agent decides by, besides its own state.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The plan in force.
    pub plan: &'a Plan,
    /// The live agents.
    pub peers: &'a Peers,
    /// Whether no other agent may come back with its flows: this process runs long enough to have heard
    /// of one that restarts.
    pub complete: bool,
}

impl Agent {
    /// Returns an agent without flows.
    #[must_use]
    pub fn new(limits: AgentLimits) -> Self {
        Self {
            backend: Backend::new(limits.cold, limits.period),
            limits,
            flows: Flows::default(),
            lookups: Lookups::default(),
            denied: Denied::default(),
            waiting: Waiting::default(),
            was_out: false,
            next_sweep: Duration::ZERO,
        }
    }

    /// Returns what is known of the backend server.
    #[must_use]
    pub fn backend(&self) -> &Backend {
        &self.backend
    }

    /// Returns the flows.
    #[must_use]
    pub fn flows(&self) -> &Flows {
        &self.flows
    }

    /// Returns what the agent offers to new flows.
    pub fn offer(&mut self, now: Duration, plan: &Plan) -> Offer {
        self.flows.settle(now);
        let running = u32::try_from(self.flows.load()).unwrap_or(u32::MAX);
        Offer {
            accepts: self.backend.accepts(now) && !plan.is_out(&self.limits.domain),
            cold: self.backend.is_cold(now),
            free: self.backend.slots().saturating_sub(running),
        }
    }

    /// Takes a report of the backend server.
    pub fn report(&mut self, now: Duration, report: Report, out: &mut Vec<Action>) -> Reported {
        let reported = self.backend.report(now, report);
        if reported == Reported::Restarted {
            self.lose_flows(now, out);
        }
        reported
    }

    /// Notes that the backend server says that it has left.
    pub fn leave(&mut self, id: &str) {
        self.backend.leave(id);
    }

    /// Takes the plan that came into force.
    pub fn apply(&mut self, now: Duration, plan: &Plan) {
        let out = plan.is_out(&self.limits.domain);
        if self.was_out && !out {
            self.backend.doubt(now);
        }
        self.was_out = out;
    }

    /// Resets the flows that a restart of the backend server ended.
    fn lose_flows(&mut self, now: Duration, out: &mut Vec<Action>) {
        for (key, flow) in self.flows.take_own() {
            let active = flow.opened && !flow.has_ended();
            if active && now < flow.seen + SWEEP_PERIOD * 10 {
                out.push(Action::Reset {
                    key,
                    sequence: flow.acknowledged,
                    reason: ResetReason::Restarted,
                });
            }
        }
    }

    /// Decides about a packet of a caller that a balancer or another agent sent.
    pub fn caller_packet(
        &mut self,
        now: Duration,
        view: View<'_>,
        from: SocketAddrV4,
        segment: &Segment,
        bytes: &[u8],
        out: &mut Vec<Action>,
    ) {
        let tag = Tag::read(segment.tag);
        if segment.syn {
            return self.syn(now, view, from, segment, tag, bytes, out);
        }
        let key = segment.from_caller();
        let Some(flow) = self.flows.get_mut(&key) else {
            return self.unknown(now, view, from, segment, tag, bytes, out);
        };
        match flow.holder {
            Holder::Peer(to) if to == from || !view.peers.has(&to) => {
                // The other agent does not hold it any more, or is gone.
                self.flows.remove(&key);
                self.unknown(now, view, from, segment, tag, bytes, out);
            }
            Holder::Peer(to) => {
                flow.seen = now;
                self.pass_on(from, key, to, tag, PassReason::Owner, out);
            }
            Holder::Here if flow.opened || flow.assumed || flow.is_answer(segment.acknowledged) => {
                self.deliver(now, &key, segment, tag, out);
            }
            // The caller answers the SYN+ACK of another backend server.
            Holder::Here => match flow.spare {
                Some(to) => {
                    self.flows.start(now, key, Holder::Peer(to));
                    self.pass_on(from, key, to, tag, PassReason::Owner, out);
                }
                None => self.ask(now, view, from, segment, tag, bytes, out),
            },
        }
    }

    /// Decides about a packet that the backend server sent or returned.
    pub fn backend_packet(
        &mut self,
        now: Duration,
        view: View<'_>,
        segment: &Segment,
        bytes: &[u8],
        out: &mut Vec<Action>,
    ) {
        self.backend.note_packet();
        if segment.returned {
            return self.returned(now, view, segment, bytes, out);
        }
        let key = segment.from_backend();
        let took = self.flows.note_backend(now, &key, segment);
        if let Some(took) = took {
            out.push(Action::Served { key, took });
        }
        if segment.rst {
            self.flows.remove(&key);
        }
        out.push(Action::Answer);
    }

    /// Answers another agent's question.
    #[must_use]
    pub fn answer(&self, question: &Question) -> Reply {
        match self.flows.get(&question.key) {
            Some(flow) if flow.holder != Holder::Here => Reply::NotMine,
            _ if self.denied.contains(&question.key) => Reply::NotMine,
            Some(flow) if flow.assumed => Reply::Perhaps,
            Some(flow) if flow.opened => Reply::Mine,
            Some(flow) if flow.is_answer(question.acknowledged) => Reply::Mine,
            Some(_) => Reply::NotMine,
            None if self.may_have_missed() => Reply::Perhaps,
            None => Reply::NotMine,
        }
    }

    /// Returns whether the backend server may hold flows that began before this agent started.
    fn may_have_missed(&self) -> bool {
        let margin = BIRTH_MARGIN.as_millis() as u64;
        match self.backend.last_report() {
            Some(report) => report.born + margin < self.limits.started,
            None => true,
        }
    }

    /// Takes another agent's answer to a question about a flow.
    pub fn answered(
        &mut self,
        now: Duration,
        view: View<'_>,
        key: FlowKey,
        answer: Answer,
        out: &mut Vec<Action>,
    ) {
        let agent = answer.agent;
        let may_hold = match answer.reply {
            Reply::Mine => {
                if let Some((asker, held)) = self.lookups.end(&key) {
                    self.settle(now, key, agent, asker, held, out);
                }
                return;
            }
            Reply::NotMine => false,
            Reply::Perhaps => true,
        };
        let same_view = answer.known == view.peers.fingerprint();
        let found = self.lookups.deny(&key, agent, may_hold, same_view);
        self.conclude(view, key, found, out);
    }

    /// Takes another agent's hint about a flow that was passed on to it.
    pub fn hint(&mut self, key: FlowKey, agent: SocketAddrV4) {
        let own = self.limits.packets;
        if let Some(flow) = self.flows.get_mut(&key)
            && flow.holder != Holder::Here
            && agent != own
        {
            flow.holder = Holder::Peer(agent);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration, view: View<'_>, out: &mut Vec<Action>) {
        let plan = view.plan;
        for (key, found) in self.lookups.sweep(now) {
            self.conclude(view, key, found, out);
        }
        if self.waiting.len() > 0 {
            self.release(now, plan, out);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_PERIOD;
            self.flows.sweep(now, plan.idle);
            self.denied.sweep(now);
            self.backend.sweep(now);
        }
    }

    /// Returns whether [`Agent::tick`] has something to do soon.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.lookups.is_waiting() || self.waiting.len() > 0
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "the parts of one packet and of the view"
    )]
    fn syn(
        &mut self,
        now: Duration,
        view: View<'_>,
        from: SocketAddrV4,
        segment: &Segment,
        tag: Tag,
        bytes: &[u8],
        out: &mut Vec<Action>,
    ) {
        let key = segment.from_caller();
        match self.flows.get_mut(&key) {
            Some(flow) if flow.has_ended() => {}
            Some(flow) => match flow.holder {
                Holder::Peer(to) if to != from && view.peers.has(&to) => {
                    return self.pass_on(from, key, to, tag, PassReason::Owner, out);
                }
                Holder::Peer(_) => {}
                Holder::Here => {
                    let waits = flow.answer.is_none() && now >= flow.since + ANSWER_WAIT;
                    if waits && !flow.opened && flow.spare.is_none() {
                        return self.syn_copy(now, view, segment, tag, out);
                    }
                    return self.deliver(now, &key, segment, tag, out);
                }
            },
            None => {}
        }
        self.new_flow(now, view, from, segment, tag, bytes, out);
    }

    /// Gives a copy of a SYN that the backend server has not answered to another agent.
    fn syn_copy(
        &mut self,
        now: Duration,
        view: View<'_>,
        segment: &Segment,
        tag: Tag,
        out: &mut Vec<Action>,
    ) {
        let key = segment.from_caller();
        let spare = self.sibling(view, &key, tag).map(|peer| peer.packets);
        let Some(to) = spare.filter(|_| tag.hops < HOP_LIMIT) else {
            return self.deliver(now, &key, segment, tag, out);
        };
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.spare = Some(to);
        }
        out.push(Action::Pass {
            bytes: None,
            to,
            tag: tag.passed_on(),
            reason: PassReason::Unanswered,
        });
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "the parts of one packet and of the view"
    )]
    fn new_flow(
        &mut self,
        now: Duration,
        view: View<'_>,
        from: SocketAddrV4,
        segment: &Segment,
        tag: Tag,
        bytes: &[u8],
        out: &mut Vec<Action>,
    ) {
        let key = segment.from_caller();
        let route = view.plan.route(&key.service);
        if !route.is_some_and(|route| route.allows(&self.limits.service)) {
            // Either this agent or the sender has an old plan; the copy of the SYN comes to a newer one.
            return out.push(Action::Drop(DropReason::NoRoute));
        }
        let reason = match self.standing(now, view.plan) {
            Standing::Open => None,
            Standing::Busy if tag.hops >= BUSY_HOPS => None,
            Standing::Busy => Some(PassReason::Busy),
            Standing::Shut(shut) => Some(PassReason::Shut(shut)),
        };
        let Some(reason) = reason else {
            return self.open(now, from, segment, tag, out);
        };
        let sibling = self.sibling(view, &key, tag).map(|peer| peer.packets);
        match sibling.filter(|_| tag.hops < HOP_LIMIT) {
            Some(to) => {
                self.flows.start(now, key, Holder::Peer(to));
                self.pass_on(from, key, to, tag, reason, out);
            }
            None if reason == PassReason::Busy => self.open(now, from, segment, tag, out),
            None if self.wait(now, view.plan, segment, tag, bytes, reason) => {
                out.push(Action::Drop(DropReason::Held));
            }
            None => out.push(Action::Reset {
                key,
                sequence: segment.acknowledged,
                reason: ResetReason::NobodyTakes,
            }),
        }
    }

    /// Keeps a SYN that the backend server may take before its caller stops waiting. Returns whether it
    /// is kept.
    fn wait(
        &mut self,
        now: Duration,
        plan: &Plan,
        segment: &Segment,
        tag: Tag,
        bytes: &[u8],
        reason: PassReason,
    ) -> bool {
        let may_open = matches!(reason, PassReason::Shut(Shut::Unknown | Shut::Cold));
        if !may_open {
            return false;
        }
        self.waiting.expire(now);
        if self.waiting.contains(&segment.from_caller()) {
            return true;
        }
        let wait = self
            .backend
            .cold_wait(now, self.cold_rate(plan), self.waiting.len());
        wait < PATIENCE && self.waiting.push(now, segment, bytes, tag)
    }

    /// Gives the SYNs that wait to the backend server as far as it takes them.
    fn release(&mut self, now: Duration, plan: &Plan, out: &mut Vec<Action>) {
        self.waiting.expire(now);
        while self.waiting.len() > 0 && !matches!(self.standing(now, plan), Standing::Shut(_)) {
            let Some(syn) = self.waiting.pop() else {
                return;
            };
            let key = syn.segment.from_caller();
            let known = self.flows.get(&key).is_some();
            let route = plan.route(&key.service);
            if known || !route.is_some_and(|route| route.allows(&self.limits.service)) {
                continue;
            }
            self.flows.open(now, key);
            self.denied.forget(&key);
            self.backend.note_syn(now);
            self.flows.note_caller(now, &key, &syn.segment);
            out.push(Action::Opened { key });
            out.push(Action::Deliver {
                bytes: Some(syn.bytes),
                tag: syn.tag,
            });
        }
    }

    fn standing(&mut self, now: Duration, plan: &Plan) -> Standing {
        if plan.is_out(&self.limits.domain) {
            return Standing::Shut(Shut::DomainOut);
        }
        let cold_rate = self.cold_rate(plan);
        self.flows.settle(now);
        self.backend.standing(now, cold_rate, self.flows.load())
    }

    fn cold_rate(&self, plan: &Plan) -> Option<f64> {
        plan.services.get(&self.limits.service)?.cold_rate
    }

    fn open(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        segment: &Segment,
        tag: Tag,
        out: &mut Vec<Action>,
    ) {
        let key = segment.from_caller();
        self.flows.open(now, key);
        self.denied.forget(&key);
        out.push(Action::Opened { key });
        self.deliver(now, &key, segment, tag, out);
        if tag.aside {
            out.push(Action::Hint {
                to: from,
                key,
                agent: self.limits.packets,
            });
        }
    }

    fn deliver(
        &mut self,
        now: Duration,
        key: &FlowKey,
        segment: &Segment,
        tag: Tag,
        out: &mut Vec<Action>,
    ) {
        if segment.syn {
            self.backend.note_syn(now);
        }
        self.flows.note_caller(now, key, segment);
        if segment.rst {
            self.flows.remove(key);
        }
        out.push(Action::Deliver { bytes: None, tag });
    }

    /// Passes the packet at hand on and tells its sender where the flow is.
    fn pass_on(
        &mut self,
        from: SocketAddrV4,
        key: FlowKey,
        to: SocketAddrV4,
        tag: Tag,
        reason: PassReason,
        out: &mut Vec<Action>,
    ) {
        if tag.hops >= HOP_LIMIT {
            self.flows.remove(&key);
            return out.push(Action::Drop(DropReason::HopLimit));
        }
        out.push(Action::Pass {
            bytes: None,
            to,
            tag: tag.passed_on(),
            reason,
        });
        out.push(Action::Hint {
            to: from,
            key,
            agent: to,
        });
    }

    /// Returns the agent that a new flow goes to from here: one of the service that takes new flows, of
    /// two by chance the one with more free slots, in the own failure domain if there is one with any.
    fn sibling<'a>(&self, view: View<'a>, key: &FlowKey, tag: Tag) -> Option<&'a Peer> {
        let own = self.limits.node;
        let open =
            |peer: &&Peer| peer.node != own && peer.accepts && !view.plan.is_out(&peer.domain);
        let peers: Vec<&Peer> = view.peers.of(&self.limits.service).filter(open).collect();
        let warm = |peer: &Peer| peer.free > 0 && !peer.cold;
        let near = |peer: &Peer| warm(peer) && peer.domain == self.limits.domain;
        let those = |fits: &dyn Fn(&Peer) -> bool| -> Vec<&'a Peer> {
            peers.iter().copied().filter(|peer| fits(peer)).collect()
        };
        let from = [those(&near), those(&warm), peers.clone()]
            .into_iter()
            .find(|list| !list.is_empty())?;
        let hash = mix(key.hash() ^ own, u64::from(tag.hops));
        let pick = |hash: u64| from[(hash % from.len() as u64) as usize];
        let (one, other) = (pick(hash), pick(mix(hash, 1)));
        Some(if other.free > one.free { other } else { one })
    }

    /// Decides about a packet of a flow that is not known here.
    #[expect(
        clippy::too_many_arguments,
        reason = "the parts of one packet and of the view"
    )]
    fn unknown(
        &mut self,
        now: Duration,
        view: View<'_>,
        from: SocketAddrV4,
        segment: &Segment,
        tag: Tag,
        bytes: &[u8],
        out: &mut Vec<Action>,
    ) {
        let key = segment.from_caller();
        if segment.rst {
            // The flow's end is all that it says; whoever holds it forgets it in time.
            return out.push(Action::Drop(DropReason::NoOwner));
        }
        let held = Held {
            bytes: bytes.to_vec(),
            tag,
        };
        if self.lookups.hold(now, &key, held) {
            return out.push(Action::Drop(DropReason::Held));
        }
        if !self.backend.is_present() {
            return self.ask(now, view, from, segment, tag, bytes, out);
        }
        // The backend server knows best; it returns the packet if the flow is not its own.
        let flow = self.flows.start(now, key, Holder::Here);
        flow.assumed = true;
        self.deliver(now, &key, segment, tag, out);
    }

    /// Decides about a packet that the backend server returned.
    fn returned(
        &mut self,
        now: Duration,
        view: View<'_>,
        segment: &Segment,
        bytes: &[u8],
        out: &mut Vec<Action>,
    ) {
        let key = segment.from_caller();
        let tag = Tag::read(segment.tag);
        if segment.syn {
            return self.returned_syn(now, view, segment, tag, out);
        }
        self.denied.note(now, key);
        let opened = self.flows.get(&key).is_some_and(|flow| flow.opened);
        let own = self.limits.packets;
        if opened {
            // The backend server held the flow and does no more: it restarted, or discarded it.
            self.flows.remove(&key);
            self.backend.doubt(now);
            return out.push(Action::Reset {
                key,
                sequence: segment.acknowledged,
                reason: ResetReason::Lost,
            });
        }
        match self.flows.get(&key).map(|flow| flow.holder) {
            Some(Holder::Peer(to)) => self.pass_on(own, key, to, tag, PassReason::Owner, out),
            Some(Holder::Here) | None => self.ask(now, view, own, segment, tag, bytes, out),
        }
    }

    fn returned_syn(
        &mut self,
        now: Duration,
        view: View<'_>,
        segment: &Segment,
        tag: Tag,
        out: &mut Vec<Action>,
    ) {
        let key = segment.from_caller();
        let own = self.limits.packets;
        self.backend.note_full(now);
        let sibling = self.sibling(view, &key, tag).map(|peer| peer.packets);
        match sibling.filter(|_| tag.hops < HOP_LIMIT) {
            Some(to) => {
                self.flows.start(now, key, Holder::Peer(to));
                self.pass_on(own, key, to, tag, PassReason::Returned, out);
            }
            None => {
                self.flows.remove(&key);
                out.push(Action::Reset {
                    key,
                    sequence: segment.acknowledged,
                    reason: ResetReason::NobodyTakes,
                });
            }
        }
    }

    /// Asks the other agents for the owner of a flow and keeps the packet until one answers.
    #[expect(
        clippy::too_many_arguments,
        reason = "the parts of one packet and of the view"
    )]
    fn ask(
        &mut self,
        now: Duration,
        view: View<'_>,
        from: SocketAddrV4,
        segment: &Segment,
        tag: Tag,
        bytes: &[u8],
        out: &mut Vec<Action>,
    ) {
        let key = segment.from_caller();
        let held = Held {
            bytes: bytes.to_vec(),
            tag,
        };
        self.flows.remove(&key);
        if self.lookups.hold(now, &key, held.clone()) {
            return out.push(Action::Drop(DropReason::Held));
        }
        let own = self.limits.node;
        let others = view.peers.iter().filter(|peer| peer.node != own);
        let asked: Vec<&Peer> = others.take(ASK_LIMIT).collect();
        let awaited: Vec<SocketAddrV4> = asked.iter().map(|peer| peer.packets).collect();
        if awaited.is_empty() {
            return out.push(Action::Drop(DropReason::NoOwner));
        }
        let sequence = segment.acknowledged;
        if !self.lookups.start(now, key, from, awaited, sequence, held) {
            return out.push(Action::Drop(DropReason::LookupsFull));
        }
        let question = Question {
            key,
            acknowledged: segment.acknowledged,
        };
        out.extend(asked.into_iter().map(|peer| Action::Ask {
            to: peer.questions,
            question,
        }));
        out.push(Action::Drop(DropReason::Held));
    }

    fn conclude(&mut self, view: View<'_>, key: FlowKey, found: Found, out: &mut Vec<Action>) {
        match found {
            Found::Open => {}
            Found::Perhaps(agent, held) => out.extend(held.into_iter().map(|held| Action::Pass {
                bytes: Some(held.bytes),
                to: agent,
                tag: held.tag.passed_on(),
                reason: PassReason::MayOwn,
            })),
            Found::Nobody {
                complete: Some(sequence),
                ..
            } if view.complete && self.denied.contains(&key) => out.push(Action::Reset {
                key,
                sequence,
                reason: ResetReason::Unowned,
            }),
            Found::Nobody { missing, .. } => out.push(Action::Unfound { key, missing }),
        }
    }

    /// Sends the packets that waited to the owner, and remembers it.
    fn settle(
        &mut self,
        now: Duration,
        key: FlowKey,
        owner: SocketAddrV4,
        asker: SocketAddrV4,
        held: Vec<Held>,
        out: &mut Vec<Action>,
    ) {
        self.flows.start(now, key, Holder::Peer(owner));
        out.extend(held.into_iter().map(|held| Action::Pass {
            bytes: Some(held.bytes),
            to: owner,
            tag: held.tag.passed_on(),
            reason: PassReason::Owner,
        }));
        if asker != self.limits.packets {
            out.push(Action::Hint {
                to: asker,
                key,
                agent: owner,
            });
        }
    }
}
