//! Simulated callers, and the record of what happened to their requests.

use std::time::Duration;

use buckthornweir_forward::plan::{Class, RequestKind};
use rand::RngExt;

use crate::model::{Event, Model, ms};
use crate::network::CALLER_DELAY;
use crate::packets::{Packet, PacketKind};
use crate::servers::ReplyKind;

/// Times after the first SYN at which a caller retransmits it, and gives up.
const SYN_TIMES: [Duration; 3] = [ms(200), ms(600), ms(1_400)];
pub(crate) const CONNECT_TIMEOUT: Duration = SYN_TIMES[2];

/// How long a caller waits for a response on an open flow, and how often it retransmits a request
/// that is not acknowledged.
const RESPONSE_TIMEOUT: Duration = ms(3_000);
const DATA_RETRY: Duration = ms(200);

const MAX_RETRIES: u8 = 2;

/// Coefficient of variation of the service times, which are distributed log-normally.
const VARIATION: f64 = 0.5;

/// A class of requests.
pub(crate) struct RequestClass {
    pub(crate) class: Class,
    pub(crate) share: f64,
    pub(crate) mean: Duration,
}

impl RequestClass {
    pub(crate) fn objective(&self) -> Duration {
        self.class.objective.unwrap_or_default()
    }
}

pub(crate) const HIGH: usize = 0;
pub(crate) const LOW: usize = 1;

pub(crate) const CLASSES: [RequestClass; 2] = [
    RequestClass {
        class: Class {
            kind: RequestKind::NonIdempotent,
            priority: Some(1),
            objective: Some(ms(400)),
            timeout: Some(RESPONSE_TIMEOUT),
        },
        share: 0.2,
        mean: ms(52),
    },
    RequestClass {
        class: Class {
            kind: RequestKind::Idempotent,
            priority: Some(2),
            objective: Some(ms(300)),
            timeout: Some(RESPONSE_TIMEOUT),
        },
        share: 0.8,
        mean: ms(40),
    },
];

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    Answered,
    /// The last attempt was reset or answered with "not run".
    Rejected,
    /// The last attempt timed out or lost its flow.
    Failed,
}

#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) work: Duration,
    pub(crate) since: Duration,
    pub(crate) end: Option<(Duration, Outcome)>,
    tries: u8,
    begun: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Connecting {
        syns: usize,
    },
    Open {
        sequence: u32,
        acked: bool,
        since: Duration,
    },
    Ended,
}

#[derive(Debug)]
struct Attempt {
    request: usize,
    class: usize,
    since: Duration,
    phase: Phase,
    offered: bool,
    begun: bool,
    rejected: bool,
}

/// Violations of what callers rely on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Violations {
    /// Requests that began a second time although they must not.
    pub(crate) twice: usize,
    /// Flows that were reset as rejected and whose request began, before or after.
    pub(crate) false_refusals: usize,
    /// Attempts that ended after the objective without having been offered to a backend server.
    pub(crate) unoffered: usize,
    /// SYNs delivered to a backend server after their callers gave up.
    pub(crate) late_syns: usize,
}

#[derive(Debug, Default)]
pub(crate) struct Callers {
    pub(crate) requests: Vec<Request>,
    attempts: Vec<Attempt>,
    pub(crate) unfinished: usize,
    pub(crate) violations: Violations,
    /// Responses "not run" within the measured time.
    pub(crate) shed: usize,
    /// Flows started within the measured time, by class.
    pub(crate) started: [usize; 2],
}

impl Callers {
    pub(crate) fn class_of(&self, attempt: usize) -> usize {
        self.attempts[attempt].class
    }
}

impl Model {
    pub(crate) fn arrive(&mut self) {
        if self.now >= self.arrivals_end() {
            return;
        }
        let mean: f64 = CLASSES.iter().map(|c| c.share * c.mean.as_secs_f64()).sum();
        let rate = self.case.load * self.case.capacity() / mean;
        let gap = self.exponential() / rate;
        self.push(Duration::from_secs_f64(gap), Event::Arrival);
        let class = usize::from(!self.rng.random_bool(CLASSES[HIGH].share));
        let variance = (1.0 + VARIATION * VARIATION).ln();
        let normal = self.normal() * variance.sqrt() - variance / 2.0;
        self.callers.requests.push(Request {
            class,
            work: CLASSES[class].mean.mul_f64(normal.exp()),
            since: self.now,
            end: None,
            tries: 0,
            begun: false,
        });
        self.callers.unfinished += 1;
        self.attempt(self.callers.requests.len() - 1);
    }

    /// Returns a sample of the exponential distribution with mean 1.
    fn exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random_range(0.0..1.0f64)).ln()
    }

    /// Returns a sample of the standard normal distribution.
    fn normal(&mut self) -> f64 {
        let radius = (2.0 * self.exponential()).sqrt();
        radius * (std::f64::consts::TAU * self.rng.random_range(0.0..1.0f64)).cos()
    }

    pub(crate) fn attempt(&mut self, request: usize) {
        self.callers.requests[request].tries += 1;
        self.callers.attempts.push(Attempt {
            request,
            class: self.callers.requests[request].class,
            since: self.now,
            phase: Phase::Connecting { syns: 0 },
            offered: false,
            begun: false,
            rejected: false,
        });
        self.send_syn(self.callers.attempts.len() - 1, 0);
    }

    fn send_syn(&mut self, attempt: usize, earlier: usize) {
        let state = &mut self.callers.attempts[attempt];
        state.phase = Phase::Connecting { syns: earlier + 1 };
        let next = state.since + SYN_TIMES[earlier] - self.now;
        self.send(attempt, PacketKind::Syn, earlier as u32);
        self.push(next, Event::Timer(attempt));
    }

    fn send(&mut self, attempt: usize, kind: PacketKind, number: u32) {
        let class = self.callers.attempts[attempt].class;
        let packet = Packet {
            attempt,
            class,
            kind,
            number,
        };
        self.push(CALLER_DELAY, Event::ToBalancer(packet));
    }

    pub(crate) fn expire(&mut self, attempt: usize) {
        match self.callers.attempts[attempt].phase {
            Phase::Connecting { syns } if syns < SYN_TIMES.len() => self.send_syn(attempt, syns),
            Phase::Connecting { .. } => self.end(attempt, Outcome::Failed, true),
            Phase::Open { since, .. } if self.now >= since + RESPONSE_TIMEOUT => {
                self.end(attempt, Outcome::Failed, false);
            }
            Phase::Open {
                sequence,
                acked,
                since,
            } => {
                let rest = since + RESPONSE_TIMEOUT - self.now;
                if !acked {
                    self.send(attempt, PacketKind::Data, sequence + 1);
                }
                let next = if acked { rest } else { rest.min(DATA_RETRY) };
                self.push(next, Event::Timer(attempt));
            }
            Phase::Ended => {}
        }
    }

    /// Handles a packet of a backend server.
    pub(crate) fn replied(&mut self, attempt: usize, kind: ReplyKind) {
        let now = self.now;
        let state = &mut self.callers.attempts[attempt];
        match (state.phase, kind) {
            (Phase::Connecting { .. }, ReplyKind::SynAck { sequence }) => {
                state.phase = Phase::Open {
                    sequence,
                    acked: false,
                    since: now,
                };
                self.send(attempt, PacketKind::Data, sequence + 1);
                self.push(DATA_RETRY, Event::Timer(attempt));
            }
            (
                Phase::Open {
                    sequence, since, ..
                },
                ReplyKind::Ack,
            ) => {
                state.phase = Phase::Open {
                    sequence,
                    acked: true,
                    since,
                };
            }
            (Phase::Open { sequence, .. }, ReplyKind::Response) => {
                self.send(attempt, PacketKind::Fin, sequence + 1);
                self.end(attempt, Outcome::Answered, false);
            }
            (Phase::Open { sequence, .. }, ReplyKind::NotRun) => {
                self.send(attempt, PacketKind::Fin, sequence + 1);
                self.end(attempt, Outcome::Rejected, true);
            }
            _ => {}
        }
    }

    pub(crate) fn reset(&mut self, attempt: usize) {
        match self.callers.attempts[attempt].phase {
            Phase::Connecting { .. } => self.end(attempt, Outcome::Rejected, true),
            Phase::Open { .. } => self.end(attempt, Outcome::Failed, false),
            Phase::Ended => {}
        }
    }

    /// Ends an attempt. `not_run` says whether the caller knows that its request has not run.
    fn end(&mut self, attempt: usize, outcome: Outcome, not_run: bool) {
        let now = self.now;
        let state = &mut self.callers.attempts[attempt];
        state.phase = Phase::Ended;
        let class = &CLASSES[state.class];
        let late = now > state.since + class.objective();
        self.callers.violations.unoffered += usize::from(late && !state.offered);
        let id = state.request;
        let request = &mut self.callers.requests[id];
        let may_retry = not_run || class.class.kind.is_repeatable();
        if outcome != Outcome::Answered && may_retry && request.tries <= MAX_RETRIES {
            let pause = self.rng.random_range(50..=150);
            return self.push(ms(pause), Event::Retry(id));
        }
        request.end = Some((now, outcome));
        self.callers.unfinished -= 1;
    }

    /// Records that a SYN reached a backend server.
    pub(crate) fn note_offered(&mut self, attempt: usize) {
        let measured = self.is_measured(self.now);
        let state = &mut self.callers.attempts[attempt];
        let first = !std::mem::replace(&mut state.offered, true);
        self.callers.started[state.class] += usize::from(first && measured);
        let late = self.now > state.since + CONNECT_TIMEOUT;
        self.callers.violations.late_syns += usize::from(late);
    }

    /// Records that a caller is told that its request is rejected.
    pub(crate) fn note_rejected(&mut self, attempt: usize) {
        let state = &mut self.callers.attempts[attempt];
        let first = !std::mem::replace(&mut state.rejected, true);
        self.callers.violations.false_refusals += usize::from(first && state.begun);
    }

    /// Records that a backend server begins a request, and returns its service time.
    pub(crate) fn note_begun(&mut self, attempt: usize) -> Duration {
        let state = &mut self.callers.attempts[attempt];
        let request = &mut self.callers.requests[state.request];
        let again = std::mem::replace(&mut request.begun, true);
        let in_flow = std::mem::replace(&mut state.begun, true);
        let violations = &mut self.callers.violations;
        violations.false_refusals += usize::from(state.rejected);
        violations.twice += usize::from(in_flow || again && state.class == HIGH);
        request.work
    }
}
