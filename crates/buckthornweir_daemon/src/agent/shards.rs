//! The flow table of an agent, in shards that each have their own lock.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use buckthornweir_events::{Count, Gauge};
use buckthornweir_flows::packet::{FiveTuple, PacketInfo};
use buckthornweir_flows::stack::{FlowStack, StackLimits};
use parking_lot::Mutex;
use slotmap::{SlotMap, new_key_type};

use super::outlet::Outlet;
use super::stream::FlowStream;
use crate::balancer::placement_key;
use crate::board::Blackboard;

/// How many shards a table has.
const SHARDS: usize = 16;

new_key_type! {
    /// Key of a flow within its shard.
    pub(crate) struct FlowKey;
}

/// All flows of one agent.
pub(crate) struct FlowTable {
    board: Arc<Blackboard>,
    shards: Vec<Arc<Shard>>,
    limits: StackLimits,
    key: [u8; 16],
    flow_limit: usize,
    open: Arc<AtomicUsize>,
}

/// A part of the flow table.
pub(crate) struct Shard {
    board: Arc<Blackboard>,
    outlet: Arc<Outlet>,
    open: Arc<AtomicUsize>,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    flows: SlotMap<FlowKey, Flow>,
    keys: HashMap<FiveTuple, FlowKey>,
    timers: BinaryHeap<Reverse<(Duration, FlowKey)>>,
}

struct Flow {
    tuple: FiveTuple,
    stack: FlowStack,
    timer: Option<Duration>,
    served: Serving,
}

/// Whether a task serves the flow.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Serving {
    NotYet,
    Now,
    Over,
}

impl FlowTable {
    /// Returns an empty table.
    pub(crate) fn new(
        board: Arc<Blackboard>,
        outlet: &Arc<Outlet>,
        limits: StackLimits,
        flow_limit: usize,
    ) -> Self {
        let open = Arc::new(AtomicUsize::new(0));
        let shard = || {
            Arc::new(Shard {
                board: board.clone(),
                outlet: outlet.clone(),
                open: open.clone(),
                inner: Mutex::default(),
            })
        };
        Self {
            shards: (0..SHARDS).map(|_| shard()).collect(),
            key: placement_key(&board.settings.node.key),
            board,
            limits,
            flow_limit,
            open,
        }
    }

    /// Returns the time since the process started.
    pub(crate) fn now(&self) -> Duration {
        self.board.now()
    }

    /// Returns the shards.
    pub(crate) fn shards(&self) -> &[Arc<Shard>] {
        &self.shards
    }

    /// Returns whether the table holds this flow.
    pub(crate) fn owns(&self, tuple: &FiveTuple) -> bool {
        self.shard_of(tuple).inner.lock().keys.contains_key(tuple)
    }

    /// Starts a flow with its SYN. Returns false when the table is full.
    pub(crate) fn start(&self, info: &PacketInfo, packet: &[u8]) -> bool {
        if self.open.load(Ordering::Relaxed) >= self.flow_limit {
            return false;
        }
        let now = self.board.now();
        let shard = self.shard_of(&info.tuple);
        let mut inner = shard.inner.lock();
        if !inner.keys.contains_key(&info.tuple) {
            let stack = FlowStack::accept(info, &self.key, &self.limits, now);
            inner.insert(info.tuple, stack);
            shard.count_open(1);
            self.board.metrics.count(Count::FlowsStarted);
        }
        let key = inner.keys[&info.tuple];
        shard.input(&mut inner, key, packet, now);
        true
    }

    /// Delivers a packet of a known flow. Returns the flow's stream when it has just become
    /// established.
    pub(crate) fn deliver(&self, info: &PacketInfo, packet: &[u8]) -> Option<FlowStream> {
        let shard = self.shard_of(&info.tuple);
        let now = self.board.now();
        let mut inner = shard.inner.lock();
        let key = *inner.keys.get(&info.tuple)?;
        shard.input(&mut inner, key, packet, now);
        let flow = inner.flows.get_mut(key)?;
        if flow.served != Serving::NotYet || !flow.stack.is_established() {
            return None;
        }
        flow.served = Serving::Now;
        Some(FlowStream::new(shard.clone(), key, info.tuple))
    }

    fn shard_of(&self, tuple: &FiveTuple) -> &Arc<Shard> {
        let port = usize::from(tuple.caller.port());
        let ip = match tuple.caller.ip() {
            std::net::IpAddr::V4(ip) => ip.octets()[3],
            std::net::IpAddr::V6(ip) => ip.octets()[15],
        };
        &self.shards[(port ^ usize::from(ip)) % SHARDS]
    }
}

impl Shard {
    /// Runs the timers that are due.
    pub(crate) fn run_timers(&self, now: Duration) {
        let mut inner = self.inner.lock();
        while let Some(Reverse((at, key))) = inner.timers.peek().copied() {
            if at > now {
                return;
            }
            inner.timers.pop();
            let is_due = inner.flows.get(key).is_some_and(|f| f.timer == Some(at));
            if is_due {
                self.flush(&mut inner, key, now);
            }
        }
    }

    /// Works on a flow's stack, then sends what comes out of it. Returns `None` when the flow is
    /// gone.
    pub(crate) fn with_flow<T>(
        &self,
        key: FlowKey,
        work: impl FnOnce(&mut FlowStack) -> T,
    ) -> Option<T> {
        let mut inner = self.inner.lock();
        let flow = inner.flows.get_mut(key)?;
        let result = work(&mut flow.stack);
        self.flush(&mut inner, key, self.board.now());
        Some(result)
    }

    /// Notes that the flow's task is over; a flow that is not closed by then is reset.
    pub(crate) fn release(&self, key: FlowKey, closed: bool) {
        let mut inner = self.inner.lock();
        let Some(flow) = inner.flows.get_mut(key) else {
            return;
        };
        flow.served = Serving::Over;
        if !closed && flow.stack.is_open() {
            flow.stack.abort();
            self.board.metrics.count(Count::FlowsReset);
        }
        self.flush(&mut inner, key, self.board.now());
    }

    fn input(&self, inner: &mut Inner, key: FlowKey, packet: &[u8], now: Duration) {
        let mut out = Vec::new();
        if let Some(flow) = inner.flows.get_mut(key) {
            flow.stack.input(packet, now, &mut out);
        }
        self.send(&out);
        self.flush(inner, key, now);
    }

    fn flush(&self, inner: &mut Inner, key: FlowKey, now: Duration) {
        let Some(flow) = inner.flows.get_mut(key) else {
            return;
        };
        let mut out = Vec::new();
        let timer = flow.stack.poll(now, &mut out);
        self.send(&out);
        let is_over = !flow.stack.is_open() && flow.served != Serving::Now;
        let is_new = timer.is_some() && timer != flow.timer;
        flow.timer = timer;
        if is_over {
            inner.remove(key);
            self.count_open(-1);
            self.board.metrics.count(Count::FlowsEnded);
        } else if let Some(at) = timer
            && is_new
        {
            inner.timers.push(Reverse((at, key)));
        }
    }

    fn send(&self, packets: &[Vec<u8>]) {
        for packet in packets {
            self.outlet.send(packet);
        }
    }

    fn count_open(&self, change: isize) {
        let before = self
            .open
            .fetch_add(change.cast_unsigned(), Ordering::Relaxed);
        let open = before.wrapping_add_signed(change);
        let shown = i64::try_from(open).unwrap_or(i64::MAX);
        self.board.metrics.set(Gauge::FlowsOpen, shown);
    }
}

impl Inner {
    fn insert(&mut self, tuple: FiveTuple, stack: FlowStack) -> FlowKey {
        let key = self.flows.insert(Flow {
            tuple,
            stack,
            timer: None,
            served: Serving::NotYet,
        });
        self.keys.insert(tuple, key);
        key
    }

    fn remove(&mut self, key: FlowKey) {
        if let Some(flow) = self.flows.remove(key) {
            self.keys.remove(&flow.tuple);
        }
    }
}
