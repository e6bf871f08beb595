//! The difference between two texts, from which a process that holds the first makes the second exactly.
//!
//! ```
//! use buckthornweir_bundle::TextDifference;
//!
//! let difference = TextDifference::between(b"[a]\nx = 1\n", b"[a]\nx = 2\n");
//! assert_eq!(difference.apply(b"[a]\nx = 1\n")?, b"[a]\nx = 2\n");
//! assert!(difference.apply(b"[a]\nx = 3\n").is_err());
//! # Ok::<(), buckthornweir_bundle::DifferenceError>(())
//! ```

use std::collections::HashMap;

use prost::Message as _;
use quick_error::quick_error;
use sha2::{Digest as _, Sha256};

use crate::canonical::Digest;

/// Largest encoded difference, in bytes; a larger change travels as the whole text.
pub const MAX_DIFFERENCE_BYTES: usize = 64 * 1024;

/// Largest text that a difference makes, in bytes.
pub const MAX_RESULT_BYTES: usize = 4 * 1024 * 1024;

/// The result of reading or applying a difference.
pub(crate) type Result<T> = std::result::Result<T, DifferenceError>;

quick_error! {
    /// A difference that is not applied.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick_error takes no docs on fields")]
    pub enum DifferenceError {
        /// The bytes are no difference.
        Malformed(source: prost::DecodeError) {
            from()
            display("malformed difference: {source}")
            source(source)
        }
        /// The difference, or the text that it makes, is over its limit.
        TooLarge { size: u64, limit: usize } {
            display("a difference of {size} bytes; allowed: at most {limit}")
        }
        /// The chain has more differences than any process keeps.
        TooMany { size: u64, limit: usize } {
            display("a chain of {size} differences; allowed: at most {limit}")
        }
        /// The difference was made from another text.
        WrongBase {
            display("the difference was made from another text")
        }
        /// The spans don't fit the base, the inserted text, or the size of the result.
        InvalidSpans {
            display("the spans of the difference don't fit")
        }
        /// The result is not the text that the difference was made for.
        WrongResult {
            display("the difference makes another text than it was made for")
        }
        /// There is no difference at all.
        Empty {
            display("no difference")
        }
    }
}

/// Returns the digest that names a whole text, signature included.
pub fn text_digest(text: &[u8]) -> Digest {
    Sha256::digest(text).into()
}

/// A difference between two texts. Lines that the base has in the same section are copied, and all others
/// are inserted.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TextDifference {
    #[prost(bytes = "vec", tag = "1")]
    base: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    target: Vec<u8>,
    #[prost(uint64, tag = "3")]
    size: u64,
    #[prost(message, repeated, tag = "4")]
    spans: Vec<Span>,
    #[prost(bytes = "vec", tag = "5")]
    inserted: Vec<u8>,
}

/// Names the texts that a difference joins.
#[derive(Clone, Copy)]
pub(crate) struct Ends {
    /// Digest of the base.
    pub(crate) base: Digest,
    /// Digest of the result.
    pub(crate) target: Digest,
}

/// A range of the base, followed by some of the inserted bytes.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
struct Span {
    #[prost(uint64, tag = "1")]
    start: u64,
    #[prost(uint64, tag = "2")]
    copied: u64,
    #[prost(uint64, tag = "3")]
    inserted: u64,
}

impl TextDifference {
    /// Returns the difference that makes `new` from `base`.
    #[must_use]
    pub fn between(base: &[u8], new: &[u8]) -> Self {
        let places = places(base);
        let mut difference = Self {
            base: text_digest(base).to_vec(),
            target: text_digest(new).to_vec(),
            size: new.len() as u64,
            ..Self::default()
        };
        for line in sectioned(new) {
            let next = difference.next_copy();
            let goes_on = range_from(base, next).is_ok_and(|rest| rest.starts_with(line.content));
            let place = places.get(&(line.section, line.content));
            match place {
                Some(_) if goes_on => difference.copy(next, line.content),
                Some(start) => difference.copy(*start as u64, line.content),
                None => difference.insert(line.content),
            }
        }
        difference
    }

    /// Returns the encoded difference that makes `new` from `base`, if it saves bytes and is within
    /// [`MAX_DIFFERENCE_BYTES`].
    #[must_use]
    pub fn encode_if_smaller(base: &[u8], new: &[u8]) -> Option<Vec<u8>> {
        let bytes = Self::between(base, new).to_bytes();
        let limit = MAX_DIFFERENCE_BYTES.min(new.len());
        (bytes.len() < limit).then_some(bytes)
    }

    /// Returns the encoded difference.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Returns the difference that `data` holds.
    ///
    /// # Errors
    ///
    /// Returns [`DifferenceError::TooLarge`] or [`DifferenceError::Malformed`].
    pub fn from_bytes(data: &[u8]) -> Result<Self> {
        check_size(data.len() as u64, MAX_DIFFERENCE_BYTES)?;
        Ok(Self::decode(data)?)
    }

    /// Returns the text that the difference makes from `base`, which is exactly the one that it was made for.
    ///
    /// # Errors
    ///
    /// Returns [`DifferenceError::WrongBase`] for another base, and another error when the difference was
    /// altered.
    pub fn apply(&self, base: &[u8]) -> Result<Vec<u8>> {
        if self.base != text_digest(base) {
            return Err(DifferenceError::WrongBase);
        }
        let mut text = Vec::with_capacity(self.checked_size()?);
        let mut inserted = self.inserted.as_slice();
        for span in &self.spans {
            text.extend_from_slice(range(base, span.start, span.copied)?);
            text.extend_from_slice(range(inserted, 0, span.inserted)?);
            inserted = range_from(inserted, span.inserted)?;
        }
        if self.target != text_digest(&text) {
            return Err(DifferenceError::WrongResult);
        }
        Ok(text)
    }

    /// Returns the digests of the base and of the result, unless they are malformed.
    pub(crate) fn ends(&self) -> Option<Ends> {
        let base = Digest::try_from(self.base.as_slice()).ok()?;
        let target = Digest::try_from(self.target.as_slice()).ok()?;
        Some(Ends { base, target })
    }

    /// Returns the size of the result, after the spans were checked to add up to it.
    fn checked_size(&self) -> Result<usize> {
        check_size(self.size, MAX_RESULT_BYTES)?;
        let lengths = self.spans.iter().flat_map(|s| [s.copied, s.inserted]);
        let sum = lengths.fold(0_u64, u64::saturating_add);
        if sum != self.size {
            return Err(DifferenceError::InvalidSpans);
        }
        usize::try_from(sum).map_err(|_| DifferenceError::InvalidSpans)
    }

    /// Returns where the base goes on after the last copied range.
    fn next_copy(&self) -> u64 {
        self.spans.last().map_or(0, |s| s.start + s.copied)
    }

    fn copy(&mut self, start: u64, line: &[u8]) {
        let length = line.len() as u64;
        match self.spans.last_mut() {
            Some(last) if last.inserted == 0 && last.start + last.copied == start => {
                last.copied += length;
            }
            _ => self.spans.push(Span {
                start,
                copied: length,
                inserted: 0,
            }),
        }
    }

    fn insert(&mut self, line: &[u8]) {
        if self.spans.is_empty() {
            self.spans.push(Span::default());
        }
        if let Some(last) = self.spans.last_mut() {
            last.inserted += line.len() as u64;
        }
        self.inserted.extend_from_slice(line);
    }
}

struct Line<'a> {
    section: &'a [u8],
    content: &'a [u8],
}

/// Returns the lines, each with its end and the header of its section.
fn sectioned(text: &[u8]) -> impl Iterator<Item = Line<'_>> {
    let mut section: &[u8] = &[];
    text.split_inclusive(|b| *b == b'\n').map(move |content| {
        if content.starts_with(b"[") {
            section = content;
        }
        Line { section, content }
    })
}

/// Returns where the lines of `base` start, by their section and content.
fn places(base: &[u8]) -> HashMap<(&[u8], &[u8]), usize> {
    let mut places = HashMap::new();
    let mut start = 0;
    for line in sectioned(base) {
        places.entry((line.section, line.content)).or_insert(start);
        start += line.content.len();
    }
    places
}

fn check_size(size: u64, limit: usize) -> Result<()> {
    if size > limit as u64 {
        return Err(DifferenceError::TooLarge { size, limit });
    }
    Ok(())
}

fn range(bytes: &[u8], start: u64, length: u64) -> Result<&[u8]> {
    let rest = range_from(bytes, start)?;
    let length = usize::try_from(length).map_err(|_| DifferenceError::InvalidSpans)?;
    rest.get(..length).ok_or(DifferenceError::InvalidSpans)
}

fn range_from(bytes: &[u8], start: u64) -> Result<&[u8]> {
    let start = usize::try_from(start).map_err(|_| DifferenceError::InvalidSpans)?;
    bytes.get(start..).ok_or(DifferenceError::InvalidSpans)
}
