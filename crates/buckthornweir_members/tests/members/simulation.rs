//! A simulated network of cores with loss, delay, partitions and pauses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use buckthornweir_members::messages::{Body, Header, MAX_ENTRIES, Rumour};
use buckthornweir_members::prelude::*;
use buckthornweir_members::{Counters, Roster, RosterRequest};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The bytes of overhead that IP, UDP and authentication add to each message.
pub(crate) const OVERHEAD_BYTES: usize = 64;

/// The maximum number of messages queued for a paused process, like a socket's receive buffer.
const INBOX_CAPACITY: usize = 200;

/// The duration of a bundle pull.
const PULL_TIME: Duration = Duration::from_millis(20);

/// The time until a connection to an unreachable process fails.
const CONNECT_TIME: Duration = Duration::from_millis(500);

type Partition = Box<dyn Fn(SocketAddr, SocketAddr) -> bool>;

enum Event {
    Datagram {
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    BundlePulled {
        stamp: BundleStamp,
    },
    RosterRequested {
        from: SocketAddr,
        request: RosterRequest,
    },
    RosterReceived {
        from: SocketAddr,
        roster: Option<Roster>,
    },
}

pub(crate) struct Process {
    pub(crate) members: Members,
    pub(crate) received_bytes: u64,
    /// Bytes of roster requests and responses, both counted at the requesting process.
    pub(crate) roster_bytes: u64,
    pub(crate) fetches: u64,
    pub(crate) conflicts: Vec<bool>,
    pub(crate) pulls: Vec<u64>,
    pub(crate) busy: Duration,
    /// The offset in seconds of the process's clock from the simulated time.
    clock_offset: f64,
    next_tick: Duration,
    paused_until: Duration,
    inbox: Vec<(SocketAddr, Vec<u8>)>,
}

/// Runs several cores in simulated time.
pub(crate) struct Simulation {
    pub(crate) now: Duration,
    pub(crate) loss: f64,
    pub(crate) partitions: Vec<Partition>,
    pub(crate) processes: BTreeMap<SocketAddr, Process>,
    config: Config,
    rng: ChaCha8Rng,
    events: BTreeMap<(Duration, u64), (SocketAddr, Event)>,
    count: u64,
    /// Whether to measure the processor time spent in cores.
    pub(crate) timed: bool,
    /// The number of upcoming bundle pulls that fail.
    pub(crate) pull_failures: u32,
}

pub(crate) fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

pub(crate) fn address(index: u64) -> SocketAddr {
    let [.., a, b, c] = index.to_be_bytes();
    SocketAddr::from(([10, a, b, c], 7_000))
}

/// Returns the record of an agent in the failure domain `index % domains`.
pub(crate) fn record(index: u64, domains: u64) -> Record {
    Record::new(index, &format!("agent-{index}"), address(index))
        .with_roles(Roles::AGENT)
        .with_domain(&format!("domain-{}", index % domains))
        .with_service("orders")
        .with_state(MemberState::Ready)
        .with_weight(16)
        .with_incarnation(100)
}

/// Returns the index from which [`address`] created an address.
pub(crate) fn index_of(address: SocketAddr) -> u64 {
    match address {
        SocketAddr::V4(address) => u64::from(u32::from(*address.ip()) & 0xff_ffff),
        SocketAddr::V6(_) => 0,
    }
}

pub(crate) fn stamp(version: u64) -> BundleStamp {
    BundleStamp {
        version,
        digest: [version as u8; 32],
    }
}

/// Returns the rumour by which a process introduces itself to a seed.
fn introduction_rumour(members: &mut Members) -> Rumour {
    let introduction = members
        .tick(Duration::ZERO)
        .into_iter()
        .find_map(|action| match action {
            Action::Send { message, .. } => Some(message),
            _ => None,
        });
    let message = introduction.expect("a process without members introduces itself to its seeds");
    message
        .rumours
        .into_iter()
        .next()
        .expect("an introduction contains the sender's record")
}

/// Returns a message with these rumours from a member outside the simulation.
fn external_message(rumours: &[Rumour]) -> Message {
    let header = Header {
        node: u64::MAX,
        instance: 0,
        incarnation: 0,
        state: MemberState::Left,
        weight: 0,
        free: 0,
        bundle: BundleStamp::default(),
        table: 0,
    };
    let body = Body::Chunk {
        sequence: 0,
        more: false,
    };
    Message {
        header,
        rumours: rumours.to_vec(),
        deaths: Vec::new(),
        refutations: Vec::new(),
        body,
    }
}

impl Simulation {
    pub(crate) fn new(config: Config, seed: u64) -> Self {
        Self {
            now: Duration::ZERO,
            loss: 0.0,
            partitions: Vec::new(),
            processes: BTreeMap::new(),
            config,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            count: 0,
            timed: false,
            pull_failures: 0,
        }
    }

    /// Starts members 1 to `count` in three failure domains and runs until all know each other.
    pub(crate) fn joined(count: u64, seed: u64) -> Self {
        let mut sim = Self::new(Config::default(), seed);
        for index in 1..=count {
            sim.start(record(index, 3));
        }
        let took = sim.run_until(seconds(120.0), Self::is_complete);
        assert!(took.is_some(), "{count} members did not join");
        sim.run(seconds(15.0));
        sim
    }

    /// Starts members 1 to `count` with tables that are already complete.
    pub(crate) fn filled(count: u64, seed: u64) -> Self {
        Self::filled_with(Config::default(), count, seed)
    }

    /// Starts members 1 to `count` with tables that are already complete, using the given configuration.
    pub(crate) fn filled_with(config: Config, count: u64, seed: u64) -> Self {
        let mut sim = Self::new(config, seed);
        let mut rumours = Vec::new();
        for index in 1..=count {
            let seed = sim.rng.random();
            let seeds = vec![address(1 + index % count), address(0)];
            let mut members = Members::new(sim.config.clone(), record(index, 7), seeds, seed);
            rumours.push(introduction_rumour(&mut members));
            sim.insert(address(index), members);
        }
        for chunk in rumours.chunks(MAX_ENTRIES) {
            let at: Vec<_> = sim.processes.keys().copied().collect();
            for at in at {
                sim.act(at, |members, now| {
                    let message = external_message(chunk);
                    members.handle(now, address(0), message);
                    Vec::new()
                });
            }
        }
        sim
    }

    /// Starts a process with the first three members as its seeds.
    pub(crate) fn start(&mut self, record: Record) {
        let seeds = (1..=3).map(address).collect();
        let seed = self.rng.random();
        let config = self.config.clone();
        let address = record.gossip;
        self.insert(address, Members::new(config, record, seeds, seed));
    }

    pub(crate) fn insert(&mut self, address: SocketAddr, members: Members) {
        let process = Process {
            members,
            received_bytes: 0,
            roster_bytes: 0,
            fetches: 0,
            conflicts: Vec::new(),
            pulls: Vec::new(),
            busy: Duration::ZERO,
            clock_offset: -self.now.as_secs_f64(),
            next_tick: self.now,
            paused_until: Duration::ZERO,
            inbox: Vec::new(),
        };
        self.processes.insert(address, process);
    }

    pub(crate) fn kill(&mut self, index: u64) -> Option<Process> {
        self.processes.remove(&address(index))
    }

    pub(crate) fn pause(&mut self, index: u64, length: Duration) {
        let until = self.now + length;
        let process = self.process(address(index));
        process.paused_until = until;
        process.next_tick = until;
    }

    /// Adds a step in seconds to the clock of a process.
    pub(crate) fn step_clock(&mut self, index: u64, step: f64) {
        self.process(address(index)).clock_offset += step;
    }

    pub(crate) fn members(&self, index: u64) -> &Members {
        &self.processes[&address(index)].members
    }

    pub(crate) fn process(&mut self, at: SocketAddr) -> &mut Process {
        self.processes.get_mut(&at).expect("the process runs")
    }

    /// Calls into one core and executes its actions.
    pub(crate) fn act(
        &mut self,
        at: SocketAddr,
        call: impl FnOnce(&mut Members, Duration) -> Vec<Action>,
    ) {
        let Some(process) = self.processes.get_mut(&at) else {
            return;
        };
        let began = self.timed.then(std::time::Instant::now);
        let clock = (self.now.as_secs_f64() + process.clock_offset).max(0.0);
        let actions = call(&mut process.members, seconds(clock));
        if let Some(began) = began {
            process.busy += began.elapsed();
        }
        for action in actions {
            self.execute(at, action);
        }
    }

    pub(crate) fn announce(&mut self, index: u64, change: Announcement) {
        self.act(address(index), |members, now| members.announce(now, change));
    }

    pub(crate) fn run(&mut self, length: Duration) {
        self.run_until(length, |_| false);
    }

    /// Runs until `done` returns true, checked every 50 ms. Returns the elapsed time, or `None` at the limit.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let began = self.now;
        while self.now < began + limit {
            self.advance();
            if done(self) {
                return Some(self.now - began);
            }
        }
        None
    }

    /// Advances the time by 50 ms: delivers due events, then runs due ticks.
    fn advance(&mut self) {
        let end = self.now + Duration::from_millis(50);
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= end
        {
            let ((at, _), (to, event)) = entry.remove_entry();
            self.now = at;
            self.deliver(to, event);
        }
        self.now = end;
        let due = self
            .processes
            .iter()
            .filter(|(_, process)| process.next_tick <= end);
        for at in due.map(|(&at, _)| at).collect::<Vec<_>>() {
            self.wake(at);
            self.act(at, Members::tick);
            let now = self.now.as_secs_f64();
            let process = self.process(at);
            let wait = process.members.next_tick().as_secs_f64() - now - process.clock_offset;
            process.next_tick = seconds(now + wait.max(0.0));
        }
    }

    fn wake(&mut self, at: SocketAddr) {
        let inbox = std::mem::take(&mut self.process(at).inbox);
        for (from, bytes) in inbox {
            self.receive(at, from, &bytes);
        }
    }

    fn deliver(&mut self, to: SocketAddr, event: Event) {
        let Some(process) = self.processes.get_mut(&to) else {
            return;
        };
        match event {
            Event::Datagram { from, bytes } if self.now < process.paused_until => {
                if process.inbox.len() < INBOX_CAPACITY {
                    process.inbox.push((from, bytes));
                }
            }
            // Connections of a paused process stall, and the fetch times out before the process resumes.
            Event::RosterRequested { .. } | Event::RosterReceived { .. }
                if self.now < process.paused_until => {}
            Event::RosterRequested { from, request } => self.answer_roster(to, from, request),
            Event::RosterReceived { from, roster } => {
                self.act(to, |members, now| members.handle_roster(now, from, roster));
            }
            Event::Datagram { from, bytes } => self.receive(to, from, &bytes),
            Event::BundlePulled { stamp } => {
                self.act(to, |members, now| {
                    members.announce(now, Announcement::Bundle(stamp))
                });
            }
        }
    }

    fn receive(&mut self, to: SocketAddr, from: SocketAddr, bytes: &[u8]) {
        self.process(to).received_bytes += (bytes.len() + OVERHEAD_BYTES) as u64;
        self.act(to, |members, now| {
            let message = Message::decode(bytes).expect("a core sends valid messages");
            members.handle(now, from, message)
        });
    }

    fn execute(&mut self, from: SocketAddr, action: Action) {
        match action {
            Action::Send { to, message } => self.send(from, to, &message),
            Action::PullBundle { stamp, .. } => {
                self.process(from).pulls.push(stamp.version);
                if self.pull_failures > 0 {
                    self.pull_failures -= 1;
                } else {
                    self.push(PULL_TIME, from, Event::BundlePulled { stamp });
                }
            }
            Action::FetchRoster { from: responder } => self.request_roster(from, responder),
            Action::Conflict { keeps, .. } => {
                self.process(from).conflicts.push(keeps);
            }
            Action::Updated { .. } | Action::Removed { .. } => {}
        }
    }

    fn request_roster(&mut self, from: SocketAddr, responder: SocketAddr) {
        let process = self.process(from);
        let request = process.members.roster_request();
        let bytes = request.introduction.encode().len() + 4 * request.digests.len();
        process.fetches += 1;
        process.roster_bytes += bytes as u64;
        let unreachable = self
            .partitions
            .iter()
            .any(|partition| partition(from, responder) || partition(responder, from));
        if unreachable || !self.processes.contains_key(&responder) {
            let roster = None;
            return self.push(
                CONNECT_TIME,
                from,
                Event::RosterReceived {
                    from: responder,
                    roster,
                },
            );
        }
        // Establishing the connection takes one round trip before the request is sent.
        let delay = self.delay() * 3;
        self.push(delay, responder, Event::RosterRequested { from, request });
    }

    fn answer_roster(
        &mut self,
        responder: SocketAddr,
        requester: SocketAddr,
        request: RosterRequest,
    ) {
        let mut response = None;
        self.act(responder, |members, now| {
            let (roster, actions) = members.answer_roster(now, requester, request);
            response = Some(roster);
            actions
        });
        let bytes = response.iter().flat_map(|roster| &roster.messages);
        let bytes: usize = bytes.map(|message| message.encode().len()).sum();
        let bytes = bytes
            + response
                .iter()
                .map(|roster| 4 * roster.digests.len())
                .sum::<usize>();
        if let Some(process) = self.processes.get_mut(&requester) {
            process.roster_bytes += bytes as u64;
        }
        let delay = self.delay();
        self.push(
            delay,
            requester,
            Event::RosterReceived {
                from: responder,
                roster: response,
            },
        );
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(300..3_000))
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: &Message) {
        let began = self.timed.then(std::time::Instant::now);
        let bytes = message.encode();
        if let Some(began) = began {
            self.process(from).busy += began.elapsed();
        }
        assert!(
            bytes.len() + OVERHEAD_BYTES <= 1_200,
            "datagram of {} bytes",
            bytes.len() + OVERHEAD_BYTES
        );
        if self.partitions.iter().any(|partition| partition(from, to))
            || self.rng.random_bool(self.loss)
        {
            return;
        }
        let delay = self.delay();
        self.push(delay, to, Event::Datagram { from, bytes });
    }

    fn push(&mut self, delay: Duration, to: SocketAddr, event: Event) {
        self.count += 1;
        self.events
            .insert((self.now + delay, self.count), (to, event));
    }

    /// Returns whether all other running processes see `node` with this health.
    pub(crate) fn all_see_as(&self, node: NodeId, health: Health) -> bool {
        let others = self
            .processes
            .values()
            .filter(|process| process.members.own().node != node);
        others
            .map(|process| process.members.get(node))
            .all(|held| held.is_some_and(|(_, held)| held == health))
    }

    /// Returns the number of running processes that see `node` with this health.
    pub(crate) fn count_with_health(&self, node: NodeId, health: Health) -> usize {
        let held = self
            .processes
            .values()
            .filter_map(|process| process.members.get(node));
        held.filter(|(_, held)| *held == health).count()
    }

    /// Returns whether each running process considers as many members alive as there are running processes.
    pub(crate) fn is_complete(&self) -> bool {
        let running = self.processes.len();
        self.processes.values().all(|process| {
            let alive = process
                .members
                .iter()
                .filter(|(_, health)| *health == Health::Alive);
            alive.count() == running
        })
    }

    /// Returns whether all running processes consider exactly the running ones alive and all others dead.
    pub(crate) fn is_complete_without_dead(&self) -> bool {
        let running = |node| {
            self.processes
                .values()
                .any(|other| other.members.own().node == node)
        };
        self.processes.values().all(|process| {
            process.members.iter().all(|(record, health)| {
                let expected = if running(record.node) {
                    Health::Alive
                } else {
                    Health::Dead
                };
                health == expected
            })
        })
    }

    /// Returns whether all other processes see `node` in this state.
    pub(crate) fn all_see_state(&self, node: NodeId, state: MemberState) -> bool {
        let others = self
            .processes
            .values()
            .filter(|process| process.members.own().node != node);
        let mut held = others.map(|process| process.members.get(node));
        held.all(|held| held.is_some_and(|(record, _)| record.state == state))
    }

    /// Returns whether this bundle is in force at all processes.
    pub(crate) fn all_have_bundle(&self, stamp: BundleStamp) -> bool {
        self.processes
            .values()
            .all(|process| process.members.own().bundle == stamp)
    }

    /// Returns whether all running processes have the current record of each other.
    pub(crate) fn is_converged(&self) -> bool {
        self.processes.values().all(|process| {
            let own = process.members.own();
            self.processes.values().all(|other| {
                other.members.get(own.node).is_some_and(|(record, _)| {
                    (record.incarnation, record.state, record.weight)
                        == (own.incarnation, own.state, own.weight)
                })
            })
        })
    }

    pub(crate) fn total(&self, count: impl Fn(Counters) -> u64) -> u64 {
        self.processes
            .values()
            .map(|process| count(process.members.counters()))
            .sum()
    }
}
