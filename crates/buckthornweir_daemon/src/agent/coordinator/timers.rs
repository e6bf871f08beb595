//! Timers of the coordinator, and its updates from the bundle and the members.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use buckthornweir_events::{Count, Gauge};
use buckthornweir_members::{Health, MemberState};
use buckthornweir_requests::messages::Load;
use buckthornweir_requests::{Counters, ServingState, Sibling, SiblingState};
use buckthornweir_wire::NodeId;
use tokio_util::sync::CancellationToken;

use super::{RequestCoordinator, State};
use crate::board::Member;

/// How often the timers of requests and reservations are checked.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// How often the timers of idempotency keys are checked.
const KEY_TICK_PERIOD: Duration = Duration::from_millis(50);

/// How often the metrics and the number of free slots on the blackboard are updated.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

impl RequestCoordinator {
    /// Runs the timers and handles changes of the blackboard until `stop` is cancelled.
    pub(crate) async fn run_timers(self: Arc<Self>, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        let mut key_ticks = tokio::time::interval(KEY_TICK_PERIOD);
        let mut reports = tokio::time::interval(REPORT_PERIOD);
        let mut changes = self.board.changes();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => self.tick(),
                _ = key_ticks.tick() => self.keys.tick(),
                _ = reports.tick() => self.report(),
                changed = changes.changed() => if changed.is_ok() { self.refresh() },
            }
        }
    }

    fn tick(&self) {
        let mut state = self.state.lock();
        let actions = state.admission.tick(self.board.now());
        self.apply_actions(&mut state, actions, None);
        let State { requests, asks, .. } = &mut *state;
        asks.retain(|_, ask| requests.contains_key(&ask.request));
    }

    fn report(&self) {
        self.keys.report();
        self.handoffs.close_idle();
        let mut state = self.state.lock();
        self.report_hedges(&mut state);
        let limit = state.admission.limit();
        let metrics = &self.board.metrics;
        metrics.set(Gauge::AdmissionLimit, i64::from(limit.limit()));
        metrics.set(Gauge::RequestsRunning, i64::from(limit.in_flight()));
        let waiting = i64::try_from(state.admission.queued()).unwrap_or(i64::MAX);
        metrics.set(Gauge::RequestsWaiting, waiting);
        let free = limit.free();
        drop(state);
        self.board.report_free(free);
    }

    /// Adds the denials that admission counted since the last report to the metrics.
    fn report_hedges(&self, state: &mut State) {
        let counters = state.admission.counters();
        let before = std::mem::replace(&mut state.reported, counters);
        for ((count, now), (_, then)) in denials(&counters).into_iter().zip(denials(&before)) {
            self.board.metrics.count_by(count, now - then);
        }
    }

    /// Applies the current bundle and members.
    pub(super) fn refresh(&self) {
        let Some(agent) = &self.board.settings.agent else {
            return;
        };
        let found = self
            .board
            .with_bundle(|bundle| bundle.service(&agent.service).cloned())
            .flatten();
        let mut state = self.state.lock();
        let siblings = self.siblings(&agent.service, &state.loads);
        let is_sibling = |node: &NodeId| siblings.iter().any(|s| s.node == *node);
        state.loads.retain(|node, _| is_sibling(node));
        state.admission.set_siblings(&siblings);
        if found != state.service {
            if let Some(service) = &found {
                state.configure(service, self.board.now());
            }
            state.service = found;
        }
        drop(state);
        self.keys.update_members(&agent.service);
        self.set_state(self.serving_state(&agent.service));
    }

    fn serving_state(&self, service: &str) -> ServingState {
        let domain = &self.board.settings.node.domain;
        let serves = self.board.with_bundle(|b| b.serves(service, domain));
        match serves {
            // No slot is granted before a bundle has set the limits.
            None | Some(false) => ServingState::Out,
            _ if self.is_leaving.load(Ordering::Relaxed) => ServingState::Draining,
            _ => ServingState::Ready,
        }
    }

    fn siblings(&self, service: &str, loads: &HashMap<NodeId, Load>) -> Vec<Sibling> {
        let members = self.board.members();
        let is_sibling = |m: &&Member| {
            m.record.node != self.board.id && m.is_agent_of(service) && m.health == Health::Alive
        };
        let found = members.iter().filter(is_sibling);
        let load = |m: &Member| loads.get(&m.record.node).copied();
        found.map(|m| self.sibling(service, m, load(m))).collect()
    }

    fn sibling(&self, service: &str, member: &Member, load: Option<Load>) -> Sibling {
        let record = &member.record;
        let serves = self
            .board
            .with_bundle(|b| b.serves(service, &record.domain));
        let state = match (serves, record.state) {
            (Some(true), MemberState::Cold) => SiblingState::Cold,
            (Some(true), MemberState::Ready) => SiblingState::Ready,
            (Some(true), _) => SiblingState::Draining,
            _ => SiblingState::Out,
        };
        let sibling = Sibling::new(record.node, record.domain.clone())
            .with_free(record.free)
            .with_state(state);
        match load {
            Some(load) => sibling
                .with_free(load.free)
                .with_rate(load.rate())
                .with_response(load.response()),
            None => sibling,
        }
    }
}

/// Returns the counters of denied hedged requests, by reason.
fn denials(counters: &Counters) -> [(Count, u64); 4] {
    [
        (Count::HedgesDeniedNoSibling, counters.hedges_no_sibling),
        (Count::HedgesDeniedDeclined, counters.hedges_declined),
        (Count::HedgesDeniedNoSlot, counters.hedges_no_slot),
        (Count::HedgesDeniedLimit, counters.hedges_over_limit),
    ]
}
