//! How the members that are there at a first start found the service together.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Keys;
use super::roster::{Change, Life};
use super::syncing::UNASKED;
use crate::NodeId;
use crate::messages::{KeyRecords, Standing};

/// A member that said that no member counts yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unfounded {
    life: Life,
    /// When it was asked.
    asked: Duration,
}

impl Keys {
    /// Notes whether a member says that no member counts yet.
    pub(super) fn note_unfounded(&mut self, from: NodeId, message: &KeyRecords) {
        let pull = self.pulls.get(&from).filter(|p| p.token != UNASKED);
        let unfounded = pull.filter(|_| message.settled.is_empty());
        match unfounded {
            Some(pull) => {
                let (life, asked) = (message.life, pull.sent);
                self.unfounded.insert(from, Unfounded { life, asked });
            }
            None => drop(self.unfounded.remove(&from)),
        }
    }

    /// Returns the lives of the other members that are there, if each of them said a short time ago
    /// that no member counts yet.
    fn unfounded_lives(&self, now: Duration) -> Option<BTreeMap<NodeId, Life>> {
        let oldest = now.saturating_sub(self.config.resend * 2);
        let life = |node| {
            let said = self.unfounded.get(&node).filter(|u| u.asked >= oldest);
            said.map(|u| (node, u.life))
        };
        self.roster.others().map(life).collect()
    }

    /// Lets time pass for the members that count.
    pub(super) fn tick_roster(&mut self, now: Duration) {
        let lives = match self.roster.is_unfounded() {
            true => self.unfounded_lives(now),
            false => None,
        };
        match self.roster.tick(now, lives.as_ref()) {
            Change::None => {}
            Change::Founded => {
                self.is_founder = true;
                self.held_until = Some(now + self.config.hold());
            }
            Change::Inherited => self.standing = Standing::Sure,
            Change::Returned => self.doubt(),
        }
    }
}
