//! One try of a request at the own backend server, and the report of how a try ended.

use std::sync::Arc;
use std::time::Duration;

use buckthornweir_events::Count;
use buckthornweir_requests::{Outcome, Progress, RequestKey};
use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::backend::{AbandonWatch, BackendError, Connection};
use super::body::{AnswerBody, BodyEnd, watched, whole};
use super::desk::{Desk, Directive};
use super::headers::{DEADLINE_HEADER, outcome_of, strip_connection_headers};
use super::request::ReadRequest;

/// The largest body in bytes of an error answer that is kept while the request may be tried again.
const ERROR_BODY_LIMIT: usize = 1 << 20;

/// What came of one try.
pub(crate) enum Tried {
    /// An answer for the caller; its body tells the desk how it ended.
    Answer(Response<AnswerBody>),
    /// The try ended and was reported; an error answer may be at hand.
    Ended(Option<Response<AnswerBody>>),
    /// The desk gave the try up by itself; this is what follows, if it is known.
    Directed(Option<Directive>),
}

/// Reports a request as given up when its task is dropped before its end.
pub(crate) struct RequestGuard {
    desk: Arc<Desk>,
    key: RequestKey,
    current: Mutex<CurrentTry>,
}

/// The try that runs now.
#[derive(Clone, Copy)]
struct CurrentTry {
    progress: Progress,
    began: Duration,
    armed: bool,
    /// How the try before ended.
    before: Option<Outcome>,
}

impl RequestGuard {
    /// Returns a guard for a request that was let in.
    pub(crate) fn new(desk: Arc<Desk>, key: RequestKey) -> Self {
        let began = desk.board().now();
        Self {
            desk,
            key,
            current: Mutex::new(CurrentTry {
                progress: Progress::NotWritten,
                began,
                armed: true,
                before: None,
            }),
        }
    }

    /// Returns the desk.
    pub(crate) fn desk(&self) -> &Arc<Desk> {
        &self.desk
    }

    /// Starts a try, and counts it when there was one before.
    pub(crate) fn begin(&self) {
        let mut current = self.current.lock();
        if let Some(count) = current.before.take().and_then(retry_count) {
            self.desk.board().metrics.count(count);
        }
        current.progress = Progress::NotWritten;
        current.began = self.desk.board().now();
    }

    /// Notes how far the try has come.
    pub(crate) fn note(&self, progress: Progress) {
        self.current.lock().progress = progress;
    }

    /// Reports how the try ended.
    pub(crate) fn finish(&self, outcome: Outcome) {
        let current = self.current();
        self.current.lock().before = Some(outcome);
        let latency = self.latency(current);
        self.desk
            .finished(self.key, current.progress, outcome, latency);
    }

    /// Reports how the try ended, without an answer at hand.
    pub(crate) fn end(&self, outcome: Outcome) -> Tried {
        self.finish(outcome);
        Tried::Ended(None)
    }

    /// Hands the duty to report over to a body; returns a function for its end.
    pub(crate) fn report_body(&self) -> impl FnOnce(BodyEnd) + Send + Unpin + use<> {
        self.disarm();
        self.desk.answering(self.key);
        let desk = self.desk.clone();
        let key = self.key;
        let began = self.current().began;
        move |end| {
            let latency = desk.board().now().saturating_sub(began);
            match end {
                BodyEnd::Whole => {
                    desk.board().metrics.count(Count::RequestsDone);
                    desk.finished(key, Progress::AnswerWhole, Outcome::Done, latency);
                }
                BodyEnd::Cut => desk.finished(key, Progress::BodyPart, Outcome::Cut, latency),
                BodyEnd::Dropped => desk.cancelled(key, Progress::BodyPart, latency),
            }
        }
    }

    fn current(&self) -> CurrentTry {
        *self.current.lock()
    }

    fn latency(&self, current: CurrentTry) -> Duration {
        self.desk.board().now().saturating_sub(current.began)
    }

    /// Ends the duty to report.
    pub(crate) fn disarm(&self) {
        self.current.lock().armed = false;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let current = self.current();
        if current.armed {
            let latency = self.latency(current);
            self.desk.cancelled(self.key, current.progress, latency);
        }
    }
}

/// Returns what counts tries that follow one with this outcome.
fn retry_count(before: Outcome) -> Option<Count> {
    match before {
        Outcome::Refused => Some(Count::RequestsRetriedRefused),
        Outcome::Failed => Some(Count::RequestsRetriedFailed),
        Outcome::Cut => Some(Count::RequestsRetriedCut),
        Outcome::Silent => Some(Count::RequestsRetriedSilent),
        Outcome::Done | Outcome::Cancelled => None,
    }
}

/// Waits for a try, or gives it up when the desk directs otherwise.
pub(crate) async fn until_directive(
    guard: &RequestGuard,
    work: impl Future<Output = Tried>,
    directives: &mut mpsc::UnboundedReceiver<Directive>,
) -> Tried {
    let directive = tokio::select! {
        biased;
        tried = work => return tried,
        directive = directives.recv() => directive,
    };
    match directive {
        Some(Directive::Abort) => guard.end(Outcome::Silent),
        Some(directive) => Tried::Directed(Some(directive)),
        None => Tried::Directed(Some(Directive::Cut)),
    }
}

/// Tries a request at the own backend server.
pub(crate) async fn exchange(guard: &RequestGuard, request: &ReadRequest) -> Tried {
    guard.begin();
    let Ok(mut connection) = connect(guard.desk(), request).await else {
        return guard.end(Outcome::Cut);
    };
    guard.note(Progress::Written);
    let mut watch = guard.desk().backend().watch();
    let sent = connection.send(backend_request(guard, request)).await;
    let response = match sent {
        Ok(response) => response,
        Err(error) => {
            watch.end();
            if was_not_written(&error) {
                guard.note(Progress::NotWritten);
            }
            return guard.end(Outcome::Cut);
        }
    };
    guard.note(Progress::HeadersSeen);
    watch.note_answer();
    let outcome = outcome_of(response.status(), response.headers());
    if outcome == Outcome::Done {
        return Tried::Answer(stream_answer(guard, response, connection, watch));
    }
    let tried = keep_error(guard, response, connection, outcome).await;
    watch.end();
    tried
}

/// A request that may not be repeated runs on a new connection, so that a connection that is being
/// closed from its other end cannot leave its outcome unknown.
async fn connect(desk: &Desk, request: &ReadRequest) -> Result<Connection, BackendError> {
    if request.arrival.repeatable {
        desk.backend().checkout().await
    } else {
        desk.backend().open().await
    }
}

fn was_not_written(error: &BackendError) -> bool {
    matches!(error, BackendError::Exchange(source) if source.is_canceled())
}

fn stream_answer(
    guard: &RequestGuard,
    response: Response<Incoming>,
    connection: Connection,
    mut watch: AbandonWatch,
) -> Response<AnswerBody> {
    let report = guard.report_body();
    let desk = guard.desk().clone();
    let done = move |end| {
        report(end);
        if end != BodyEnd::Dropped {
            watch.end();
        }
        if end == BodyEnd::Whole {
            desk.backend().give_back(connection);
        }
    };
    let (mut head, body) = response.into_parts();
    strip_connection_headers(&mut head.headers);
    Response::from_parts(head, watched(body, done))
}

/// Reads an error answer whole, since the request may be tried again instead of passing it on.
async fn keep_error(
    guard: &RequestGuard,
    response: Response<Incoming>,
    connection: Connection,
    outcome: Outcome,
) -> Tried {
    let (mut head, body) = response.into_parts();
    let Ok(body) = Limited::new(body, ERROR_BODY_LIMIT).collect().await else {
        return guard.end(Outcome::Cut);
    };
    guard.note(Progress::AnswerWhole);
    guard.desk().backend().give_back(connection);
    strip_connection_headers(&mut head.headers);
    let answer = Response::from_parts(head, whole(body.to_bytes()));
    guard.finish(outcome);
    Tried::Ended(Some(answer))
}

fn backend_request(guard: &RequestGuard, request: &ReadRequest) -> Request<Full<Bytes>> {
    let mut sent = Request::new(Full::new(request.body.clone()));
    *sent.method_mut() = request.head.method.clone();
    *sent.uri_mut() = request.head.uri.clone();
    *sent.headers_mut() = request.head.headers.clone();
    strip_connection_headers(sent.headers_mut());
    let left = request
        .arrival
        .deadline
        .saturating_sub(guard.desk().board().now());
    let name = HeaderName::from_static(DEADLINE_HEADER);
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    sent.headers_mut().insert(name, HeaderValue::from(millis));
    sent
}
