//! The flows that bring the largest shares of an agent's requests, in bounded memory.

use crate::FlowId;

/// Flows that are counted at a time.
const MAX_TRACKED_FLOWS: usize = 16;
/// Requests after which all counts are halved.
const HALVING_REQUESTS: u32 = 512;
/// Requests before which no flow counts as heavy.
const MIN_REQUESTS: u32 = 32;
/// Share of the requests from which on a flow is heavy.
const HEAVY_SHARE: f64 = 0.125;

#[derive(Clone, Copy, Debug)]
struct FlowCount {
    flow: FlowId,
    count: u32,
    /// Part of the count that may belong to flows counted here before.
    error: u32,
}

/// Counts requests by flow with the space-saving algorithm (Metwally and others, 2005).
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowShares {
    counts: Vec<FlowCount>,
    total: u32,
}

impl FlowShares {
    /// Counts one request of a flow.
    pub(crate) fn record(&mut self, flow: FlowId) {
        if self.total >= HALVING_REQUESTS {
            self.halve();
        }
        self.total += 1;
        if let Some(found) = self.counts.iter_mut().find(|c| c.flow == flow) {
            found.count += 1;
            return;
        }
        if self.counts.len() < MAX_TRACKED_FLOWS {
            self.counts.push(FlowCount {
                flow,
                count: 1,
                error: 0,
            });
            return;
        }
        if let Some(least) = self.counts.iter_mut().min_by_key(|c| c.count) {
            let error = least.count;
            *least = FlowCount {
                flow,
                count: error + 1,
                error,
            };
        }
    }

    /// Returns the share of a heavy flow, from 0 to 1; nothing for any other flow.
    pub(crate) fn heavy(&self, flow: FlowId) -> Option<f64> {
        let found = self.counts.iter().find(|c| c.flow == flow)?;
        self.heavy_share(found)
    }

    /// Returns the share of all heavy flows together.
    pub(crate) fn heavy_total(&self) -> f64 {
        let shares = self.counts.iter().filter_map(|c| self.heavy_share(c));
        shares.sum::<f64>().min(1.0)
    }

    fn heavy_share(&self, entry: &FlowCount) -> Option<f64> {
        if self.total < MIN_REQUESTS {
            return None;
        }
        let share = f64::from(entry.count - entry.error) / f64::from(self.total);
        (share >= HEAVY_SHARE).then_some(share)
    }

    fn halve(&mut self) {
        self.total /= 2;
        for entry in &mut self.counts {
            entry.count /= 2;
            entry.error /= 2;
        }
    }
}
