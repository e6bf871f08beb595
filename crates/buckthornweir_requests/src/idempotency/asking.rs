//! What the agent that got a request does: claims its key, and tells how the request ended.

use std::time::Duration;

use slotmap::{Key, KeyData};

use super::holders::majority;
use super::{ClaimId, ClaimKey, KeyAction, Keys};
use crate::messages::{
    KEY_MOST, KeyAnswer, KeyClaim, KeyDone, KeyEnd, KeyVerdict, RequestBody, StoredAnswer,
};
use crate::{NodeId, ProblemKind, Refusal};

/// When a caller whose request is refused may send it again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A claim of this agent.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    key: Vec<u8>,
    digest: u64,
    holders: Vec<NodeId>,
    /// When it is given up if nobody told how its request ended.
    expires: Duration,
    phase: Phase,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Holders are asked.
    Asking {
        granted: Vec<NodeId>,
        failed: Vec<NodeId>,
        done: bool,
        until: Duration,
    },
    /// The request runs.
    Running,
    /// The request ended; some holders have not confirmed it.
    Ended {
        end: KeyEnd,
        answer: Option<StoredAnswer>,
        open: Vec<NodeId>,
        next: Duration,
        sends: u32,
    },
}

impl Claim {
    pub(crate) fn next_due(&self) -> Option<Duration> {
        match self.phase {
            Phase::Asking { until, .. } => Some(until),
            Phase::Running => Some(self.expires),
            Phase::Ended { next, .. } => Some(next),
        }
    }
}

impl Keys {
    /// Claims a key for a request that came with it.
    ///
    /// `digest` tells the request from others that use the key by mistake. The request must not be
    /// started after `deadline`, which may lie no further off than records are kept; a key that
    /// is too long and a deadline too far off are refused.
    pub fn claim(
        &mut self,
        now: Duration,
        key: &[u8],
        digest: u64,
        deadline: Duration,
    ) -> (ClaimKey, Vec<KeyAction>) {
        let mut out = Vec::new();
        self.counters.claims += 1;
        let is_full = self.claims.len() >= self.config.claims;
        let holders = self.roster.holders(key).unwrap_or_default();
        let until = now + self.config.ask_wait;
        let phase = Phase::Asking {
            granted: vec![],
            failed: vec![],
            done: false,
            until,
        };
        let claim = Claim {
            key: key.to_vec(),
            digest,
            holders: holders.clone(),
            expires: deadline + self.config.keep,
            phase,
        };
        let claim_key = self.claims.insert(claim);
        let is_bad = key.is_empty() || key.len() > KEY_MOST || deadline > now + self.config.keep;
        if is_bad {
            self.refuse_claim(
                claim_key,
                Refusal::not_run(ProblemKind::BadRequest),
                &mut out,
            );
            return (claim_key, out);
        }
        if holders.is_empty() || is_full {
            self.refuse_unreachable(claim_key, &mut out);
            return (claim_key, out);
        }
        let message = KeyClaim {
            claim: self.id_of(claim_key),
            key: key.to_vec(),
            digest,
            remaining_us: u64::try_from(deadline.saturating_sub(now).as_micros()).unwrap_or(0),
            holders: holders.clone(),
        };
        let others = holders.iter().filter(|&&holder| holder != self.own);
        out.extend(others.map(|&to| {
            let body = RequestBody::KeyClaim(message.clone());
            KeyAction::Send { to, body }
        }));
        if holders.contains(&self.own) {
            let (verdict, answer) = self.decide(now, &message);
            self.note_verdict(now, claim_key, self.own, verdict, answer, &mut out);
        }
        (claim_key, out)
    }

    /// Notes how a request that ran with a claim ended, and tells the holders.
    ///
    /// A claim that is ended before it was granted is withdrawn.
    pub fn finished(
        &mut self,
        now: Duration,
        claim: ClaimKey,
        end: KeyEnd,
        answer: Option<StoredAnswer>,
    ) -> Vec<KeyAction> {
        let mut out = Vec::new();
        match self.claims.get(claim).map(|c| &c.phase) {
            Some(Phase::Running) => self.end_claim(now, claim, end, answer, &mut out),
            // The caller left before the holders had answered.
            Some(Phase::Asking { .. }) => {
                self.end_claim(now, claim, KeyEnd::NotRun, None, &mut out);
            }
            Some(Phase::Ended { .. }) | None => {}
        }
        out
    }

    pub(super) fn answered(
        &mut self,
        now: Duration,
        from: NodeId,
        answer: KeyAnswer,
        out: &mut Vec<KeyAction>,
    ) {
        let claim = self.key_of(answer.claim);
        let verdict = KeyVerdict::try_from(answer.verdict).unwrap_or(KeyVerdict::NotReady);
        self.note_verdict(now, claim, from, verdict, answer.answer, out);
    }

    pub(super) fn stored(&mut self, from: NodeId, claim: ClaimId) {
        let key = self.key_of(claim);
        let Some(found) = self.claims.get_mut(key) else {
            return;
        };
        let Phase::Ended { open, .. } = &mut found.phase else {
            return;
        };
        open.retain(|&node| node != from);
        if open.is_empty() {
            self.claims.remove(key);
        }
    }

    pub(super) fn tick_claims(&mut self, now: Duration, out: &mut Vec<KeyAction>) {
        let due = self
            .claims
            .iter()
            .filter(|(_, c)| c.next_due().is_some_and(|at| at <= now));
        let due: Vec<_> = due.map(|(key, _)| key).collect();
        for key in due {
            match &self.claims[key].phase {
                Phase::Asking { done: true, .. } => self.refuse_not_kept(now, key, out),
                Phase::Asking { .. } => {
                    self.end_claim(now, key, KeyEnd::NotRun, None, out);
                    self.refuse_unreachable(key, out);
                }
                Phase::Running => self.end_claim(now, key, KeyEnd::Unknown, None, out),
                Phase::Ended { .. } => self.send_end(now, key, out),
            }
        }
    }

    fn note_verdict(
        &mut self,
        now: Duration,
        key: ClaimKey,
        from: NodeId,
        verdict: KeyVerdict,
        answer: Option<StoredAnswer>,
        out: &mut Vec<KeyAction>,
    ) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        let needed = majority(claim.holders.len());
        let count = claim.holders.len();
        let is_holder = claim.holders.contains(&from);
        let Phase::Asking {
            granted,
            failed,
            done,
            ..
        } = &mut claim.phase
        else {
            return;
        };
        if !is_holder || granted.contains(&from) || failed.contains(&from) {
            return;
        }
        match verdict {
            KeyVerdict::Granted => granted.push(from),
            KeyVerdict::NotReady => failed.push(from),
            KeyVerdict::Done if answer.as_ref().is_some_and(|a| !a.body_dropped) => {
                return self.replay(now, key, answer, out);
            }
            KeyVerdict::Done => {
                *done = true;
                failed.push(from);
            }
            KeyVerdict::Running => return self.refuse_running(now, key, out),
            KeyVerdict::Unknown => return self.refuse_unknown(now, key, out),
            KeyVerdict::Mismatch => return self.refuse_mismatch(now, key, out),
        }
        let (is_done, answers) = (*done, granted.len() + failed.len());
        if is_done {
            if answers == count {
                self.refuse_not_kept(now, key, out);
            }
        } else if granted.len() >= needed {
            claim.phase = Phase::Running;
            self.counters.granted += 1;
            out.push(KeyAction::Run { claim: key });
        } else if count - failed.len() < needed {
            self.end_claim(now, key, KeyEnd::NotRun, None, out);
            self.refuse_unreachable(key, out);
        }
    }

    fn replay(
        &mut self,
        now: Duration,
        key: ClaimKey,
        answer: Option<StoredAnswer>,
        out: &mut Vec<KeyAction>,
    ) {
        // Holders that did not know the answer get a copy.
        self.end_claim(now, key, KeyEnd::Done, answer.clone(), out);
        self.counters.replayed += 1;
        out.extend(answer.map(|answer| KeyAction::Replay { claim: key, answer }));
    }

    fn refuse_not_kept(&mut self, now: Duration, key: ClaimKey, out: &mut Vec<KeyAction>) {
        self.end_claim(now, key, KeyEnd::Done, None, out);
        self.counters.conflicts += 1;
        self.refuse_claim(key, Refusal::unknown(ProblemKind::AnswerNotKept), out);
    }

    fn refuse_running(&mut self, now: Duration, key: ClaimKey, out: &mut Vec<KeyAction>) {
        self.end_claim(now, key, KeyEnd::NotRun, None, out);
        self.counters.conflicts += 1;
        let refusal = Refusal::unknown(ProblemKind::KeyInUse).with_retry_after(RETRY_AFTER);
        self.refuse_claim(key, refusal, out);
    }

    fn refuse_unknown(&mut self, now: Duration, key: ClaimKey, out: &mut Vec<KeyAction>) {
        self.end_claim(now, key, KeyEnd::NotRun, None, out);
        self.counters.conflicts += 1;
        let refusal = Refusal::unknown(ProblemKind::OutcomeUnknown).with_retry_after(RETRY_AFTER);
        self.refuse_claim(key, refusal, out);
    }

    fn refuse_mismatch(&mut self, now: Duration, key: ClaimKey, out: &mut Vec<KeyAction>) {
        self.end_claim(now, key, KeyEnd::NotRun, None, out);
        self.counters.conflicts += 1;
        self.refuse_claim(key, Refusal::not_run(ProblemKind::KeyMismatch), out);
    }

    /// This copy of the request did not run, but an earlier one with the same key may have.
    fn refuse_unreachable(&mut self, key: ClaimKey, out: &mut Vec<KeyAction>) {
        self.counters.unreachable += 1;
        let refusal = Refusal::unknown(ProblemKind::KeyHomeUnreachable);
        self.refuse_claim(key, refusal.with_retry_after(RETRY_AFTER), out);
    }

    fn refuse_claim(&mut self, key: ClaimKey, refusal: Refusal, out: &mut Vec<KeyAction>) {
        let is_asking = self
            .claims
            .get(key)
            .is_some_and(|c| matches!(c.phase, Phase::Asking { .. }));
        if is_asking {
            self.claims.remove(key);
        }
        out.push(KeyAction::Refuse {
            claim: key,
            refusal,
        });
    }

    /// Ends a claim and tells all of its holders, since a grant may still be on its way.
    fn end_claim(
        &mut self,
        now: Duration,
        key: ClaimKey,
        end: KeyEnd,
        answer: Option<StoredAnswer>,
        out: &mut Vec<KeyAction>,
    ) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        let open = claim.holders.clone();
        let sends = self.config.sends;
        claim.phase = Phase::Ended {
            end,
            answer,
            open,
            next: now,
            sends,
        };
        self.send_end(now, key, out);
    }

    fn send_end(&mut self, now: Duration, key: ClaimKey, out: &mut Vec<KeyAction>) {
        let id = self.id_of(key);
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        let Phase::Ended {
            end,
            answer,
            open,
            next,
            sends,
        } = &mut claim.phase
        else {
            return;
        };
        if *sends == 0 {
            self.counters.unconfirmed += 1;
            self.claims.remove(key);
            return;
        }
        *sends -= 1;
        *next = now + self.config.resend;
        let message = KeyDone {
            claim: id,
            key: claim.key.clone(),
            digest: claim.digest,
            end: (*end).into(),
            answer: answer.clone(),
        };
        let open = open.clone();
        for to in open {
            if to != self.own {
                let body = RequestBody::KeyDone(message.clone());
                out.push(KeyAction::Send { to, body });
            } else if self.note_done(now, message.clone()) {
                self.stored(self.own, id);
            }
        }
    }

    fn id_of(&self, key: ClaimKey) -> ClaimId {
        key.data().as_ffi() ^ self.salt
    }

    fn key_of(&self, claim: ClaimId) -> ClaimKey {
        ClaimKey::from(KeyData::from_ffi(claim ^ self.salt))
    }
}
