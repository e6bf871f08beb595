//! Serves a flow of an `http` service. While the agent drains, the flow is handed to another agent
//! between two requests.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::watch;
use tokio::time::{Interval, interval};

use super::coordinator::RequestCoordinator;
use super::mover::Mover;
use super::stream::FlowStream;

/// How often a draining flow is checked for being quiet.
const QUIET_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The task that serves one flow.
pub(crate) struct HttpFlow {
    coordinator: Arc<RequestCoordinator>,
    mover: Arc<Mover>,
    deadline: Duration,
    draining: watch::Receiver<bool>,
    busy: Arc<AtomicUsize>,
}

/// Why polling an HTTP connection stopped.
enum Run {
    /// The connection has ended.
    Finished,
    /// The agent is draining and the connection has no request in flight.
    Idle,
}

impl HttpFlow {
    pub(crate) fn new(
        coordinator: Arc<RequestCoordinator>,
        mover: Arc<Mover>,
        deadline: Duration,
        draining: watch::Receiver<bool>,
    ) -> Self {
        Self {
            coordinator,
            mover,
            deadline,
            draining,
            busy: Arc::default(),
        }
    }

    /// Serves the flow until it ends or is handed to another agent.
    pub(crate) async fn run(self, mut stream: FlowStream) {
        loop {
            let probe = stream.quiet_probe();
            let id = self.coordinator.flow_id(&stream.tuple());
            let service = service_fn(|request| self.respond(request, id));
            // The stack's idle timeout bounds the silence between two requests.
            let mut connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(None)
                .serve_connection(TokioIo::new(stream), service);
            let run = {
                let mut polls = interval(QUIET_POLL_INTERVAL);
                let mut changes = self.draining.clone();
                let mut draining = std::pin::pin!(changes.wait_for(|draining| *draining));
                let mut is_draining = false;
                poll_fn(|cx| {
                    if Pin::new(&mut connection).poll(cx).is_ready() {
                        return Poll::Ready(Run::Finished);
                    }
                    is_draining = is_draining || draining.as_mut().poll(cx).is_ready();
                    if !is_draining {
                        return Poll::Pending;
                    }
                    self.poll_idle(cx, &mut polls, || probe.is_quiet())
                })
                .await
            };
            if matches!(run, Run::Finished) {
                return;
            }
            let parts = connection.into_parts();
            stream = parts.io.into_inner();
            if !parts.read_buf.is_empty() {
                // The start of the next request has been read, so this agent answers that request
                // first.
                stream.put_back(parts.read_buf);
                continue;
            }
            if let Some(flow) = stream.hand_over() {
                return self.mover.enqueue(flow);
            }
        }
    }

    fn poll_idle(
        &self,
        cx: &mut Context<'_>,
        polls: &mut Interval,
        is_quiet: impl Fn() -> bool,
    ) -> Poll<Run> {
        if self.busy.load(Ordering::Relaxed) == 0 && is_quiet() {
            return Poll::Ready(Run::Idle);
        }
        // Polls the interval until it is pending, which registers the waker for the next tick.
        while polls.poll_tick(cx).is_ready() {}
        Poll::Pending
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        id: u64,
    ) -> std::io::Result<http::Response<super::body::ResponseBody>> {
        let guard = BusyGuard::new(self.busy.clone());
        let response = self
            .coordinator
            .clone()
            .handle(request, id, self.deadline)
            .await?;
        Ok(response.map(|body| guard.attach(body)))
    }
}

/// Marks a flow as busy from the head of a request to the end of its response.
struct BusyGuard {
    count: Arc<AtomicUsize>,
}

impl BusyGuard {
    fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self { count }
    }

    fn attach(self, body: super::body::ResponseBody) -> super::body::ResponseBody {
        super::body::with_guard(body, self)
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
