//! Decisions about the packets of `forward` services.
//!
//! The agent of a `forward` service passes packets on to the backend server beside it, and the backend
//! server ends the flow itself. A backend server returns every packet of a flow that it does not hold,
//! which makes it the last word on who owns a flow.
//!
//! A balancer ([`balancer`]) holds no flow state: rendezvous hashing over a service's agents ([`peers`])
//! names the agent of a packet, and bounded hints remember the exceptions. An agent ([`agent`]) keeps
//! the flows of its backend server ([`flows`]), admits new ones ([`backend`]), passes on what it can't
//! take, and looks up the owners of flows that it doesn't know. What runs where follows from the
//! [`plan`].
//!
//! Nothing here does I/O, reads a clock or starts a thread. Time is a [`Duration`] since the start of
//! the process.
//!
//! [`Duration`]: std::time::Duration

pub mod absences;
pub mod agent;
pub mod backend;
pub mod balancer;
pub mod flows;
mod lookup;
pub mod peers;
pub mod plan;
pub mod segment;
pub mod tag;
mod waiting;

/// Identifies a process of the system.
pub type NodeId = u64;

/// Names that most users of this crate import.
pub mod prelude {
    pub use crate::NodeId;
    pub use crate::absences::{Absence, Absences};
    pub use crate::agent::{Action, Agent, AgentConfig, Answer, DropReason, Question, Reply};
    pub use crate::backend::{Admission, Backend, Presence, Report, ReportState};
    pub use crate::balancer::{Balancer, Decision, Loss};
    pub use crate::peers::{Peer, Peers};
    pub use crate::plan::{Plan, Route, Service, Split};
    pub use crate::segment::{FlowKey, Segment};
    pub use crate::tag::Tag;
}
