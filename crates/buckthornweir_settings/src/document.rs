//! An INI document whose sections and keys are taken one by one; what is left over is unknown.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, ErrorKind, Read};
use std::path::Path;

use ini_core::{Item, Parser};
use smol_str::{SmolStr, ToSmolStr};

use crate::fault::{Fault, Place, Result};

/// The largest text in bytes that is read.
const MAX_TEXT_BYTES: usize = 4 << 20;

/// How many characters of a bad text a fault shows.
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
    asked: Vec<Asked>,
}

/// A key that was asked for, and the line where it stands.
#[derive(Clone, Copy, Debug)]
struct Asked {
    key: &'static str,
    line: Option<u32>,
}

/// The line where each section, or each key of the last section, first stands.
type FirstLines = HashMap<SmolStr, u32>;

impl Document {
    /// Reads and parses the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Unreadable`] when the file cannot be read, and the faults of
    /// [`Document::parse`].
    pub fn read(path: &Path) -> Result<Self> {
        let file = path.display().to_smolstr();
        let text = match read_limited(path) {
            Ok(text) => text,
            Err(source) => return Err(Fault::Unreadable { file, source }),
        };
        Self::parse(file, &text)
    }

    /// Parses `text`; `file` is the name used in faults.
    ///
    /// # Errors
    ///
    /// Returns a fault for a text over the size limit, for a line that is not INI, and for a section
    /// or key that stands twice.
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
                    check_first(&mut headers, &section.name, section.place("", line))?;
                    sections.push(section);
                    keys.clear();
                }
                Item::Property(key, Some(value)) if !key.is_empty() => {
                    let Some(section) = sections.last_mut() else {
                        return Err(syntax(&file, line, key));
                    };
                    check_first(&mut keys, key, section.place(key, line))?;
                    section.entries.push(Entry::new(key, value, line));
                }
                Item::Property(text, None) | Item::Property(_, Some(text)) | Item::Error(text) => {
                    return Err(syntax(&file, line, text));
                }
            }
        }
        Ok(Self { file, sections })
    }

    /// Returns the name of the file.
    pub fn file(&self) -> &SmolStr {
        &self.file
    }

    /// Takes the section called `name`.
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

    /// Takes the section called `name`, if there is one.
    pub fn take_optional(&mut self, name: &str) -> Option<Section> {
        let at = self.sections.iter().position(|s| s.name == name)?;
        Some(self.sections.remove(at))
    }

    /// Takes all sections whose header is `kind label`, in the order of the text.
    pub fn take_all(&mut self, kind: &str) -> Vec<Section> {
        let (taken, left) = self
            .sections
            .drain(..)
            .partition(|s| s.kind() == kind && !s.label().is_empty());
        self.sections = left;
        taken
    }

    /// Checks that every section has been taken.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::UnknownSection`] with `allowed` for the first one left.
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
    /// Returns an empty section; its name has one space between words.
    fn new(file: &SmolStr, header: &str, line: u32) -> Self {
        let words: Vec<&str> = header.split_whitespace().collect();
        Self {
            file: file.clone(),
            name: words.join(" ").into(),
            line,
            entries: Vec::new(),
            asked: Vec::new(),
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

    /// Returns the line of the header.
    pub fn line(&self) -> u32 {
        self.line
    }

    /// Takes the value of `key` through `parse`, which returns `Err` with what is allowed.
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
            None => Err(self.missing(key)),
        }
    }

    /// Takes the value of `key` through `parse`, or `None` when the key is not there.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::BadValue`].
    pub fn optional<T, A: AsRef<str>>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&str) -> std::result::Result<T, A>,
    ) -> Result<Option<T>> {
        let found = self.entries.iter().position(|e| e.key == key);
        let line = found.map(|at| self.entries[at].line);
        self.asked.push(Asked { key, line });
        let Some(at) = found else {
            return Ok(None);
        };
        let entry = self.entries.remove(at);
        match parse(&entry.value) {
            Ok(value) => Ok(Some(value)),
            Err(allowed) => Err(self.bad(&entry, allowed.as_ref())),
        }
    }

    /// Takes the value of `key` through `parse`, or `default` when the key is not there.
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

    /// Returns the fault that `key` has a value which other parts of the text rule out.
    pub fn invalid_value(&self, key: &str, value: &str, allowed: &str) -> Fault {
        Fault::BadValue {
            place: self.place_of(key),
            value: excerpt(value),
            allowed: allowed.into(),
        }
    }

    /// Returns where `key` stands, or the section's header when it was not there when it was asked
    /// for.
    pub fn place_of(&self, key: &str) -> Box<Place> {
        let asked = self.asked.iter().find(|asked| asked.key == key);
        let line = asked.and_then(|asked| asked.line);
        self.place(key, line.unwrap_or(self.line))
    }

    /// Checks that every key has been taken.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::UnknownKey`] for the first one left.
    pub fn finish(self) -> Result<()> {
        let Some(entry) = self.entries.first() else {
            return Ok(());
        };
        let known: Vec<&str> = self.asked.iter().map(|asked| asked.key).collect();
        Err(Fault::UnknownKey {
            place: self.place(&entry.key, entry.line),
            allowed: known.join(", ").into(),
        })
    }

    fn missing(&self, key: &str) -> Fault {
        Fault::MissingKey {
            place: self.place(key, self.line),
        }
    }

    fn bad(&self, entry: &Entry, allowed: &str) -> Fault {
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

fn syntax(file: &SmolStr, line: u32, text: &str) -> Fault {
    Fault::Syntax {
        file: file.clone(),
        line,
        text: excerpt(text),
    }
}

/// Returns the start of a text, for a fault to show.
fn excerpt(text: &str) -> SmolStr {
    match text.char_indices().nth(MAX_EXCERPT_CHARS) {
        None => text.into(),
        Some((end, _)) => format!("{}...", &text[..end]).into(),
    }
}

fn check_first(seen: &mut FirstLines, name: &str, place: Box<Place>) -> Result<()> {
    match seen.get(name) {
        None => {
            seen.insert(name.into(), place.line);
            Ok(())
        }
        Some(first) => Err(Fault::Duplicate {
            place,
            first: *first,
        }),
    }
}
