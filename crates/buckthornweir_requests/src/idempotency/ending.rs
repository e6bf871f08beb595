//! Ends of claims, sent to the holders until each one confirms.

use std::time::Duration;

use super::{ClaimId, KeyAction, Keys};
use crate::NodeId;
use crate::messages::{KeyDone, RequestBody};

/// End of a claim that some holders have not confirmed.
#[derive(Clone, Debug)]
pub(crate) struct PendingEnd {
    message: KeyDone,
    pending: Vec<NodeId>,
    next_send: Duration,
    sends_left: u32,
}

impl PendingEnd {
    /// Returns when the end is sent again.
    pub(crate) fn next_due(&self) -> Duration {
        self.next_send
    }
}

impl Keys {
    /// Sends the end of a claim to the given holders until they confirm it.
    pub(super) fn report_end(
        &mut self,
        now: Duration,
        message: KeyDone,
        pending: Vec<NodeId>,
        out: &mut Vec<KeyAction>,
    ) {
        if pending.is_empty() {
            return;
        }
        let id = message.claim;
        let pending_end = PendingEnd {
            message,
            pending,
            next_send: now,
            sends_left: self.config.max_sends,
        };
        self.pending_ends.insert(id, pending_end);
        self.send_end(now, id, out);
    }

    /// Records that a holder confirmed the end of a claim.
    pub(super) fn end_confirmed(&mut self, from: NodeId, claim: ClaimId) {
        let Some(pending_end) = self.pending_ends.get_mut(&claim) else {
            return;
        };
        pending_end.pending.retain(|&node| node != from);
        if pending_end.pending.is_empty() {
            self.pending_ends.remove(&claim);
        }
    }

    pub(super) fn tick_ends(&mut self, now: Duration, out: &mut Vec<KeyAction>) {
        let due = self
            .pending_ends
            .iter()
            .filter(|(_, pending_end)| pending_end.next_send <= now);
        let due: Vec<_> = due.map(|(id, _)| *id).collect();
        for id in due {
            self.send_end(now, id, out);
        }
    }

    fn send_end(&mut self, now: Duration, id: ClaimId, out: &mut Vec<KeyAction>) {
        let Some(pending_end) = self.pending_ends.get_mut(&id) else {
            return;
        };
        if pending_end.sends_left == 0 {
            self.counters.unconfirmed += 1;
            self.pending_ends.remove(&id);
            return;
        }
        pending_end.sends_left -= 1;
        pending_end.next_send = now + self.config.resend_interval;
        let message = pending_end.message.clone();
        for to in pending_end.pending.clone() {
            if to != self.own {
                let body = RequestBody::KeyDone(message.clone());
                out.push(KeyAction::Send { to, body });
            } else if self.store_end(now, message.clone()) {
                self.end_confirmed(self.own, id);
            }
        }
    }
}
