//! Messages between processes: framing, authentication and encapsulation.

/// Names that most users of this crate import.
pub mod prelude {}
