//! What the agent that got a request does: claims its key, and tells how the request ended.
//!
//! Holders are asked in rounds. Each round has an id of its own, so neither a late grant nor a late
//! withdrawal of an earlier round is taken for one of the next.

use std::time::Duration;

use rand::RngExt;

use super::holders::majority;
use super::{ClaimId, ClaimKey, KeyAction, Keys};
use crate::messages::{
    KeyAnswer, KeyClaim, KeyDone, KeyEnd, KeyVerdict, MAX_KEY_BYTES, RequestBody, StoredAnswer,
};
use crate::{NodeId, ProblemKind, Refusal};

/// A claim of this agent whose request has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    key: Vec<u8>,
    digest: u64,
    /// When the request must not be started any more.
    deadline: Duration,
    /// When holders are asked for the last time.
    retry_until: Duration,
    /// Time until holders are asked again, if they are.
    backoff: Duration,
    /// Id of the latest round.
    id: ClaimId,
    /// Holders that are asked in the latest round.
    holders: Vec<NodeId>,
    phase: Phase,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Holders are asked.
    Asking(Round),
    /// A request with the key is running; holders are asked again at this time.
    Waiting { next: Duration },
    /// The request runs, and is given up at this time if nobody told how it ended.
    Running { expires: Duration },
}

/// What holders said in one round.
#[derive(Clone, Debug)]
struct Round {
    granted: Vec<NodeId>,
    failed: Vec<NodeId>,
    /// Whether a holder said that the request ran.
    done: bool,
    /// Whether a holder said that a request with the key is running.
    running: bool,
    until: Duration,
}

impl Round {
    fn new(until: Duration) -> Self {
        Self {
            granted: Vec::new(),
            failed: Vec::new(),
            done: false,
            running: false,
            until,
        }
    }

    fn has_reply_from(&self, holder: NodeId) -> bool {
        self.granted.contains(&holder) || self.failed.contains(&holder)
    }
}

impl Claim {
    /// Returns when something is due.
    pub(crate) fn next_due(&self) -> Duration {
        match &self.phase {
            Phase::Asking(round) => round.until,
            Phase::Waiting { next } => *next,
            Phase::Running { expires } => *expires,
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
        let is_full = self.claims.len() + self.pending_ends.len() >= self.config.max_claims;
        // Each round must have its answer by the deadline.
        let last_round = deadline.saturating_sub(self.config.ask_timeout);
        let claim = Claim {
            key: key.to_vec(),
            digest,
            deadline,
            retry_until: last_round.min(now + self.config.retry_timeout),
            backoff: self.config.retry_delay,
            id: 0,
            holders: Vec::new(),
            phase: Phase::Waiting { next: now },
        };
        let claim = self.claims.insert(claim);
        let is_invalid =
            key.is_empty() || key.len() > MAX_KEY_BYTES || deadline > now + self.config.record_ttl;
        if is_invalid {
            self.refuse(claim, Refusal::not_run(ProblemKind::BadRequest), &mut out);
        } else if is_full {
            self.refuse_unreachable(now, claim, &mut out);
        } else {
            self.ask_holders(now, claim, &mut out);
        }
        (claim, out)
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
            Some(Phase::Running { .. }) => self.end_claim(now, claim, end, answer, &mut out),
            // The caller left before the holders had answered.
            Some(Phase::Asking(_)) => self.withdraw(now, claim, &mut out),
            Some(Phase::Waiting { .. }) | None => {}
        }
        self.claims.remove(claim);
        out
    }

    pub(super) fn claim_answered(
        &mut self,
        now: Duration,
        from: NodeId,
        answer: KeyAnswer,
        out: &mut Vec<KeyAction>,
    ) {
        let matching = self.claims.iter().find(|(_, c)| c.id == answer.claim);
        let Some(claim) = matching.map(|(key, _)| key) else {
            return;
        };
        let verdict = KeyVerdict::try_from(answer.verdict).unwrap_or(KeyVerdict::NotReady);
        self.note_verdict(now, claim, from, verdict, answer.answer, out);
    }

    pub(super) fn tick_claims(&mut self, now: Duration, out: &mut Vec<KeyAction>) {
        let due = self.claims.iter().filter(|(_, c)| c.next_due() <= now);
        let due: Vec<_> = due.map(|(key, _)| key).collect();
        for key in due {
            match &self.claims[key].phase {
                Phase::Asking(_) => self.close_round(now, key, out),
                Phase::Waiting { .. } => self.ask_holders(now, key, out),
                Phase::Running { .. } => self.end_claim(now, key, KeyEnd::Unknown, None, out),
            }
        }
    }

    /// Begins a round.
    fn ask_holders(&mut self, now: Duration, key: ClaimKey, out: &mut Vec<KeyAction>) {
        let id = self.next_claim;
        let until = now + self.config.ask_timeout;
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        let Some(holders) = self.roster.holders(&claim.key).filter(|h| !h.is_empty()) else {
            return self.refuse_unreachable(now, key, out);
        };
        self.next_claim = id.wrapping_add(1);
        claim.id = id;
        claim.holders = holders.clone();
        claim.phase = Phase::Asking(Round::new(until));
        let remaining = claim.deadline.saturating_sub(now).as_micros();
        let message = KeyClaim {
            claim: id,
            key: claim.key.clone(),
            digest: claim.digest,
            remaining_us: u64::try_from(remaining).unwrap_or(0),
            holders: holders.clone(),
        };
        let others = holders.iter().filter(|&&holder| holder != self.own);
        out.extend(others.map(|&to| {
            let body = RequestBody::KeyClaim(message.clone());
            KeyAction::Send { to, body }
        }));
        if holders.contains(&self.own) {
            let (verdict, answer) = self.decide(now, &message);
            self.note_verdict(now, key, self.own, verdict, answer, out);
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
        let Phase::Asking(round) = &mut claim.phase else {
            return;
        };
        if !claim.holders.contains(&from) || round.has_reply_from(from) {
            return;
        }
        match verdict {
            KeyVerdict::Granted => round.granted.push(from),
            KeyVerdict::NotReady => round.failed.push(from),
            KeyVerdict::Done if answer.as_ref().is_some_and(|a| !a.body_dropped) => {
                return self.replay(now, key, answer, out);
            }
            KeyVerdict::Done => {
                round.done = true;
                round.failed.push(from);
            }
            KeyVerdict::Running => {
                round.running = true;
                round.failed.push(from);
            }
            KeyVerdict::Unknown => {
                return self.refuse_conflict(now, key, ProblemKind::OutcomeUnknown, out);
            }
            KeyVerdict::Mismatch => {
                return self.refuse_conflict(now, key, ProblemKind::KeyMismatch, out);
            }
        }
        let count = claim.holders.len();
        let needed = majority(count);
        let is_incomplete = round.granted.len() + round.failed.len() < count;
        if round.done || round.running {
            // Another holder may know the answer.
            if !is_incomplete {
                self.close_round(now, key, out);
            }
        } else if round.granted.len() >= needed {
            let expires = claim.deadline + self.config.record_ttl;
            claim.phase = Phase::Running { expires };
            self.counters.granted += 1;
            out.push(KeyAction::Run { claim: key });
        } else if count - round.failed.len() < needed {
            self.refuse_unreachable(now, key, out);
        }
    }

    /// Acts on a round that no holder gave leave or an answer in.
    fn close_round(&mut self, now: Duration, key: ClaimKey, out: &mut Vec<KeyAction>) {
        let Some(Phase::Asking(round)) = self.claims.get(key).map(|c| &c.phase) else {
            return;
        };
        match (round.done, round.running) {
            (true, _) => self.refuse_not_kept(now, key, out),
            (false, true) => self.retry_later(now, key, out),
            (false, false) => self.refuse_unreachable(now, key, out),
        }
    }

    /// Withdraws a round that met a running request, and lets holders be asked again: the news of
    /// its end may be on the way.
    fn retry_later(&mut self, now: Duration, key: ClaimKey, out: &mut Vec<KeyAction>) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        if now >= claim.retry_until {
            return self.refuse_conflict(now, key, ProblemKind::KeyInUse, out);
        }
        // Askers that met must not meet again and again.
        let delay = self.rng.random_range(claim.backoff..claim.backoff * 3 / 2);
        claim.backoff *= 2;
        let next = claim.retry_until.min(now + delay);
        self.counters.retries += 1;
        self.withdraw(now, key, out);
        if let Some(claim) = self.claims.get_mut(key) {
            claim.phase = Phase::Waiting { next };
        }
    }

    /// Withdraws a round at the holders that may have granted it.
    pub(super) fn withdraw(&mut self, now: Duration, key: ClaimKey, out: &mut Vec<KeyAction>) {
        let Some(claim) = self.claims.get(key) else {
            return;
        };
        let Phase::Asking(round) = &claim.phase else {
            return;
        };
        let may_have_granted = |holder: &&NodeId| !round.failed.contains(holder);
        let pending = claim
            .holders
            .iter()
            .filter(may_have_granted)
            .copied()
            .collect();
        let message = claim.end_message(KeyEnd::NotRun, None);
        self.report_end(now, message, pending, out);
    }

    /// Ends a claim and tells all of its holders.
    pub(super) fn end_claim(
        &mut self,
        now: Duration,
        key: ClaimKey,
        end: KeyEnd,
        answer: Option<StoredAnswer>,
        out: &mut Vec<KeyAction>,
    ) {
        let Some(claim) = self.claims.remove(key) else {
            return;
        };
        let message = claim.end_message(end, answer);
        self.report_end(now, message, claim.holders, out);
    }
}

impl Claim {
    /// Returns the message that tells how the latest round ended.
    fn end_message(&self, end: KeyEnd, answer: Option<StoredAnswer>) -> KeyDone {
        KeyDone {
            claim: self.id,
            key: self.key.clone(),
            digest: self.digest,
            end: end.into(),
            answer,
        }
    }
}
