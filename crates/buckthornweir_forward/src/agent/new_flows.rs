//! Admission of new flows: which backend server gets them, and which SYNs are queued or refused.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::overload::AHEAD;
use super::{
    Action, Agent, Arrival, DropReason, HOP_LIMIT, MAX_BUSY_HOPS, PassReason, ResetReason, View,
};
use crate::backend::{Admission, Shut};
use crate::flows::{FRESH_TTL, Holder, OVERLOAD_FRESH_TTL};
use crate::peers::Peer;
use crate::plan::Plan;
use crate::segment::{FlowKey, Segment, mix};
use crate::syn_queue::SYN_TIMEOUT;
use crate::tag::Tag;

/// How long a backend server may take to answer a SYN before a retransmission goes to another
/// agent.
const SYN_ACK_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a SYN that was passed on may take to come back. Callers send copies, which the other
/// agent may own, at least 200 ms apart.
const RETURN_WINDOW: Duration = Duration::from_millis(50);

impl Agent {
    pub(super) fn handle_syn(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival { now, view, .. } = arrival;
        if self.is_queued_copy(arrival, out) {
            return out.push(Action::Drop(DropReason::Held));
        }
        // Flows that wait have precedence over the new one.
        self.handle_queue(now, view, out);
        let before = out.len();
        self.route_syn(arrival, out);
        self.add_load(now, view.plan, &mut out[before..]);
    }

    fn route_syn(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            now,
            view,
            from,
            segment,
            tag,
            ..
        } = arrival;
        let key = segment.caller_flow();
        let is_limited = tag.hops > 0 && self.policy(view.plan).is_some();
        match self.flows.get_mut(&key) {
            Some(flow) if flow.has_ended() => {}
            // Other agents passed the SYN on until it came back.
            Some(flow)
                if is_limited
                    && flow.holder != Holder::Local
                    && now < flow.since + RETURN_WINDOW => {}
            Some(flow) => match flow.holder {
                Holder::Peer(to) if to != from && view.peers.has(&to) => {
                    return self.pass_on(from, key, to, tag, PassReason::Owner, out);
                }
                Holder::Peer(_) => {}
                Holder::Local => {
                    let overdue = flow.syn_ack_seq.is_none() && now >= flow.since + SYN_ACK_TIMEOUT;
                    if overdue && !flow.confirmed && flow.alternate.is_none() {
                        return self.pass_retransmission(arrival, out);
                    }
                    return self.deliver(now, &key, segment, tag, out);
                }
            },
            None => {}
        }
        self.new_flow(arrival, out);
    }

    /// Passes a retransmission of an unanswered SYN to another agent.
    pub(super) fn pass_retransmission(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            now,
            view,
            segment,
            tag,
            ..
        } = arrival;
        let key = segment.caller_flow();
        let alternate = self
            .pick_sibling(view, &key, tag)
            .map(|peer| peer.packet_addr);
        let Some(to) = alternate.filter(|_| tag.hops < HOP_LIMIT) else {
            return self.deliver(now, &key, segment, tag, out);
        };
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.alternate = Some(to);
        }
        out.push(Action::Pass {
            bytes: None,
            to,
            tag: tag.passed_on(),
            reason: PassReason::Unanswered,
        });
    }

    pub(super) fn new_flow(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            now,
            view,
            from,
            segment,
            tag,
            bytes,
        } = arrival;
        let key = segment.caller_flow();
        let route = view.plan.route(&key.service);
        if !route.is_some_and(|route| route.allows(&self.config.service)) {
            // This agent's plan or the sender's is stale; a retransmission will meet a newer plan.
            return out.push(Action::Drop(DropReason::NoRoute));
        }
        if tag.hedged && !self.serves_at_once(now, view.plan) {
            return out.push(Action::Drop(DropReason::Hedged));
        }
        let admission = self.admission(now, view.plan);
        if let Some(policy) = self.policy(view.plan)
            && !matches!(admission, Admission::Shut(_))
        {
            return self.place_flow(arrival, policy, admission, out);
        }
        let reason = match admission {
            Admission::Open => None,
            Admission::Busy if tag.hops >= MAX_BUSY_HOPS => None,
            Admission::Busy => Some(PassReason::Busy),
            Admission::Shut(shut) => Some(PassReason::Shut(shut)),
        };
        let Some(reason) = reason else {
            return self.open_flow(now, from, segment, tag, out);
        };
        let sibling = self
            .pick_sibling(view, &key, tag)
            .map(|peer| peer.packet_addr);
        match sibling.filter(|_| tag.hops < HOP_LIMIT) {
            Some(to) => {
                self.flows.start(now, key, Holder::Peer(to));
                self.pass_on(from, key, to, tag, reason, out);
            }
            None if reason == PassReason::Busy => self.open_flow(now, from, segment, tag, out),
            None if self.queue_syn(now, view.plan, segment, tag, bytes, reason) => {
                out.push(Action::Drop(DropReason::Held));
            }
            // The SYN may have waited at the agent that passed it on, and its hedged copy may have
            // opened the flow.
            None if tag.hedgeable && tag.hops > 0 => {
                out.push(Action::Drop(DropReason::Overloaded));
            }
            None => out.push(Action::Reset {
                key,
                sequence: segment.acknowledged,
                reason: ResetReason::NobodyTakes,
            }),
        }
    }

    /// Returns whether the backend server is warm and has a free slot for a hedged SYN, and the agent
    /// does not stop.
    ///
    /// Any other hedged SYN is dropped: the flow may have opened at the agent of the first SYN, so
    /// that a reset would break it, and hedging must not add to the queues.
    fn serves_at_once(&mut self, now: Duration, plan: &Plan) -> bool {
        let starts_flows = !self.backend.is_cold(now) && !self.overload.stopping;
        starts_flows && self.admission(now, plan) == Admission::Open
    }

    /// Queues a SYN that the backend server may accept before the caller times out. Returns whether
    /// the SYN is queued.
    pub(super) fn queue_syn(
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
        self.syn_queue.expire(now);
        if self.syn_queue.contains(&segment.caller_flow()) {
            return true;
        }
        let wait = self
            .backend
            .cold_wait(now, self.cold_rate(plan), self.syn_queue.len());
        wait < SYN_TIMEOUT && self.syn_queue.push(now, segment, bytes, tag)
    }

    /// Delivers queued SYNs for as long as the backend server accepts new flows.
    pub(super) fn release_queued_syns(
        &mut self,
        now: Duration,
        plan: &Plan,
        out: &mut Vec<Action>,
    ) {
        self.syn_queue.expire(now);
        while self.syn_queue.len() > 0 && !matches!(self.admission(now, plan), Admission::Shut(_)) {
            let Some(syn) = self.syn_queue.pop() else {
                return;
            };
            let key = syn.segment.caller_flow();
            let known = self.flows.get(&key).is_some();
            self.forget_queued(now, &key, out);
            let route = plan.route(&key.service);
            if known || !route.is_some_and(|route| route.allows(&self.config.service)) {
                continue;
            }
            self.open_held_flow(now, &syn.segment, syn.bytes, syn.tag, out);
        }
    }

    /// Delivers a SYN that was held.
    pub(super) fn open_held_flow(
        &mut self,
        now: Duration,
        segment: &Segment,
        bytes: Vec<u8>,
        tag: Tag,
        out: &mut Vec<Action>,
    ) {
        let key = segment.caller_flow();
        self.flows.open(now, key);
        self.denied.forget(&key);
        self.lookups.forget(&key);
        self.backend.note_syn(now);
        self.flows.note_caller(now, &key, segment);
        out.push(Action::Opened { key });
        out.push(Action::Deliver {
            bytes: Some(bytes),
            tag,
        });
    }

    pub(super) fn admission(&mut self, now: Duration, plan: &Plan) -> Admission {
        if plan.is_out(&self.config.domain) {
            return Admission::Shut(Shut::DomainOut);
        }
        if !self.given.is_empty(now) {
            return Admission::Shut(Shut::Unknown);
        }
        let cold_rate = self.cold_rate(plan);
        self.expire_fresh(now, plan);
        let ahead = self.policy(plan).map_or(0, |_| AHEAD as usize);
        let running = self.flows.load().saturating_sub(ahead);
        self.backend.admission(now, cold_rate, running)
    }

    pub(super) fn expire_fresh(&mut self, now: Duration, plan: &Plan) {
        let ttl = match self.policy(plan) {
            Some(_) => OVERLOAD_FRESH_TTL,
            None => FRESH_TTL,
        };
        self.flows.expire_fresh(now, ttl);
    }

    pub(super) fn cold_rate(&self, plan: &Plan) -> Option<f64> {
        plan.services.get(&self.config.service)?.cold_rate
    }

    pub(super) fn open_flow(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        segment: &Segment,
        tag: Tag,
        out: &mut Vec<Action>,
    ) {
        let key = segment.caller_flow();
        self.flows.open(now, key);
        self.denied.forget(&key);
        self.lookups.forget(&key);
        out.push(Action::Opened { key });
        self.deliver(now, &key, segment, tag, out);
        if tag.aside {
            out.push(Action::Hint {
                to: from,
                key,
                agent: self.config.packet_addr,
                load: None,
            });
        }
    }

    /// Returns the agent that a new flow is passed to.
    ///
    /// Candidates accept new flows of the same service. Warm ones with free slots in the own
    /// failure domain are preferred, then such ones in any failure domain, then all. Among them, of
    /// two chosen by the flow's hash, the one with more free slots is returned.
    pub(super) fn pick_sibling<'a>(
        &self,
        view: View<'a>,
        key: &FlowKey,
        tag: Tag,
    ) -> Option<&'a Peer> {
        let own = self.config.node;
        let open =
            |peer: &&Peer| peer.node != own && peer.accepts && !view.plan.is_out(&peer.domain);
        let peers: Vec<&Peer> = view
            .peers
            .in_service(&self.config.service)
            .filter(open)
            .collect();
        let warm = |peer: &Peer| peer.free > 0 && !peer.cold;
        let near = |peer: &Peer| warm(peer) && peer.domain == self.config.domain;
        let matching = |fits: &dyn Fn(&Peer) -> bool| -> Vec<&'a Peer> {
            peers.iter().copied().filter(|peer| fits(peer)).collect()
        };
        let from = [matching(&near), matching(&warm), peers.clone()]
            .into_iter()
            .find(|list| !list.is_empty())?;
        let hash = mix(key.hash() ^ own, u64::from(tag.hops));
        let pick = |hash: u64| from[(hash % from.len() as u64) as usize];
        let (one, other) = (pick(hash), pick(mix(hash, 1)));
        Some(if other.free > one.free { other } else { one })
    }

    pub(super) fn handle_returned_syn(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            now,
            view,
            segment,
            tag,
            ..
        } = arrival;
        let key = segment.caller_flow();
        let own = self.config.packet_addr;
        self.backend.note_returned_syn(now);
        if tag.hedged {
            self.flows.remove(&key);
            return out.push(Action::Drop(DropReason::Hedged));
        }
        let sibling = self
            .pick_sibling(view, &key, tag)
            .map(|peer| peer.packet_addr);
        match sibling.filter(|_| tag.hops < HOP_LIMIT) {
            Some(to) => {
                self.flows.start(now, key, Holder::Peer(to));
                self.pass_on(own, key, to, tag, PassReason::Returned, out);
            }
            None => {
                self.flows.remove(&key);
                out.push(match tag.hedgeable {
                    // The SYN may have waited here, and its hedged copy may have opened the flow.
                    true => Action::Drop(DropReason::Overloaded),
                    false => Action::Reset {
                        key,
                        sequence: segment.acknowledged,
                        reason: ResetReason::NobodyTakes,
                    },
                });
            }
        }
    }
}
