//! Links to other processes. Each has a heartbeat and a limit of silence; a silent or lost link is
//! replaced at the next message. A link that carries nothing but heartbeats is closed by the end that
//! dialed it.

mod accept;
mod dialed;
mod hand;

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
pub(crate) use hand::{HandLink, open_hand_link};

/// How often a heartbeat is sent.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// How long the other end may be silent.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// How long a link may take to come up.
const DIAL_LIMIT: Duration = Duration::from_secs(1);

/// How long a link stays open that carries nothing but heartbeats.
pub(crate) const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// How many messages may wait on one link.
const WAITING: usize = 1_024;

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
            () = send_all(&self.board, writer, receiver, || self.activity.note()) => {}
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

/// Sends queued messages, and heartbeats in between; `queued` is called for each message.
async fn send_all(
    board: &Blackboard,
    mut writer: LinkWriter,
    mut receiver: mpsc::Receiver<Envelope>,
    queued: impl Fn(),
) {
    let mut beats = interval(HEARTBEAT);
    beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let envelope = tokio::select! {
            received = receiver.recv() => match received {
                Some(envelope) => {
                    queued();
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
