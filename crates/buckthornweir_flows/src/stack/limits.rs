//! Limits of one flow.

use std::time::Duration;

/// Limits of one flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StackLimits {
    /// Size of the receive buffer in bytes.
    pub receive: usize,
    /// Size of the send buffer in bytes.
    pub send: usize,
    /// Time after which a flow ends whose caller answers no keep-alive probe.
    pub idle: Duration,
    /// Time after which a handshake that isn't over fails.
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
    /// Returns the limits with another size of the receive buffer, in bytes.
    pub fn with_receive(mut self, receive: usize) -> Self {
        self.receive = receive;
        self
    }

    /// Returns the limits with another size of the send buffer, in bytes.
    pub fn with_send(mut self, send: usize) -> Self {
        self.send = send;
        self
    }

    /// Returns the limits with another time for callers that are silent.
    pub fn with_idle(mut self, idle: Duration) -> Self {
        self.idle = idle;
        self
    }

    /// Returns the limits with another time for the handshake.
    pub fn with_handshake(mut self, handshake: Duration) -> Self {
        self.handshake = handshake;
        self
    }
}
