//! Agents that are absent but may return with their flows.
//!
//! While such an agent is awaited, no flow can be considered lost.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::NodeId;

/// How long an agent that stopped as planned is awaited: on the users' platform a stop takes up to
/// 6 s, and a start takes a few hundred milliseconds.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// How long an agent considered dead is awaited. A process that was partitioned suspects live
/// agents after it reconnects, and their refutations take several rounds of gossip.
const DEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// The reason why an agent is absent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Absence {
    /// It stopped as planned, and its backend server keeps running.
    Stopped,
    /// The other processes consider it dead.
    Dead,
}

impl Absence {
    fn timeout(self) -> Duration {
        match self {
            Self::Stopped => STOP_TIMEOUT,
            Self::Dead => DEAD_TIMEOUT,
        }
    }
}

/// The absent agents, with the start of each absence.
#[derive(Clone, Debug, Default)]
pub struct Absences {
    since: BTreeMap<NodeId, (Absence, Duration)>,
}

impl Absences {
    /// Replaces the set of absent agents. Returns those that are newly absent or absent for another
    /// reason.
    pub fn update(
        &mut self,
        now: Duration,
        absent: impl IntoIterator<Item = (NodeId, Absence)>,
    ) -> Vec<(NodeId, Absence)> {
        let mut changed = Vec::new();
        let mut since = BTreeMap::new();
        for (node, absence) in absent {
            let known = self.since.get(&node).filter(|(known, _)| *known == absence);
            if known.is_none() {
                changed.push((node, absence));
            }
            since.insert(node, known.copied().unwrap_or((absence, now)));
        }
        self.since = since;
        changed
    }

    /// Returns the agents that may return.
    pub fn awaited(&self, now: Duration) -> impl Iterator<Item = NodeId> {
        let entries = self.since.iter();
        entries
            .filter(move |(_, entry)| is_awaited(now, **entry))
            .map(|(node, _)| *node)
    }

    /// Returns whether no agent is awaited.
    #[must_use]
    pub fn none_awaited(&self, now: Duration) -> bool {
        self.awaited(now).next().is_none()
    }
}

fn is_awaited(now: Duration, (absence, since): (Absence, Duration)) -> bool {
    now < since + absence.timeout()
}
