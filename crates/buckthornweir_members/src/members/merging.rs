//! Takes what messages say about members into the table.

use std::sync::Arc;

use super::Members;
use crate::messages::{Fingerprint, Header, Profile, Rumour};
use crate::record::{ANY_INSTANCE, MAX_INCARNATION};
use crate::rumours::Priority;
use crate::table::Entry;
use crate::{BundleStamp, Health, MemberState, NodeId, Record};

impl Members {
    /// Takes what the sender of a message says about itself.
    pub(super) fn merge_header(&mut self, header: &Header) {
        let Some(entry) = self.table.get(header.node) else {
            self.want(header.node);
            return;
        };
        let known = entry.record.incarnation;
        if entry.instance == header.instance {
            if header.incarnation > known {
                self.merge_rumour(header.node, &stated_by(header), true);
            }
            self.merge_report(header);
        } else if header.incarnation > known {
            self.want(header.node);
        } else {
            let remark = entry.rumour(true);
            self.remarks.push(remark);
        }
    }

    /// Takes what changes without a higher incarnation.
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

    /// Takes a statement about a member, and passes it on when it is news and `spread` is set.
    pub(super) fn merge_rumour(&mut self, sender: NodeId, rumour: &Rumour, spread: bool) {
        if rumour.node == self.own {
            self.merge_own(rumour);
            return;
        }
        let Some(entry) = self.table.get(rumour.node) else {
            self.merge_unknown(rumour, spread);
            return;
        };
        if !is_news(entry, rumour) || !self.is_credible(sender, rumour) {
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

    /// Takes the death of the member that the fingerprint stands for, if it is held as not dead.
    pub(super) fn merge_death(&mut self, sender: NodeId, fingerprint: Fingerprint) {
        let Some(entry) = self.table.marked(fingerprint) else {
            return;
        };
        let mut rumour = entry.rumour(false);
        rumour.health = Health::Dead;
        rumour.instance = ANY_INSTANCE;
        self.merge_rumour(sender, &rumour, true);
    }

    /// Takes the refutation that goes above what is held about a member.
    pub(super) fn merge_refutation(&mut self, sender: NodeId, statement: Fingerprint) {
        let Some(entry) = self.table.refuted(statement) else {
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

    /// Returns whether an accusation comes from a member that is not held as dead itself.
    fn is_credible(&self, sender: NodeId, rumour: &Rumour) -> bool {
        let accuses = rumour.health != Health::Alive && rumour.state != MemberState::Left;
        let sender = self.table.get(sender);
        !accuses || sender.is_none_or(|entry| entry.health != Health::Dead)
    }

    fn merge_unknown(&mut self, rumour: &Rumour, spread: bool) {
        if rumour.health == Health::Dead {
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
        self.settle(rumour, Some(before), spread);
        if spread && refutes {
            self.rumours.push(rumour.node, Priority::Health, false);
        }
    }

    /// Takes a full record of a new node, or of a new start of a known one.
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
        self.settle(rumour, before, spread);
    }

    /// Follows up on a change of the table.
    fn settle(&mut self, rumour: &Rumour, before: Option<Health>, spread: bool) {
        let node = rumour.node;
        self.changed = self.now;
        if before == Some(Health::Dead) && rumour.health != Health::Dead {
            self.counters.revivals += 1;
        }
        match rumour.health {
            Health::Suspect => self.hear_suspicion(node),
            Health::Alive | Health::Dead => self.end_suspicion(node),
        }
        let doubt = rumour.health == Health::Suspect;
        if spread && !(doubt && self.has_many_suspects()) {
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

/// Returns the statement of a header as a rumour.
fn stated_by(header: &Header) -> Rumour {
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

/// Returns whether a statement overrides what is held.
fn is_news(entry: &Entry, rumour: &Rumour) -> bool {
    let held = (entry.record.incarnation, entry.health);
    let said = (rumour.incarnation, rumour.health);
    said > held || said == held && wins_tie(entry, rumour)
}

/// Returns whether a statement says nothing new but that the member lives.
fn is_refutation(entry: &Entry, rumour: &Rumour) -> bool {
    let record = &entry.record;
    let held = (
        record.incarnation + 1,
        record.state,
        record.weight,
        record.free,
    );
    let said = (rumour.incarnation, rumour.state, rumour.weight, rumour.free);
    let ready = matches!(rumour.state, MemberState::Cold | MemberState::Ready);
    ready && rumour.health == Health::Alive && said == held
}

/// Decides between two starts of one node under the same incarnation.
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
            (Health::Suspect, _) => Priority::Doubt,
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
