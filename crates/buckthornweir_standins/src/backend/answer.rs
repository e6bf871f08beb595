//! The responses of a backend server, which can be cut before their end.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::{Sleep, sleep};

use super::headers;

/// Delay between the last bytes of a cut response and the close of its connection.
const CUT_DELAY: Duration = Duration::from_millis(20);

pub(crate) type Answer = Response<AnswerStream>;

/// The body of a response, with which a caller checks that the response belongs to its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// The service of the backend server.
    pub service: SmolStr,
    /// The backend server's name.
    pub backend: SmolStr,
    /// The request's id.
    pub request_id: SmolStr,
    /// The request's path and query.
    pub path: SmolStr,
    /// As many bytes as the query parameter `bytes` requested.
    pub padding: String,
}

pub(crate) fn refusal_answer() -> Answer {
    let mut response = text_answer(StatusCode::SERVICE_UNAVAILABLE, "not run");
    response
        .headers_mut()
        .insert(headers::NOT_RUN, HeaderValue::from_static("yes"));
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

pub(crate) fn text_answer(status: StatusCode, text: &'static str) -> Answer {
    answer(status, "text/plain", Bytes::from_static(text.as_bytes()))
}

pub(crate) fn json_answer<T: Serialize>(value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(bytes) => answer(StatusCode::OK, "application/json", bytes.into()),
        Err(_) => text_answer(StatusCode::INTERNAL_SERVER_ERROR, "not encodable"),
    }
}

fn answer(status: StatusCode, content_type: &'static str, bytes: Bytes) -> Answer {
    let length = HeaderValue::from(bytes.len());
    let mut response = Response::new(AnswerStream::whole(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response.headers_mut().insert(CONTENT_LENGTH, length);
    response
}

/// The body of a response, which can be cut before its end.
pub(crate) struct AnswerStream {
    bytes: Bytes,
    cut: Option<Pin<Box<Sleep>>>,
    length: u64,
}

impl AnswerStream {
    fn whole(bytes: Bytes) -> Self {
        Self {
            length: bytes.len() as u64,
            bytes,
            cut: None,
        }
    }

    pub(crate) fn cut_at(&mut self, len: usize) {
        self.bytes.truncate(len);
        self.cut = Some(Box::pin(sleep(CUT_DELAY)));
    }

    pub(crate) fn cut_in_middle(&mut self) {
        self.cut_at(self.bytes.len() / 2);
    }
}

impl Body for AnswerStream {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if !self.bytes.is_empty() {
            let bytes = std::mem::take(&mut self.bytes);
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        let Some(cut) = &mut self.cut else {
            return Poll::Ready(None);
        };
        ready!(cut.as_mut().poll(cx));
        Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty() && self.cut.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}
