//! Metrics over HTTP, for Prometheus.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use crate::board::Blackboard;
use crate::fault::{DaemonError, Result};

/// Starts serving `GET /metrics`, if the settings have an address for it.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub(crate) async fn listen(
    board: &Arc<Blackboard>,
    runtime: &Handle,
    stop: &CancellationToken,
) -> Result<()> {
    let Some(address) = board.settings.node.metrics else {
        return Ok(());
    };
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| DaemonError::Bind {
            what: "metrics",
            address,
            source,
        })?;
    let board = board.clone();
    let stop = stop.clone();
    runtime.spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            if let Ok((stream, _)) = accepted {
                tokio::spawn(serve(board.clone(), stream));
            }
        }
    });
    Ok(())
}

async fn serve(board: Arc<Blackboard>, stream: tokio::net::TcpStream) {
    let service = service_fn(move |request: Request<Incoming>| {
        let response = page(&board, request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    // An error affects only the connection of this client.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn page(board: &Blackboard, path: &str) -> Response<Full<Bytes>> {
    if path != "/metrics" {
        return reply(StatusCode::NOT_FOUND, String::new());
    }
    match board.metrics.to_text() {
        Ok(text) => reply(StatusCode::OK, text),
        Err(_) => reply(StatusCode::INTERNAL_SERVER_ERROR, String::new()),
    }
}

fn reply(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
