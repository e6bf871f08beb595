//! Bodies of responses to callers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};

/// The body of a response to a caller.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// Returns a body that consists of `bytes`.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Buffers a body of at most `max_bytes`. A larger one is returned as a body that streams the rest.
///
/// # Errors
///
/// Returns an error when the body fails.
pub(crate) async fn collect_up_to(
    mut body: ResponseBody,
    max_bytes: usize,
) -> io::Result<ResponseBody> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            collected.extend_from_slice(&data);
        }
        if collected.len() > max_bytes {
            let first = Some(collected.freeze());
            return Ok(PrefixedBody { first, rest: body }.boxed_unsync());
        }
    }
    Ok(full_body(collected.freeze()))
}

/// A body whose first part was read before.
struct PrefixedBody {
    first: Option<Bytes>,
    rest: ResponseBody,
}

impl Body for PrefixedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.first.take() {
            Some(first) => Poll::Ready(Some(Ok(Frame::data(first)))),
            None => Pin::new(&mut self.rest).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }
}

/// How a response body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// The whole body was passed on.
    Complete,
    /// The source of the body failed before the end.
    Cut,
    /// The body was dropped before the end, such as when the caller disconnects.
    Dropped,
}

/// An event of an observed body.
enum BodyEvent<'a> {
    /// Bytes of the body.
    Data(&'a [u8]),
    /// The end; it is reported once.
    End(BodyEnd),
}

/// A body that reports its data and its end to an observer.
struct ObservedBody<B, F: FnMut(BodyEvent<'_>)> {
    inner: B,
    has_ended: bool,
    observer: F,
}

/// Wraps `body` so that `on_end` is called when it ends.
pub(crate) fn with_end_callback<B, F>(body: B, on_end: F) -> ResponseBody
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync,
    F: FnOnce(BodyEnd) + Send + Unpin + 'static,
{
    let mut on_end = Some(on_end);
    let observer = move |event: BodyEvent<'_>| {
        if let BodyEvent::End(end) = event
            && let Some(on_end) = on_end.take()
        {
            on_end(end);
        }
    };
    ObservedBody::new(body, observer).boxed_unsync()
}

/// Wraps `body` so that `guard` is dropped together with it.
pub(crate) fn with_guard<T: Send + Unpin + 'static>(body: ResponseBody, guard: T) -> ResponseBody {
    let observer = move |_: BodyEvent<'_>| {
        let _ = &guard;
    };
    ObservedBody::new(body, observer).boxed_unsync()
}

/// Wraps `body` so that `on_end` is called when it ends, with its bytes unless there were more than
/// `max_bytes`.
pub(crate) fn with_capture<F>(body: ResponseBody, max_bytes: usize, on_end: F) -> ResponseBody
where
    F: FnOnce(BodyEnd, Option<Vec<u8>>) + Send + Unpin + 'static,
{
    let mut captured = Some(Vec::new());
    let mut on_end = Some(on_end);
    let observer = move |event: BodyEvent<'_>| match event {
        BodyEvent::Data(data) => {
            captured = captured
                .take()
                .filter(|bytes| bytes.len() + data.len() <= max_bytes);
            if let Some(captured) = &mut captured {
                captured.extend_from_slice(data);
            }
        }
        BodyEvent::End(end) => {
            if let Some(on_end) = on_end.take() {
                on_end(end, captured.take());
            }
        }
    };
    ObservedBody::new(body, observer).boxed_unsync()
}

impl<B: Body, F: FnMut(BodyEvent<'_>)> ObservedBody<B, F> {
    fn new(inner: B, observer: F) -> Self {
        let mut body = Self {
            inner,
            has_ended: false,
            observer,
        };
        if body.inner.is_end_stream() {
            // An empty body is never polled for frames.
            body.end(BodyEnd::Complete);
        }
        body
    }
}

impl<B, F: FnMut(BodyEvent<'_>)> ObservedBody<B, F> {
    fn end(&mut self, end: BodyEnd) {
        if !self.has_ended {
            self.has_ended = true;
            (self.observer)(BodyEvent::End(end));
        }
    }
}

impl<B, F> Body for ObservedBody<B, F>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::error::Error + Send + Sync + 'static,
    F: FnMut(BodyEvent<'_>) + Unpin,
{
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    (self.observer)(BodyEvent::Data(data));
                }
                if self.inner.is_end_stream() {
                    self.end(BodyEnd::Complete);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.end(BodyEnd::Cut);
                Poll::Ready(Some(Err(io::Error::other(error))))
            }
            Poll::Ready(None) => {
                self.end(BodyEnd::Complete);
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<B, F: FnMut(BodyEvent<'_>)> Drop for ObservedBody<B, F> {
    fn drop(&mut self) {
        self.end(BodyEnd::Dropped);
    }
}
