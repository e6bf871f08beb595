//! Actions that the core returns to its caller, and changes that the caller announces.

use std::net::SocketAddr;

use crate::{BundleStamp, MemberState, Message, NodeId};

/// An action that the caller of the core must execute.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a message in one UDP datagram.
    Send {
        /// The membership address of the receiver.
        to: SocketAddr,
        /// The message to encode and send.
        message: Message,
    },
    /// Reports that the record or health of a node changed.
    Updated {
        /// The node that changed.
        node: NodeId,
    },
    /// Reports that a node was removed from the table.
    Removed {
        /// The removed node.
        node: NodeId,
    },
    /// Pulls a newer bundle, which the caller announces once it is in force.
    PullBundle {
        /// The node to pull from.
        from: NodeId,
        /// The bundle to pull.
        stamp: BundleStamp,
    },
    /// Sends [`Members::roster_request`](crate::Members::roster_request) to another process over a
    /// connection. The caller passes the response to
    /// [`Members::handle_roster`](crate::Members::handle_roster).
    FetchRoster {
        /// The address at which that process accepts connections.
        from: SocketAddr,
    },
    /// Reports that another running process uses this node's id.
    Conflict {
        /// The membership address of the other process.
        other: SocketAddr,
        /// Whether this process keeps the id. The process that gives it up stops sending.
        keeps: bool,
    },
}

/// A change to the node's own record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announcement {
    /// The readiness changed.
    State(MemberState),
    /// The weight step changed. Values above [`MAX_WEIGHT`](crate::record::MAX_WEIGHT) are clamped.
    Weight(u8),
    /// The number of free slots changed.
    Free(u32),
    /// A bundle came into force. Versions at or below the current one are ignored.
    Bundle(BundleStamp),
}
