//! The core that decides about members.

mod bundles;
mod choosing;
mod contacts;
mod identity;
mod merging;
mod probing;
mod rosters;
mod spreading;
mod suspicion;
mod syncing;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::bundles::Bundles;
use self::identity::Identity;
use self::probing::Probing;
use self::rosters::Rosters;
pub use self::rosters::{Filling, Roster, RosterRequest};
use self::suspicion::Suspicions;
use self::syncing::Syncing;
use crate::budget::Budget;
use crate::messages::{Body, Rumour};
use crate::record::{ANY_INSTANCE, MAX_WEIGHT, coarse_free};
use crate::rumours::{Priority, Rumours};
use crate::table::{Entry, Table};
use crate::{
    Action, Announcement, BundleStamp, Config, Counters, Health, Instance, MemberState, Message,
    NodeId, Record,
};

/// The shortest time from one tick to the next.
const MIN_TICK: Duration = Duration::from_millis(20);

/// The longest time from one tick to the next.
const MAX_TICK: Duration = Duration::from_millis(250);

/// How often the table is searched for dead members to forget.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// Decides who is a member, and spreads what changes.
///
/// All times are durations since the process started, from a monotonic clock.
#[derive(Debug)]
pub struct Members {
    config: Config,
    own: NodeId,
    instance: Instance,
    seeds: Vec<SocketAddr>,
    rng: ChaCha8Rng,
    table: Table,
    rumours: Rumours,
    budget: Budget,
    counters: Counters,
    identity: Identity,
    probing: Probing,
    suspicions: Suspicions,
    syncing: Syncing,
    rosters: Rosters,
    bundles: Bundles,
    now: Duration,
    started: bool,
    /// When a message arrived last.
    heard: Duration,
    /// When a change of another member's record or health was taken last.
    changed: Duration,
    next_gossip: Duration,
    next_contact: Duration,
    next_forget: Duration,
    next_report: Duration,
    report_due: bool,
    /// Nodes whose records the sender of the message at hand is asked for.
    wanted: Vec<NodeId>,
    /// What the sender of the message at hand must be told.
    remarks: Vec<Rumour>,
    actions: Vec<Action>,
}

impl Members {
    /// Creates the core of a process that announces `own` and finds the others through `seeds`.
    ///
    /// The seed of the random numbers must differ from process to process and from start to start.
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
        let mut rumours = Rumours::default();
        rumours.push(node, Priority::Change, true);
        Self {
            budget: Budget::new(rate, burst),
            syncing: Syncing::new(&config),
            rosters: Rosters::new(&config),
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
            heard: Duration::ZERO,
            changed: Duration::ZERO,
            next_gossip: Duration::ZERO,
            next_contact: Duration::ZERO,
            next_forget: Duration::ZERO,
            next_report: Duration::ZERO,
            report_due: false,
            wanted: Vec::new(),
            remarks: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Handles a message that arrived from `from`.
    pub fn handle(&mut self, now: Duration, from: SocketAddr, message: Message) -> Vec<Action> {
        self.advance(now);
        self.counters.received_messages += 1;
        if message.header.node == self.own {
            self.handle_namesake(from, &message);
            return self.take_actions();
        }
        self.note_silence(self.now - self.heard);
        self.heard = self.now;
        let sender = message.header.node;
        self.merge_header(&message.header);
        let spread = !matches!(message.body, Body::Chunk { .. });
        for rumour in &message.rumours {
            self.merge_rumour(sender, rumour, spread);
        }
        for &fingerprint in &message.deaths {
            self.merge_death(sender, fingerprint);
        }
        for &statement in &message.refutations {
            self.merge_refutation(sender, statement);
        }
        if !self.identity.is_silent() {
            if is_greeting(sender, &message.rumours, &message.body) {
                self.welcome(sender);
            } else {
                self.repeat_changes(&message);
            }
            self.handle_body(from, sender, message.body);
            self.answer_rest(from);
            self.note_digest(from, message.header.table);
            self.push_fresh();
        }
        self.take_actions()
    }

    /// Does what is due. The caller calls it at [`Members::next_tick`] or every 50 ms.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.advance(now);
        if self.identity.is_silent() {
            self.check_namesake();
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
        self.push_fresh();
        self.take_actions()
    }

    /// Returns when the next call of [`Members::tick`] is due, which is always after the last call.
    pub fn next_tick(&self) -> Duration {
        let mut due = self.probing.next_due(&self.config);
        if let Some(at) = self.suspicions.next_due() {
            due = due.min(at);
        }
        if self.has_fresh() {
            due = due.min(self.next_gossip);
        }
        if let Some(at) = self.rosters.next_due() {
            due = due.min(at);
        }
        due.clamp(self.now + MIN_TICK, self.now + MAX_TICK)
    }

    /// Changes the own record and spreads the change.
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
        self.push_fresh();
        self.take_actions()
    }

    /// Announces that the node leaves, as [`MemberState::Left`] does. The core probes no more from
    /// here on.
    pub fn leave(&mut self, now: Duration) -> Vec<Action> {
        self.advance(now);
        if !self.has_left() {
            self.raise_own(|record| record.state = MemberState::Left);
            let at = self.now;
            self.table.update(self.own, |entry| {
                entry.health = Health::Dead;
                entry.changed = at;
            });
            self.rumours.push(self.own, Priority::Leaving, false);
            self.push_farewell();
        }
        self.take_actions()
    }

    /// Announces that the process stops as planned and comes back with what it holds: it stays
    /// [`MemberState::Draining`] until then, also for those that hold it as dead.
    pub fn suspend(&mut self, now: Duration) -> Vec<Action> {
        self.advance(now);
        if !self.has_left() {
            self.announce_state(MemberState::Draining);
            self.push_farewell();
        }
        self.take_actions()
    }

    /// Sets the seeds anew.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Returns the records of all known nodes in the order of their ids, the own one included.
    ///
    /// Dead nodes stay until they are forgotten, those that left with [`MemberState::Left`].
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

    /// Returns the own record.
    pub fn own(&self) -> &Record {
        &self.own_entry().record
    }

    /// Returns the newest bundle that is in force at any node not held as dead, and one such node.
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

    /// Takes the time, and notices when the process was paused.
    fn advance(&mut self, now: Duration) {
        let now = now.max(self.now);
        if !self.started {
            self.start(now);
        }
        let gap = now - self.now;
        self.now = now;
        self.budget.refill(now);
        self.syncing.refill(now);
        if gap > self.config.pause_limit {
            self.resume(gap);
        }
    }

    fn start(&mut self, now: Duration) {
        self.started = true;
        self.now = now;
        self.heard = now;
        self.probing.start(now);
        let spread = self.config.contact_interval.as_secs_f64();
        let wait = Duration::from_secs_f64(self.rng.random_range(0.0..=spread));
        self.next_contact = now + wait;
        self.next_forget = now + FORGET_INTERVAL;
    }

    /// Forgets what was in flight before a pause, because its answers may be lost.
    fn resume(&mut self, gap: Duration) {
        self.counters.pauses += 1;
        self.heard = self.now;
        self.probing.clear(self.now);
        self.suspicions.postpone(gap);
        self.syncing.clear();
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

/// Returns whether a process that knows no member at the receiver's address introduces itself.
fn is_greeting(sender: NodeId, rumours: &[Rumour], body: &Body) -> bool {
    let introduces = |rumour: &Rumour| rumour.node == sender && rumour.profile.is_some();
    *body == Body::Ping { sequence: 0 } && rumours.iter().any(introduces)
}
