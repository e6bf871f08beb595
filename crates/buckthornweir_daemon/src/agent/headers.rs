//! Request and response headers, and the responses that report refusals.

use std::time::Duration;

use buckthornweir_requests::{Outcome, Refusal, problem_document};
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode, request};

use super::body::{ResponseBody, full_body};

/// The time until the request's deadline, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Whether a refused request was certainly not run: `yes`, else `unknown`.
pub(crate) const NOT_RUN_HEADER: &str = "x-not-run";

/// The idempotency key of a request.
pub(crate) const KEY_HEADER: &str = "idempotency-key";

/// The request id set by the caller.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// The id of a request on a connection to the backend server, which may return it with its response.
pub(crate) const EXCHANGE_HEADER: &str = "x-exchange-id";

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Returns the outcome of a request from the head of its response.
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

/// Removes headers that apply to a single connection.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Returns whether a request may be run more than once. A request with an idempotency key runs at
/// most once, whatever its method.
pub(crate) fn is_repeatable(head: &request::Parts) -> bool {
    head.method.is_idempotent() && !head.headers.contains_key(KEY_HEADER)
}

/// Returns the timeout set by the caller.
pub(crate) fn deadline_of(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(DEADLINE_HEADER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

/// Returns the response that reports a refusal to the caller.
pub(crate) fn refusal_response(refusal: &Refusal) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(problem_document(refusal)));
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
