//! Handing requests to siblings. Each handed request has a link of its own while it runs, so that
//! its answer cannot be crossed with another's and a slow caller holds up nobody else.

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

use super::body::{AnswerBody, BodyEnd, whole};
use super::desk::micros;
use super::headers::{outcome_of, strip_connection_headers};
use super::idle::IdlePool;
use super::request::ReadRequest;
use super::tries::{RequestGuard, Tried};
use crate::board::Blackboard;
use crate::links::{HandoffLink, IDLE_TIMEOUT, open_handoff_link};

/// The largest body in bytes of a request that is handed over.
const HANDED_BODY_LIMIT: usize = 192 << 10;

/// How many idle links to one sibling are kept.
const IDLE_LINKS: usize = 8;

/// Links over which requests are handed to siblings.
pub(crate) struct HandLinks {
    board: Arc<Blackboard>,
    runtime: Handle,
    idle: Mutex<HashMap<NodeId, IdlePool<HandoffLink>>>,
}

impl HandLinks {
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

    /// Closes links that have carried no request for long.
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
            .or_insert_with(|| IdlePool::new(IDLE_LINKS, IDLE_TIMEOUT));
        if link.is_open() {
            links.keep(link);
        }
    }
}

/// Hands a request to a sibling that holds a slot for it.
pub(crate) async fn hand_over(
    guard: &RequestGuard,
    request: &ReadRequest,
    sibling: NodeId,
    reservation: ReservationId,
) -> Tried {
    guard.begin();
    if request.body.len() > HANDED_BODY_LIMIT {
        return guard.end(Outcome::Refused);
    }
    let Some(mut link) = guard.desk().hands().take(sibling).await else {
        return guard.end(Outcome::Cut);
    };
    guard.note(Progress::Written);
    let message = handed_request(guard, request, reservation);
    let envelope = envelope(guard, RequestBody::HandedRequest(message));
    if !link.send(envelope).await {
        return guard.end(Outcome::Cut);
    }
    match link.receive().await {
        Some(RequestBody::HandedAnswer(answer)) if answer.reservation == reservation => {
            take_answer(guard, sibling, link, answer).await
        }
        _ => guard.end(Outcome::Cut),
    }
}

fn envelope(guard: &RequestGuard, body: RequestBody) -> buckthornweir_wire::Envelope {
    let message = RequestMessage::new(body);
    guard
        .desk()
        .board()
        .envelope(WireBody::Request(Box::new(message)))
}

async fn take_answer(
    guard: &RequestGuard,
    sibling: NodeId,
    link: HandoffLink,
    answer: HandedAnswer,
) -> Tried {
    if answer.refused {
        guard.desk().hands().give_back(sibling, link);
        return guard.end(refused_outcome(&answer));
    }
    guard.note(Progress::HeadersSeen);
    let Some((status, headers)) = read_head(&answer) else {
        return guard.end(Outcome::Cut);
    };
    let outcome = outcome_of(status, &headers);
    if outcome == Outcome::Done {
        let body = answer_body(guard, sibling, link, answer);
        return Tried::Answer(response(status, headers, body));
    }
    if answer.body_follows {
        return guard.end(Outcome::Cut);
    }
    guard.note(Progress::AnswerWhole);
    guard.desk().hands().give_back(sibling, link);
    guard.finish(outcome);
    Tried::Ended(Some(response(status, headers, whole(answer.body))))
}

fn refused_outcome(answer: &HandedAnswer) -> Outcome {
    match (answer.not_run, answer.status) {
        (true, _) => Outcome::Refused,
        (false, 504) => Outcome::Silent,
        (false, _) => Outcome::Cut,
    }
}

fn read_head(answer: &HandedAnswer) -> Option<(StatusCode, HeaderMap)> {
    let status = u16::try_from(answer.status).ok()?;
    let status = StatusCode::from_u16(status).ok()?;
    Some((status, read_headers(&answer.headers)?))
}

fn response(status: StatusCode, headers: HeaderMap, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Reads headers from a message, or returns `None` when one is malformed.
pub(crate) fn read_headers(headers: &[Header]) -> Option<HeaderMap> {
    let mut read = HeaderMap::new();
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(&header.value).ok()?;
        read.append(name, value);
    }
    Some(read)
}

/// Writes headers for a message, without those that concern one connection only.
pub(crate) fn write_headers(headers: &HeaderMap) -> Vec<Header> {
    let mut kept = headers.clone();
    strip_connection_headers(&mut kept);
    let header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    kept.iter().map(header).collect()
}

fn handed_request(
    guard: &RequestGuard,
    request: &ReadRequest,
    reservation: ReservationId,
) -> HandedRequest {
    let now = guard.desk().board().now();
    let left = request.arrival.deadline.saturating_sub(now);
    HandedRequest {
        reservation,
        remaining_us: micros(left),
        repeatable: request.arrival.repeatable,
        flow: request.arrival.flow,
        method: request.head.method.to_string(),
        uri: request.head.uri.to_string(),
        headers: write_headers(&request.head.headers),
        body: request.body.to_vec(),
        body_follows: false,
    }
}

fn answer_body(
    guard: &RequestGuard,
    sibling: NodeId,
    link: HandoffLink,
    answer: HandedAnswer,
) -> AnswerBody {
    let report = guard.report_body();
    let desk = guard.desk().clone();
    let done = move |end, link: Option<HandoffLink>| {
        report(end);
        if let Some(link) = link.filter(|_| end == BodyEnd::Whole) {
            desk.hands().give_back(sibling, link);
        }
    };
    HandedBody {
        reservation: answer.reservation,
        first: Some(Bytes::from(answer.body)),
        follows: answer.body_follows,
        link: Some(link),
        done: Some(done),
    }
    .boxed_unsync()
}

/// The body of an answer that comes from a sibling in parts.
struct HandedBody<F: FnOnce(BodyEnd, Option<HandoffLink>)> {
    reservation: ReservationId,
    first: Option<Bytes>,
    follows: bool,
    link: Option<HandoffLink>,
    done: Option<F>,
}

impl<F: FnOnce(BodyEnd, Option<HandoffLink>)> HandedBody<F> {
    fn end(&mut self, end: BodyEnd) {
        if let Some(done) = self.done.take() {
            done(end, self.link.take());
        }
    }

    /// Returns whether a message belongs to this answer.
    fn is_own(&self, part: &RequestBody) -> bool {
        matches!(part, RequestBody::BodyPart(part) if part.reservation == self.reservation)
    }

    fn take_part(&mut self, part: Option<RequestBody>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let Some(RequestBody::BodyPart(BodyPart {
            data,
            last,
            cut: false,
            ..
        })) = part.filter(|part| self.is_own(part))
        else {
            self.end(BodyEnd::Cut);
            return Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())));
        };
        if last {
            self.follows = false;
            self.end(BodyEnd::Whole);
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
            if !self.follows {
                self.end(BodyEnd::Whole);
            }
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if !self.follows {
            self.end(BodyEnd::Whole);
            return Poll::Ready(None);
        }
        let Some(link) = &mut self.link else {
            return Poll::Ready(None);
        };
        match link.poll_receive(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(part) => self.take_part(part),
        }
    }

    fn is_end_stream(&self) -> bool {
        !self.follows && self.first.is_none()
    }
}

impl<F: FnOnce(BodyEnd, Option<HandoffLink>)> Drop for HandedBody<F> {
    fn drop(&mut self) {
        self.end(BodyEnd::Dropped);
    }
}
