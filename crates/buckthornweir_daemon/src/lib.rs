//! The daemon: its roles, blackboard, controllers and sockets.

/// Names that most users of this crate import.
pub mod prelude {}
