//! Links that carry one handed-over request at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context, Poll};

use buckthornweir_requests::messages::RequestBody;
use buckthornweir_wire::{Body, Envelope, Link, LinkReader};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::{DIAL_TIMEOUT, LinkSender, MAX_QUEUED, SILENCE_TIMEOUT, send_all};
use crate::board::Blackboard;

/// The maximum number of response parts that are queued for a slow caller.
const MAX_PENDING_PARTS: usize = 16;

/// A link that carries one handed-over request at a time.
#[derive(Debug)]
pub(crate) struct HandoffLink {
    sender: LinkSender,
    parts: mpsc::Receiver<RequestBody>,
    _lifetime: DropGuard,
}

impl HandoffLink {
    /// Returns whether the link is open and has no unread parts of an earlier response.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.sender.is_closed() && self.parts.is_empty()
    }

    /// Sends a message. Returns false when the link is lost.
    pub(crate) async fn send(&self, envelope: Envelope) -> bool {
        self.sender.send_wait(envelope).await
    }

    /// Receives a part of the response, or `None` when the link is lost.
    pub(crate) async fn receive(&mut self) -> Option<RequestBody> {
        self.parts.recv().await
    }

    /// Polls for a part of the response as [`HandoffLink::receive`] does.
    pub(crate) fn poll_receive(&mut self, cx: &mut Context<'_>) -> Poll<Option<RequestBody>> {
        self.parts.poll_recv(cx)
    }
}

/// Dials a link for handed-over requests. The link is closed when it is dropped.
pub(crate) async fn open_handoff_link(
    board: &Arc<Blackboard>,
    runtime: &Handle,
    address: SocketAddr,
) -> Option<HandoffLink> {
    let key = &board.settings.node.key;
    let link = Link::dial(address, key, DIAL_TIMEOUT).await.ok()?;
    let (reader, writer) = link.split();
    let (sender, receiver) = mpsc::channel(MAX_QUEUED);
    let (part_sender, parts) = mpsc::channel(MAX_PENDING_PARTS);
    let lifetime = CancellationToken::new();
    let token = lifetime.clone();
    let board = board.clone();
    runtime.spawn(async move {
        tokio::select! {
            () = token.cancelled() => {}
            () = send_all(&board, writer, receiver, || {}) => {}
            () = receive_parts(reader, part_sender) => {}
        }
    });
    Some(HandoffLink {
        sender: LinkSender { sender },
        parts,
        _lifetime: lifetime.drop_guard(),
    })
}

async fn receive_parts(mut reader: LinkReader, parts: mpsc::Sender<RequestBody>) {
    while let Ok(Ok(envelope)) = timeout(SILENCE_TIMEOUT, reader.receive()).await {
        let Some(Body::Request(message)) = envelope.body else {
            continue;
        };
        let Some(body) = message.body else { continue };
        if parts.send(body).await.is_err() {
            return;
        }
    }
}
