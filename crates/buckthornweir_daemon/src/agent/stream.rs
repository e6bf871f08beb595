//! The byte stream of one flow, for the task that serves it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use buckthornweir_flows::packet::FiveTuple;
use buckthornweir_flows::stack::{FlowStack, ReadState, WriteState};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::shards::{FlowKey, Shard};

/// The byte stream of one flow. Dropping it without a shutdown resets the flow, so that a caller
/// never takes a short answer for a whole one.
pub(crate) struct FlowStream {
    shard: Arc<Shard>,
    key: FlowKey,
    tuple: FiveTuple,
    closed: bool,
}

impl FlowStream {
    pub(crate) fn new(shard: Arc<Shard>, key: FlowKey, tuple: FiveTuple) -> Self {
        Self {
            shard,
            key,
            tuple,
            closed: false,
        }
    }

    /// Returns the flow's two ends.
    pub(crate) fn tuple(&self) -> FiveTuple {
        self.tuple
    }
}

impl AsyncRead for FlowStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = self.shard.with_flow(self.key, |stack| {
            let state = stack.read(buf.initialize_unfilled());
            if state == ReadState::Empty {
                stack.register_reader(cx.waker());
            }
            state
        });
        match read {
            Some(ReadState::Data(length)) => {
                buf.advance(length);
                Poll::Ready(Ok(()))
            }
            Some(ReadState::Empty) => Poll::Pending,
            Some(ReadState::End) => Poll::Ready(Ok(())),
            Some(ReadState::Reset) | None => {
                Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
            }
        }
    }
}

impl AsyncWrite for FlowStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.shard.with_flow(self.key, |stack| {
            let state = stack.write(data);
            if state == WriteState::Full {
                stack.register_writer(cx.waker());
            }
            state
        });
        match written {
            Some(WriteState::Accepted(length)) => Poll::Ready(Ok(length)),
            Some(WriteState::Full) => Poll::Pending,
            Some(WriteState::Closed) | None => Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.closed = true;
        self.shard.with_flow(self.key, FlowStack::close);
        Poll::Ready(Ok(()))
    }
}

impl Drop for FlowStream {
    fn drop(&mut self) {
        self.shard.release(self.key, self.closed);
    }
}
