//! Agents of one service that hold idempotency records, with links that can be cut.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use buckthornweir_requests::NodeId;
use buckthornweir_requests::idempotency::{ClaimKey, KeyAction, Keys, KeysConfig, Member};
use buckthornweir_requests::messages::{KeyEnd, RequestBody, StoredAnswer};

/// One way between two agents.
const LINK: Duration = Duration::from_millis(2);
/// Time between two looks at who is there.
const LOOK: Duration = Duration::from_secs(1);

/// What a caller got.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Got {
    /// The answer of the run that it started.
    Ran,
    /// The answer of an earlier run.
    Replayed(u32),
    /// A refusal, with its name and whether it says "not run".
    Refused(&'static str, bool),
}

/// What happens to ends of claims on their way to an agent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EndFault {
    /// They take so long.
    Late(Duration),
    /// So many are lost.
    Lost(u32),
}

#[derive(Debug)]
struct Node {
    member: Member,
    keys: Option<Keys>,
    starts: u64,
    /// When it started or ended, and whether it runs since.
    changes: Vec<(Duration, bool)>,
    frozen: bool,
    /// What came while the process stood still.
    held: Vec<Event>,
}

#[derive(Debug)]
enum Event {
    Deliver {
        from: NodeId,
        to: NodeId,
        life: u64,
        body: RequestBody,
    },
    Finish {
        node: NodeId,
        life: u64,
        claim: ClaimKey,
        end: KeyEnd,
    },
}

#[derive(Clone, Debug)]
struct Sent {
    key: Vec<u8>,
    caller: usize,
}

/// The agents, their links, and the books of the backend servers and the callers.
#[derive(Debug)]
pub(crate) struct KeyNet {
    pub(crate) now: Duration,
    /// Time that a request runs.
    pub(crate) service: Duration,
    /// How runs end.
    pub(crate) end: KeyEnd,
    /// Longest time that news of a member takes to reach another.
    pub(crate) news: Duration,
    config: KeysConfig,
    nodes: BTreeMap<NodeId, Node>,
    cut: BTreeSet<(NodeId, NodeId)>,
    /// What happens to ends of claims on their way to an agent.
    pub(crate) ends: BTreeMap<NodeId, EndFault>,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    bodies: BTreeMap<u64, Event>,
    sequence: u64,
    look: Duration,
    sent: BTreeMap<(NodeId, u64, ClaimKey), Sent>,
    /// Times at which each key ran.
    pub(crate) runs: BTreeMap<Vec<u8>, Vec<Duration>>,
    /// What each caller got.
    pub(crate) got: BTreeMap<usize, Got>,
    callers: usize,
}

/// Returns the settings of all agents: short times, so that tests are short.
pub(crate) fn config() -> KeysConfig {
    KeysConfig {
        record_ttl: Duration::from_secs(25),
        absence_timeout: Duration::from_secs(50),
        settle_delay: Duration::from_secs(4),
        ..KeysConfig::default()
    }
}

impl KeyNet {
    /// Returns a service of agents in these failure domains, numbered from 1 on, that is ready.
    pub(crate) fn new(domains: &[&str]) -> Self {
        let mut net = Self::empty(config().with_first_start(true));
        for (index, domain) in domains.iter().enumerate() {
            net.start(index as NodeId + 1, domain);
        }
        net.pass(Duration::from_secs(6));
        net.config = config();
        net
    }

    /// Returns a service without agents.
    pub(crate) fn empty(config: KeysConfig) -> Self {
        Self {
            now: Duration::ZERO,
            service: Duration::from_millis(50),
            end: KeyEnd::Done,
            news: Duration::ZERO,
            config,
            nodes: BTreeMap::new(),
            cut: BTreeSet::new(),
            ends: BTreeMap::new(),
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            sequence: 0,
            look: Duration::ZERO,
            sent: BTreeMap::new(),
            runs: BTreeMap::new(),
            got: BTreeMap::new(),
            callers: 0,
        }
    }

    /// Starts an agent, with nothing of an earlier life.
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
                frozen: false,
                held: Vec::new(),
            },
        );
        self.look_around();
    }

    /// Starts an agent again that was killed.
    pub(crate) fn restart(&mut self, node: NodeId) {
        let domain = self.nodes[&node].member.domain.clone();
        self.start(node, &domain);
    }

    /// Ends an agent at once; all that it held is lost.
    pub(crate) fn kill(&mut self, node: NodeId) {
        let now = self.now;
        let node = self.node(node);
        node.keys = None;
        node.changes.push((now, false));
    }

    /// Lets an agent hand its records over and ends it.
    pub(crate) fn leave(&mut self, node: NodeId) {
        let now = self.now;
        let Some(keys) = &mut self.node(node).keys else {
            return;
        };
        let actions = keys.leave(now);
        self.carry_out(node, actions);
        self.pass(Duration::from_millis(20));
        self.kill(node);
    }

    /// Stops a process.
    pub(crate) fn freeze(&mut self, node: NodeId) {
        self.node(node).frozen = true;
    }

    /// Continues the first process that stands still.
    pub(crate) fn thaw_one(&mut self) {
        let Some(node) = self.nodes.values_mut().find(|n| n.frozen) else {
            return;
        };
        node.frozen = false;
        for event in std::mem::take(&mut node.held) {
            self.after(Duration::ZERO, event);
        }
    }

    /// Cuts or heals the link between two agents, both ways.
    pub(crate) fn cut(&mut self, a: NodeId, b: NodeId, is_cut: bool) {
        for pair in [(a, b), (b, a)] {
            if is_cut {
                self.cut.insert(pair);
            } else {
                self.cut.remove(&pair);
            }
        }
    }

    pub(crate) fn heal(&mut self) {
        self.cut.clear();
    }

    /// Returns the agents that run.
    pub(crate) fn alive(&self) -> Vec<NodeId> {
        let alive = self
            .nodes
            .iter()
            .filter(|(_, n)| n.keys.is_some() && !n.frozen);
        alive.map(|(node, _)| *node).collect()
    }

    /// Returns whether the agent grants claims.
    pub(crate) fn is_ready(&self, node: NodeId) -> bool {
        self.nodes[&node].keys.as_ref().is_some_and(Keys::is_ready)
    }

    /// Returns the number of records that the agent holds.
    pub(crate) fn held(&self, node: NodeId) -> usize {
        self.nodes[&node].keys.as_ref().map_or(0, Keys::held)
    }

    /// Sends a request through an agent; returns the caller's number.
    pub(crate) fn send(&mut self, node: NodeId, key: &str, digest: u64) -> usize {
        self.callers += 1;
        let caller = self.callers;
        let now = self.now;
        let life = self.nodes[&node].starts;
        let deadline = now + Duration::from_secs(2);
        let Some(keys) = &mut self.node(node).keys else {
            return caller;
        };
        let (claim, actions) = keys.claim(now, key.as_bytes(), digest, deadline);
        let sent = Sent {
            key: key.as_bytes().to_vec(),
            caller,
        };
        self.sent.insert((node, life, claim), sent);
        self.carry_out(node, actions);
        caller
    }

    /// Sends a request, lets a second pass and returns what the caller got.
    pub(crate) fn ask(&mut self, node: NodeId, key: &str) -> Option<Got> {
        let caller = self.send(node, key, 1);
        self.pass(Duration::from_secs(1));
        self.got.get(&caller).cloned()
    }

    /// Returns how often a key ran.
    pub(crate) fn count(&self, key: &str) -> usize {
        self.runs.get(key.as_bytes()).map_or(0, Vec::len)
    }

    /// Lets time pass.
    pub(crate) fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step_to(end.min(self.now + Duration::from_millis(50)));
        }
    }

    fn step_to(&mut self, end: Duration) {
        while let Some(Reverse((at, id))) = self.events.pop() {
            if at > end {
                self.events.push(Reverse((at, id)));
                break;
            }
            self.now = self.now.max(at);
            if let Some(event) = self.bodies.remove(&id) {
                self.handle(event);
            }
        }
        self.now = end;
        if self.now >= self.look {
            self.look = self.now + LOOK;
            self.look_around();
        }
        for node in self.alive() {
            let now = self.now;
            let Some(keys) = &mut self.node(node).keys else {
                continue;
            };
            let actions = keys.tick(now);
            self.carry_out(node, actions);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Deliver {
                from,
                to,
                life,
                body,
            } => {
                let node = &self.nodes[&to];
                if self.cut.contains(&(from, to)) || node.starts != life {
                    return;
                }
                if node.frozen {
                    self.node(to).held.push(Event::Deliver {
                        from,
                        to,
                        life,
                        body,
                    });
                    return;
                }
                let Some(keys) = &mut self.node(to).keys else {
                    return;
                };
                let actions = keys.received(now, from, body);
                self.carry_out(to, actions);
            }
            Event::Finish {
                node,
                life,
                claim,
                end,
            } => {
                let found = &self.nodes[&node];
                if found.starts != life {
                    return;
                }
                if found.frozen {
                    self.node(node).held.push(Event::Finish {
                        node,
                        life,
                        claim,
                        end,
                    });
                    return;
                }
                let Some(keys) = &mut self.node(node).keys else {
                    return;
                };
                let answer = (end == KeyEnd::Done).then(answer);
                let actions = keys.finished(now, claim, end, answer);
                self.carry_out(node, actions);
                self.tell(node, claim, Got::Ran);
            }
        }
    }

    fn carry_out(&mut self, node: NodeId, actions: Vec<KeyAction>) {
        for action in actions {
            match action {
                KeyAction::Send { to, body } => {
                    let life = self.nodes.get(&to).map_or(0, |n| n.starts);
                    let Some(delay) = self.delay(to, &body) else {
                        continue;
                    };
                    self.after(
                        delay,
                        Event::Deliver {
                            from: node,
                            to,
                            life,
                            body,
                        },
                    );
                }
                KeyAction::Run { claim } => self.run(node, claim),
                KeyAction::Replay { claim, answer } => {
                    self.tell(node, claim, Got::Replayed(answer.status));
                }
                KeyAction::Refuse { claim, refusal } => {
                    let got = Got::Refused(refusal.problem.name(), refusal.not_run);
                    self.tell(node, claim, got);
                }
            }
        }
    }

    /// Returns how long a message is on its way; none if it is lost.
    fn delay(&mut self, to: NodeId, body: &RequestBody) -> Option<Duration> {
        let is_end = matches!(body, RequestBody::KeyDone(_));
        match self.ends.get_mut(&to).filter(|_| is_end) {
            None | Some(EndFault::Lost(0)) => Some(LINK),
            Some(EndFault::Late(delay)) => Some(*delay),
            Some(EndFault::Lost(count)) => {
                *count -= 1;
                None
            }
        }
    }

    fn run(&mut self, node: NodeId, claim: ClaimKey) {
        let life = self.nodes[&node].starts;
        let key = self.sent[&(node, life, claim)].key.clone();
        if self.end != KeyEnd::NotRun {
            self.runs.entry(key).or_default().push(self.now);
        }
        let event = Event::Finish {
            node,
            life,
            claim,
            end: self.end,
        };
        self.after(self.service, event);
    }

    fn tell(&mut self, node: NodeId, claim: ClaimKey, got: Got) {
        let life = self.nodes[&node].starts;
        if let Some(sent) = self.sent.get(&(node, life, claim)) {
            let earlier = self.got.insert(sent.caller, got);
            assert_eq!(earlier, None, "caller {} got two answers", sent.caller);
        }
    }

    fn look_around(&mut self) {
        let now = self.now;
        for node in self.alive() {
            let others = self.nodes.values().filter(|n| n.member.node != node);
            let seen = others.filter(|n| !self.cut.contains(&(n.member.node, node)));
            let seen = seen.filter(|n| self.sees(node, n));
            let seen: Vec<_> = seen.map(|n| n.member.clone()).collect();
            let Some(keys) = &mut self.node(node).keys else {
                continue;
            };
            let actions = keys.set_members(now, &seen);
            self.carry_out(node, actions);
        }
    }

    /// Returns whether an agent takes another one for there; news are late by a part of their longest
    /// time that differs between the two agents.
    fn sees(&self, node: NodeId, other: &Node) -> bool {
        if self.news.is_zero() {
            return other.keys.is_some() && !other.frozen;
        }
        let part = (node * 7 + other.member.node * 3) % 10;
        let known = self.now.checked_sub(self.news / 10 * part as u32);
        let heard = other
            .changes
            .iter()
            .rev()
            .find(|(at, _)| Some(*at) <= known);
        heard.is_some_and(|(_, runs)| *runs)
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence)));
        self.bodies.insert(self.sequence, event);
    }

    fn node(&mut self, node: NodeId) -> &mut Node {
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
