//! New flows: which backend server gets them, and what waits or is refused.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{Action, Agent, Arrival, DropReason, HOP_LIMIT, PassReason, ResetReason, View};
use crate::backend::{Shut, Standing};
use crate::flows::Holder;
use crate::peers::Peer;
use crate::plan::Plan;
use crate::segment::{FlowKey, Segment, mix};
use crate::tag::Tag;
use crate::waiting::PATIENCE;

/// How long a backend server may take for its answer to a SYN before a copy goes to another one.
const ANSWER_WAIT: Duration = Duration::from_millis(150);

/// How many agents may pass a new flow on because they are busy; the last one lets it queue.
const BUSY_HOPS: u8 = 2;

impl Agent {
    pub(super) fn syn(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            now,
            view,
            from,
            segment,
            tag,
            ..
        } = arrival;
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
                        return self.syn_copy(arrival, out);
                    }
                    return self.deliver(now, &key, segment, tag, out);
                }
            },
            None => {}
        }
        self.new_flow(arrival, out);
    }

    /// Gives a copy of a SYN that the backend server has not answered to another agent.
    pub(super) fn syn_copy(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            now,
            view,
            segment,
            tag,
            ..
        } = arrival;
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

    pub(super) fn new_flow(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            now,
            view,
            from,
            segment,
            tag,
            bytes,
        } = arrival;
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
    pub(super) fn wait(
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
    pub(super) fn release(&mut self, now: Duration, plan: &Plan, out: &mut Vec<Action>) {
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
            self.lookups.forget(&key);
            self.backend.note_syn(now);
            self.flows.note_caller(now, &key, &syn.segment);
            out.push(Action::Opened { key });
            out.push(Action::Deliver {
                bytes: Some(syn.bytes),
                tag: syn.tag,
            });
        }
    }

    pub(super) fn standing(&mut self, now: Duration, plan: &Plan) -> Standing {
        if plan.is_out(&self.limits.domain) {
            return Standing::Shut(Shut::DomainOut);
        }
        let cold_rate = self.cold_rate(plan);
        self.flows.settle(now);
        self.backend.standing(now, cold_rate, self.flows.load())
    }

    pub(super) fn cold_rate(&self, plan: &Plan) -> Option<f64> {
        plan.services.get(&self.limits.service)?.cold_rate
    }

    pub(super) fn open(
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
        self.lookups.forget(&key);
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

    /// Returns the agent that a new flow goes to from here: one of the service that takes new flows, of
    /// two by chance the one with more free slots, in the own failure domain if there is one with any.
    pub(super) fn sibling<'a>(&self, view: View<'a>, key: &FlowKey, tag: Tag) -> Option<&'a Peer> {
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

    pub(super) fn returned_syn(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            now,
            view,
            segment,
            tag,
            ..
        } = arrival;
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
}
