//! A compact table of the owner of each bucket.

use super::NO_OWNER;

/// Size of a table word in bits.
const WORD_BITS: u32 = u16::BITS;

/// The owner of each bucket, as an index into the candidates.
///
/// Indices are stored with the smallest sufficient width of 1, 2, 4, 8 or 16 bits. Most services
/// have few agents: the table of a service with 3 agents takes a quarter of the memory of one with
/// 200. The width doesn't affect the owners.
#[derive(Clone, Debug)]
pub(super) struct Owners {
    /// Width of an index in bits: a power of two up to [`WORD_BITS`].
    width: u32,
    words: Box<[u16]>,
}

impl Owners {
    /// Packs these indices, where [`NO_OWNER`] marks a bucket without an owner.
    pub(super) fn new(indices: &[u16]) -> Self {
        let owned = indices.iter().filter(|&&index| index != NO_OWNER);
        let Some(&largest) = owned.max() else {
            return Self {
                width: WORD_BITS,
                words: Box::default(),
            };
        };
        let width = index_width(largest);
        let words = indices.chunks((WORD_BITS / width) as usize);
        Self {
            width,
            words: words.map(|part| pack(part, width)).collect(),
        }
    }

    /// Returns the index of a bucket's owner.
    pub(super) fn get(&self, bucket: usize) -> Option<usize> {
        let per_word = (WORD_BITS / self.width) as usize;
        let word = self.words.get(bucket / per_word)?;
        let shift = (bucket % per_word) as u32 * self.width;
        let none = none_index(self.width);
        let index = word >> shift & none;
        (index != none).then_some(usize::from(index))
    }
}

/// Returns the smallest width in bits for indices up to `largest`.
fn index_width(largest: u16) -> u32 {
    let fits = |width: &u32| largest < none_index(*width);
    [1, 2, 4, 8].into_iter().find(fits).unwrap_or(WORD_BITS)
}

/// Returns the value that marks a bucket without an owner, which is also the bit mask of an index.
fn none_index(width: u32) -> u16 {
    u16::MAX >> (WORD_BITS - width)
}

/// Packs indices into a word, with the first one in the lowest bits.
fn pack(indices: &[u16], width: u32) -> u16 {
    let none = none_index(width);
    let reversed = indices.iter().rev();
    reversed.fold(0, |word, &index| {
        word.checked_shl(width).unwrap_or(0) | index.min(none)
    })
}
