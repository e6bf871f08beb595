//! Reservations granted to siblings, and the requests that siblings hand over with them.

use std::time::Duration;

use super::request::Request;
use super::{Action, Admission, Arrival, RequestKey, ServingState};
use crate::reservation::ReservationStatus;
use crate::{NodeId, ProblemKind, ReservationId, Token};

impl Admission {
    /// Handles a sibling's request for a slot.
    ///
    /// A repeated request returns the same grant while its reservation is held. `deadline` is the
    /// deadline of the request, relative to the start of this process.
    pub fn reservation_requested(
        &mut self,
        now: Duration,
        from: NodeId,
        token: Token,
        deadline: Duration,
    ) -> Vec<Action> {
        let mut out = self.tick(now);
        if let Some(reservation) = self.reservations.find_held(from, token) {
            out.push(Action::Grant {
                to: from,
                token,
                reservation,
            });
            return out;
        }
        let is_free = self.is_ready()
            && deadline > now
            && self.queue.is_empty()
            && self.limit.try_acquire(now);
        if is_free {
            self.counters.granted += 1;
            let reservation = self.reservations.grant(now, from, token);
            out.push(Action::Grant {
                to: from,
                token,
                reservation,
            });
        } else {
            self.counters.declined += 1;
            out.push(Action::Decline { to: from, token });
        }
        out
    }

    /// Handles a request that a sibling handed over.
    ///
    /// Returns no key for a duplicate with an already used reservation, which is dropped. Refusals
    /// are sent to the sibling, which decides about retries.
    pub fn reservation_used(
        &mut self,
        now: Duration,
        from: NodeId,
        reservation: ReservationId,
        arrival: Arrival,
    ) -> (Option<RequestKey>, Vec<Action>) {
        let mut out = self.tick(now);
        let status = self.reservations.consume(now, from, reservation);
        if status == ReservationStatus::Used {
            self.counters.doubled += 1;
            return (None, out);
        }
        let key = self.requests.insert(Request {
            from_sibling: true,
            is_guest_copy: self.reservations.is_hedge(from, reservation),
            ..Request::new(arrival)
        });
        self.counters.taken += 1;
        self.received_rate.record(now);
        if self.hedging.is_on() {
            // This agent pays for hedged requests by all requests that it runs.
            self.budget.deposit();
        }
        if let Some(problem) = self.refusal_for_handed(now, status, arrival) {
            if status == ReservationStatus::Held {
                self.limit.release_unused();
            }
            // A previous instance of this process may have received the request.
            self.requests[key].maybe_run = status == ReservationStatus::Unknown;
            self.refuse(now, key, problem, &mut out);
        } else {
            self.start(now, key, &mut out);
        }
        self.start_queued(now, &mut out);
        (Some(key), out)
    }

    /// Handles the release of a reservation by a sibling.
    pub fn reservation_released(
        &mut self,
        now: Duration,
        from: NodeId,
        reservation: ReservationId,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        if self.reservations.release(now, from, reservation) {
            self.limit.release_unused();
        }
        self.start_queued(now, &mut out);
        out
    }

    /// Returns why the request can't run here, or `None` once a slot is acquired for it.
    fn refusal_for_handed(
        &mut self,
        now: Duration,
        status: ReservationStatus,
        arrival: Arrival,
    ) -> Option<ProblemKind> {
        if status == ReservationStatus::Unknown {
            return Some(ProblemKind::OutcomeUnknown);
        }
        if self.state == ServingState::Out {
            return Some(ProblemKind::DomainOut);
        }
        if arrival.deadline <= now {
            return Some(ProblemKind::DeadlinePassed);
        }
        if status == ReservationStatus::Held {
            return None;
        }
        let is_free = self.is_ready() && self.limit.try_acquire(now);
        (!is_free).then_some(ProblemKind::NoSlot)
    }
}
