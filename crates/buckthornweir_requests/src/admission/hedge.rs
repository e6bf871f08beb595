//! Hedged requests: a second copy of a request, which runs at a sibling.
//!
//! The copy is a request with its own key. It has one attempt and is never queued, retried or
//! hedged itself.

use std::time::Duration;

use super::ending::maybe_run_kind;
use super::request::{Ask, Place, Request};
use super::{Action, Admission, RequestKey};
use crate::hedging::{HedgeCandidate, HedgeDenial, HedgeResult};
use crate::{NodeId, ProblemKind, Refusal, Token};

/// How long a backend server counts as busy after a request found no free slot. At an overload of 1.2
/// times the capacity a second slot is free now and then; without this time, copies took 0.2 % of
/// the slots then.
const BUSY_TIME: Duration = Duration::from_millis(200);

impl Admission {
    /// Returns the time after which a request without a response is hedged, or `None` while no
    /// request is hedged.
    pub fn hedging_delay(&self, now: Duration) -> Option<Duration> {
        self.hedging.delay(now, self.siblings.responses())
    }

    /// Asks a sibling for a slot for a second copy of the request, and returns the key of the copy.
    ///
    /// [`Action::HandOver`] or [`Action::EndCopy`] follows for the copy. The request may be hedged
    /// again only if its copy ended before it was handed over.
    ///
    /// # Errors
    ///
    /// Returns why the request is not hedged.
    pub fn hedge(
        &mut self,
        now: Duration,
        request: RequestKey,
    ) -> HedgeResult<(RequestKey, Vec<Action>)> {
        let found = self.requests.get(request).ok_or(HedgeDenial::NotRunning)?;
        self.hedging.check(candidate(found))?;
        let arrival = found.arrival;
        let copy = self.requests.insert(Request {
            copy_of: Some(request),
            ..Request::new(arrival)
        });
        let mut out = Vec::new();
        if self.ask_spare(now, copy, &mut out) {
            self.requests[request].hedged = true;
            return Ok((copy, out));
        }
        self.remove(copy);
        self.counters.hedges_no_sibling += 1;
        Err(HedgeDenial::NoSibling)
    }

    /// Returns whether the request is a second copy.
    pub fn is_copy(&self, request: RequestKey) -> bool {
        let found = self.requests.get(request);
        found.is_some_and(|r| r.copy_of.is_some())
    }

    /// Handles a sibling's request for a slot for a hedged request.
    ///
    /// The slot is granted only while another one stays free and no request found all slots in use a
    /// moment ago, so that hedging takes spare capacity and ends by itself when all backend servers
    /// are busy.
    pub fn hedge_requested(
        &mut self,
        now: Duration,
        from: NodeId,
        token: Token,
        deadline: Duration,
    ) -> Vec<Action> {
        if !self.has_spare_slot(now) {
            self.counters.hedges_no_slot += 1;
            return vec![Action::Decline { to: from, token }];
        }
        if self.hedging.try_charge(now, &mut self.budget).is_err() {
            self.counters.hedges_over_limit += 1;
            return vec![Action::Decline { to: from, token }];
        }
        let out = self.reservation_requested(now, from, token, deadline);
        if let Some(Action::Grant { reservation, .. }) = out.last() {
            self.counters.hedges_granted += 1;
            self.reservations.mark_hedge(from, *reservation);
        }
        out
    }

    fn has_spare_slot(&self, now: Duration) -> bool {
        let is_accepting = self.is_ready() && !self.limit.is_cold();
        let was_full = self.limit.full_at().is_some_and(|at| now < at + BUSY_TIME);
        is_accepting && !was_full && self.queue.is_empty() && self.limit.free_at(now) > 1
    }

    /// Asks the next sibling for a slot for the copy, or ends the copy.
    pub(super) fn ask_for_copy(&mut self, now: Duration, key: RequestKey, out: &mut Vec<Action>) {
        if !self.ask_spare(now, key, out) {
            self.counters.hedges_declined += 1;
            self.refuse(now, key, ProblemKind::NoSlot, out);
        }
    }

    /// Ends a copy whose request still waits for the other one.
    pub(super) fn end_copy(
        &mut self,
        key: RequestKey,
        problem: ProblemKind,
        out: &mut Vec<Action>,
    ) {
        let copy = &self.requests[key];
        let first = copy.copy_of.filter(|_| copy.is_waiting());
        if let Some(first) = first.and_then(|first| self.requests.get_mut(first)) {
            // Nothing was sent, so the request may be hedged later.
            first.hedged = false;
        }
        let refusal = match self.requests[key].maybe_run {
            true => Refusal::unknown(maybe_run_kind(problem)),
            false => Refusal::not_run(problem),
        };
        out.push(Action::EndCopy {
            request: key,
            refusal,
        });
        self.remove(key);
    }

    /// Counts a copy that is handed over.
    pub(super) fn record_copy(&mut self, key: RequestKey) {
        self.counters.hedged += u64::from(self.is_copy(key));
    }

    fn ask_spare(&mut self, now: Duration, key: RequestKey, out: &mut Vec<Action>) -> bool {
        let asks = self.requests.values().filter(|r| r.is_asking()).count();
        let copy = &self.requests[key];
        if copy.asked.len() >= self.config.max_candidates || asks >= self.config.max_asks {
            return false;
        }
        let first = copy.copy_of.and_then(|first| self.handed_to(first));
        let mut excluded = copy.asked.clone();
        excluded.extend(first.map(|(sibling, _)| sibling));
        let Some(sibling) = self.siblings.pick_spare(&mut self.rng, now, &excluded) else {
            return false;
        };
        let until = now + self.config.ask_timeout;
        let token = self.next_token;
        self.next_token = self.next_token.wrapping_add(1);
        let copy = &mut self.requests[key];
        copy.asked.push(sibling);
        copy.place = Place::Waiting {
            ask: Some(Ask { sibling, until }),
        };
        out.push(Action::AskSibling {
            request: key,
            sibling,
            token,
            deadline: copy.arrival.deadline,
            hedge: true,
        });
        true
    }
}

fn candidate(request: &Request) -> HedgeCandidate {
    HedgeCandidate {
        repeatable: request.arrival.repeatable,
        is_own: request.is_own(),
        is_hedged: request.hedged,
        is_running: match request.place {
            Place::Waiting { .. } => false,
            Place::Running { aborting, .. } => !aborting,
            Place::Handed { .. } => true,
        },
        has_response: request.answering,
    }
}
