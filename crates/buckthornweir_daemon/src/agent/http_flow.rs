//! Serving a flow of an `http` service, and letting go of it between two requests when the agent
//! drains.

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

use super::desk::Desk;
use super::mover::Mover;
use super::stream::FlowStream;

/// How often a draining flow is looked at, whether it is quiet.
const LOOK: Duration = Duration::from_millis(10);

/// The task of one flow.
pub(crate) struct HttpFlow {
    desk: Arc<Desk>,
    mover: Arc<Mover>,
    deadline: Duration,
    draining: watch::Receiver<bool>,
    busy: Arc<AtomicUsize>,
}

/// How one run of a connection ended.
enum Run {
    Over,
    /// It has no request now and the agent drains.
    Idle,
}

impl HttpFlow {
    pub(crate) fn new(
        desk: Arc<Desk>,
        mover: Arc<Mover>,
        deadline: Duration,
        draining: watch::Receiver<bool>,
    ) -> Self {
        Self {
            desk,
            mover,
            deadline,
            draining,
            busy: Arc::default(),
        }
    }

    /// Serves the flow until it ends or is handed over.
    pub(crate) async fn run(self, mut stream: FlowStream) {
        loop {
            let watch = stream.watch();
            let id = self.desk.flow_id(&stream.tuple());
            let service = service_fn(|request| self.answer(request, id));
            // A flow may be silent between requests for as long as the stack's idle limit.
            let mut connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(None)
                .serve_connection(TokioIo::new(stream), service);
            let run = {
                let mut looks = interval(LOOK);
                let mut changes = self.draining.clone();
                let mut draining = std::pin::pin!(changes.wait_for(|draining| *draining));
                let mut is_draining = false;
                poll_fn(|cx| {
                    if Pin::new(&mut connection).poll(cx).is_ready() {
                        return Poll::Ready(Run::Over);
                    }
                    is_draining = is_draining || draining.as_mut().poll(cx).is_ready();
                    if !is_draining {
                        return Poll::Pending;
                    }
                    self.look(cx, &mut looks, || watch.is_quiet())
                })
                .await
            };
            if matches!(run, Run::Over) {
                return;
            }
            let parts = connection.into_parts();
            stream = parts.io.into_inner();
            if !parts.read_buf.is_empty() {
                // The start of the next request has come; it is answered here first.
                stream.put_back(parts.read_buf);
                continue;
            }
            if let Some(flow) = stream.hand_over() {
                return self.mover.give(flow);
            }
        }
    }

    fn look(
        &self,
        cx: &mut Context<'_>,
        looks: &mut Interval,
        is_quiet: impl Fn() -> bool,
    ) -> Poll<Run> {
        if self.busy.load(Ordering::Relaxed) == 0 && is_quiet() {
            return Poll::Ready(Run::Idle);
        }
        // The next look is asked for until the interval says to wait.
        while looks.poll_tick(cx).is_ready() {}
        Poll::Pending
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        id: u64,
    ) -> std::io::Result<http::Response<super::body::AnswerBody>> {
        let busy = Busy::new(self.busy.clone());
        let answer = self.desk.clone().handle(request, id, self.deadline).await?;
        Ok(answer.map(|body| busy.during(body)))
    }
}

/// Marks a flow as busy from the head of a request to the end of its answer.
struct Busy {
    count: Arc<AtomicUsize>,
}

impl Busy {
    fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self { count }
    }

    fn during(self, body: super::body::AnswerBody) -> super::body::AnswerBody {
        super::body::holding(body, self)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
