//! The replicated log of the control VMs: agreement, storage and snapshots.

/// Names that most users of this crate import.
pub mod prelude {}
