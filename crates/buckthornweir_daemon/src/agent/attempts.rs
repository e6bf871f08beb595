//! Attempts to run a request at the local backend server, and the reports of how an attempt ended.

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

use super::backend::{AbandonGuard, BackendError, Connection};
use super::body::{BodyEnd, ResponseBody, full_body, with_end_callback};
use super::coordinator::{Directive, RequestCoordinator};
use super::headers::{DEADLINE_HEADER, outcome_of, strip_hop_by_hop_headers};
use super::request::BufferedRequest;

/// The largest body of an error response that is buffered while the request may be retried.
const MAX_ERROR_BODY_BYTES: usize = 1 << 20;

/// The result of one attempt.
pub(crate) enum AttemptResult {
    /// A response for the caller. The end of its body is reported to the coordinator.
    Response(Response<ResponseBody>),
    /// The attempt ended and was reported, possibly with an error response.
    Ended(Option<Response<ResponseBody>>),
    /// The coordinator interrupted the attempt with another directive.
    Interrupted(Option<Directive>),
}

/// Reports a request as cancelled when it is dropped before the request has ended.
pub(crate) struct RequestGuard {
    coordinator: Arc<RequestCoordinator>,
    key: RequestKey,
    current: Mutex<CurrentAttempt>,
}

/// The attempt that is in progress.
#[derive(Clone, Copy)]
struct CurrentAttempt {
    progress: Progress,
    started_at: Duration,
    armed: bool,
    is_running: bool,
    /// The outcome of the previous attempt.
    previous: Option<Outcome>,
}

impl RequestGuard {
    /// Returns a guard for an open request.
    pub(crate) fn new(coordinator: Arc<RequestCoordinator>, key: RequestKey) -> Self {
        let started_at = coordinator.board().now();
        Self {
            coordinator,
            key,
            current: Mutex::new(CurrentAttempt {
                progress: Progress::NotWritten,
                started_at,
                armed: true,
                is_running: false,
                previous: None,
            }),
        }
    }

    /// Returns the coordinator.
    pub(crate) fn coordinator(&self) -> &Arc<RequestCoordinator> {
        &self.coordinator
    }

    /// Starts an attempt, and counts a retry when there was a previous one.
    pub(crate) fn start(&self) {
        let mut current = self.current.lock();
        if let Some(count) = current.previous.take().and_then(retry_counter) {
            self.coordinator.board().metrics.count(count);
        }
        current.progress = Progress::NotWritten;
        current.started_at = self.coordinator.board().now();
        current.is_running = true;
    }

    /// Returns when the attempt in progress started.
    pub(crate) fn running_since(&self) -> Option<Duration> {
        let current = self.current();
        current.is_running.then_some(current.started_at)
    }

    /// Records the progress of the attempt.
    pub(crate) fn set_progress(&self, progress: Progress) {
        self.current.lock().progress = progress;
    }

    /// Reports how the attempt ended.
    pub(crate) fn finish(&self, outcome: Outcome) {
        let current = self.current();
        let mut stored = self.current.lock();
        stored.previous = Some(outcome);
        stored.is_running = false;
        drop(stored);
        let latency = self.latency(current);
        self.coordinator
            .finished(self.key, current.progress, outcome, latency);
    }

    /// Reports how an attempt without a response ended.
    pub(crate) fn end(&self, outcome: Outcome) -> AttemptResult {
        self.finish(outcome);
        AttemptResult::Ended(None)
    }

    /// Disarms the guard and returns a callback that reports the end of the response body instead.
    pub(crate) fn body_reporter(&self) -> impl FnOnce(BodyEnd) + Send + Unpin + use<> {
        self.disarm();
        self.coordinator.response_started(self.key);
        let owner = self.coordinator.clone();
        let key = self.key;
        let started_at = self.current().started_at;
        move |end| {
            let latency = owner.board().now().saturating_sub(started_at);
            match end {
                BodyEnd::Complete => {
                    owner.board().metrics.count(Count::RequestsDone);
                    owner.finished(key, Progress::AnswerWhole, Outcome::Done, latency);
                }
                BodyEnd::Cut => owner.finished(key, Progress::BodyPart, Outcome::Cut, latency),
                BodyEnd::Dropped => owner.cancelled(key, Progress::BodyPart, latency),
            }
        }
    }

    fn current(&self) -> CurrentAttempt {
        *self.current.lock()
    }

    fn latency(&self, current: CurrentAttempt) -> Duration {
        self.coordinator
            .board()
            .now()
            .saturating_sub(current.started_at)
    }

    /// Makes the guard report nothing when it is dropped.
    pub(crate) fn disarm(&self) {
        self.current.lock().armed = false;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let current = self.current();
        if current.armed {
            let latency = self.latency(current);
            self.coordinator
                .cancelled(self.key, current.progress, latency);
        }
    }
}

/// Returns the counter of retries after an attempt with the outcome `previous`.
fn retry_counter(previous: Outcome) -> Option<Count> {
    match previous {
        Outcome::Refused => Some(Count::RequestsRetriedRefused),
        Outcome::Failed => Some(Count::RequestsRetriedFailed),
        Outcome::Cut => Some(Count::RequestsRetriedCut),
        Outcome::Silent => Some(Count::RequestsRetriedSilent),
        Outcome::Done | Outcome::Cancelled => None,
    }
}

/// Waits for an attempt, and drops it when the coordinator sends another directive.
pub(crate) async fn until_directive(
    guard: &RequestGuard,
    work: impl Future<Output = AttemptResult>,
    directives: &mut mpsc::UnboundedReceiver<Directive>,
) -> AttemptResult {
    let directive = tokio::select! {
        biased;
        result = work => return result,
        directive = directives.recv() => directive,
    };
    match directive {
        Some(Directive::Abort) => guard.end(Outcome::Silent),
        Some(directive) => AttemptResult::Interrupted(Some(directive)),
        None => AttemptResult::Interrupted(Some(Directive::Cut)),
    }
}

/// Runs one attempt at the local backend server.
pub(crate) async fn exchange(guard: &RequestGuard, request: &BufferedRequest) -> AttemptResult {
    guard.start();
    let Ok(mut connection) = connect(guard.coordinator(), request).await else {
        return guard.end(Outcome::Cut);
    };
    guard.set_progress(Progress::Written);
    let mut abandon_guard = guard.coordinator().backend().abandon_guard();
    let sent = connection.send(backend_request(guard, request)).await;
    let response = match sent {
        Ok(response) => response,
        Err(error) => {
            abandon_guard.disarm();
            if was_not_written(&error) {
                guard.set_progress(Progress::NotWritten);
            }
            if matches!(error, BackendError::OtherResponse) {
                let backend = guard.coordinator().backend();
                backend.note_other_response(&request.head);
            }
            return guard.end(Outcome::Cut);
        }
    };
    guard.set_progress(Progress::HeadersSeen);
    abandon_guard.response_started();
    let outcome = outcome_of(response.status(), response.headers());
    if outcome == Outcome::Done {
        return AttemptResult::Response(stream_response(
            guard,
            response,
            connection,
            abandon_guard,
        ));
    }
    let result = read_error_response(guard, response, connection, outcome).await;
    abandon_guard.disarm();
    result
}

/// Returns a connection for the request. A request that may not be repeated gets a new one, since
/// an idle connection that the backend server is closing would leave the outcome unknown.
async fn connect(
    coordinator: &RequestCoordinator,
    request: &BufferedRequest,
) -> Result<Connection, BackendError> {
    if request.arrival.repeatable {
        coordinator.backend().check_out().await
    } else {
        coordinator.backend().open().await
    }
}

fn was_not_written(error: &BackendError) -> bool {
    matches!(error, BackendError::Exchange(source) if source.is_canceled())
}

fn stream_response(
    guard: &RequestGuard,
    response: Response<Incoming>,
    connection: Connection,
    mut abandon_guard: AbandonGuard,
) -> Response<ResponseBody> {
    let report = guard.body_reporter();
    let coordinator = guard.coordinator().clone();
    let on_end = move |end| {
        report(end);
        if end != BodyEnd::Dropped {
            abandon_guard.disarm();
        }
        if end == BodyEnd::Complete {
            coordinator.backend().check_in(connection);
        }
    };
    let (mut head, body) = response.into_parts();
    strip_hop_by_hop_headers(&mut head.headers);
    Response::from_parts(head, with_end_callback(body, on_end))
}

/// Buffers an error response, since the request may be retried instead of delivering it.
async fn read_error_response(
    guard: &RequestGuard,
    response: Response<Incoming>,
    connection: Connection,
    outcome: Outcome,
) -> AttemptResult {
    let (mut head, body) = response.into_parts();
    let Ok(body) = Limited::new(body, MAX_ERROR_BODY_BYTES).collect().await else {
        return guard.end(Outcome::Cut);
    };
    guard.set_progress(Progress::AnswerWhole);
    guard.coordinator().backend().check_in(connection);
    strip_hop_by_hop_headers(&mut head.headers);
    let response = Response::from_parts(head, full_body(body.to_bytes()));
    guard.finish(outcome);
    AttemptResult::Ended(Some(response))
}

fn backend_request(guard: &RequestGuard, request: &BufferedRequest) -> Request<Full<Bytes>> {
    let mut sent = Request::new(Full::new(request.body.clone()));
    *sent.method_mut() = request.head.method.clone();
    *sent.uri_mut() = request.head.uri.clone();
    *sent.headers_mut() = request.head.headers.clone();
    strip_hop_by_hop_headers(sent.headers_mut());
    let remaining = request
        .arrival
        .deadline
        .saturating_sub(guard.coordinator().board().now());
    let name = HeaderName::from_static(DEADLINE_HEADER);
    let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    sent.headers_mut().insert(name, HeaderValue::from(millis));
    sent
}
