//! An agent's decisions about packets of callers and of its backend server.
//!
//! Each packet is decided by, in this order: the agent's own flows, what the other agents know, and the
//! backend server itself, which returns what it doesn't hold.

mod new_flows;
mod owners;
mod types;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::NodeId;
use crate::backend::{Backend, Report, Reported};
use crate::flows::{Flows, Holder};
use crate::lookup::{Denied, Lookups};
use crate::plan::{Plan, Revision};
use crate::segment::{FlowKey, Segment};
use crate::tag::Tag;
use crate::waiting::Waiting;

pub use self::types::{
    Action, AgentLimits, Answer, DropReason, Offer, PassReason, Question, Reply, ResetReason, View,
};

/// How many agents may pass one packet on.
const HOP_LIMIT: u8 = 4;

/// How often ended flows are forgotten.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// A packet at hand, and what it is decided by.
#[derive(Clone, Copy, Debug)]
struct Arrival<'a> {
    now: Duration,
    view: View<'a>,
    /// Who sent it here; this agent itself for a packet that the backend server returned.
    from: SocketAddrV4,
    segment: &'a Segment,
    tag: Tag,
    bytes: &'a [u8],
}

/// The decisions of one agent.
#[derive(Debug)]
pub struct Agent {
    limits: AgentLimits,
    backend: Backend,
    flows: Flows,
    lookups: Lookups,
    denied: Denied,
    /// Where agents take packets that said last that they hold nothing.
    idle: BTreeMap<SocketAddrV4, NodeId>,
    /// Whether the backend server was not there when this agent started.
    began_alone: bool,
    waiting: Waiting,
    /// Revision of the last order that took the own failure domain back.
    taken_back: Option<Revision>,
    /// Whether a plan came into force before.
    applied: bool,
    next_sweep: Duration,
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
            idle: BTreeMap::new(),
            began_alone: false,
            waiting: Waiting::default(),
            taken_back: None,
            applied: false,
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

    /// Notes that the backend server was not there when this agent started: one that starts later holds no
    /// flows from before.
    pub fn begin_alone(&mut self) {
        self.began_alone = true;
    }

    /// Notes that the backend server says that it has left.
    pub fn leave(&mut self, id: &str) {
        self.backend.leave(id);
    }

    /// Takes the plan that came into force.
    pub fn apply(&mut self, now: Duration, plan: &Plan) {
        let back = plan.domains_back.get(&self.limits.domain).copied();
        // An agent that has just started goes by the first report, which tells how cold its server is.
        if self.applied && back > self.taken_back {
            self.backend.doubt(now);
        }
        self.taken_back = back;
        self.applied |= plan.is_known();
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
        let arrival = Arrival {
            now,
            view,
            from,
            segment,
            tag,
            bytes,
        };
        if segment.syn {
            return self.syn(arrival, out);
        }
        let key = segment.from_caller();
        if tag.probe {
            return self.probed(arrival, out);
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            return self.unknown(arrival, out);
        };
        match flow.holder {
            Holder::Peer(to) if to == from || !view.peers.has(&to) => {
                // The other agent does not hold it any more, or is gone.
                self.flows.remove(&key);
                self.unknown(arrival, out);
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
                None => self.ask(arrival, out),
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
            let arrival = Arrival {
                now,
                view,
                from: self.limits.packets,
                segment,
                tag: Tag::read(segment.tag),
                bytes,
            };
            return self.returned(arrival, out);
        }
        let key = segment.from_backend();
        let took = self.flows.note_backend(now, &key, segment);
        if let Some(took) = took {
            out.push(Action::Served { key, took });
        }
        self.tell_asker(&key, Reply::Mine, out);
        if segment.rst {
            self.flows.remove(&key);
        }
        out.push(Action::Answer);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration, view: View<'_>, out: &mut Vec<Action>) {
        let plan = view.plan;
        for (key, found) in self.lookups.sweep(now) {
            self.conclude(now, view, key, found, out);
        }
        self.search_again(now, view, out);
        if self.waiting.len() > 0 {
            self.release(now, plan, out);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_PERIOD;
            self.flows.sweep(now, plan.idle);
            self.denied.sweep(now);
            let is_away = |node: &NodeId| view.peers.away().any(|away| away == *node);
            self.idle
                .retain(|agent, node| view.peers.has(agent) || is_away(node));
            self.backend.sweep(now);
        }
    }

    /// Returns whether [`Agent::tick`] has something to do soon.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.lookups.is_waiting() || self.waiting.len() > 0
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
}
