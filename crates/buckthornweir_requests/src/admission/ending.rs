//! End of an attempt: retry, final response or refusal.

use std::time::Duration;

use rand::RngExt;

use super::request::Place;
use super::{Action, Admission, RequestKey, queue_wait};
use crate::{
    NodeId, Outcome, ProblemKind, Progress, Refusal, Response, final_response,
    is_certainly_not_run, may_retry,
};

/// Jitter of `Retry-After`, which keeps refused callers from retrying simultaneously.
const RETRY_AFTER_SPREAD: Duration = Duration::from_secs(2);

impl Admission {
    /// Handles the end of an attempt at the local backend server or at a sibling.
    ///
    /// `latency` is the time from the first byte written to the end of the response.
    pub fn finished(
        &mut self,
        now: Duration,
        request: RequestKey,
        progress: Progress,
        outcome: Outcome,
        latency: Duration,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        let Some(found) = self.requests.get(request) else {
            return out;
        };
        let outcome = effective_outcome(outcome, found.caller_gone);
        match found.place {
            Place::Waiting { .. } => return out,
            Place::Running { since, .. } => {
                let elapsed = now.saturating_sub(since);
                if !found.answering && matches!(outcome, Outcome::Cancelled | Outcome::Silent) {
                    self.hedging.on_abandoned(now, elapsed);
                }
                let latency = latency.min(elapsed);
                self.limit.release(outcome, latency, now);
            }
            Place::Handed { sibling, .. } => self.record_outcome(now, sibling, progress, outcome),
        }
        self.retry_or_end(now, request, progress, outcome, &mut out);
        self.start_queued(now, &mut out);
        out
    }

    /// Records that the response headers arrived, after which the deadline no longer applies.
    pub fn answering(&mut self, request: RequestKey) {
        if let Some(found) = self.requests.get_mut(request) {
            found.answering = true;
        }
    }

    /// Records that the response headers arrived at `now`, as [`Admission::answering`] does, and the
    /// response time of an attempt at the local backend server.
    pub fn response_started(&mut self, now: Duration, request: RequestKey) {
        self.answering(request);
        let found = self.requests.get(request);
        if let Some(Place::Running { since, .. }) = found.map(|r| r.place) {
            self.hedging.on_response(now, now.saturating_sub(since));
        }
    }

    /// Handles the cancellation of a request by the caller.
    pub fn cancelled(&mut self, now: Duration, request: RequestKey) -> Vec<Action> {
        let mut out = Vec::new();
        let Some(found) = self.requests.get_mut(request) else {
            return out;
        };
        if found.caller_gone {
            return out;
        }
        self.counters.cancelled += 1;
        found.caller_gone = true;
        match &mut found.place {
            Place::Running { aborting, .. } => {
                if !*aborting {
                    *aborting = true;
                    out.push(Action::Abort { request });
                }
                return out;
            }
            Place::Handed {
                sibling,
                reservation,
            } => {
                let (sibling, reservation) = (*sibling, *reservation);
                out.push(Action::CancelHanded {
                    request,
                    sibling,
                    reservation,
                });
            }
            Place::Waiting { .. } => {}
        }
        self.remove(request);
        self.start_queued(now, &mut out);
        out
    }

    /// Handles an expired deadline, queue time, retry timer or reservation timeout of a request.
    pub(super) fn handle_due(&mut self, now: Duration, key: RequestKey, out: &mut Vec<Action>) {
        let may_retry = self.has_attempts_left(key);
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let is_late = request.arrival.deadline <= now;
        if !is_late && !request.is_waiting() && !may_retry {
            // Continuing to wait is better than an early refusal with an unknown outcome.
            request.retry_at = None;
            return;
        }
        match &mut request.place {
            Place::Running { aborting, .. } => {
                *aborting = true;
                out.push(Action::Abort { request: key });
            }
            Place::Handed {
                sibling,
                reservation,
            } => {
                let (sibling, reservation) = (*sibling, *reservation);
                out.push(Action::CancelHanded {
                    request: key,
                    sibling,
                    reservation,
                });
                if !is_late {
                    // The agent reports the end of this attempt, as for a local attempt.
                    request.retry_at = None;
                    return;
                }
                self.siblings.on_lost(sibling, now);
                self.retry_or_end(now, key, Progress::Written, Outcome::Silent, out);
            }
            Place::Waiting { ask } => {
                let ask = *ask;
                if let Some(ask) = ask.filter(|a| a.until <= now) {
                    self.siblings.on_lost(ask.sibling, now);
                }
                if is_late {
                    self.refuse(now, key, ProblemKind::DeadlinePassed, out);
                } else if ask.is_some() {
                    self.admit(now, key, out);
                } else {
                    self.refuse(now, key, ProblemKind::QueueFull, out);
                }
            }
        }
    }

    /// Retries or ends a request after an attempt whose slot was released.
    pub(super) fn retry_or_end(
        &mut self,
        now: Duration,
        key: RequestKey,
        progress: Progress,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        if self.requests[key].caller_gone {
            self.remove(key);
            return;
        }
        if self.retry(now, key, progress, outcome, out) {
            return;
        }
        match final_response(progress, outcome) {
            Response::Answer if outcome == Outcome::Done => {
                self.counters.done += 1;
                self.remove(key);
            }
            Response::Answer => {
                out.push(Action::Deliver { request: key });
                self.remove(key);
            }
            Response::Refuse(problem) => self.refuse(now, key, problem, out),
            Response::CutAnswer => {
                self.counters.cut += 1;
                out.push(Action::CutAnswer { request: key });
                self.remove(key);
            }
            Response::Nothing => self.remove(key),
        }
    }

    /// Ends the request with a refusal.
    pub(super) fn refuse(
        &mut self,
        now: Duration,
        key: RequestKey,
        problem: ProblemKind,
        out: &mut Vec<Action>,
    ) {
        if self.requests[key].copy_of.is_some() {
            return self.end_copy(key, problem, out);
        }
        let refusal = if self.requests[key].maybe_run {
            self.counters.unknown += 1;
            Refusal::unknown(maybe_run_kind(problem))
        } else {
            self.counters.refused += 1;
            Refusal::not_run(problem)
        };
        let refusal = refusal.with_retry_after(self.retry_after(now));
        out.push(Action::Refuse {
            request: key,
            refusal,
        });
        self.remove(key);
    }

    fn retry(
        &mut self,
        now: Duration,
        key: RequestKey,
        progress: Progress,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) -> bool {
        let request = &mut self.requests[key];
        request.maybe_run |= !is_certainly_not_run(progress, outcome);
        request.attempts += 1;
        let allowed = may_retry(progress, outcome, request.arrival.repeatable)
            && request.is_own()
            && request.attempts < self.config.max_attempts
            && request.arrival.deadline > now;
        if !allowed {
            return false;
        }
        if !self.budget.try_withdraw() {
            self.counters.over_budget += 1;
            return false;
        }
        self.counters.retried += 1;
        let place = request.place;
        request.place = Place::Waiting { ask: None };
        request.asked.clear();
        match place {
            Place::Handed { sibling, .. } => {
                request.failed_locally = false;
                request.asked.push(sibling);
                self.admit(now, key, out);
            }
            _ => {
                request.failed_locally = true;
                self.find_place(now, key, out);
            }
        }
        true
    }

    /// Schedules the retry of a repeatable request in case no response arrives.
    pub(super) fn schedule_retry(&mut self, now: Duration, key: RequestKey) {
        let baseline = self
            .limit
            .baseline_latency()
            .mul_f64(self.config.timeout_factor);
        let request = &mut self.requests[key];
        let may_repeat = request.arrival.repeatable && request.is_own();
        request.retry_at = may_repeat.then(|| now + baseline.max(self.config.attempt_timeout));
    }

    fn has_attempts_left(&self, key: RequestKey) -> bool {
        let attempts = self.requests.get(key).map_or(0, |r| r.attempts);
        self.budget.available() > 0 && attempts + 1 < self.config.max_attempts
    }

    fn record_outcome(
        &mut self,
        now: Duration,
        sibling: NodeId,
        progress: Progress,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::Done => self.siblings.on_done(sibling),
            Outcome::Refused => self.siblings.on_declined(sibling, now),
            Outcome::Failed => self.siblings.on_failed(sibling, now),
            Outcome::Cut | Outcome::Silent if progress <= Progress::Written => {
                self.siblings.on_lost(sibling, now);
            }
            _ => {}
        }
    }

    pub(super) fn remove(&mut self, key: RequestKey) {
        self.queue.retain(|&k| k != key);
        self.requests.remove(key);
    }

    fn retry_after(&mut self, now: Duration) -> Duration {
        let wait = queue_wait(&self.limit, self.queue.len(), now);
        wait + RETRY_AFTER_SPREAD.mul_f64(self.rng.random_range(0.0..1.0))
    }
}

/// Returns the outcome adjusted to who ended the attempt.
///
/// An attempt that the agent cancelled while the caller still waits counts as silent. A lost or
/// silent attempt counts as cancelled if the caller cancelled the request.
fn effective_outcome(outcome: Outcome, caller_gone: bool) -> Outcome {
    match outcome {
        Outcome::Cancelled if !caller_gone => Outcome::Silent,
        Outcome::Cut | Outcome::Silent if caller_gone => Outcome::Cancelled,
        outcome => outcome,
    }
}

/// Returns the problem kind to report for a request that may have run.
pub(super) fn maybe_run_kind(problem: ProblemKind) -> ProblemKind {
    match problem {
        ProblemKind::DeadlinePassed | ProblemKind::NoAnswer => ProblemKind::NoAnswer,
        _ => ProblemKind::OutcomeUnknown,
    }
}
