//! Messages between the agents of the model.

use super::*;

impl Model {
    pub(super) fn send(&mut self, from: usize, to: usize, message: Message) {
        self.schedule(LINK_DELAY, Event::Message { from, to, message });
    }

    pub(super) fn receive(&mut self, from: usize, to: usize, message: Message) {
        if self.agents[to].dead || self.agents[from].dead {
            return;
        }
        let now = self.now;
        let node = from as NodeId;
        let agent = &mut self.agents[to];
        let actions = match message {
            Message::Ask {
                token,
                request,
                deadline,
                hedge,
            } => {
                agent.tokens.insert((from, token), request);
                if hedge {
                    let actions = agent.admission.hedge_requested(now, node, token, deadline);
                    self.recorder.record_grant(now, &actions);
                    actions
                } else {
                    agent
                        .admission
                        .reservation_requested(now, node, token, deadline)
                }
            }
            Message::Granted {
                request,
                reservation,
                load,
            } => {
                agent.admission.note_load(node, load);
                agent
                    .admission
                    .reservation_granted(now, request, node, reservation)
            }
            Message::Declined { request, load } => {
                agent.admission.note_load(node, load);
                agent.admission.reservation_declined(now, request, node)
            }
            Message::Release { reservation } => {
                agent.admission.reservation_released(now, node, reservation)
            }
            Message::HandOver {
                reservation,
                flow,
                deadline,
                number,
                copy,
            } => {
                let arrival = Arrival {
                    deadline,
                    repeatable: self.scenario.repeatable,
                    flow,
                };
                let (key, actions) =
                    agent
                        .admission
                        .reservation_used(now, node, reservation, arrival);
                if let Some(key) = key {
                    agent.origins.insert(
                        key,
                        Origin::Sibling {
                            from,
                            reservation,
                            number,
                            copy,
                        },
                    );
                }
                actions
            }
            Message::Cancel { reservation } => return self.cancel_guest(to, from, reservation),
            Message::Answer { reservation, ran } => {
                let Some((key, since)) = agent.handed.remove(&(from, reservation)) else {
                    return;
                };
                let (progress, outcome) = match ran {
                    true => (Progress::AnswerWhole, Outcome::Done),
                    false => (Progress::NotWritten, Outcome::Refused),
                };
                let actions = agent
                    .admission
                    .finished(now, key, progress, outcome, now - since);
                if ran {
                    self.respond(to, key, true);
                }
                actions
            }
        };
        self.execute(to, actions);
    }

    pub(super) fn hand_over(
        &mut self,
        agent: usize,
        request: RequestKey,
        sibling: usize,
        reservation: ReservationId,
    ) {
        let number = self.number_of(agent, request);
        let deadline = self.recorder.arrival_of(number) + DEADLINE;
        self.agents[agent]
            .handed
            .insert((sibling, reservation), (request, self.now));
        let flow = number;
        let copy = self.agents[agent].admission.is_copy(request);
        self.schedule_hedge(agent, request);
        self.send(
            agent,
            sibling,
            Message::HandOver {
                reservation,
                flow,
                deadline,
                number,
                copy,
            },
        );
    }
}
