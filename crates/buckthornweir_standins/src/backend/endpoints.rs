//! What a backend server answers.

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

use super::answer::{Answer, AnswerBody, json, plain, refusal};
use super::book::{Book, BookEntry, End};
use super::slots::{SlotGuard, Slots, Verdict};
use super::{BackendConfig, Fault};
use crate::clock::uptime;

/// Largest padding of an answer, in bytes.
const PADDING_LIMIT: usize = 16 * 1024 * 1024;

/// The names of the headers that the stand-ins read and write.
pub mod headers {
    /// The request's id, which the answer and the books repeat.
    pub const REQUEST_ID: &str = "x-request-id";
    /// The key of a request that may be sent again.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// The time that is left for the request, in milliseconds.
    pub const DEADLINE: &str = "x-deadline-ms";
    /// Says `yes` on a refusal of a request that was not run.
    pub const NOT_RUN: &str = "x-not-run";
}

/// What the load endpoint says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Slots that are busy.
    pub busy: usize,
    /// Slots that there are.
    pub slots: usize,
}

/// The state behind all connections of one backend server.
pub(crate) struct Endpoints {
    config: BackendConfig,
    slots: Arc<Slots>,
    book: Arc<Book>,
    fault: Mutex<Fault>,
    report: Mutex<Report>,
}

#[derive(Clone, Copy)]
struct Report {
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
            book: Arc::default(),
            fault: Mutex::default(),
            report: Mutex::new(Report {
                load,
                draining: false,
            }),
        }
    }

    pub(crate) fn slots(&self) -> &Slots {
        &self.slots
    }

    pub(crate) fn book(&self) -> &Book {
        &self.book
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        *self.fault.lock() = fault;
    }

    /// Renews what the health and load endpoints say.
    pub(crate) fn renew_report(&self) {
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
        *self.report.lock() = Report {
            load,
            draining: fault == Fault::Drain,
        };
    }

    /// Answers one request; an error closes the connection.
    pub(crate) async fn handle(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Answer> {
        match request.uri().path() {
            "/-/health" => Ok(self.health()),
            "/-/load" => Ok(self.load()),
            _ => self.work(request).await,
        }
    }

    fn health(&self) -> Answer {
        if self.report.lock().draining {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "draining");
        }
        plain(StatusCode::OK, "ok")
    }

    fn load(&self) -> Answer {
        let report = self.report.lock().load;
        json(&report)
    }

    async fn work(&self, request: Request<Incoming>) -> io::Result<Answer> {
        let now = uptime();
        let fault = *self.fault.lock();
        if fault == Fault::Shed {
            let running = self.slots.running();
            self.book
                .add(entry(&request, now, running + 1, false).ended(End::Refused));
            return Ok(refusal());
        }
        let slot = self.slots.enter(now);
        let entry = entry(&request, now, slot.concurrent, slot.cold);
        match slot.verdict {
            Verdict::Full => {
                self.book.add(entry.ended(End::Refused));
                Ok(refusal())
            }
            Verdict::FallOver => {
                self.book.add(entry.ended(End::FellOver));
                Ok(plain(StatusCode::INTERNAL_SERVER_ERROR, "fell over"))
            }
            Verdict::Run => {
                let slot = SlotGuard(self.slots.clone());
                let answer = self.body(&entry, &request);
                let run = Run {
                    book: self.book.clone(),
                    index: self.book.add(entry),
                };
                self.run(request, run, slot, answer, fault).await
            }
        }
    }

    /// Does the work on a request that holds a slot.
    async fn run(
        &self,
        request: Request<Incoming>,
        run: Run,
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
        let time = deadline.map_or(self.config.work, |deadline| deadline.min(self.config.work));
        if !time.is_zero() {
            sleep(time).await;
        }
        if time < self.config.work {
            run.end(End::Expired);
            return Ok(plain(StatusCode::GATEWAY_TIMEOUT, "deadline"));
        }
        match fault {
            Fault::LyingHealth => {
                run.end(End::Failed);
                return Ok(plain(StatusCode::INTERNAL_SERVER_ERROR, "failed"));
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
        let mut response = json(&answer);
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

    fn body(&self, entry: &BookEntry, request: &Request<Incoming>) -> AnswerBody {
        AnswerBody {
            service: self.config.service.clone(),
            backend: self.config.name.clone(),
            request_id: entry.request_id.clone(),
            path: entry.path.clone(),
            padding: "x".repeat(padding(request.uri().query().unwrap_or_default())),
        }
    }
}

/// A request that runs; when it is dropped unfinished, it was cancelled.
struct Run {
    book: Arc<Book>,
    index: usize,
}

impl Run {
    fn end(&self, end: End) {
        self.book.end(self.index, end, uptime());
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.end(End::Cancelled);
    }
}

impl BookEntry {
    fn ended(mut self, end: End) -> Self {
        self.ended = Some(self.started);
        self.end = end;
        self
    }
}

fn entry(request: &Request<Incoming>, now: Duration, concurrent: usize, cold: bool) -> BookEntry {
    let header = |name| {
        request
            .headers()
            .get(name)?
            .to_str()
            .ok()
            .map(SmolStr::from)
    };
    BookEntry {
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

/// Returns how many bytes of padding a query such as `bytes=5000` asks for.
fn padding(query: &str) -> usize {
    let bytes = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("bytes="));
    let bytes = bytes.and_then(|bytes| bytes.parse().ok()).unwrap_or(0);
    bytes.min(PADDING_LIMIT)
}
