//! Serves requests that siblings hand to this agent.

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

use super::body::ResponseBody;
use super::coordinator::RequestCoordinator;
use super::handoff_client::{decode_headers, encode_headers};
use super::request::{BufferedRequest, Served};
use crate::links::LinkSender;

/// The largest part of a body that is sent in one message.
const MAX_PART_BYTES: usize = 64 << 10;

/// Spawns the task that serves a handed request and sends the response over `reply_to`.
pub(crate) fn accept(
    coordinator: Arc<RequestCoordinator>,
    from: NodeId,
    request: HandedRequest,
    reply_to: LinkSender,
) {
    let runtime = coordinator.runtime().clone();
    runtime.spawn(async move {
        coordinator.board().metrics.count(Count::RequestsTakenOver);
        let responder = Responder {
            coordinator: coordinator.clone(),
            reservation: request.reservation,
            reply_to,
        };
        let work = serve(&coordinator, from, request, &responder);
        tokio::select! {
            () = work => {}
            () = responder.reply_to.closed() => {}
        }
    });
}

async fn serve(
    coordinator: &Arc<RequestCoordinator>,
    from: NodeId,
    request: HandedRequest,
    responder: &Responder,
) {
    let reservation = request.reservation;
    let Some(request) = decode(coordinator, request) else {
        return responder
            .refuse(&Refusal::not_run(ProblemKind::BadRequest))
            .await;
    };
    let Some(open) = coordinator.submit_handed(from, reservation, request.arrival) else {
        // A duplicate: the task of the first copy sends the response.
        return;
    };
    match coordinator.serve(&request, open).await {
        Served::Response(response) => responder.respond(response).await,
        Served::Refused(refusal) => responder.refuse(&refusal).await,
        Served::Cut => responder.cut().await,
    }
}

fn decode(coordinator: &RequestCoordinator, handed: HandedRequest) -> Option<BufferedRequest> {
    let mut request = Request::new(());
    *request.method_mut() = handed.method.parse().ok()?;
    *request.uri_mut() = handed.uri.parse().ok()?;
    *request.headers_mut() = decode_headers(&handed.headers)?;
    let (head, ()) = request.into_parts();
    Some(BufferedRequest {
        head,
        body: Bytes::from(handed.body),
        arrival: Arrival {
            deadline: coordinator.board().now() + Duration::from_micros(handed.remaining_us),
            repeatable: handed.repeatable,
            flow: handed.flow,
        },
    })
}

/// Sends the response to a handed request.
struct Responder {
    coordinator: Arc<RequestCoordinator>,
    reservation: ReservationId,
    reply_to: LinkSender,
}

impl Responder {
    async fn respond(&self, response: Response<ResponseBody>) {
        let (head, mut body) = response.into_parts();
        let is_error = head.status.is_server_error();
        let mut answer = HandedAnswer {
            reservation: self.reservation,
            status: u32::from(head.status.as_u16()),
            headers: encode_headers(&head.headers),
            body_follows: !is_error,
            ..HandedAnswer::default()
        };
        if is_error {
            // Error responses are already buffered.
            let Ok(collected) = body.collect().await else {
                return self.cut().await;
            };
            answer.body = collected.to_bytes().to_vec();
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
        self.send_part(Vec::new(), true, false).await;
    }

    /// Sends data in parts. The last part is marked, since the receiver may stop reading once it
    /// has the known length.
    async fn send_data(&self, data: &[u8], is_last: bool) {
        let count = data.len().div_ceil(MAX_PART_BYTES).max(1);
        for index in 0..count {
            let end = data.len().min((index + 1) * MAX_PART_BYTES);
            let is_last = is_last && index + 1 == count;
            self.send_part(data[index * MAX_PART_BYTES..end].to_vec(), is_last, false)
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
        self.send_part(Vec::new(), true, true).await;
    }

    async fn send_part(&self, data: Vec<u8>, last: bool, cut: bool) {
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
        self.reply_to
            .send_wait(self.coordinator.board().envelope(message))
            .await;
    }
}
