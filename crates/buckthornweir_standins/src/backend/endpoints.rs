//! The HTTP endpoints of a backend server.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::sleep;

use super::answer::{Answer, AnswerBody, json_answer, refusal_answer, text_answer};
use super::request_log::{BackendRecord, End, RequestLog};
use super::slots::{SlotDecision, SlotGuard, Slots};
use super::{BackendConfig, Fault};
use crate::clock::uptime;

/// Largest padding of a response.
const MAX_PADDING_BYTES: usize = 16 * 1024 * 1024;

/// Names of the headers that the stand-ins read and write.
pub mod headers {
    /// The request's id, which is part of the response and of the request log.
    pub const REQUEST_ID: &str = "x-request-id";
    /// The idempotency key of a request that may be retried.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// The time until the request's deadline, in milliseconds.
    pub const DEADLINE: &str = "x-deadline-ms";
    /// The agent's id of the request, which a response returns.
    pub const EXCHANGE: &str = "x-exchange-id";
    /// Has the value `yes` on the refusal of a request that was not run.
    pub const NOT_RUN: &str = "x-not-run";
}

/// The response of the load endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of busy slots.
    pub busy: usize,
    /// Number of slots.
    pub slots: usize,
}

/// The state that all connections of one backend server share.
pub(crate) struct Endpoints {
    config: BackendConfig,
    slots: Arc<Slots>,
    request_log: Arc<RequestLog>,
    fault: Mutex<Fault>,
    report: Mutex<CachedReport>,
}

#[derive(Clone, Copy)]
struct CachedReport {
    load: LoadReport,
    draining: bool,
}

impl Endpoints {
    pub(crate) fn new(config: BackendConfig) -> Self {
        let slots = Slots::new(config.slots, config.cold_slots, config.cold_time, uptime());
        let load = LoadReport {
            busy: 0,
            slots: config.slots,
        };
        Self {
            config,
            slots: Arc::new(slots),
            request_log: Arc::default(),
            fault: Mutex::default(),
            report: Mutex::new(CachedReport {
                load,
                draining: false,
            }),
        }
    }

    pub(crate) fn slots(&self) -> &Slots {
        &self.slots
    }

    pub(crate) fn request_log(&self) -> &RequestLog {
        &self.request_log
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        *self.fault.lock() = fault;
    }

    /// Refreshes the state that the health and load endpoints report.
    pub(crate) fn refresh_report(&self) {
        let fault = *self.fault.lock();
        let busy = if fault == Fault::LyingLoad {
            0
        } else {
            self.slots.running()
        };
        let load = LoadReport {
            busy,
            slots: self.config.slots,
        };
        *self.report.lock() = CachedReport {
            load,
            draining: fault == Fault::Drain,
        };
    }

    /// Handles one request. An error closes the connection.
    pub(crate) async fn handle(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Answer> {
        let exchange = request.headers().get(headers::EXCHANGE).cloned();
        let mut response = match request.uri().path() {
            "/-/health" => self.health(),
            "/-/load" => self.load(),
            _ => self.work(request).await?,
        };
        if let Some(id) = exchange {
            response.headers_mut().insert(headers::EXCHANGE, id);
        }
        Ok(response)
    }

    fn health(&self) -> Answer {
        if self.report.lock().draining {
            return text_answer(StatusCode::SERVICE_UNAVAILABLE, "draining");
        }
        text_answer(StatusCode::OK, "ok")
    }

    fn load(&self) -> Answer {
        let report = self.report.lock().load;
        json_answer(&report)
    }

    async fn work(&self, request: Request<Incoming>) -> io::Result<Answer> {
        let now = uptime();
        let fault = *self.fault.lock();
        if fault == Fault::Shed {
            let running = self.slots.running();
            self.request_log
                .add(new_record(&request, now, running + 1, false).ended(End::Refused));
            return Ok(refusal_answer());
        }
        let slot = self.slots.try_acquire(now);
        let record = new_record(&request, now, slot.concurrent, slot.cold);
        match slot.decision {
            SlotDecision::Full => {
                self.request_log.add(record.ended(End::Refused));
                Ok(refusal_answer())
            }
            SlotDecision::FallOver => {
                self.request_log.add(record.ended(End::FellOver));
                Ok(text_answer(StatusCode::INTERNAL_SERVER_ERROR, "fell over"))
            }
            SlotDecision::Run => {
                let slot = SlotGuard(self.slots.clone());
                let answer = self.body(&record, &request);
                let run = RunningRequest {
                    request_log: self.request_log.clone(),
                    index: self.request_log.add(record),
                };
                self.run(request, run, slot, answer, fault).await
            }
        }
    }

    /// Runs a request that has a slot.
    async fn run(
        &self,
        request: Request<Incoming>,
        run: RunningRequest,
        slot: SlotGuard,
        answer: AnswerBody,
        fault: Fault,
    ) -> io::Result<Answer> {
        let deadline = deadline(request.headers());
        request
            .into_body()
            .collect()
            .await
            .map_err(io::Error::other)?;
        let work_time =
            deadline.map_or(self.config.work, |deadline| deadline.min(self.config.work));
        if !work_time.is_zero() {
            sleep(work_time).await;
        }
        if work_time < self.config.work {
            run.end(End::Expired);
            return Ok(text_answer(StatusCode::GATEWAY_TIMEOUT, "deadline"));
        }
        match fault {
            Fault::LyingHealth => {
                run.end(End::Failed);
                return Ok(text_answer(StatusCode::INTERNAL_SERVER_ERROR, "failed"));
            }
            Fault::CutBeforeAnswer => {
                run.end(End::Cut);
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            Fault::CutAfterHeaders | Fault::CutMidBody => run.end(End::Cut),
            Fault::Late(delay) => {
                run.end(End::Done);
                sleep(delay).await;
            }
            _ => run.end(End::Done),
        }
        drop(slot);
        let mut response = json_answer(&answer);
        match fault {
            Fault::CutAfterHeaders => response.body_mut().cut_at(0),
            Fault::CutMidBody => response.body_mut().cut_in_middle(),
            Fault::Drain => {
                response
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            _ => {}
        }
        Ok(response)
    }

    fn body(&self, record: &BackendRecord, request: &Request<Incoming>) -> AnswerBody {
        AnswerBody {
            service: self.config.service.clone(),
            backend: self.config.name.clone(),
            request_id: record.request_id.clone(),
            path: record.path.clone(),
            padding: "x".repeat(padding(request.uri().query().unwrap_or_default())),
        }
    }
}

/// The log record of a running request. Dropping it before its end records a cancellation.
struct RunningRequest {
    request_log: Arc<RequestLog>,
    index: usize,
}

impl RunningRequest {
    fn end(&self, end: End) {
        self.request_log.end(self.index, end, uptime());
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.end(End::Cancelled);
    }
}

impl BackendRecord {
    fn ended(mut self, end: End) -> Self {
        self.ended = Some(self.started);
        self.end = end;
        self
    }
}

fn new_record(
    request: &Request<Incoming>,
    now: Duration,
    concurrent: usize,
    cold: bool,
) -> BackendRecord {
    let header = |name| {
        request
            .headers()
            .get(name)?
            .to_str()
            .ok()
            .map(SmolStr::from)
    };
    BackendRecord {
        request_id: header(headers::REQUEST_ID).unwrap_or_default(),
        idempotency_key: header(headers::IDEMPOTENCY_KEY),
        method: request.method().as_str().into(),
        path: request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str())
            .into(),
        started: now,
        ended: None,
        end: End::Running,
        concurrent,
        cold,
    }
}

fn deadline(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(headers::DEADLINE)?.to_str().ok()?;
    value.parse().ok().map(Duration::from_millis)
}

/// Returns the number of padding bytes that a query such as `bytes=5000` requests.
fn padding(query: &str) -> usize {
    let bytes = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("bytes="));
    let bytes = bytes.and_then(|bytes| bytes.parse().ok()).unwrap_or(0);
    bytes.min(MAX_PADDING_BYTES)
}
