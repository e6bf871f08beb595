//! Pulls newer bundles from members that have them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthornweir_bundle::{EncodedDifference, text_digest};
use buckthornweir_events::Count;
use buckthornweir_members::{BundleStamp, Health};
use buckthornweir_wire::{
    Body, BundleReply, BundleRequest, Link, NodeId, OperatorMessage, Reply, Request, WireError,
};
use prost::Message as _;
use rand::seq::IteratorRandom;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::spawn_blocking;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::board::{Blackboard, Member};
use crate::bundles;

/// The timeout of each step of a pull: dialing, and waiting for a reply.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// How many other holders are tried when the first one fails.
const MAX_FALLBACK_HOLDERS: usize = 2;

/// The maximum number of queued pulls.
const MAX_PENDING: usize = 64;

/// A newer bundle and the member that announced it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pull {
    pub(crate) from: NodeId,
    pub(crate) stamp: BundleStamp,
}

/// Queues pulls.
#[derive(Clone, Debug)]
pub(crate) struct PullSender {
    sender: mpsc::Sender<Pull>,
}

impl PullSender {
    /// Queues a pull. It is dropped when the queue is full; membership requests it again later.
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
    let (sender, mut receiver) = mpsc::channel(MAX_PENDING);
    let board = board.clone();
    let stop = stop.clone();
    runtime.spawn(async move {
        loop {
            let pull = tokio::select! {
                () = stop.cancelled() => return,
                pull = receiver.recv() => pull,
            };
            let Some(pull) = pull else { return };
            pull_newer(&board, pull).await;
        }
    });
    PullSender { sender }
}

/// Pulls the newer bundle, trying other holders when the first one fails. When all fail, membership
/// requests the pull again later.
async fn pull_newer(board: &Arc<Blackboard>, pull: Pull) {
    for holder in holders(board, pull) {
        // Uses the stamp of the pull, since the member's record on the blackboard may be older.
        if pull.stamp.version <= board.version() {
            return;
        }
        if fetch(board, holder).await.is_ok() {
            return;
        }
    }
}

/// Returns the link address of the announcing member, then those of other members with the version.
fn holders(board: &Blackboard, pull: Pull) -> Vec<SocketAddr> {
    let members = board.members();
    let has =
        |m: &&Member| m.health == Health::Alive && m.record.bundle.version >= pull.stamp.version;
    let others = members.iter().filter(|m| m.record.node != pull.from);
    let fallback = others
        .filter(has)
        .sample(&mut rand::rng(), MAX_FALLBACK_HOLDERS);
    let first = board.member(pull.from);
    let all = first.iter().chain(fallback);
    all.map(|m| m.record.control).collect()
}

/// Pulls the newer bundle from one holder and puts it in force.
async fn fetch(board: &Arc<Blackboard>, holder: SocketAddr) -> Result<(), WireError> {
    let mut link = Link::dial(holder, &board.settings.node.key, PULL_TIMEOUT).await?;
    let held = board.signed_bundle();
    let base = held.as_ref().map(|held| held.to_text());
    let mut request = BundleRequest {
        version: held.map_or(0, |held| held.bundle().version),
        base: base.as_deref().map_or_else(Vec::new, digest_bytes),
    };
    let mut reply = request_bundle(board, &mut link, &request).await?;
    let differences = std::mem::take(&mut reply.differences);
    if let Some(base) = base
        && !differences.is_empty()
    {
        if apply_differences(board, base, differences).await {
            board.metrics.count(Count::BundlesPulledDifference);
            return Ok(());
        }
        request.base.clear();
        reply = request_bundle(board, &mut link, &request).await?;
    }
    // The holder has nothing newer, since this process got the bundle in another way meanwhile.
    if reply.text.is_empty() {
        return Ok(());
    }
    board.metrics.count(Count::BundlesPulledWhole);
    apply(board, reply.text).await;
    Ok(())
}

fn digest_bytes(text: &str) -> Vec<u8> {
    text_digest(text.as_bytes()).to_vec()
}

/// Requests the bundle. Without a base in the request the reply has the whole text.
async fn request_bundle(
    board: &Blackboard,
    link: &mut Link,
    request: &BundleRequest,
) -> Result<BundleReply, WireError> {
    let message = OperatorMessage::ask(1, Request::Bundle(request.clone()));
    link.send(&board.envelope(Body::Operator(Box::new(message))))
        .await?;
    let received = timeout(PULL_TIMEOUT, receive_bundle(board, link)).await;
    let bundle = received.unwrap_or(Err(WireError::TimedOut))?;
    let bytes = bundle.encoded_len() as u64;
    board.metrics.count_by(Count::BundleBytesIn, bytes);
    Ok(bundle)
}

/// Waits for the reply, skipping heartbeats. The peer usually sends a heartbeat first.
async fn receive_bundle(board: &Blackboard, link: &mut Link) -> Result<BundleReply, WireError> {
    loop {
        let received = link.receive(PULL_TIMEOUT).await?;
        board.observe(&received);
        if let Body::Operator(message) = received.into_body()?
            && let Some(Reply::Bundle(bundle)) = message.reply
        {
            return Ok(bundle);
        }
    }
}

async fn apply(board: &Arc<Blackboard>, text: String) {
    let board = board.clone();
    let _ = spawn_blocking(move || bundles::apply(&board, &text)).await;
}

async fn apply_differences(
    board: &Arc<Blackboard>,
    base: String,
    differences: Vec<EncodedDifference>,
) -> bool {
    let board = board.clone();
    let work = move || bundles::apply_differences(&board, &base, &differences);
    spawn_blocking(work).await.unwrap_or(false)
}
