//! Founding of a service: the members present at its first start become settled together.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Keys;
use super::roster::{Change, Instance};
use super::syncing::UNSOLICITED_TOKEN;
use crate::NodeId;
use crate::messages::{KeyRecords, Standing};

/// Report of a member that it knows no settled member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unfounded {
    instance: Instance,
    /// When the request for the report was sent.
    asked: Duration,
}

impl Keys {
    /// Records whether a member reports that it knows no settled member.
    pub(super) fn note_unfounded(&mut self, from: NodeId, message: &KeyRecords) {
        let pull = self
            .pulls
            .get(&from)
            .filter(|p| p.token != UNSOLICITED_TOKEN);
        let unfounded = pull.filter(|_| message.settled.is_empty());
        match unfounded {
            Some(pull) => {
                let (instance, asked) = (message.life, pull.sent);
                self.unfounded.insert(from, Unfounded { instance, asked });
            }
            None => drop(self.unfounded.remove(&from)),
        }
    }

    /// Returns the instances of the other present members, if each of them recently reported that
    /// it knows no settled member.
    fn unfounded_instances(&self, now: Duration) -> Option<BTreeMap<NodeId, Instance>> {
        let oldest = now.saturating_sub(self.config.resend_interval * 2);
        let instance = |node| {
            let report = self.unfounded.get(&node).filter(|u| u.asked >= oldest);
            report.map(|u| (node, u.instance))
        };
        self.roster.others().map(instance).collect()
    }

    /// Runs the timers of the roster and applies the resulting change.
    pub(super) fn tick_roster(&mut self, now: Duration) {
        let instances = match self.roster.is_unfounded() {
            true => self.unfounded_instances(now),
            false => None,
        };
        match self.roster.tick(now, instances.as_ref()) {
            Change::None => {}
            Change::Founded => {
                self.is_founder = true;
                self.grants_after = Some(now + self.config.founding_delay());
            }
            Change::Inherited => self.standing = Standing::Sure,
            Change::Returned => self.suspend_grants(),
        }
    }
}
