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
pub(crate) type Life = u64;

/// The life of a member that was not there when the service was founded.
const NO_LIFE: Life = 0;

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
    life: Life,
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
    contact: Duration,
    forget: Duration,
    settle: Duration,
    hold: Duration,
    first_start: bool,
    hash_key: [u64; 2],
    entries: Vec<Entry>,
    /// Members that no longer count, and since when.
    dropped: Vec<(NodeId, Duration)>,
}

impl Roster {
    pub(crate) fn new(own: Member, config: &KeysConfig, now: Duration) -> Self {
        let node = own.node;
        Self {
            own: node,
            started: now,
            contact: now,
            forget: config.forget,
            settle: config.settle,
            hold: config.hold(),
            first_start: config.first_start,
            hash_key: config.hash_key,
            entries: vec![new_entry(own, now)],
            dropped: Vec::new(),
        }
    }

    /// Takes over which other members are there.
    pub(crate) fn set(&mut self, now: Duration, present: &[Member]) {
        for entry in self
            .entries
            .iter_mut()
            .filter(|e| e.member.node != self.own)
        {
            let is_there = present.iter().any(|m| m.node == entry.member.node);
            if is_there == entry.present {
                continue;
            }
            // A member that came back may hold records that it did not send.
            entry.left &= !is_there;
            entry.present = is_there;
            entry.since = now;
        }
        self.entries.retain(|e| e.present || e.settled);
        for member in present {
            self.dropped.retain(|(node, _)| *node != member.node);
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
        unfounded: Option<&BTreeMap<NodeId, Life>>,
    ) -> Change {
        if self.is_unfounded() {
            if let Some(lives) = unfounded.filter(|_| self.is_founding(now)) {
                self.found(now);
                self.note_lives(lives);
                return Change::Founded;
            }
        } else if self.have_all_left() {
            self.found(now);
            return Change::Inherited;
        }
        if !self.in_contact() {
            let joining = self.entries.iter_mut().filter(|e| !e.settled);
            joining.for_each(|e| e.since = now);
            return Change::None;
        }
        let was_away = now >= self.contact + self.forget / 2;
        self.contact = now;
        if was_away {
            return Change::Returned;
        }
        self.let_settle(now);
        Change::None
    }

    /// Counts the members that are there, and no others.
    pub(crate) fn found(&mut self, now: Duration) {
        self.entries.retain(|e| e.present);
        self.entries.iter_mut().for_each(|e| e.settled = true);
        self.contact = now;
    }

    fn note_lives(&mut self, lives: &BTreeMap<NodeId, Life>) {
        for entry in &mut self.entries {
            entry.life = lives.get(&entry.member.node).copied().unwrap_or(NO_LIFE);
        }
    }

    fn let_settle(&mut self, now: Duration) {
        let (settle, forget) = (self.settle, self.forget);
        for entry in &mut self.entries {
            entry.settled |= entry.present && now >= entry.since + settle;
        }
        let is_due = |e: &Entry| {
            let limit = if e.left { settle } else { forget };
            !e.present && now >= e.since + limit
        };
        self.dropped.retain(|(_, since)| now < *since + forget);
        let due = self.entries.iter().filter(|e| is_due(e));
        self.dropped.extend(due.map(|e| (e.member.node, now)));
        self.entries.retain(|e| !is_due(e));
    }

    /// Takes over the members that count from a member that knows them.
    pub(crate) fn adopt(&mut self, now: Duration, settled: &[(Member, Life)]) {
        let is_dropped = |node| self.dropped.iter().any(|(other, _)| *other == node);
        let settled = settled.iter().filter(|(m, _)| !is_dropped(m.node));
        for (member, life) in settled {
            match self
                .entries
                .iter_mut()
                .find(|e| e.member.node == member.node)
            {
                Some(entry) => {
                    entry.settled = true;
                    entry.life = *life;
                }
                None => self.entries.push(Entry {
                    present: false,
                    settled: true,
                    life: *life,
                    ..new_entry(member.clone(), now)
                }),
            }
        }
        self.entries.sort_by_key(|e| e.member.node);
        self.contact = now;
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
    pub(crate) fn note_back(&mut self, node: NodeId) {
        if let Some(entry) = self.entries.iter_mut().find(|e| e.member.node == node) {
            entry.left = false;
        }
    }

    /// Returns whether more than half of the members that count are there.
    pub(crate) fn in_contact(&self) -> bool {
        let counted = self.entries.iter().filter(|e| e.settled && !e.has_left());
        let (present, all) = counted.fold((0, 0), |(p, n), e| (p + usize::from(e.present), n + 1));
        present * 2 > all
    }

    /// Returns the holders of a key's record; none while they can't be told for certain.
    pub(crate) fn holders(&self, key: &[u8]) -> Option<Vec<NodeId>> {
        if !self.in_contact() {
            return None;
        }
        Some(holders_of(self.hash_key, key, self.settled()))
    }

    /// Returns the members that count.
    pub(crate) fn settled(&self) -> impl Iterator<Item = &Member> {
        self.entries.iter().filter(|e| e.settled).map(|e| &e.member)
    }

    /// Returns the members that count, with their lives that were there at the founding.
    pub(crate) fn lives(&self) -> impl Iterator<Item = (&Member, Life)> {
        let settled = self.entries.iter().filter(|e| e.settled);
        settled.map(|e| (&e.member, e.life))
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
    pub(crate) fn left(&self) -> impl Iterator<Item = NodeId> {
        let left = self
            .entries
            .iter()
            .filter(|e| e.left)
            .map(|e| e.member.node);
        left.chain(self.dropped.iter().map(|(node, _)| *node))
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
    fn is_founding(&self, now: Duration) -> bool {
        self.first_start && now + self.hold >= self.started + self.settle
    }

    /// Returns whether every member that counted has left and sent its records here.
    fn have_all_left(&self) -> bool {
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
        life: NO_LIFE,
    }
}
