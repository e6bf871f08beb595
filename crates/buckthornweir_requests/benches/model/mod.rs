//! Discrete-event model of one service: agents with the real admission control, backend servers
//! with slots, and links with a fixed delay. All randomness is derived from one seed.

mod hedging;
mod messages;
mod recorder;
mod server;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use buckthornweir_requests::messages::Load;
use buckthornweir_requests::{
    Action, Admission, AdmissionConfig, Arrival, NodeId, Outcome, Progress, RequestKey,
    ReservationId, Sibling, Token,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) use recorder::Recorder;
pub(crate) use server::{Overload, Server};

/// One-way delay between two agents.
const LINK_DELAY: Duration = Duration::from_micros(1_500);
/// Time between two load reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time from the arrival of a request to its deadline.
const DEADLINE: Duration = Duration::from_secs(2);
/// Number of flows of the service.
const FLOWS: u64 = 500;

/// Distribution of requests over time and flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// Uniform over time and flows.
    Steady,
    /// Four times the mean rate during one second in five.
    Bursty,
    /// One flow carries a tenth of the requests.
    Skewed,
}

/// Parameters of one run of the model.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) servers: usize,
    pub(crate) shape: Shape,
    /// Load relative to the capacity.
    pub(crate) load: f64,
    pub(crate) length: Duration,
    pub(crate) config: AdmissionConfig,
    pub(crate) handoff: bool,
    pub(crate) overload: Overload,
    /// Time after which a cold backend server can handle one more concurrent request.
    pub(crate) warm_step: Duration,
    /// When the first backend server restarts without notice.
    pub(crate) restart: Option<Duration>,
    /// Number of slow backend servers, the factor of their service times, and since when they are
    /// slow.
    pub(crate) slow: usize,
    pub(crate) slow_factor: f64,
    pub(crate) slow_from: Duration,
    /// Whether requests are idempotent.
    pub(crate) repeatable: bool,
    /// Whether messages that cancel a request are lost.
    pub(crate) cancels_lost: bool,
    /// When the agent of the last backend server dies.
    pub(crate) death: Option<Duration>,
    /// When requests stop to arrive.
    pub(crate) arrivals_end: Duration,
    /// Whether backend servers are warm at the start.
    pub(crate) warm: bool,
    pub(crate) seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Message {
    Ask {
        token: Token,
        request: RequestKey,
        deadline: Duration,
        hedge: bool,
    },
    Granted {
        request: RequestKey,
        reservation: ReservationId,
        load: Load,
    },
    Declined {
        request: RequestKey,
        load: Load,
    },
    Release {
        reservation: ReservationId,
    },
    HandOver {
        reservation: ReservationId,
        flow: u64,
        deadline: Duration,
        number: u64,
        copy: bool,
    },
    Cancel {
        reservation: ReservationId,
    },
    Answer {
        reservation: ReservationId,
        ran: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Message {
        from: usize,
        to: usize,
        message: Message,
    },
    Served {
        server: usize,
        request: RequestKey,
        epoch: u64,
    },
    Rejected {
        server: usize,
        request: RequestKey,
        refused: bool,
    },
    Report,
    Hedge {
        agent: usize,
        request: RequestKey,
    },
    Death,
    DeathNoticed,
    Wake {
        agent: usize,
    },
    Restart,
}

/// Origin of a request, which receives the response.
#[derive(Clone, Copy, Debug)]
enum Origin {
    Caller {
        number: u64,
    },
    /// The second copy of a request of this agent.
    Copy {
        number: u64,
        first: RequestKey,
    },
    Sibling {
        from: usize,
        reservation: ReservationId,
        number: u64,
        copy: bool,
    },
}

struct Agent {
    admission: Admission,
    origins: BTreeMap<RequestKey, Origin>,
    /// Requests that were handed over, by sibling and reservation.
    handed: BTreeMap<(usize, ReservationId), (RequestKey, Duration)>,
    tokens: BTreeMap<(usize, Token), RequestKey>,
    started: BTreeMap<RequestKey, Duration>,
    wake: Option<Duration>,
    /// Second copies, by their requests.
    copies: BTreeMap<RequestKey, RequestKey>,
    /// Requests that failed while their copies run.
    failed: BTreeSet<RequestKey>,
    dead: bool,
}

/// State of a running model.
pub(crate) struct Model {
    scenario: Scenario,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    agents: Vec<Agent>,
    servers: Vec<Server>,
    flow_agents: Vec<usize>,
    rng: ChaCha8Rng,
    /// Random numbers of second copies. Runs with and without hedging draw the same arrivals and
    /// service times, so that their results can be compared.
    copy_rng: ChaCha8Rng,
    recorder: Recorder,
}

/// Runs a scenario and returns the recorded results.
pub(crate) fn run(scenario: Scenario) -> Recorder {
    let mut model = Model::new(scenario);
    while let Some(Reverse((at, _, event))) = model.events.pop() {
        if at > model.scenario.length {
            break;
        }
        model.now = at;
        model.handle(event);
    }
    model.recorder.busy = model.busy_slots();
    model.recorder.servers = model.servers.iter().map(Server::summary).collect();
    model.recorder.counters = model
        .agents
        .iter()
        .map(|a| a.admission.counters())
        .collect();
    model.recorder
}

impl Model {
    fn new(scenario: Scenario) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let count = scenario.servers;
        let seeds: Vec<u64> = (0..count).map(|_| rng.random()).collect();
        let agents = seeds
            .iter()
            .map(|&seed| new_agent(&scenario.config, seed))
            .collect();
        let servers = (0..count)
            .map(|_| Server::new(scenario.warm, scenario.overload, scenario.warm_step))
            .collect();
        let flow_agents = (0..FLOWS).map(|_| rng.random_range(0..count)).collect();
        let recorder = Recorder::new(count, scenario.length);
        let mut model = Self {
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            agents,
            servers,
            flow_agents,
            rng,
            copy_rng: ChaCha8Rng::seed_from_u64(!scenario.seed),
            recorder,
            scenario,
        };
        model.schedule(Duration::ZERO, Event::Report);
        model.schedule(Duration::ZERO, Event::Arrive);
        if let Some(at) = model.scenario.restart {
            model.schedule(at, Event::Restart);
        }
        if let Some(at) = model.scenario.death {
            model.schedule(at, Event::Death);
        }
        model
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        let at_agent = match event {
            Event::Served { server, .. } | Event::Rejected { server, .. } => Some(server),
            Event::Wake { agent } => Some(agent),
            _ => None,
        };
        if at_agent.is_some_and(|agent| self.agents[agent].dead) {
            return;
        }
        match event {
            Event::Arrive => self.arrive(),
            Event::Message { from, to, message } => self.receive(from, to, message),
            Event::Served {
                server,
                request,
                epoch,
            } => self.complete(server, request, epoch),
            Event::Rejected {
                server,
                request,
                refused,
            } => {
                let (progress, outcome) = match refused {
                    true => (Progress::AnswerWhole, Outcome::Refused),
                    false => (Progress::NotWritten, Outcome::Cut),
                };
                self.finish(server, request, progress, outcome);
            }
            Event::Report => self.report(),
            Event::Wake { agent } => {
                self.agents[agent].wake = None;
                let actions = self.agents[agent].admission.tick(self.now);
                self.execute(agent, actions);
            }
            Event::Hedge { agent, request } => self.hedge(agent, request),
            Event::Death => self.die(),
            Event::DeathNoticed => self.notice_death(),
            Event::Restart => {
                let lost = self.servers[0].restart(self.now);
                for request in lost {
                    self.finish(0, request, Progress::Written, Outcome::Cut);
                }
            }
        }
    }

    fn arrive(&mut self) {
        if self.now >= self.scenario.arrivals_end {
            return;
        }
        let gap = Duration::from_secs_f64(exponential(&mut self.rng) / self.rate());
        self.schedule(gap, Event::Arrive);
        let flow = self.draw_flow();
        let agent = self.flow_agents[flow as usize];
        if self.agents[agent].dead {
            return;
        }
        let number = self.recorder.record_arrival(self.now);
        let deadline = self.now + DEADLINE;
        let arrival = Arrival {
            deadline,
            repeatable: self.scenario.repeatable,
            flow,
        };
        let (key, actions) = self.agents[agent].admission.arrive(self.now, arrival);
        self.agents[agent]
            .origins
            .insert(key, Origin::Caller { number });
        self.execute(agent, actions);
    }

    /// Returns the current arrival rate in requests per second.
    fn rate(&self) -> f64 {
        let capacity = self.scenario.servers as f64 * server::SLOTS as f64 / server::MEAN_SERVICE;
        let mean = capacity * self.scenario.load;
        match self.scenario.shape {
            // 4 times the rate during one second and 1/4 during the other four keep the mean.
            Shape::Bursty if self.now.as_secs().is_multiple_of(5) => mean * 4.0,
            Shape::Bursty => mean * 0.25,
            _ => mean,
        }
    }

    fn draw_flow(&mut self) -> u64 {
        if self.scenario.shape == Shape::Skewed && self.rng.random_bool(0.1) {
            return 0;
        }
        self.rng.random_range(0..FLOWS)
    }

    fn execute(&mut self, agent: usize, actions: Vec<Action>) {
        for action in actions {
            self.execute_one(agent, &action);
        }
        self.schedule_wake(agent);
    }

    fn execute_one(&mut self, agent: usize, action: &Action) {
        match *action {
            Action::Run { request } => self.start(agent, request),
            Action::AskSibling {
                request,
                sibling,
                token,
                deadline,
                hedge,
            } => {
                let message = Message::Ask {
                    token,
                    request,
                    deadline,
                    hedge,
                };
                self.send(agent, sibling as usize, message);
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
                self.send(agent, sibling as usize, Message::Release { reservation });
            }
            Action::Refuse { request, .. }
            | Action::Deliver { request }
            | Action::CutAnswer { request } => self.respond(agent, request, false),
            Action::Abort { request } => {
                self.servers[agent].cancel(request);
                self.finish(agent, request, Progress::Written, Outcome::Cancelled);
            }
            Action::EndCopy { request, .. } => self.end_copy(agent, request),
            Action::Grant {
                to,
                token,
                reservation,
            } => {
                let request = self.agents[agent].tokens[&(to as usize, token)];
                let load = self.agents[agent].admission.load(self.now);
                let message = Message::Granted {
                    request,
                    reservation,
                    load,
                };
                self.send(agent, to as usize, message);
            }
            Action::Decline { to, token } => {
                let request = self.agents[agent].tokens[&(to as usize, token)];
                let load = self.agents[agent].admission.load(self.now);
                self.send(agent, to as usize, Message::Declined { request, load });
            }
            Action::CancelHanded {
                request,
                sibling,
                reservation,
            } => self.cancel_handed(agent, request, sibling as usize, reservation),
        }
    }

    fn start(&mut self, agent: usize, request: RequestKey) {
        let now = self.now;
        self.agents[agent].started.insert(request, now);
        self.schedule_hedge(agent, request);
        let is_copy = self.is_guest_copy(agent, request);
        if !is_copy {
            self.recorder.record_start(now);
        }
        let rng = if is_copy {
            &mut self.copy_rng
        } else {
            &mut self.rng
        };
        let factor = (0.25 + 0.75 * exponential(rng)) * self.slowness(agent);
        match self.servers[agent].start(now, request, factor) {
            server::Start::Running { time, epoch } => {
                self.schedule(
                    time,
                    Event::Served {
                        server: agent,
                        request,
                        epoch,
                    },
                );
            }
            server::Start::Refused => {
                let event = Event::Rejected {
                    server: agent,
                    request,
                    refused: true,
                };
                self.schedule(Duration::from_millis(1), event);
            }
            server::Start::Down => {
                let event = Event::Rejected {
                    server: agent,
                    request,
                    refused: false,
                };
                self.schedule(Duration::from_millis(1), event);
            }
            server::Start::Crashed { lost } => {
                for request in lost {
                    self.finish(agent, request, Progress::Written, Outcome::Cut);
                }
            }
        }
    }

    fn complete(&mut self, server: usize, request: RequestKey, epoch: u64) {
        if !self.servers[server].end(request, epoch) {
            return;
        }
        self.recorder.record_run(server, self.now);
        let admission = &mut self.agents[server].admission;
        admission.response_started(self.now, request);
        self.finish(server, request, Progress::AnswerWhole, Outcome::Done);
        self.respond(server, request, true);
    }

    fn finish(&mut self, agent: usize, key: RequestKey, progress: Progress, outcome: Outcome) {
        let since = self.agents[agent].started.remove(&key).unwrap_or(self.now);
        let latency = self.now - since;
        let admission = &mut self.agents[agent].admission;
        let actions = admission.finished(self.now, key, progress, outcome, latency);
        self.execute(agent, actions);
    }

    /// Sends the final response to the origin of the request. A failure waits for the other copy.
    fn respond(&mut self, agent: usize, request: RequestKey, ran: bool) {
        match self.agents[agent].origins.get(&request).copied() {
            Some(Origin::Caller { number }) => {
                if let Some(copy) = self.agents[agent].copies.get(&request).copied() {
                    if !ran {
                        self.agents[agent].failed.insert(request);
                        return;
                    }
                    self.cancel(agent, copy);
                }
                self.agents[agent].origins.remove(&request);
                self.recorder.record_response(number, self.now, ran);
            }
            Some(Origin::Copy { number, first }) if ran => {
                self.forget_copy(agent, request, first);
                self.recorder.record_win();
                self.recorder.record_response(number, self.now, true);
                self.cancel(agent, first);
            }
            Some(Origin::Copy { .. }) => self.end_copy(agent, request),
            Some(Origin::Sibling {
                from, reservation, ..
            }) => {
                self.agents[agent].origins.remove(&request);
                self.send(agent, from, Message::Answer { reservation, ran });
            }
            None => {}
        }
    }

    fn number_of(&self, agent: usize, request: RequestKey) -> u64 {
        match self.agents[agent].origins[&request] {
            Origin::Caller { number }
            | Origin::Copy { number, .. }
            | Origin::Sibling { number, .. } => number,
        }
    }

    fn report(&mut self) {
        self.schedule(REPORT_INTERVAL, Event::Report);
        if !self.scenario.handoff {
            return;
        }
        let now = self.now;
        let loads: Vec<_> = self.agents.iter().map(|a| a.admission.load(now)).collect();
        let dead: Vec<_> = self.agents.iter().map(|a| a.dead).collect();
        for (own, agent) in self.agents.iter_mut().enumerate() {
            let others = loads.iter().enumerate();
            let others = others.filter(|(node, _)| *node != own && !dead[*node]);
            let siblings = others.map(|(node, load)| {
                Sibling::new(node as NodeId, "")
                    .with_free(load.free)
                    .with_rate(load.rate())
                    .with_response(load.response())
            });
            agent.admission.set_siblings(&siblings.collect::<Vec<_>>());
        }
    }

    fn schedule_wake(&mut self, agent: usize) {
        let Some(at) = self.agents[agent].admission.next_wake() else {
            return;
        };
        let at = at.max(self.now);
        if self.agents[agent]
            .wake
            .is_none_or(|scheduled| at < scheduled)
        {
            self.agents[agent].wake = Some(at);
            self.schedule(at - self.now, Event::Wake { agent });
        }
    }
}

fn new_agent(config: &AdmissionConfig, seed: u64) -> Agent {
    Agent {
        admission: Admission::new(config.clone(), seed, Duration::ZERO),
        origins: BTreeMap::new(),
        handed: BTreeMap::new(),
        tokens: BTreeMap::new(),
        started: BTreeMap::new(),
        wake: None,
        copies: BTreeMap::new(),
        failed: BTreeSet::new(),
        dead: false,
    }
}

fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random_range(0.0..1.0f64)).ln()
}
