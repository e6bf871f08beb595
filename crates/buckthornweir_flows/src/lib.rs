//! Placement of flows on agents, their ownership, and one TCP stack per flow.
//!
//! A balancer holds no flow state: it parses a caller's packet ([`packet`]), looks up the agent that
//! the placement names ([`placement`]) and forwards the packet. The agent beside each backend server
//! owns its flows and ends TCP in its own process, with one small stack per flow ([`stack`]).
//! Balancers and agents talk in typed messages ([`messages`]).
//!
//! Nothing here does I/O, reads a clock or starts a thread. Time is a [`Duration`] since the start of
//! the process.
//!
//! [`Duration`]: std::time::Duration

mod hash;
pub mod messages;
pub mod packet;
pub mod placement;
pub mod stack;

/// Identifies a process of the system.
pub type NodeId = u64;

/// Names that most users of this crate import.
pub mod prelude {
    pub use crate::NodeId;
    pub use crate::packet::{FiveTuple, PacketInfo, parse, reset_for};
    pub use crate::placement::{Candidate, Placement};
    pub use crate::stack::{FlowStack, ReadState, StackLimits, WriteState};
}
