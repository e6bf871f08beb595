//! Merges rumours and headers of messages into the table.

use std::sync::Arc;

use super::Members;
use crate::messages::{Fingerprint, Header, Profile, Rumour};
use crate::record::{ANY_INSTANCE, MAX_INCARNATION};
use crate::rumours::Priority;
use crate::table::Entry;
use crate::{BundleStamp, Health, MemberState, NodeId, Record};

impl Members {
    /// Merges the header of a message into the entry of its sender.
    pub(super) fn merge_header(&mut self, header: &Header) {
        let Some(entry) = self.table.get(header.node) else {
            if header.state != MemberState::Left {
                self.want(header.node);
            }
            return;
        };
        let known = entry.record.incarnation;
        if entry.instance == header.instance {
            if header.incarnation > known {
                self.merge_rumour(header.node, &rumour_of(header), true);
            }
            self.merge_report(header);
        } else if header.incarnation > known {
            self.want(header.node);
        } else {
            let reply = entry.rumour(true);
            self.reply_rumours.push(reply);
        }
    }

    /// Merges the free slots and the bundle, which change without a higher incarnation.
    fn merge_report(&mut self, header: &Header) {
        let Some(entry) = self.table.get(header.node) else {
            return;
        };
        if entry.health == Health::Dead || header.incarnation < entry.record.incarnation {
            return;
        }
        let record = &entry.record;
        let newer = header.bundle.version > record.bundle.version;
        if newer || record.free != header.free {
            self.table.update(header.node, |entry| {
                let record = Arc::make_mut(&mut entry.record);
                record.free = header.free;
                if newer {
                    record.bundle = header.bundle;
                }
            });
            self.updated(header.node);
        }
        self.compare_bundle(header);
    }

    /// Merges a rumour and queues it for gossip if it changes the table and `spread` is set.
    pub(super) fn merge_rumour(&mut self, sender: NodeId, rumour: &Rumour, spread: bool) {
        if rumour.node == self.own {
            self.merge_own(rumour);
            return;
        }
        let Some(entry) = self.table.get(rumour.node) else {
            self.merge_unknown(sender, rumour, spread);
            return;
        };
        if !supersedes(entry, rumour) || !self.is_credible(sender, rumour) {
            return;
        }
        if rumour.instance == entry.instance || rumour.health == Health::Dead {
            self.merge_known(rumour, spread);
        } else if rumour.profile.is_some() {
            self.replace(rumour, spread);
        } else {
            self.want(rumour.node);
        }
    }

    /// Marks the member with this fingerprint as dead, if there is one that isn't.
    pub(super) fn merge_death(&mut self, sender: NodeId, fingerprint: Fingerprint) {
        let Some(entry) = self.table.by_fingerprint(fingerprint) else {
            return;
        };
        let mut rumour = entry.rumour(false);
        rumour.health = Health::Dead;
        rumour.instance = ANY_INSTANCE;
        self.merge_rumour(sender, &rumour, true);
    }

    /// Merges a refutation, which increments the incarnation of a member's current entry.
    pub(super) fn merge_refutation(&mut self, sender: NodeId, fingerprint: Fingerprint) {
        let Some(entry) = self.table.by_refutation(fingerprint) else {
            return;
        };
        let mut rumour = entry.rumour(false);
        rumour.health = Health::Alive;
        rumour.instance = entry.instance;
        rumour.incarnation = entry.record.incarnation + 1;
        rumour.free = entry.record.free;
        if rumour.node != self.own && rumour.incarnation <= MAX_INCARNATION {
            self.merge_rumour(sender, &rumour, true);
        }
    }

    /// Returns whether the rumour is no accusation, or its sender isn't considered dead itself.
    fn is_credible(&self, sender: NodeId, rumour: &Rumour) -> bool {
        let accuses = rumour.health != Health::Alive && rumour.state != MemberState::Left;
        let sender = self.table.get(sender);
        !accuses || sender.is_none_or(|entry| entry.health != Health::Dead)
    }

    /// Merges a rumour about an unknown node.
    ///
    /// Deaths are ignored, except the departure of the sender itself: it may have overtaken the sender's
    /// introduction, which would make it a member. Departures are not accepted from others, because
    /// processes forget a departure at different times and would return it to each other forever.
    fn merge_unknown(&mut self, sender: NodeId, rumour: &Rumour, spread: bool) {
        let departs = sender == rumour.node && rumour.state == MemberState::Left;
        if rumour.health == Health::Dead && !(departs && rumour.profile.is_some()) {
            return;
        }
        if rumour.profile.is_some() {
            self.replace(rumour, spread);
        } else {
            self.want(rumour.node);
        }
    }

    fn merge_known(&mut self, rumour: &Rumour, spread: bool) {
        let now = self.now;
        let Some(entry) = self.table.get(rumour.node) else {
            return;
        };
        let before = entry.health;
        let refutes = is_refutation(entry, rumour);
        self.table.update(rumour.node, |entry| {
            let record = Arc::make_mut(&mut entry.record);
            record.incarnation = rumour.incarnation;
            record.state = rumour.state;
            record.weight = rumour.weight;
            record.free = rumour.free;
            entry.health = rumour.health;
            if before != rumour.health {
                entry.changed = now;
            }
        });
        self.finish_merge(rumour, Some(before), spread);
        if spread && refutes {
            self.rumours.push(rumour.node, Priority::Health, false);
        }
    }

    /// Stores the full record of a new node, or of a new instance of a known node.
    fn replace(&mut self, rumour: &Rumour, spread: bool) {
        let before = self.table.get(rumour.node).map(|entry| entry.health);
        let known = self.table.get(rumour.node).map(|entry| entry.record.bundle);
        let (health, instance) = (rumour.health, rumour.instance);
        let Some(record) = record_of(rumour, known.unwrap_or_default()) else {
            return;
        };
        let record = Arc::new(record);
        self.table.insert(Entry {
            record,
            instance,
            health,
            changed: self.now,
        });
        self.finish_merge(rumour, before, spread);
    }

    /// Updates suspicions, counters and the gossip queue after a change of the table.
    fn finish_merge(&mut self, rumour: &Rumour, before: Option<Health>, spread: bool) {
        let node = rumour.node;
        self.changed = self.now;
        if before == Some(Health::Dead) && rumour.health != Health::Dead {
            self.counters.revivals += 1;
        }
        match rumour.health {
            Health::Suspect => self.note_suspicion(node),
            Health::Alive | Health::Dead => self.end_suspicion(node),
        }
        let suspicion = rumour.health == Health::Suspect;
        if spread && !(suspicion && self.has_many_suspects()) {
            self.rumours
                .push(node, priority(rumour, before), rumour.profile.is_some());
        }
        self.updated(node);
    }

    fn want(&mut self, node: NodeId) {
        if !self.wanted.contains(&node) {
            self.wanted.push(node);
        }
    }
}

/// Returns the rumour that a header implies about its sender.
fn rumour_of(header: &Header) -> Rumour {
    let left = header.state == MemberState::Left;
    Rumour {
        node: header.node,
        instance: header.instance,
        incarnation: header.incarnation,
        health: if left { Health::Dead } else { Health::Alive },
        state: header.state,
        weight: header.weight,
        free: header.free,
        profile: None,
    }
}

/// Returns whether a rumour supersedes the current entry.
fn supersedes(entry: &Entry, rumour: &Rumour) -> bool {
    let held = (entry.record.incarnation, entry.health);
    let received = (rumour.incarnation, rumour.health);
    received > held || received == held && wins_tie(entry, rumour)
}

/// Returns whether a rumour only states that the member is alive.
fn is_refutation(entry: &Entry, rumour: &Rumour) -> bool {
    let record = &entry.record;
    let held = (
        record.incarnation + 1,
        record.state,
        record.weight,
        record.free,
    );
    let received = (rumour.incarnation, rumour.state, rumour.weight, rumour.free);
    let ready = matches!(rumour.state, MemberState::Cold | MemberState::Ready);
    ready && rumour.health == Health::Alive && received == held
}

/// Decides between two instances of one node with the same incarnation: the lower gossip address wins.
fn wins_tie(entry: &Entry, rumour: &Rumour) -> bool {
    let Some(profile) = &rumour.profile else {
        return false;
    };
    rumour.instance != entry.instance && profile.gossip < entry.record.gossip
}

fn priority(rumour: &Rumour, before: Option<Health>) -> Priority {
    match rumour.state {
        MemberState::Draining | MemberState::Left => Priority::Leaving,
        MemberState::Cold | MemberState::Ready => match (rumour.health, before) {
            (Health::Alive, Some(Health::Alive) | None) => Priority::Change,
            (Health::Suspect, _) => Priority::Suspicion,
            _ => Priority::Health,
        },
    }
}

fn record_of(rumour: &Rumour, bundle: BundleStamp) -> Option<Record> {
    let Profile {
        name,
        roles,
        domain,
        service,
        gossip,
        flows,
        control,
    } = rumour.profile.clone()?;
    Some(Record {
        node: rumour.node,
        name,
        incarnation: rumour.incarnation,
        roles,
        domain,
        service,
        state: rumour.state,
        weight: rumour.weight,
        free: rumour.free,
        gossip,
        flows,
        control,
        bundle,
    })
}
