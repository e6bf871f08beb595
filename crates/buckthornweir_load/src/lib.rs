//! The load and measuring tool: scenarios, processes, figures and reports.

/// Names that most users of this crate import.
pub mod prelude {}
