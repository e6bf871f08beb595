//! One caller's connection: its stack under a lock, and the task that drives its timers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use smoltcp::socket::tcp::Socket;
use tokio::sync::Notify;

use super::shards::Shards;
use super::stack::Stack;
use super::uplink::Outlet;
use super::{FabricConfig, Result};
use crate::clock::uptime;

/// How long a connection that its caller has dropped may take to close.
const LINGER: Duration = Duration::from_secs(5);

pub(crate) struct Connection {
    state: Mutex<ConnectionState>,
    changed: Notify,
    outlet: Arc<Outlet>,
}

struct ConnectionState {
    stack: Stack,
    due: Option<Duration>,
    reset: bool,
    silent: bool,
    /// When the connection is dropped at the latest, once its caller has let go of it.
    deadline: Option<Duration>,
}

impl Connection {
    /// Opens a connection and sends its first packet.
    pub(crate) fn open(
        local: SocketAddr,
        service: SocketAddr,
        number: u64,
        config: &FabricConfig,
        outlet: &Arc<Outlet>,
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
            outlet: outlet.clone(),
        }))
    }

    /// Handles a packet that was addressed to this connection.
    pub(crate) fn receive(&self, packet: &[u8], reset: bool) {
        let mut state = self.state.lock();
        if state.silent || self.outlet.loses(state.stack.rng()) {
            return;
        }
        self.outlet.count_received();
        state.stack.receive(packet);
        let open = state.stack.socket().is_open();
        self.poll(&mut state);
        // Only a reset that the stack took as valid has closed it.
        if reset && open && !state.stack.socket().is_open() {
            state.reset = true;
        }
    }

    /// Calls a function on the socket, then sends what has become ready.
    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut Socket<'static>, bool) -> R) -> R {
        let mut state = self.state.lock();
        let reset = state.reset;
        let result = f(state.stack.socket(), reset);
        self.poll(&mut state);
        result
    }

    /// Makes the caller neither send nor receive any more, without a word to the other end.
    pub(crate) fn silence(&self) {
        self.state.lock().silent = true;
    }

    /// Closes the connection and lets its driver drop it when that is done.
    pub(crate) fn release(&self) {
        let mut state = self.state.lock();
        state.stack.socket().close();
        state.deadline = Some(uptime() + LINGER);
        self.poll(&mut state);
        drop(state);
        self.changed.notify_one();
    }

    fn poll(&self, state: &mut ConnectionState) {
        let now = uptime();
        let packets = state.stack.poll(now);
        if !state.silent {
            for packet in packets {
                self.outlet.send(&packet, state.stack.rng());
            }
        }
        let due = state.stack.due(now);
        let sooner = match (due, state.due) {
            (Some(new), Some(old)) => new < old,
            (Some(_), None) => true,
            (None, _) => false,
        };
        state.due = due;
        if sooner {
            self.changed.notify_one();
        }
    }

    /// Returns when the driver has to act, or nothing when the connection is over.
    fn next_due(&self) -> Option<Duration> {
        let mut state = self.state.lock();
        let due = state.due.unwrap_or(Duration::MAX);
        let Some(deadline) = state.deadline else {
            return Some(due);
        };
        if state.stack.is_over() || uptime() >= deadline {
            return None;
        }
        Some(due.min(deadline))
    }

    fn poll_due(&self) {
        self.poll(&mut self.state.lock());
    }
}

/// Polls a connection whenever it is due, until it is over.
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
