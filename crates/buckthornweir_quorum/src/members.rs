//! Members of the replicated log: voters and learners.

use smol_str::SmolStr;

/// Identity of a data folder; an emptied folder gets a new one.
pub type NodeId = u64;

/// Standing of a member, which decides whether it counts towards a quorum.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// Replicates the log and does not count towards a quorum.
    #[default]
    Learner,
    /// A learner that the leader promotes as soon as it has caught up.
    Pending,
    /// Votes and counts towards a quorum.
    Voter,
}

/// A member of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Member {
    /// Identity of the data folder of the member.
    pub id: NodeId,
    /// Socket address of the member, as text.
    pub address: SmolStr,
    /// Standing of the member.
    pub standing: Standing,
}

impl Member {
    /// Returns a voting member.
    #[must_use]
    pub fn voter(id: NodeId, address: impl Into<SmolStr>) -> Self {
        Self {
            id,
            address: address.into(),
            standing: Standing::Voter,
        }
    }

    /// Returns a learner.
    #[must_use]
    pub fn learner(id: NodeId, address: impl Into<SmolStr>) -> Self {
        Self {
            id,
            address: address.into(),
            standing: Standing::Learner,
        }
    }
}

/// A change of a single member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a learner.
    AddLearner {
        /// Identity of the new member.
        id: NodeId,
        /// Socket address of the new member, as text.
        address: SmolStr,
    },
    /// Makes a learner that has caught up a voter.
    Promote {
        /// Identity of the learner.
        id: NodeId,
    },
    /// Removes a voter whose data folder is lost; its successor becomes pending.
    Replace {
        /// Identity of the lost voter.
        id: NodeId,
        /// Identity of the learner that replaces it.
        by: NodeId,
    },
    /// Removes a member.
    Remove {
        /// Identity of the member.
        id: NodeId,
    },
}

/// The set of members, ordered by id.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Members {
    list: Vec<Member>,
}

impl Members {
    /// Creates a set of members; of several members with one id, the last is kept.
    #[must_use]
    pub fn new(members: impl IntoIterator<Item = Member>) -> Self {
        let mut set = Self::default();
        for member in members {
            set.insert(member);
        }
        set
    }

    /// Returns all members, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.list.iter()
    }

    /// Returns the voting members, ordered by id.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|m| m.standing == Standing::Voter)
    }

    /// Returns the member with this id.
    #[must_use]
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        self.list.iter().find(|m| m.id == id)
    }

    /// Returns whether the member with this id is a voter.
    #[must_use]
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.get(id).is_some_and(|m| m.standing == Standing::Voter)
    }

    /// Returns the number of voters that form a quorum.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether the voters for which `agrees` is true form a quorum.
    pub fn has_quorum(&self, agrees: impl Fn(NodeId) -> bool) -> bool {
        self.voters().filter(|m| agrees(m.id)).count() >= self.quorum()
    }

    /// Returns the number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Returns whether there are no members.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the members after `change`, or `None` if the change is invalid for them.
    #[must_use]
    pub fn after(&self, change: MemberChange) -> Option<Self> {
        let mut next = self.clone();
        match change {
            MemberChange::AddLearner { id, address } => {
                if self.get(id).is_some() {
                    return None;
                }
                next.insert(Member::learner(id, address));
            }
            MemberChange::Promote { id } => {
                let member = next.list.iter_mut().find(|m| m.id == id)?;
                if member.standing == Standing::Voter {
                    return None;
                }
                member.standing = Standing::Voter;
            }
            MemberChange::Replace { id, by } => {
                next = next.after(MemberChange::Remove { id })?;
                let successor = next.list.iter_mut().find(|m| m.id == by)?;
                if successor.standing == Standing::Voter {
                    return None;
                }
                successor.standing = Standing::Pending;
            }
            MemberChange::Remove { id } => {
                next.get(id)?;
                next.list.retain(|m| m.id != id);
                next.voters().next()?;
            }
        }
        Some(next)
    }

    fn insert(&mut self, member: Member) {
        self.list.retain(|m| m.id != member.id);
        self.list.push(member);
        self.list.sort_by_key(|m| m.id);
    }
}
