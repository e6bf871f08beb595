//! The node's own record: announcements, refutations, and other processes with the same id.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::Members;
use crate::messages::{Body, Rumour};
use crate::record::{ANY_INSTANCE, MAX_INCARNATION};
use crate::rumours::Priority;
use crate::{Action, Health, Incarnation, MemberState, Message, Record};

/// How often a silent process checks whether the other one lives.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// How long the other process must be unheard before a silent process speaks again.
const SILENCE_LIMIT: Duration = Duration::from_secs(10);

/// The shortest time between two refutations of another process with the same id.
const REFUTE_INTERVAL: Duration = Duration::from_millis(500);

/// The shortest time between two reports of the same conflict.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Whether the id belongs to this process alone.
#[derive(Debug, Default)]
pub(super) struct Identity {
    /// The process that keeps the id, when it is not this one.
    winner: Option<Winner>,
    refuted: Option<Duration>,
    reported: Option<Duration>,
}

#[derive(Debug)]
struct Winner {
    address: SocketAddr,
    heard: Duration,
    next_check: Duration,
}

impl Identity {
    /// Returns whether this process leaves the id to another one.
    pub(super) fn is_silent(&self) -> bool {
        self.winner.is_some()
    }
}

impl Members {
    /// Changes the own record under a higher incarnation.
    pub(super) fn raise_own(&mut self, change: impl FnOnce(&mut Record)) {
        let incarnation = self.own().incarnation;
        self.change_own(|record| {
            change(record);
            record.incarnation = next(incarnation);
        });
        self.updated(self.own);
    }

    /// Changes the own record in place.
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
        self.raise_own(|record| record.state = state);
        self.rumours.push(self.own, priority, false);
    }

    pub(super) fn announce_weight(&mut self, weight: u8) {
        if weight == self.own().weight {
            return;
        }
        self.raise_own(|record| record.weight = weight);
        self.rumours.push(self.own, Priority::Change, false);
    }

    /// Takes the free slots. Direct contacts see them at once, rumours at a limited rate.
    pub(super) fn announce_free(&mut self, free: u32) {
        if free == self.own().free {
            return;
        }
        self.change_own(|record| record.free = free);
        self.updated(self.own);
        self.report_due = true;
    }

    /// Spreads the free slots when a report is due. All members together report once per
    /// [`REPORT_SHARE`].
    pub(super) fn tick_report(&mut self) {
        if !self.report_due || self.now < self.next_report {
            return;
        }
        self.report_due = false;
        let members = u32::try_from(self.table.live().len() + 1).unwrap_or(u32::MAX);
        self.next_report = self.now + REPORT_SHARE.saturating_mul(members);
        self.raise_own(|_| ());
        self.rumours.push(self.own, Priority::Report, false);
    }

    /// Takes a statement of another member about this node, and refutes it when it is wrong.
    pub(super) fn merge_own(&mut self, rumour: &Rumour) {
        if rumour.incarnation < self.own().incarnation || self.has_left() || self.is_echo(rumour) {
            return;
        }
        let other_start = ![self.instance, ANY_INSTANCE].contains(&rumour.instance);
        if other_start && !self.may_refute() {
            return;
        }
        self.counters.refutations += 1;
        if rumour.health != Health::Alive && !other_start {
            self.probing.worsen();
        }
        self.change_own(|record| record.incarnation = rumour.incarnation);
        self.raise_own(|_| ());
        self.rumours.push(self.own, Priority::Health, other_start);
        if other_start {
            self.ping_namesake(rumour);
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
            .refuted
            .is_some_and(|at| self.now < at + REFUTE_INTERVAL);
        if self.identity.is_silent() || recent {
            return false;
        }
        self.identity.refuted = Some(self.now);
        true
    }

    /// Finds out whether the process at another address with this node's id still lives.
    fn ping_namesake(&mut self, rumour: &Rumour) {
        let Some(profile) = &rumour.profile else {
            return;
        };
        if profile.gossip != self.own().gossip {
            self.send(profile.gossip, None, Body::Ping { sequence: 0 });
        }
    }

    /// Takes a message of a process with this node's id: of this one, or of a second one.
    pub(super) fn handle_namesake(&mut self, from: SocketAddr, message: &Message) {
        let other_start = message.header.instance != self.instance;
        if !other_start || from == self.own().gossip || self.has_left() {
            return;
        }
        self.counters.id_conflicts += 1;
        let keeps = self.own().gossip < from;
        if keeps {
            self.defend(message.header.incarnation);
        } else {
            self.yield_to(from);
        }
        if keeps && let Body::Ping { sequence } = message.body {
            self.send(from, None, Body::Ack { sequence });
        }
        self.report_conflict(from, keeps);
    }

    /// Goes above the other process's incarnation.
    fn defend(&mut self, incarnation: Incarnation) {
        if incarnation < self.own().incarnation || !self.may_refute() {
            return;
        }
        self.change_own(|record| record.incarnation = incarnation);
        self.raise_own(|_| ());
        self.rumours.push(self.own, Priority::Health, true);
    }

    fn yield_to(&mut self, address: SocketAddr) {
        let next_check = match &self.identity.winner {
            Some(winner) => winner.next_check,
            None => self.now + CHECK_INTERVAL,
        };
        self.identity.winner = Some(Winner {
            address,
            heard: self.now,
            next_check,
        });
        self.rumours.remove(self.own);
    }

    fn report_conflict(&mut self, other: SocketAddr, keeps: bool) {
        if self
            .identity
            .reported
            .is_some_and(|at| self.now < at + REPORT_INTERVAL)
        {
            return;
        }
        self.identity.reported = Some(self.now);
        self.actions.push(Action::Conflict { other, keeps });
    }

    /// Asks the process that keeps the id whether it lives, and takes the id when it does not.
    pub(super) fn check_namesake(&mut self) {
        let now = self.now;
        let Some(winner) = &mut self.identity.winner else {
            return;
        };
        if now >= winner.heard + SILENCE_LIMIT {
            self.identity.winner = None;
            self.raise_own(|_| ());
            self.rumours.push(self.own, Priority::Health, true);
            return;
        }
        if now < winner.next_check {
            return;
        }
        winner.next_check = now + CHECK_INTERVAL;
        let address = winner.address;
        self.send(address, None, Body::Ping { sequence: 0 });
    }
}

/// The time in which all members together report their free slots once.
const REPORT_SHARE: Duration = Duration::from_millis(1_000);

fn next(incarnation: Incarnation) -> Incarnation {
    (incarnation + 1).min(MAX_INCARNATION)
}
