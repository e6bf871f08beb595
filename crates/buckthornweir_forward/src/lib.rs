//! Forwarding decisions for the packets of `forward` services.
//!
//! The agent of a `forward` service passes packets on to its local backend server, which terminates
//! the flows. A backend server returns every packet of a flow that it does not hold and is
//! therefore the final authority on flow ownership.
//!
//! A balancer ([`balancer`]) keeps no flow state: rendezvous hashing over a service's agents
//! ([`peers`]) selects the agent of a packet, and a bounded number of hints records the exceptions.
//! An agent ([`agent`]) tracks the flows of its backend server ([`flows`]), admits new ones
//! ([`backend`]), passes on those that it can't accept, and looks up the owners of unknown flows.
//! The [`plan`] assigns services to addresses. A [`ranking`] explains the choice of an agent.
//!
//! This crate does no I/O, reads no clock and starts no threads. Time is a [`Duration`] since the
//! start of the process.
//!
//! [`Duration`]: std::time::Duration

pub mod absences;
pub mod admission_queue;
pub mod agent;
pub mod backend;
pub mod balancer;
pub mod changes;
pub mod flows;
pub mod hedging;
pub mod loads;
mod lookup;
pub mod peers;
pub mod plan;
pub mod ranking;
pub mod segment;
pub mod service_times;
pub mod speed;
mod syn_queue;
pub mod tag;
mod weighted;

/// Identifies a process of the system.
pub type NodeId = u64;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::NodeId;
    pub use crate::absences::{Absence, Absences};
    pub use crate::agent::{Action, Agent, AgentConfig, Answer, DropReason, Question, Reply};
    pub use crate::backend::{Admission, Backend, Presence, Report, ReportState};
    pub use crate::balancer::{Balancer, Decision, Loss};
    pub use crate::changes::{Changes, Span};
    pub use crate::hedging::{Denial, Hedge, Hedging};
    pub use crate::loads::{Load, Loads};
    pub use crate::peers::{Peer, Peers};
    pub use crate::plan::{Class, OverloadPolicy, Plan, RequestKind, Route, Service, Split};
    pub use crate::ranking::{Choice, RankedPeer, Ranking, rank};
    pub use crate::segment::{FlowKey, Segment};
    pub use crate::speed::Speed;
    pub use crate::tag::Tag;
}
