//! Three agents with scripted backend servers, driven millisecond by millisecond.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use buckthornweir_requests::prelude::*;
use buckthornweir_requests::{ConnectionUse, ReservationId, Token, connection_after};

/// What a backend server does with a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Try {
    /// Answers after this many milliseconds.
    Good(u64),
    /// Says that it does not run the request.
    Shed,
    /// Closes the connection before anything was written.
    CutBefore,
    /// Runs the request and closes the connection before it answers.
    CutAfterFirst,
    CutAfterHeaders,
    CutMiddle,
    /// Runs the request and never answers on this connection.
    Silent,
    /// Answers with an error of its own.
    Fails,
}

/// A fault of the links between agents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkFault {
    None,
    /// The sibling dies after it granted a slot.
    DiesAfterGrant,
    /// The sibling dies while it runs the request.
    DiesRunning,
    /// The sibling's answer never arrives.
    AnswerLost,
    /// The grant never arrives.
    GrantLost,
    /// The request arrives twice.
    Doubled,
    /// The sibling restarts between its grant and the request.
    Restarts,
}

/// What the caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Got {
    Whole { number: u64, error: bool },
    Short,
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
    HandedEnd {
        from: usize,
        reservation: ReservationId,
        end: (Progress, Outcome),
        number: u64,
    },
    TryEnds {
        request: RequestKey,
        connection: u64,
        end: (Progress, Outcome),
    },
    /// Bytes of an answer arrive on a backend connection.
    Answer {
        connection: u64,
        number: u64,
    },
    Lost {
        sibling: usize,
    },
}

#[derive(Debug)]
struct Agent {
    admission: Admission,
    script: VecDeque<Try>,
    /// Idle backend connections.
    pool: Vec<u64>,
    /// The request that reads from each busy backend connection.
    readers: BTreeMap<u64, RequestKey>,
    numbers: BTreeMap<RequestKey, u64>,
    guests: BTreeMap<RequestKey, (usize, ReservationId)>,
    started: BTreeMap<RequestKey, Duration>,
    asked: BTreeMap<Token, RequestKey>,
    dead: bool,
}

pub(crate) struct World {
    pub(crate) now: Duration,
    pub(crate) fault: LinkFault,
    agents: Vec<Agent>,
    events: BTreeMap<(Duration, u64), (usize, Event)>,
    sequence: u64,
    connections: u64,
    /// How often each request ran.
    pub(crate) runs: BTreeMap<u64, u32>,
    /// What each caller got, and when.
    pub(crate) got: BTreeMap<u64, (Duration, Got)>,
    arrivals: BTreeMap<u64, Arrival>,
}

pub(crate) fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

impl World {
    /// Returns agents with one slot each; the first has the others as siblings.
    pub(crate) fn new(siblings: usize, config: &AdmissionConfig) -> Self {
        let agents = (0..=siblings).map(|index| new_agent(config, index as u64 + 1));
        let mut world = Self {
            now: ms(0),
            fault: LinkFault::None,
            agents: agents.collect(),
            events: BTreeMap::new(),
            sequence: 0,
            connections: 0,
            runs: BTreeMap::new(),
            got: BTreeMap::new(),
            arrivals: BTreeMap::new(),
        };
        let all: Vec<_> = (1..=siblings)
            .map(|node| Sibling::new(node as NodeId, "b").with_free(5))
            .collect();
        world.agents[0].admission.set_siblings(&all);
        world
    }

    pub(crate) fn script(&mut self, agent: usize, tries: &[Try]) {
        self.agents[agent].script = tries.iter().copied().collect();
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
        self.carry_out(0, actions);
    }

    pub(crate) fn cancel(&mut self, number: u64) {
        let found = self.agents[0].numbers.iter().find(|(_, n)| **n == number);
        let Some((&key, _)) = found else { return };
        let actions = self.agents[0].admission.cancelled(self.now, key);
        self.carry_out(0, actions);
    }

    pub(crate) fn set_state(&mut self, agent: usize, state: ServingState) {
        let actions = self.agents[agent].admission.set_state(self.now, state);
        self.carry_out(agent, actions);
    }

    pub(crate) fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(1);
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let (agent, event) = entry.remove();
                if !self.agents[agent].dead {
                    self.handle(agent, event);
                }
            }
            for agent in 0..self.agents.len() {
                let admission = &mut self.agents[agent].admission;
                if admission.next_wake().is_some_and(|at| at <= self.now) {
                    let actions = admission.tick(self.now);
                    self.carry_out(agent, actions);
                }
            }
        }
    }

    fn after(&mut self, delay: u64, agent: usize, event: Event) {
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
                self.carry_out(agent, actions);
            }
            Event::Granted {
                from,
                request,
                reservation,
            } => {
                let admission = &mut self.agents[agent].admission;
                let actions =
                    admission.reservation_granted(now, request, from as NodeId, reservation);
                self.carry_out(agent, actions);
            }
            Event::Declined { from, request } => {
                let admission = &mut self.agents[agent].admission;
                let actions = admission.reservation_declined(now, request, from as NodeId);
                self.carry_out(agent, actions);
            }
            Event::Released { from, reservation } => {
                let admission = &mut self.agents[agent].admission;
                let actions = admission.reservation_released(now, from as NodeId, reservation);
                self.carry_out(agent, actions);
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
                    self.agents[agent].guests.insert(key, (from, reservation));
                }
                self.carry_out(agent, actions);
            }
            Event::HandedEnd {
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
            Event::TryEnds {
                request,
                connection,
                end,
            } => {
                let is_reading = self.agents[agent].readers.get(&connection) == Some(&request);
                if is_reading {
                    self.end_try(agent, request, connection, end);
                    let number = self.agents[agent].numbers[&request];
                    self.finish(agent, request, end, number);
                }
            }
            Event::Answer { connection, number } => {
                // Whoever reads the connection takes the answer for its own.
                let reader = self.agents[agent].readers.get(&connection).copied();
                if let Some(request) = reader {
                    let end = (Progress::AnswerWhole, Outcome::Done);
                    self.end_try(agent, request, connection, end);
                    self.finish(agent, request, end, number);
                }
            }
            Event::Lost { sibling } => {
                let admission = &mut self.agents[agent].admission;
                let actions = admission.sibling_lost(now, sibling as NodeId);
                self.carry_out(agent, actions);
            }
        }
    }

    fn carry_out(&mut self, agent: usize, actions: Vec<Action>) {
        for action in actions {
            self.carry_out_one(agent, &action);
        }
    }

    fn carry_out_one(&mut self, agent: usize, action: &Action) {
        match *action {
            Action::Run { request } => self.run(agent, request),
            Action::AskSibling {
                request,
                sibling,
                token,
                deadline,
            } => {
                let event = Event::Ask {
                    from: agent,
                    request,
                    token,
                    deadline,
                };
                self.after(1, sibling as usize, event);
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
                self.after(
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
                self.answer(agent, request, end, Got::Refused(refusal.clone()));
            }
            Action::Deliver { request } => {
                let number = self.agents[agent].numbers[&request];
                let end = (Progress::AnswerWhole, Outcome::Failed);
                self.answer(
                    agent,
                    request,
                    end,
                    Got::Whole {
                        number,
                        error: true,
                    },
                );
            }
            Action::CutAnswer { request } => {
                self.answer(
                    agent,
                    request,
                    (Progress::HeadersSeen, Outcome::Cut),
                    Got::Short,
                );
            }
            Action::Abort { request } => self.abort(agent, request),
            // The daemon reports the end of every try, also where the request has ended already.
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
                    LinkFault::DiesAfterGrant => self.die(agent),
                    _ => {}
                }
                self.after(1, to as usize, event);
            }
            Action::Decline { to, token } => {
                let request = self.agents[agent].asked[&token];
                self.after(
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
            LinkFault::Restarts => {
                let config = AdmissionConfig::default();
                self.agents[sibling] = new_agent(&config, 77);
            }
            LinkFault::Doubled => self.after(2, sibling, event),
            _ => {}
        }
        self.after(1, sibling, event);
    }

    fn run(&mut self, agent: usize, request: RequestKey) {
        let number = self.agents[agent].numbers[&request];
        let kind = self.agents[agent]
            .script
            .pop_front()
            .unwrap_or(Try::Good(10));
        if !matches!(kind, Try::Shed | Try::CutBefore) {
            *self.runs.entry(number).or_default() += 1;
        }
        if self.fault == LinkFault::DiesRunning && agent != 0 {
            self.die(agent);
            return;
        }
        self.connections += 1;
        let connection = self.agents[agent].pool.pop().unwrap_or(self.connections);
        self.agents[agent].readers.insert(connection, request);
        self.agents[agent].started.insert(request, self.now);
        let end = match kind {
            Try::Good(time) => {
                self.after(time, agent, Event::Answer { connection, number });
                return;
            }
            Try::Silent => return,
            Try::Shed => (Progress::AnswerWhole, Outcome::Refused),
            Try::CutBefore => (Progress::NotWritten, Outcome::Cut),
            Try::CutAfterFirst => (Progress::Written, Outcome::Cut),
            Try::CutAfterHeaders => (Progress::HeadersSeen, Outcome::Cut),
            Try::CutMiddle => (Progress::BodyPart, Outcome::Cut),
            Try::Fails => (Progress::AnswerWhole, Outcome::Failed),
        };
        self.after(
            5,
            agent,
            Event::TryEnds {
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
        self.end_try(agent, request, connection, end);
        let number = self.agents[agent].numbers[&request];
        self.finish(agent, request, end, number);
    }

    /// Keeps or closes the backend connection.
    fn end_try(
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
            self.answer(
                agent,
                key,
                (progress, outcome),
                Got::Whole {
                    number,
                    error: false,
                },
            );
        }
        let admission = &mut self.agents[agent].admission;
        let actions = admission.finished(now, key, progress, outcome, now - since);
        self.carry_out(agent, actions);
    }

    fn answer(&mut self, agent: usize, request: RequestKey, end: (Progress, Outcome), got: Got) {
        if let Some((from, reservation)) = self.agents[agent].guests.remove(&request) {
            let number = self.agents[agent].numbers[&request];
            if self.fault != LinkFault::AnswerLost {
                let event = Event::HandedEnd {
                    from: agent,
                    reservation,
                    end,
                    number,
                };
                self.after(1, from, event);
            }
            return;
        }
        let number = self.agents[agent].numbers[&request];
        let earlier = self.got.insert(number, (self.now, got));
        assert_eq!(earlier, None, "request {number} got two answers");
    }

    fn die(&mut self, agent: usize) {
        self.agents[agent].dead = true;
        self.after(3, 0, Event::Lost { sibling: agent });
    }
}

fn new_agent(config: &AdmissionConfig, seed: u64) -> Agent {
    Agent {
        admission: Admission::new(config.clone(), seed, ms(0)),
        script: VecDeque::new(),
        pool: Vec::new(),
        readers: BTreeMap::new(),
        numbers: BTreeMap::new(),
        guests: BTreeMap::new(),
        started: BTreeMap::new(),
        asked: BTreeMap::new(),
        dead: false,
    }
}
