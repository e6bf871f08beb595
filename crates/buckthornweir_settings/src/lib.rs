//! Strict parsing of INI text. Each error names the file, line, key and allowed values, so that an
//! operator can correct the text without reading code.
//!
//! This crate parses the settings of the daemon, bundles, and the scenarios of the load tool.
//!
//! ```
//! use buckthornweir_settings::prelude::*;
//!
//! let text = "[node]\nname = agent-1\nport = 70000\n";
//! let mut document = Document::parse("node.ini", text)?;
//! let mut node = document.take("node")?;
//! let name: String = node.required("name", value::text)?;
//! assert_eq!(name, "agent-1");
//! let fault = node.required("port", value::port).unwrap_err();
//! assert_eq!(
//!     fault.to_string(),
//!     "node.ini:3: [node] port = \"70000\" is not allowed; allowed: a port from 1 to 65535"
//! );
//! # Ok::<(), Fault>(())
//! ```

mod document;
mod fault;
pub mod value;

pub use document::{Document, Section};
pub use fault::{Fault, Place, Result};

/// Commonly used items, for glob imports.
pub mod prelude {
    pub use crate::{Document, Fault, Section, value};
}
