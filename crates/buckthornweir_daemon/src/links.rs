//! Links to other processes. Each has a heartbeat and a limit of silence; a silent or lost link is
//! replaced at the next message. A link that carries nothing but heartbeats is closed by the end that
//! dialed it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use buckthornweir_events::{Count, EventKind, Gauge};
use buckthornweir_requests::messages::RequestBody;
use buckthornweir_wire::{Body, Envelope, Heartbeat, Link, LinkReader, LinkWriter, NodeId};
use parking_lot::Mutex;
use smol_str::ToSmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::board::Blackboard;
use crate::dispatch::Dispatch;
use crate::fault::{DaemonError, Result};

/// How often a heartbeat is sent.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// How long the other end may be silent.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// How long a link may take to come up.
const DIAL_LIMIT: Duration = Duration::from_secs(1);

/// How long a link stays open that carries nothing but heartbeats.
pub(crate) const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// How often a link is looked at, whether it is idle.
const IDLE_LOOK: Duration = Duration::from_secs(1);

/// How many messages may wait on one link.
const WAITING: usize = 1_024;

/// How many parts of an answer may wait for a slow caller.
const PARTS: usize = 16;

/// How many links may be open at a time.
const LINK_LIMIT: usize = 8_192;

/// Sends messages over one link.
#[derive(Clone, Debug)]
pub(crate) struct LinkSender {
    sender: mpsc::Sender<Envelope>,
}

impl LinkSender {
    /// Queues a message. Returns false when the link is lost or its queue is full.
    pub(crate) fn send(&self, envelope: Envelope) -> bool {
        self.sender.try_send(envelope).is_ok()
    }

    /// Queues a message, waiting for room. Returns false when the link is lost.
    pub(crate) async fn send_wait(&self, envelope: Envelope) -> bool {
        self.sender.send(envelope).await.is_ok()
    }

    /// Waits until the link is lost.
    pub(crate) async fn closed(&self) {
        self.sender.closed().await;
    }
}

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
    let activity = Activity::new();
    runtime.spawn(async move {
        tokio::select! {
            () = over.cancelled() => {}
            () = send_all(&board, writer, receiver, &activity) => {}
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

/// The links that this process dials.
pub(crate) struct Links {
    board: Arc<Blackboard>,
    dispatch: Arc<Dispatch>,
    runtime: Handle,
    stop: CancellationToken,
    open: Mutex<HashMap<SocketAddr, LinkSender>>,
}

impl Links {
    /// Returns an empty set of links.
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

    /// Queues a message to the member `peer` on a link that is dialed when there is none. Returns
    /// false when the message will certainly not be sent.
    pub(crate) fn send(self: &Arc<Self>, peer: NodeId, body: Body) -> bool {
        match self.board.member(peer) {
            Some(member) => self.queue(member.record.control, Some(peer), body),
            None => false,
        }
    }

    /// Queues a message to the process at `address`, as [`Links::send`] does.
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
        self.show_open(open.len());
        queued
    }

    fn dial(self: &Arc<Self>, address: SocketAddr, peer: Option<NodeId>) -> LinkSender {
        let (sender, receiver) = mpsc::channel(WAITING);
        let links = self.clone();
        let own = sender.downgrade();
        let back = LinkSender {
            sender: sender.clone(),
        };
        self.runtime.spawn(async move {
            let key = &links.board.settings.node.key;
            if let Ok(link) = Link::dial(address, key, DIAL_LIMIT).await {
                let parts = LinkParts::new(&links.board, &links.dispatch, back);
                let activity = parts.activity.clone();
                tokio::select! {
                    () = parts.run(link, receiver, &links.stop) => {}
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
}

impl Links {
    /// Forgets a link that has ended, unless another has taken its place.
    fn forget(&self, address: SocketAddr, ended: &mpsc::WeakSender<Envelope>) {
        let mut open = self.open.lock();
        if is_same(open.get(&address), ended) {
            open.remove(&address);
            self.show_open(open.len());
        }
    }

    /// Returns once a link has been idle for long and has been forgotten.
    async fn until_idle(
        &self,
        address: SocketAddr,
        own: &mpsc::WeakSender<Envelope>,
        activity: &Activity,
    ) {
        let mut looks = interval(IDLE_LOOK);
        loop {
            looks.tick().await;
            if activity.is_idle() && self.forget_empty(address, own) {
                return;
            }
        }
    }

    /// Forgets a link on which no message waits; messages are queued under the same lock.
    fn forget_empty(&self, address: SocketAddr, own: &mpsc::WeakSender<Envelope>) -> bool {
        let mut open = self.open.lock();
        let is_own = is_same(open.get(&address), own);
        let is_empty = own
            .upgrade()
            .is_some_and(|s| s.capacity() == s.max_capacity());
        if is_own && is_empty {
            open.remove(&address);
            self.show_open(open.len());
        }
        is_own && is_empty
    }

    fn show_open(&self, count: usize) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.board.metrics.set(Gauge::LinksOpen, count);
    }
}

fn is_same(link: Option<&LinkSender>, own: &mpsc::WeakSender<Envelope>) -> bool {
    match (link, own.upgrade()) {
        (Some(link), Some(own)) => link.sender.same_channel(&own),
        _ => false,
    }
}

/// When a link last carried anything but a heartbeat.
#[derive(Debug)]
struct Activity(Mutex<Instant>);

impl Activity {
    fn new() -> Arc<Self> {
        Arc::new(Self(Mutex::new(Instant::now())))
    }

    fn note(&self) {
        *self.0.lock() = Instant::now();
    }

    fn is_idle(&self) -> bool {
        self.0.lock().elapsed() >= IDLE_LIMIT
    }
}

impl std::fmt::Debug for Links {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Links").finish_non_exhaustive()
    }
}

/// Starts taking links of other processes and of operators.
///
/// # Errors
///
/// Returns an error when the address cannot be taken.
pub(crate) async fn listen(
    board: &Arc<Blackboard>,
    dispatch: &Arc<Dispatch>,
    runtime: &Handle,
    stop: &CancellationToken,
) -> Result<()> {
    let address = board.settings.node.control.bind;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| DaemonError::Bind {
            what: "control",
            address,
            source,
        })?;
    let acceptor = Acceptor {
        board: board.clone(),
        dispatch: dispatch.clone(),
        runtime: runtime.clone(),
        stop: stop.clone(),
        open: Arc::new(tokio::sync::Semaphore::new(LINK_LIMIT)),
    };
    runtime.spawn(async move { acceptor.run(listener).await });
    Ok(())
}

struct Acceptor {
    board: Arc<Blackboard>,
    dispatch: Arc<Dispatch>,
    runtime: Handle,
    stop: CancellationToken,
    open: Arc<tokio::sync::Semaphore>,
}

impl Acceptor {
    async fn run(self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            if let Ok((stream, _)) = accepted {
                self.take(stream);
            }
        }
    }

    fn take(&self, stream: TcpStream) {
        let Ok(permit) = self.open.clone().try_acquire_owned() else {
            return;
        };
        let board = self.board.clone();
        let dispatch = self.dispatch.clone();
        let stop = self.stop.clone();
        self.runtime.spawn(async move {
            let _permit = permit;
            let key = &board.settings.node.key;
            let link = match Link::accept(stream, key, DIAL_LIMIT).await {
                Ok(link) => link,
                Err(error) => return note(&board, &error),
            };
            let (sender, receiver) = mpsc::channel(WAITING);
            let parts = LinkParts::new(&board, &dispatch, LinkSender { sender });
            parts.run(link, receiver, &stop).await;
        });
    }
}

/// What one open link works with.
struct LinkParts {
    board: Arc<Blackboard>,
    dispatch: Arc<Dispatch>,
    back: LinkSender,
    activity: Arc<Activity>,
}

impl LinkParts {
    fn new(board: &Arc<Blackboard>, dispatch: &Arc<Dispatch>, back: LinkSender) -> Self {
        Self {
            board: board.clone(),
            dispatch: dispatch.clone(),
            back,
            activity: Activity::new(),
        }
    }

    /// Runs both directions until either ends or `stop` is cancelled.
    async fn run(self, link: Link, receiver: mpsc::Receiver<Envelope>, stop: &CancellationToken) {
        let (reader, writer) = link.split();
        tokio::select! {
            () = stop.cancelled() => {}
            () = send_all(&self.board, writer, receiver, &self.activity) => {}
            () = self.receive_all(reader) => {}
        }
    }

    async fn receive_all(&self, mut reader: LinkReader) {
        loop {
            let received = match timeout(SILENCE_LIMIT, reader.receive()).await {
                Ok(Ok(envelope)) => envelope,
                Ok(Err(error)) => return note(&self.board, &error),
                Err(_) => return,
            };
            self.board.observe(&received);
            if !matches!(received.body, Some(Body::Heartbeat(_))) {
                self.activity.note();
            }
            self.dispatch.receive(received, &self.back);
        }
    }
}

/// Counts a link that fails authentication.
fn note(board: &Blackboard, error: &buckthornweir_wire::WireError) {
    if matches!(error, buckthornweir_wire::WireError::Forged) {
        board.metrics.count(Count::LinksForged);
    }
}

async fn send_all(
    board: &Blackboard,
    mut writer: LinkWriter,
    mut receiver: mpsc::Receiver<Envelope>,
    activity: &Activity,
) {
    let mut beats = interval(HEARTBEAT);
    beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let envelope = tokio::select! {
            queued = receiver.recv() => match queued {
                Some(envelope) => {
                    activity.note();
                    envelope
                }
                None => return,
            },
            _ = beats.tick() => board.envelope(Body::Heartbeat(Heartbeat {})),
        };
        // An end that is gone shows by its silence in the other direction.
        if writer.send(&envelope).await.is_err() {
            return;
        }
    }
}
