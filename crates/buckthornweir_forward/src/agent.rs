//! An agent's decisions about the packets of callers and of its backend server.
//!
//! For each packet, an agent consults its own flow table, then the other agents, then the backend
//! server itself, which returns packets of flows that it doesn't hold.

mod new_flows;
mod overload;
mod overload_inputs;
mod owners;
mod promises;
pub mod siblings;
mod speeds;
mod types;
mod waiting;

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use self::overload::Overload;
use self::owners::Considered;
use self::promises::{Given, Received};
use crate::NodeId;
use crate::backend::{Backend, MAX_REPORT_DELAY, Report, Reported};
use crate::flows::{Flows, Holder};
use crate::loads::{Load, Loads};
use crate::lookup::{DeniedFlows, Lookups};
use crate::plan::{Plan, Revision};
use crate::segment::{FlowKey, Segment};
use crate::speed::{FULL_STEP, Speed};
use crate::syn_queue::SynQueue;
use crate::tag::Tag;

pub use self::overload_inputs::OverloadInputs;
pub use self::promises::EMPTY_TTL;
pub use self::types::{
    Action, AgentConfig, Answer, DropReason, Offer, PassReason, Placement, Question, Reply,
    ResetReason, View,
};

/// Maximum number of agents that may pass a packet on.
const HOP_LIMIT: u8 = 4;

/// Maximum number of busy agents that may pass a new flow on; the next one lets its backend server
/// queue the request, or queues the SYN itself under an overload policy.
const MAX_BUSY_HOPS: u8 = 2;

/// Interval between sweeps for expired state.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Precision of times that two processes of a VM state in whole milliseconds.
const CLOCK_PRECISION: Duration = Duration::from_millis(2);

/// Highest number of the first report that an agent gets from a backend server that started with it:
/// the first ones may be sent before the agent receives any.
const MAX_FIRST_REPORT: u64 = 3;

/// A packet being handled, with the context for the decision.
#[derive(Clone, Copy, Debug)]
struct Arrival<'a> {
    now: Duration,
    view: View<'a>,
    /// Sender of the packet; this agent itself for a packet that the backend server returned.
    from: SocketAddrV4,
    segment: &'a Segment,
    tag: Tag,
    bytes: &'a [u8],
}

/// The decision logic of one agent.
#[derive(Debug)]
pub struct Agent {
    config: AgentConfig,
    backend: Backend,
    flows: Flows,
    lookups: Lookups,
    considered: Considered,
    /// Starts of the agents when lookups were last reconsidered.
    known_starts: HashMap<NodeId, u32>,
    denied: DeniedFlows,
    /// Promises given with [`Reply::Empty`].
    given: Given,
    /// Promises of agents that answered [`Reply::Empty`].
    received: Received,
    /// Whether no backend server was present when this agent started.
    backendless_start: bool,
    /// Whether the present backend server was there when this agent started.
    backend_at_start: bool,
    /// Whether the present backend server had reported several times when this agent first heard it.
    backend_reported: bool,
    syn_queue: SynQueue,
    /// Loads of other agents.
    loads: Loads,
    /// Speed of the backend server.
    speed: Speed,
    overload: Overload,
    /// Revision of the last order that brought the own failure domain back.
    back_revision: Option<Revision>,
    /// Whether a plan has been in force before.
    had_plan: bool,
    next_sweep: Duration,
}

impl Agent {
    /// Returns an agent without flows.
    #[must_use]
    pub fn new(config: AgentConfig) -> Self {
        Self {
            backend: Backend::new(config.cold_bound, config.report_period),
            config,
            flows: Flows::default(),
            lookups: Lookups::default(),
            considered: Considered::default(),
            known_starts: HashMap::new(),
            denied: DeniedFlows::default(),
            given: Given::default(),
            received: Received::default(),
            backendless_start: false,
            backend_at_start: false,
            backend_reported: false,
            syn_queue: SynQueue::default(),
            loads: Loads::default(),
            speed: Speed::default(),
            overload: Overload::default(),
            back_revision: None,
            had_plan: false,
            next_sweep: Duration::ZERO,
        }
    }

    /// Returns the state of the backend server.
    #[must_use]
    pub fn backend(&self) -> &Backend {
        &self.backend
    }

    /// Returns the flow table.
    #[must_use]
    pub fn flows(&self) -> &Flows {
        &self.flows
    }

    /// Returns the capacity that the agent announces for new flows.
    pub fn offer(&mut self, now: Duration, plan: &Plan) -> Offer {
        self.expire_fresh(now, plan);
        let running = u32::try_from(self.flows.load()).unwrap_or(u32::MAX);
        Offer {
            accepts: self.backend.accepts(now)
                && self.given.is_empty(now)
                && !plan.is_out(&self.config.domain)
                && !self.overload.stopping,
            cold: self.backend.is_cold(now),
            free: self.backend.slots().saturating_sub(running),
            weight: match self.measures_speed(plan) {
                true => self.speed.step(now),
                false => FULL_STEP,
            },
        }
    }

    /// Handles a report of the backend server; a restart resets its flows.
    pub fn report(&mut self, now: Duration, report: Report, out: &mut Vec<Action>) -> Reported {
        let (is_first, number) = (self.backend.last_report().is_none(), report.sequence);
        let last = self.backend.reported_at();
        let reported = self.backend.report(now, report);
        if is_first {
            self.backend_reported = number > MAX_FIRST_REPORT;
            if self.may_have_predecessor() {
                // Its process ended before this one started.
                self.backend.note_earlier_agent(Duration::ZERO);
            }
        }
        if reported == Reported::Restarted {
            self.backend_at_start = false;
            self.backend_reported = false;
            self.reset_local_flows(now, self.backend_started(now, last), out);
            self.overload.times.clear();
        }
        self.withdraw_promises(now, out);
        reported
    }

    /// Returns whether the backend server has reported, but promises to start no flows are left.
    fn is_withdrawing(&self) -> bool {
        !self.holds_no_flows() && !self.given.is_forgotten()
    }

    /// Withdraws the promises to start no flows that are not acknowledged yet.
    fn withdraw_promises(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.holds_no_flows() {
            return;
        }
        let started_ms = self.config.started_ms;
        let due = self.given.due_withdrawals(now).into_iter();
        out.extend(due.map(|to| Action::Withdraw { to, started_ms }));
    }

    /// Records that `asker` has acknowledged a withdrawal that stated `started_ms`.
    pub fn note_acknowledged(&mut self, asker: &SocketAddrV4, started_ms: u64) {
        // An acknowledgement for an earlier start of this agent says nothing about this one.
        if started_ms == self.config.started_ms {
            self.given.remove(asker);
        }
    }

    /// Records that the agent with this packet address withdraws its promise to start no flows. Returns
    /// whether the withdrawal may be acknowledged; otherwise the promise ends after [`EMPTY_TTL`].
    #[must_use]
    pub fn note_withdrawn(&mut self, now: Duration, agent: SocketAddrV4) -> bool {
        self.received.withdraw(now, agent)
    }

    /// Records the load that another agent reported.
    pub fn note_load(&mut self, now: Duration, agent: SocketAddrV4, load: Load) {
        self.loads.note(now, agent, load);
    }

    /// Records that no backend server was present when this agent started. One that starts later
    /// can't hold flows that this agent has not seen.
    pub fn note_backendless_start(&mut self) {
        self.backendless_start = true;
    }

    /// Records that a backend server was present when this agent started, whatever start time it
    /// states: the clock of the VM may have been set since.
    pub fn note_backend_at_start(&mut self) {
        self.backend_at_start = true;
    }

    /// Records that the backend server `id` announced that it has left.
    pub fn note_left(&mut self, id: &str) {
        self.backend.note_left(id);
    }

    /// Applies the plan that came into force.
    pub fn apply(&mut self, now: Duration, plan: &Plan) {
        let back = plan.domains_back.get(&self.config.domain).copied();
        // An agent that has just started relies on the first report, which states how long the
        // backend server stays cold.
        if self.had_plan && back > self.back_revision {
            self.backend.suspect_cold(now);
        }
        self.back_revision = back;
        self.had_plan |= plan.is_known();
    }

    /// Returns when the restarted backend server started at the earliest, by this agent's time. `last` is
    /// when its earlier start was last heard.
    fn backend_started(&self, now: Duration, last: Duration) -> Duration {
        let earliest = last.saturating_sub(MAX_REPORT_DELAY);
        let born = self.backend.last_report().map_or(0, |report| report.born);
        let elapsed = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let clock = self.config.started_ms.saturating_add(elapsed);
        match Duration::from_millis(clock.saturating_sub(born)) {
            // The clock of the VM has been set since this agent started.
            _ if Duration::from_millis(born.saturating_sub(clock)) > CLOCK_PRECISION => earliest,
            Duration::ZERO => now,
            age => now.saturating_sub(age + CLOCK_PRECISION).max(earliest),
        }
    }

    /// Resets the active flows that ended with a restart of the backend server: those that began
    /// until `started`. It returns the packets of any later flow that it doesn't hold.
    fn reset_local_flows(&mut self, now: Duration, started: Duration, out: &mut Vec<Action>) {
        for (key, flow) in self.flows.take_local(started) {
            let active = flow.confirmed && !flow.has_ended();
            if active && now < flow.last_seen + SWEEP_PERIOD * 10 {
                out.push(Action::Reset {
                    key,
                    sequence: flow.acknowledged,
                    reason: ResetReason::Restarted,
                });
            }
        }
    }

    /// Handles a caller's packet that a balancer or another agent sent.
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
            return self.handle_syn(arrival, out);
        }
        let key = segment.caller_flow();
        // The flow is open at another backend server, or its caller has given up.
        self.forget_queued(now, &key, out);
        if tag.probe {
            return self.handle_probe(arrival, out);
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            return self.handle_unknown_flow(arrival, out);
        };
        match flow.holder {
            Holder::Peer(to) if to == from || !view.peers.has(&to) => {
                // The other agent no longer holds the flow, or has left.
                self.flows.remove(&key);
                self.handle_unknown_flow(arrival, out);
            }
            Holder::Peer(to) => {
                flow.last_seen = now;
                self.pass_on(from, key, to, tag, PassReason::Owner, out);
            }
            Holder::Local
                if flow.confirmed
                    || flow.assumed
                    || flow.acknowledges_syn_ack(segment.acknowledged) =>
            {
                self.deliver(now, &key, segment, tag, out);
            }
            // The caller acknowledges the SYN-ACK of another backend server.
            Holder::Local => match flow.alternate {
                Some(to) => {
                    self.flows.start(now, key, Holder::Peer(to));
                    self.pass_on(from, key, to, tag, PassReason::Owner, out);
                }
                None => self.start_lookup(arrival, out),
            },
        }
    }

    /// Handles a packet that the backend server sent or returned.
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
                from: self.config.packet_addr,
                segment,
                tag: Tag::read(segment.tag),
                bytes,
            };
            return self.handle_returned(arrival, out);
        }
        let key = segment.backend_flow();
        self.forget_queued(now, &key, out);
        let took = self.flows.note_backend(now, &key, segment);
        if let Some(took) = took {
            self.note_speed(now, view.plan, &key, took);
            self.overload.times.note(now, key.service, took);
            out.push(Action::Served { key, took });
        }
        self.answer_prober(&key, Reply::Owned, out);
        if segment.rst
            && let Some(flow) = self.flows.remove(&key)
        {
            self.note_reset(now, view.plan, &key, &flow);
        }
        out.push(Action::ToCaller);
        self.handle_queue(now, view, out);
    }

    /// Runs timeouts, retries and sweeps that are due.
    pub fn tick(&mut self, now: Duration, view: View<'_>, out: &mut Vec<Action>) {
        let plan = view.plan;
        for (key, outcome) in self.lookups.sweep(now) {
            self.conclude(now, view, key, outcome, out);
        }
        self.reconsider_lookups(now, view, out);
        self.retry_lookups(now, view, out);
        self.withdraw_promises(now, out);
        if self.syn_queue.len() > 0 {
            self.release_queued_syns(now, plan, out);
        }
        self.handle_queue(now, view, out);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_PERIOD;
            self.flows.sweep(now, plan.idle);
            self.denied.sweep(now);
            self.given.sweep(now);
            self.received.sweep(now);
            self.backend.sweep(now);
            self.loads.sweep(now);
            self.note_overdue(now, plan);
        }
    }

    /// Returns whether [`Agent::tick`] has work to do soon.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.is_withdrawing()
            || self.lookups.is_waiting()
            || self.syn_queue.len() > 0
            || self.queued() > 0
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

    /// Passes the current packet to another agent and sends its sender a hint.
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
            load: None,
        });
    }
}
