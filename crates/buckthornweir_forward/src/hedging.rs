//! Hedged SYNs of a balancer: when the next packet of a new flow is late, a copy of its SYN goes to
//! another agent.
//!
//! The flow opens at the backend server whose SYN-ACK the caller acknowledges, so a request never
//! runs twice. The other backend server is left with a half-open flow, which is why the number of
//! copies is limited and only routes with repeatable requests have them.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use smol_str::SmolStr;

use crate::peers::{Peer, Peers};
use crate::plan::Plan;
use crate::segment::{FlowKey, Segment};
use crate::tag::Tag;

/// How long the next packet of a new flow may take before the flow's SYN is hedged.
pub const SECOND_SYN_DELAY: Duration = Duration::from_millis(60);

/// Maximum number of remembered SYNs.
const MAX_SYNS: usize = 1_024;

/// Time after which callers retransmit a SYN. A copy that is later than that, because the process
/// was suspended, adds nothing.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);

/// Time after which callers give up a SYN. Until then, a flow is remembered as hedged.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Length of a bucket of a [`Window`].
const BUCKET: Duration = Duration::from_millis(100);

/// Number of buckets in the 10 s to which the limit applies.
const WINDOW_BUCKETS: u64 = 100;

/// Why a SYN is not hedged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// The service has used up its limit.
    Limit,
    /// No other agent announces a free slot.
    NoFreeSlot,
    /// Too many SYNs are remembered.
    Full,
}

/// The result of a search for an agent.
type Result<T> = std::result::Result<T, Denial>;

/// What happens to a SYN whose flow's next packet is late.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Hedge {
    /// A copy is sent.
    Send {
        /// The flow.
        key: FlowKey,
        /// Bytes of the copy.
        bytes: Vec<u8>,
        /// Packet address of the agent that received the SYN.
        first: SocketAddrV4,
        /// Packet address of the agent that receives the copy.
        to: SocketAddrV4,
        /// Tag to write to the copy.
        tag: Tag,
    },
    /// No copy is sent.
    Denied(Denial),
}

#[derive(Debug)]
struct PlacedSyn {
    at: Duration,
    sequence: u32,
    service: SmolStr,
    agent: SocketAddrV4,
    /// Bytes of the SYN; `None` once the flow must not be hedged any more.
    bytes: Option<Vec<u8>>,
}

/// The SYNs that a balancer placed and may hedge.
#[derive(Debug)]
pub struct Hedging {
    domain: SmolStr,
    /// Limit for services with an overload policy that states none.
    default_share: f64,
    syns: HashMap<FlowKey, PlacedSyn>,
    /// Flows by the time of their SYN. Some may have been forgotten since.
    waiting: VecDeque<(Duration, FlowKey)>,
    /// Flows that must not be hedged again, by the time of their SYN.
    settled: VecDeque<(Duration, FlowKey)>,
    windows: BTreeMap<SmolStr, Window>,
}

impl Hedging {
    /// Returns the hedging of a balancer in the failure domain `domain`. `default_share` limits the
    /// hedged SYNs, as a share of new flows, of services whose overload policy states no limit.
    #[must_use]
    pub fn new(domain: impl Into<SmolStr>, default_share: f64) -> Self {
        Self {
            domain: domain.into(),
            default_share,
            syns: HashMap::new(),
            waiting: VecDeque::new(),
            settled: VecDeque::new(),
            windows: BTreeMap::new(),
        }
    }

    /// Returns the number of remembered SYNs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.syns.len()
    }

    /// Returns whether no SYN is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.syns.is_empty()
    }

    /// Returns whether the flow's SYN was hedged or may still be.
    #[must_use]
    pub fn may_hedge(&self, key: &FlowKey) -> bool {
        self.syns.contains_key(key)
    }

    /// Returns when [`Hedging::due`] has work to do.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        let hedge = self.waiting.front().map(|(at, _)| *at + SECOND_SYN_DELAY);
        let expiry = self.settled.front().map(|(at, _)| *at + CALLER_TIMEOUT);
        hedge.into_iter().chain(expiry).min()
    }

    /// Records a caller's packet that is forwarded to `agent`. Returns [`Denial::Full`] if it is a
    /// SYN that might be hedged but can't be remembered.
    pub fn note(
        &mut self,
        now: Duration,
        plan: &Plan,
        segment: &Segment,
        bytes: &[u8],
        agent: SocketAddrV4,
    ) -> Option<Denial> {
        let key = segment.caller_flow();
        if !segment.syn {
            if !self.syns.is_empty() {
                self.syns.remove(&key);
            }
            return None;
        }
        if let Some(syn) = self.syns.get_mut(&key) {
            if syn.sequence == segment.sequence {
                // The retransmission goes to another agent itself.
                syn.bytes = None;
                return None;
            }
            // The caller reuses the port for a new flow.
            self.syns.remove(&key);
        }
        if segment.retransmissions() > 0 {
            return None;
        }
        let route = plan.route(&key.service)?;
        let service = route.service(&key)?;
        self.share(plan, service)?;
        let window = self.windows.entry(service.clone()).or_default();
        window.bucket(now).flows += 1;
        if !route.class.kind.is_repeatable() {
            return None;
        }
        // Both queues may contain flows that were forgotten.
        let full = self.syns.len() >= MAX_SYNS || self.waiting.len() >= MAX_SYNS;
        if full || self.settled.len() >= MAX_SYNS {
            return Some(Denial::Full);
        }
        let syn = PlacedSyn {
            at: now,
            sequence: segment.sequence,
            service: service.clone(),
            agent,
            bytes: Some(bytes.to_vec()),
        };
        self.syns.insert(key, syn);
        self.waiting.push_back((now, key));
        None
    }

    /// Decides about the SYNs whose flow's next packet is late.
    pub fn due(&mut self, now: Duration, plan: &Plan, peers: &Peers) -> Vec<Hedge> {
        let mut hedges = Vec::new();
        while let Some((at, key)) = pop_before(&mut self.waiting, now, SECOND_SYN_DELAY) {
            hedges.extend(self.hedge(now, at, key, plan, peers));
        }
        while let Some((at, key)) = pop_before(&mut self.settled, now, CALLER_TIMEOUT) {
            if self.syns.get(&key).is_some_and(|syn| syn.at == at) {
                self.syns.remove(&key);
            }
        }
        self.windows
            .retain(|service, _| plan.services.contains_key(service));
        hedges
    }

    fn hedge(
        &mut self,
        now: Duration,
        at: Duration,
        key: FlowKey,
        plan: &Plan,
        peers: &Peers,
    ) -> Option<Hedge> {
        let syn = self.syns.get_mut(&key).filter(|syn| syn.at == at)?;
        let Some(bytes) = syn.bytes.take() else {
            // The caller has retransmitted it.
            self.settled.push_back((at, key));
            return None;
        };
        let (service, first) = (syn.service.clone(), syn.agent);
        let in_time = now < at + RETRANSMISSION_DELAY;
        let share = self.share(plan, &service);
        let share = share.filter(|_| in_time && may_repeat(plan, &key, &service));
        let Some(share) = share else {
            // The process was suspended, or the plan has changed.
            self.syns.remove(&key);
            return None;
        };
        let window = self.windows.entry(service.clone()).or_default();
        let next = match window.allows_hedge(now, share) {
            true => self.next_agent(plan, peers, &service, &key, first),
            false => Err(Denial::Limit),
        };
        let to = match next {
            Ok(to) => to,
            Err(denial) => {
                self.syns.remove(&key);
                return Some(Hedge::Denied(denial));
            }
        };
        self.windows
            .entry(service.clone())
            .or_default()
            .bucket(now)
            .hedged += 1;
        self.settled.push_back((at, key));
        let primary = peers.primary(&service, &self.domain, &key);
        Some(Hedge::Send {
            key,
            bytes,
            first,
            to: to.packet_addr,
            tag: Tag {
                aside: primary.is_some_and(|primary| primary.node != to.node),
                hedged: true,
                ..Tag::default()
            },
        })
    }

    /// Returns the agent for the copy of a SYN that went to the agent `first`.
    fn next_agent<'a>(
        &self,
        plan: &Plan,
        peers: &'a Peers,
        service: &str,
        key: &FlowKey,
        first: SocketAddrV4,
    ) -> Result<&'a Peer> {
        let open = peers.accepting(plan, service, &self.domain, key);
        let mut open = open.into_iter();
        open.find(|peer| peer.packet_addr != first && !peer.cold && peer.free > 0)
            .ok_or(Denial::NoFreeSlot)
    }

    /// Returns the limit of hedged SYNs of a service as a share of its new flows; `None` if they
    /// are disabled.
    fn share(&self, plan: &Plan, service: &str) -> Option<f64> {
        let policy = plan.services.get(service)?.overload?;
        let share = match policy.second_tries > 0.0 {
            true => policy.second_tries,
            false => self.default_share,
        };
        (share > 0.0).then_some(share.min(1.0))
    }
}

fn may_repeat(plan: &Plan, key: &FlowKey, service: &str) -> bool {
    let route = plan.route(&key.service);
    route.is_some_and(|route| route.class.kind.is_repeatable() && route.allows(service))
}

/// Removes the first entry if it is at least `delay` old.
fn pop_before(
    queue: &mut VecDeque<(Duration, FlowKey)>,
    now: Duration,
    delay: Duration,
) -> Option<(Duration, FlowKey)> {
    let (at, _) = queue.front()?;
    (now >= *at + delay).then(|| queue.pop_front())?
}

/// The new flows and hedged SYNs of a service in the last 10 s.
#[derive(Debug, Default)]
struct Window {
    /// Buckets that are not empty, in order of time.
    buckets: VecDeque<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    index: u64,
    flows: u32,
    hedged: u32,
}

impl Window {
    /// Returns the bucket of the current time, and removes expired ones.
    fn bucket(&mut self, now: Duration) -> &mut Bucket {
        let current = bucket_index(now);
        let expired = |b: &Bucket| b.index + WINDOW_BUCKETS < current;
        while self.buckets.front().is_some_and(expired) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.index < current) {
            self.buckets.push_back(Bucket {
                index: current,
                flows: 0,
                hedged: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Returns whether one more hedged SYN stays within the limit.
    ///
    /// Of the oldest bucket, which is only partly in the 10 s, hedged SYNs count and new flows
    /// don't, so that the limit holds exactly and not only on average.
    fn allows_hedge(&mut self, now: Duration, share: f64) -> bool {
        self.bucket(now);
        let first_whole = (bucket_index(now) + 1).saturating_sub(WINDOW_BUCKETS);
        let whole = self.buckets.iter().filter(|b| b.index >= first_whole);
        let flows: u32 = whole.map(|b| b.flows).sum();
        let hedged: u32 = self.buckets.iter().map(|b| b.hedged).sum();
        f64::from(hedged + 1) <= f64::from(flows) * share
    }
}

fn bucket_index(now: Duration) -> u64 {
    u64::try_from(now.as_millis() / BUCKET.as_millis()).unwrap_or(u64::MAX)
}
