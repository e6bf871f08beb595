//! One caller's connection: its TCP stack behind a lock, and the task that drives its timers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use smoltcp::socket::tcp::Socket;
use tokio::sync::Notify;

use super::shards::Shards;
use super::stack::Stack;
use super::uplink::Uplink;
use super::{FabricConfig, Result};
use crate::clock::uptime;

/// How long a connection may take to close after its caller has dropped it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);

pub(crate) struct Connection {
    state: Mutex<ConnectionState>,
    changed: Notify,
    uplink: Arc<Uplink>,
}

struct ConnectionState {
    stack: Stack,
    due: Option<Duration>,
    reset: bool,
    silent: bool,
    /// When the connection is removed at the latest, set when its caller drops it.
    deadline: Option<Duration>,
}

impl Connection {
    /// Opens a connection and sends its first packet.
    pub(crate) fn open(
        local: SocketAddr,
        service: SocketAddr,
        number: u64,
        config: &FabricConfig,
        uplink: &Arc<Uplink>,
    ) -> Result<Arc<Self>> {
        let stack = Stack::connect(local, service, number, config, uptime())?;
        let due = Some(Duration::ZERO);
        let state = ConnectionState {
            stack,
            due,
            reset: false,
            silent: false,
            deadline: None,
        };
        Ok(Arc::new(Self {
            state: Mutex::new(state),
            changed: Notify::new(),
            uplink: uplink.clone(),
        }))
    }

    /// Handles a packet that is addressed to this connection.
    pub(crate) fn receive(&self, packet: &[u8], reset: bool) {
        let mut state = self.state.lock();
        if state.silent || self.uplink.drops_packet(state.stack.rng()) {
            return;
        }
        self.uplink.count_received();
        state.stack.receive(packet);
        let open = state.stack.socket().is_open();
        self.poll(&mut state);
        // The stack closes the socket only for a valid reset.
        if reset && open && !state.stack.socket().is_open() {
            state.reset = true;
        }
    }

    /// Calls a function with the socket and whether it was reset, then sends the packets that are
    /// ready.
    pub(crate) fn with_socket<R>(&self, f: impl FnOnce(&mut Socket<'static>, bool) -> R) -> R {
        let mut state = self.state.lock();
        let reset = state.reset;
        let result = f(state.stack.socket(), reset);
        self.poll(&mut state);
        result
    }

    /// Makes the caller stop sending and receiving, without a close or reset.
    pub(crate) fn silence(&self) {
        self.state.lock().silent = true;
    }

    /// Closes the connection. Its driver removes it when the close is complete.
    pub(crate) fn release(&self) {
        let mut state = self.state.lock();
        state.stack.socket().close();
        state.deadline = Some(uptime() + LINGER_TIMEOUT);
        self.poll(&mut state);
        drop(state);
        self.changed.notify_one();
    }

    fn poll(&self, state: &mut ConnectionState) {
        let now = uptime();
        let packets = state.stack.poll(now);
        if !state.silent {
            for packet in packets {
                self.uplink.send(&packet, state.stack.rng());
            }
        }
        let due = state.stack.due(now);
        let is_sooner = match (due, state.due) {
            (Some(new), Some(old)) => new < old,
            (Some(_), None) => true,
            (None, _) => false,
        };
        state.due = due;
        if is_sooner {
            self.changed.notify_one();
        }
    }

    /// Returns when the driver has to poll next, or `None` when the connection is finished.
    fn next_due(&self) -> Option<Duration> {
        let mut state = self.state.lock();
        let due = state.due.unwrap_or(Duration::MAX);
        let Some(deadline) = state.deadline else {
            return Some(due);
        };
        if state.stack.is_finished() || uptime() >= deadline {
            return None;
        }
        Some(due.min(deadline))
    }

    fn poll_due(&self) {
        self.poll(&mut self.state.lock());
    }
}

/// Polls a connection whenever it is due until it is finished, then removes it.
pub(crate) async fn drive(connection: Arc<Connection>, local: SocketAddr, shards: Arc<Shards>) {
    while let Some(due) = connection.next_due() {
        let delay = due.saturating_sub(uptime());
        tokio::select! {
            () = tokio::time::sleep(delay) => connection.poll_due(),
            () = connection.changed.notified() => {}
        }
    }
    shards.remove(local);
}
