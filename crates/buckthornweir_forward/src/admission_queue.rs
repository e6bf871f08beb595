//! Queue of SYNs that wait for a free slot of the local backend server.
//!
//! SYNs are ordered by priority, then by the time at which their objective ends. Lower priorities
//! get a reserved share of the started flows while they wait.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::hedging::SECOND_SYN_DELAY;
use crate::segment::{FlowKey, Segment};
use crate::syn_queue::SYN_TIMEOUT;
use crate::tag::Tag;

/// Maximum number of queued SYNs.
const MAX_WAITING: usize = 64;

/// Number of queued SYNs that each caller address may have regardless of the queue's length.
const MIN_PER_CALLER: usize = 4;

/// Divisor of the queue's length for the maximum number of SYNs of one caller address.
const CALLER_FRACTION: usize = 4;

/// Times after its first SYN at which a caller sends the copies of the SYN.
const SEND_TIMES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];

/// How long before a caller sends the next copy of its SYN the queued one must start, so that the
/// SYN-ACK or the reset arrives first. It covers the interval of 25 ms between two looks at the
/// queue and the way to the caller.
const COPY_MARGIN: Duration = Duration::from_millis(50);

/// How long before a caller sends the next copy of its SYN a reset is no longer certain to arrive
/// first.
const RESET_MARGIN: Duration = Duration::from_millis(20);

/// How long a SYN may take from one agent to the next on busy VMs. Its tag counts only the time for
/// which agents queued it.
const MAX_HOP_TIME: Duration = Duration::from_millis(30);

/// How long a copy of a SYN may take to arrive.
const MAX_COPY_DELAY: Duration = Duration::from_millis(25);

/// By how much a SYN that was passed on may be older than its count of retransmissions tells.
const MAX_AGE_ERROR: Duration = Duration::from_millis(400);

/// Period over which started flows are counted.
const START_WINDOW: Duration = Duration::from_secs(1);

/// Reserved shares below this count as none, which bounds the expected waits that they yield.
const MIN_LEAST_SHARE: f64 = 0.001;

/// Maximum number of flows that lower priorities may start at once after none of theirs waited.
const MAX_CREDIT: f64 = 1.0;

/// Tolerance for the rounding errors of added shares.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Returns the earliest time at which the caller may have sent the first copy of a SYN.
#[must_use]
pub fn first_sent(now: Duration, segment: &Segment) -> Duration {
    let copy = segment.retransmissions().min(SEND_TIMES.len() - 1);
    let tag = Tag::read(segment.tag);
    let passed = tag.waited() + MAX_HOP_TIME * u32::from(tag.hops);
    now.saturating_sub(SEND_TIMES[copy] + passed)
}

/// What a new flow requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// When the caller sent the first copy of the SYN.
    pub sent: Duration,
    /// Latency objective of the route, if stated.
    pub objective: Option<Duration>,
    /// Expected service time of the request; `None` if unknown.
    pub service: Option<Duration>,
    /// Whether a balancer may send a hedged SYN of the flow to another agent.
    pub hedged: bool,
}

impl Demand {
    /// Returns when the objective ends.
    #[must_use]
    pub fn ends(&self) -> Duration {
        let objective = self.objective.unwrap_or(Duration::MAX);
        self.sent.saturating_add(objective)
    }
}

/// A queued SYN.
#[derive(Clone, Debug)]
pub struct WaitingSyn {
    /// The SYN.
    pub segment: Segment,
    /// The bytes of the SYN.
    pub bytes: Vec<u8>,
    /// The tag of the SYN.
    pub tag: Tag,
    /// The sender of the SYN.
    pub from: SocketAddrV4,
    /// What the flow requires.
    pub demand: Demand,
    /// When the SYN was queued.
    pub since: Duration,
    /// Whether it was considered for passing it on.
    pub considered: bool,
    /// Bit set of the copies that arrived.
    copies: u8,
}

impl WaitingSyn {
    /// Returns a SYN that is queued now.
    #[must_use]
    pub fn new(
        now: Duration,
        from: SocketAddrV4,
        segment: &Segment,
        bytes: &[u8],
        demand: Demand,
    ) -> Self {
        Self {
            segment: *segment,
            bytes: bytes.to_vec(),
            tag: Tag::read(segment.tag),
            from,
            demand,
            since: now,
            considered: false,
            copies: copy_bit(segment),
        }
    }

    /// Returns the flow.
    #[must_use]
    pub fn key(&self) -> FlowKey {
        self.segment.caller_flow()
    }

    /// Returns the latest time at which the flow may start: later, its request would miss its
    /// objective, or the caller would send the next copy of its SYN to another agent.
    #[must_use]
    pub fn latest_start(&self) -> Duration {
        let service = self.demand.service.unwrap_or_default();
        let in_time = self.demand.ends().saturating_sub(service);
        in_time.min(self.copy_limit()).min(self.caller_limit())
    }

    /// Returns the time by which the flow must start or be rejected, so that no copy of its SYN
    /// waits at another agent at the same time and a rejection is certain to be truthful.
    fn copy_limit(&self) -> Duration {
        match SEND_TIMES.get(self.segment.retransmissions() + 1) {
            Some(next) => self.demand.sent + *next - COPY_MARGIN,
            None => Duration::MAX,
        }
    }

    /// Returns whether each copy that the caller will have sent when a reset reaches it arrived here.
    /// Otherwise one may have reached another backend server, and a reset might be untruthful.
    #[must_use]
    pub fn has_all_copies(&self, now: Duration) -> bool {
        if self.tag.hops > 0 && !self.tag.age_known {
            return false;
        }
        let age = now.saturating_sub(self.demand.sent);
        // A SYN that was passed on may be older than its count of retransmissions tells.
        if self.demand.hedged && (age >= SECOND_SYN_DELAY || self.tag.hops > 0) {
            return false;
        }
        self.has_copies(age + RESET_MARGIN)
    }

    /// Returns whether each copy arrived here that the caller sends within `age` of the first one.
    fn has_copies(&self, age: Duration) -> bool {
        let sent = SEND_TIMES.iter().filter(|at| age >= **at).count();
        let all = (1 << sent) - 1;
        self.copies & all == all
    }

    /// Returns whether another agent may still start or reject the flow before the caller sends a
    /// later copy than the queued one.
    #[must_use]
    pub fn may_pass(&self, now: Duration) -> bool {
        now + MAX_HOP_TIME < self.copy_limit()
    }

    /// Returns whether the last copy that the caller has sent may still be on its way.
    fn awaits_copy(&self, now: Duration) -> bool {
        let age = now.saturating_sub(self.demand.sent);
        let is_due = !self.has_copies(age + RESET_MARGIN);
        is_due && self.has_copies(age.saturating_sub(MAX_COPY_DELAY))
    }

    /// Returns whether the caller may have timed out.
    #[must_use]
    pub fn has_timed_out(&self, now: Duration) -> bool {
        now > self.caller_limit()
    }

    /// Returns the time after which the caller may time out before the flow is open.
    fn caller_limit(&self) -> Duration {
        let max_age = match self.tag.hops {
            0 => SYN_TIMEOUT,
            _ => SYN_TIMEOUT - MAX_AGE_ERROR,
        };
        self.demand.sent + max_age
    }
}

fn copy_bit(segment: &Segment) -> u8 {
    1 << segment.retransmissions().min(SEND_TIMES.len() - 1)
}

/// The result of queueing a SYN.
#[derive(Clone, Debug)]
pub enum Pushed {
    /// The SYN is queued.
    Queued,
    /// The SYN took the place of one of lower priority.
    Replaced(Box<WaitingSyn>),
    /// The queue has no place for the SYN.
    Full,
}

/// The queued SYNs of one agent in the order in which they start, and the flows started lately.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    list: Vec<WaitingSyn>,
    /// Started flows that lower priorities are entitled to, less those that they got. They get one
    /// as soon as it is positive, so that they have their share after each start.
    credit: f64,
    starts: VecDeque<(Duration, u8)>,
    /// Number of `starts` by priority.
    counts: BTreeMap<u8, u32>,
    /// The lowest priority that was rejected last, and when.
    rejected: Option<(Duration, u8)>,
}

impl AdmissionQueue {
    /// Returns the number of queued SYNs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Returns whether no SYN is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the queued SYNs, the first to start first, regardless of the reserved share.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingSyn> {
        self.list.iter()
    }

    /// Records a copy of a queued SYN. Returns `false` if none is queued for its flow.
    ///
    /// A SYN with another sequence number is a new attempt on the same port and takes no part in
    /// the earlier one.
    pub fn note_copy(&mut self, now: Duration, segment: &Segment) -> bool {
        let key = segment.caller_flow();
        let is_copy =
            |syn: &&mut WaitingSyn| syn.key() == key && syn.segment.sequence == segment.sequence;
        let Some(syn) = self.list.iter_mut().find(is_copy) else {
            return false;
        };
        syn.copies |= copy_bit(segment);
        // A SYN that another agent passed on may be older than its own number tells.
        syn.demand.sent = syn.demand.sent.min(first_sent(now, segment));
        true
    }

    /// Queues a SYN. If the queue is full, it takes the place of the last one of lower priority.
    pub fn push(&mut self, syn: WaitingSyn) -> Pushed {
        let caller = *syn.segment.source.ip();
        let same = self
            .list
            .iter()
            .filter(|s| *s.segment.source.ip() == caller);
        if same.count() >= (self.list.len() / CALLER_FRACTION).max(MIN_PER_CALLER) {
            return Pushed::Full;
        }
        let mut replaced = None;
        if self.list.len() >= MAX_WAITING {
            let last = self.list.last().map(|last| last.demand.priority);
            if last.is_none_or(|last| last <= syn.demand.priority) {
                return Pushed::Full;
            }
            replaced = self.list.pop();
        }
        let rank = |syn: &WaitingSyn| (syn.demand.priority, syn.demand.ends());
        let place = self.list.iter().position(|s| rank(s) > rank(&syn));
        self.list.insert(place.unwrap_or(self.list.len()), syn);
        replaced.map_or(Pushed::Queued, |syn| Pushed::Replaced(Box::new(syn)))
    }

    /// Removes the SYN of a flow.
    pub fn remove(&mut self, key: &FlowKey) -> Option<WaitingSyn> {
        let place = self.list.iter().position(|syn| syn.key() == *key)?;
        Some(self.list.remove(place))
    }

    /// Removes all SYNs.
    pub fn drain(&mut self) -> Vec<WaitingSyn> {
        std::mem::take(&mut self.list)
    }

    /// Removes the SYNs that can no longer start in time.
    pub fn take_overdue(&mut self, now: Duration) -> Vec<WaitingSyn> {
        let is_overdue = |syn: &WaitingSyn| now > syn.latest_start() && !syn.awaits_copy(now);
        self.list.extract_if(.., |syn| is_overdue(syn)).collect()
    }

    /// Removes the SYNs for which `is_lost` holds.
    pub fn take_where(&mut self, is_lost: impl Fn(&WaitingSyn) -> bool) -> Vec<WaitingSyn> {
        self.list.extract_if(.., |syn| is_lost(syn)).collect()
    }

    /// Removes the SYNs that are unlikely to start in time, each of which is returned here at most
    /// once. `wait` returns the expected wait of a SYN, given those before it.
    pub fn take_late(
        &mut self,
        now: Duration,
        mut wait: impl FnMut(&WaitingSyn) -> Option<Duration>,
    ) -> Vec<WaitingSyn> {
        let late = self.list.extract_if(.., |syn| {
            let is_late = wait(syn).is_some_and(|wait| now + wait > syn.latest_start());
            let first = is_late && !syn.considered;
            syn.considered |= is_late;
            first
        });
        late.collect()
    }

    /// Sets the expected service times of the queued SYNs, in the order of [`AdmissionQueue::iter`].
    pub fn set_services(&mut self, services: impl Iterator<Item = Option<Duration>>) {
        for (syn, service) in self.list.iter_mut().zip(services) {
            syn.demand.service = service;
        }
    }

    /// Puts back a SYN that was removed.
    pub fn put_back(&mut self, syn: WaitingSyn) {
        let rank = |syn: &WaitingSyn| (syn.demand.priority, syn.demand.ends(), syn.since);
        let place = self.list.iter().position(|s| rank(s) > rank(&syn));
        self.list.insert(place.unwrap_or(self.list.len()), syn);
    }

    /// Removes the SYN that starts next and counts its flow as started. An overdue one starts if no
    /// other waits, since a SYN is not rejected while there is capacity.
    pub fn pop(&mut self, now: Duration, least_share: f64) -> Option<WaitingSyn> {
        let in_time = |syn: &&WaitingSyn| now <= syn.latest_start();
        let Some(first) = self.list.iter().find(in_time) else {
            let place = self.list.iter().position(|syn| !syn.has_timed_out(now))?;
            let syn = self.list.remove(place);
            self.note_start(now, syn.demand.priority);
            return Some(syn);
        };
        let (mut key, top) = (first.key(), first.demand.priority);
        let lower = self.list.iter().filter(in_time);
        let lower = lower.filter(|syn| syn.demand.priority > top);
        if let Some(reserved) = lower.min_by_key(|syn| syn.demand.ends()) {
            self.credit += least_share;
            if self.credit > SHARE_TOLERANCE {
                self.credit -= 1.0;
                key = reserved.key();
            }
        } else if self.has_rejected_below(now, top) {
            // Lower priorities that are rejected on arrival are entitled to their share as well.
            self.credit = (self.credit + least_share).min(MAX_CREDIT);
        }
        let syn = self.remove(&key)?;
        self.note_start(now, syn.demand.priority);
        Some(syn)
    }

    /// Records that a flow was rejected because of its expected wait.
    pub fn note_rejected(&mut self, now: Duration, priority: u8) {
        let recent = self.rejected.filter(|(at, _)| now < *at + START_WINDOW);
        let lowest = recent.map_or(priority, |(_, lowest)| lowest.max(priority));
        self.rejected = Some((now, lowest));
    }

    fn has_rejected_below(&self, now: Duration, priority: u8) -> bool {
        let rejected = self.rejected;
        rejected.is_some_and(|(at, lowest)| lowest > priority && now < at + START_WINDOW)
    }

    /// Counts a started flow.
    pub fn note_start(&mut self, now: Duration, priority: u8) {
        self.expire_starts(now);
        self.starts.push_back((now, priority));
        *self.counts.entry(priority).or_default() += 1;
    }

    /// Returns the fraction of the flows started lately that had a higher priority.
    pub fn share_above(&mut self, now: Duration, priority: u8) -> f64 {
        self.expire_starts(now);
        let above: u32 = self.counts.range(..priority).map(|(_, count)| count).sum();
        f64::from(above) / (self.starts.len().max(1) as f64)
    }

    /// Returns how many flows start at most before one that is queued now, if higher priorities
    /// take all but the reserved share of the starts; `None` if there is no reserved share.
    #[must_use]
    pub fn starts_before(&self, priority: u8, least_share: f64) -> Option<f64> {
        if least_share < MIN_LEAST_SHARE {
            return None;
        }
        let first = self.list.first().map(|first| first.demand.priority);
        let top = first.filter(|first| *first < priority);
        let shares = |syn: &&WaitingSyn| top.is_none_or(|top| syn.demand.priority > top);
        let entitled = self.list.iter().filter(shares).count() as f64;
        Some((entitled - self.credit).max(0.0) / least_share + 1.0)
    }

    fn expire_starts(&mut self, now: Duration) {
        while let Some((at, priority)) = self.starts.front().copied()
            && now >= at + START_WINDOW
        {
            self.starts.pop_front();
            if let Some(count) = self.counts.get_mut(&priority) {
                *count -= 1;
            }
        }
    }
}
