//! Finds the heavy flows, which send the largest shares of an agent's requests, in bounded memory.

use crate::FlowId;

/// Maximum number of flows with a counter.
const MAX_TRACKED_FLOWS: usize = 16;
/// Number of counted requests at which all counts are halved, so that old requests lose weight.
const HALVING_REQUESTS: u32 = 512;
/// Minimum number of counted requests before any flow is classified as heavy.
const MIN_REQUESTS: u32 = 32;
/// Minimum share of the requests that makes a flow heavy.
const HEAVY_SHARE: f64 = 0.125;

#[derive(Clone, Copy, Debug)]
struct FlowCount {
    flow: FlowId,
    count: u32,
    /// Upper bound on the part of the count inherited from flows that this entry replaced.
    error: u32,
}

/// Counts requests per flow with the Space-Saving algorithm (Metwally et al., 2005).
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowShares {
    counts: Vec<FlowCount>,
    total: u32,
}

impl FlowShares {
    /// Counts one request.
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

    /// Returns the flow's share of the requests, from 0 to 1, or `None` if the flow isn't heavy.
    pub(crate) fn heavy(&self, flow: FlowId) -> Option<f64> {
        let found = self.counts.iter().find(|c| c.flow == flow)?;
        self.heavy_share(found)
    }

    /// Returns the combined share of all heavy flows.
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
