//! The claiming agent's part: claiming a request's key and reporting how the request ended.
//!
//! Holders are asked in rounds. Each round has its own id, so that a late grant or withdrawal of an
//! earlier round isn't mistaken for one of a later round.

use std::time::Duration;

use rand::RngExt;

use super::holders::majority;
use super::{ClaimId, ClaimKey, KeyAction, Keys};
use crate::messages::{
    KeyAnswer, KeyClaim, KeyDone, KeyEnd, KeyVerdict, MAX_KEY_BYTES, RequestBody, StoredAnswer,
};
use crate::{NodeId, ProblemKind, Refusal};

/// A claim by this agent whose request has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    key: Vec<u8>,
    digest: u64,
    /// Time after which the request must not start.
    deadline: Duration,
    /// Latest time at which a round may start.
    retry_until: Duration,
    /// Base delay before the next round, which is doubled for each round.
    backoff: Duration,
    /// Id of the latest round.
    id: ClaimId,
    /// Holders asked in the latest round.
    holders: Vec<NodeId>,
    phase: Phase,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Waiting for answers of the holders.
    Asking(Round),
    /// A request with the key is running; the next round starts at `next`.
    Waiting { next: Duration },
    /// The request is running; if its end isn't reported by `expires`, it ends as unknown.
    Running { expires: Duration },
}

/// Answers of the holders in one round.
#[derive(Clone, Debug)]
struct Round {
    granted: Vec<NodeId>,
    failed: Vec<NodeId>,
    /// Whether a holder reported that the request ran.
    done: bool,
    /// Whether a holder reported that a request with the key is running.
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

    fn has_answer_from(&self, holder: NodeId) -> bool {
        self.granted.contains(&holder) || self.failed.contains(&holder)
    }
}

impl Claim {
    /// Returns when the claim's next timer is due.
    pub(crate) fn next_due(&self) -> Duration {
        match &self.phase {
            Phase::Asking(round) => round.until,
            Phase::Waiting { next } => *next,
            Phase::Running { expires } => *expires,
        }
    }
}

impl Keys {
    /// Claims a key for a request.
    ///
    /// `digest` distinguishes the request from others that reuse the key by mistake. The request
    /// must not start after `deadline`. Refuses a key that is empty or longer than
    /// [`MAX_KEY_BYTES`], and a deadline later than
    /// [`KeysConfig::record_ttl`](super::KeysConfig::record_ttl) from now.
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
        // Each round must end by the deadline.
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

    /// Ends a claim and reports to the holders how its request ended.
    ///
    /// A claim that was not granted yet is withdrawn.
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
            // The caller cancelled before the holders had answered.
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

    /// Starts a round.
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
        if !claim.holders.contains(&from) || round.has_answer_from(from) {
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
            // A holder that has not answered yet may have the stored response.
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

    /// Ends a round in which the claim was not granted and no stored response arrived.
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

    /// Withdraws a round that found a running request, and schedules the next one: the report of
    /// the request's end may be in flight.
    fn retry_later(&mut self, now: Duration, key: ClaimKey, out: &mut Vec<KeyAction>) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        if now >= claim.retry_until {
            return self.refuse_conflict(now, key, ProblemKind::KeyInUse, out);
        }
        // Jitter keeps concurrent claims from colliding in every round.
        let delay = self.rng.random_range(claim.backoff..claim.backoff * 3 / 2);
        claim.backoff *= 2;
        let next = claim.retry_until.min(now + delay);
        self.counters.retries += 1;
        self.withdraw(now, key, out);
        if let Some(claim) = self.claims.get_mut(key) {
            claim.phase = Phase::Waiting { next };
        }
    }

    /// Withdraws the current round at the holders that may have granted it.
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

    /// Ends a claim and reports its end to all of its holders.
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
    /// Returns the message that reports the end of the latest round.
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
