//! Responses to requests that do not run: stored responses and refusals.

use std::time::Duration;

use super::{ClaimKey, KeyAction, Keys};
use crate::messages::{KeyEnd, StoredAnswer};
use crate::{ProblemKind, Refusal};

/// Delay after which a caller may send a refused request again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Keys {
    /// Responds with the stored response.
    pub(super) fn replay(
        &mut self,
        now: Duration,
        key: ClaimKey,
        answer: Option<StoredAnswer>,
        out: &mut Vec<KeyAction>,
    ) {
        // Sends a copy to holders that don't have the response.
        self.end_claim(now, key, KeyEnd::Done, answer.clone(), out);
        self.counters.replayed += 1;
        out.extend(answer.map(|answer| KeyAction::Replay { claim: key, answer }));
    }

    /// Refuses a request that ran before and whose response is no longer stored.
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

    /// Refuses a request because another one with the key is running, may have run, or differs.
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
            // A request that reuses the key of a different one never runs, so a retry is useless.
            ProblemKind::KeyMismatch => Refusal::not_run(problem),
            _ => Refusal::unknown(problem).with_retry_after(RETRY_AFTER),
        };
        self.refuse(key, refusal, out);
    }

    /// Refuses a request because too few holders can decide.
    ///
    /// This copy did not run, but an earlier request with the key may have.
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

    /// Removes the claim and refuses its request.
    pub(super) fn refuse(&mut self, key: ClaimKey, refusal: Refusal, out: &mut Vec<KeyAction>) {
        self.claims.remove(key);
        out.push(KeyAction::Refuse {
            claim: key,
            refusal,
        });
    }
}
