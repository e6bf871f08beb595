//! Samples for the speed of an agent's backend server.

use std::time::Duration;

use super::Agent;
use crate::flows::{Flow, Holder};
use crate::plan::Plan;
use crate::segment::FlowKey;

impl Agent {
    /// Returns whether the agent announces the speed of its backend server.
    pub(super) fn measures_speed(&self, plan: &Plan) -> bool {
        self.policy(plan).is_some()
    }

    /// Records that the backend server responded to a request after `took`.
    pub(super) fn note_speed(&mut self, now: Duration, plan: &Plan, key: &FlowKey, took: Duration) {
        if let Some(objective) = objective(plan, key).filter(|_| self.measures_speed(plan)) {
            self.speed.note(now, took, objective);
        }
    }

    /// Records that the backend server reset a flow.
    pub(super) fn note_reset(&mut self, now: Duration, plan: &Plan, key: &FlowKey, flow: &Flow) {
        let unanswered = flow.pending_since.is_some() || flow.fresh;
        if !unanswered || flow.holder != Holder::Local || !self.measures_speed(plan) {
            return;
        }
        if let Some(objective) = objective(plan, key) {
            let took = flow.pending_since.map(|since| now.saturating_sub(since));
            self.speed.note_failure(now, took, objective);
        }
    }

    /// Records the requests that exceed twice their objective.
    pub(super) fn note_overdue(&mut self, now: Duration, plan: &Plan) {
        if !self.measures_speed(plan) {
            return;
        }
        let requests = self.flows.requests();
        let running = requests.filter_map(|(key, since)| Some((since, objective(plan, key)?)));
        self.speed.note_overdue(now, running);
    }
}

fn objective(plan: &Plan, key: &FlowKey) -> Option<Duration> {
    plan.route(&key.service)?.class.objective
}
