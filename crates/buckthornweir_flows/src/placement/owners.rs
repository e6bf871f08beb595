//! The owner of each bucket, as an index into the candidates.

use super::NO_OWNER;

/// Marks a bucket without an owner in a narrow table.
const NO_NARROW_OWNER: u8 = u8::MAX;

/// The owner of each bucket. Services with few agents, which most are, need one byte for each.
#[derive(Clone, Debug)]
pub(super) enum Owners {
    /// Indices below 255.
    Narrow(Box<[u8]>),
    /// Indices below 65,535.
    Wide(Box<[u16]>),
}

impl Owners {
    /// Returns the table with these indices, [`NO_OWNER`] for none.
    pub(super) fn new(indices: &[u16]) -> Self {
        let narrow: Option<Box<[u8]>> = indices.iter().map(|&index| narrowed(index)).collect();
        match narrow {
            Some(narrow) => Self::Narrow(narrow),
            None => Self::Wide(indices.into()),
        }
    }

    /// Returns the index of a bucket's owner.
    pub(super) fn get(&self, bucket: usize) -> Option<usize> {
        match self {
            Self::Narrow(owners) => owners
                .get(bucket)
                .filter(|&&index| index != NO_NARROW_OWNER)
                .map(|&index| usize::from(index)),
            Self::Wide(owners) => owners
                .get(bucket)
                .filter(|&&index| index != NO_OWNER)
                .map(|&index| usize::from(index)),
        }
    }
}

/// Returns an index in one byte, or `None` when it does not fit.
fn narrowed(index: u16) -> Option<u8> {
    if index == NO_OWNER {
        return Some(NO_NARROW_OWNER);
    }
    u8::try_from(index).ok().filter(|&i| i != NO_NARROW_OWNER)
}
