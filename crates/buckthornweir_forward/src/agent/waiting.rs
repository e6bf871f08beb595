//! SYNs that wait at the agent for a free slot: their start, and what happens to those that can't
//! start here.

use std::time::Duration;

use super::overload::{Estimate, may_take};
use super::siblings::Sibling;
use super::{Action, Agent, Arrival, HOP_LIMIT, OverloadInputs, PassReason, ResetReason, View};
use crate::admission_queue::WaitingSyn;
use crate::backend::{Admission, Shut};
use crate::flows::Holder;
use crate::plan::{OverloadPolicy, Plan};
use crate::segment::FlowKey;

impl Agent {
    /// Records a copy of a queued SYN. Returns whether one is queued for its flow.
    pub(super) fn is_queued_copy(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) -> bool {
        let Arrival { now, segment, .. } = arrival;
        if self.overload.queue.is_empty() {
            return false;
        }
        let is_copy = self.overload.queue.note_copy(now, segment);
        if !is_copy {
            // The caller has given up the earlier attempt on this port.
            self.forget_queued(now, &segment.caller_flow(), out);
        }
        is_copy
    }

    /// Removes the SYN of a flow that is open or whose caller has given up.
    pub(super) fn forget_queued(&mut self, now: Duration, key: &FlowKey, out: &mut Vec<Action>) {
        if let Some(syn) = self.overload.queue.remove(key) {
            out.push(dequeued(now, &syn));
        }
    }

    /// Starts queued flows for which there is capacity, and turns away those that can't start here.
    pub(super) fn handle_queue(&mut self, now: Duration, view: View<'_>, out: &mut Vec<Action>) {
        let cold = self.backend.is_cold(now);
        let turned_cold = cold && !self.overload.was_cold;
        self.overload.was_cold = cold;
        if self.overload.queue.is_empty() {
            return;
        }
        let before = out.len();
        self.drop_routeless(now, view.plan, out);
        let shut = match self.admission(now, view.plan) {
            Admission::Shut(shut) => Some(PassReason::Shut(shut)),
            _ if turned_cold => Some(PassReason::Shut(Shut::Cold)),
            _ => self.overload.stopping.then_some(PassReason::Overloaded),
        };
        match (shut, self.policy(view.plan)) {
            (Some(reason), _) => {
                for syn in self.overload.queue.drain() {
                    self.turn_away(now, view, syn, reason, out);
                }
            }
            (None, None) => self.start_without_policy(now, view, out),
            (None, Some(policy)) => {
                self.update_services(now);
                self.start_all_queued(now, view.plan, policy, out);
                for syn in self.overload.queue.take_overdue(now) {
                    self.turn_away(now, view, syn, PassReason::Overloaded, out);
                }
                self.pass_late(now, view, out);
            }
        }
        self.add_load(now, view.plan, &mut out[before..]);
    }

    /// Updates the expected service times of queued SYNs, on which their latest start depends.
    fn update_services(&mut self, now: Duration) {
        let expected = self.expected(now);
        let service = |syn: &WaitingSyn| expected.service(&syn.key().service);
        let services: Vec<_> = self.overload.queue.iter().map(service).collect();
        let services = services.into_iter().map(|service| Some(service?.mean));
        self.overload.queue.set_services(services);
    }

    fn start_all_queued(
        &mut self,
        now: Duration,
        plan: &Plan,
        policy: OverloadPolicy,
        out: &mut Vec<Action>,
    ) {
        while self.admission(now, plan) == Admission::Open
            && let Some(syn) = self.overload.queue.pop(now, policy.least_share)
        {
            self.start_queued(now, syn, out);
        }
    }

    /// Starts the queued flows after the policy was disabled: without one, requests wait at the
    /// backend server. Each start counts towards the bound of a cold backend server.
    fn start_without_policy(&mut self, now: Duration, view: View<'_>, out: &mut Vec<Action>) {
        for syn in self.overload.queue.drain() {
            match self.admission(now, view.plan) {
                Admission::Shut(shut) => {
                    self.turn_away(now, view, syn, PassReason::Shut(shut), out);
                }
                _ if syn.has_timed_out(now) => {
                    self.turn_away(now, view, syn, PassReason::Overloaded, out);
                }
                _ => self.start_queued(now, syn, out),
            }
        }
    }

    fn start_queued(&mut self, now: Duration, syn: WaitingSyn, out: &mut Vec<Action>) {
        out.push(dequeued(now, &syn));
        self.open_held_flow(now, &syn.segment, syn.bytes, syn.tag, out);
    }

    /// Rejects queued SYNs to addresses that the plan no longer routes to this service.
    fn drop_routeless(&mut self, now: Duration, plan: &Plan, out: &mut Vec<Action>) {
        let service = &self.config.service;
        let has_route = |syn: &WaitingSyn| {
            let route = plan.route(&syn.key().service);
            route.is_some_and(|route| route.allows(service))
        };
        for syn in self.overload.queue.take_where(|syn| !has_route(syn)) {
            reject(now, &syn, ResetReason::NobodyTakes, None, out);
        }
    }

    /// Passes on the SYNs that are unlikely to start in time to siblings that have capacity.
    fn pass_late(&mut self, now: Duration, view: View<'_>, out: &mut Vec<Action>) {
        let Some(remaining) = self.remaining(now) else {
            return;
        };
        let slots = self.backend.slots().max(1);
        let mut work = remaining;
        let late = self.overload.queue.take_late(now, |syn| {
            let wait = work / slots;
            work += syn.demand.service.unwrap_or_default();
            Some(wait)
        });
        for syn in late {
            match self.sibling_for(now, view, &syn) {
                Some(sibling) if sibling.has_capacity() => {
                    self.pass_queued(now, syn, &sibling, PassReason::Overloaded, out);
                }
                _ => self.overload.queue.put_back(syn),
            }
        }
    }

    /// Passes on or rejects a SYN that can't start here.
    pub(super) fn turn_away(
        &mut self,
        now: Duration,
        view: View<'_>,
        syn: WaitingSyn,
        reason: PassReason,
        out: &mut Vec<Action>,
    ) {
        // A sibling is given the benefit of the doubt if the SYN can't stay for another reason than
        // its wait.
        let stays = reason == PassReason::Overloaded && !self.overload.stopping;
        let takes = |sibling: &Sibling<'_>| match stays {
            true => may_take(now, sibling, &syn.demand),
            false => now + sibling.completion <= syn.demand.ends(),
        };
        let sibling = self.sibling_for(now, view, &syn);
        match sibling.filter(takes) {
            Some(sibling) => self.pass_queued(now, syn, &sibling, reason, out),
            None => {
                let explanation = self.explain_queued(now, &syn, sibling.as_ref());
                let reason = match reason {
                    PassReason::Shut(_) => ResetReason::NobodyTakes,
                    _ => ResetReason::Overloaded,
                };
                reject(now, &syn, reason, Some(explanation), out);
            }
        }
    }

    /// Returns the action that records the inputs of a decision about a queued SYN. Its expected
    /// wait is left out, since the computation takes time and few such lines are written.
    fn explain_queued(
        &self,
        now: Duration,
        syn: &WaitingSyn,
        sibling: Option<&Sibling<'_>>,
    ) -> Action {
        let inputs = OverloadInputs {
            waited: Some(now.saturating_sub(syn.since)),
            service: syn.demand.service,
            ..sibling.map(Sibling::inputs).unwrap_or_default()
        };
        self.explain(syn.key(), inputs)
    }

    fn pass_queued(
        &mut self,
        now: Duration,
        syn: WaitingSyn,
        sibling: &Sibling<'_>,
        reason: PassReason,
        out: &mut Vec<Action>,
    ) {
        let (key, to) = (syn.key(), sibling.peer.packet_addr);
        out.push(dequeued(now, &syn));
        self.flows.start(now, key, Holder::Peer(to));
        self.loads.charge(&to);
        out.push(self.explain_queued(now, &syn, Some(sibling)));
        out.push(Action::Pass {
            bytes: Some(syn.bytes),
            to,
            tag: syn.tag.aged(now.saturating_sub(syn.since)).passed_on(),
            reason,
        });
        out.push(Action::Hint {
            to: syn.from,
            key,
            agent: to,
            load: None,
        });
    }

    /// Returns the sibling that a queued SYN may be passed to.
    fn sibling_for<'a>(
        &self,
        now: Duration,
        view: View<'a>,
        syn: &WaitingSyn,
    ) -> Option<Sibling<'a>> {
        if !syn.may_pass(now) || syn.tag.hops >= HOP_LIMIT {
            return None;
        }
        let own = Estimate {
            wait: None,
            service: syn.demand.service.unwrap_or_default(),
        };
        self.choose_sibling(now, view, &syn.key(), syn.tag, syn.from, own)
    }
}

fn dequeued(now: Duration, syn: &WaitingSyn) -> Action {
    Action::Dequeued {
        key: syn.key(),
        waited: now.saturating_sub(syn.since),
    }
}

/// Rejects a SYN that was queued, unless a copy of it may have reached another backend server.
fn reject(
    now: Duration,
    syn: &WaitingSyn,
    reason: ResetReason,
    explanation: Option<Action>,
    out: &mut Vec<Action>,
) {
    out.push(dequeued(now, syn));
    if syn.has_all_copies(now) {
        out.extend(explanation);
        out.push(Action::Reset {
            key: syn.key(),
            sequence: syn.segment.acknowledged,
            reason,
        });
    }
}
