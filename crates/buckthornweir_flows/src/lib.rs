//! Placement of flows on agents, their ownership, and one TCP stack per flow.
//!
//! A balancer holds no flow state: it parses a caller's packet ([`packet`]), looks up the owner in
//! the placement table ([`placement`]) and forwards the packet. The agent next to each backend
//! server owns its flows ([`ownership`]) and terminates TCP in its own process, with one small
//! stack per flow ([`stack`]). Quiet flows can move between agents ([`moving`]). Balancers and
//! agents base their decisions on a view of the service's members ([`view`]) and exchange typed
//! messages ([`messages`]). The rank of each agent for a new flow ([`ranking`]) also explains the choice
//! to operators.
//!
//! This crate does no I/O, reads no clock and starts no thread. Time is a [`Duration`] since the
//! start of the process.
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
pub mod ranking;
pub mod stack;
pub mod view;

/// Identifies a process of the cluster.
pub type NodeId = u64;

/// Commonly used types and functions of this crate.
pub mod prelude {
    pub use crate::NodeId;
    pub use crate::balancer::{Balancer, BalancerView, Route};
    pub use crate::moving::{MoveAction, MoveSource, MoveTarget, QuietFlow};
    pub use crate::ownership::{Action, DropReason, OwnerLimits, Ownership};
    pub use crate::packet::{FiveTuple, PacketInfo, parse, reset_for};
    pub use crate::placement::{Candidate, Placement};
    pub use crate::ranking::{RankedMember, Verdict};
    pub use crate::stack::{FlowStack, ReadState, StackLimits, WriteState};
    pub use crate::view::{AgentView, Member, MemberState, ServiceView};
}
