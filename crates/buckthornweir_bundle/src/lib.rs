//! The configuration bundle: its model, checks, canonical form, digest and signatures.

/// Names that most users of this crate import.
pub mod prelude {}
