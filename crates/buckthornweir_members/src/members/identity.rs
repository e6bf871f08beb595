//! This node's own record: announcements, refutations and conflicts with a process that has the same id.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::Members;
use crate::messages::{Body, Rumour};
use crate::record::{ANY_INSTANCE, MAX_INCARNATION};
use crate::rumours::Priority;
use crate::{Action, Health, Incarnation, MemberState, Message, Record};

/// The interval at which a process that yielded the id pings the winner.
const WINNER_PING_INTERVAL: Duration = Duration::from_secs(2);

/// The time without messages from the winner after which a process that yielded the id claims it again.
const WINNER_TIMEOUT: Duration = Duration::from_secs(10);

/// The minimum time between two refutations of another process with the same id.
const REFUTE_INTERVAL: Duration = Duration::from_millis(500);

/// The minimum time between two reports of the same conflict.
const CONFLICT_REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// The state of a conflict over this node's id.
#[derive(Debug, Default)]
pub(super) struct Identity {
    /// The process that keeps the id, if it isn't this one.
    winner: Option<Winner>,
    last_refuted: Option<Duration>,
    last_reported: Option<Duration>,
}

#[derive(Debug)]
struct Winner {
    address: SocketAddr,
    last_received: Duration,
    next_ping: Duration,
}

impl Identity {
    /// Returns whether this process yielded the id to another one.
    pub(super) fn has_yielded(&self) -> bool {
        self.winner.is_some()
    }
}

impl Members {
    /// Modifies this node's record and increments its incarnation.
    pub(super) fn increment_own(&mut self, change: impl FnOnce(&mut Record)) {
        let incarnation = self.own().incarnation;
        self.change_own(|record| {
            change(record);
            record.incarnation = next(incarnation);
        });
        self.updated(self.own);
    }

    /// Modifies this node's record without a new incarnation.
    pub(super) fn change_own(&mut self, change: impl FnOnce(&mut Record)) {
        self.table
            .update(self.own, |entry| change(Arc::make_mut(&mut entry.record)));
    }

    pub(super) fn announce_state(&mut self, state: MemberState) {
        if state == self.own().state {
            return;
        }
        let priority = match state {
            MemberState::Cold | MemberState::Ready => Priority::Change,
            MemberState::Draining | MemberState::Left => Priority::Leaving,
        };
        self.increment_own(|record| record.state = state);
        self.rumours.push(self.own, priority, false);
    }

    pub(super) fn announce_weight(&mut self, weight: u8) {
        if weight == self.own().weight {
            return;
        }
        self.increment_own(|record| record.weight = weight);
        self.rumours.push(self.own, Priority::Change, false);
    }

    /// Sets the free slots. The next message headers carry them, but rumours carry them only at a limited
    /// rate.
    pub(super) fn announce_free(&mut self, free: u32) {
        if free == self.own().free {
            return;
        }
        self.change_own(|record| record.free = free);
        self.updated(self.own);
        self.report_due = true;
    }

    /// Spreads the free slots when a report is due. The interval grows with the number of members, so that
    /// all members together send one report per [`REPORT_INTERVAL`].
    pub(super) fn tick_report(&mut self) {
        if !self.report_due || self.now < self.next_report {
            return;
        }
        self.report_due = false;
        let members = u32::try_from(self.table.live().len() + 1).unwrap_or(u32::MAX);
        self.next_report = self.now + REPORT_INTERVAL.saturating_mul(members);
        self.increment_own(|_| ());
        self.rumours.push(self.own, Priority::Report, false);
    }

    /// Handles a rumour about this node and refutes it if it is wrong.
    pub(super) fn merge_own(&mut self, rumour: &Rumour) {
        if rumour.incarnation < self.own().incarnation || self.has_left() || self.is_echo(rumour) {
            return;
        }
        let other_instance = ![self.instance, ANY_INSTANCE].contains(&rumour.instance);
        if other_instance && !self.may_refute() {
            return;
        }
        self.counters.refutations += 1;
        if rumour.health != Health::Alive && !other_instance {
            self.probing.degrade_health();
        }
        self.change_own(|record| record.incarnation = rumour.incarnation);
        self.increment_own(|_| ());
        self.rumours
            .push(self.own, Priority::Health, other_instance);
        if other_instance {
            self.ping_duplicate_id(rumour);
        }
    }

    fn is_echo(&self, rumour: &Rumour) -> bool {
        rumour.instance == self.instance
            && rumour.health == Health::Alive
            && rumour.incarnation == self.own().incarnation
    }

    fn may_refute(&mut self) -> bool {
        let recent = self
            .identity
            .last_refuted
            .is_some_and(|at| self.now < at + REFUTE_INTERVAL);
        if self.identity.has_yielded() || recent {
            return false;
        }
        self.identity.last_refuted = Some(self.now);
        true
    }

    /// Pings the process with this node's id at another address to find out whether it is still running.
    fn ping_duplicate_id(&mut self, rumour: &Rumour) {
        let Some(profile) = &rumour.profile else {
            return;
        };
        if profile.gossip != self.own().gossip {
            self.send(profile.gossip, None, Body::Ping { sequence: 0 });
        }
    }

    /// Handles a message whose sender has this node's id, which is this process itself or another one.
    pub(super) fn handle_duplicate_id(&mut self, from: SocketAddr, message: &Message) {
        let other_instance = message.header.instance != self.instance;
        if !other_instance || from == self.own().gossip || self.has_left() {
            return;
        }
        self.counters.id_conflicts += 1;
        let keeps = self.own().gossip < from;
        if keeps {
            self.defend_id(message.header.incarnation);
        } else {
            self.yield_id(from);
        }
        if keeps && let Body::Ping { sequence } = message.body {
            self.send(from, None, Body::Ack { sequence });
        }
        self.report_conflict(from, keeps);
    }

    /// Raises this node's incarnation above that of the other process.
    fn defend_id(&mut self, incarnation: Incarnation) {
        if incarnation < self.own().incarnation || !self.may_refute() {
            return;
        }
        self.change_own(|record| record.incarnation = incarnation);
        self.increment_own(|_| ());
        self.rumours.push(self.own, Priority::Health, true);
    }

    fn yield_id(&mut self, address: SocketAddr) {
        let next_ping = match &self.identity.winner {
            Some(winner) => winner.next_ping,
            None => self.now + WINNER_PING_INTERVAL,
        };
        self.identity.winner = Some(Winner {
            address,
            last_received: self.now,
            next_ping,
        });
        self.rumours.remove(self.own);
    }

    fn report_conflict(&mut self, other: SocketAddr, keeps: bool) {
        if self
            .identity
            .last_reported
            .is_some_and(|at| self.now < at + CONFLICT_REPORT_INTERVAL)
        {
            return;
        }
        self.identity.last_reported = Some(self.now);
        self.actions.push(Action::Conflict { other, keeps });
    }

    /// Pings the process that keeps the id, and claims the id again after [`WINNER_TIMEOUT`].
    pub(super) fn check_duplicate_id(&mut self) {
        let now = self.now;
        let Some(winner) = &mut self.identity.winner else {
            return;
        };
        if now >= winner.last_received + WINNER_TIMEOUT {
            self.identity.winner = None;
            self.increment_own(|_| ());
            self.rumours.push(self.own, Priority::Health, true);
            return;
        }
        if now < winner.next_ping {
            return;
        }
        winner.next_ping = now + WINNER_PING_INTERVAL;
        let address = winner.address;
        self.send(address, None, Body::Ping { sequence: 0 });
    }
}

/// The minimum time between two reports of free slots, counted over all members.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

fn next(incarnation: Incarnation) -> Incarnation {
    (incarnation + 1).min(MAX_INCARNATION)
}
