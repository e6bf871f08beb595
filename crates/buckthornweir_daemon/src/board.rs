//! The blackboard of one process: what its controllers read and write, and nothing else is shared.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::{ArcSwap, ArcSwapOption};
use buckthornweir_bundle::{Bundle, DifferenceChain, SignedBundle, Version};
use buckthornweir_events::{Event, EventKind, Journal, Metrics};
use buckthornweir_members::{BundleStamp, Health, MemberState, Record, Roles};
use buckthornweir_wire::{Body, Envelope, NodeId};
use parking_lot::{Mutex, MutexGuard};
use tokio::sync::watch;

use crate::fault::Result;
use crate::settings::{Settings, node_id};

/// How many events a process keeps.
const JOURNAL_EVENTS: usize = 10_000;

/// One member as this process sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What the member announces.
    pub record: Record,
    /// Whether it is alive.
    pub health: Health,
}

impl Member {
    /// Returns whether the member is an agent of `service` that has not left.
    pub(crate) fn is_agent_of(&self, service: &str) -> bool {
        self.record.roles.contains(Roles::AGENT)
            && self.record.service == service
            && self.record.state != MemberState::Left
    }
}

/// What this process announces about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnState {
    /// Cold, ready, draining or left.
    pub state: MemberState,
    /// The weight step for new flows, 0 to 16.
    pub weight: u8,
    /// Free slots.
    pub free: u32,
    /// Whether and why this process takes no new flows.
    pub leaving: Leaving,
}

/// Why a process takes no new flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Leaving {
    /// It takes new flows.
    #[default]
    No,
    /// Its backend server said that it is leaving.
    BackendServer,
    /// An operator asked for it.
    Operator,
    /// The process itself stops; its backend server stays.
    Process,
}

/// What the control role tells about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuorumState {
    /// Leader, follower or learner.
    pub role: &'static str,
    /// The term of the control log.
    pub term: u64,
}

/// The shared state of one process.
pub struct Blackboard {
    /// The settings.
    pub settings: Settings,
    /// The id of this process.
    pub id: NodeId,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// The time line of this process.
    pub journal: Journal,
    started: Instant,
    bundle: ArcSwapOption<SignedBundle>,
    differences: Mutex<DifferenceChain>,
    applying: Mutex<()>,
    members: ArcSwap<Vec<Member>>,
    own: Mutex<OwnState>,
    quorum: Mutex<QuorumState>,
    changes: watch::Sender<u64>,
}

impl Blackboard {
    /// Returns a board without a bundle and without members.
    ///
    /// # Errors
    ///
    /// Returns an error when the metrics cannot be made.
    pub fn new(settings: Settings) -> Result<Arc<Self>> {
        let own = OwnState {
            state: first_state(&settings),
            weight: 0,
            free: 0,
            leaving: Leaving::No,
        };
        Ok(Arc::new(Self {
            id: node_id(&settings.node.name),
            metrics: Metrics::new()?,
            journal: Journal::new(settings.node.name.clone(), JOURNAL_EVENTS),
            settings,
            started: Instant::now(),
            bundle: ArcSwapOption::empty(),
            differences: Mutex::default(),
            applying: Mutex::default(),
            members: ArcSwap::default(),
            own: Mutex::new(own),
            quorum: Mutex::default(),
            changes: watch::Sender::new(0),
        }))
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the time since the Unix epoch.
    pub fn wall(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }

    /// Records an event and logs it.
    pub fn record(&self, kind: EventKind) {
        tracing::info!(node = %self.settings.node.name, event = ?kind);
        self.journal.record(self.wall(), kind);
    }

    /// Returns an envelope from this process around `body`.
    pub fn envelope(&self, body: Body) -> Envelope {
        Envelope::new(self.id, body).with_stamp(self.journal.stamp(self.wall()))
    }

    /// Takes in the clock of an envelope that came.
    pub fn observe(&self, envelope: &Envelope) {
        self.journal.observe(self.wall(), envelope.stamp());
    }

    /// Returns the events of this process after `filter`.
    pub fn events(&self, filter: &buckthornweir_events::Filter) -> Vec<Event> {
        self.journal.matching(filter)
    }

    /// Returns the bundle in force, if there is one.
    pub fn signed_bundle(&self) -> Option<Arc<SignedBundle>> {
        self.bundle.load_full()
    }

    /// Returns the version of the bundle in force, 0 for none.
    pub fn version(&self) -> Version {
        self.with_bundle(|bundle| bundle.version).unwrap_or(0)
    }

    /// Reads the bundle in force.
    pub fn with_bundle<T>(&self, read: impl FnOnce(&Bundle) -> T) -> Option<T> {
        self.bundle.load().as_ref().map(|held| read(held.bundle()))
    }

    /// Returns the version and digest of the bundle in force.
    pub fn bundle_stamp(&self) -> BundleStamp {
        match self.bundle.load().as_ref() {
            None => BundleStamp::default(),
            Some(held) => BundleStamp {
                version: held.bundle().version,
                digest: held.digest(),
            },
        }
    }

    /// Holds off others that put a bundle in force, so that an older one never replaces a newer.
    pub(crate) fn hold_bundle(&self) -> MutexGuard<'_, ()> {
        self.applying.lock()
    }

    /// Returns the differences that lead to the bundle in force.
    pub(crate) fn differences(&self) -> MutexGuard<'_, DifferenceChain> {
        self.differences.lock()
    }

    /// Puts a bundle in force and returns the one before.
    pub(crate) fn set_bundle(&self, bundle: Arc<SignedBundle>) -> Option<Arc<SignedBundle>> {
        let before = self.bundle.swap(Some(bundle));
        self.notify();
        before
    }

    /// Returns the members that this process knows.
    pub fn members(&self) -> Arc<Vec<Member>> {
        self.members.load_full()
    }

    /// Returns the member with this id.
    pub fn member(&self, node: NodeId) -> Option<Member> {
        let members = self.members.load();
        members.iter().find(|m| m.record.node == node).cloned()
    }

    /// Replaces the members.
    pub(crate) fn set_members(&self, members: Vec<Member>) {
        self.members.store(Arc::new(members));
        self.notify();
    }

    /// Returns what this process announces about itself.
    pub fn own(&self) -> OwnState {
        *self.own.lock()
    }

    /// Changes what this process announces about itself; returns whether anything changed.
    pub(crate) fn update_own(&self, change: impl FnOnce(&mut OwnState)) -> bool {
        let mut own = self.own.lock();
        let before = *own;
        change(&mut own);
        let changed = *own != before;
        drop(own);
        if changed {
            self.notify();
        }
        changed
    }

    /// Takes no new flows from now on, for the first reason that was given.
    pub(crate) fn leave(&self, reason: Leaving) {
        self.update_own(|own| {
            if own.leaving == Leaving::No {
                own.leaving = reason;
            }
            own.state = MemberState::Draining;
            own.weight = 0;
        });
    }

    /// Sets the free slots that this process announces; controllers are not woken for it.
    pub(crate) fn report_free(&self, free: u32) {
        self.own.lock().free = free;
    }

    /// Returns what the control role tells about itself.
    pub fn quorum(&self) -> QuorumState {
        *self.quorum.lock()
    }

    /// Sets what the control role tells about itself.
    pub(crate) fn set_quorum(&self, state: QuorumState) {
        *self.quorum.lock() = state;
    }

    /// Returns a receiver that sees each change of bundle, members or own state.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}

impl std::fmt::Debug for Blackboard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Blackboard")
            .field("name", &self.settings.node.name)
            .finish_non_exhaustive()
    }
}

fn first_state(settings: &Settings) -> MemberState {
    if settings.agent.is_some() {
        MemberState::Cold
    } else {
        MemberState::Ready
    }
}
