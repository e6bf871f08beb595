//! Hedged requests: when a second copy of a request is sent, and how many of them are allowed.
//!
//! The agent that waits for a response decides when to ask a sibling for a slot. The agent whose
//! backend server would run the copy decides whether it has allowance left, so that the limit holds
//! for the service as a whole even if all slow requests wait at one agent.

use std::collections::VecDeque;
use std::time::Duration;

use crate::RetryBudget;

/// The minimum hedging delay. A shorter one would be near the round trip to a sibling.
pub const MIN_HEDGING_DELAY: Duration = Duration::from_millis(10);

/// The length of the window in which hedged requests are limited.
pub const HEDGING_WINDOW: Duration = Duration::from_secs(10);

/// The length of one bucket of the window.
const BUCKET: Duration = Duration::from_millis(100);

/// The maximum number of response times that are kept.
const MAX_SAMPLES: usize = 256;

/// The minimum number of response times for a percentile. The 95th percentile of fewer than 20
/// samples is their maximum.
const MIN_SAMPLES: usize = 20;

/// How long a response time is kept.
const SAMPLE_TTL: Duration = Duration::from_secs(30);

/// The percentile of the response times after which a request is hedged.
const PERCENTILE: usize = 95;

/// Why a request is not hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HedgeDenial {
    /// The service has no `second-tries`.
    Off,
    /// The request must not run twice.
    NotRepeatable,
    /// The request was handed over by a sibling, which hedges it, or is itself a copy.
    NotOwn,
    /// The request was hedged before.
    AlreadyHedged,
    /// No attempt is in progress.
    NotRunning,
    /// The response has started, so its bytes may have gone to the caller.
    ResponseStarted,
    /// No sibling is warm and accepts requests, or all of them declined a moment ago.
    NoSibling,
    /// The backend server has no slot to spare, is cold or accepts no requests.
    NoSlot,
    /// The limit of the window or the retry budget is used up.
    OverLimit,
}

/// The result of a decision about a hedged request.
pub type HedgeResult<T> = Result<T, HedgeDenial>;

/// The state of a request that may be hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeCandidate {
    /// Whether the request is safe to run twice.
    pub repeatable: bool,
    /// Whether the request arrived in a flow of this agent and is not a copy.
    pub is_own: bool,
    /// Whether a copy was sent before.
    pub is_hedged: bool,
    /// Whether an attempt is in progress.
    pub is_running: bool,
    /// Whether the response has started.
    pub has_response: bool,
}

/// Hedging decisions of one agent.
///
/// ```
/// use std::time::Duration;
/// use buckthornweir_requests::{BudgetConfig, Hedging, RetryBudget};
///
/// let now = Duration::from_secs(1);
/// let mut budget = RetryBudget::new(BudgetConfig::default());
/// let mut hedging = Hedging::new(5);
/// for _ in 0..20 {
///     hedging.on_request(Duration::ZERO);
/// }
/// assert!(hedging.try_charge(now, &mut budget).is_ok());
/// assert!(hedging.try_charge(now, &mut budget).is_err());
/// ```
#[derive(Clone, Debug)]
pub struct Hedging {
    /// Maximum number of copies in percent of the requests; 0 turns hedging off.
    percent: u32,
    samples: VecDeque<Sample>,
    requests: WindowCount,
    copies: WindowCount,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Duration,
    elapsed: Duration,
}

impl Hedging {
    /// Returns the decisions for a limit of `percent` copies in a hundred requests.
    pub fn new(percent: u32) -> Self {
        Self {
            percent,
            samples: VecDeque::new(),
            requests: WindowCount::default(),
            copies: WindowCount::default(),
        }
    }

    /// Replaces the limit. Without one, everything that was recorded is forgotten.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
        if percent == 0 {
            *self = Self::new(0);
        }
    }

    /// Returns whether hedging is on.
    pub fn is_on(&self) -> bool {
        self.percent > 0
    }

    /// Records an attempt at the local backend server that is not a copy.
    pub fn on_request(&mut self, now: Duration) {
        if self.is_on() {
            self.requests.record(now);
        }
    }

    /// Records the response time of an attempt at the local backend server.
    pub fn on_response(&mut self, now: Duration, elapsed: Duration) {
        if !self.is_on() {
            return;
        }
        self.forget(now);
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { at: now, elapsed });
    }

    /// Records an attempt that was cancelled without a response.
    ///
    /// It counts as a response time only above the percentile. Without this, cancelled slow attempts
    /// would leave only the fast ones, and the delay would stay short after all backend servers
    /// have become slow.
    pub fn on_abandoned(&mut self, now: Duration, elapsed: Duration) {
        if self.percentile(now).is_some_and(|usual| elapsed > usual) {
            self.on_response(now, elapsed);
        }
    }

    /// Returns the percentile of the local backend server's response times, or `None` while there
    /// are too few.
    pub fn percentile(&self, now: Duration) -> Option<Duration> {
        let is_recent = |s: &&Sample| now < s.at + SAMPLE_TTL;
        let recent = self.samples.iter().filter(is_recent);
        let mut times: Vec<Duration> = recent.map(|s| s.elapsed).collect();
        if times.len() < MIN_SAMPLES {
            return None;
        }
        let rank = (times.len() * PERCENTILE).div_ceil(100) - 1;
        let (_, found, _) = times.select_nth_unstable(rank);
        Some(*found)
    }

    /// Returns the time after which a request without a response is hedged, or `None` while
    /// hedging is off or no response times are known.
    ///
    /// `siblings` are the percentiles that siblings reported. The median over all agents is taken:
    /// with one slow backend server in ten, the 95th percentile of all response times together is
    /// itself a slow one.
    pub fn delay(
        &self,
        now: Duration,
        siblings: impl Iterator<Item = Duration>,
    ) -> Option<Duration> {
        if !self.is_on() {
            return None;
        }
        let mut known: Vec<Duration> = siblings.chain(self.percentile(now)).collect();
        if known.is_empty() {
            return None;
        }
        let middle = (known.len() - 1) / 2;
        let (_, median, _) = known.select_nth_unstable(middle);
        Some((*median).max(MIN_HEDGING_DELAY))
    }

    /// Checks whether the request may be hedged at all.
    ///
    /// # Errors
    ///
    /// Returns the reason why it may not.
    pub fn check(&self, candidate: HedgeCandidate) -> HedgeResult<()> {
        if !self.is_on() {
            Err(HedgeDenial::Off)
        } else if !candidate.repeatable {
            Err(HedgeDenial::NotRepeatable)
        } else if !candidate.is_own {
            Err(HedgeDenial::NotOwn)
        } else if candidate.is_hedged {
            Err(HedgeDenial::AlreadyHedged)
        } else if candidate.has_response {
            Err(HedgeDenial::ResponseStarted)
        } else if !candidate.is_running {
            Err(HedgeDenial::NotRunning)
        } else {
            Ok(())
        }
    }

    /// Charges one copy to the window and to the retry budget.
    ///
    /// # Errors
    ///
    /// Returns [`HedgeDenial::Off`], or [`HedgeDenial::OverLimit`] if the copies of the last 10 s
    /// would exceed the limit or the retry budget has no token to spare.
    pub fn try_charge(&mut self, now: Duration, budget: &mut RetryBudget) -> HedgeResult<()> {
        if !self.is_on() {
            return Err(HedgeDenial::Off);
        }
        let allowed = self.requests.at_least(now) * u64::from(self.percent) / 100;
        if self.copies.at_most(now) >= allowed || !budget.try_withdraw_spare() {
            return Err(HedgeDenial::OverLimit);
        }
        self.copies.record(now);
        Ok(())
    }

    fn forget(&mut self, now: Duration) {
        let is_old = |s: &Sample| now >= s.at + SAMPLE_TTL;
        while self.samples.front().is_some_and(is_old) {
            self.samples.pop_front();
        }
    }
}

/// Counts events of the last [`HEDGING_WINDOW`] in buckets, which bounds its memory. A bucket that
/// only partly lies in the window makes the count inexact, so there are two counts.
#[derive(Clone, Debug, Default)]
struct WindowCount {
    /// Number of the bucket and its events, oldest first.
    buckets: VecDeque<(u128, u64)>,
}

impl WindowCount {
    fn record(&mut self, now: Duration) {
        let number = now.as_nanos() / BUCKET.as_nanos();
        let is_old = |(bucket, _): &(u128, u64)| !is_partly_within(*bucket, now);
        while self.buckets.front().is_some_and(is_old) {
            self.buckets.pop_front();
        }
        match self.buckets.back_mut() {
            Some((bucket, count)) if *bucket >= number => *count += 1,
            _ => self.buckets.push_back((number, 1)),
        }
    }

    /// Returns the number of events that certainly lie in the window.
    fn at_least(&self, now: Duration) -> u64 {
        let start = |bucket| bucket * BUCKET.as_nanos();
        self.sum(|bucket| start(bucket) + HEDGING_WINDOW.as_nanos() > now.as_nanos())
    }

    /// Returns the number of events that may lie in the window.
    fn at_most(&self, now: Duration) -> u64 {
        self.sum(|bucket| is_partly_within(bucket, now))
    }

    fn sum(&self, is_counted: impl Fn(u128) -> bool) -> u64 {
        let counted = self
            .buckets
            .iter()
            .filter(|(bucket, _)| is_counted(*bucket));
        counted.map(|(_, count)| count).sum()
    }
}

/// Returns whether the end of a bucket lies in the window that ends at `now`.
fn is_partly_within(bucket: u128, now: Duration) -> bool {
    let end = (bucket + 1) * BUCKET.as_nanos();
    end + HEDGING_WINDOW.as_nanos() > now.as_nanos()
}
