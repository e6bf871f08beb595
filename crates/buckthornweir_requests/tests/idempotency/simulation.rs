//! Simulation of the agents of one service that hold idempotency records, with links that can be
//! cut.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use buckthornweir_requests::NodeId;
use buckthornweir_requests::idempotency::{ClaimKey, KeyAction, Keys, KeysConfig, Member};
use buckthornweir_requests::messages::{KeyEnd, RequestBody, StoredAnswer};

/// One-way delay between two agents.
const LINK_DELAY: Duration = Duration::from_millis(2);
/// Interval at which agents update which members are present.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);

/// What a caller received.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallerResult {
    /// The response of the run that this caller started.
    Ran,
    /// The stored response of an earlier run, with its status code.
    Replayed(u32),
    /// A refusal, with the name of the problem and whether it reports the request as not run.
    Refused(&'static str, bool),
}

/// Fault of the delivery of ends of claims to an agent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EndFault {
    /// Ends arrive after this delay.
    Late(Duration),
    /// This number of ends is lost.
    Lost(u32),
}

#[derive(Debug)]
struct Node {
    member: Member,
    keys: Option<Keys>,
    starts: u64,
    /// Times at which the agent started or stopped, with whether it runs from then on.
    changes: Vec<(Duration, bool)>,
    paused: bool,
    /// Events that arrived while the process was paused.
    deferred: Vec<Event>,
}

#[derive(Debug)]
enum Event {
    Deliver {
        from: NodeId,
        to: NodeId,
        instance: u64,
        body: RequestBody,
    },
    Finish {
        node: NodeId,
        instance: u64,
        claim: ClaimKey,
        end: KeyEnd,
    },
}

#[derive(Clone, Debug)]
struct Sent {
    key: Vec<u8>,
    caller: usize,
}

/// Agents and their links, with records of what the backend servers ran and the callers received.
#[derive(Debug)]
pub(crate) struct Simulation {
    pub(crate) now: Duration,
    /// Time for which a request runs.
    pub(crate) service_time: Duration,
    /// How requests end.
    pub(crate) run_end: KeyEnd,
    /// Maximum time until an agent learns that another one started or stopped.
    pub(crate) gossip_delay: Duration,
    config: KeysConfig,
    nodes: BTreeMap<NodeId, Node>,
    cut_links: BTreeSet<(NodeId, NodeId)>,
    /// Fault of the delivery of ends of claims, by receiving agent.
    pub(crate) end_faults: BTreeMap<NodeId, EndFault>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    queued: BTreeMap<u64, Event>,
    sequence: u64,
    next_update: Duration,
    sent: BTreeMap<(NodeId, u64, ClaimKey), Sent>,
    /// Times at which each key ran.
    pub(crate) runs: BTreeMap<Vec<u8>, Vec<Duration>>,
    /// What each caller received.
    pub(crate) results: BTreeMap<usize, CallerResult>,
    callers: usize,
}

/// Returns the settings of all agents, with short times to shorten the tests.
pub(crate) fn config() -> KeysConfig {
    KeysConfig {
        record_ttl: Duration::from_secs(25),
        absence_timeout: Duration::from_secs(50),
        settle_delay: Duration::from_secs(4),
        ..KeysConfig::default()
    }
}

impl Simulation {
    /// Creates a service of agents in the given failure domains, numbered from 1, and waits until
    /// it is ready.
    pub(crate) fn new(domains: &[&str]) -> Self {
        let mut simulation = Self::empty(config().with_first_start(true));
        for (index, domain) in domains.iter().enumerate() {
            simulation.start(index as NodeId + 1, domain);
        }
        simulation.advance(Duration::from_secs(6));
        simulation.config = config();
        simulation
    }

    /// Creates a service without agents.
    pub(crate) fn empty(config: KeysConfig) -> Self {
        Self {
            now: Duration::ZERO,
            service_time: Duration::from_millis(50),
            run_end: KeyEnd::Done,
            gossip_delay: Duration::ZERO,
            config,
            nodes: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            end_faults: BTreeMap::new(),
            queue: BinaryHeap::new(),
            queued: BTreeMap::new(),
            sequence: 0,
            next_update: Duration::ZERO,
            sent: BTreeMap::new(),
            runs: BTreeMap::new(),
            results: BTreeMap::new(),
            callers: 0,
        }
    }

    /// Starts an agent without any earlier state.
    pub(crate) fn start(&mut self, node: NodeId, domain: &str) {
        let starts = self.nodes.get(&node).map_or(0, |n| n.starts) + 1;
        let member = Member::new(node, domain);
        let seed = node * 1_000 + starts;
        let keys = Keys::new(member.clone(), self.config.clone(), seed, self.now);
        let mut changes = self.nodes.get(&node).map_or(vec![], |n| n.changes.clone());
        changes.push((self.now, true));
        self.nodes.insert(
            node,
            Node {
                member,
                keys: Some(keys),
                starts,
                changes,
                paused: false,
                deferred: Vec::new(),
            },
        );
        self.update_members();
    }

    /// Restarts an agent that was killed.
    pub(crate) fn restart(&mut self, node: NodeId) {
        let domain = self.nodes[&node].member.domain.clone();
        self.start(node, &domain);
    }

    /// Kills an agent, which loses all of its records.
    pub(crate) fn kill(&mut self, node: NodeId) {
        let now = self.now;
        let node = self.node_mut(node);
        node.keys = None;
        node.changes.push((now, false));
    }

    /// Shuts an agent down after it has sent its records to the others.
    pub(crate) fn leave(&mut self, node: NodeId) {
        let now = self.now;
        let Some(keys) = &mut self.node_mut(node).keys else {
            return;
        };
        let actions = keys.leave(now);
        self.execute(node, actions);
        self.advance(Duration::from_millis(20));
        self.kill(node);
    }

    /// Pauses the process of an agent.
    pub(crate) fn pause(&mut self, node: NodeId) {
        self.node_mut(node).paused = true;
    }

    /// Resumes the first paused process.
    pub(crate) fn resume_one(&mut self) {
        let Some(node) = self.nodes.values_mut().find(|n| n.paused) else {
            return;
        };
        node.paused = false;
        for event in std::mem::take(&mut node.deferred) {
            self.schedule(Duration::ZERO, event);
        }
    }

    /// Cuts or heals the link between two agents in both directions.
    pub(crate) fn cut(&mut self, a: NodeId, b: NodeId, is_cut: bool) {
        for pair in [(a, b), (b, a)] {
            if is_cut {
                self.cut_links.insert(pair);
            } else {
                self.cut_links.remove(&pair);
            }
        }
    }

    pub(crate) fn heal(&mut self) {
        self.cut_links.clear();
    }

    /// Returns the running agents.
    pub(crate) fn alive(&self) -> Vec<NodeId> {
        let alive = self
            .nodes
            .iter()
            .filter(|(_, n)| n.keys.is_some() && !n.paused);
        alive.map(|(node, _)| *node).collect()
    }

    /// Returns whether an agent grants claims.
    pub(crate) fn is_ready(&self, node: NodeId) -> bool {
        self.nodes[&node].keys.as_ref().is_some_and(Keys::is_ready)
    }

    /// Returns the number of records held by an agent.
    pub(crate) fn held(&self, node: NodeId) -> usize {
        self.nodes[&node].keys.as_ref().map_or(0, Keys::held)
    }

    /// Sends a request through an agent; returns the caller's number.
    pub(crate) fn send(&mut self, node: NodeId, key: &str, digest: u64) -> usize {
        self.callers += 1;
        let caller = self.callers;
        let now = self.now;
        let instance = self.nodes[&node].starts;
        let deadline = now + Duration::from_secs(2);
        let Some(keys) = &mut self.node_mut(node).keys else {
            return caller;
        };
        let (claim, actions) = keys.claim(now, key.as_bytes(), digest, deadline);
        let sent = Sent {
            key: key.as_bytes().to_vec(),
            caller,
        };
        self.sent.insert((node, instance, claim), sent);
        self.execute(node, actions);
        caller
    }

    /// Sends a request, waits for 1 s and returns what the caller received.
    pub(crate) fn send_and_wait(&mut self, node: NodeId, key: &str) -> Option<CallerResult> {
        let caller = self.send(node, key, 1);
        self.advance(Duration::from_secs(1));
        self.results.get(&caller).cloned()
    }

    /// Returns the number of times that a key ran.
    pub(crate) fn run_count(&self, key: &str) -> usize {
        self.runs.get(key.as_bytes()).map_or(0, Vec::len)
    }

    /// Advances the time.
    pub(crate) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step_to(end.min(self.now + Duration::from_millis(50)));
        }
    }

    fn step_to(&mut self, end: Duration) {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > end {
                self.queue.push(Reverse((at, id)));
                break;
            }
            self.now = self.now.max(at);
            if let Some(event) = self.queued.remove(&id) {
                self.handle(event);
            }
        }
        self.now = end;
        if self.now >= self.next_update {
            self.next_update = self.now + MEMBERS_INTERVAL;
            self.update_members();
        }
        for node in self.alive() {
            let now = self.now;
            let Some(keys) = &mut self.node_mut(node).keys else {
                continue;
            };
            let actions = keys.tick(now);
            self.execute(node, actions);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Deliver {
                from,
                to,
                instance,
                body,
            } => {
                let node = &self.nodes[&to];
                if self.cut_links.contains(&(from, to)) || node.starts != instance {
                    return;
                }
                if node.paused {
                    self.node_mut(to).deferred.push(Event::Deliver {
                        from,
                        to,
                        instance,
                        body,
                    });
                    return;
                }
                let Some(keys) = &mut self.node_mut(to).keys else {
                    return;
                };
                let actions = keys.received(now, from, body);
                self.execute(to, actions);
            }
            Event::Finish {
                node,
                instance,
                claim,
                end,
            } => {
                let target = &self.nodes[&node];
                if target.starts != instance {
                    return;
                }
                if target.paused {
                    self.node_mut(node).deferred.push(Event::Finish {
                        node,
                        instance,
                        claim,
                        end,
                    });
                    return;
                }
                let Some(keys) = &mut self.node_mut(node).keys else {
                    return;
                };
                let answer = (end == KeyEnd::Done).then(answer);
                let actions = keys.finished(now, claim, end, answer);
                self.execute(node, actions);
                self.record_result(node, claim, CallerResult::Ran);
            }
        }
    }

    fn execute(&mut self, node: NodeId, actions: Vec<KeyAction>) {
        for action in actions {
            match action {
                KeyAction::Send { to, body } => {
                    let instance = self.nodes.get(&to).map_or(0, |n| n.starts);
                    let Some(delay) = self.delay(to, &body) else {
                        continue;
                    };
                    self.schedule(
                        delay,
                        Event::Deliver {
                            from: node,
                            to,
                            instance,
                            body,
                        },
                    );
                }
                KeyAction::Run { claim } => self.run(node, claim),
                KeyAction::Replay { claim, answer } => {
                    self.record_result(node, claim, CallerResult::Replayed(answer.status));
                }
                KeyAction::Refuse { claim, refusal } => {
                    let result = CallerResult::Refused(refusal.problem.name(), refusal.not_run);
                    self.record_result(node, claim, result);
                }
            }
        }
    }

    /// Returns the delay of a message, or `None` if it is lost.
    fn delay(&mut self, to: NodeId, body: &RequestBody) -> Option<Duration> {
        let is_end = matches!(body, RequestBody::KeyDone(_));
        match self.end_faults.get_mut(&to).filter(|_| is_end) {
            None | Some(EndFault::Lost(0)) => Some(LINK_DELAY),
            Some(EndFault::Late(delay)) => Some(*delay),
            Some(EndFault::Lost(count)) => {
                *count -= 1;
                None
            }
        }
    }

    fn run(&mut self, node: NodeId, claim: ClaimKey) {
        let instance = self.nodes[&node].starts;
        let key = self.sent[&(node, instance, claim)].key.clone();
        if self.run_end != KeyEnd::NotRun {
            self.runs.entry(key).or_default().push(self.now);
        }
        let event = Event::Finish {
            node,
            instance,
            claim,
            end: self.run_end,
        };
        self.schedule(self.service_time, event);
    }

    fn record_result(&mut self, node: NodeId, claim: ClaimKey, result: CallerResult) {
        let instance = self.nodes[&node].starts;
        if let Some(sent) = self.sent.get(&(node, instance, claim)) {
            let previous = self.results.insert(sent.caller, result);
            assert_eq!(previous, None, "caller {} got two results", sent.caller);
        }
    }

    fn update_members(&mut self) {
        let now = self.now;
        for node in self.alive() {
            let others = self.nodes.values().filter(|n| n.member.node != node);
            let present = others.filter(|n| !self.cut_links.contains(&(n.member.node, node)));
            let present = present.filter(|n| self.considers_present(node, n));
            let present: Vec<_> = present.map(|n| n.member.clone()).collect();
            let Some(keys) = &mut self.node_mut(node).keys else {
                continue;
            };
            let actions = keys.set_members(now, &present);
            self.execute(node, actions);
        }
    }

    /// Returns whether an agent considers another one present.
    ///
    /// It learns of changes with a fraction of the maximum delay that differs between pairs of
    /// agents.
    fn considers_present(&self, node: NodeId, other: &Node) -> bool {
        if self.gossip_delay.is_zero() {
            return other.keys.is_some() && !other.paused;
        }
        let tenths = (node * 7 + other.member.node * 3) % 10;
        let known_until = self.now.checked_sub(self.gossip_delay / 10 * tenths as u32);
        let latest = other
            .changes
            .iter()
            .rev()
            .find(|(at, _)| Some(*at) <= known_until);
        latest.is_some_and(|(_, runs)| *runs)
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.queued.insert(self.sequence, event);
    }

    fn node_mut(&mut self, node: NodeId) -> &mut Node {
        self.nodes.get_mut(&node).expect("known node")
    }
}

fn answer() -> StoredAnswer {
    StoredAnswer {
        status: 201,
        body: b"ok".to_vec(),
        ..StoredAnswer::default()
    }
}
