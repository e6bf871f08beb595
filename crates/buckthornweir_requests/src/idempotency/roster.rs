//! The members that count when the holders of a record are chosen.
//!
//! A new member counts after a while, a lost one counts on for a while. Neither happens without
//! contact with more than half of the members that count, so two sides of a partition never come
//! to choose holders apart from each other.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::KeysConfig;
use super::holders::holders_of;
use crate::NodeId;

/// Number of one life of an agent; it differs between starts.
pub(crate) type Instance = u64;

/// The life of a member that was not there when the service was founded.
const NO_INSTANCE: Instance = 0;

/// A member of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its id.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: SmolStr,
}

impl Member {
    /// Returns a member.
    pub fn new(node: NodeId, domain: impl Into<SmolStr>) -> Self {
        Self {
            node,
            domain: domain.into(),
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    present: bool,
    /// When it came or went, or the count of its time began anew.
    since: Duration,
    settled: bool,
    /// Whether it sent all of its records here before it left.
    left: bool,
    /// Its life that was there when the service was founded.
    instance: Instance,
}

impl Entry {
    fn has_left(&self) -> bool {
        self.left && !self.present
    }
}

/// What passing time brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// Nothing of note.
    None,
    /// The service started for the first time: no record can exist.
    Founded,
    /// All members that counted left in order and sent their records here.
    Inherited,
    /// This agent was away so long that the others may no longer count it.
    Returned,
}

/// The members as one agent knows them.
#[derive(Clone, Debug)]
pub(crate) struct Roster {
    own: NodeId,
    started: Duration,
    /// When more than half of the members that count were last there.
    last_majority: Duration,
    absence_timeout: Duration,
    settle_delay: Duration,
    founding_delay: Duration,
    first_start: bool,
    hash_key: [u64; 2],
    entries: Vec<Entry>,
    /// Members that no longer count, and since when.
    removed: Vec<(NodeId, Duration)>,
}

impl Roster {
    pub(crate) fn new(own: Member, config: &KeysConfig, now: Duration) -> Self {
        let node = own.node;
        Self {
            own: node,
            started: now,
            last_majority: now,
            absence_timeout: config.absence_timeout,
            settle_delay: config.settle_delay,
            founding_delay: config.founding_delay(),
            first_start: config.first_start,
            hash_key: config.hash_key,
            entries: vec![new_entry(own, now)],
            removed: Vec::new(),
        }
    }

    /// Takes over which other members are there.
    pub(crate) fn set_present(&mut self, now: Duration, present: &[Member]) {
        for entry in self
            .entries
            .iter_mut()
            .filter(|e| e.member.node != self.own)
        {
            let is_present = present.iter().any(|m| m.node == entry.member.node);
            if is_present == entry.present {
                continue;
            }
            // A member that came back may hold records that it did not send.
            entry.left &= !is_present;
            entry.present = is_present;
            entry.since = now;
        }
        self.entries.retain(|e| e.present || e.settled);
        for member in present {
            self.removed.retain(|(node, _)| *node != member.node);
            match self
                .entries
                .iter_mut()
                .find(|e| e.member.node == member.node)
            {
                Some(entry) => entry.member.domain = member.domain.clone(),
                None => self.entries.push(new_entry(member.clone(), now)),
            }
        }
        self.entries.sort_by_key(|e| e.member.node);
    }

    /// Lets time pass.
    ///
    /// `unfounded` has the lives of the other members that are there, if all of them said that no
    /// member counts yet.
    pub(crate) fn tick(
        &mut self,
        now: Duration,
        unfounded: Option<&BTreeMap<NodeId, Instance>>,
    ) -> Change {
        if self.is_unfounded() {
            if let Some(instances) = unfounded.filter(|_| self.is_founding_due(now)) {
                self.settle_present(now);
                self.set_instances(instances);
                return Change::Founded;
            }
        } else if self.all_settled_left() {
            self.settle_present(now);
            return Change::Inherited;
        }
        if !self.has_majority() {
            let joining = self.entries.iter_mut().filter(|e| !e.settled);
            joining.for_each(|e| e.since = now);
            return Change::None;
        }
        let was_isolated = now >= self.last_majority + self.absence_timeout / 2;
        self.last_majority = now;
        if was_isolated {
            return Change::Returned;
        }
        self.update_settled(now);
        Change::None
    }

    /// Counts the members that are there, and no others.
    pub(crate) fn settle_present(&mut self, now: Duration) {
        self.entries.retain(|e| e.present);
        self.entries.iter_mut().for_each(|e| e.settled = true);
        self.last_majority = now;
    }

    fn set_instances(&mut self, instances: &BTreeMap<NodeId, Instance>) {
        for entry in &mut self.entries {
            entry.instance = instances
                .get(&entry.member.node)
                .copied()
                .unwrap_or(NO_INSTANCE);
        }
    }

    fn update_settled(&mut self, now: Duration) {
        let (settle_delay, absence_timeout) = (self.settle_delay, self.absence_timeout);
        for entry in &mut self.entries {
            entry.settled |= entry.present && now >= entry.since + settle_delay;
        }
        let is_due = |e: &Entry| {
            let limit = if e.left {
                settle_delay
            } else {
                absence_timeout
            };
            !e.present && now >= e.since + limit
        };
        self.removed
            .retain(|(_, since)| now < *since + absence_timeout);
        let due = self.entries.iter().filter(|e| is_due(e));
        self.removed.extend(due.map(|e| (e.member.node, now)));
        self.entries.retain(|e| !is_due(e));
    }

    /// Takes over the members that count from a member that knows them.
    pub(crate) fn adopt(&mut self, now: Duration, settled: &[(Member, Instance)]) {
        let is_removed = |node| self.removed.iter().any(|(other, _)| *other == node);
        let settled = settled.iter().filter(|(m, _)| !is_removed(m.node));
        for (member, instance) in settled {
            match self
                .entries
                .iter_mut()
                .find(|e| e.member.node == member.node)
            {
                Some(entry) => {
                    entry.settled = true;
                    entry.instance = *instance;
                }
                None => self.entries.push(Entry {
                    present: false,
                    settled: true,
                    instance: *instance,
                    ..new_entry(member.clone(), now)
                }),
            }
        }
        self.entries.sort_by_key(|e| e.member.node);
        self.last_majority = now;
    }

    /// Makes a new member of this agent, since the others no longer count it.
    pub(crate) fn unsettle_own(&mut self, now: Duration) {
        let own = self.own;
        if let Some(entry) = self.entries.iter_mut().find(|e| e.member.node == own) {
            entry.settled = false;
            entry.since = now;
        }
    }

    /// Notes that a member sent all of its records here before it leaves.
    pub(crate) fn note_left(&mut self, node: NodeId) {
        if let Some(entry) = self.entries.iter_mut().find(|e| e.member.node == node) {
            entry.left = true;
        }
    }

    /// Notes that a member is back.
    pub(crate) fn clear_left(&mut self, node: NodeId) {
        if let Some(entry) = self.entries.iter_mut().find(|e| e.member.node == node) {
            entry.left = false;
        }
    }

    /// Returns whether more than half of the members that count are there.
    pub(crate) fn has_majority(&self) -> bool {
        let considered = self.entries.iter().filter(|e| e.settled && !e.has_left());
        let (present, total) =
            considered.fold((0, 0), |(p, n), e| (p + usize::from(e.present), n + 1));
        present * 2 > total
    }

    /// Returns the holders of a key's record; none while they can't be told for certain.
    pub(crate) fn holders(&self, key: &[u8]) -> Option<Vec<NodeId>> {
        if !self.has_majority() {
            return None;
        }
        Some(holders_of(self.hash_key, key, self.settled()))
    }

    /// Returns the members that count.
    pub(crate) fn settled(&self) -> impl Iterator<Item = &Member> {
        self.entries.iter().filter(|e| e.settled).map(|e| &e.member)
    }

    /// Returns the members that count, with their lives that were there at the founding.
    pub(crate) fn settled_instances(&self) -> impl Iterator<Item = (&Member, Instance)> {
        let settled = self.entries.iter().filter(|e| e.settled);
        settled.map(|e| (&e.member, e.instance))
    }

    /// Returns the other members that are there.
    pub(crate) fn others(&self) -> impl Iterator<Item = NodeId> {
        let others = self
            .entries
            .iter()
            .filter(|e| e.present && e.member.node != self.own);
        others.map(|e| e.member.node)
    }

    /// Returns the members whose records are held here or have expired, since they left or were
    /// dropped.
    pub(crate) fn left_or_removed(&self) -> impl Iterator<Item = NodeId> {
        let left = self
            .entries
            .iter()
            .filter(|e| e.left)
            .map(|e| e.member.node);
        left.chain(self.removed.iter().map(|(node, _)| *node))
    }

    /// Returns whether the member counts.
    pub(crate) fn is_settled(&self, node: NodeId) -> bool {
        self.find(node).is_some_and(|e| e.settled)
    }

    /// Returns whether no member counts yet.
    pub(crate) fn is_unfounded(&self) -> bool {
        self.entries.iter().all(|e| !e.settled)
    }

    /// Returns whether it is time for the members that are there to found the service.
    fn is_founding_due(&self, now: Duration) -> bool {
        self.first_start && now + self.founding_delay >= self.started + self.settle_delay
    }

    /// Returns whether every member that counted has left and sent its records here.
    fn all_settled_left(&self) -> bool {
        self.entries.iter().all(|e| !e.settled || e.has_left())
    }

    fn find(&self, node: NodeId) -> Option<&Entry> {
        self.entries.iter().find(|e| e.member.node == node)
    }
}

fn new_entry(member: Member, now: Duration) -> Entry {
    Entry {
        member,
        present: true,
        since: now,
        settled: false,
        left: false,
        instance: NO_INSTANCE,
    }
}
