//! Decisions about a request: admission, hand-off, retries and idempotency.

/// Names that most users of this crate import.
pub mod prelude {}
