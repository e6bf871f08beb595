//! Inputs of a decision about a new flow, for log lines.

use std::net::SocketAddrV4;
use std::time::Duration;

/// What an agent knew when it passed on or rejected a new flow because of overload.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OverloadInputs {
    /// Expected wait of the flow at this agent; `None` if service times are unknown, or if the SYN
    /// was queued.
    pub wait: Option<Duration>,
    /// How long the SYN was queued; `None` if the decision was made at its arrival.
    pub waited: Option<Duration>,
    /// Expected service time of the request; `None` if unknown.
    pub service: Option<Duration>,
    /// Number of queued SYNs.
    pub queued: usize,
    /// Packet address of the best sibling; `None` if no sibling is eligible.
    pub sibling: Option<SocketAddrV4>,
    /// Age of the sibling's load; `None` if the load is unknown.
    pub load_age: Option<Duration>,
}
