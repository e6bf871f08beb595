//! The time line of events, the hybrid logical clock, metrics and the set-up of logs.

/// Names that most users of this crate import.
pub mod prelude {}
