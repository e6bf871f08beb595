//! The blackboard of one process: the only state that its roles and controllers share.

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

/// The maximum number of events that a process keeps.
const MAX_JOURNAL_EVENTS: usize = 10_000;

/// One member in the membership view of this process.
#[derive(Clone, Debug)]
pub struct Member {
    /// What the member announces.
    pub record: Record,
    /// The result of failure detection.
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

/// The state that this process announces through membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnState {
    /// Cold, ready, draining or left.
    pub state: MemberState,
    /// The weight step for new flows, 0 to 16.
    pub weight: u8,
    /// Free slots.
    pub free: u32,
    /// Whether and why this process accepts no new flows.
    pub leaving: Leaving,
}

/// Why a process accepts no new flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Leaving {
    /// The process accepts new flows.
    #[default]
    No,
    /// The backend server reported that it is leaving.
    BackendServer,
    /// An operator drained the process.
    Operator,
    /// The process is stopping; its backend server keeps running.
    Process,
}

/// The quorum state that the control role publishes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuorumState {
    /// Leader, follower, candidate or learner; closed while the data folder cannot be opened.
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
    /// The timeline of this process.
    pub journal: Journal,
    started: Instant,
    bundle: ArcSwapOption<SignedBundle>,
    differences: Mutex<DifferenceChain>,
    apply_lock: Mutex<()>,
    members: ArcSwap<Vec<Member>>,
    own: Mutex<OwnState>,
    quorum: Mutex<QuorumState>,
    changes: watch::Sender<u64>,
}

impl Blackboard {
    /// Creates a blackboard without a bundle and without members.
    ///
    /// # Errors
    ///
    /// Returns an error when the metrics cannot be registered.
    pub fn new(settings: Settings) -> Result<Arc<Self>> {
        let own = OwnState {
            state: initial_state(&settings),
            weight: 0,
            free: 0,
            leaving: Leaving::No,
        };
        Ok(Arc::new(Self {
            id: node_id(&settings.node.name),
            metrics: Metrics::new()?,
            journal: Journal::new(settings.node.name.clone(), MAX_JOURNAL_EVENTS),
            settings,
            started: Instant::now(),
            bundle: ArcSwapOption::empty(),
            differences: Mutex::default(),
            apply_lock: Mutex::default(),
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

    /// Returns an envelope with `body`, this process as sender and the current clock stamp.
    pub fn envelope(&self, body: Body) -> Envelope {
        Envelope::new(self.id, body).with_stamp(self.journal.stamp(self.wall()))
    }

    /// Merges the clock stamp of a received envelope into the local clock.
    pub fn observe(&self, envelope: &Envelope) {
        self.journal.observe(self.wall(), envelope.stamp());
    }

    /// Returns the events of this process that match `filter`.
    pub fn events(&self, filter: &buckthornweir_events::Filter) -> Vec<Event> {
        self.journal.matching(filter)
    }

    /// Returns the bundle in force, if there is one.
    pub fn signed_bundle(&self) -> Option<Arc<SignedBundle>> {
        self.bundle.load_full()
    }

    /// Returns the version of the bundle in force, or 0 without one.
    pub fn version(&self) -> Version {
        self.with_bundle(|bundle| bundle.version).unwrap_or(0)
    }

    /// Calls `read` with the bundle in force, if there is one.
    pub fn with_bundle<T>(&self, read: impl FnOnce(&Bundle) -> T) -> Option<T> {
        self.bundle.load().as_ref().map(|held| read(held.bundle()))
    }

    /// Returns the version and digest of the bundle in force, or the default without one.
    pub fn bundle_stamp(&self) -> BundleStamp {
        match self.bundle.load().as_ref() {
            None => BundleStamp::default(),
            Some(held) => BundleStamp {
                version: held.bundle().version,
                digest: held.digest(),
            },
        }
    }

    /// Locks out concurrent changes of the bundle, so that an older one never replaces a newer one.
    pub(crate) fn lock_bundle(&self) -> MutexGuard<'_, ()> {
        self.apply_lock.lock()
    }

    /// Returns the chain of differences from earlier bundles to the one in force.
    pub(crate) fn differences(&self) -> MutexGuard<'_, DifferenceChain> {
        self.differences.lock()
    }

    /// Puts a bundle in force and returns the previous one.
    pub(crate) fn set_bundle(&self, bundle: Arc<SignedBundle>) -> Option<Arc<SignedBundle>> {
        let before = self.bundle.swap(Some(bundle));
        self.notify();
        before
    }

    /// Returns all members that this process knows, itself included.
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

    /// Returns the state that this process announces.
    pub fn own(&self) -> OwnState {
        *self.own.lock()
    }

    /// Changes the state that this process announces. Returns whether anything changed.
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

    /// Stops accepting new flows. If this is called more than once, the first reason is kept.
    pub(crate) fn leave(&self, reason: Leaving) {
        self.update_own(|own| {
            if own.leaving == Leaving::No {
                own.leaving = reason;
            }
            own.state = MemberState::Draining;
            own.weight = 0;
        });
    }

    /// Sets the free slots that this process announces, without notifying the receivers of [`Self::changes`].
    pub(crate) fn report_free(&self, free: u32) {
        self.own.lock().free = free;
    }

    /// Returns the quorum state of the control role.
    pub fn quorum(&self) -> QuorumState {
        *self.quorum.lock()
    }

    /// Sets the quorum state of the control role.
    pub(crate) fn set_quorum(&self, state: QuorumState) {
        *self.quorum.lock() = state;
    }

    /// Returns a receiver that is notified when the bundle, the members or the own state change.
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

fn initial_state(settings: &Settings) -> MemberState {
    if settings.agent.is_some() {
        MemberState::Cold
    } else {
        MemberState::Ready
    }
}
