//! Agents that are not there, but may come back with their flows.
//!
//! While one of them is awaited, no flow is known to be held by nobody.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::NodeId;

/// How long an agent that stopped as planned is awaited: a stop may take 6 s on the users' platform, and a
/// start some hundred milliseconds.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// How long an agent that is held as dead is awaited: a process that was cut off accuses living ones when
/// it is back, and their refutations take some rounds of gossip.
const DEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an agent is not there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Absence {
    /// It stopped as planned, and its backend server stays.
    Stopped,
    /// The others hold it as dead.
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

/// The agents that are not there, and since when.
#[derive(Clone, Debug, Default)]
pub struct Absences {
    since: BTreeMap<NodeId, (Absence, Duration)>,
}

impl Absences {
    /// Takes the agents that are absent now. Returns those that were not before, or for another reason.
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

    /// Returns the agents that may come back.
    pub fn awaited(&self, now: Duration) -> impl Iterator<Item = NodeId> {
        let entries = self.since.iter();
        entries
            .filter(move |(_, entry)| is_awaited(now, **entry))
            .map(|(node, _)| *node)
    }

    /// Returns whether no agent is awaited any more.
    #[must_use]
    pub fn none_awaited(&self, now: Duration) -> bool {
        self.awaited(now).next().is_none()
    }
}

fn is_awaited(now: Duration, (absence, since): (Absence, Duration)) -> bool {
    now < since + absence.timeout()
}
