//! Small stand-ins at the interfaces: a fabric with callers, and a backend server.

/// Names that most users of this crate import.
pub mod prelude {}
