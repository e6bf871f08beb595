//! Reads INI text with checks. Every fault names the file, the line, the key and what is allowed
//! there, so that an operator can mend the text without reading code.
//!
//! The daemon's settings, the bundle and the load tool's scenarios are all read through this
//! crate.
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

/// Names that most users of this crate import.
pub mod prelude {
    pub use crate::{Document, Fault, Section, value};
}
