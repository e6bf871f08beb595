//! Pulling a newer bundle from a member that has one.

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

/// How long one pull may take.
const PULL_LIMIT: Duration = Duration::from_secs(2);

/// How many other holders are asked when one fails.
const SPARE_HOLDERS: usize = 2;

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
            pull_newer(&board, pull).await;
        }
    });
    PullSender { sender }
}

/// Pulls the newer bundle, from another holder when the first one gives no answer. When none does,
/// membership asks again later.
async fn pull_newer(board: &Arc<Blackboard>, pull: Pull) {
    for holder in holders(board, pull) {
        // The stamp that membership heard counts, since the blackboard may not have heard of it yet.
        if pull.stamp.version <= board.version() {
            return;
        }
        if fetch(board, holder).await.is_ok() {
            return;
        }
    }
}

/// Returns where the member that was heard of takes links, and then other members that have the version.
fn holders(board: &Blackboard, pull: Pull) -> Vec<SocketAddr> {
    let members = board.members();
    let has =
        |m: &&Member| m.health == Health::Alive && m.record.bundle.version >= pull.stamp.version;
    let others = members.iter().filter(|m| m.record.node != pull.from);
    let spare = others.filter(has).sample(&mut rand::rng(), SPARE_HOLDERS);
    let first = board.member(pull.from);
    let all = first.iter().chain(spare);
    all.map(|m| m.record.control).collect()
}

/// Pulls the newer bundle from a holder and puts it in force.
async fn fetch(board: &Arc<Blackboard>, holder: SocketAddr) -> Result<(), WireError> {
    let mut link = Link::dial(holder, &board.settings.node.key, PULL_LIMIT).await?;
    let held = board.signed_bundle();
    let base = held.as_ref().map(|held| held.to_text());
    let mut asked = BundleRequest {
        version: held.map_or(0, |held| held.bundle().version),
        base: base.as_deref().map_or_else(Vec::new, digest_bytes),
    };
    let mut reply = ask(board, &mut link, &asked).await?;
    let differences = std::mem::take(&mut reply.differences);
    if let Some(base) = base
        && !differences.is_empty()
    {
        if apply_differences(board, base, differences).await {
            board.metrics.count(Count::BundlesPulledDifference);
            return Ok(());
        }
        asked.base.clear();
        reply = ask(board, &mut link, &asked).await?;
    }
    // The holder has nothing newer: the bundle came by the log, or from another holder, meanwhile.
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

/// Asks for the bundle; without a base the answer is the whole.
async fn ask(
    board: &Blackboard,
    link: &mut Link,
    asked: &BundleRequest,
) -> Result<BundleReply, WireError> {
    let message = OperatorMessage::ask(1, Request::Bundle(asked.clone()));
    link.send(&board.envelope(Body::Operator(Box::new(message))))
        .await?;
    let received = timeout(PULL_LIMIT, receive_bundle(board, link)).await;
    let bundle = received.unwrap_or(Err(WireError::TimedOut))?;
    let bytes = bundle.encoded_len() as u64;
    board.metrics.count_by(Count::BundleBytesIn, bytes);
    Ok(bundle)
}

/// Waits for the answer. The other side sends heartbeats in between, mostly one at once.
async fn receive_bundle(board: &Blackboard, link: &mut Link) -> Result<BundleReply, WireError> {
    loop {
        let received = link.receive(PULL_LIMIT).await?;
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
