//! Hedged requests in the model: their timers, and how their copies end.

use std::time::Duration;

use buckthornweir_requests::{HedgeDenial, MIN_HEDGING_DELAY};

use super::*;

/// Time from the death of an agent until its siblings notice it.
const DEATH_NOTICE: Duration = Duration::from_millis(300);

impl Model {
    /// Returns the factor of the service times of a backend server.
    pub(super) fn slowness(&self, server: usize) -> f64 {
        let is_slow = server < self.scenario.slow && self.now >= self.scenario.slow_from;
        if is_slow {
            self.scenario.slow_factor
        } else {
            1.0
        }
    }

    pub(super) fn is_guest_copy(&self, agent: usize, request: RequestKey) -> bool {
        let origin = self.agents[agent].origins.get(&request);
        matches!(origin, Some(Origin::Sibling { copy: true, .. }))
    }

    /// Schedules the hedging of a request whose attempt starts now.
    pub(super) fn schedule_hedge(&mut self, agent: usize, request: RequestKey) {
        let origin = self.agents[agent].origins.get(&request);
        let is_own = matches!(origin, Some(Origin::Caller { .. }));
        let delay = self.agents[agent].admission.hedging_delay(self.now);
        if let Some(delay) = delay.filter(|_| is_own) {
            self.schedule(delay, Event::Hedge { agent, request });
        }
    }

    pub(super) fn hedge(&mut self, agent: usize, request: RequestKey) {
        if self.agents[agent].dead || !self.agents[agent].origins.contains_key(&request) {
            return;
        }
        match self.agents[agent].admission.hedge(self.now, request) {
            Ok((copy, actions)) => {
                let number = self.number_of(agent, request);
                let origin = Origin::Copy {
                    number,
                    first: request,
                };
                self.agents[agent].origins.insert(copy, origin);
                self.agents[agent].copies.insert(request, copy);
                self.execute(agent, actions);
            }
            Err(HedgeDenial::NoSibling) => {
                self.schedule(MIN_HEDGING_DELAY, Event::Hedge { agent, request });
            }
            Err(_) => {}
        }
    }

    /// Ends a copy without a response. Its request ends too if it failed before.
    pub(super) fn end_copy(&mut self, agent: usize, copy: RequestKey) {
        let Some(Origin::Copy { number, first }) = self.agents[agent].origins.get(&copy).copied()
        else {
            return;
        };
        self.forget_copy(agent, copy, first);
        if self.agents[agent].failed.remove(&first) {
            self.agents[agent].origins.remove(&first);
            self.recorder.record_response(number, self.now, false);
        } else {
            self.schedule(
                MIN_HEDGING_DELAY,
                Event::Hedge {
                    agent,
                    request: first,
                },
            );
        }
    }

    pub(super) fn forget_copy(&mut self, agent: usize, copy: RequestKey, first: RequestKey) {
        self.agents[agent].origins.remove(&copy);
        self.agents[agent].copies.remove(&first);
    }

    /// Cancels the copy that lost.
    pub(super) fn cancel(&mut self, agent: usize, request: RequestKey) {
        let agent_state = &mut self.agents[agent];
        if let Some(Origin::Copy { first, .. }) = agent_state.origins.remove(&request) {
            agent_state.copies.remove(&first);
        }
        agent_state.failed.remove(&request);
        let actions = agent_state.admission.cancelled(self.now, request);
        self.execute(agent, actions);
    }

    pub(super) fn cancel_handed(
        &mut self,
        agent: usize,
        request: RequestKey,
        sibling: usize,
        reservation: ReservationId,
    ) {
        self.agents[agent].handed.remove(&(sibling, reservation));
        if !self.scenario.cancels_lost {
            self.send(agent, sibling, Message::Cancel { reservation });
        }
        self.finish(agent, request, Progress::Written, Outcome::Silent);
    }

    /// Cancels a request that a sibling handed over.
    pub(super) fn cancel_guest(&mut self, agent: usize, from: usize, reservation: ReservationId) {
        let is_guest = |origin: &Origin| {
            matches!(origin, Origin::Sibling { from: node, reservation: id, .. }
                if *node == from && *id == reservation)
        };
        let mut origins = self.agents[agent].origins.iter();
        if let Some((&request, _)) = origins.find(|(_, origin)| is_guest(origin)) {
            self.cancel(agent, request);
        }
    }

    /// Kills the agent of the last backend server.
    pub(super) fn die(&mut self) {
        let last = self.agents.len() - 1;
        self.agents[last].dead = true;
        for origin in self.agents[last].origins.values() {
            if let Origin::Caller { number } = origin {
                self.recorder.record_loss(*number);
            }
        }
        self.schedule(DEATH_NOTICE, Event::DeathNoticed);
    }

    pub(super) fn notice_death(&mut self) {
        let last = self.agents.len() - 1;
        for agent in 0..last {
            let admission = &mut self.agents[agent].admission;
            let actions = admission.sibling_lost(self.now, last as NodeId);
            self.agents[agent]
                .handed
                .retain(|(sibling, _), _| *sibling != last);
            self.execute(agent, actions);
        }
        self.report();
    }

    /// Returns the slots that are in use at the agents that live.
    pub(super) fn busy_slots(&self) -> u32 {
        let alive = self.agents.iter().filter(|a| !a.dead);
        alive.map(|a| a.admission.limit().in_flight()).sum()
    }
}
