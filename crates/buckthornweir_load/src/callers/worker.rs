//! A worker that plays one caller after another, each with a flow of its own.

use std::sync::Arc;
use std::time::Duration;

use buckthornweir_standins::{
    CallerAnswer, CallerError, CallerRecord, CallerResult, HttpCaller, Outcome, uptime,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

use super::Shared;
use super::ledger::{FlowEnd, FlowRecord, RequestRecord, Trace};
use super::request::{RequestSpec, generate_request};

/// Sends requests over one flow at a time, and replaces the flow after `max_requests` requests.
pub(crate) struct Worker {
    shared: Arc<Shared>,
    rng: ChaCha8Rng,
    /// The mean interval between two requests.
    mean_interval: Duration,
    /// Requests on a flow before it is replaced by a new one.
    max_requests: u32,
    flow: Option<Flow>,
    /// The reason given in the last response, if it was an error.
    problem: Option<SmolStr>,
    /// The attempts of the in-flight request so far.
    trace: Trace,
}

struct Flow {
    caller: HttpCaller,
    opened: Duration,
    sent: u32,
}

impl Worker {
    pub(crate) fn new(
        shared: Arc<Shared>,
        rng: ChaCha8Rng,
        mean_interval: Duration,
        max_requests: u32,
    ) -> Self {
        Self {
            shared,
            rng,
            mean_interval,
            max_requests,
            flow: None,
            problem: None,
            trace: Trace::default(),
        }
    }

    /// Sends requests until the load ends.
    pub(crate) async fn run(mut self) {
        let phase: f64 = self.rng.random();
        let mut due = self.shared.start + self.mean_interval.mul_f64(phase);
        while due < self.shared.end {
            tokio::time::sleep(due.saturating_sub(uptime())).await;
            self.request(due).await;
            due += self.next_interval();
        }
        self.end_flow(FlowEnd::Finished);
    }

    /// Sends a single request.
    pub(crate) async fn run_once(mut self) {
        self.request(uptime()).await;
        self.end_flow(FlowEnd::Finished);
    }

    /// Returns the exponentially distributed interval until the next request.
    fn next_interval(&mut self) -> Duration {
        let uniform: f64 = self.rng.random();
        self.mean_interval.mul_f64(-(1.0 - uniform).ln())
    }

    /// Sends one request, on a new flow if none is open, and records its outcome.
    async fn request(&mut self, due: Duration) {
        let spec = generate_request(
            &self.shared.service.load,
            &self.shared.service.name,
            &mut self.rng,
        );
        let mut outcome = self.send(&spec).await;
        if outcome == Outcome::Unsent {
            // The service had closed the flow before any part of the request was sent.
            outcome = self.send(&spec).await;
        }
        self.shared.ledger.add_request(RequestRecord {
            record: CallerRecord {
                request_id: spec.id.clone(),
                service: self.shared.service.name.clone(),
                traits: spec.traits(),
                outcome,
            },
            keyed: spec.key.is_some(),
            problem: self.problem.take(),
            trace: std::mem::take(&mut self.trace),
            due,
            ended: uptime(),
        });
        let sent = self.flow.as_ref().map_or(0, |flow| flow.sent);
        if sent >= self.max_requests {
            self.end_flow(FlowEnd::Finished);
        }
    }

    async fn send(&mut self, spec: &RequestSpec) -> Outcome {
        let Some(request) = spec.request() else {
            return Outcome::Unsent;
        };
        self.drop_closed();
        if let Err(error) = self.open().await {
            return Outcome::of(&Err(error));
        }
        let Some(flow) = &mut self.flow else {
            return Outcome::Unsent;
        };
        flow.sent += 1;
        self.trace.caller = Some(flow.caller.local_addr());
        self.trace.position = flow.sent;
        self.trace.sends += 1;
        let sent =
            tokio::time::timeout(self.shared.response_timeout, flow.caller.send(request)).await;
        self.handle_result(sent.ok())
    }

    /// Returns the outcome of an attempt, and ends the flow unless it can carry another request.
    fn handle_result(&mut self, result: Option<CallerResult<CallerAnswer>>) -> Outcome {
        let Some(result) = result else {
            self.end_flow(FlowEnd::Abandoned);
            return Outcome::TimedOut;
        };
        match &result {
            Ok(answer) if answer.status.is_success() => {
                self.trace.backend = answer.echo().map(|echo| echo.backend);
            }
            Ok(answer) => self.problem = answer.problem().map(SmolStr::from),
            Err(CallerError::Unsent(_)) => self.drop_closed(),
            Err(_) => self.end_flow(FlowEnd::Broken),
        }
        Outcome::of(&result)
    }

    /// Ends the flow if it broke or the service closed it since the last request.
    fn drop_closed(&mut self) {
        let Some(flow) = &self.flow else {
            return;
        };
        if flow.caller.is_broken() {
            self.end_flow(FlowEnd::Broken);
        } else if flow.caller.is_closed() {
            self.end_flow(FlowEnd::Closed);
        }
    }

    async fn open(&mut self) -> CallerResult<()> {
        if self.flow.is_some() {
            return Ok(());
        }
        let opened = uptime();
        match HttpCaller::connect(&self.shared.fabric, self.shared.service.address).await {
            Ok(caller) => {
                self.shared.ledger.count_open();
                self.flow = Some(Flow {
                    caller,
                    opened,
                    sent: 0,
                });
                Ok(())
            }
            Err(error) => {
                self.record_flow(opened, uptime(), FlowEnd::NotOpened);
                Err(error)
            }
        }
    }

    fn end_flow(&mut self, end: FlowEnd) {
        if let Some(flow) = self.flow.take() {
            self.shared.ledger.count_close();
            let broken = end == FlowEnd::Finished && flow.caller.is_broken();
            let end = if broken { FlowEnd::Broken } else { end };
            let ended = flow.caller.ended().unwrap_or_else(uptime);
            self.record_flow(flow.opened, ended, end);
        }
    }

    fn record_flow(&self, opened: Duration, ended: Duration, end: FlowEnd) {
        self.shared.ledger.add_flow(FlowRecord {
            service: self.shared.service.name.clone(),
            opened,
            ended,
            end,
        });
    }
}
