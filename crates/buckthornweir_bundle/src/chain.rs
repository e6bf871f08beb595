//! The latest differences of a process, which bring older texts up to date.

use std::collections::VecDeque;

use crate::canonical::Digest;
use crate::text_difference::{DifferenceError, Digests, Result, TextDifference, text_digest};

/// The maximum number of differences in a chain.
pub const MAX_CHAIN_LENGTH: usize = 64;

/// The maximum total size of the encoded differences in a chain, in bytes.
pub const MAX_CHAIN_BYTES: usize = 256 * 1024;

/// An encoded [`TextDifference`].
pub type EncodedDifference = Vec<u8>;

/// A sequence of differences, each based on the result of the previous one.
///
/// ```
/// use buckthornweir_bundle::{DifferenceChain, rebuild, text_digest};
///
/// let texts = [1, 2, 3].map(|n| format!("{}x = {n}\n", "y = 1\n".repeat(100)));
/// let mut chain = DifferenceChain::new();
/// chain.record(texts[0].as_bytes(), texts[1].as_bytes());
/// chain.record(texts[1].as_bytes(), texts[2].as_bytes());
/// let old = texts[0].as_bytes();
/// let differences = chain.since(&text_digest(old)).unwrap_or_default();
/// assert_eq!(rebuild(old, &differences)?, texts[2].as_bytes());
/// # Ok::<(), buckthornweir_bundle::DifferenceError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct DifferenceChain {
    steps: VecDeque<Step>,
    target: Digest,
    target_size: usize,
    total_bytes: usize,
}

#[derive(Clone, Debug)]
struct Step {
    base: Digest,
    difference: EncodedDifference,
}

impl DifferenceChain {
    /// Creates an empty chain.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends the difference from `old` to `new`, and evicts the oldest differences of a full
    /// chain.
    ///
    /// Earlier differences are dropped when `old` is not the latest text. The chain becomes empty
    /// when the difference would be too large to send in place of `new`.
    pub fn record(&mut self, old: &[u8], new: &[u8]) {
        let digests = Digests {
            base: text_digest(old),
            target: text_digest(new),
        };
        match TextDifference::encode_if_smaller(old, new) {
            Some(difference) => self.append(digests, difference),
            None => self.clear(),
        }
        self.target_size = new.len();
    }

    /// Appends received differences that lead to `new`, including those of intermediate texts.
    ///
    /// The caller must have checked with [`rebuild`] that the result is `new`. A malformed
    /// difference clears the chain.
    pub fn extend(&mut self, differences: &[EncodedDifference], new: &[u8]) {
        for difference in differences {
            let decoded = TextDifference::from_bytes(difference).ok();
            match decoded.and_then(|decoded| decoded.digests()) {
                Some(digests) => self.append(digests, difference.clone()),
                None => self.clear(),
            }
        }
        self.target_size = new.len();
    }

    /// Returns the differences from the text with digest `base` to the latest text, or `None` when
    /// the base is unknown or the complete text is no larger than the differences.
    #[must_use]
    pub fn since(&self, base: &Digest) -> Option<Vec<EncodedDifference>> {
        let first = self.steps.iter().rposition(|s| s.base == *base)?;
        let steps = self.steps.range(first..);
        let bytes: usize = steps.clone().map(|s| s.difference.len()).sum();
        (bytes < self.target_size).then(|| steps.map(|s| s.difference.clone()).collect())
    }

    fn append(&mut self, digests: Digests, difference: EncodedDifference) {
        let Digests { base, target } = digests;
        if base != self.target {
            self.clear();
        }
        self.target = target;
        self.total_bytes += difference.len();
        self.steps.push_back(Step { base, difference });
        while self.steps.len() > MAX_CHAIN_LENGTH || self.total_bytes > MAX_CHAIN_BYTES {
            let Some(oldest) = self.steps.pop_front() else {
                return;
            };
            self.total_bytes -= oldest.difference.len();
        }
    }

    fn clear(&mut self) {
        self.steps.clear();
        self.total_bytes = 0;
    }
}

/// Returns the result of applying `differences` to `base` in order.
///
/// # Errors
///
/// Returns the error of the first difference that cannot be applied, [`DifferenceError::Empty`]
/// when there are none, or [`DifferenceError::TooMany`] when there are more than
/// [`MAX_CHAIN_LENGTH`].
pub fn rebuild(base: &[u8], differences: &[EncodedDifference]) -> Result<Vec<u8>> {
    let Some((first, others)) = differences.split_first() else {
        return Err(DifferenceError::Empty);
    };
    if others.len() >= MAX_CHAIN_LENGTH {
        let size = differences.len() as u64;
        let limit = MAX_CHAIN_LENGTH;
        return Err(DifferenceError::TooMany { size, limit });
    }
    let mut text = TextDifference::from_bytes(first)?.apply(base)?;
    for difference in others {
        text = TextDifference::from_bytes(difference)?.apply(&text)?;
    }
    Ok(text)
}
