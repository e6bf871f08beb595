//! The difference between two texts, from which a process that holds the first text reconstructs
//! the second one exactly.
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

/// The maximum size of an encoded difference in bytes. For a larger change, the complete text is
/// sent.
pub const MAX_DIFFERENCE_BYTES: usize = 64 * 1024;

/// The maximum size of the resulting text in bytes.
pub const MAX_RESULT_BYTES: usize = 4 * 1024 * 1024;

/// The result of decoding or applying a difference.
pub(crate) type Result<T> = std::result::Result<T, DifferenceError>;

quick_error! {
    /// Why a difference could not be decoded or applied.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick_error does not support docs on fields")]
    pub enum DifferenceError {
        /// The bytes could not be decoded.
        Malformed(source: prost::DecodeError) {
            from()
            display("malformed difference: {source}")
            source(source)
        }
        /// The difference or the resulting text exceeds its size limit.
        TooLarge { size: u64, limit: usize } {
            display("a difference of {size} bytes; allowed: at most {limit}")
        }
        /// The chain exceeds its length limit.
        TooMany { size: u64, limit: usize } {
            display("a chain of {size} differences; allowed: at most {limit}")
        }
        /// The difference has another base than the given text.
        WrongBase {
            display("the difference has another base text")
        }
        /// The spans do not match the base, the inserted bytes, or the size of the result.
        InvalidSpans {
            display("the spans of the difference do not match the base, the inserted text or the size")
        }
        /// The digest of the result does not match the target of the difference.
        WrongResult {
            display("the result does not match the target digest of the difference")
        }
        /// The list of differences is empty.
        Empty {
            display("no difference")
        }
    }
}

/// Returns the digest of a complete text, including its signature.
pub fn text_digest(text: &[u8]) -> Digest {
    Sha256::digest(text).into()
}

/// A difference between two texts.
///
/// A line that the base has in the same section is copied from there; other lines are inserted.
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

/// The digests of the two texts of a difference.
#[derive(Clone, Copy)]
pub(crate) struct Digests {
    /// The digest of the base.
    pub(crate) base: Digest,
    /// The digest of the result.
    pub(crate) target: Digest,
}

/// A range copied from the base, followed by a number of inserted bytes.
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
    /// Computes the difference from `base` to `new`.
    #[must_use]
    pub fn between(base: &[u8], new: &[u8]) -> Self {
        let offsets = line_offsets(base);
        let mut difference = Self {
            base: text_digest(base).to_vec(),
            target: text_digest(new).to_vec(),
            size: new.len() as u64,
            ..Self::default()
        };
        for line in lines_with_sections(new) {
            let next = difference.copy_end();
            let continues = range_from(base, next).is_ok_and(|rest| rest.starts_with(line.content));
            let offset = offsets.get(&(line.section, line.content));
            match offset {
                Some(_) if continues => difference.copy(next, line.content),
                Some(start) => difference.copy(*start as u64, line.content),
                None => difference.insert(line.content),
            }
        }
        difference
    }

    /// Returns the encoded difference from `base` to `new`, if it is smaller than `new` and
    /// [`MAX_DIFFERENCE_BYTES`].
    #[must_use]
    pub fn encode_if_smaller(base: &[u8], new: &[u8]) -> Option<Vec<u8>> {
        let bytes = Self::between(base, new).to_bytes();
        let limit = MAX_DIFFERENCE_BYTES.min(new.len());
        (bytes.len() < limit).then_some(bytes)
    }

    /// Encodes the difference.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Decodes a difference.
    ///
    /// # Errors
    ///
    /// Returns [`DifferenceError::TooLarge`] or [`DifferenceError::Malformed`].
    pub fn from_bytes(data: &[u8]) -> Result<Self> {
        check_size(data.len() as u64, MAX_DIFFERENCE_BYTES)?;
        Ok(Self::decode(data)?)
    }

    /// Applies the difference to `base` and returns the result, which has the target digest.
    ///
    /// # Errors
    ///
    /// Returns [`DifferenceError::WrongBase`] for another base. Returns
    /// [`DifferenceError::TooLarge`], [`DifferenceError::InvalidSpans`] or
    /// [`DifferenceError::WrongResult`] for a corrupt difference.
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

    /// Returns the digests of the base and the result, or `None` when one has a wrong length.
    pub(crate) fn digests(&self) -> Option<Digests> {
        let base = Digest::try_from(self.base.as_slice()).ok()?;
        let target = Digest::try_from(self.target.as_slice()).ok()?;
        Some(Digests { base, target })
    }

    /// Returns the size of the result after checking it against the limit and the sum of the spans.
    fn checked_size(&self) -> Result<usize> {
        check_size(self.size, MAX_RESULT_BYTES)?;
        let lengths = self.spans.iter().flat_map(|s| [s.copied, s.inserted]);
        let sum = lengths.fold(0_u64, u64::saturating_add);
        if sum != self.size {
            return Err(DifferenceError::InvalidSpans);
        }
        usize::try_from(sum).map_err(|_| DifferenceError::InvalidSpans)
    }

    /// Returns the offset in the base at the end of the last copied range.
    fn copy_end(&self) -> u64 {
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

/// Returns the lines, including their line breaks, each with the header of its section.
fn lines_with_sections(text: &[u8]) -> impl Iterator<Item = Line<'_>> {
    let mut section: &[u8] = &[];
    text.split_inclusive(|b| *b == b'\n').map(move |content| {
        if content.starts_with(b"[") {
            section = content;
        }
        Line { section, content }
    })
}

/// Returns the offset of the first occurrence of each line in `base`, by section and content.
fn line_offsets(base: &[u8]) -> HashMap<(&[u8], &[u8]), usize> {
    let mut offsets = HashMap::new();
    let mut start = 0;
    for line in lines_with_sections(base) {
        offsets.entry((line.section, line.content)).or_insert(start);
        start += line.content.len();
    }
    offsets
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
