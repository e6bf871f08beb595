//! The byte stream of one flow, for the task that serves it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use buckthornweir_flows::moving::QuietFlow;
use buckthornweir_flows::packet::FiveTuple;
use buckthornweir_flows::stack::{FlowStack, ReadState, WriteState};
use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::flow_table::{FlowKey, Shard};

/// The byte stream of one flow. Dropping it without a shutdown resets the flow, so that a caller
/// can't mistake a truncated response for a complete one.
pub(crate) struct FlowStream {
    shard: Arc<Shard>,
    key: FlowKey,
    tuple: FiveTuple,
    unread: Bytes,
    closed: bool,
    /// Whether the last write found the send buffer full, so that the writer still has bytes to
    /// send.
    is_blocked: Arc<AtomicBool>,
}

/// Checks whether a flow is quiet while an HTTP connection owns its stream.
pub(crate) struct QuietProbe {
    shard: Arc<Shard>,
    key: FlowKey,
    is_blocked: Arc<AtomicBool>,
}

impl QuietProbe {
    /// Returns whether the flow has no data in flight in either direction and no blocked write.
    pub(crate) fn is_quiet(&self) -> bool {
        !self.is_blocked.load(Ordering::Relaxed) && self.shard.is_quiet(self.key)
    }
}

impl FlowStream {
    pub(crate) fn new(shard: Arc<Shard>, key: FlowKey, tuple: FiveTuple) -> Self {
        Self {
            shard,
            key,
            tuple,
            unread: Bytes::new(),
            closed: false,
            is_blocked: Arc::default(),
        }
    }

    /// Returns a probe of the flow.
    pub(crate) fn quiet_probe(&self) -> QuietProbe {
        QuietProbe {
            shard: self.shard.clone(),
            key: self.key,
            is_blocked: self.is_blocked.clone(),
        }
    }

    /// Puts back bytes that were read but not consumed.
    pub(crate) fn put_back(&mut self, bytes: Bytes) {
        self.unread = bytes;
    }

    /// Removes the flow and returns its state for another agent if the flow is quiet. Otherwise the
    /// flow keeps running.
    pub(crate) fn hand_over(&mut self) -> Option<QuietFlow> {
        let flow = self.shard.stop_quiet(self.key, &self.tuple)?;
        self.closed = true;
        Some(flow)
    }

    /// Returns the flow's five-tuple.
    pub(crate) fn tuple(&self) -> FiveTuple {
        self.tuple
    }
}

impl AsyncRead for FlowStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.unread.is_empty() {
            let length = self.unread.len().min(buf.remaining());
            buf.put_slice(&self.unread.split_to(length));
            return Poll::Ready(Ok(()));
        }
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
        let is_full = written == Some(WriteState::Full);
        self.is_blocked.store(is_full, Ordering::Relaxed);
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
