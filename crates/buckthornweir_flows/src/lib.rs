//! Placement of flows on agents, their ownership, and one TCP stack per flow.
//!
//! A balancer holds no flow state: it parses a caller's packet ([`packet`]), looks up the agent that
//! the placement names ([`placement`]) and forwards the packet. The agent beside each backend server
//! owns its flows ([`ownership`]) and ends TCP in its own process, with one small stack per flow
//! ([`stack`]). Quiet flows move between agents ([`moving`]). Both decide by a view of the service's members ([`view`]). Balancers and agents talk in typed messages ([`messages`]).
//!
//! Nothing here does I/O, reads a clock or starts a thread. Time is a [`Duration`] since the start of
//! the process.
//!
//! [`Duration`]: std::time::Duration

pub mod balancer;
mod bounded;
mod hash;
pub mod messages;
pub mod moving;
pub mod ownership;
pub mod packet;
pub mod placement;
pub mod stack;
pub mod view;

/// Identifies a process of the system.
pub type NodeId = u64;

/// Names that most users of this crate import.
pub mod prelude {
    pub use crate::NodeId;
    pub use crate::balancer::{Balancer, BalancerView, Route};
    pub use crate::moving::{MoveAction, MoveSource, MoveTarget, QuietFlow};
    pub use crate::ownership::{Action, DropReason, OwnerLimits, Ownership};
    pub use crate::packet::{FiveTuple, PacketInfo, parse, reset_for};
    pub use crate::placement::{Candidate, Placement};
    pub use crate::stack::{FlowStack, ReadState, StackLimits, WriteState};
    pub use crate::view::{AgentView, Member, MemberState, ServiceView};
}
