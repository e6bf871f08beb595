//! The operators' command-line client.

/// Names that most users of this crate import.
pub mod prelude {}
