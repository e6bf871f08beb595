//! Links to other processes. Each link has heartbeats and a silence timeout; a lost link is dialed
//! again for the next message. A link that carries only heartbeats is closed by the side that dialed
//! it.

mod accept;
mod dialed;
mod handoff;

use std::sync::Arc;
use std::time::{Duration, Instant};

use buckthornweir_events::Count;
use buckthornweir_wire::{Body, Envelope, Heartbeat, Link, LinkReader, LinkWriter};
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use crate::board::Blackboard;
use crate::dispatch::Dispatch;

pub(crate) use accept::listen;
pub(crate) use dialed::Links;
pub(crate) use handoff::{HandoffLink, open_handoff_link};

/// How often each side of a link sends a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// How long the peer may be silent before the link counts as lost.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// The same for an operator's client, which sends nothing while it waits for a reply. It is longer than
/// any request takes.
const CLIENT_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long dialing or accepting a link may take, authentication included.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a link that carries only heartbeats stays open.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum number of messages that are queued on one link.
const MAX_QUEUED: usize = 1_024;

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

    /// Queues a message, waiting while the queue is full. Returns false when the link is lost.
    pub(crate) async fn send_wait(&self, envelope: Envelope) -> bool {
        self.sender.send(envelope).await.is_ok()
    }

    /// Waits until the link is lost.
    pub(crate) async fn closed(&self) {
        self.sender.closed().await;
    }
}

/// The time when a link last carried a message other than a heartbeat.
#[derive(Debug)]
struct Activity(Mutex<Instant>);

impl Activity {
    fn new() -> Arc<Self> {
        Arc::new(Self(Mutex::new(Instant::now())))
    }

    fn record(&self) {
        *self.0.lock() = Instant::now();
    }

    fn is_idle(&self) -> bool {
        self.0.lock().elapsed() >= IDLE_TIMEOUT
    }
}

/// The context of one open link.
struct LinkContext {
    board: Arc<Blackboard>,
    dispatch: Arc<Dispatch>,
    replies: LinkSender,
    activity: Arc<Activity>,
}

impl LinkContext {
    fn new(board: &Arc<Blackboard>, dispatch: &Arc<Dispatch>, replies: LinkSender) -> Self {
        Self {
            board: board.clone(),
            dispatch: dispatch.clone(),
            replies,
            activity: Activity::new(),
        }
    }

    /// Runs both directions until one of them ends or `stop` is cancelled.
    async fn run(self, link: Link, receiver: mpsc::Receiver<Envelope>, stop: &CancellationToken) {
        let (reader, writer) = link.split();
        tokio::select! {
            () = stop.cancelled() => {}
            () = send_all(&self.board, writer, receiver, || self.activity.record()) => {}
            () = self.receive_all(reader) => {}
        }
    }

    async fn receive_all(&self, mut reader: LinkReader) {
        let mut silence_timeout = SILENCE_TIMEOUT;
        loop {
            let received = match timeout(silence_timeout, reader.receive()).await {
                Ok(Ok(envelope)) => envelope,
                Ok(Err(error)) => return count_if_forged(&self.board, &error),
                Err(_) => return,
            };
            silence_timeout = match received.body {
                Some(Body::Operator(_)) => CLIENT_SILENCE_TIMEOUT,
                _ => SILENCE_TIMEOUT,
            };
            self.board.observe(&received);
            if !matches!(received.body, Some(Body::Heartbeat(_))) {
                self.activity.record();
            }
            self.dispatch.receive(received, &self.replies);
        }
    }
}

/// Counts the error if it is an authentication failure.
fn count_if_forged(board: &Blackboard, error: &buckthornweir_wire::WireError) {
    if matches!(error, buckthornweir_wire::WireError::Forged) {
        board.metrics.count(Count::LinksForged);
    }
}

/// Sends queued messages and periodic heartbeats; calls `queued` for each queued message.
async fn send_all(
    board: &Blackboard,
    mut writer: LinkWriter,
    mut receiver: mpsc::Receiver<Envelope>,
    queued: impl Fn(),
) {
    let mut heartbeats = interval(HEARTBEAT_INTERVAL);
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let envelope = tokio::select! {
            received = receiver.recv() => match received {
                Some(envelope) => {
                    queued();
                    envelope
                }
                None => return,
            },
            _ = heartbeats.tick() => board.envelope(Body::Heartbeat(Heartbeat {})),
        };
        // Sends may succeed after the peer is gone; the silence timeout of the reader detects that.
        if writer.send(&envelope).await.is_err() {
            return;
        }
    }
}
