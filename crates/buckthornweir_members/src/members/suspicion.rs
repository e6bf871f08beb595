//! Suspicion of members that missed a probe and can still refute it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Members;
use crate::messages::Body;
use crate::rumours::Priority;
use crate::{Health, NodeId};

/// The interval at which a suspect is pinged.
const PING_INTERVAL: Duration = Duration::from_millis(400);

/// The minimum number of other live members at which silence indicates that this process is isolated.
const ISOLATION_MEMBERS: usize = 3;

/// The number of suspects at which suspicions are no longer spread.
const MANY_SUSPECTS: usize = 8;

/// The time without received messages after which this process considers itself isolated.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
struct Suspicion {
    /// Whether a local probe failed, as opposed to a rumour from another member.
    local: bool,
    since: Duration,
    deadline: Duration,
    next_ping: Duration,
}

/// The current suspicions.
#[derive(Debug, Default)]
pub(super) struct Suspicions {
    items: BTreeMap<NodeId, Suspicion>,
}

impl Suspicions {
    /// Returns when the next step of a suspicion is due.
    pub(super) fn next_due(&self) -> Option<Duration> {
        let due = |item: &Suspicion| {
            if item.local {
                item.deadline.min(item.next_ping)
            } else {
                item.deadline
            }
        };
        self.items.values().map(due).min()
    }

    /// Postpones all deadlines by a pause of this process.
    pub(super) fn postpone(&mut self, gap: Duration) {
        for item in self.items.values_mut() {
            item.deadline += gap;
            item.since += gap;
        }
    }
}

impl Members {
    /// Suspects a member after a failed probe.
    pub(super) fn suspect(&mut self, node: NodeId) {
        let Some(entry) = self.table.get(node) else {
            return;
        };
        let health = entry.health;
        if health == Health::Dead
            || self
                .suspicions
                .items
                .get(&node)
                .is_some_and(|item| item.local)
        {
            return;
        }
        self.counters.suspicions += 1;
        let deadline = self.now + self.probing.scale(self.config.suspicion);
        let suspicion = Suspicion {
            local: true,
            since: self.now,
            deadline,
            next_ping: self.now,
        };
        self.suspicions.items.insert(node, suspicion);
        if health == Health::Alive {
            self.set_health(node, Health::Suspect, Priority::Suspicion);
        }
    }

    /// Records that another member suspects a node.
    pub(super) fn note_suspicion(&mut self, node: NodeId) {
        let deadline = self.now + self.config.remote_suspicion;
        let suspicion = Suspicion {
            local: false,
            since: self.now,
            deadline,
            next_ping: deadline,
        };
        self.suspicions.items.insert(node, suspicion);
    }

    pub(super) fn end_suspicion(&mut self, node: NodeId) {
        self.suspicions.items.remove(&node);
    }

    pub(super) fn tick_suspicions(&mut self) {
        let now = self.now;
        let due = self
            .suspicions
            .items
            .iter()
            .filter(|(_, item)| now >= item.deadline);
        let due: Vec<_> = due
            .map(|(&node, item)| (node, item.local, item.since))
            .collect();
        for (node, local, since) in due {
            if !local {
                self.drop_suspicion(node);
            } else if !self.is_isolated() || now >= since + self.config.isolation_limit {
                self.declare_dead(node);
            }
        }
        self.ping_suspects();
    }

    /// Returns whether a lack of messages is more likely caused by this process than by all other members.
    fn is_isolated(&self) -> bool {
        self.table.live().len() >= ISOLATION_MEMBERS
            && self.now >= self.last_received + ISOLATION_TIMEOUT
    }

    fn declare_dead(&mut self, node: NodeId) {
        self.end_suspicion(node);
        self.counters.deaths += 1;
        self.set_health(node, Health::Dead, Priority::Health);
    }

    /// Drops a suspicion that was neither refuted nor confirmed.
    fn drop_suspicion(&mut self, node: NodeId) {
        self.end_suspicion(node);
        let now = self.now;
        self.table.update(node, |entry| {
            entry.health = Health::Alive;
            entry.changed = now;
        });
        self.updated(node);
    }

    fn set_health(&mut self, node: NodeId, health: Health, priority: Priority) {
        let now = self.now;
        self.table.update(node, |entry| {
            entry.health = health;
            entry.changed = now;
        });
        if health != Health::Suspect || !self.has_many_suspects() {
            self.rumours.push(node, priority, false);
        }
        self.updated(node);
    }

    /// Returns whether so many members are suspect that most are probably dead.
    pub(super) fn has_many_suspects(&self) -> bool {
        self.suspicions.items.len() >= MANY_SUSPECTS
    }

    /// Informs suspects about the suspicion, so that they can refute it.
    fn ping_suspects(&mut self) {
        let now = self.now;
        let items = self.suspicions.items.iter_mut();
        let due = items.filter(|(_, item)| item.local && now >= item.next_ping);
        let due = due.map(|(&node, item)| {
            item.next_ping = now + PING_INTERVAL;
            node
        });
        for node in due.collect::<Vec<_>>() {
            self.send_to(node, Body::Ping { sequence: 0 });
        }
    }
}
