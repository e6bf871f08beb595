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
    pub(crate) fn new(inner: B, done: F) -> Self
    where
        B: Body,
    {
        let mut body = Self {
            inner,
            done: Some(done),
        };
        if body.inner.is_end_stream() {
            // Nobody asks for the frames of an empty body.
            body.end(BodyEnd::Whole);
        }
        body
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

/// A body that keeps what passes, up to a limit, and tells once how it ended.
struct RecordingBody<F: FnOnce(BodyEnd, Option<Vec<u8>>)> {
    inner: AnswerBody,
    kept: Option<Vec<u8>>,
    limit: usize,
    done: Option<F>,
}

/// Returns `body` with a function that is called with its end, and with its bytes if there were at
/// most `limit`.
pub(crate) fn recording<F>(body: AnswerBody, limit: usize, done: F) -> AnswerBody
where
    F: FnOnce(BodyEnd, Option<Vec<u8>>) + Send + Unpin + 'static,
{
    let mut recording = RecordingBody {
        inner: body,
        kept: Some(Vec::new()),
        limit,
        done: Some(done),
    };
    if recording.inner.is_end_stream() {
        recording.end(BodyEnd::Whole);
    }
    recording.boxed_unsync()
}

impl<F: FnOnce(BodyEnd, Option<Vec<u8>>)> RecordingBody<F> {
    fn keep(&mut self, data: &[u8]) {
        let limit = self.limit;
        self.kept = self.kept.take().filter(|k| k.len() + data.len() <= limit);
        if let Some(kept) = &mut self.kept {
            kept.extend_from_slice(data);
        }
    }

    fn end(&mut self, end: BodyEnd) {
        if let Some(done) = self.done.take() {
            done(end, self.kept.take());
        }
    }
}

impl<F: FnOnce(BodyEnd, Option<Vec<u8>>) + Unpin> Body for RecordingBody<F> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match &polled {
            Poll::Pending => {}
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    self.keep(data);
                }
                if self.inner.is_end_stream() {
                    self.end(BodyEnd::Whole);
                }
            }
            Poll::Ready(Some(Err(_))) => self.end(BodyEnd::Cut),
            Poll::Ready(None) => self.end(BodyEnd::Whole),
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<F: FnOnce(BodyEnd, Option<Vec<u8>>)> Drop for RecordingBody<F> {
    fn drop(&mut self) {
        self.end(BodyEnd::Dropped);
    }
}
