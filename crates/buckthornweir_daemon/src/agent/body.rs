//! Bodies of answers on their way to callers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};

/// The body of an answer to a caller.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// Returns a body that is at hand.
pub(crate) fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// It came whole.
    Whole,
    /// It was cut.
    Cut,
    /// The caller went away first.
    Dropped,
}

/// A body that tells once how it ended.
pub(crate) struct WatchedBody<B, F: FnOnce(BodyEnd)> {
    inner: B,
    done: Option<F>,
}

impl<B, F: FnOnce(BodyEnd)> WatchedBody<B, F> {
    /// Returns `inner` with a function that is called with its end.
    pub(crate) fn new(inner: B, done: F) -> Self {
        Self {
            inner,
            done: Some(done),
        }
    }

    fn end(&mut self, end: BodyEnd) {
        if let Some(done) = self.done.take() {
            done(end);
        }
    }
}

impl<F> Body for WatchedBody<Incoming, F>
where
    F: FnOnce(BodyEnd) + Unpin,
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
                if self.inner.is_end_stream() {
                    self.end(BodyEnd::Whole);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.end(BodyEnd::Cut);
                Poll::Ready(Some(Err(io::Error::other(error))))
            }
            Poll::Ready(None) => {
                self.end(BodyEnd::Whole);
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

impl<B, F: FnOnce(BodyEnd)> Drop for WatchedBody<B, F> {
    fn drop(&mut self) {
        self.end(BodyEnd::Dropped);
    }
}

/// A body that holds a value until it is dropped.
struct HoldingBody<T> {
    inner: AnswerBody,
    _held: T,
}

/// Returns `body` with a value that is dropped together with it.
pub(crate) fn holding<T: Send + Unpin + 'static>(body: AnswerBody, held: T) -> AnswerBody {
    HoldingBody {
        inner: body,
        _held: held,
    }
    .boxed_unsync()
}

impl<T: Unpin> Body for HoldingBody<T> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
