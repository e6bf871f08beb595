//! The task of one request: follows the desk's directives until it has an answer for its caller.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use buckthornweir_events::{Count, EventKind};
use buckthornweir_requests::{
    Arrival, Outcome, ProblemKind, Progress, Refusal, RequestKey, problem_document,
};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Request, Response, StatusCode, request};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::backend::{AbandonWatch, BackendError, Connection};
use super::body::{AnswerBody, BodyEnd, watched, whole};
use super::desk::{Desk, Directive, Opened};
use super::hand_links::hand_over;
use super::keyed::Verdict;

/// The largest body of a request in bytes.
const BODY_LIMIT: usize = 8 << 20;

/// The largest body in bytes of an error answer that is kept while the request may be tried again.
const ERROR_BODY_LIMIT: usize = 1 << 20;

/// The time that is left for a request, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Says `yes` on a refusal of a request that was not run.
pub(crate) const NOT_RUN_HEADER: &str = "x-not-run";

/// The key of a request that may be sent again.
const KEY_HEADER: &str = "idempotency-key";

/// The id that a caller gives a request.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// A request whose body has been read.
pub(crate) struct ReadRequest {
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) arrival: Arrival,
}

/// How a request ended.
pub(crate) enum Served {
    /// With an answer of a backend server.
    Answer(Response<AnswerBody>),
    /// With a refusal.
    Refused(Refusal),
    /// Without an answer.
    Cut,
}

impl Desk {
    /// Answers one request of a caller.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller's connection is to be cut.
    pub(crate) async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        flow: u64,
        deadline: Duration,
    ) -> io::Result<Response<AnswerBody>> {
        self.board().metrics.count(Count::RequestsIn);
        let (head, body) = request.into_parts();
        let deadline = deadline_of(&head.headers).unwrap_or(deadline);
        let arrival = Arrival {
            deadline: self.board().now() + deadline,
            repeatable: is_repeatable(&head),
            flow,
        };
        let body = match Limited::new(body, BODY_LIMIT).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) if error.is::<LengthLimitError>() => {
                return Ok(refusal_response(&Refusal::not_run(ProblemKind::TooLarge)));
            }
            Err(error) => return Err(io::Error::other(error)),
        };
        let request = ReadRequest {
            head,
            body,
            arrival,
        };
        let id = request.head.headers.get(REQUEST_ID_HEADER).cloned();
        match self.serve_once(request).await {
            Served::Answer(response) => Ok(response),
            Served::Refused(refusal) => {
                self.record_unknown(id.as_ref(), &refusal);
                Ok(refusal_response(&refusal))
            }
            Served::Cut => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    /// Records a request whose outcome is unknown under the id that its caller gave it.
    fn record_unknown(&self, id: Option<&HeaderValue>, refusal: &Refusal) {
        if refusal.not_run {
            return;
        }
        let request = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        self.board().record(EventKind::RequestEnded {
            request: request.into(),
            reason: refusal.problem.name().into(),
        });
    }

    /// Serves a request; one with an idempotency key runs only with leave of the key's holders.
    async fn serve_once(self: &Arc<Self>, request: ReadRequest) -> Served {
        let arrival = request.arrival;
        let Some(key) = request.head.headers.get(KEY_HEADER).cloned() else {
            return self.serve(request, self.arrive(arrival)).await;
        };
        let asked = self.keys().claim(
            key.as_bytes(),
            &request.head,
            &request.body,
            arrival.deadline,
        );
        let mut claim = match asked.await {
            Verdict::Run(claim) => claim,
            Verdict::Replay(response) => return Served::Answer(response),
            Verdict::Refuse(refusal) => {
                self.count_refusal(&refusal);
                return Served::Refused(refusal);
            }
        };
        claim.start();
        match self.serve(request, self.arrive(arrival)).await {
            Served::Answer(response) => Served::Answer(claim.answered(response)),
            Served::Refused(refusal) => {
                claim.refused(&refusal);
                Served::Refused(refusal)
            }
            Served::Cut => Served::Cut,
        }
    }

    /// Follows the directives for one request until it has ended.
    pub(crate) async fn serve(self: &Arc<Self>, request: ReadRequest, opened: Opened) -> Served {
        let mut directives = opened.directives;
        let guard = RequestGuard::new(self.clone(), opened.key);
        let mut held = None;
        let mut next = None;
        loop {
            let directive = match next.take() {
                Some(directive) => Some(directive),
                None => directives.recv().await,
            };
            match directive {
                Some(Directive::Run) => {
                    let work = exchange(&guard, &request);
                    match until_directive(&guard, work, &mut directives).await {
                        Tried::Answer(response) => return Served::Answer(response),
                        Tried::Ended(answer) => held = answer,
                        Tried::Directed(directive) => next = directive,
                    }
                }
                Some(Directive::HandOver {
                    sibling,
                    reservation,
                }) => {
                    let work = hand_over(&guard, &request, sibling, reservation);
                    match until_directive(&guard, work, &mut directives).await {
                        Tried::Answer(response) => return Served::Answer(response),
                        Tried::Ended(answer) => held = answer,
                        Tried::Directed(directive) => next = directive,
                    }
                }
                Some(Directive::Abort) => {}
                Some(Directive::Refuse(refusal)) => {
                    guard.disarm();
                    return Served::Refused(refusal);
                }
                Some(Directive::Deliver) => {
                    guard.disarm();
                    return held.map_or(Served::Cut, Served::Answer);
                }
                Some(Directive::Cut) | None => {
                    guard.disarm();
                    return Served::Cut;
                }
            }
        }
    }
}

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
    fn new(desk: Arc<Desk>, key: RequestKey) -> Self {
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

    fn disarm(&self) {
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
async fn until_directive(
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

async fn exchange(guard: &RequestGuard, request: &ReadRequest) -> Tried {
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

/// Returns what the head of an answer says about the request.
pub(crate) fn outcome_of(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let is_shed = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let not_run = headers.get(NOT_RUN_HEADER).is_some_and(|v| v == "yes");
    match (is_shed && not_run, status.is_server_error()) {
        (true, _) => Outcome::Refused,
        (false, true) => Outcome::Failed,
        (false, false) => Outcome::Done,
    }
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

pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}

/// Returns whether running a request twice does no harm. A request with an idempotency key runs at
/// most once, whatever its method.
fn is_repeatable(head: &request::Parts) -> bool {
    head.method.is_idempotent() && !head.headers.contains_key(KEY_HEADER)
}

fn deadline_of(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(DEADLINE_HEADER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

/// Returns the answer that tells a caller about a refusal.
pub(crate) fn refusal_response(refusal: &Refusal) -> Response<AnswerBody> {
    let mut response = Response::new(whole(problem_document(refusal)));
    *response.status_mut() =
        StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    let not_run = if refusal.not_run { "yes" } else { "unknown" };
    headers.insert(NOT_RUN_HEADER, HeaderValue::from_static(not_run));
    if let Some(seconds) = refusal.retry_after_seconds() {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
