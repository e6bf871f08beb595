//! What the headers of requests and answers say, and the answers that tell of refusals.

use std::time::Duration;

use buckthornweir_requests::{Outcome, Refusal, problem_document};
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode, request};

use super::body::{AnswerBody, whole};

/// The time that is left for a request, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Says `yes` on a refusal of a request that was not run.
pub(crate) const NOT_RUN_HEADER: &str = "x-not-run";

/// The key of a request that may be sent again.
pub(crate) const KEY_HEADER: &str = "idempotency-key";

/// The id that a caller gives a request.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

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

/// Removes headers that concern one connection only.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}

/// Returns whether running a request twice does no harm. A request with an idempotency key runs at
/// most once, whatever its method.
pub(crate) fn is_repeatable(head: &request::Parts) -> bool {
    head.method.is_idempotent() && !head.headers.contains_key(KEY_HEADER)
}

/// Returns the time that a caller gives a request.
pub(crate) fn deadline_of(headers: &HeaderMap) -> Option<Duration> {
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
