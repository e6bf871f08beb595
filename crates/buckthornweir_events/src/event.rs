//! The events on the timeline.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::clock::Stamp;

/// One event of one process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Event {
    /// The time of the event.
    pub stamp: Stamp,
    /// The name of the process.
    pub node: SmolStr,
    /// What happened.
    pub kind: EventKind,
}

/// The kind of an event with its details.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum EventKind {
    /// The process started.
    Started,
    /// The process was asked to stop.
    Stopping,
    /// The process stopped.
    Stopped,
    /// A bundle came into force at this process.
    BundleApplied {
        /// The version of the bundle.
        version: u64,
    },
    /// A bundle was refused.
    BundleRefused {
        /// The version of the bundle.
        version: u64,
        /// The reason for the refusal.
        reason: SmolStr,
    },
    /// This process started to treat a failure domain as out.
    DomainOut {
        /// The name of the failure domain.
        domain: SmolStr,
    },
    /// This process started to treat a failure domain as in again.
    DomainBack {
        /// The name of the failure domain.
        domain: SmolStr,
    },
    /// The state of another process changed.
    MemberChanged {
        /// The name of the other process.
        member: SmolStr,
        /// The new state.
        state: SmolStr,
    },
    /// The role of a control VM in the quorum changed.
    RoleChanged {
        /// The new role, such as leader, follower or learner.
        role: SmolStr,
        /// The term of the control log.
        term: u64,
    },
    /// A long-lived link was lost and will be replaced.
    LinkLost {
        /// The peer of the link.
        peer: SmolStr,
    },
    /// The state of the backend server changed.
    BackendChanged {
        /// The new state: cold, ready or draining.
        state: SmolStr,
    },
    /// A flow was aborted with a reset.
    FlowReset {
        /// The flow: its caller and service addresses.
        flow: SmolStr,
        /// The reason for the reset.
        reason: SmolStr,
    },
    /// Flows were handed over to another agent.
    FlowsMoved {
        /// The number of flows.
        count: u64,
        /// The agent that owns the flows now.
        to: SmolStr,
    },
    /// A request ended with an unknown outcome.
    RequestEnded {
        /// The ID of the request.
        request: SmolStr,
        /// The reason for the unknown outcome.
        reason: SmolStr,
    },
}

impl EventKind {
    /// The names of all kinds.
    pub const NAMES: [&'static str; 14] = [
        "started",
        "stopping",
        "stopped",
        "bundle-applied",
        "bundle-refused",
        "domain-out",
        "domain-back",
        "member-changed",
        "role-changed",
        "link-lost",
        "backend-changed",
        "flow-reset",
        "flows-moved",
        "request-ended",
    ];

    /// Returns the name of the kind, as in JSON and in the `--kind` option of the client.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Stopping => "stopping",
            Self::Stopped => "stopped",
            Self::BundleApplied { .. } => "bundle-applied",
            Self::BundleRefused { .. } => "bundle-refused",
            Self::DomainOut { .. } => "domain-out",
            Self::DomainBack { .. } => "domain-back",
            Self::MemberChanged { .. } => "member-changed",
            Self::RoleChanged { .. } => "role-changed",
            Self::LinkLost { .. } => "link-lost",
            Self::BackendChanged { .. } => "backend-changed",
            Self::FlowReset { .. } => "flow-reset",
            Self::FlowsMoved { .. } => "flows-moved",
            Self::RequestEnded { .. } => "request-ended",
        }
    }

    /// Returns the flow or request that the event concerns, if any.
    pub fn subject(&self) -> Option<&SmolStr> {
        match self {
            Self::FlowReset { flow, .. } => Some(flow),
            Self::RequestEnded { request, .. } => Some(request),
            _ => None,
        }
    }
}
