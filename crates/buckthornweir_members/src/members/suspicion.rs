//! Members that missed a probe and may yet refute it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Members;
use crate::messages::Body;
use crate::rumours::Priority;
use crate::{Health, NodeId};

/// How often a suspect is pinged.
const PING_INTERVAL: Duration = Duration::from_millis(400);

/// The fewest other members from which silence tells that this process can't receive.
const DEAF_MEMBERS: usize = 3;

/// The number of suspects from which suspicions are not spread.
const MANY_SUSPECTS: usize = 8;

/// How long nothing must arrive before this process holds itself for deaf.
const DEAF_AFTER: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
struct Suspicion {
    /// Whether a probe of this node failed, or another member said so.
    own: bool,
    since: Duration,
    deadline: Duration,
    next_ping: Duration,
}

/// The present suspicions.
#[derive(Debug, Default)]
pub(super) struct Suspicions {
    items: BTreeMap<NodeId, Suspicion>,
}

impl Suspicions {
    /// Returns when the next suspicion has something due.
    pub(super) fn next_due(&self) -> Option<Duration> {
        let due = |item: &Suspicion| {
            if item.own {
                item.deadline.min(item.next_ping)
            } else {
                item.deadline
            }
        };
        self.items.values().map(due).min()
    }

    /// Moves all deadlines by a pause of this process.
    pub(super) fn postpone(&mut self, gap: Duration) {
        for item in self.items.values_mut() {
            item.deadline += gap;
            item.since += gap;
        }
    }
}

impl Members {
    /// Suspects a member whose probe failed.
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
                .is_some_and(|item| item.own)
        {
            return;
        }
        self.counters.suspicions += 1;
        let deadline = self.now + self.probing.scale(self.config.suspicion);
        let suspicion = Suspicion {
            own: true,
            since: self.now,
            deadline,
            next_ping: self.now,
        };
        self.suspicions.items.insert(node, suspicion);
        if health == Health::Alive {
            self.set_health(node, Health::Suspect, Priority::Doubt);
        }
    }

    /// Notes that another member suspects a node.
    pub(super) fn hear_suspicion(&mut self, node: NodeId) {
        let deadline = self.now + self.config.heard_suspicion;
        let suspicion = Suspicion {
            own: false,
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
            .map(|(&node, item)| (node, item.own, item.since))
            .collect();
        for (node, own, since) in due {
            if !own {
                self.drop_suspicion(node);
            } else if !self.is_deaf() || now >= since + self.config.deaf_limit {
                self.declare_dead(node);
            }
        }
        self.ping_suspects();
    }

    /// Returns whether silence more likely has its cause here than at all other members.
    fn is_deaf(&self) -> bool {
        self.table.live().len() >= DEAF_MEMBERS && self.now >= self.heard + DEAF_AFTER
    }

    fn declare_dead(&mut self, node: NodeId) {
        self.end_suspicion(node);
        self.counters.deaths += 1;
        self.set_health(node, Health::Dead, Priority::Health);
    }

    /// Ends a suspicion that was neither refuted nor confirmed.
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

    /// Returns whether so many members are suspect that most will be dead soon.
    pub(super) fn has_many_suspects(&self) -> bool {
        self.suspicions.items.len() >= MANY_SUSPECTS
    }

    /// Tells suspects of the suspicion, so that they can refute it.
    fn ping_suspects(&mut self) {
        let now = self.now;
        let items = self.suspicions.items.iter_mut();
        let due = items.filter(|(_, item)| item.own && now >= item.next_ping);
        let due = due.map(|(&node, item)| {
            item.next_ping = now + PING_INTERVAL;
            node
        });
        for node in due.collect::<Vec<_>>() {
            self.send_to(node, Body::Ping { sequence: 0 });
        }
    }
}
