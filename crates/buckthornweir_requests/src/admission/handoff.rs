//! Handoff to siblings: a reservation first, then the request.

use std::time::Duration;

use super::request::{Ask, Place};
use super::{Action, Admission, RequestKey, ServingState};
use crate::{NodeId, Outcome, ProblemKind, Progress, ReservationId};

impl Admission {
    /// Handles a sibling's grant of a slot.
    ///
    /// A reservation that the request no longer needs is released.
    pub fn reservation_granted(
        &mut self,
        now: Duration,
        request: RequestKey,
        sibling: NodeId,
        reservation: ReservationId,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        self.siblings.on_granted(sibling);
        if !self.is_asking(request, sibling) {
            out.push(Action::Release {
                sibling,
                reservation,
            });
            return out;
        }
        if self.requests[request].arrival.deadline <= now {
            out.push(Action::Release {
                sibling,
                reservation,
            });
            self.refuse(now, request, ProblemKind::DeadlinePassed, &mut out);
            return out;
        }
        self.leave_queue(request);
        self.counters.handed += 1;
        self.record_copy(request);
        if self.requests[request].shared {
            self.local_rate.record(now);
        }
        self.requests[request].place = Place::Handed {
            sibling,
            reservation,
        };
        self.schedule_retry(now, request);
        out.push(Action::HandOver {
            request,
            sibling,
            reservation,
        });
        out
    }

    /// Handles a sibling's refusal to reserve a slot.
    pub fn reservation_declined(
        &mut self,
        now: Duration,
        request: RequestKey,
        sibling: NodeId,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        if self.is_copy(request) {
            self.siblings.on_hedge_declined(sibling, now);
        } else {
            self.siblings.on_declined(sibling, now);
        }
        if self.is_asking(request, sibling) {
            self.admit(now, request, &mut out);
        }
        out
    }

    /// Handles the loss of a sibling or of the link to it.
    ///
    /// Requests handed over to the sibling may have run. Slots held here for the sibling are
    /// released.
    pub fn sibling_lost(&mut self, now: Duration, sibling: NodeId) -> Vec<Action> {
        let mut out = Vec::new();
        self.siblings.on_lost(sibling, now);
        for _ in 0..self.reservations.release_all(now, sibling) {
            self.limit.release_unused();
        }
        for key in self.keys_where(|r| r.ask().is_some_and(|a| a.sibling == sibling)) {
            self.admit(now, key, &mut out);
        }
        for key in self.keys_where(|r| is_at(r.place, sibling)) {
            let progress = match self.requests[key].answering {
                true => Progress::HeadersSeen,
                false => Progress::Written,
            };
            self.retry_or_end(now, key, progress, Outcome::Cut, &mut out);
        }
        self.start_queued(now, &mut out);
        out
    }

    /// Returns the sibling and the reservation of a request that was handed over.
    pub fn handed_to(&self, request: RequestKey) -> Option<(NodeId, ReservationId)> {
        match self.requests.get(request)?.place {
            Place::Handed {
                sibling,
                reservation,
            } => Some((sibling, reservation)),
            _ => None,
        }
    }

    /// Asks the next sibling, acquires a local slot or queues the request; refuses it if none of
    /// these is possible.
    pub(super) fn find_place(&mut self, now: Duration, key: RequestKey, out: &mut Vec<Action>) {
        let is_queued = self.requests[key].queued_until.is_some();
        let may_queue = !self.requests[key].failed_locally;
        if self.ask_next(now, key, None, out) {
            if !is_queued && may_queue {
                self.enqueue(now, key);
            }
            return;
        }
        if is_queued {
            return;
        }
        if self.is_ready() && self.queue.is_empty() && self.limit.try_acquire(now) {
            self.start(now, key, out);
        } else if !self.enqueue(now, key) {
            let problem = self.no_place_problem();
            self.refuse(now, key, problem, out);
        }
    }

    /// Asks one more sibling for a slot; returns false if none is eligible.
    ///
    /// With `max_rate`, only siblings with a lower rate are eligible.
    pub(super) fn ask_next(
        &mut self,
        now: Duration,
        key: RequestKey,
        max_rate: Option<f64>,
        out: &mut Vec<Action>,
    ) -> bool {
        let asks = self.requests.values().filter(|r| r.is_asking()).count();
        let request = &mut self.requests[key];
        request.place = Place::Waiting { ask: None };
        if request.asked.len() >= self.config.max_candidates || asks >= self.config.max_asks {
            return false;
        }
        let Some(sibling) = self
            .siblings
            .pick(&mut self.rng, now, &request.asked, max_rate)
        else {
            return false;
        };
        let until = now + self.config.ask_timeout;
        request.asked.push(sibling);
        request.place = Place::Waiting {
            ask: Some(Ask { sibling, until }),
        };
        let token = self.next_token;
        self.next_token = self.next_token.wrapping_add(1);
        let deadline = request.arrival.deadline;
        out.push(Action::AskSibling {
            request: key,
            sibling,
            token,
            deadline,
            hedge: false,
        });
        true
    }

    fn no_place_problem(&self) -> ProblemKind {
        match self.state {
            ServingState::Out => ProblemKind::DomainOut,
            ServingState::Draining => ProblemKind::Draining,
            ServingState::Ready if self.queue.len() >= self.config.queue => ProblemKind::QueueFull,
            ServingState::Ready => ProblemKind::NoSlot,
        }
    }

    fn is_asking(&self, key: RequestKey, sibling: NodeId) -> bool {
        let ask = self
            .requests
            .get(key)
            .and_then(super::request::Request::ask);
        ask.is_some_and(|a| a.sibling == sibling)
    }
}

fn is_at(place: Place, node: NodeId) -> bool {
    matches!(place, Place::Handed { sibling, .. } if sibling == node)
}
