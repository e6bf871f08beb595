//! Serves one request: follows the coordinator's directives until there is a response for the
//! caller.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use buckthornweir_events::{Count, EventKind};
use buckthornweir_requests::{Arrival, ProblemKind, Refusal};
use bytes::Bytes;
use http::header::HeaderValue;
use http::{Request, Response, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::sync::mpsc;

use super::attempts::{AttemptResult, RequestGuard, exchange, until_directive};
use super::body::ResponseBody;
use super::coordinator::{Directive, OpenRequest, RequestCoordinator};
use super::handoff_client::hand_over;
use super::headers::{KEY_HEADER, REQUEST_ID_HEADER, deadline_of, is_repeatable, refusal_response};
use super::idempotency::Verdict;

/// The largest request body that is accepted.
const MAX_BODY_BYTES: usize = 8 << 20;

/// A request whose body has been read.
pub(crate) struct BufferedRequest {
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) arrival: Arrival,
}

/// How serving a request ended.
pub(crate) enum Served {
    /// With a response of a backend server.
    Response(Response<ResponseBody>),
    /// With a refusal.
    Refused(Refusal),
    /// Without a response.
    Cut,
}

impl RequestCoordinator {
    /// Handles one request of a caller.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller's connection has to be reset.
    pub(crate) async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        flow: u64,
        deadline: Duration,
    ) -> io::Result<Response<ResponseBody>> {
        self.board().metrics.count(Count::RequestsIn);
        let (head, body) = request.into_parts();
        let deadline = deadline_of(&head.headers).unwrap_or(deadline);
        let arrival = Arrival {
            deadline: self.board().now() + deadline,
            repeatable: is_repeatable(&head),
            flow,
        };
        let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) if error.is::<LengthLimitError>() => {
                return Ok(refusal_response(&Refusal::not_run(ProblemKind::TooLarge)));
            }
            Err(error) => return Err(io::Error::other(error)),
        };
        let request = BufferedRequest {
            head,
            body,
            arrival,
        };
        let id = request.head.headers.get(REQUEST_ID_HEADER).cloned();
        match self.serve_idempotent(request).await {
            Served::Response(response) => Ok(response),
            Served::Refused(refusal) => {
                self.record_unknown(id.as_ref(), &refusal);
                Ok(refusal_response(&refusal))
            }
            Served::Cut => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    /// Records an event for a request whose outcome is unknown, with the id set by the caller.
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

    /// Serves a request. One with an idempotency key runs only if the key's holders grant the
    /// claim.
    async fn serve_idempotent(self: &Arc<Self>, request: BufferedRequest) -> Served {
        let arrival = request.arrival;
        let Some(key) = request.head.headers.get(KEY_HEADER).cloned() else {
            return self.serve_hedged(&request, self.submit(arrival)).await;
        };
        let verdict = self.keys().claim(
            key.as_bytes(),
            &request.head,
            &request.body,
            arrival.deadline,
        );
        let mut claim = match verdict.await {
            Verdict::Run(claim) => claim,
            Verdict::Replay(response) => return Served::Response(response),
            Verdict::Refuse(refusal) => {
                self.count_refusal(&refusal);
                return Served::Refused(refusal);
            }
        };
        claim.start();
        match self.serve(&request, self.submit(arrival)).await {
            Served::Response(response) => Served::Response(claim.responded(response)),
            Served::Refused(refusal) => {
                claim.refused(&refusal);
                Served::Refused(refusal)
            }
            Served::Cut => Served::Cut,
        }
    }

    /// Follows the directives for one request until it ends.
    pub(crate) async fn serve(
        self: &Arc<Self>,
        request: &BufferedRequest,
        open: OpenRequest,
    ) -> Served {
        let guard = RequestGuard::new(self.clone(), open.key);
        self.serve_attempts(&guard, request, open.directives, None)
            .await
    }

    /// Follows the directives for the request of `guard`, starting with `next` if there is one.
    pub(super) async fn serve_attempts(
        &self,
        guard: &RequestGuard,
        request: &BufferedRequest,
        mut directives: mpsc::UnboundedReceiver<Directive>,
        mut next: Option<Directive>,
    ) -> Served {
        let mut last_response = None;
        loop {
            let directive = match next.take() {
                Some(directive) => Some(directive),
                None => directives.recv().await,
            };
            match directive {
                Some(Directive::Run) => {
                    let work = exchange(guard, request);
                    match until_directive(guard, work, &mut directives).await {
                        AttemptResult::Response(response) => return Served::Response(response),
                        AttemptResult::Ended(response) => last_response = response,
                        AttemptResult::Interrupted(directive) => next = directive,
                    }
                }
                Some(Directive::HandOver {
                    sibling,
                    reservation,
                }) => {
                    let work = hand_over(guard, request, sibling, reservation);
                    match until_directive(guard, work, &mut directives).await {
                        AttemptResult::Response(response) => return Served::Response(response),
                        AttemptResult::Ended(response) => last_response = response,
                        AttemptResult::Interrupted(directive) => next = directive,
                    }
                }
                Some(Directive::Abort) => {}
                Some(Directive::Refuse(refusal)) => {
                    guard.disarm();
                    return Served::Refused(refusal);
                }
                Some(Directive::Deliver) => {
                    guard.disarm();
                    return last_response.map_or(Served::Cut, Served::Response);
                }
                Some(Directive::Cut) | None => {
                    guard.disarm();
                    return Served::Cut;
                }
            }
        }
    }
}
