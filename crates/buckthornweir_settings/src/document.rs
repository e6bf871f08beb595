//! An INI document whose sections and keys are taken one by one; what is left over is unknown.

use std::fs;
use std::path::Path;

use ini_core::{Item, Parser};
use smol_str::{SmolStr, ToSmolStr};

use crate::fault::{Fault, Place, Result};

/// The largest text in bytes that is read.
const TEXT_LIMIT: u64 = 4 << 20;

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
    asked: Vec<&'static str>,
}

impl Document {
    /// Reads and parses the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Unreadable`] when the file cannot be read, and the faults of
    /// [`Document::parse`].
    pub fn read(path: &Path) -> Result<Self> {
        let file = path.display().to_smolstr();
        let text = read_limited(path).map_err(|source| Fault::Unreadable {
            file: file.clone(),
            source,
        })?;
        Self::parse(file, &text)
    }

    /// Parses `text`; `file` is the name used in faults.
    ///
    /// # Errors
    ///
    /// Returns a fault for a line that is not INI and for a section or key that stands twice.
    pub fn parse(file: impl Into<SmolStr>, text: &str) -> Result<Self> {
        let file = file.into();
        let mut sections: Vec<Section> = Vec::new();
        let mut parser = Parser::new(text).auto_trim(true);
        while let Some(item) = parser.next() {
            let line = parser.line();
            match item {
                Item::Blank | Item::Comment(_) | Item::SectionEnd => {}
                Item::Section(name) => open_section(&file, &mut sections, name, line)?,
                Item::Property(key, Some(value)) => {
                    add_entry(&file, &mut sections, Entry::new(key, value, line))?;
                }
                Item::Property(text, None) | Item::Error(text) => {
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
    /// Returns the first word of the header.
    pub fn kind(&self) -> &str {
        self.name
            .split_once(' ')
            .map_or(&*self.name, |(kind, _)| kind)
    }

    /// Returns the header without its first word.
    pub fn label(&self) -> &str {
        self.name
            .split_once(' ')
            .map_or("", |(_, label)| label.trim())
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
        self.asked.push(key);
        let Some(at) = self.entries.iter().position(|e| e.key == key) else {
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
    pub fn rejects(&self, key: &str, value: &str, allowed: &str) -> Fault {
        Fault::BadValue {
            place: self.place(key, self.line),
            value: value.into(),
            allowed: allowed.into(),
        }
    }

    /// Checks that every key has been taken.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::UnknownKey`] for the first one left.
    pub fn finish(self) -> Result<()> {
        match self.entries.into_iter().next() {
            None => Ok(()),
            Some(entry) => Err(Fault::UnknownKey {
                place: place(&self.file, &self.name, &entry.key, entry.line),
                allowed: self.asked.join(", ").into(),
            }),
        }
    }

    fn missing(&self, key: &str) -> Fault {
        Fault::MissingKey {
            place: self.place(key, self.line),
        }
    }

    fn bad(&self, entry: &Entry, allowed: &str) -> Fault {
        Fault::BadValue {
            place: self.place(&entry.key, entry.line),
            value: entry.value.clone(),
            allowed: allowed.into(),
        }
    }

    fn place(&self, key: &str, line: u32) -> Box<Place> {
        place(&self.file, &self.name, key, line)
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

fn read_limited(path: &Path) -> std::io::Result<String> {
    let size = fs::metadata(path)?.len();
    if size > TEXT_LIMIT {
        return Err(std::io::Error::from(std::io::ErrorKind::FileTooLarge));
    }
    fs::read_to_string(path)
}

fn place(file: &SmolStr, section: &str, key: &str, line: u32) -> Box<Place> {
    Box::new(Place {
        file: file.clone(),
        line,
        section: section.into(),
        key: key.into(),
    })
}

fn syntax(file: &SmolStr, line: u32, text: &str) -> Fault {
    Fault::Syntax {
        file: file.clone(),
        line,
        text: text.into(),
    }
}

fn open_section(file: &SmolStr, sections: &mut Vec<Section>, name: &str, line: u32) -> Result<()> {
    if let Some(first) = sections.iter().find(|s| s.name == name) {
        return Err(Fault::Duplicate {
            place: place(file, name, "", line),
            first: first.line,
        });
    }
    sections.push(Section {
        file: file.clone(),
        name: name.into(),
        line,
        entries: Vec::new(),
        asked: Vec::new(),
    });
    Ok(())
}

fn add_entry(file: &SmolStr, sections: &mut [Section], entry: Entry) -> Result<()> {
    let Some(section) = sections.last_mut() else {
        return Err(syntax(file, entry.line, &entry.key));
    };
    if let Some(first) = section.entries.iter().find(|e| e.key == entry.key) {
        return Err(Fault::Duplicate {
            place: place(file, &section.name, &entry.key, entry.line),
            first: first.line,
        });
    }
    section.entries.push(entry);
    Ok(())
}
