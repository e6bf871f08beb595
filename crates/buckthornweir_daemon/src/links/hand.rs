//! Links that carry one handed request at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context, Poll};

use buckthornweir_requests::messages::RequestBody;
use buckthornweir_wire::{Body, Envelope, Link, LinkReader};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::{DIAL_LIMIT, LinkSender, SILENCE_LIMIT, WAITING, send_all};
use crate::board::Blackboard;

/// How many parts of an answer may wait for a slow caller.
const PARTS: usize = 16;

/// A link that carries one handed request at a time.
#[derive(Debug)]
pub(crate) struct HandLink {
    sender: LinkSender,
    parts: mpsc::Receiver<RequestBody>,
    _lifetime: DropGuard,
}

impl HandLink {
    /// Returns whether the link is up and has nothing left over from an earlier request.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.sender.is_closed() && self.parts.is_empty()
    }

    /// Sends a message. Returns false when the link is lost.
    pub(crate) async fn send(&self, envelope: Envelope) -> bool {
        self.sender.send_wait(envelope).await
    }

    /// Receives a part of the answer, or `None` when the link is lost.
    pub(crate) async fn receive(&mut self) -> Option<RequestBody> {
        self.parts.recv().await
    }

    /// Receives a part of the answer as [`HandLink::receive`] does.
    pub(crate) fn poll_receive(&mut self, cx: &mut Context<'_>) -> Poll<Option<RequestBody>> {
        self.parts.poll_recv(cx)
    }
}

/// Dials a link for handed requests. It is closed when it is dropped.
pub(crate) async fn open_hand_link(
    board: &Arc<Blackboard>,
    runtime: &Handle,
    address: SocketAddr,
) -> Option<HandLink> {
    let key = &board.settings.node.key;
    let link = Link::dial(address, key, DIAL_LIMIT).await.ok()?;
    let (reader, writer) = link.split();
    let (sender, receiver) = mpsc::channel(WAITING);
    let (part_sender, parts) = mpsc::channel(PARTS);
    let lifetime = CancellationToken::new();
    let over = lifetime.clone();
    let board = board.clone();
    runtime.spawn(async move {
        tokio::select! {
            () = over.cancelled() => {}
            () = send_all(&board, writer, receiver, || {}) => {}
            () = receive_parts(reader, part_sender) => {}
        }
    });
    Some(HandLink {
        sender: LinkSender { sender },
        parts,
        _lifetime: lifetime.drop_guard(),
    })
}

async fn receive_parts(mut reader: LinkReader, parts: mpsc::Sender<RequestBody>) {
    while let Ok(Ok(envelope)) = timeout(SILENCE_LIMIT, reader.receive()).await {
        let Some(Body::Request(message)) = envelope.body else {
            continue;
        };
        let Some(body) = message.body else { continue };
        if parts.send(body).await.is_err() {
            return;
        }
    }
}
