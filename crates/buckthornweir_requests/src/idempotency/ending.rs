//! Ends of claims, which are told to the holders until they confirm them.

use std::time::Duration;

use super::{ClaimId, KeyAction, Keys};
use crate::NodeId;
use crate::messages::{KeyDone, RequestBody};

/// The end of a claim that some holders have not confirmed.
#[derive(Clone, Debug)]
pub(crate) struct Ending {
    message: KeyDone,
    open: Vec<NodeId>,
    next: Duration,
    sends: u32,
}

impl Ending {
    /// Returns when the end is told again.
    pub(crate) fn next_due(&self) -> Duration {
        self.next
    }
}

impl Keys {
    /// Tells the end of a claim to these holders until they confirm it.
    pub(super) fn tell_end(
        &mut self,
        now: Duration,
        message: KeyDone,
        open: Vec<NodeId>,
        out: &mut Vec<KeyAction>,
    ) {
        if open.is_empty() {
            return;
        }
        let id = message.claim;
        let ending = Ending {
            message,
            open,
            next: now,
            sends: self.config.sends,
        };
        self.ends.insert(id, ending);
        self.send_end(now, id, out);
    }

    /// Notes that a holder knows the end of a claim.
    pub(super) fn stored(&mut self, from: NodeId, claim: ClaimId) {
        let Some(ending) = self.ends.get_mut(&claim) else {
            return;
        };
        ending.open.retain(|&node| node != from);
        if ending.open.is_empty() {
            self.ends.remove(&claim);
        }
    }

    pub(super) fn tick_ends(&mut self, now: Duration, out: &mut Vec<KeyAction>) {
        let due = self.ends.iter().filter(|(_, ending)| ending.next <= now);
        let due: Vec<_> = due.map(|(id, _)| *id).collect();
        for id in due {
            self.send_end(now, id, out);
        }
    }

    fn send_end(&mut self, now: Duration, id: ClaimId, out: &mut Vec<KeyAction>) {
        let Some(ending) = self.ends.get_mut(&id) else {
            return;
        };
        if ending.sends == 0 {
            self.counters.unconfirmed += 1;
            self.ends.remove(&id);
            return;
        }
        ending.sends -= 1;
        ending.next = now + self.config.resend;
        let message = ending.message.clone();
        for to in ending.open.clone() {
            if to != self.own {
                let body = RequestBody::KeyDone(message.clone());
                out.push(KeyAction::Send { to, body });
            } else if self.note_done(now, message.clone()) {
                self.stored(self.own, id);
            }
        }
    }
}
