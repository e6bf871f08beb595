//! The other agents of a service, known by their load reports and by request outcomes.

use std::cmp::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

use crate::NodeId;
use crate::messages::Load;

/// Time for which a sibling that declined a reservation is skipped.
const DECLINED_BACKOFF: Duration = Duration::from_millis(20);
/// Initial backoff for a sibling whose backend server returned a server error.
const FAILED_BACKOFF: Duration = Duration::from_millis(20);
/// Initial backoff for a sibling that was lost or did not respond.
const LOST_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Serving state that an agent announces to its siblings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SiblingState {
    /// The backend server started recently.
    Cold,
    /// The agent accepts requests.
    #[default]
    Ready,
    /// The agent accepts no new requests.
    Draining,
    /// The agent's failure domain is out.
    Out,
}

/// Last report of another agent of the service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sibling {
    /// Id of the agent.
    pub node: NodeId,
    /// Failure domain of the agent.
    pub domain: SmolStr,
    /// State of the agent.
    pub state: SiblingState,
    /// Free slots of the backend server.
    pub free: u32,
    /// Recent requests per second of the backend server, if reported.
    pub rate: Option<f64>,
    /// 95th percentile of the response times of the backend server, if reported.
    pub response: Option<Duration>,
}

impl Sibling {
    /// Returns a ready sibling without a load report.
    pub fn new(node: NodeId, domain: impl Into<SmolStr>) -> Self {
        Self {
            node,
            domain: domain.into(),
            ..Self::default()
        }
    }

    /// Sets the free slots.
    pub fn with_free(mut self, free: u32) -> Self {
        self.free = free;
        self
    }

    /// Sets the recent requests per second.
    pub fn with_rate(mut self, rate: f64) -> Self {
        self.rate = Some(rate);
        self
    }

    /// Sets the 95th percentile of the response times.
    pub fn with_response(mut self, response: Option<Duration>) -> Self {
        self.response = response;
        self
    }

    /// Sets the state.
    pub fn with_state(mut self, state: SiblingState) -> Self {
        self.state = state;
        self
    }

    pub(crate) fn accepts_requests(&self) -> bool {
        matches!(self.state, SiblingState::Cold | SiblingState::Ready)
    }
}

/// A sibling with the backoff state derived from request outcomes.
#[derive(Clone, Debug)]
struct SiblingEntry {
    sibling: Sibling,
    failures: u32,
    avoid_until: Duration,
    /// Until when the sibling is skipped for hedged requests only.
    no_hedge_until: Duration,
}

/// The siblings that a request may be handed over to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Siblings {
    entries: Vec<SiblingEntry>,
}

impl Siblings {
    /// Replaces the reports and keeps the backoff state of siblings that remain.
    pub(crate) fn set(&mut self, siblings: &[Sibling]) {
        let mut entries = Vec::with_capacity(siblings.len());
        for sibling in siblings {
            let previous = self.entries.iter().find(|e| e.sibling.node == sibling.node);
            entries.push(SiblingEntry {
                sibling: sibling.clone(),
                failures: previous.map_or(0, |e| e.failures),
                avoid_until: previous.map_or(Duration::ZERO, |e| e.avoid_until),
                no_hedge_until: previous.map_or(Duration::ZERO, |e| e.no_hedge_until),
            });
        }
        self.entries = entries;
    }

    /// Returns the better of two siblings chosen at random, without those in `excluded`.
    ///
    /// Siblings in backoff are skipped. Siblings that report no free slot are not, since reports
    /// lag; free slots count only in the comparison. With `max_rate`, only siblings that reported a
    /// lower rate are considered.
    pub(crate) fn pick(
        &self,
        rng: &mut ChaCha8Rng,
        now: Duration,
        excluded: &[NodeId],
        max_rate: Option<f64>,
    ) -> Option<NodeId> {
        let is_eligible = |e: &&SiblingEntry| {
            e.sibling.accepts_requests()
                && e.avoid_until <= now
                && !excluded.contains(&e.sibling.node)
                && max_rate.is_none_or(|max| e.sibling.rate.is_some_and(|r| r < max))
        };
        self.pick_where(rng, is_eligible, max_rate.is_some())
    }

    /// Returns the better of two warm siblings for a hedged request, without those in `excluded`.
    ///
    /// As in [`Siblings::pick`], free slots count only in the comparison: reports are up to a second
    /// old, and each grant lowers the number until the next one. The sibling decides whether it has
    /// a slot to spare.
    pub(crate) fn pick_spare(
        &self,
        rng: &mut ChaCha8Rng,
        now: Duration,
        excluded: &[NodeId],
    ) -> Option<NodeId> {
        let is_eligible = |e: &&SiblingEntry| {
            e.sibling.state == SiblingState::Ready
                && e.avoid_until.max(e.no_hedge_until) <= now
                && !excluded.contains(&e.sibling.node)
        };
        self.pick_where(rng, is_eligible, false)
    }

    fn pick_where(
        &self,
        rng: &mut ChaCha8Rng,
        is_eligible: impl Fn(&&SiblingEntry) -> bool,
        by_rate: bool,
    ) -> Option<NodeId> {
        let count = self.entries.iter().filter(&is_eligible).count();
        let first = pick_nth(self.entries.iter().filter(&is_eligible), rng, count)?;
        if count == 1 {
            return Some(first.sibling.node);
        }
        let others = self
            .entries
            .iter()
            .filter(&is_eligible)
            .filter(|e| e.sibling.node != first.sibling.node);
        let second = pick_nth(others, rng, count - 1)?;
        Some(better_of(first, second, by_rate).sibling.node)
    }

    /// Returns the mean of the reported rates and `own`, or `None` if no rate was reported.
    pub(crate) fn mean_rate(&self, own: f64) -> Option<f64> {
        let accepting = self.entries.iter().filter(|e| e.sibling.accepts_requests());
        let rates = accepting.filter_map(|e| e.sibling.rate);
        let (sum, count) = rates.fold((0.0, 0.0), |(s, n), rate| (s + rate, n + 1.0));
        (count > 0.0).then(|| (sum + own) / (count + 1.0))
    }

    /// Returns the response times that accepting siblings reported.
    pub(crate) fn responses(&self) -> impl Iterator<Item = Duration> {
        let accepting = self.entries.iter().filter(|e| e.sibling.accepts_requests());
        accepting.filter_map(|e| e.sibling.response)
    }

    /// Records that a sibling granted a slot.
    pub(crate) fn on_granted(&mut self, node: NodeId) {
        if let Some(entry) = self.find(node) {
            entry.failures = 0;
            entry.sibling.free = entry.sibling.free.saturating_sub(1);
        }
    }

    /// Records that a sibling declined a reservation or refused a request.
    pub(crate) fn on_declined(&mut self, node: NodeId, now: Duration) {
        if let Some(entry) = self.find(node) {
            entry.sibling.free = 0;
            entry.avoid_until = entry.avoid_until.max(now + DECLINED_BACKOFF);
        }
    }

    /// Records that a sibling declined a slot for a hedged request.
    ///
    /// It may still have a slot for other requests, so those are not affected. Skipping it for them
    /// as well cost 2 % of the throughput in the model when all backend servers were slow.
    pub(crate) fn on_hedge_declined(&mut self, node: NodeId, now: Duration) {
        if let Some(entry) = self.find(node) {
            entry.no_hedge_until = entry.no_hedge_until.max(now + DECLINED_BACKOFF);
        }
    }

    /// Records that a sibling's backend server responded with a server error.
    pub(crate) fn on_failed(&mut self, node: NodeId, now: Duration) {
        if let Some(entry) = self.find(node) {
            entry.avoid(now, FAILED_BACKOFF);
        }
    }

    /// Records that a sibling did not respond, or lost a request.
    pub(crate) fn on_lost(&mut self, node: NodeId, now: Duration) {
        if let Some(entry) = self.find(node) {
            entry.avoid(now, LOST_BACKOFF);
        }
    }

    /// Records a successful response of a sibling's backend server.
    pub(crate) fn on_done(&mut self, node: NodeId) {
        if let Some(entry) = self.find(node) {
            entry.failures = 0;
            entry.avoid_until = Duration::ZERO;
        }
    }

    /// Updates the load from a sibling's message.
    pub(crate) fn update_load(&mut self, node: NodeId, load: Load) {
        if let Some(entry) = self.find(node) {
            entry.sibling.free = load.free;
            entry.sibling.rate = Some(load.rate());
            entry.sibling.response = load.response();
        }
    }

    fn find(&mut self, node: NodeId) -> Option<&mut SiblingEntry> {
        self.entries.iter_mut().find(|e| e.sibling.node == node)
    }
}

impl SiblingEntry {
    fn avoid(&mut self, now: Duration, first: Duration) {
        let backoff = first * 2u32.pow(self.failures.min(8));
        self.failures += 1;
        self.avoid_until = now + backoff.min(MAX_BACKOFF);
    }
}

fn pick_nth<'a>(
    mut siblings: impl Iterator<Item = &'a SiblingEntry>,
    rng: &mut ChaCha8Rng,
    count: usize,
) -> Option<&'a SiblingEntry> {
    if count == 0 {
        return None;
    }
    siblings.nth(rng.random_range(0..count))
}

/// Compares free slots first, then rates; with `by_rate`, used for load sharing, rates first.
fn better_of<'a>(a: &'a SiblingEntry, b: &'a SiblingEntry, by_rate: bool) -> &'a SiblingEntry {
    let (left, right) = (&a.sibling, &b.sibling);
    let slots = right.free.cmp(&left.free);
    let rates = left
        .rate
        .unwrap_or_default()
        .total_cmp(&right.rate.unwrap_or_default());
    let order = if by_rate {
        rates.then(slots)
    } else {
        slots.then(rates)
    };
    if order == Ordering::Greater { b } else { a }
}
