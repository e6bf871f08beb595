//! Placement of flows on agents, their ownership, and one TCP stack per flow.

/// Names that most users of this crate import.
pub mod prelude {}
