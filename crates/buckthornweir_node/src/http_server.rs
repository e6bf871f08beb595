//! A small HTTP server: each request is answered by one function.

use std::convert::Infallible;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// How long a client may take for the head of a request, idle time between requests included.
const HEAD_LIMIT: Duration = Duration::from_secs(20);

/// How long a client may take for the body of a request.
const BODY_LIMIT: Duration = Duration::from_secs(5);

/// How long the server pauses after it could not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// How long requests that were accepted before a stop may take to be answered.
const END_LIMIT: Duration = Duration::from_millis(300);

/// An answer.
pub type HttpResponse = Response<Full<Bytes>>;

/// A request with its whole body.
pub type HttpRequest = Request<Bytes>;

/// Serves connections until `stop` is cancelled, and then answers the requests that were accepted before.
/// Bodies over `limit` bytes are answered with 413.
pub async fn serve_http<F, A>(
    listener: TcpListener,
    limit: usize,
    stop: CancellationToken,
    answer: F,
) where
    F: Fn(HttpRequest) -> A + Clone + Send + 'static,
    A: Future<Output = HttpResponse> + Send,
{
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let answer = answer.clone();
        let stop = stop.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| {
                let answer = answer.clone();
                async move { Ok::<_, Infallible>(handle(request, limit, answer).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_LIMIT)
                .serve_connection(TokioIo::new(stream), service);
            let mut connection = pin!(connection);
            // A client that goes away ends its own connection only.
            tokio::select! {
                () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
                _ = connection.as_mut() => return,
            }
            let _ = connection.await;
        });
    }
    connections.close();
    if tokio::time::timeout(END_LIMIT, connections.wait())
        .await
        .is_err()
    {
        tracing::warn!(event = "requests_cut_off", connections = connections.len());
    }
}

async fn handle<F, A>(request: Request<Incoming>, limit: usize, answer: F) -> HttpResponse
where
    F: Fn(HttpRequest) -> A,
    A: Future<Output = HttpResponse>,
{
    let (head, body) = request.into_parts();
    let body = Limited::new(body, limit);
    match tokio::time::timeout(BODY_LIMIT, body.collect()).await {
        Ok(Ok(body)) => answer(Request::from_parts(head, body.to_bytes())).await,
        Ok(Err(error)) if error.is::<LengthLimitError>() => status(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => status(StatusCode::BAD_REQUEST),
        Err(_) => status(StatusCode::REQUEST_TIMEOUT),
    }
}

fn status(status: StatusCode) -> HttpResponse {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}
