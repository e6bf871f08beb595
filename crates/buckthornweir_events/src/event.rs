//! The kinds of events on the time line.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::clock::Stamp;

/// One event of one process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Event {
    /// When it happened.
    pub stamp: Stamp,
    /// The name of the process.
    pub node: SmolStr,
    /// What happened.
    pub kind: EventKind,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum EventKind {
    /// The process started.
    Started,
    /// The process was asked to stop.
    Stopping,
    /// The process ends.
    Stopped,
    /// A bundle is in force at this process.
    BundleApplied {
        /// Its version.
        version: u64,
    },
    /// A bundle was refused.
    BundleRefused {
        /// Its version.
        version: u64,
        /// Why.
        reason: SmolStr,
    },
    /// A failure domain went out at this process.
    DomainOut {
        /// Its name.
        domain: SmolStr,
    },
    /// A failure domain came back at this process.
    DomainBack {
        /// Its name.
        domain: SmolStr,
    },
    /// Another process changed its state.
    MemberChanged {
        /// Its name.
        member: SmolStr,
        /// Its new state.
        state: SmolStr,
    },
    /// A control VM became leader, follower or learner.
    RoleChanged {
        /// The new role.
        role: SmolStr,
        /// The term.
        term: u64,
    },
    /// A long-lived connection was given up and will be replaced.
    LinkLost {
        /// The other end.
        peer: SmolStr,
    },
    /// The backend server turned cold, ready or draining.
    BackendChanged {
        /// The new state.
        state: SmolStr,
    },
    /// A flow was given up with a reset.
    FlowReset {
        /// The flow, caller and service address.
        flow: SmolStr,
        /// Why.
        reason: SmolStr,
    },
    /// Flows moved to another agent.
    FlowsMoved {
        /// How many.
        count: u64,
        /// The agent that owns them now.
        to: SmolStr,
    },
    /// A request ended with an unknown outcome.
    RequestEnded {
        /// The request's id.
        request: SmolStr,
        /// Why.
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

    /// Returns the name that `--kind` takes.
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

    /// Returns the flow or request that the event is about, if any.
    pub fn subject(&self) -> Option<&SmolStr> {
        match self {
            Self::FlowReset { flow, .. } => Some(flow),
            Self::RequestEnded { request, .. } => Some(request),
            _ => None,
        }
    }
}
