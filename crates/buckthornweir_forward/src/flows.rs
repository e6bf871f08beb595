//! The flows that an agent knows.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::segment::{FlowKey, Segment};

/// How far the acknowledgement that opens a flow may lie above the sequence number that it answers.
const ANSWER_SPAN: u32 = 1 << 16;

/// How long a flow is remembered after both directions ended.
const ENDED_LIFE: Duration = Duration::from_secs(3);

/// How long a new flow counts as a request that is about to come: some round trips to the caller.
const FRESH_LIFE: Duration = Duration::from_millis(100);

/// How much longer than the plan's idle time a flow is remembered.
const IDLE_MARGIN: Duration = Duration::from_secs(5);

/// Where a flow is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Holder {
    /// By the backend server here.
    Here,
    /// By the backend server of the agent that takes packets at this address.
    Peer(SocketAddrV4),
}

/// What an agent knows of one flow.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Where it is held.
    pub holder: Holder,
    /// Whether the backend server here has shown that it holds the flow.
    pub opened: bool,
    /// Whether the flow was unknown, and its packets were given to the backend server as a question.
    pub assumed: bool,
    /// Sequence number of the backend server's answer to the SYN.
    pub answer: Option<u32>,
    /// Agent that asked for the flow by a copy of a packet, and awaits an answer.
    pub asker: Option<SocketAddrV4>,
    /// Agent that was given a copy of the SYN.
    pub spare: Option<SocketAddrV4>,
    /// Since when a request waits for its answer.
    pub waiting: Option<Duration>,
    /// Whether the flow is new and its first request is still to come.
    pub fresh: bool,
    /// Acknowledgement of the caller's last packet.
    pub acknowledged: u32,
    /// When the flow became known.
    pub since: Duration,
    /// When the last packet came.
    pub seen: Duration,
    ended_caller: bool,
    ended_backend: bool,
}

impl Flow {
    fn new(now: Duration, holder: Holder) -> Self {
        Self {
            holder,
            opened: false,
            assumed: false,
            answer: None,
            asker: None,
            spare: None,
            waiting: None,
            fresh: false,
            acknowledged: 0,
            since: now,
            seen: now,
            ended_caller: false,
            ended_backend: false,
        }
    }

    /// Returns whether both directions have ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.ended_caller && self.ended_backend
    }

    /// Returns whether an acknowledgement answers the SYN+ACK of the backend server here. All its packets
    /// pass through the agent, so that one which was not seen was not sent.
    #[must_use]
    pub fn is_answer(&self, acknowledged: u32) -> bool {
        let answer = self.answer;
        answer.is_some_and(|answer| acknowledged.wrapping_sub(answer) < ANSWER_SPAN)
    }
}

/// The flows of one agent.
#[derive(Debug, Default)]
pub struct Flows {
    map: HashMap<FlowKey, Flow>,
    running: usize,
    fresh: usize,
    opened: VecDeque<(Duration, FlowKey)>,
}

impl Flows {
    /// Returns how many requests run at the backend server here.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns how many requests run at the backend server here or are about to: callers open a flow to
    /// send a request, so that flows opened in the same moment count before their requests come.
    #[must_use]
    pub fn load(&self) -> usize {
        self.running + self.fresh
    }

    /// Returns how many flows are known.
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

    /// Starts a flow in place of what was known under its key.
    pub(crate) fn start(&mut self, now: Duration, key: FlowKey, holder: Holder) -> &mut Flow {
        self.remove(&key);
        self.map
            .entry(key)
            .or_insert_with(|| Flow::new(now, holder))
    }

    /// Starts a flow whose SYN the backend server here gets.
    pub(crate) fn open(&mut self, now: Duration, key: FlowKey) {
        self.start(now, key, Holder::Here).fresh = true;
        self.fresh += 1;
        self.opened.push_back((now, key));
    }

    /// Counts new flows whose requests did not come as open, but idle.
    pub(crate) fn settle(&mut self, now: Duration) {
        while let Some((at, key)) = self.opened.front()
            && now >= *at + FRESH_LIFE
        {
            let key = *key;
            self.opened.pop_front();
            self.request_came(&key);
        }
    }

    fn request_came(&mut self, key: &FlowKey) {
        if let Some(flow) = self.map.get_mut(key)
            && std::mem::take(&mut flow.fresh)
        {
            self.fresh -= 1;
        }
    }

    pub(crate) fn remove(&mut self, key: &FlowKey) -> Option<Flow> {
        let flow = self.map.remove(key)?;
        self.fresh -= usize::from(flow.fresh);
        self.running -= usize::from(flow.waiting.is_some());
        Some(flow)
    }

    /// Notes a packet of the caller for the backend server here.
    pub(crate) fn note_caller(&mut self, now: Duration, key: &FlowKey, segment: &Segment) {
        let Some(flow) = self.map.get_mut(key) else {
            return;
        };
        flow.seen = now;
        flow.ended_caller |= segment.fin;
        if !segment.syn {
            flow.acknowledged = segment.acknowledged;
        }
        if segment.length > 0 && flow.waiting.is_none() {
            flow.waiting = Some(now);
            self.running += 1;
            self.request_came(key);
        }
    }

    /// Notes a packet of the backend server here. Returns how long a request waited that it answers.
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
            self.start(now, *key, Holder::Here);
        }
        let flow = self.map.get_mut(key)?;
        flow.seen = now;
        flow.ended_backend |= segment.fin;
        if segment.syn {
            flow.answer = Some(segment.sequence);
        } else if !segment.rst {
            // Only a backend server that holds the flow sends data or acknowledgements.
            flow.opened = true;
            flow.assumed = false;
            flow.holder = Holder::Here;
        }
        if segment.length == 0 {
            return None;
        }
        let since = flow.waiting.take()?;
        self.running -= 1;
        Some(now.saturating_sub(since))
    }

    /// Removes and returns all flows held here.
    pub(crate) fn take_own(&mut self) -> Vec<(FlowKey, Flow)> {
        let own = self.map.extract_if(|_, flow| flow.holder == Holder::Here);
        let own = own.collect();
        self.running = 0;
        self.fresh = 0;
        own
    }

    /// Forgets flows that have ended or were idle for longer than `idle`.
    pub(crate) fn sweep(&mut self, now: Duration, idle: Duration) {
        let over = |flow: &Flow| {
            let idle_over = now >= flow.seen + idle + IDLE_MARGIN;
            idle_over || (flow.has_ended() && now >= flow.seen + ENDED_LIFE)
        };
        let gone: Vec<FlowKey> = self
            .map
            .iter()
            .filter(|(_, flow)| over(flow))
            .map(|(key, _)| *key)
            .collect();
        for key in gone {
            self.remove(&key);
        }
    }
}
