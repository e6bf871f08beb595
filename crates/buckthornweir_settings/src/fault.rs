//! What can be wrong with an INI text.

use std::fmt;
use std::io;

use quick_error::quick_error;
use smol_str::SmolStr;

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Fault>;

/// Where in an INI text a fault is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The name of the file.
    pub file: SmolStr,
    /// The line, from 1.
    pub line: u32,
    /// The section's header without its brackets.
    pub section: SmolStr,
    /// The key, or empty for the section itself.
    pub key: SmolStr,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: [{}]", self.file, self.line, self.section)?;
        if self.key.is_empty() {
            return Ok(());
        }
        write!(f, " {}", self.key)
    }
}

quick_error! {
    /// A fault in an INI text.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick_error takes no docs on fields")]
    pub enum Fault {
        /// The file could not be read.
        Unreadable { file: SmolStr, source: io::Error } {
            display("{file}: cannot be read: {source}")
            source(source)
        }
        /// A line is neither a section, a key with a value, a comment nor blank.
        Syntax { file: SmolStr, line: u32, text: SmolStr } {
            display("{file}:{line}: \"{text}\" is not allowed; \
                     allowed: [section], key = value, ; comment")
        }
        /// A section that this kind of file does not have.
        UnknownSection { place: Box<Place>, allowed: SmolStr } {
            display("{place} is not a known section; allowed: {allowed}")
        }
        /// A section that must be there is missing.
        MissingSection { file: SmolStr, section: SmolStr } {
            display("{file}: section [{section}] is missing")
        }
        /// A key that this section does not have.
        UnknownKey { place: Box<Place>, allowed: SmolStr } {
            display("{place} is not a known key; allowed: {allowed}")
        }
        /// A key that must be there is missing; the line is that of its section.
        MissingKey { place: Box<Place> } {
            display("{place} is missing")
        }
        /// The same section, or the same key in one section, stands twice.
        Duplicate { place: Box<Place>, first: u32 } {
            display("{place} stands twice, first on line {first}; allowed: once")
        }
        /// A value that this key does not take.
        BadValue { place: Box<Place>, value: SmolStr, allowed: SmolStr } {
            display("{place} = \"{value}\" is not allowed; allowed: {allowed}")
        }
    }
}
