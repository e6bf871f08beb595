//! The command-line client `buckthornweir`, with which operators check, sign and push bundles and
//! query the state of processes.
//!
//! Every command prints text, or JSON with `--json`, and exits with one of the [`Exit`] codes.

// `quick_error!` expands recursively with the number of variants of `Fault`.
#![recursion_limit = "256"]

mod client;
mod commands;
mod fault;
mod files;
mod options;
mod output;

pub use commands::run;
pub use fault::{Exit, Fault, Result};
pub use options::Arguments;

/// Commonly used items, for glob imports.
pub mod prelude {
    pub use crate::{Arguments, Exit, Fault, run};
}
