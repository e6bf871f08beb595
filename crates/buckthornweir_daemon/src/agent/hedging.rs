//! Serves requests that may be hedged: a request without a response after the hedging delay gets a
//! second copy at a sibling. The first complete response wins, and the other copy is cancelled.

use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;

use buckthornweir_events::Count;
use buckthornweir_requests::{HedgeDenial, MIN_HEDGING_DELAY, Refusal};
use buckthornweir_wire::NodeId;
use http::Response;
use tokio::time::sleep;

use super::attempts::RequestGuard;
use super::body::{ResponseBody, collect_up_to};
use super::coordinator::{Directive, OpenRequest, RequestCoordinator};
use super::headers::REQUEST_ID_HEADER;
use super::request::{BufferedRequest, Served};

/// The largest part of a response body that is buffered while both copies run. A response with a
/// larger body wins once this much of it has arrived.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// A second copy that was handed to a sibling.
struct SentCopy {
    open: OpenRequest,
    directive: Directive,
    sibling: NodeId,
}

/// What happens next with a request whose copy was asked for.
enum Asked {
    /// The first copy ended before the second one was sent.
    Served(Served),
    /// The second copy can be sent.
    Sent(SentCopy),
    /// No sibling granted a slot.
    NotSent,
}

impl RequestCoordinator {
    /// Serves a request of a caller, and hedges it if that is allowed.
    pub(super) async fn serve_hedged(
        self: &Arc<Self>,
        request: &BufferedRequest,
        open: OpenRequest,
    ) -> Served {
        if !request.arrival.repeatable || self.hedging_delay().is_none() {
            return self.serve(request, open).await;
        }
        let key = open.key;
        let guard = RequestGuard::new(self.clone(), key);
        let mut first = pin!(self.serve_attempts(&guard, request, open.directives, None));
        loop {
            let wait = self.hedging_wait(&guard);
            tokio::select! {
                biased;
                served = &mut first => return served,
                () = sleep(wait) => {}
            }
            if !self.hedging_wait(&guard).is_zero() {
                continue;
            }
            let asked = match self.hedge(key) {
                Ok(copy) => self.await_grant(first.as_mut(), copy).await,
                Err(HedgeDenial::NoSibling | HedgeDenial::NotRunning) => Asked::NotSent,
                Err(_) => return first.await,
            };
            match asked {
                Asked::Served(served) => return served,
                Asked::Sent(copy) => return self.race(&guard, request, first, copy).await,
                Asked::NotSent => {
                    tokio::select! {
                        biased;
                        served = &mut first => return served,
                        () = sleep(MIN_HEDGING_DELAY) => {}
                    }
                }
            }
        }
    }

    /// Returns how long to wait until the request is due to be hedged.
    fn hedging_wait(&self, guard: &RequestGuard) -> Duration {
        match (self.hedging_delay(), guard.running_since()) {
            (Some(delay), Some(since)) => (since + delay).saturating_sub(self.board().now()),
            _ => MIN_HEDGING_DELAY,
        }
    }

    /// Waits for the answer of the siblings, or for the end of the first copy.
    async fn await_grant(
        self: &Arc<Self>,
        first: Pin<&mut impl Future<Output = Served>>,
        mut copy: OpenRequest,
    ) -> Asked {
        // Cancels the copy if the first one ends before it is sent.
        let guard = RequestGuard::new(self.clone(), copy.key);
        let directive = tokio::select! {
            biased;
            served = first => return Asked::Served(served),
            directive = copy.directives.recv() => directive,
        };
        guard.disarm();
        match directive {
            Some(directive @ Directive::HandOver { sibling, .. }) => Asked::Sent(SentCopy {
                open: copy,
                directive,
                sibling,
            }),
            _ => Asked::NotSent,
        }
    }

    /// Runs both copies and returns the first complete response. The other copy is cancelled when
    /// its future and guard are dropped.
    async fn race(
        self: &Arc<Self>,
        first_guard: &RequestGuard,
        request: &BufferedRequest,
        first: Pin<&mut impl Future<Output = Served>>,
        copy: SentCopy,
    ) -> Served {
        self.board().metrics.count(Count::HedgesSent);
        let mut log = HedgeLog {
            coordinator: self,
            request,
            sibling: copy.sibling,
            waited: self.board().now() - first_guard.running_since().unwrap_or_default(),
            winner: "none",
        };
        let guard = RequestGuard::new(self.clone(), copy.open.key);
        let directives = copy.open.directives;
        let second = self.serve_attempts(&guard, request, directives, Some(copy.directive));
        let mut first = pin!(complete(first));
        let mut second = pin!(complete(second));
        let (first, second) = tokio::select! {
            biased;
            served = &mut first => match served.is_success() {
                true => (Some(served), None),
                false => (Some(served), Some(second.await)),
            },
            served = &mut second => match served.is_success() {
                true => (None, Some(served)),
                false => (Some(first.await), Some(served)),
            },
        };
        let (served, winner) = choose(first, second);
        if winner == "copy" {
            self.board().metrics.count(Count::HedgesWon);
        }
        log.winner = winner;
        served
    }
}

/// Returns the result for the caller and the copy that it came from. At most one is a success.
fn choose(first: Option<Served>, copy: Option<Served>) -> (Served, &'static str) {
    match (first, copy) {
        (None, Some(copy)) => (copy, "copy"),
        (_, Some(copy)) if copy.is_success() => (copy, "copy"),
        (Some(first), _) if first.is_success() => (first, "first"),
        // A refusal must not say "not run" if the other copy may have run.
        (Some(first), Some(copy)) if first.is_not_run() && !copy.is_not_run() => (copy, "none"),
        (Some(first), _) => (first, "none"),
        (None, None) => (Served::Cut, "none"),
    }
}

/// Buffers the body of the response, so that the other copy can still win if it is cut.
async fn complete(serving: impl Future<Output = Served>) -> Served {
    match serving.await {
        Served::Response(response) => {
            let (head, body) = response.into_parts();
            let body = collect_up_to(body, MAX_BUFFERED_BYTES).await;
            body.map_or(Served::Cut, |body| {
                Served::Response(Response::<ResponseBody>::from_parts(head, body))
            })
        }
        served => served,
    }
}

impl Served {
    /// Returns whether this is a response that is not a server error.
    fn is_success(&self) -> bool {
        matches!(self, Self::Response(response) if !response.status().is_server_error())
    }

    /// Returns whether the request certainly did not run.
    fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused(Refusal { not_run: true, .. }))
    }
}

/// Writes the log line of a hedged request when it is dropped, also if the caller disconnects.
struct HedgeLog<'a> {
    coordinator: &'a RequestCoordinator,
    request: &'a BufferedRequest,
    sibling: NodeId,
    /// How long the first attempt had run.
    waited: Duration,
    winner: &'static str,
}

impl Drop for HedgeLog<'_> {
    fn drop(&mut self) {
        if !self.coordinator.backend().may_log() {
            return;
        }
        tracing::info!(
            event = "hedged_request",
            request = ?self.request.head.headers.get(REQUEST_ID_HEADER),
            sibling = self.sibling,
            waited_ms = self.waited.as_millis(),
            winner = self.winner,
        );
    }
}
