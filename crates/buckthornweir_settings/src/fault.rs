//! Errors of reading and parsing INI text.

use std::fmt;
use std::io;

use quick_error::quick_error;
use smol_str::SmolStr;

/// The result of reading or parsing INI text.
pub type Result<T> = std::result::Result<T, Fault>;

/// The location of a fault in an INI text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The name of the file.
    pub file: SmolStr,
    /// The line number, starting at 1.
    pub line: u32,
    /// The header of the section, without brackets.
    pub section: SmolStr,
    /// The key, or empty for the section as a whole.
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
    /// Why an INI text could not be read or parsed.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick_error does not support docs on fields")]
    pub enum Fault {
        /// The file could not be read.
        Unreadable { file: SmolStr, source: io::Error } {
            display("{file}: cannot be read: {source}")
            source(source)
        }
        /// A line is not a section header, a key with a value, a comment or blank, or a key precedes
        /// the first section.
        Syntax { file: SmolStr, line: u32, text: SmolStr } {
            display("{file}:{line}: \"{text}\" is not allowed; \
                     allowed: [section], key = value, ; comment")
        }
        /// The text has a section that is not defined for this kind of file.
        UnknownSection { place: Box<Place>, allowed: SmolStr } {
            display("{place} is not a known section; allowed: {allowed}")
        }
        /// A required section is missing.
        MissingSection { file: SmolStr, section: SmolStr } {
            display("{file}: section [{section}] is missing")
        }
        /// The text has a key that is not defined for its section.
        UnknownKey { place: Box<Place>, allowed: SmolStr } {
            display("{place} is not a known key; allowed: {allowed}")
        }
        /// A required key is missing; `place` has the line of the section header.
        MissingKey { place: Box<Place> } {
            display("{place} is missing")
        }
        /// A section, or a key within one section, is duplicated.
        Duplicate { place: Box<Place>, first: u32 } {
            display("{place} stands twice, first on line {first}; allowed: once")
        }
        /// The value of a key is invalid.
        BadValue { place: Box<Place>, value: SmolStr, allowed: SmolStr } {
            display("{place} = \"{value}\" is not allowed; allowed: {allowed}")
        }
    }
}
