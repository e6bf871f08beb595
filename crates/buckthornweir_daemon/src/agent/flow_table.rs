//! The TCP stacks of an agent's flows, in shards that each have their own lock.

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

use super::packet_sender::PacketSender;
use super::stream::FlowStream;
use crate::board::Blackboard;

/// The number of shards of a table.
const SHARDS: usize = 16;

new_key_type! {
    /// The key of a flow within its shard.
    pub(crate) struct FlowKey;
}

/// The TCP stacks of all flows of one agent.
pub(crate) struct FlowTable {
    shards: Vec<Arc<Shard>>,
    context: Arc<Context>,
    limits: StackLimits,
    key: [u8; 16],
}

/// State that all shards share.
struct Context {
    board: Arc<Blackboard>,
    packet_sender: PacketSender,
    ownership: Arc<Ownership>,
}

/// A shard of the flow table.
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
    task: TaskState,
}

/// The state of the task that serves a flow.
#[derive(Clone, Copy, PartialEq, Eq)]
enum TaskState {
    NotStarted,
    Running,
    Finished,
}

impl FlowTable {
    /// Returns an empty table.
    pub(crate) fn new(
        board: Arc<Blackboard>,
        packet_sender: PacketSender,
        ownership: Arc<Ownership>,
        limits: StackLimits,
    ) -> Self {
        let key = ownership.stack_key();
        let context = Arc::new(Context {
            board,
            packet_sender,
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
        self.context.packet_sender.send(packet);
    }

    /// Creates a flow from its SYN.
    pub(crate) fn start(&self, info: &PacketInfo, packet: &[u8]) {
        let now = self.now();
        let shard = self.shard_of(&info.tuple);
        let mut inner = shard.inner.lock();
        inner.discard(&info.tuple);
        let mut stack = FlowStack::accept(info, &self.key, &self.limits, now);
        let mut replies = Vec::new();
        stack.input(packet, now, &mut replies);
        let key = inner.insert(info.tuple, stack, TaskState::NotStarted);
        if let Some(reply) = replies.first().and_then(|a| parse(a).ok()) {
            self.context
                .ownership
                .record_syn_ack(&info.tuple, reply.seq);
        }
        self.context.board.metrics.count(Count::FlowsStarted);
        shard.send(&replies);
        shard.flush(&mut inner, key, now);
    }

    /// Delivers a packet to a known flow. Returns the flow's stream when this packet completes the
    /// handshake.
    pub(crate) fn deliver(&self, tuple: &FiveTuple, packet: &[u8]) -> Option<FlowStream> {
        let shard = self.shard_of(tuple);
        let mut inner = shard.inner.lock();
        let key = *inner.keys.get(tuple)?;
        shard.input(&mut inner, key, packet);
        let flow = inner.flows.get_mut(key)?;
        if flow.task != TaskState::NotStarted || !flow.stack.is_established() {
            return None;
        }
        flow.task = TaskState::Running;
        Some(FlowStream::new(shard.clone(), key, *tuple))
    }

    /// Removes a half-open flow without sending a packet.
    pub(crate) fn remove_half_open(&self, tuple: &FiveTuple) {
        self.shard_of(tuple).inner.lock().discard(tuple);
    }

    /// Resets a flow.
    pub(crate) fn reset(&self, tuple: &FiveTuple) {
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

    /// Resumes a flow that was quiet at another agent or here. Returns `None` when its state is not
    /// that of a quiet flow.
    pub(crate) fn resume(&self, flow: &QuietFlow) -> Option<FlowStream> {
        let now = self.now();
        let stack = FlowStack::resume(flow, &self.limits, now)?;
        let shard = self.shard_of(&flow.tuple);
        let mut inner = shard.inner.lock();
        inner.discard(&flow.tuple);
        let key = inner.insert(flow.tuple, stack, TaskState::Running);
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

    /// Calls `work` with a flow's stack, then sends the packets that result. Returns `None` when
    /// there is no such flow.
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

    /// Returns whether the flow has no data in flight in either direction.
    pub(crate) fn is_quiet(&self, key: FlowKey) -> bool {
        let inner = self.inner.lock();
        inner
            .flows
            .get(key)
            .is_some_and(|f| f.stack.quiet().is_some())
    }

    /// Removes a quiet flow without sending a packet and returns its state. Its packets are held
    /// from then on. Returns `None` and leaves the flow running when it is not quiet.
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

    /// Marks the flow's task as finished. Resets the flow unless `closed` is true or it has ended.
    pub(crate) fn release(&self, key: FlowKey, closed: bool) {
        let mut inner = self.inner.lock();
        let Some(flow) = inner.flows.get_mut(key) else {
            return;
        };
        flow.task = TaskState::Finished;
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
        let mut replies = Vec::new();
        if let Some(flow) = inner.flows.get_mut(key) {
            flow.stack.input(packet, now, &mut replies);
        }
        self.send(&replies);
        self.flush(inner, key, now);
    }

    fn flush(&self, inner: &mut Inner, key: FlowKey, now: Duration) {
        let Some(flow) = inner.flows.get_mut(key) else {
            return;
        };
        let mut out = Vec::new();
        let timer = flow.stack.poll(now, &mut out);
        self.send(&out);
        let is_finished = !flow.stack.is_open() && flow.task != TaskState::Running;
        let has_changed = timer.is_some() && timer != flow.timer;
        let tuple = flow.tuple;
        flow.timer = timer;
        if is_finished {
            inner.remove(key);
            self.context.ownership.remove_flow(&tuple);
            self.context.board.metrics.count(Count::FlowsEnded);
        } else if let Some(at) = timer
            && has_changed
        {
            inner.timers.push(Reverse((at, key)));
        }
        self.update_gauge();
    }

    fn send(&self, packets: &[Vec<u8>]) {
        for packet in packets {
            self.context.packet_sender.send(packet);
        }
    }

    fn update_gauge(&self) {
        let open = i64::try_from(self.context.ownership.len()).unwrap_or(i64::MAX);
        self.context.board.metrics.set(Gauge::FlowsOpen, open);
    }
}

impl Inner {
    fn insert(&mut self, tuple: FiveTuple, stack: FlowStack, task: TaskState) -> FlowKey {
        let key = self.flows.insert(Flow {
            tuple,
            stack,
            timer: None,
            task,
        });
        self.keys.insert(tuple, key);
        key
    }

    fn discard(&mut self, tuple: &FiveTuple) {
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
