//! Pulling a newer bundle from a member that has one.

use std::sync::Arc;
use std::time::Duration;

use buckthornweir_members::BundleStamp;
use buckthornweir_wire::{
    Body, BundleRequest, Link, NodeId, OperatorMessage, Reply, Request, WireError,
};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::board::Blackboard;
use crate::bundles;

/// How long one pull may take.
const PULL_LIMIT: Duration = Duration::from_secs(2);

/// How many pulls may wait.
const WAITING: usize = 64;

/// A newer bundle and the member that said it has it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pull {
    pub(crate) from: NodeId,
    pub(crate) stamp: BundleStamp,
}

/// Asks for pulls.
#[derive(Clone, Debug)]
pub(crate) struct PullSender {
    sender: mpsc::Sender<Pull>,
}

impl PullSender {
    /// Asks for a bundle. When too many wait, membership asks again later.
    pub(crate) fn pull(&self, pull: Pull) {
        let _ = self.sender.try_send(pull);
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
            let pull = tokio::select! {
                () = stop.cancelled() => return,
                pull = receiver.recv() => pull,
            };
            let Some(pull) = pull else { return };
            if let Some(text) = fetch(&board, pull).await {
                let board = board.clone();
                let applied = tokio::task::spawn_blocking(move || bundles::apply(&board, &text));
                let _ = applied.await;
            }
        }
    });
    PullSender { sender }
}

/// Returns the newer bundle. The stamp that membership heard counts, since the blackboard may not have
/// heard of it yet.
async fn fetch(board: &Blackboard, pull: Pull) -> Option<String> {
    if pull.stamp.version <= board.version() {
        return None;
    }
    let member = board.member(pull.from)?;
    ask(board, member.record.control).await.ok()
}

async fn ask(board: &Blackboard, peer: std::net::SocketAddr) -> Result<String, WireError> {
    let key = &board.settings.node.key;
    let mut link = Link::dial(peer, key, PULL_LIMIT).await?;
    let message = OperatorMessage::ask(1, Request::Bundle(BundleRequest {}));
    link.send(&board.envelope(Body::Operator(Box::new(message))))
        .await?;
    match timeout(PULL_LIMIT, reply(board, &mut link)).await {
        Ok(text) => text,
        Err(_) => Err(WireError::TimedOut),
    }
}

/// Waits for the reply. Heartbeats may come before it.
async fn reply(board: &Blackboard, link: &mut Link) -> Result<String, WireError> {
    loop {
        let envelope = link.receive(PULL_LIMIT).await?;
        board.observe(&envelope);
        if let Body::Operator(message) = envelope.into_body()? {
            return bundle_text(*message);
        }
    }
}

fn bundle_text(message: OperatorMessage) -> Result<String, WireError> {
    match message.reply {
        Some(Reply::Bundle(bundle)) => Ok(bundle.text),
        _ => Err(WireError::Empty),
    }
}
