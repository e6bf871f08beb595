//! The stacks of an agent's flows, in shards that each have their own lock.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthornweir_events::{Count, EventKind, Gauge};
use buckthornweir_flows::moving::QuietFlow;
use buckthornweir_flows::ownership::Ownership;
use buckthornweir_flows::packet::{FiveTuple, PacketInfo, parse};
use buckthornweir_flows::stack::{FlowStack, StackLimits};
use parking_lot::Mutex;
use slotmap::{SlotMap, new_key_type};
use smol_str::format_smolstr;

use super::outlet::Outlet;
use super::stream::FlowStream;
use crate::board::Blackboard;

/// How many shards a table has.
const SHARDS: usize = 16;

new_key_type! {
    /// Key of a flow within its shard.
    pub(crate) struct FlowKey;
}

/// The stacks of all flows of one agent.
pub(crate) struct FlowTable {
    shards: Vec<Arc<Shard>>,
    context: Arc<Context>,
    limits: StackLimits,
    key: [u8; 16],
}

/// What all shards work with.
struct Context {
    board: Arc<Blackboard>,
    outlet: Outlet,
    ownership: Arc<Ownership>,
}

/// A part of the flow table.
pub(crate) struct Shard {
    context: Arc<Context>,
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
        outlet: Outlet,
        ownership: Arc<Ownership>,
        limits: StackLimits,
    ) -> Self {
        let key = ownership.stack_key();
        let context = Arc::new(Context {
            board,
            outlet,
            ownership,
        });
        let shard = || {
            Arc::new(Shard {
                context: context.clone(),
                inner: Mutex::default(),
            })
        };
        Self {
            shards: (0..SHARDS).map(|_| shard()).collect(),
            context,
            limits,
            key,
        }
    }

    /// Returns the time since the process started.
    pub(crate) fn now(&self) -> Duration {
        self.context.board.now()
    }

    /// Returns the shards.
    pub(crate) fn shards(&self) -> &[Arc<Shard>] {
        &self.shards
    }

    /// Sends a packet to the fabric.
    pub(crate) fn send(&self, packet: &[u8]) {
        self.context.outlet.send(packet);
    }

    /// Starts a flow with its SYN.
    pub(crate) fn start(&self, info: &PacketInfo, packet: &[u8]) {
        let now = self.now();
        let shard = self.shard_of(&info.tuple);
        let mut inner = shard.inner.lock();
        inner.forget(&info.tuple);
        let mut stack = FlowStack::accept(info, &self.key, &self.limits, now);
        let mut answers = Vec::new();
        stack.input(packet, now, &mut answers);
        let key = inner.insert(info.tuple, stack, Serving::NotYet);
        if let Some(answer) = answers.first().and_then(|a| parse(a).ok()) {
            self.context
                .ownership
                .record_syn_ack(&info.tuple, answer.seq);
        }
        self.context.board.metrics.count(Count::FlowsStarted);
        shard.send(&answers);
        shard.flush(&mut inner, key, now);
    }

    /// Delivers a packet of a known flow. Returns the flow's stream when its handshake has just
    /// ended.
    pub(crate) fn deliver(&self, tuple: &FiveTuple, packet: &[u8]) -> Option<FlowStream> {
        let shard = self.shard_of(tuple);
        let mut inner = shard.inner.lock();
        let key = *inner.keys.get(tuple)?;
        shard.input(&mut inner, key, packet);
        let flow = inner.flows.get_mut(key)?;
        if flow.served != Serving::NotYet || !flow.stack.is_established() {
            return None;
        }
        flow.served = Serving::Now;
        Some(FlowStream::new(shard.clone(), key, *tuple))
    }

    /// Forgets a half-open flow without a packet.
    pub(crate) fn abandon(&self, tuple: &FiveTuple) {
        self.shard_of(tuple).inner.lock().forget(tuple);
    }

    /// Resets a flow.
    pub(crate) fn give_up(&self, tuple: &FiveTuple) {
        let shard = self.shard_of(tuple);
        let mut inner = shard.inner.lock();
        let Some(key) = inner.keys.get(tuple).copied() else {
            return;
        };
        if let Some(flow) = inner.flows.get_mut(key) {
            flow.stack.abort();
            self.context.board.metrics.count(Count::FlowsReset);
        }
        shard.flush(&mut inner, key, self.now());
    }

    /// Goes on with a flow that was quiet at another agent, or here. Returns `None` when its state
    /// is not that of a quiet flow.
    pub(crate) fn adopt(&self, flow: &QuietFlow) -> Option<FlowStream> {
        let now = self.now();
        let stack = FlowStack::resume(flow, &self.limits, now)?;
        let shard = self.shard_of(&flow.tuple);
        let mut inner = shard.inner.lock();
        inner.forget(&flow.tuple);
        let key = inner.insert(flow.tuple, stack, Serving::Now);
        shard.flush(&mut inner, key, now);
        Some(FlowStream::new(shard.clone(), key, flow.tuple))
    }

    fn shard_of(&self, tuple: &FiveTuple) -> &Arc<Shard> {
        let port = usize::from(tuple.caller.port());
        let ip = match tuple.caller.ip() {
            IpAddr::V4(ip) => ip.octets()[3],
            IpAddr::V6(ip) => ip.octets()[15],
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
        self.flush(&mut inner, key, self.context.board.now());
        Some(result)
    }

    /// Returns whether nothing of the flow is on its way, either way.
    pub(crate) fn is_quiet(&self, key: FlowKey) -> bool {
        let inner = self.inner.lock();
        inner
            .flows
            .get(key)
            .is_some_and(|f| f.stack.quiet().is_some())
    }

    /// Stops a quiet flow's packets, takes its state and forgets its stack without a packet.
    /// Returns `None` and goes on with the flow when it is not quiet.
    pub(crate) fn stop_quiet(&self, key: FlowKey, tuple: &FiveTuple) -> Option<QuietFlow> {
        let mut inner = self.inner.lock();
        let ownership = &self.context.ownership;
        if !ownership.begin_move(tuple) {
            return None;
        }
        let quiet = inner.flows.get(key).and_then(|flow| flow.stack.quiet());
        if quiet.is_some() {
            inner.remove(key);
            return quiet;
        }
        let held = ownership.take_held(tuple);
        ownership.cancel_move(tuple);
        for forward in held {
            self.input(&mut inner, key, &forward.packet);
        }
        None
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
            self.context.board.metrics.count(Count::FlowsReset);
            let flow = format_smolstr!("{} {}", flow.tuple.caller, flow.tuple.service);
            let reason = "its connection was cut".into();
            self.context
                .board
                .record(EventKind::FlowReset { flow, reason });
        }
        self.flush(&mut inner, key, self.context.board.now());
    }

    fn input(&self, inner: &mut Inner, key: FlowKey, packet: &[u8]) {
        let now = self.context.board.now();
        let mut answers = Vec::new();
        if let Some(flow) = inner.flows.get_mut(key) {
            flow.stack.input(packet, now, &mut answers);
        }
        self.send(&answers);
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
        let tuple = flow.tuple;
        flow.timer = timer;
        if is_over {
            inner.remove(key);
            self.context.ownership.remove_flow(&tuple);
            self.context.board.metrics.count(Count::FlowsEnded);
        } else if let Some(at) = timer
            && is_new
        {
            inner.timers.push(Reverse((at, key)));
        }
        self.show_open();
    }

    fn send(&self, packets: &[Vec<u8>]) {
        for packet in packets {
            self.context.outlet.send(packet);
        }
    }

    fn show_open(&self) {
        let open = i64::try_from(self.context.ownership.len()).unwrap_or(i64::MAX);
        self.context.board.metrics.set(Gauge::FlowsOpen, open);
    }
}

impl Inner {
    fn insert(&mut self, tuple: FiveTuple, stack: FlowStack, served: Serving) -> FlowKey {
        let key = self.flows.insert(Flow {
            tuple,
            stack,
            timer: None,
            served,
        });
        self.keys.insert(tuple, key);
        key
    }

    fn forget(&mut self, tuple: &FiveTuple) {
        if let Some(key) = self.keys.remove(tuple) {
            self.flows.remove(key);
        }
    }

    fn remove(&mut self, key: FlowKey) {
        if let Some(flow) = self.flows.remove(key)
            && self.keys.get(&flow.tuple) == Some(&key)
        {
            self.keys.remove(&flow.tuple);
        }
    }
}
