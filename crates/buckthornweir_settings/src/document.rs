//! An INI document from which sections and keys are removed as they are read; remaining ones are
//! reported as unknown.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, ErrorKind, Read};
use std::path::Path;

use ini_core::{Item, Parser};
use smol_str::{SmolStr, ToSmolStr};

use crate::fault::{Fault, Place, Result};

/// The maximum size of a text in bytes.
const MAX_TEXT_BYTES: usize = 4 << 20;

/// The maximum length of an excerpt in an error message, in characters.
const MAX_EXCERPT_CHARS: usize = 100;

/// One `key = value` line.
#[derive(Clone, Debug)]
struct Entry {
    key: SmolStr,
    value: SmolStr,
    line: u32,
}

/// A parsed INI document.
#[derive(Clone, Debug)]
pub struct Document {
    file: SmolStr,
    sections: Vec<Section>,
}

/// One section of a document.
///
/// A header `[service orders]` has the kind `service` and the label `orders`.
#[derive(Clone, Debug)]
pub struct Section {
    file: SmolStr,
    name: SmolStr,
    line: u32,
    entries: Vec<Entry>,
    lookups: Vec<Lookup>,
}

/// A key that was looked up, with its line in the text if it was found.
#[derive(Clone, Copy, Debug)]
struct Lookup {
    key: &'static str,
    line: Option<u32>,
}

/// The line of the first occurrence of each section, or of each key in the current section.
type FirstLines = HashMap<SmolStr, u32>;

impl Document {
    /// Reads and parses the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Unreadable`] when the file cannot be read, and the errors of
    /// [`Document::parse`].
    pub fn read(path: &Path) -> Result<Self> {
        let file = path.display().to_smolstr();
        let text = match read_limited(path) {
            Ok(text) => text,
            Err(source) => return Err(Fault::Unreadable { file, source }),
        };
        Self::parse(file, &text)
    }

    /// Parses `text`; `file` is the file name in error messages.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Unreadable`] for a text over the size limit, [`Fault::Syntax`] for a malformed
    /// line, and [`Fault::Duplicate`] for a duplicate section or key.
    pub fn parse(file: impl Into<SmolStr>, text: &str) -> Result<Self> {
        let file = file.into();
        if text.len() > MAX_TEXT_BYTES {
            let source = ErrorKind::FileTooLarge.into();
            return Err(Fault::Unreadable { file, source });
        }
        let mut sections: Vec<Section> = Vec::new();
        let mut headers = FirstLines::new();
        let mut keys = FirstLines::new();
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let mut parser = Parser::new(text).auto_trim(true);
        while let Some(item) = parser.next() {
            let line = parser.line();
            match item {
                Item::Blank | Item::Comment(_) | Item::SectionEnd => {}
                Item::Section(header) => {
                    let section = Section::new(&file, header, line);
                    check_unique(&mut headers, &section.name, section.place("", line))?;
                    sections.push(section);
                    keys.clear();
                }
                Item::Property(key, Some(value)) if !key.is_empty() => {
                    let Some(section) = sections.last_mut() else {
                        return Err(syntax_error(&file, line, key));
                    };
                    check_unique(&mut keys, key, section.place(key, line))?;
                    section.entries.push(Entry::new(key, value, line));
                }
                Item::Property(text, None) | Item::Property(_, Some(text)) | Item::Error(text) => {
                    return Err(syntax_error(&file, line, text));
                }
            }
        }
        Ok(Self { file, sections })
    }

    /// Returns the name of the file.
    pub fn file(&self) -> &SmolStr {
        &self.file
    }

    /// Removes and returns the section `name`.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::MissingSection`] when there is none.
    pub fn take(&mut self, name: &str) -> Result<Section> {
        self.take_optional(name)
            .ok_or_else(|| Fault::MissingSection {
                file: self.file.clone(),
                section: name.into(),
            })
    }

    /// Removes and returns the section `name`, if there is one.
    pub fn take_optional(&mut self, name: &str) -> Option<Section> {
        let index = self.sections.iter().position(|s| s.name == name)?;
        Some(self.sections.remove(index))
    }

    /// Removes and returns all sections of this kind that have a label, in the order of the text.
    pub fn take_all(&mut self, kind: &str) -> Vec<Section> {
        let (matching, remaining) = self
            .sections
            .drain(..)
            .partition(|s| s.kind() == kind && !s.label().is_empty());
        self.sections = remaining;
        matching
    }

    /// Checks that no sections remain. `allowed` lists the known sections for the error message.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::UnknownSection`] for the first remaining section.
    pub fn finish(self, allowed: &str) -> Result<()> {
        match self.sections.first() {
            None => Ok(()),
            Some(section) => Err(Fault::UnknownSection {
                place: section.place("", section.line),
                allowed: allowed.into(),
            }),
        }
    }
}

impl Section {
    /// Creates an empty section, and normalizes the whitespace between the words of its name.
    fn new(file: &SmolStr, header: &str, line: u32) -> Self {
        let words: Vec<&str> = header.split_whitespace().collect();
        Self {
            file: file.clone(),
            name: words.join(" ").into(),
            line,
            entries: Vec::new(),
            lookups: Vec::new(),
        }
    }

    /// Returns the first word of the header.
    pub fn kind(&self) -> &str {
        self.name
            .split_once(' ')
            .map_or(&*self.name, |(kind, _)| kind)
    }

    /// Returns the header without its first word.
    pub fn label(&self) -> &str {
        self.name.split_once(' ').map_or("", |(_, label)| label)
    }

    /// Returns the line number of the header.
    pub fn line(&self) -> u32 {
        self.line
    }

    /// Removes `key` and parses its value. The error of `parse` describes the allowed values.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::MissingKey`] or [`Fault::BadValue`].
    pub fn required<T, A: AsRef<str>>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&str) -> std::result::Result<T, A>,
    ) -> Result<T> {
        match self.optional(key, parse)? {
            Some(value) => Ok(value),
            None => Err(self.missing_key(key)),
        }
    }

    /// Removes `key` and parses its value, or returns `None` when the key is missing.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::BadValue`].
    pub fn optional<T, A: AsRef<str>>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&str) -> std::result::Result<T, A>,
    ) -> Result<Option<T>> {
        let position = self.entries.iter().position(|e| e.key == key);
        let line = position.map(|index| self.entries[index].line);
        self.lookups.push(Lookup { key, line });
        let Some(index) = position else {
            return Ok(None);
        };
        let entry = self.entries.remove(index);
        match parse(&entry.value) {
            Ok(value) => Ok(Some(value)),
            Err(allowed) => Err(self.invalid_entry(&entry, allowed.as_ref())),
        }
    }

    /// Removes `key` and parses its value, or returns `default` when the key is missing.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::BadValue`].
    pub fn or<T, A: AsRef<str>>(
        &mut self,
        key: &'static str,
        default: T,
        parse: impl FnOnce(&str) -> std::result::Result<T, A>,
    ) -> Result<T> {
        Ok(self.optional(key, parse)?.unwrap_or(default))
    }

    /// Returns the fault for a value of `key` that conflicts with other parts of the text.
    pub fn invalid_value(&self, key: &str, value: &str, allowed: &str) -> Fault {
        Fault::BadValue {
            place: self.place_of(key),
            value: excerpt(value),
            allowed: allowed.into(),
        }
    }

    /// Returns the place of a key that was looked up before, or the place of the section header when
    /// the key was missing or not looked up.
    pub fn place_of(&self, key: &str) -> Box<Place> {
        let lookup = self.lookups.iter().find(|lookup| lookup.key == key);
        let line = lookup.and_then(|lookup| lookup.line);
        self.place(key, line.unwrap_or(self.line))
    }

    /// Checks that no keys remain.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::UnknownKey`] for the first remaining key.
    pub fn finish(self) -> Result<()> {
        let Some(entry) = self.entries.first() else {
            return Ok(());
        };
        let known: Vec<&str> = self.lookups.iter().map(|lookup| lookup.key).collect();
        Err(Fault::UnknownKey {
            place: self.place(&entry.key, entry.line),
            allowed: known.join(", ").into(),
        })
    }

    fn missing_key(&self, key: &str) -> Fault {
        Fault::MissingKey {
            place: self.place(key, self.line),
        }
    }

    fn invalid_entry(&self, entry: &Entry, allowed: &str) -> Fault {
        Fault::BadValue {
            place: self.place(&entry.key, entry.line),
            value: excerpt(&entry.value),
            allowed: allowed.into(),
        }
    }

    fn place(&self, key: &str, line: u32) -> Box<Place> {
        Box::new(Place {
            file: self.file.clone(),
            line,
            section: self.name.clone(),
            key: key.into(),
        })
    }
}

impl Entry {
    fn new(key: &str, value: &str, line: u32) -> Self {
        Self {
            key: key.into(),
            value: value.into(),
            line,
        }
    }
}

fn read_limited(path: &Path) -> io::Result<String> {
    let mut bytes = Vec::new();
    let limit = MAX_TEXT_BYTES as u64 + 1;
    File::open(path)?.take(limit).read_to_end(&mut bytes)?;
    if bytes.len() > MAX_TEXT_BYTES {
        return Err(ErrorKind::FileTooLarge.into());
    }
    String::from_utf8(bytes).map_err(|source| io::Error::new(ErrorKind::InvalidData, source))
}

fn syntax_error(file: &SmolStr, line: u32, text: &str) -> Fault {
    Fault::Syntax {
        file: file.clone(),
        line,
        text: excerpt(text),
    }
}

/// Returns a text, truncated to [`MAX_EXCERPT_CHARS`] for an error message.
fn excerpt(text: &str) -> SmolStr {
    match text.char_indices().nth(MAX_EXCERPT_CHARS) {
        None => text.into(),
        Some((end, _)) => format!("{}...", &text[..end]).into(),
    }
}

fn check_unique(first_lines: &mut FirstLines, name: &str, place: Box<Place>) -> Result<()> {
    match first_lines.get(name) {
        None => {
            first_lines.insert(name.into(), place.line);
            Ok(())
        }
        Some(first) => Err(Fault::Duplicate {
            place,
            first: *first,
        }),
    }
}
