//! Limits of one flow.

use std::time::Duration;

/// Limits of one flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StackLimits {
    /// Size of the receive buffer in bytes.
    pub receive: usize,
    /// Size of the send buffer in bytes.
    pub send: usize,
    /// Time until a flow is reset if the caller doesn't answer keep-alive probes.
    pub idle: Duration,
    /// Time until an incomplete handshake fails.
    pub handshake: Duration,
}

impl Default for StackLimits {
    fn default() -> Self {
        Self {
            receive: 4 * 1024,
            send: 8 * 1024,
            idle: Duration::from_secs(60),
            handshake: Duration::from_secs(5),
        }
    }
}

impl StackLimits {
    /// Sets the size of the receive buffer in bytes.
    pub fn with_receive(mut self, receive: usize) -> Self {
        self.receive = receive;
        self
    }

    /// Sets the size of the send buffer in bytes.
    pub fn with_send(mut self, send: usize) -> Self {
        self.send = send;
        self
    }

    /// Sets the idle timeout.
    pub fn with_idle(mut self, idle: Duration) -> Self {
        self.idle = idle;
        self
    }

    /// Sets the handshake timeout.
    pub fn with_handshake(mut self, handshake: Duration) -> Self {
        self.handshake = handshake;
        self
    }
}
