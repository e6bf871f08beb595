//! The links that this process dials, one to each process that it sends messages to.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthornweir_events::{Count, EventKind, Gauge};
use buckthornweir_wire::{Body, Envelope, Link, NodeId};
use parking_lot::Mutex;
use smol_str::ToSmolStr;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use super::{Activity, DIAL_TIMEOUT, LinkContext, LinkSender, MAX_QUEUED};
use crate::board::Blackboard;
use crate::dispatch::Dispatch;

/// How often a link is checked for idleness.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The dialed links of this process.
pub(crate) struct Links {
    board: Arc<Blackboard>,
    dispatch: Arc<Dispatch>,
    runtime: Handle,
    stop: CancellationToken,
    open: Mutex<HashMap<SocketAddr, LinkSender>>,
}

impl Links {
    /// Creates an empty set of links.
    pub(crate) fn new(
        board: Arc<Blackboard>,
        dispatch: Arc<Dispatch>,
        runtime: Handle,
        stop: CancellationToken,
    ) -> Arc<Self> {
        Arc::new(Self {
            board,
            dispatch,
            runtime,
            stop,
            open: Mutex::default(),
        })
    }

    /// Queues a message to the member `peer`, dialing a link if there is none. Returns false when the
    /// message will not be sent; true does not mean that it arrives.
    pub(crate) fn send(self: &Arc<Self>, peer: NodeId, body: Body) -> bool {
        match self.board.member(peer) {
            Some(member) => self.queue(member.record.control, Some(peer), body),
            None => false,
        }
    }

    /// Queues a message to the process at `address` as [`Links::send`] does.
    pub(crate) fn send_to(self: &Arc<Self>, address: SocketAddr, body: Body) -> bool {
        self.queue(address, None, body)
    }

    fn queue(self: &Arc<Self>, address: SocketAddr, peer: Option<NodeId>, body: Body) -> bool {
        let envelope = self.board.envelope(body);
        let mut open = self.open.lock();
        if let Some(link) = open.get(&address)
            && !link.sender.is_closed()
        {
            return link.send(envelope);
        }
        let link = self.dial(address, peer);
        let queued = link.send(envelope);
        open.insert(address, link);
        self.report_open(open.len());
        queued
    }

    fn dial(self: &Arc<Self>, address: SocketAddr, peer: Option<NodeId>) -> LinkSender {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED);
        let links = self.clone();
        let own = sender.downgrade();
        let replies = LinkSender {
            sender: sender.clone(),
        };
        self.runtime.spawn(async move {
            let key = &links.board.settings.node.key;
            if let Ok(link) = Link::dial(address, key, DIAL_TIMEOUT).await {
                let context = LinkContext::new(&links.board, &links.dispatch, replies);
                let activity = context.activity.clone();
                tokio::select! {
                    () = context.run(link, receiver, &links.stop) => {}
                    () = links.until_idle(address, &own, &activity) => return,
                }
            }
            links.board.metrics.count(Count::LinksReplaced);
            if !links.stop.is_cancelled() {
                let peer = address.to_smolstr();
                links.board.record(EventKind::LinkLost { peer });
            }
            links.forget(address, &own);
            if let Some(peer) = peer {
                links.dispatch.link_lost(peer);
            }
        });
        LinkSender { sender }
    }

    /// Removes a link that has ended, unless it has already been replaced.
    fn forget(&self, address: SocketAddr, ended: &mpsc::WeakSender<Envelope>) {
        let mut open = self.open.lock();
        if is_same_channel(open.get(&address), ended) {
            open.remove(&address);
            self.report_open(open.len());
        }
    }

    /// Waits until a link has been idle for the idle timeout and has been removed.
    async fn until_idle(
        &self,
        address: SocketAddr,
        own: &mpsc::WeakSender<Envelope>,
        activity: &Activity,
    ) {
        let mut checks = interval(IDLE_CHECK_INTERVAL);
        loop {
            checks.tick().await;
            if activity.is_idle() && self.forget_if_empty(address, own) {
                return;
            }
        }
    }

    /// Removes a link if its queue is empty. Messages are queued under the same lock, so none is lost.
    fn forget_if_empty(&self, address: SocketAddr, own: &mpsc::WeakSender<Envelope>) -> bool {
        let mut open = self.open.lock();
        let is_own = is_same_channel(open.get(&address), own);
        let is_empty = own
            .upgrade()
            .is_some_and(|s| s.capacity() == s.max_capacity());
        if is_own && is_empty {
            open.remove(&address);
            self.report_open(open.len());
        }
        is_own && is_empty
    }

    fn report_open(&self, count: usize) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.board.metrics.set(Gauge::LinksOpen, count);
    }
}

fn is_same_channel(link: Option<&LinkSender>, own: &mpsc::WeakSender<Envelope>) -> bool {
    match (link, own.upgrade()) {
        (Some(link), Some(own)) => link.sender.same_channel(&own),
        _ => false,
    }
}

impl std::fmt::Debug for Links {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Links").finish_non_exhaustive()
    }
}
