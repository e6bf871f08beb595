//! The operators' client `buckthornweir`: reads, signs and pushes bundles, and asks processes how
//! they stand.
//!
//! Every command prints a table for people, or JSON for scripts with `--json`, and ends with one of
//! the [`Exit`] codes.

mod client;
mod commands;
mod fault;
mod files;
mod options;
mod output;

pub use commands::run;
pub use fault::{Exit, Fault, Result};
pub use options::Arguments;

/// Names that most users of this crate import.
pub mod prelude {
    pub use crate::{Arguments, Exit, Fault, run};
}
