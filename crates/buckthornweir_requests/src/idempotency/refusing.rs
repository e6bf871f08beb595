//! What a caller gets whose request does not run.

use std::time::Duration;

use super::{ClaimKey, KeyAction, Keys};
use crate::messages::{KeyEnd, StoredAnswer};
use crate::{ProblemKind, Refusal};

/// When a caller whose request is refused may send it again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Keys {
    /// Answers from the record.
    pub(super) fn replay(
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

    /// Refuses since the request ran and its answer is no longer kept.
    pub(super) fn refuse_not_kept(
        &mut self,
        now: Duration,
        key: ClaimKey,
        out: &mut Vec<KeyAction>,
    ) {
        self.end_claim(now, key, KeyEnd::Done, None, out);
        self.counters.conflicts += 1;
        self.refuse(key, Refusal::unknown(ProblemKind::AnswerNotKept), out);
    }

    /// Refuses since another request with the key is running, may have run or is a different one.
    pub(super) fn refuse_conflict(
        &mut self,
        now: Duration,
        key: ClaimKey,
        problem: ProblemKind,
        out: &mut Vec<KeyAction>,
    ) {
        self.withdraw(now, key, out);
        self.counters.conflicts += 1;
        let refusal = match problem {
            // It never runs, however often it comes.
            ProblemKind::KeyMismatch => Refusal::not_run(problem),
            _ => Refusal::unknown(problem).with_retry_after(RETRY_AFTER),
        };
        self.refuse(key, refusal, out);
    }

    /// This copy of the request did not run, but an earlier one with the same key may have.
    pub(super) fn refuse_unreachable(
        &mut self,
        now: Duration,
        key: ClaimKey,
        out: &mut Vec<KeyAction>,
    ) {
        self.withdraw(now, key, out);
        self.counters.unreachable += 1;
        let refusal = Refusal::unknown(ProblemKind::KeyHomeUnreachable);
        self.refuse(key, refusal.with_retry_after(RETRY_AFTER), out);
    }

    /// Forgets the claim and refuses its request.
    pub(super) fn refuse(&mut self, key: ClaimKey, refusal: Refusal, out: &mut Vec<KeyAction>) {
        self.claims.remove(key);
        out.push(KeyAction::Refuse {
            claim: key,
            refusal,
        });
    }
}
