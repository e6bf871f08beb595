//! Quorums, also while VMs are known to have lost their disks.
//!
//! An even set of voters tolerates no more losses than the odd set below it: of six voters four must
//! agree, so three that are gone end the log for good, although the other three hold every committed
//! entry. Once one of the lost voters is known to have lost its disk, its identity never votes again,
//! and the other voters count as an odd set: three of five are a quorum.
//!
//! Two such quorums always have a member in common, or one that had agreed before its disk was lost.
//! The latter is ruled out by time: a candidate only counts losses that it knew of before it asked for
//! votes, and a leader only those that it knew of as a candidate. If two quorums were disjoint, each
//! would hold a voter that the other one counts as lost, so that each would have to be older than the
//! other.
//!
//! While a member change is pending, a majority of the new set decides, without smaller quorums. If the
//! set before it is even, that set must agree too: its smaller quorums need not meet a majority of an
//! odd set.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Core;
use crate::founding::{PRESENCE_TTL, Presence};
use crate::members::{Member, Members, NodeId};

/// Smallest number of voters whose quorum gets smaller when a disk is lost. Two voters tolerate no
/// loss, so their quorum stays both.
const MIN_REDUCIBLE: usize = 4;

/// Voters that have lost their disks, with the times until which that is taken as known.
pub(super) type LostDisks = BTreeMap<NodeId, Duration>;

/// Members that granted a vote or pre-vote, and the lost disks that were known before it was requested.
#[derive(Debug, Clone, Hash)]
pub(super) struct Votes {
    pub(super) granted: BTreeSet<NodeId>,
    pub(super) lost: BTreeSet<NodeId>,
}

/// The sets of voters that must agree on a decision.
pub(super) struct Electorate<'a> {
    newest: &'a Members,
    is_newest_committed: bool,
    /// The committed set while a change of it is pending, if its quorums can get smaller.
    previous: Option<Members>,
    lost: &'a BTreeSet<NodeId>,
}

impl<'a> Electorate<'a> {
    /// Creates an electorate of the voters in `newest`; `committed` are the members before a pending
    /// change.
    pub(super) fn new(
        newest: &'a Members,
        committed: Option<Members>,
        lost: &'a BTreeSet<NodeId>,
    ) -> Self {
        let ids = |members: &Members| members.voters().map(|m| m.id).collect::<Vec<_>>();
        let previous = committed.filter(|members| ids(members) != ids(newest));
        Self {
            newest,
            is_newest_committed: previous.is_none(),
            previous: previous.filter(is_reducible),
            lost,
        }
    }

    /// Returns the voters of all sets.
    pub(super) fn voters(&self) -> BTreeSet<NodeId> {
        let previous = self.previous.iter().flat_map(Members::voters);
        self.newest.voters().chain(previous).map(|m| m.id).collect()
    }

    /// Returns whether the members for which `agrees` is true form a quorum.
    pub(super) fn has_quorum(&self, agrees: impl Fn(NodeId) -> bool) -> bool {
        let newest_agrees = match self.is_newest_committed {
            true => has_quorum_without(self.newest, self.lost, &agrees),
            false => self.newest.has_quorum(&agrees),
        };
        let previous = self.previous.as_ref();
        newest_agrees && previous.is_none_or(|m| has_quorum_without(m, self.lost, &agrees))
    }
}

/// Returns whether quorums of these members get smaller when a voter is known to have lost its disk.
fn is_reducible(members: &Members) -> bool {
    let voters = members.voters().count();
    voters >= MIN_REDUCIBLE && voters.is_multiple_of(2)
}

/// Returns whether the members for which `agrees` is true form a quorum, given that those in `lost`
/// have lost their disks.
fn has_quorum_without(
    members: &Members,
    lost: &BTreeSet<NodeId>,
    agrees: impl Fn(NodeId) -> bool,
) -> bool {
    if members.has_quorum(&agrees) {
        return true;
    }
    let is_reduced = is_reducible(members) && members.voters().any(|m| lost.contains(&m.id));
    let remaining = members.voters().filter(|m| !lost.contains(&m.id));
    is_reduced && remaining.filter(|m| agrees(m.id)).count() >= members.voters().count() / 2
}

impl Core {
    /// Records the presence of a VM. If a voter had its address under another identity, that voter
    /// has lost its disk, since the identity is stored there; it is returned when this is news.
    pub fn note_presence(&mut self, now: Duration, presence: &Presence) -> Option<NodeId> {
        self.lost_disks.retain(|_, until| now < *until);
        let is_emptied =
            |m: &&Member| m.address == presence.address && m.id != presence.id && m.id != self.id;
        let emptied = self.members.voters().find(is_emptied)?.id;
        let known = self.lost_disks.insert(emptied, now + PRESENCE_TTL);
        known.is_none().then_some(emptied)
    }

    /// Returns the voters that are known to have lost their disks.
    fn known_lost(&self, now: Duration) -> BTreeSet<NodeId> {
        let recent = self.lost_disks.iter().filter(|(_, until)| now < **until);
        recent.map(|(id, _)| *id).collect()
    }

    /// Returns the votes of a new candidate, which are its own.
    pub(super) fn own_vote(&self, now: Duration) -> Votes {
        Votes {
            granted: BTreeSet::from([self.id]),
            lost: self.known_lost(now),
        }
    }

    /// Returns the sets of voters that decide for a candidate or leader that knows of `lost`.
    pub(super) fn electorate<'a>(&'a self, lost: &'a BTreeSet<NodeId>) -> Electorate<'a> {
        let committed = self.has_pending_change().then(|| self.committed_members());
        Electorate::new(&self.members, committed, lost)
    }

    /// Returns the other members whose votes a candidate needs or may need.
    pub(super) fn other_electors(&self) -> Vec<NodeId> {
        let electors = self.electorate(&BTreeSet::new()).voters();
        electors.into_iter().filter(|id| *id != self.id).collect()
    }

    /// Returns whether the votes are a quorum.
    pub(super) fn is_elected(&self, votes: &Votes) -> bool {
        let electorate = self.electorate(&votes.lost);
        electorate.has_quorum(|id| votes.granted.contains(&id))
    }
}
