//! Overload control: whether a new flow starts here, waits for a slot, goes to a sibling, or is
//! rejected.
//!
//! A SYN is rejected only if no copy of it can have reached another backend server, so that the
//! caller may rely on its request not having run. Otherwise it is dropped, and the caller's
//! retransmission or timeout follows.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::siblings::{self, Sibling};
use super::{
    Action, Agent, Arrival, DropReason, HOP_LIMIT, MAX_BUSY_HOPS, OverloadInputs, PassReason,
    Placement, ResetReason, View,
};
use crate::admission_queue::{AdmissionQueue, Demand, Pushed, WaitingSyn, first_sent};
use crate::backend::Admission;
use crate::flows::Holder;
use crate::loads::Load;
use crate::plan::{OverloadPolicy, Plan};
use crate::segment::FlowKey;
use crate::service_times::{Expected, ServiceTimes};
use crate::syn_queue::SYN_TIMEOUT;
use crate::tag::Tag;

/// Minimum number of slots. With fewer, one request more or less makes up most of the wait.
const MIN_SLOTS: u32 = 3;

/// Number of flows that start beyond the slots: a request arrives a round trip after its SYN, and a
/// slot must not stay idle in the meantime.
pub(super) const AHEAD: u32 = 1;

/// By how much earlier a sibling must be expected to finish for a SYN to be passed on.
const MIN_GAIN: Duration = Duration::from_millis(20);

/// Minimum divisor of the expected wait for the share that higher priorities leave.
const MIN_SHARE: f64 = 0.05;

/// The state of overload control.
#[derive(Debug, Default)]
pub(super) struct Overload {
    pub(super) times: ServiceTimes,
    pub(super) queue: AdmissionQueue,
    /// Whether the backend server was cold when the queue was last handled.
    pub(super) was_cold: bool,
    /// Whether a planned stop has begun.
    pub(super) stopping: bool,
}

impl Agent {
    /// Returns the overload policy if it applies at this agent.
    pub(super) fn policy(&self, plan: &Plan) -> Option<OverloadPolicy> {
        let mut policy = plan.services.get(&self.config.service)?.overload?;
        // Durations are multiplied by values that depend on the share, which fails for NaN.
        policy.least_share = match policy.least_share.is_nan() {
            true => 0.0,
            false => policy.least_share.clamp(0.0, 1.0),
        };
        (self.backend.slots() >= MIN_SLOTS).then_some(policy)
    }

    /// Returns the load that this agent reports; `None` if no overload policy applies.
    pub fn load(&mut self, now: Duration, plan: &Plan) -> Option<Load> {
        let policy = self.policy(plan)?;
        let slots = self.backend.slots();
        let admission = self.admission(now, plan);
        let service = self.service_time(now).unwrap_or_default();
        let is_shut = matches!(admission, Admission::Shut(_)) || self.overload.stopping;
        let running = u32::try_from(self.flows.load()).unwrap_or(u32::MAX);
        let capacity = match admission {
            Admission::Open if !is_shut => slots.saturating_add(AHEAD).saturating_sub(running),
            _ => 0,
        };
        let wait = match capacity {
            _ if is_shut => SYN_TIMEOUT,
            0 => {
                let routes = plan.routes.values();
                let routes = routes.filter(|route| route.allows(&self.config.service));
                let lowest = routes.map(|route| route.class.priority.unwrap_or(u8::MAX));
                let lowest = lowest.max().unwrap_or(u8::MAX);
                let wait = self.expected_wait(now, policy, lowest);
                wait.unwrap_or(service)
            }
            _ => Duration::ZERO,
        };
        Some(Load {
            wait,
            service,
            capacity,
            slots,
        })
    }

    /// Returns the number of SYNs that wait for a slot.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.overload.queue.len()
    }

    /// Returns the mean service time of the backend server's requests; `None` if it is unknown.
    #[must_use]
    pub fn service_time(&self, now: Duration) -> Option<Duration> {
        self.expected(now).overall().map(|estimate| estimate.mean)
    }

    /// Returns the load that another agent reported, and its age.
    #[must_use]
    pub fn sibling_load(&self, now: Duration, agent: &SocketAddrV4) -> Option<(Load, Duration)> {
        self.loads.get(now, agent)
    }

    /// Returns what is expected for a new flow; `None` if no overload policy applies.
    pub fn placement(&mut self, now: Duration, plan: &Plan, key: &FlowKey) -> Option<Placement> {
        let policy = self.policy(plan)?;
        let demand = self.demand(now, plan, key, now);
        Some(Placement {
            priority: demand.priority,
            objective: demand.objective,
            wait: self.expected_wait(now, policy, demand.priority),
            service: demand.service,
            queued: self.queued(),
        })
    }

    /// Begins a planned stop: each queued SYN is passed on or rejected, packets held for lookups are
    /// passed on, and no flow starts here.
    pub fn set_stopping(&mut self, now: Duration, view: View<'_>, out: &mut Vec<Action>) {
        self.overload.stopping = true;
        self.handle_queue(now, view, out);
        self.hand_over_held(view, out);
    }

    pub(super) fn expected(&self, now: Duration) -> Expected<'_> {
        let running = self.flows.running_times(now);
        let running = running.map(|(key, time)| (key.service, time));
        self.overload.times.expected(now, running)
    }

    /// Returns the expected time until the running requests and those of opened flows have ended,
    /// if they run one after the other.
    pub(super) fn remaining(&self, now: Duration) -> Option<Duration> {
        let expected = self.expected(now);
        let overall = expected.overall()?.mean;
        let running = self.flows.running_times(now);
        let running = running.map(|(key, time)| expected.remaining(&key.service, time));
        let fresh = self.flows.fresh();
        let fresh = fresh.map(|key| expected.service(&key.service).map(|e| e.mean));
        let times = running.chain(fresh).map(|time| time.unwrap_or(overall));
        Some(times.sum())
    }

    /// Returns the expected wait of a new flow; `None` if service times are unknown.
    fn expected_wait(
        &mut self,
        now: Duration,
        policy: OverloadPolicy,
        priority: u8,
    ) -> Option<Duration> {
        let remaining = self.remaining(now)?;
        let share_above = self.overload.queue.share_above(now, priority);
        let slots = self.backend.slots().max(1);
        let expected = self.expected(now);
        let overall = expected.overall()?.mean;
        let queue = &self.overload.queue;
        let before = queue.iter().filter(|syn| syn.demand.priority <= priority);
        let before = before.map(|syn| {
            let service = expected.service(&syn.key().service);
            service.map_or(overall, |estimate| estimate.mean)
        });
        let queued: Duration = before.sum();
        // Lower priorities get at least their reserved share.
        let left = (1.0 - share_above).max(MIN_SHARE).max(policy.least_share);
        let wait = ((remaining + queued) / slots).div_f64(left);
        let starts = queue.starts_before(priority, policy.least_share);
        let reserved = starts.map(|starts| (remaining + overall.mul_f64(starts)) / slots);
        Some(reserved.map_or(wait, |reserved| reserved.min(wait)))
    }

    fn demand(&self, now: Duration, plan: &Plan, key: &FlowKey, sent: Duration) -> Demand {
        let class = plan.route(&key.service).map(|route| route.class);
        let class = class.unwrap_or_default();
        let service = self.expected(now).service(&key.service);
        let hedges = |policy: OverloadPolicy| policy.second_tries > 0.0;
        Demand {
            priority: class.priority.unwrap_or(u8::MAX),
            sent,
            objective: class.objective,
            service: service.map(|estimate| estimate.mean),
            hedged: class.kind.is_repeatable() && self.policy(plan).is_some_and(hedges),
        }
    }

    /// Handles a SYN of a new flow while the backend server accepts new flows.
    pub(super) fn place_flow(
        &mut self,
        arrival: Arrival<'_>,
        policy: OverloadPolicy,
        admission: Admission,
        out: &mut Vec<Action>,
    ) {
        let Arrival {
            now,
            view,
            from,
            segment,
            tag,
            bytes,
        } = arrival;
        let key = segment.caller_flow();
        let mut demand = self.demand(now, view.plan, &key, first_sent(now, segment));
        demand.hedged |= tag.hedgeable;
        if admission == Admission::Open && !self.overload.stopping {
            self.overload.queue.note_start(now, demand.priority);
            return self.open_flow(now, from, segment, tag, out);
        }
        let own = Estimate {
            wait: self.expected_wait(now, policy, demand.priority),
            service: demand.service.unwrap_or_default(),
        };
        let syn = WaitingSyn::new(now, from, segment, bytes, demand);
        let may_reject = syn.has_all_copies(now);
        let in_time = own.wait.is_none_or(|wait| now + wait <= syn.latest_start());
        let in_time = in_time && !self.overload.stopping;
        let sibling = self.choose_sibling(now, view, &key, tag, from, own);
        let is_better = |sibling: &Sibling<'_>| match in_time {
            true => own.is_sooner(sibling),
            false => now + sibling.completion <= demand.ends(),
        };
        if let Some(sibling) = sibling
            && tag.hops < MAX_BUSY_HOPS
            && is_better(&sibling)
        {
            let reason = match in_time {
                true => PassReason::Busy,
                false => PassReason::Overloaded,
            };
            out.push(self.explain(key, own.inputs(Some(&sibling))));
            return self.pass_new_flow(arrival, sibling.peer.packet_addr, reason, out);
        }
        if in_time {
            match self.overload.queue.push(syn) {
                Pushed::Full => {}
                Pushed::Queued => return self.answer_queued(arrival, out),
                Pushed::Replaced(replaced) => {
                    self.answer_queued(arrival, out);
                    return self.turn_away(now, view, *replaced, PassReason::Overloaded, out);
                }
            }
        }
        let explanation = self.explain(key, own.inputs(sibling.as_ref()));
        let sibling = sibling.filter(|sibling| may_take(now, sibling, &demand));
        if let Some(sibling) = sibling.filter(|_| tag.hops < HOP_LIMIT) {
            let to = sibling.peer.packet_addr;
            out.push(explanation);
            return self.pass_new_flow(arrival, to, PassReason::Overloaded, out);
        }
        self.overload.queue.note_rejected(now, demand.priority);
        self.answer_sender(arrival, out);
        if may_reject {
            out.push(explanation);
        }
        out.push(match may_reject {
            true => Action::Reset {
                key,
                sequence: segment.acknowledged,
                reason: ResetReason::Overloaded,
            },
            false => Action::Drop(DropReason::Overloaded),
        });
    }

    /// Returns the action that records the inputs of a decision.
    pub(super) fn explain(&self, key: FlowKey, inputs: OverloadInputs) -> Action {
        let queued = self.queued();
        Action::Explain {
            key,
            inputs: OverloadInputs { queued, ..inputs },
        }
    }

    fn pass_new_flow(
        &mut self,
        arrival: Arrival<'_>,
        to: SocketAddrV4,
        reason: PassReason,
        out: &mut Vec<Action>,
    ) {
        let key = arrival.segment.caller_flow();
        self.flows.start(arrival.now, key, Holder::Peer(to));
        self.loads.charge(&to);
        self.pass_on(arrival.from, key, to, arrival.tag, reason, out);
    }

    fn answer_queued(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let key = arrival.segment.caller_flow();
        // The sibling that the flow was passed to may have passed it back.
        self.flows.remove(&key);
        self.answer_sender(arrival, out);
        out.push(Action::Queued { key });
        out.push(Action::Drop(DropReason::Held));
    }

    /// Informs the sender of a SYN that was passed on about the load of this agent.
    fn answer_sender(&self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        if arrival.tag.aside {
            out.push(Action::Hint {
                to: arrival.from,
                key: arrival.segment.caller_flow(),
                agent: self.config.packet_addr,
                load: None,
            });
        }
    }

    /// Adds the load of this agent to hints about SYNs.
    pub(super) fn add_load(&mut self, now: Duration, plan: &Plan, actions: &mut [Action]) {
        let is_hint = |action: &Action| matches!(action, Action::Hint { .. });
        if !actions.iter().any(is_hint) {
            return;
        }
        let own = self.load(now, plan);
        for action in actions {
            if let Action::Hint { load, .. } = action {
                *load = own;
            }
        }
    }

    /// Returns the sibling that a SYN from `from` may be passed to. Without service times, siblings
    /// are compared by their reported loads alone.
    pub(super) fn choose_sibling<'a>(
        &self,
        now: Duration,
        view: View<'a>,
        key: &FlowKey,
        tag: Tag,
        from: SocketAddrV4,
        own: Estimate,
    ) -> Option<Sibling<'a>> {
        siblings::choose(&siblings::Request {
            now,
            view,
            config: &self.config,
            loads: &self.loads,
            key: *key,
            from,
            hops: tag.hops,
            completion: own.completion(),
            service: own.service,
        })
    }
}

/// What an agent expects for a new flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// Expected wait at this agent; `None` if service times are unknown.
    pub(super) wait: Option<Duration>,
    /// Expected service time; zero if unknown.
    pub(super) service: Duration,
}

impl Estimate {
    /// Returns the inputs of a decision about a SYN that has arrived.
    fn inputs(&self, sibling: Option<&Sibling<'_>>) -> OverloadInputs {
        OverloadInputs {
            wait: self.wait,
            service: Some(self.service).filter(|service| !service.is_zero()),
            ..sibling.map(Sibling::inputs).unwrap_or_default()
        }
    }

    /// Returns the expected time until the request is complete.
    fn completion(&self) -> Duration {
        let wait = self.wait.unwrap_or(SYN_TIMEOUT);
        wait + self.service
    }

    /// Returns whether a sibling is expected to finish sooner by more than [`MIN_GAIN`]. If the own
    /// wait is unknown, a sibling with capacity is preferred.
    fn is_sooner(&self, sibling: &Sibling<'_>) -> bool {
        match self.wait {
            Some(_) => sibling.completion + MIN_GAIN < self.completion(),
            None => sibling.has_capacity(),
        }
    }
}

/// Returns whether a sibling is known to have capacity, or a wait that the objective allows.
pub(super) fn may_take(now: Duration, sibling: &Sibling<'_>, demand: &Demand) -> bool {
    let is_known = sibling.load.is_some() || sibling.peer.free > 0;
    is_known && now + sibling.completion <= demand.ends()
}
