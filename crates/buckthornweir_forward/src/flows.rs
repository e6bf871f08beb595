//! The flow table of an agent.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::segment::{FlowKey, Segment};

/// How far the acknowledgement that opens a flow may lie above the SYN-ACK's sequence number,
/// exclusive.
const SYN_ACK_RANGE: u32 = 1 << 16;

/// How long a flow is kept after both directions have ended.
const ENDED_TTL: Duration = Duration::from_secs(3);

/// How long a new flow counts as load before its first request arrives: a few round trips to the
/// caller.
pub(crate) const FRESH_TTL: Duration = Duration::from_millis(100);

/// The same under an overload policy, where a slot must not be kept for a request that is lost.
pub(crate) const OVERLOAD_FRESH_TTL: Duration = Duration::from_millis(40);

/// How much longer than the plan's idle timeout a flow is kept.
const IDLE_MARGIN: Duration = Duration::from_secs(5);

/// The location of the backend server that holds a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Holder {
    /// The local backend server.
    Local,
    /// The backend server of the agent with this packet address.
    Peer(SocketAddrV4),
}

/// The state that an agent keeps for one flow.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Where the flow is held.
    pub holder: Holder,
    /// Whether the local backend server has confirmed that it holds the flow.
    pub confirmed: bool,
    /// Whether the flow was unknown and its packets are delivered to find out whether the local
    /// backend server holds it.
    pub assumed: bool,
    /// Sequence number of the local backend server's SYN-ACK.
    pub syn_ack_seq: Option<u32>,
    /// When the local backend server sent its last SYN-ACK.
    pub syn_ack_at: Option<Duration>,
    /// Agent that probed for the flow and awaits an answer.
    pub prober: Option<SocketAddrV4>,
    /// Agent that received a retransmission of the SYN.
    pub alternate: Option<SocketAddrV4>,
    /// When the pending request arrived, if any.
    pub pending_since: Option<Duration>,
    /// Whether the flow is new and its first request has not arrived.
    pub fresh: bool,
    /// Acknowledgement number of the caller's last packet.
    pub acknowledged: u32,
    /// When the flow was added to the table.
    pub since: Duration,
    /// When the last packet arrived.
    pub last_seen: Duration,
    caller_ended: bool,
    backend_ended: bool,
}

impl Flow {
    fn new(now: Duration, holder: Holder) -> Self {
        Self {
            holder,
            confirmed: false,
            assumed: false,
            syn_ack_seq: None,
            syn_ack_at: None,
            prober: None,
            alternate: None,
            pending_since: None,
            fresh: false,
            acknowledged: 0,
            since: now,
            last_seen: now,
            caller_ended: false,
            backend_ended: false,
        }
    }

    /// Returns whether both directions have ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.caller_ended && self.backend_ended
    }

    /// Returns whether an acknowledgement number fits the local backend server's SYN-ACK. The agent
    /// sees every packet of its backend server, so a SYN-ACK that it has not seen was not sent.
    #[must_use]
    pub fn acknowledges_syn_ack(&self, acknowledged: u32) -> bool {
        let syn_ack_seq = self.syn_ack_seq;
        syn_ack_seq
            .is_some_and(|syn_ack_seq| acknowledged.wrapping_sub(syn_ack_seq) < SYN_ACK_RANGE)
    }
}

/// The flows known to one agent.
#[derive(Debug, Default)]
pub struct Flows {
    map: HashMap<FlowKey, Flow>,
    /// Requests running at the local backend server, and when they arrived.
    running: BTreeMap<FlowKey, Duration>,
    fresh: usize,
    fresh_queue: VecDeque<(Duration, FlowKey)>,
}

impl Flows {
    /// Returns the number of requests running at the local backend server.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the flows whose requests run at the local backend server, and for how long.
    pub(crate) fn running_times(&self, now: Duration) -> impl Iterator<Item = (FlowKey, Duration)> {
        let running = self.running.iter();
        running.map(move |(key, since)| (*key, now.saturating_sub(*since)))
    }

    /// Returns the flows that count as load although their first request has not arrived.
    pub(crate) fn fresh(&self) -> impl Iterator<Item = FlowKey> {
        let is_fresh = |at: &Duration, key: &FlowKey| {
            let flow = self.map.get(key);
            flow.is_some_and(|flow| flow.fresh && flow.since == *at)
        };
        let queue = self.fresh_queue.iter();
        queue.filter_map(move |(at, key)| is_fresh(at, key).then_some(*key))
    }

    /// Returns the number of requests that run at the local backend server or are expected to.
    /// Callers open a flow to send a request, so simultaneously opened flows count before their
    /// requests arrive.
    #[must_use]
    pub fn load(&self) -> usize {
        self.running.len() + self.fresh
    }

    /// Returns the number of known flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Returns whether no flow is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    pub(crate) fn get(&self, key: &FlowKey) -> Option<&Flow> {
        self.map.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: &FlowKey) -> Option<&mut Flow> {
        self.map.get_mut(key)
    }

    /// Adds a flow, replacing any earlier one with the same key.
    pub(crate) fn start(&mut self, now: Duration, key: FlowKey, holder: Holder) -> &mut Flow {
        self.remove(&key);
        self.map
            .entry(key)
            .or_insert_with(|| Flow::new(now, holder))
    }

    /// Adds a flow whose SYN is delivered to the local backend server.
    pub(crate) fn open(&mut self, now: Duration, key: FlowKey) {
        self.start(now, key, Holder::Local).fresh = true;
        self.fresh += 1;
        self.fresh_queue.push_back((now, key));
    }

    /// Stops counting flows as load whose first request has not arrived within `ttl`.
    pub(crate) fn expire_fresh(&mut self, now: Duration, ttl: Duration) {
        while let Some((at, key)) = self.fresh_queue.front()
            && now >= *at + ttl
        {
            let (at, key) = (*at, *key);
            self.fresh_queue.pop_front();
            // A later flow on the same port has an entry of its own.
            if self.map.get(&key).is_some_and(|flow| flow.since == at) {
                self.clear_fresh(&key);
            }
        }
    }

    fn clear_fresh(&mut self, key: &FlowKey) {
        if let Some(flow) = self.map.get_mut(key)
            && std::mem::take(&mut flow.fresh)
        {
            self.fresh -= 1;
        }
    }

    pub(crate) fn remove(&mut self, key: &FlowKey) -> Option<Flow> {
        let flow = self.map.remove(key)?;
        self.fresh -= usize::from(flow.fresh);
        if flow.pending_since.is_some() {
            self.running.remove(key);
        }
        Some(flow)
    }

    /// Records a caller's packet for the local backend server.
    pub(crate) fn note_caller(&mut self, now: Duration, key: &FlowKey, segment: &Segment) {
        let Some(flow) = self.map.get_mut(key) else {
            return;
        };
        flow.last_seen = now;
        flow.caller_ended |= segment.fin;
        if !segment.syn {
            flow.acknowledged = segment.acknowledged;
        }
        if segment.length > 0 && flow.pending_since.is_none() {
            flow.pending_since = Some(now);
            self.running.insert(*key, now);
            self.clear_fresh(key);
        }
    }

    /// Records a packet of the local backend server. Returns the latency of the request that it
    /// answers, if any.
    pub(crate) fn note_backend(
        &mut self,
        now: Duration,
        key: &FlowKey,
        segment: &Segment,
    ) -> Option<Duration> {
        if !self.map.contains_key(key) {
            if segment.syn || segment.rst {
                return None;
            }
            self.start(now, *key, Holder::Local);
        }
        let flow = self.map.get_mut(key)?;
        flow.last_seen = now;
        flow.backend_ended |= segment.fin;
        if segment.syn {
            flow.syn_ack_seq = Some(segment.sequence);
            flow.syn_ack_at = Some(now);
        } else if !segment.rst {
            // Only a backend server that holds the flow sends data or acknowledgements.
            flow.confirmed = true;
            flow.assumed = false;
            flow.holder = Holder::Local;
        }
        if segment.length == 0 {
            return None;
        }
        let since = flow.pending_since.take()?;
        self.running.remove(key);
        Some(now.saturating_sub(since))
    }

    /// Returns the running requests with the times at which they arrived.
    pub(crate) fn requests(&self) -> impl Iterator<Item = (&FlowKey, Duration)> {
        self.running.iter().map(|(key, since)| (key, *since))
    }

    /// Removes and returns the flows held by the local backend server that began until `until`. A flow
    /// begins with the SYN-ACK, since the SYN before may have been lost.
    pub(crate) fn take_local(&mut self, until: Duration) -> Vec<(FlowKey, Flow)> {
        let began = |flow: &Flow| flow.syn_ack_at.unwrap_or(flow.since);
        let local = self.map.iter();
        let local = local.filter(|(_, f)| f.holder == Holder::Local && began(f) <= until);
        let keys: Vec<FlowKey> = local.map(|(key, _)| *key).collect();
        let removed = keys.into_iter();
        removed
            .filter_map(|key| self.remove(&key).map(|flow| (key, flow)))
            .collect()
    }

    /// Removes flows that have ended or have been idle for longer than `idle` and a margin.
    pub(crate) fn sweep(&mut self, now: Duration, idle: Duration) {
        let is_expired = |flow: &Flow| {
            let idle_over = now >= flow.last_seen + idle + IDLE_MARGIN;
            idle_over || (flow.has_ended() && now >= flow.last_seen + ENDED_TTL)
        };
        let expired: Vec<FlowKey> = self
            .map
            .iter()
            .filter(|(_, flow)| is_expired(flow))
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.remove(&key);
        }
    }
}
