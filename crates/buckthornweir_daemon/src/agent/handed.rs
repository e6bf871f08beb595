//! Requests that siblings hand to this agent.

use std::sync::Arc;
use std::time::Duration;

use buckthornweir_events::Count;
use buckthornweir_requests::messages::{
    BodyPart, HandedAnswer, HandedRequest, RequestBody, RequestMessage,
};
use buckthornweir_requests::{Arrival, ProblemKind, Refusal, ReservationId};
use buckthornweir_wire::{Body, NodeId};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Body as _;

use super::body::AnswerBody;
use super::desk::Desk;
use super::hand_links::{read_headers, write_headers};
use super::request::{ReadRequest, Served};
use crate::links::LinkSender;

/// The largest part of a body in bytes in one message.
const PART: usize = 64 << 10;

/// Starts the task of a handed request; its answer goes back over `back`.
pub(crate) fn take(desk: Arc<Desk>, from: NodeId, request: HandedRequest, back: LinkSender) {
    let runtime = desk.runtime().clone();
    runtime.spawn(async move {
        desk.board().metrics.count(Count::RequestsTakenOver);
        let answerer = Answerer {
            desk: desk.clone(),
            reservation: request.reservation,
            back,
        };
        let work = serve(&desk, from, request, &answerer);
        tokio::select! {
            () = work => {}
            () = answerer.back.closed() => {}
        }
    });
}

async fn serve(desk: &Arc<Desk>, from: NodeId, request: HandedRequest, answerer: &Answerer) {
    let reservation = request.reservation;
    let Some(request) = read(desk, request) else {
        return answerer
            .refuse(&Refusal::not_run(ProblemKind::BadRequest))
            .await;
    };
    let Some(opened) = desk.arrive_handed(from, reservation, request.arrival) else {
        // The same request came before; its own task answers.
        return;
    };
    match desk.serve(request, opened).await {
        Served::Answer(response) => answerer.answer(response).await,
        Served::Refused(refusal) => answerer.refuse(&refusal).await,
        Served::Cut => answerer.cut().await,
    }
}

fn read(desk: &Desk, handed: HandedRequest) -> Option<ReadRequest> {
    let mut request = Request::new(());
    *request.method_mut() = handed.method.parse().ok()?;
    *request.uri_mut() = handed.uri.parse().ok()?;
    *request.headers_mut() = read_headers(&handed.headers)?;
    let (head, ()) = request.into_parts();
    Some(ReadRequest {
        head,
        body: Bytes::from(handed.body),
        arrival: Arrival {
            deadline: desk.board().now() + Duration::from_micros(handed.remaining_us),
            repeatable: handed.repeatable,
            flow: handed.flow,
        },
    })
}

/// Sends the answer to a handed request.
struct Answerer {
    desk: Arc<Desk>,
    reservation: ReservationId,
    back: LinkSender,
}

impl Answerer {
    async fn answer(&self, response: Response<AnswerBody>) {
        let (head, mut body) = response.into_parts();
        let is_error = head.status.is_server_error();
        let mut answer = HandedAnswer {
            reservation: self.reservation,
            status: u32::from(head.status.as_u16()),
            headers: write_headers(&head.headers),
            body_follows: !is_error,
            ..HandedAnswer::default()
        };
        if is_error {
            // Error answers are at hand whole.
            let Ok(whole) = body.collect().await else {
                return self.cut().await;
            };
            answer.body = whole.to_bytes().to_vec();
            self.send(RequestBody::HandedAnswer(answer)).await;
            return;
        }
        self.send(RequestBody::HandedAnswer(answer)).await;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return self.cut().await;
            };
            let is_last = body.is_end_stream();
            if let Ok(data) = frame.into_data() {
                self.send_data(&data, is_last).await;
            }
            if is_last {
                return;
            }
        }
        self.part(Vec::new(), true, false).await;
    }

    /// Sends data in parts. The last part says so, since whoever takes the answer may stop reading
    /// at its known length.
    async fn send_data(&self, data: &[u8], is_last: bool) {
        let count = data.len().div_ceil(PART).max(1);
        for at in 0..count {
            let end = data.len().min((at + 1) * PART);
            let is_last = is_last && at + 1 == count;
            self.part(data[at * PART..end].to_vec(), is_last, false)
                .await;
        }
    }

    async fn refuse(&self, refusal: &Refusal) {
        let answer = HandedAnswer {
            reservation: self.reservation,
            status: u32::from(refusal.status),
            not_run: refusal.not_run,
            refused: true,
            ..HandedAnswer::default()
        };
        self.send(RequestBody::HandedAnswer(answer)).await;
    }

    async fn cut(&self) {
        self.part(Vec::new(), true, true).await;
    }

    async fn part(&self, data: Vec<u8>, last: bool, cut: bool) {
        let part = BodyPart {
            reservation: self.reservation,
            part: 0,
            data,
            last,
            cut,
        };
        self.send(RequestBody::BodyPart(part)).await;
    }

    async fn send(&self, body: RequestBody) {
        let message = Body::Request(Box::new(RequestMessage::new(body)));
        self.back
            .send_wait(self.desk.board().envelope(message))
            .await;
    }
}
