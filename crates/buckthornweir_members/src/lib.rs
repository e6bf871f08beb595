//! Membership of all processes and the dissemination of their records.

/// Names that most users of this crate import.
pub mod prelude {}
