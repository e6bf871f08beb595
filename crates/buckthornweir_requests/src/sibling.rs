//! The other agents of a service, as far as their reports and outcomes tell.

use std::cmp::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

use crate::NodeId;

/// How long a sibling that declined is passed over.
const DECLINED_PAUSE: Duration = Duration::from_millis(20);
/// How long a sibling whose backend server failed is passed over at first.
const FAILED_PAUSE: Duration = Duration::from_millis(20);
/// How long a sibling that was lost or silent is passed over at first.
const LOST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time for which a sibling is passed over.
const PAUSE_MOST: Duration = Duration::from_secs(10);

/// State that an agent announces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SiblingState {
    /// Its backend server started a short time ago.
    Cold,
    /// It takes work.
    #[default]
    Ready,
    /// It takes no new work.
    Draining,
    /// Its failure domain is out.
    Out,
}

/// Another agent of the service, as last reported.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sibling {
    /// Its id.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Its state.
    pub state: SiblingState,
    /// Free slots of its backend server.
    pub free: u32,
    /// Requests a second that its backend server ran lately, if reported.
    pub rate: Option<f64>,
}

impl Sibling {
    /// Returns a ready sibling without a report of its load.
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

    /// Sets the requests a second.
    pub fn with_rate(mut self, rate: f64) -> Self {
        self.rate = Some(rate);
        self
    }

    /// Sets the state.
    pub fn with_state(mut self, state: SiblingState) -> Self {
        self.state = state;
        self
    }

    pub(crate) fn takes_work(&self) -> bool {
        matches!(self.state, SiblingState::Cold | SiblingState::Ready)
    }
}

/// A sibling with what its outcomes told.
#[derive(Clone, Debug)]
struct Known {
    sibling: Sibling,
    failures: u32,
    avoided: Duration,
}

/// The siblings among which a request may be handed over.
#[derive(Clone, Debug, Default)]
pub(crate) struct Siblings {
    known: Vec<Known>,
}

impl Siblings {
    /// Takes new reports over and keeps what outcomes told of siblings that stay.
    pub(crate) fn set(&mut self, siblings: &[Sibling]) {
        let mut known = Vec::with_capacity(siblings.len());
        for sibling in siblings {
            let earlier = self.known.iter().find(|k| k.sibling.node == sibling.node);
            known.push(Known {
                sibling: sibling.clone(),
                failures: earlier.map_or(0, |k| k.failures),
                avoided: earlier.map_or(Duration::ZERO, |k| k.avoided),
            });
        }
        self.known = known;
    }

    /// Returns the better of two siblings drawn at random, leaving out those in `tried`.
    ///
    /// Siblings whose outcomes were bad lately aren't drawn. A report of no free slot counts
    /// only in the comparison, since reports lag. With `below`, only siblings that reported a
    /// lower rate are drawn.
    pub(crate) fn pick(
        &self,
        rng: &mut ChaCha8Rng,
        now: Duration,
        tried: &[NodeId],
        below: Option<f64>,
    ) -> Option<NodeId> {
        let fits = |k: &&Known| {
            k.sibling.takes_work()
                && k.avoided <= now
                && !tried.contains(&k.sibling.node)
                && below.is_none_or(|most| k.sibling.rate.is_some_and(|r| r < most))
        };
        let count = self.known.iter().filter(fits).count();
        let first = pick_nth(self.known.iter().filter(fits), rng, count)?;
        if count == 1 {
            return Some(first.sibling.node);
        }
        let others = self
            .known
            .iter()
            .filter(fits)
            .filter(|k| k.sibling.node != first.sibling.node);
        let second = pick_nth(others, rng, count - 1)?;
        Some(better(first, second, below.is_some()).sibling.node)
    }

    /// Returns the mean of the reported rates, counting `own` as one more.
    pub(crate) fn mean_rate(&self, own: f64) -> Option<f64> {
        let working = self.known.iter().filter(|k| k.sibling.takes_work());
        let rates = working.filter_map(|k| k.sibling.rate);
        let (sum, count) = rates.fold((0.0, 0.0), |(s, n), rate| (s + rate, n + 1.0));
        (count > 0.0).then(|| (sum + own) / (count + 1.0))
    }

    /// Notes that a sibling granted a slot.
    pub(crate) fn note_granted(&mut self, node: NodeId) {
        if let Some(known) = self.find(node) {
            known.failures = 0;
            known.sibling.free = known.sibling.free.saturating_sub(1);
        }
    }

    /// Notes that a sibling declined.
    pub(crate) fn note_declined(&mut self, node: NodeId, now: Duration) {
        if let Some(known) = self.find(node) {
            known.sibling.free = 0;
            known.avoided = known.avoided.max(now + DECLINED_PAUSE);
        }
    }

    /// Notes that a sibling's backend server answered with an error of its own.
    pub(crate) fn note_failed(&mut self, node: NodeId, now: Duration) {
        if let Some(known) = self.find(node) {
            known.avoid(now, FAILED_PAUSE);
        }
    }

    /// Notes that a sibling did not answer, or lost a request.
    pub(crate) fn note_lost(&mut self, node: NodeId, now: Duration) {
        if let Some(known) = self.find(node) {
            known.avoid(now, LOST_PAUSE);
        }
    }

    /// Notes that a sibling's backend server answered well.
    pub(crate) fn note_done(&mut self, node: NodeId) {
        if let Some(known) = self.find(node) {
            known.failures = 0;
            known.avoided = Duration::ZERO;
        }
    }

    /// Takes over the load that came along with a sibling's answer.
    pub(crate) fn note_load(&mut self, node: NodeId, free: u32, rate: f64) {
        if let Some(known) = self.find(node) {
            known.sibling.free = free;
            known.sibling.rate = Some(rate);
        }
    }

    fn find(&mut self, node: NodeId) -> Option<&mut Known> {
        self.known.iter_mut().find(|k| k.sibling.node == node)
    }
}

impl Known {
    fn avoid(&mut self, now: Duration, first: Duration) {
        let pause = first * 2u32.pow(self.failures.min(8));
        self.failures += 1;
        self.avoided = now + pause.min(PAUSE_MOST);
    }
}

fn pick_nth<'a>(
    mut siblings: impl Iterator<Item = &'a Known>,
    rng: &mut ChaCha8Rng,
    count: usize,
) -> Option<&'a Known> {
    if count == 0 {
        return None;
    }
    siblings.nth(rng.random_range(0..count))
}

/// Prefers free slots, then the lower rate; the other way round for load sharing.
fn better<'a>(a: &'a Known, b: &'a Known, by_rate: bool) -> &'a Known {
    let (x, y) = (&a.sibling, &b.sibling);
    let slots = y.free.cmp(&x.free);
    let rates = x
        .rate
        .unwrap_or_default()
        .total_cmp(&y.rate.unwrap_or_default());
    let order = if by_rate {
        rates.then(slots)
    } else {
        slots.then(rates)
    };
    if order == Ordering::Greater { b } else { a }
}
