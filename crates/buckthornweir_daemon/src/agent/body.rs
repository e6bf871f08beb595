//! Bodies of answers on their way to callers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};

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

/// What passes through a watched body.
enum Passing<'a> {
    /// Bytes of the answer.
    Data(&'a [u8]),
    /// The end, once.
    End(BodyEnd),
}

/// A body that tells what passes.
struct WatchedBody<B, F: FnMut(Passing<'_>)> {
    inner: B,
    has_ended: bool,
    watch: F,
}

/// Returns `body` with a function that is called with its end.
pub(crate) fn watched<B, F>(body: B, done: F) -> AnswerBody
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync,
    F: FnOnce(BodyEnd) + Send + Unpin + 'static,
{
    let mut done = Some(done);
    let watch = move |passing: Passing<'_>| {
        if let Passing::End(end) = passing
            && let Some(done) = done.take()
        {
            done(end);
        }
    };
    WatchedBody::new(body, watch).boxed_unsync()
}

/// Returns `body` with a value that is dropped together with it.
pub(crate) fn holding<T: Send + Unpin + 'static>(body: AnswerBody, held: T) -> AnswerBody {
    let watch = move |_: Passing<'_>| {
        let _ = &held;
    };
    WatchedBody::new(body, watch).boxed_unsync()
}

/// Returns `body` with a function that is called with its end, and with its bytes if there were at
/// most `limit`.
pub(crate) fn recording<F>(body: AnswerBody, limit: usize, done: F) -> AnswerBody
where
    F: FnOnce(BodyEnd, Option<Vec<u8>>) + Send + Unpin + 'static,
{
    let mut kept = Some(Vec::new());
    let mut done = Some(done);
    let watch = move |passing: Passing<'_>| match passing {
        Passing::Data(data) => {
            kept = kept.take().filter(|k| k.len() + data.len() <= limit);
            if let Some(kept) = &mut kept {
                kept.extend_from_slice(data);
            }
        }
        Passing::End(end) => {
            if let Some(done) = done.take() {
                done(end, kept.take());
            }
        }
    };
    WatchedBody::new(body, watch).boxed_unsync()
}

impl<B: Body, F: FnMut(Passing<'_>)> WatchedBody<B, F> {
    fn new(inner: B, watch: F) -> Self {
        let mut body = Self {
            inner,
            has_ended: false,
            watch,
        };
        if body.inner.is_end_stream() {
            // Nobody asks for the frames of an empty body.
            body.end(BodyEnd::Whole);
        }
        body
    }
}

impl<B, F: FnMut(Passing<'_>)> WatchedBody<B, F> {
    fn end(&mut self, end: BodyEnd) {
        if !self.has_ended {
            self.has_ended = true;
            (self.watch)(Passing::End(end));
        }
    }
}

impl<B, F> Body for WatchedBody<B, F>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::error::Error + Send + Sync + 'static,
    F: FnMut(Passing<'_>) + Unpin,
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
                    (self.watch)(Passing::Data(data));
                }
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

impl<B, F: FnMut(Passing<'_>)> Drop for WatchedBody<B, F> {
    fn drop(&mut self) {
        self.end(BodyEnd::Dropped);
    }
}
