//! Simulation of several agents with scripted backend servers, advanced in steps of 1 ms.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use buckthornweir_requests::prelude::*;
use buckthornweir_requests::{ConnectionUse, ReservationId, Token, connection_after};

/// Behaviour of a backend server in one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Attempt {
    /// Responds after this number of milliseconds.
    Success(u64),
    /// Rejects the request without running it.
    Shed,
    /// Closes the connection before anything was written.
    CutBefore,
    /// Runs the request and closes the connection before it responds.
    CutAfterWrite,
    CutAfterHeaders,
    CutInBody,
    /// Runs the request and never responds on this connection.
    Silent,
    /// Responds with a server error.
    ServerError,
}

/// Fault of a sibling or of the links between agents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkFault {
    None,
    /// The sibling crashes after granting a slot.
    CrashAfterGrant,
    /// The sibling crashes while it runs the request.
    CrashWhileRunning,
    /// The sibling's response never arrives.
    AnswerLost,
    /// The grant never arrives.
    GrantLost,
    /// The request arrives twice.
    Duplicated,
    /// The sibling restarts between its grant and the request.
    RestartAfterGrant,
}

/// What a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallerResult {
    Complete { number: u64, error: bool },
    Truncated,
    Refused(Refusal),
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Ask {
        from: usize,
        request: RequestKey,
        token: Token,
        deadline: Duration,
    },
    Granted {
        from: usize,
        request: RequestKey,
        reservation: ReservationId,
    },
    Declined {
        from: usize,
        request: RequestKey,
    },
    Released {
        from: usize,
        reservation: ReservationId,
    },
    Handed {
        from: usize,
        reservation: ReservationId,
        number: u64,
        arrival: Arrival,
    },
    HandedEnded {
        from: usize,
        reservation: ReservationId,
        end: (Progress, Outcome),
        number: u64,
    },
    AttemptEnded {
        request: RequestKey,
        connection: u64,
        end: (Progress, Outcome),
    },
    /// A response arrives on a backend connection.
    ResponseArrived {
        connection: u64,
        number: u64,
    },
    SiblingLost {
        sibling: usize,
    },
}

#[derive(Debug)]
struct Agent {
    admission: Admission,
    script: VecDeque<Attempt>,
    /// Idle backend connections.
    pool: Vec<u64>,
    /// The request that is reading from each busy backend connection.
    readers: BTreeMap<u64, RequestKey>,
    numbers: BTreeMap<RequestKey, u64>,
    received: BTreeMap<RequestKey, (usize, ReservationId)>,
    started: BTreeMap<RequestKey, Duration>,
    asked: BTreeMap<Token, RequestKey>,
    crashed: bool,
}

pub(crate) struct Simulation {
    pub(crate) now: Duration,
    pub(crate) fault: LinkFault,
    agents: Vec<Agent>,
    events: BTreeMap<(Duration, u64), (usize, Event)>,
    sequence: u64,
    connections: u64,
    /// Number of times that each request ran.
    pub(crate) runs: BTreeMap<u64, u32>,
    /// What each caller received, and when.
    pub(crate) results: BTreeMap<u64, (Duration, CallerResult)>,
    arrivals: BTreeMap<u64, Arrival>,
}

pub(crate) fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

impl Simulation {
    /// Returns agents with one slot each; the first has the others as siblings.
    pub(crate) fn new(siblings: usize, config: &AdmissionConfig) -> Self {
        let agents = (0..=siblings).map(|index| new_agent(config, index as u64 + 1));
        let mut simulation = Self {
            now: ms(0),
            fault: LinkFault::None,
            agents: agents.collect(),
            events: BTreeMap::new(),
            sequence: 0,
            connections: 0,
            runs: BTreeMap::new(),
            results: BTreeMap::new(),
            arrivals: BTreeMap::new(),
        };
        let all: Vec<_> = (1..=siblings)
            .map(|node| Sibling::new(node as NodeId, "b").with_free(5))
            .collect();
        simulation.agents[0].admission.set_siblings(&all);
        simulation
    }

    pub(crate) fn script(&mut self, agent: usize, attempts: &[Attempt]) {
        self.agents[agent].script = attempts.iter().copied().collect();
    }

    pub(crate) fn admission(&mut self, agent: usize) -> &mut Admission {
        &mut self.agents[agent].admission
    }

    /// Sends a request to the first agent.
    pub(crate) fn send(&mut self, number: u64, repeatable: bool, deadline: Duration) {
        let deadline = self.now + deadline;
        let arrival = Arrival {
            deadline,
            repeatable,
            flow: number,
        };
        self.arrivals.insert(number, arrival);
        let (key, actions) = self.agents[0].admission.arrive(self.now, arrival);
        self.agents[0].numbers.insert(key, number);
        self.execute(0, actions);
    }

    pub(crate) fn cancel(&mut self, number: u64) {
        let found = self.agents[0].numbers.iter().find(|(_, n)| **n == number);
        let Some((&key, _)) = found else { return };
        let actions = self.agents[0].admission.cancelled(self.now, key);
        self.execute(0, actions);
    }

    pub(crate) fn set_state(&mut self, agent: usize, state: ServingState) {
        let actions = self.agents[agent].admission.set_state(self.now, state);
        self.execute(agent, actions);
    }

    pub(crate) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(1);
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let (agent, event) = entry.remove();
                if !self.agents[agent].crashed {
                    self.handle(agent, event);
                }
            }
            for agent in 0..self.agents.len() {
                let admission = &mut self.agents[agent].admission;
                if admission.next_wake().is_some_and(|at| at <= self.now) {
                    let actions = admission.tick(self.now);
                    self.execute(agent, actions);
                }
            }
        }
    }

    fn schedule(&mut self, delay: u64, agent: usize, event: Event) {
        self.sequence += 1;
        self.events
            .insert((self.now + ms(delay), self.sequence), (agent, event));
    }

    fn handle(&mut self, agent: usize, event: Event) {
        let now = self.now;
        match event {
            Event::Ask {
                from,
                request,
                token,
                deadline,
            } => {
                self.agents[agent].asked.insert(token, request);
                let admission = &mut self.agents[agent].admission;
                let actions = admission.reservation_requested(now, from as NodeId, token, deadline);
                self.execute(agent, actions);
            }
            Event::Granted {
                from,
                request,
                reservation,
            } => {
                let admission = &mut self.agents[agent].admission;
                let actions =
                    admission.reservation_granted(now, request, from as NodeId, reservation);
                self.execute(agent, actions);
            }
            Event::Declined { from, request } => {
                let admission = &mut self.agents[agent].admission;
                let actions = admission.reservation_declined(now, request, from as NodeId);
                self.execute(agent, actions);
            }
            Event::Released { from, reservation } => {
                let admission = &mut self.agents[agent].admission;
                let actions = admission.reservation_released(now, from as NodeId, reservation);
                self.execute(agent, actions);
            }
            Event::Handed {
                from,
                reservation,
                number,
                arrival,
            } => {
                let admission = &mut self.agents[agent].admission;
                let (key, actions) =
                    admission.reservation_used(now, from as NodeId, reservation, arrival);
                if let Some(key) = key {
                    self.agents[agent].numbers.insert(key, number);
                    self.agents[agent].received.insert(key, (from, reservation));
                }
                self.execute(agent, actions);
            }
            Event::HandedEnded {
                from,
                reservation,
                end,
                number,
            } => {
                let handed = self.agents[agent].numbers.iter().find(|(key, _)| {
                    let place = self.agents[agent].admission.handed_to(**key);
                    place == Some((from as NodeId, reservation))
                });
                if let Some((&key, _)) = handed {
                    self.finish(agent, key, end, number);
                }
            }
            Event::AttemptEnded {
                request,
                connection,
                end,
            } => {
                let is_reading = self.agents[agent].readers.get(&connection) == Some(&request);
                if is_reading {
                    self.end_attempt(agent, request, connection, end);
                    let number = self.agents[agent].numbers[&request];
                    self.finish(agent, request, end, number);
                }
            }
            Event::ResponseArrived { connection, number } => {
                // The request that reads the connection receives the response, whichever request
                // it belongs to.
                let reader = self.agents[agent].readers.get(&connection).copied();
                if let Some(request) = reader {
                    let end = (Progress::AnswerWhole, Outcome::Done);
                    self.end_attempt(agent, request, connection, end);
                    self.finish(agent, request, end, number);
                }
            }
            Event::SiblingLost { sibling } => {
                let admission = &mut self.agents[agent].admission;
                let actions = admission.sibling_lost(now, sibling as NodeId);
                self.execute(agent, actions);
            }
        }
    }

    fn execute(&mut self, agent: usize, actions: Vec<Action>) {
        for action in actions {
            self.execute_one(agent, &action);
        }
    }

    fn execute_one(&mut self, agent: usize, action: &Action) {
        match *action {
            Action::Run { request } => self.run(agent, request),
            Action::AskSibling {
                request,
                sibling,
                token,
                deadline,
                ..
            } => {
                let event = Event::Ask {
                    from: agent,
                    request,
                    token,
                    deadline,
                };
                self.schedule(1, sibling as usize, event);
            }
            Action::HandOver {
                request,
                sibling,
                reservation,
            } => {
                self.hand_over(agent, request, sibling as usize, reservation);
            }
            Action::Release {
                sibling,
                reservation,
            } => {
                self.schedule(
                    1,
                    sibling as usize,
                    Event::Released {
                        from: agent,
                        reservation,
                    },
                );
            }
            Action::Refuse {
                request,
                ref refusal,
            } => {
                let end = match refusal.not_run {
                    true => (Progress::NotWritten, Outcome::Refused),
                    false => (Progress::Written, Outcome::Cut),
                };
                self.respond(agent, request, end, CallerResult::Refused(refusal.clone()));
            }
            Action::Deliver { request } => {
                let number = self.agents[agent].numbers[&request];
                let end = (Progress::AnswerWhole, Outcome::Failed);
                self.respond(
                    agent,
                    request,
                    end,
                    CallerResult::Complete {
                        number,
                        error: true,
                    },
                );
            }
            Action::CutAnswer { request } => {
                self.respond(
                    agent,
                    request,
                    (Progress::HeadersSeen, Outcome::Cut),
                    CallerResult::Truncated,
                );
            }
            Action::Abort { request } => self.abort(agent, request),
            // The daemon reports the end of every attempt, even if the request has already ended.
            // No request of this simulation is hedged.
            Action::EndCopy { .. } => {}
            Action::CancelHanded { request, .. } => {
                let number = self.agents[agent].numbers[&request];
                self.finish(agent, request, (Progress::Written, Outcome::Silent), number);
            }
            Action::Grant {
                to,
                token,
                reservation,
            } => {
                let request = self.agents[agent].asked[&token];
                let event = Event::Granted {
                    from: agent,
                    request,
                    reservation,
                };
                match self.fault {
                    LinkFault::GrantLost => return,
                    LinkFault::CrashAfterGrant => self.crash(agent),
                    _ => {}
                }
                self.schedule(1, to as usize, event);
            }
            Action::Decline { to, token } => {
                let request = self.agents[agent].asked[&token];
                self.schedule(
                    1,
                    to as usize,
                    Event::Declined {
                        from: agent,
                        request,
                    },
                );
            }
        }
    }

    fn hand_over(
        &mut self,
        agent: usize,
        request: RequestKey,
        sibling: usize,
        reservation: ReservationId,
    ) {
        let number = self.agents[agent].numbers[&request];
        let arrival = self.arrivals[&number];
        let event = Event::Handed {
            from: agent,
            reservation,
            number,
            arrival,
        };
        match self.fault {
            LinkFault::RestartAfterGrant => {
                let config = AdmissionConfig::default();
                self.agents[sibling] = new_agent(&config, 77);
            }
            LinkFault::Duplicated => self.schedule(2, sibling, event),
            _ => {}
        }
        self.schedule(1, sibling, event);
    }

    fn run(&mut self, agent: usize, request: RequestKey) {
        let number = self.agents[agent].numbers[&request];
        let kind = self.agents[agent]
            .script
            .pop_front()
            .unwrap_or(Attempt::Success(10));
        if !matches!(kind, Attempt::Shed | Attempt::CutBefore) {
            *self.runs.entry(number).or_default() += 1;
        }
        if self.fault == LinkFault::CrashWhileRunning && agent != 0 {
            self.crash(agent);
            return;
        }
        self.connections += 1;
        let connection = self.agents[agent].pool.pop().unwrap_or(self.connections);
        self.agents[agent].readers.insert(connection, request);
        self.agents[agent].started.insert(request, self.now);
        let end = match kind {
            Attempt::Success(time) => {
                self.schedule(time, agent, Event::ResponseArrived { connection, number });
                return;
            }
            Attempt::Silent => return,
            Attempt::Shed => (Progress::AnswerWhole, Outcome::Refused),
            Attempt::CutBefore => (Progress::NotWritten, Outcome::Cut),
            Attempt::CutAfterWrite => (Progress::Written, Outcome::Cut),
            Attempt::CutAfterHeaders => (Progress::HeadersSeen, Outcome::Cut),
            Attempt::CutInBody => (Progress::BodyPart, Outcome::Cut),
            Attempt::ServerError => (Progress::AnswerWhole, Outcome::Failed),
        };
        self.schedule(
            5,
            agent,
            Event::AttemptEnded {
                request,
                connection,
                end,
            },
        );
    }

    fn abort(&mut self, agent: usize, request: RequestKey) {
        let found = self.agents[agent]
            .readers
            .iter()
            .find(|(_, r)| **r == request);
        let Some((&connection, _)) = found else {
            return;
        };
        let end = (Progress::Written, Outcome::Cancelled);
        self.end_attempt(agent, request, connection, end);
        let number = self.agents[agent].numbers[&request];
        self.finish(agent, request, end, number);
    }

    /// Returns the backend connection to the pool or closes it.
    fn end_attempt(
        &mut self,
        agent: usize,
        request: RequestKey,
        connection: u64,
        (progress, outcome): (Progress, Outcome),
    ) {
        let agent = &mut self.agents[agent];
        assert_eq!(agent.readers.remove(&connection), Some(request));
        if connection_after(progress, outcome) == ConnectionUse::Keep {
            agent.pool.push(connection);
        }
    }

    fn finish(
        &mut self,
        agent: usize,
        key: RequestKey,
        (progress, outcome): (Progress, Outcome),
        number: u64,
    ) {
        let now = self.now;
        let since = self.agents[agent].started.remove(&key).unwrap_or(now);
        if outcome == Outcome::Done {
            self.respond(
                agent,
                key,
                (progress, outcome),
                CallerResult::Complete {
                    number,
                    error: false,
                },
            );
        }
        let admission = &mut self.agents[agent].admission;
        let actions = admission.finished(now, key, progress, outcome, now - since);
        self.execute(agent, actions);
    }

    fn respond(
        &mut self,
        agent: usize,
        request: RequestKey,
        end: (Progress, Outcome),
        result: CallerResult,
    ) {
        if let Some((from, reservation)) = self.agents[agent].received.remove(&request) {
            let number = self.agents[agent].numbers[&request];
            if self.fault != LinkFault::AnswerLost {
                let event = Event::HandedEnded {
                    from: agent,
                    reservation,
                    end,
                    number,
                };
                self.schedule(1, from, event);
            }
            return;
        }
        let number = self.agents[agent].numbers[&request];
        let earlier = self.results.insert(number, (self.now, result));
        assert_eq!(earlier, None, "request {number} got two responses");
    }

    fn crash(&mut self, agent: usize) {
        self.agents[agent].crashed = true;
        self.schedule(3, 0, Event::SiblingLost { sibling: agent });
    }
}

fn new_agent(config: &AdmissionConfig, seed: u64) -> Agent {
    Agent {
        admission: Admission::new(config.clone(), seed, ms(0)),
        script: VecDeque::new(),
        pool: Vec::new(),
        readers: BTreeMap::new(),
        numbers: BTreeMap::new(),
        received: BTreeMap::new(),
        started: BTreeMap::new(),
        asked: BTreeMap::new(),
        crashed: false,
    }
}
