//! What the core asks its caller to do, and what the caller announces.

use std::net::SocketAddr;

use crate::{BundleStamp, MemberState, Message, NodeId};

/// What the caller of the core must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a message in one UDP datagram.
    Send {
        /// The membership address of the receiver.
        to: SocketAddr,
        /// The message to encode and send.
        message: Message,
    },
    /// The record or health of a node changed.
    Updated {
        /// The node that changed.
        node: NodeId,
    },
    /// The node was dropped from the table.
    Removed {
        /// The node that was dropped.
        node: NodeId,
    },
    /// A newer bundle is to be pulled, and announced once it is in force.
    PullBundle {
        /// The node that holds the bundle.
        from: NodeId,
        /// The bundle to pull.
        stamp: BundleStamp,
    },
    /// Another process is to be sent [`Members::roster_request`](crate::Members::roster_request) over a
    /// connection; its answer goes to [`Members::take_roster`](crate::Members::take_roster).
    FetchRoster {
        /// Where that process takes connections.
        from: SocketAddr,
    },
    /// Another living process uses the node's id.
    Conflict {
        /// The membership address of the other process.
        other: SocketAddr,
        /// Whether this process keeps the id. The other one falls silent.
        keeps: bool,
    },
}

/// A change of the node's own record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announcement {
    /// The readiness changed.
    State(MemberState),
    /// The weight step changed. Values above the highest step count as the highest.
    Weight(u8),
    /// The number of free slots changed.
    Free(u32),
    /// A bundle came into force. Versions at or below the present one are ignored.
    Bundle(BundleStamp),
}
