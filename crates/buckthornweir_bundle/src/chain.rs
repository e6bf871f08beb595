//! The last differences of a process, which lead from older texts to the one it holds.

use std::collections::VecDeque;

use crate::canonical::Digest;
use crate::text_difference::{DifferenceError, Ends, Result, TextDifference, text_digest};

/// How many differences a process keeps.
pub const MAX_CHAIN_LENGTH: usize = 64;

/// How many bytes of differences a process keeps.
pub const MAX_CHAIN_BYTES: usize = 256 * 1024;

/// An encoded [`TextDifference`].
pub type EncodedDifference = Vec<u8>;

/// Differences of which each one starts from the text that the one before makes.
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
    links: VecDeque<Link>,
    target: Digest,
    size: usize,
    bytes: usize,
}

#[derive(Clone, Debug)]
struct Link {
    base: Digest,
    difference: EncodedDifference,
}

impl DifferenceChain {
    /// Returns a chain that leads from nowhere.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in that `new` follows `old`. The oldest differences make room where the chain is full.
    pub fn record(&mut self, old: &[u8], new: &[u8]) {
        let ends = Ends {
            base: text_digest(old),
            target: text_digest(new),
        };
        match TextDifference::encode_if_smaller(old, new) {
            Some(difference) => self.append(ends, difference),
            None => self.clear(),
        }
        self.size = new.len();
    }

    /// Takes over differences that lead to `new`, as [`rebuild`] has shown, so that texts between are known
    /// here too.
    pub fn extend(&mut self, differences: &[EncodedDifference], new: &[u8]) {
        for difference in differences {
            let read = TextDifference::from_bytes(difference).ok();
            match read.and_then(|read| read.ends()) {
                Some(ends) => self.append(ends, difference.clone()),
                None => self.clear(),
            }
        }
        self.size = new.len();
    }

    /// Returns the differences that lead from the text of digest `base` to the newest one, or nothing when
    /// the base is not known or the whole text is no larger.
    #[must_use]
    pub fn since(&self, base: &Digest) -> Option<Vec<EncodedDifference>> {
        let first = self.links.iter().rposition(|l| l.base == *base)?;
        let links = self.links.range(first..);
        let bytes: usize = links.clone().map(|l| l.difference.len()).sum();
        (bytes < self.size).then(|| links.map(|l| l.difference.clone()).collect())
    }

    fn append(&mut self, ends: Ends, difference: EncodedDifference) {
        let Ends { base, target } = ends;
        if base != self.target {
            self.clear();
        }
        self.target = target;
        self.bytes += difference.len();
        self.links.push_back(Link { base, difference });
        while self.links.len() > MAX_CHAIN_LENGTH || self.bytes > MAX_CHAIN_BYTES {
            let Some(oldest) = self.links.pop_front() else {
                return;
            };
            self.bytes -= oldest.difference.len();
        }
    }

    fn clear(&mut self) {
        self.links.clear();
        self.bytes = 0;
    }
}

/// Returns the text to which `differences` lead from `base`.
///
/// # Errors
///
/// Returns the error of the first difference that doesn't fit, and [`DifferenceError::Empty`] for none.
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
