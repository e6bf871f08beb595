//! The task of one request: follows the desk's directives until it has an answer for its caller.

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

use super::body::AnswerBody;
use super::desk::{Desk, Directive, Opened};
use super::hand_links::hand_over;
use super::headers::{KEY_HEADER, REQUEST_ID_HEADER, deadline_of, is_repeatable, refusal_response};
use super::keyed::Verdict;
use super::tries::{RequestGuard, Tried, exchange, until_directive};

/// The largest body of a request in bytes.
const BODY_LIMIT: usize = 8 << 20;

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
