//! The holder's part: granting a key to one claim and reporting the state of its record.

use std::time::Duration;

use super::{KeyAction, Keys};
use crate::NodeId;
use crate::messages::{
    KeyAnswer, KeyClaim, KeyDone, KeyEnd, KeyStored, KeyVerdict, RequestBody, StoredAnswer,
};

impl Keys {
    pub(super) fn claim_requested(
        &mut self,
        now: Duration,
        from: NodeId,
        claim: &KeyClaim,
        out: &mut Vec<KeyAction>,
    ) {
        let (verdict, answer) = self.decide(now, claim);
        let verdict = verdict.into();
        let body = KeyAnswer {
            claim: claim.claim,
            verdict,
            answer,
        };
        out.push(KeyAction::Send {
            to: from,
            body: RequestBody::KeyAnswer(body),
        });
    }

    /// Decides on a claim as one of the key's holders.
    pub(super) fn decide(
        &mut self,
        now: Duration,
        claim: &KeyClaim,
    ) -> (KeyVerdict, Option<StoredAnswer>) {
        let known = self
            .records
            .look_up(now, &claim.key, claim.digest, claim.claim);
        if let Some(known) = known {
            return known;
        }
        let until = now + Duration::from_micros(claim.remaining_us).min(self.config.record_ttl);
        let is_granted = self.may_grant(&claim.key, &claim.holders)
            && self
                .records
                .claim(now, &claim.key, claim.digest, claim.claim, until);
        if is_granted {
            return (KeyVerdict::Granted, None);
        }
        self.counters.not_ready += 1;
        (KeyVerdict::NotReady, None)
    }

    /// Returns whether the claiming agent and this agent know the same holders, and this agent's
    /// records are complete.
    fn may_grant(&self, key: &[u8], holders: &[NodeId]) -> bool {
        self.is_ready()
            && holders.contains(&self.own)
            && self.roster.holders(key).is_some_and(|own| own == holders)
    }

    pub(super) fn end_reported(
        &mut self,
        now: Duration,
        from: NodeId,
        done: KeyDone,
        out: &mut Vec<KeyAction>,
    ) {
        let claim = done.claim;
        if self.store_end(now, done) {
            let body = RequestBody::KeyStored(KeyStored { claim });
            out.push(KeyAction::Send { to: from, body });
        }
    }

    /// Stores the end of a claimed request; returns `false` if the table is full.
    pub(super) fn store_end(&mut self, now: Duration, done: KeyDone) -> bool {
        let end = KeyEnd::try_from(done.end).unwrap_or(KeyEnd::Unknown);
        self.records
            .end(now, &done.key, done.digest, done.claim, end, done.answer)
    }
}
