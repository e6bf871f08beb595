//! The membership state machine.

mod anti_entropy;
mod bundles;
mod contacts;
mod dissemination;
mod identity;
mod merging;
mod probing;
mod rosters;
mod sampling;
mod suspicion;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::anti_entropy::AntiEntropy;
use self::bundles::Bundles;
use self::contacts::Introductions;
use self::identity::Identity;
use self::probing::Probing;
use self::rosters::Rosters;
pub use self::rosters::{Filling, Roster, RosterRequest};
use self::suspicion::Suspicions;
use crate::budget::Budget;
use crate::messages::{Body, Rumour};
use crate::record::{ANY_INSTANCE, MAX_WEIGHT, coarse_free};
use crate::rumours::{Priority, RumourQueue};
use crate::table::{Entry, Table};
use crate::{
    Action, Announcement, BundleStamp, Config, Counters, Health, Instance, MemberState, Message,
    NodeId, Record,
};

/// The minimum time between two ticks.
const MIN_TICK: Duration = Duration::from_millis(20);

/// The maximum time between two ticks.
const MAX_TICK: Duration = Duration::from_millis(250);

/// The interval at which dead members past [`Config::forget_after`] are removed.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// Tracks the members of the fabric and spreads changes of their records.
///
/// All times are durations since the process started, measured by a monotonic clock.
#[derive(Debug)]
pub struct Members {
    config: Config,
    own: NodeId,
    instance: Instance,
    seeds: Vec<SocketAddr>,
    rng: ChaCha8Rng,
    table: Table,
    rumours: RumourQueue,
    budget: Budget,
    counters: Counters,
    identity: Identity,
    probing: Probing,
    suspicions: Suspicions,
    anti_entropy: AntiEntropy,
    rosters: Rosters,
    introductions: Introductions,
    bundles: Bundles,
    now: Duration,
    started: bool,
    /// When the last message arrived.
    last_received: Duration,
    /// When a rumour last changed another member's record or health.
    changed: Duration,
    next_gossip: Duration,
    next_contact: Duration,
    next_forget: Duration,
    next_report: Duration,
    report_due: bool,
    /// Nodes whose records are requested from the sender of the current message.
    wanted: Vec<NodeId>,
    /// Rumours to send to the sender of the current message.
    reply_rumours: Vec<Rumour>,
    actions: Vec<Action>,
}

impl Members {
    /// Creates the core of a process that announces the record `own` and discovers other members through
    /// `seeds`.
    ///
    /// The random seed must be different in each process and at each start.
    pub fn new(config: Config, own: Record, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let instance = rng.next_u32().max(ANY_INSTANCE + 1);
        let node = own.node;
        let bundle = own.bundle;
        let entry = Entry {
            record: Arc::new(own),
            instance,
            health: Health::Alive,
            changed: Duration::ZERO,
        };
        let (rate, burst) = config.byte_bucket();
        let mut rumours = RumourQueue::default();
        rumours.push(node, Priority::Change, true);
        Self {
            budget: Budget::new(rate, burst),
            anti_entropy: AntiEntropy::new(&config),
            rosters: Rosters::new(&config),
            introductions: Introductions::default(),
            bundles: Bundles::new(bundle),
            config,
            own: node,
            instance,
            seeds,
            rng,
            table: Table::new(entry),
            rumours,
            counters: Counters::default(),
            identity: Identity::default(),
            probing: Probing::default(),
            suspicions: Suspicions::default(),
            now: Duration::ZERO,
            started: false,
            last_received: Duration::ZERO,
            changed: Duration::ZERO,
            next_gossip: Duration::ZERO,
            next_contact: Duration::ZERO,
            next_forget: Duration::ZERO,
            next_report: Duration::ZERO,
            report_due: false,
            wanted: Vec::new(),
            reply_rumours: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Handles a message received from the address `from`.
    pub fn handle(&mut self, now: Duration, from: SocketAddr, message: Message) -> Vec<Action> {
        self.advance(now);
        self.counters.received_messages += 1;
        if message.header.node == self.own {
            self.handle_duplicate_id(from, &message);
            return self.take_actions();
        }
        self.check_silence(self.now - self.last_received);
        self.last_received = self.now;
        self.introductions.note_answer(from);
        let sender = message.header.node;
        self.merge_header(&message.header);
        let spread = !matches!(message.body, Body::Chunk { .. });
        for rumour in &message.rumours {
            self.merge_rumour(sender, rumour, spread);
        }
        for &fingerprint in &message.deaths {
            self.merge_death(sender, fingerprint);
        }
        for &fingerprint in &message.refutations {
            self.merge_refutation(sender, fingerprint);
        }
        if !self.identity.has_yielded() {
            if is_introduction(sender, &message.rumours, &message.body) {
                self.answer_introduction(sender);
            } else {
                self.repeat_changes(&message);
            }
            self.handle_body(from, sender, message.body);
            self.send_replies(from);
            self.compare_digest(from, message.header.table);
            self.push_changes();
        }
        self.take_actions()
    }

    /// Performs the tasks that are due. The caller calls it at [`Members::next_tick`] or every 50 ms.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.advance(now);
        if self.identity.has_yielded() {
            self.check_duplicate_id();
            return self.take_actions();
        }
        if !self.has_left() {
            self.tick_probes();
            self.tick_suspicions();
            self.tick_contacts();
            self.tick_sync();
            self.tick_rosters();
            self.tick_report();
        }
        self.tick_forget();
        self.push_changes();
        self.take_actions()
    }

    /// Returns when the next call of [`Members::tick`] is due, which is always later than the last call.
    pub fn next_tick(&self) -> Duration {
        let mut due = self.probing.next_due(&self.config);
        if let Some(at) = self.suspicions.next_due() {
            due = due.min(at);
        }
        if self.has_unpushed() {
            due = due.min(self.next_gossip);
        }
        if let Some(at) = self.rosters.next_due() {
            due = due.min(at);
        }
        due.clamp(self.now + MIN_TICK, self.now + MAX_TICK)
    }

    /// Changes this node's record and spreads the change.
    pub fn announce(&mut self, now: Duration, change: Announcement) -> Vec<Action> {
        self.advance(now);
        if self.has_left() {
            return self.take_actions();
        }
        match change {
            Announcement::State(MemberState::Left) => return self.leave(now),
            Announcement::State(state) => self.announce_state(state),
            Announcement::Weight(weight) => self.announce_weight(weight.min(MAX_WEIGHT)),
            Announcement::Free(free) => self.announce_free(coarse_free(free)),
            Announcement::Bundle(stamp) => self.announce_bundle(stamp),
        }
        self.push_changes();
        self.take_actions()
    }

    /// Announces that the node leaves, like an announcement of [`MemberState::Left`]. The core stops probing.
    pub fn leave(&mut self, now: Duration) -> Vec<Action> {
        self.advance(now);
        if !self.has_left() {
            self.increment_own(|record| record.state = MemberState::Left);
            let at = self.now;
            self.table.update(self.own, |entry| {
                entry.health = Health::Dead;
                entry.changed = at;
            });
            self.rumours.push(self.own, Priority::Leaving, false);
            self.push_departure();
        }
        self.take_actions()
    }

    /// Announces a planned stop of a process that will return with its state.
    ///
    /// Other members keep it as [`MemberState::Draining`] until it returns, even while they consider it dead.
    pub fn suspend(&mut self, now: Duration) -> Vec<Action> {
        self.advance(now);
        if !self.has_left() {
            self.announce_state(MemberState::Draining);
            self.push_departure();
        }
        self.take_actions()
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Returns the records of all known nodes, including this one, ordered by node id.
    ///
    /// Dead nodes are included until they are forgotten. Nodes that left have the state
    /// [`MemberState::Left`].
    pub fn iter(&self) -> impl Iterator<Item = (&Record, Health)> {
        self.table
            .iter()
            .map(|entry| (&*entry.record, entry.health))
    }

    /// Returns the record and health of a node.
    pub fn get(&self, node: NodeId) -> Option<(&Record, Health)> {
        self.table
            .get(node)
            .map(|entry| (&*entry.record, entry.health))
    }

    /// Returns the instance of a known node, which differs after each restart of its process.
    pub fn instance(&self, node: NodeId) -> Option<Instance> {
        self.table.get(node).map(|entry| entry.instance)
    }

    /// Returns this node's record.
    pub fn own(&self) -> &Record {
        &self.own_entry().record
    }

    /// Returns the newest bundle in force at any node that is not dead, with one such node.
    pub fn newest_bundle(&self) -> Option<(NodeId, BundleStamp)> {
        let live = self
            .table
            .iter()
            .filter(|entry| entry.health != Health::Dead);
        let stamped = live.filter(|entry| entry.record.bundle.version > 0);
        let newest = stamped.max_by_key(|entry| entry.record.bundle.version)?;
        Some((newest.record.node, newest.record.bundle))
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn own_entry(&self) -> &Entry {
        match self.table.get(self.own) {
            Some(entry) => entry,
            None => unreachable!("the own entry is never removed"),
        }
    }

    fn has_left(&self) -> bool {
        self.own_entry().has_left()
    }

    /// Updates the current time and detects pauses of the process.
    fn advance(&mut self, now: Duration) {
        let now = now.max(self.now);
        if !self.started {
            self.start(now);
        }
        let gap = now - self.now;
        self.now = now;
        self.budget.refill(now);
        self.anti_entropy.refill(now);
        if gap > self.config.pause_limit {
            self.resume(gap);
        }
    }

    fn start(&mut self, now: Duration) {
        self.started = true;
        self.now = now;
        self.last_received = now;
        self.probing.start(now);
        let spread = self.config.contact_interval.as_secs_f64();
        let wait = Duration::from_secs_f64(self.rng.random_range(0.0..=spread));
        self.next_contact = now + wait;
        self.next_forget = now + FORGET_INTERVAL;
    }

    /// Discards the requests in flight after a pause, because their responses may be lost.
    fn resume(&mut self, gap: Duration) {
        self.counters.pauses += 1;
        self.last_received = self.now;
        self.probing.clear(self.now);
        self.suspicions.postpone(gap);
        self.anti_entropy.clear();
        self.rosters.restart(self.now);
    }

    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn updated(&mut self, node: NodeId) {
        self.actions.push(Action::Updated { node });
    }

    fn tick_forget(&mut self) {
        if self.now < self.next_forget {
            return;
        }
        self.next_forget = self.now + FORGET_INTERVAL;
        let Some(limit) = self.now.checked_sub(self.config.forget_after) else {
            return;
        };
        let table = &self.table;
        let is_old = |node: &NodeId| table.get(*node).is_some_and(|entry| entry.changed <= limit);
        let others = table
            .dead()
            .iter()
            .copied()
            .filter(|&node| node != self.own);
        let old: Vec<_> = others.filter(is_old).collect();
        for node in old {
            self.table.remove(node);
            self.rumours.remove(node);
            self.actions.push(Action::Removed { node });
        }
    }
}

/// Returns whether the message introduces its sender, which knows no member at the receiver's address.
fn is_introduction(sender: NodeId, rumours: &[Rumour], body: &Body) -> bool {
    let introduces = |rumour: &Rumour| rumour.node == sender && rumour.profile.is_some();
    *body == Body::Ping { sequence: 0 } && rumours.iter().any(introduces)
}
