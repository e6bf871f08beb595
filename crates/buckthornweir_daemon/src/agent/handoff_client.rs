//! Hands requests to siblings. Each handed request has its own link while it runs, so that
//! responses can't be mixed up and a slow caller doesn't block other requests.

use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use buckthornweir_requests::messages::{
    BodyPart, HandedAnswer, HandedRequest, Header, RequestBody, RequestMessage,
};
use buckthornweir_requests::{Outcome, Progress, ReservationId};
use buckthornweir_wire::{Body as WireBody, NodeId};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use parking_lot::Mutex;
use tokio::runtime::Handle;

use super::attempts::{AttemptResult, RequestGuard};
use super::body::{BodyEnd, ResponseBody, full_body};
use super::coordinator::micros;
use super::headers::{outcome_of, strip_hop_by_hop_headers};
use super::idle::IdlePool;
use super::request::BufferedRequest;
use crate::board::Blackboard;
use crate::links::{HandoffLink, IDLE_TIMEOUT, open_handoff_link};

/// The largest request body that is handed over.
const MAX_HANDED_BODY_BYTES: usize = 192 << 10;

/// The maximum number of idle links to one sibling.
const MAX_IDLE_LINKS: usize = 8;

/// A pool of links over which requests are handed to siblings.
pub(crate) struct HandoffPool {
    board: Arc<Blackboard>,
    runtime: Handle,
    idle: Mutex<HashMap<NodeId, IdlePool<HandoffLink>>>,
}

impl HandoffPool {
    pub(crate) fn new(board: Arc<Blackboard>, runtime: Handle) -> Self {
        Self {
            board,
            runtime,
            idle: Mutex::default(),
        }
    }

    async fn take(&self, sibling: NodeId) -> Option<HandoffLink> {
        if let Some(link) = self.take_idle(sibling) {
            return Some(link);
        }
        let member = self.board.member(sibling)?;
        open_handoff_link(&self.board, &self.runtime, member.record.control).await
    }

    /// Closes idle links that have expired or are no longer open.
    pub(crate) fn close_idle(&self) {
        let mut idle = self.idle.lock();
        idle.retain(|_, links| {
            links.close_stale(HandoffLink::is_open);
            !links.is_empty()
        });
    }

    fn take_idle(&self, sibling: NodeId) -> Option<HandoffLink> {
        let mut idle = self.idle.lock();
        idle.get_mut(&sibling)?.take(HandoffLink::is_open)
    }

    fn give_back(&self, sibling: NodeId, link: HandoffLink) {
        let mut idle = self.idle.lock();
        let links = idle
            .entry(sibling)
            .or_insert_with(|| IdlePool::new(MAX_IDLE_LINKS, IDLE_TIMEOUT));
        if link.is_open() {
            links.put(link);
        }
    }
}

/// Runs one attempt at a sibling that has reserved a slot for the request.
pub(crate) async fn hand_over(
    guard: &RequestGuard,
    request: &BufferedRequest,
    sibling: NodeId,
    reservation: ReservationId,
) -> AttemptResult {
    guard.start();
    if request.body.len() > MAX_HANDED_BODY_BYTES {
        return guard.end(Outcome::Refused);
    }
    let Some(mut link) = guard.coordinator().handoffs().take(sibling).await else {
        return guard.end(Outcome::Cut);
    };
    guard.set_progress(Progress::Written);
    let message = request_message(guard, request, reservation);
    let envelope = envelope(guard, RequestBody::HandedRequest(message));
    if !link.send(envelope).await {
        return guard.end(Outcome::Cut);
    }
    match link.receive().await {
        Some(RequestBody::HandedAnswer(answer)) if answer.reservation == reservation => {
            handle_response(guard, sibling, link, answer).await
        }
        _ => guard.end(Outcome::Cut),
    }
}

fn envelope(guard: &RequestGuard, body: RequestBody) -> buckthornweir_wire::Envelope {
    let message = RequestMessage::new(body);
    guard
        .coordinator()
        .board()
        .envelope(WireBody::Request(Box::new(message)))
}

async fn handle_response(
    guard: &RequestGuard,
    sibling: NodeId,
    link: HandoffLink,
    answer: HandedAnswer,
) -> AttemptResult {
    if answer.refused {
        guard.coordinator().handoffs().give_back(sibling, link);
        return guard.end(refusal_outcome(&answer));
    }
    guard.set_progress(Progress::HeadersSeen);
    let Some((status, headers)) = decode_head(&answer) else {
        return guard.end(Outcome::Cut);
    };
    let outcome = outcome_of(status, &headers);
    if outcome == Outcome::Done {
        let body = response_body(guard, sibling, link, answer);
        return AttemptResult::Response(response(status, headers, body));
    }
    if answer.body_follows {
        return guard.end(Outcome::Cut);
    }
    guard.set_progress(Progress::AnswerWhole);
    guard.coordinator().handoffs().give_back(sibling, link);
    guard.finish(outcome);
    AttemptResult::Ended(Some(response(status, headers, full_body(answer.body))))
}

fn refusal_outcome(answer: &HandedAnswer) -> Outcome {
    match (answer.not_run, answer.status) {
        (true, _) => Outcome::Refused,
        (false, 504) => Outcome::Silent,
        (false, _) => Outcome::Cut,
    }
}

fn decode_head(answer: &HandedAnswer) -> Option<(StatusCode, HeaderMap)> {
    let status = u16::try_from(answer.status).ok()?;
    let status = StatusCode::from_u16(status).ok()?;
    Some((status, decode_headers(&answer.headers)?))
}

fn response(status: StatusCode, headers: HeaderMap, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Decodes headers from a message. Returns `None` when one is malformed.
pub(crate) fn decode_headers(headers: &[Header]) -> Option<HeaderMap> {
    let mut decoded = HeaderMap::new();
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(&header.value).ok()?;
        decoded.append(name, value);
    }
    Some(decoded)
}

/// Encodes headers for a message, without those that apply to a single connection.
pub(crate) fn encode_headers(headers: &HeaderMap) -> Vec<Header> {
    let mut forwarded = headers.clone();
    strip_hop_by_hop_headers(&mut forwarded);
    let header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    forwarded.iter().map(header).collect()
}

fn request_message(
    guard: &RequestGuard,
    request: &BufferedRequest,
    reservation: ReservationId,
) -> HandedRequest {
    let now = guard.coordinator().board().now();
    let remaining = request.arrival.deadline.saturating_sub(now);
    HandedRequest {
        reservation,
        remaining_us: micros(remaining),
        repeatable: request.arrival.repeatable,
        flow: request.arrival.flow,
        method: request.head.method.to_string(),
        uri: request.head.uri.to_string(),
        headers: encode_headers(&request.head.headers),
        body: request.body.to_vec(),
        body_follows: false,
    }
}

fn response_body(
    guard: &RequestGuard,
    sibling: NodeId,
    link: HandoffLink,
    answer: HandedAnswer,
) -> ResponseBody {
    let report = guard.body_reporter();
    let coordinator = guard.coordinator().clone();
    let on_end = move |end, link: Option<HandoffLink>| {
        report(end);
        if let Some(link) = link.filter(|_| end == BodyEnd::Complete) {
            coordinator.handoffs().give_back(sibling, link);
        }
    };
    HandedBody {
        reservation: answer.reservation,
        first: Some(Bytes::from(answer.body)),
        has_more: answer.body_follows,
        link: Some(link),
        on_end: Some(on_end),
    }
    .boxed_unsync()
}

/// The body of a response that a sibling sends in parts.
struct HandedBody<F: FnOnce(BodyEnd, Option<HandoffLink>)> {
    reservation: ReservationId,
    first: Option<Bytes>,
    has_more: bool,
    link: Option<HandoffLink>,
    on_end: Option<F>,
}

impl<F: FnOnce(BodyEnd, Option<HandoffLink>)> HandedBody<F> {
    fn end(&mut self, end: BodyEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end, self.link.take());
        }
    }

    /// Returns whether a message is a part of this body.
    fn belongs(&self, part: &RequestBody) -> bool {
        matches!(part, RequestBody::BodyPart(part) if part.reservation == self.reservation)
    }

    fn next_frame(&mut self, part: Option<RequestBody>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let Some(RequestBody::BodyPart(BodyPart {
            data,
            last,
            cut: false,
            ..
        })) = part.filter(|part| self.belongs(part))
        else {
            self.end(BodyEnd::Cut);
            return Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())));
        };
        if last {
            self.has_more = false;
            self.end(BodyEnd::Complete);
        }
        Poll::Ready(Some(Ok(Frame::data(data.into()))))
    }
}

impl<F> Body for HandedBody<F>
where
    F: FnOnce(BodyEnd, Option<HandoffLink>) + Unpin,
{
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(first) = self.first.take()
            && !first.is_empty()
        {
            if !self.has_more {
                self.end(BodyEnd::Complete);
            }
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if !self.has_more {
            self.end(BodyEnd::Complete);
            return Poll::Ready(None);
        }
        let Some(link) = &mut self.link else {
            return Poll::Ready(None);
        };
        match link.poll_receive(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(part) => self.next_frame(part),
        }
    }

    fn is_end_stream(&self) -> bool {
        !self.has_more && self.first.is_none()
    }
}

impl<F: FnOnce(BodyEnd, Option<HandoffLink>)> Drop for HandedBody<F> {
    fn drop(&mut self) {
        self.end(BodyEnd::Dropped);
    }
}
