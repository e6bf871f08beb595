//! A small HTTP/1 server that answers each request with one handler function.

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

/// Time limit for a request's header, including the idle time before it.
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit for a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a connection could not be accepted.
const ACCEPT_DELAY: Duration = Duration::from_millis(100);

/// Time limit for the requests in flight when the server stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);

/// A response with its whole body.
pub type HttpResponse = Response<Full<Bytes>>;

/// A request with its whole body.
pub type HttpRequest = Request<Bytes>;

/// Serves connections until `stop` is cancelled, then finishes the requests in flight.
///
/// Responds with status 413 to bodies larger than `max_body` bytes.
pub async fn serve_http<F, Fut>(
    listener: TcpListener,
    max_body: usize,
    stop: CancellationToken,
    handler: F,
) where
    F: Fn(HttpRequest) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = HttpResponse> + Send,
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
                tokio::time::sleep(ACCEPT_DELAY).await;
                continue;
            }
        };
        let handler = handler.clone();
        let stop = stop.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| {
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(handle(request, max_body, handler).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            let mut connection = pin!(connection);
            // An error concerns only this connection.
            tokio::select! {
                () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
                _ = connection.as_mut() => return,
            }
            let _ = connection.await;
        });
    }
    connections.close();
    if tokio::time::timeout(SHUTDOWN_TIMEOUT, connections.wait())
        .await
        .is_err()
    {
        tracing::warn!(event = "requests_cut_off", connections = connections.len());
    }
}

async fn handle<F, Fut>(request: Request<Incoming>, max_body: usize, handler: F) -> HttpResponse
where
    F: Fn(HttpRequest) -> Fut,
    Fut: Future<Output = HttpResponse>,
{
    let (head, body) = request.into_parts();
    let body = Limited::new(body, max_body);
    match tokio::time::timeout(BODY_TIMEOUT, body.collect()).await {
        Ok(Ok(body)) => handler(Request::from_parts(head, body.to_bytes())).await,
        Ok(Err(error)) if error.is::<LengthLimitError>() => response(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => response(StatusCode::BAD_REQUEST),
        Err(_) => response(StatusCode::REQUEST_TIMEOUT),
    }
}

fn response(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
