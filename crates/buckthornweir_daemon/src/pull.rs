//! Pulling a newer bundle from a member that has one.

use std::sync::Arc;
use std::time::Duration;

use buckthornweir_wire::{
    Body, BundleRequest, Envelope, Link, NodeId, OperatorMessage, Reply, Request, WireError,
};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::board::Blackboard;
use crate::bundles;

/// How long one pull may take.
const PULL_LIMIT: Duration = Duration::from_secs(2);

/// How many pulls may wait.
const WAITING: usize = 64;

/// Asks for pulls.
#[derive(Clone, Debug)]
pub(crate) struct PullSender {
    sender: mpsc::Sender<NodeId>,
}

impl PullSender {
    /// Asks for the bundle of `from`. When too many wait, membership asks again later.
    pub(crate) fn pull(&self, from: NodeId) {
        let _ = self.sender.try_send(from);
    }
}

/// Starts the task that pulls bundles.
pub(crate) fn start(
    board: &Arc<Blackboard>,
    runtime: &Handle,
    stop: &CancellationToken,
) -> PullSender {
    let (sender, mut receiver) = mpsc::channel(WAITING);
    let board = board.clone();
    let stop = stop.clone();
    runtime.spawn(async move {
        loop {
            let from = tokio::select! {
                () = stop.cancelled() => return,
                from = receiver.recv() => from,
            };
            let Some(from) = from else { return };
            if let Some(text) = fetch(&board, from).await {
                let board = board.clone();
                let applied = tokio::task::spawn_blocking(move || bundles::apply(&board, &text));
                let _ = applied.await;
            }
        }
    });
    PullSender { sender }
}

async fn fetch(board: &Blackboard, from: NodeId) -> Option<String> {
    let member = board.member(from)?;
    if member.record.bundle.version <= board.version() {
        return None;
    }
    ask(board, member.record.control).await.ok()
}

async fn ask(board: &Blackboard, peer: std::net::SocketAddr) -> Result<String, WireError> {
    let key = &board.settings.node.key;
    let mut link = Link::dial(peer, key, PULL_LIMIT).await?;
    let message = OperatorMessage::ask(1, Request::Bundle(BundleRequest {}));
    link.send(&board.envelope(Body::Operator(Box::new(message))))
        .await?;
    let reply = link.receive(PULL_LIMIT).await?;
    board.observe(&reply);
    bundle_text(reply)
}

fn bundle_text(reply: Envelope) -> Result<String, WireError> {
    match reply.into_body()? {
        Body::Operator(message) => match message.reply {
            Some(Reply::Bundle(bundle)) => Ok(bundle.text),
            _ => Err(WireError::Empty),
        },
        _ => Err(WireError::Empty),
    }
}
