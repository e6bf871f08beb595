//! Load sharing: an agent with more than its share of the load hands the excess over to siblings,
//! even if it has free slots.

use std::time::Duration;

use rand::RngExt;

use super::{Action, Admission, RequestKey};
use crate::FlowId;
use crate::messages::Load;

impl Admission {
    /// Returns the load of the backend server, as reported to siblings.
    pub fn load(&self, now: Duration) -> Load {
        let free = if self.is_ready() {
            self.limit.free_at(now)
        } else {
            0
        };
        let response = self.hedging.percentile(now);
        Load::new(free, self.run_rate.get(now), response)
    }

    /// Updates the load of a sibling from its message.
    pub fn note_load(&mut self, sibling: crate::NodeId, load: Load) {
        self.siblings.update_load(sibling, load);
    }

    /// Asks a less loaded sibling for a slot if this agent has more than its share of the load.
    pub(super) fn try_share(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<Action>,
    ) -> bool {
        let flow = self.requests[key].arrival.flow;
        let fraction = self.fraction_to_share(now, flow);
        if fraction <= 0.0 || self.rng.random_range(0.0..1.0) >= fraction {
            return false;
        }
        let mean = self.siblings.mean_rate(self.run_rate.get(now));
        let asked = self.ask_next(now, key, mean, out);
        self.requests[key].shared = asked;
        self.counters.shared += u64::from(asked);
        asked
    }

    /// Returns the fraction of a flow's requests to hand over, from 0 to 1.
    ///
    /// The excess is taken from heavy flows first, so that few flows pay the handoff latency.
    fn fraction_to_share(&self, now: Duration, flow: FlowId) -> f64 {
        let Some(mean) = self.siblings.mean_rate(self.run_rate.get(now)) else {
            return 0.0;
        };
        let local = self.local_rate.get(now);
        let potential = local + self.received_rate.get(now);
        if local <= 0.0 || potential <= mean * self.config.share_threshold {
            return 0.0;
        }
        let excess = ((potential - mean) / local).min(1.0);
        let heavy = self.flow_shares.heavy_total();
        if self.flow_shares.heavy(flow).is_some() {
            return (excess / heavy).min(1.0);
        }
        ((excess - heavy) / (1.0 - heavy).max(f64::EPSILON)).clamp(0.0, 1.0)
    }
}
