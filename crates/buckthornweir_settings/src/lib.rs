//! Reads INI text with checks that name the file, line and key of each fault.

/// Names that most users of this crate import.
pub mod prelude {}
