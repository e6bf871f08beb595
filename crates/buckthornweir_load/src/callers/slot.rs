//! One caller after another: a flow, its requests, then a new flow.

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
use super::request::{Draft, draft};

/// A place that always holds one caller.
pub(crate) struct Slot {
    shared: Arc<Shared>,
    rng: ChaCha8Rng,
    /// The mean time between two requests.
    gap: Duration,
    /// Requests on one flow.
    budget: u32,
    flow: Option<Flow>,
    /// The reason that the last answer gave, if it was no success.
    problem: Option<SmolStr>,
    /// How the request that is on its way went so far.
    trace: Trace,
}

struct Flow {
    caller: HttpCaller,
    opened: Duration,
    sent: u32,
}

impl Slot {
    pub(crate) fn new(shared: Arc<Shared>, rng: ChaCha8Rng, gap: Duration, budget: u32) -> Self {
        Self {
            shared,
            rng,
            gap,
            budget,
            flow: None,
            problem: None,
            trace: Trace::default(),
        }
    }

    /// Sends requests until the load ends.
    pub(crate) async fn run(mut self) {
        let first: f64 = self.rng.random();
        let mut due = self.shared.start + self.gap.mul_f64(first);
        while due < self.shared.end {
            tokio::time::sleep(due.saturating_sub(uptime())).await;
            self.request(due).await;
            due += self.pause();
        }
        self.finish(FlowEnd::Finished);
    }

    /// Sends a single request.
    pub(crate) async fn run_once(mut self) {
        self.request(uptime()).await;
        self.finish(FlowEnd::Finished);
    }

    /// Draws the exponentially distributed time to the next request.
    fn pause(&mut self) -> Duration {
        let uniform: f64 = self.rng.random();
        self.gap.mul_f64(-(1.0 - uniform).ln())
    }

    /// Sends one request, on a new flow when none is open, and writes down what became of it.
    async fn request(&mut self, due: Duration) {
        let draft = draft(
            &self.shared.service.load,
            &self.shared.service.name,
            &mut self.rng,
        );
        let mut outcome = self.send(&draft).await;
        if outcome == Outcome::Unsent {
            // Nothing was sent on the flow that the service had closed.
            outcome = self.send(&draft).await;
        }
        self.shared.ledger.add_request(RequestRecord {
            record: CallerRecord {
                request_id: draft.id.clone(),
                service: self.shared.service.name.clone(),
                traits: draft.traits(),
                outcome,
            },
            keyed: draft.key.is_some(),
            problem: self.problem.take(),
            trace: std::mem::take(&mut self.trace),
            due,
            ended: uptime(),
        });
        let sent = self.flow.as_ref().map_or(0, |flow| flow.sent);
        if sent >= self.budget {
            self.finish(FlowEnd::Finished);
        }
    }

    async fn send(&mut self, draft: &Draft) -> Outcome {
        let Some(request) = draft.request() else {
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
        let sent = tokio::time::timeout(self.shared.patience, flow.caller.send(request)).await;
        self.settle(sent.ok())
    }

    /// Ends the flow unless its next request can go on it.
    fn settle(&mut self, result: Option<CallerResult<CallerAnswer>>) -> Outcome {
        let Some(result) = result else {
            self.finish(FlowEnd::Abandoned);
            return Outcome::TimedOut;
        };
        match &result {
            Ok(answer) if answer.status.is_success() => {
                self.trace.backend = answer.echo().map(|echo| echo.backend);
            }
            Ok(answer) => self.problem = answer.problem().map(SmolStr::from),
            Err(CallerError::Unsent(_)) => self.drop_closed(),
            Err(_) => self.finish(FlowEnd::Broken),
        }
        Outcome::of(&result)
    }

    /// Ends a flow that the service has closed, or that broke, since the last request.
    fn drop_closed(&mut self) {
        let Some(flow) = &self.flow else {
            return;
        };
        if flow.caller.is_broken() {
            self.finish(FlowEnd::Broken);
        } else if flow.caller.is_closed() {
            self.finish(FlowEnd::Closed);
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
                self.write(opened, uptime(), FlowEnd::NotOpened);
                Err(error)
            }
        }
    }

    fn finish(&mut self, end: FlowEnd) {
        if let Some(flow) = self.flow.take() {
            self.shared.ledger.count_close();
            let broken = end == FlowEnd::Finished && flow.caller.is_broken();
            let end = if broken { FlowEnd::Broken } else { end };
            let ended = flow.caller.ended().unwrap_or_else(uptime);
            self.write(flow.opened, ended, end);
        }
    }

    fn write(&self, opened: Duration, ended: Duration, end: FlowEnd) {
        self.shared.ledger.add_flow(FlowRecord {
            service: self.shared.service.name.clone(),
            opened,
            ended,
            end,
        });
    }
}
