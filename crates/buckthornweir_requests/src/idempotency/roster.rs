//! Settled members: the members from which the holders of a record are chosen.
//!
//! A new member becomes settled after a delay, and an absent one stays settled until a timeout.
//! Both changes require that a majority of the settled members is present, so that the two sides of
//! a partition never choose holders independently of each other.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::KeysConfig;
use super::holders::holders_of;
use crate::NodeId;

/// Random id of one run of an agent's process; it changes with each start.
pub(crate) type Instance = u64;

/// Placeholder for a member that was not present when the service was founded.
const NO_INSTANCE: Instance = 0;

/// A member of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Node id.
    pub node: NodeId,
    /// Failure domain.
    pub domain: SmolStr,
}

impl Member {
    /// Creates a member.
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
    /// When the current period of presence or absence started; a new member's period restarts while
    /// there is no majority.
    since: Duration,
    settled: bool,
    /// Whether the member sent all of its records to this agent before it left.
    left: bool,
    /// Instance that was present when the service was founded.
    instance: Instance,
}

impl Entry {
    fn has_left(&self) -> bool {
        self.left && !self.present
    }
}

/// Event that [`Roster::tick`] detects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// No event.
    None,
    /// The service was founded on its first start, so no record can exist.
    Founded,
    /// All settled members shut down gracefully and sent their records to this agent.
    Inherited,
    /// This agent was without a majority for so long that the others may have removed it.
    Returned,
}

/// One agent's view of the members.
#[derive(Clone, Debug)]
pub(crate) struct Roster {
    own: NodeId,
    started: Duration,
    /// When a majority of the settled members was last present.
    last_majority: Duration,
    absence_timeout: Duration,
    settle_delay: Duration,
    founding_delay: Duration,
    first_start: bool,
    hash_key: [u64; 2],
    entries: Vec<Entry>,
    /// Members that are no longer settled, with the time of their removal.
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

    /// Updates which other members are present.
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
            // A member that returned may hold records that it has not sent.
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

    /// Founds the service and updates the settled members when that is due.
    ///
    /// `unfounded` contains the instances of the other present members if all of them reported that
    /// they know no settled member.
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

    /// Makes exactly the present members settled.
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

    /// Adds the settled members reported by another member.
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

    /// Makes this agent a new member again, since the others have removed it.
    pub(crate) fn unsettle_own(&mut self, now: Duration) {
        let own = self.own;
        if let Some(entry) = self.entries.iter_mut().find(|e| e.member.node == own) {
            entry.settled = false;
            entry.since = now;
        }
    }

    /// Records that a member that is leaving sent all of its records to this agent.
    pub(crate) fn note_left(&mut self, node: NodeId) {
        if let Some(entry) = self.entries.iter_mut().find(|e| e.member.node == node) {
            entry.left = true;
        }
    }

    /// Records that a member returned.
    pub(crate) fn clear_left(&mut self, node: NodeId) {
        if let Some(entry) = self.entries.iter_mut().find(|e| e.member.node == node) {
            entry.left = false;
        }
    }

    /// Returns whether a majority of the settled members is present, not counting those that left
    /// gracefully.
    pub(crate) fn has_majority(&self) -> bool {
        let considered = self.entries.iter().filter(|e| e.settled && !e.has_left());
        let (present, total) =
            considered.fold((0, 0), |(p, n), e| (p + usize::from(e.present), n + 1));
        present * 2 > total
    }

    /// Returns the holders of a key's record, or `None` without a majority.
    pub(crate) fn holders(&self, key: &[u8]) -> Option<Vec<NodeId>> {
        if !self.has_majority() {
            return None;
        }
        Some(holders_of(self.hash_key, key, self.settled()))
    }

    /// Returns the settled members.
    pub(crate) fn settled(&self) -> impl Iterator<Item = &Member> {
        self.entries.iter().filter(|e| e.settled).map(|e| &e.member)
    }

    /// Returns the settled members with their instances at the founding.
    pub(crate) fn settled_instances(&self) -> impl Iterator<Item = (&Member, Instance)> {
        let settled = self.entries.iter().filter(|e| e.settled);
        settled.map(|e| (&e.member, e.instance))
    }

    /// Returns the other present members.
    pub(crate) fn others(&self) -> impl Iterator<Item = NodeId> {
        let others = self
            .entries
            .iter()
            .filter(|e| e.present && e.member.node != self.own);
        others.map(|e| e.member.node)
    }

    /// Returns the members from which no records are needed: those that sent them before they left,
    /// and those that were removed after their records had expired.
    pub(crate) fn left_or_removed(&self) -> impl Iterator<Item = NodeId> {
        let left = self
            .entries
            .iter()
            .filter(|e| e.left)
            .map(|e| e.member.node);
        left.chain(self.removed.iter().map(|(node, _)| *node))
    }

    /// Returns whether the member is settled.
    pub(crate) fn is_settled(&self, node: NodeId) -> bool {
        self.find(node).is_some_and(|e| e.settled)
    }

    /// Returns whether no member is settled yet.
    pub(crate) fn is_unfounded(&self) -> bool {
        self.entries.iter().all(|e| !e.settled)
    }

    /// Returns whether the present members may found the service now.
    fn is_founding_due(&self, now: Duration) -> bool {
        self.first_start && now + self.founding_delay >= self.started + self.settle_delay
    }

    /// Returns whether every settled member left and sent its records to this agent.
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
