//! Names of the files in a data folder.

use std::fmt;

/// Suffix of a temporary file that is not yet completely written.
pub(super) const TEMP_SUFFIX: &str = ".new";
/// Prefix of a quarantined file.
pub(super) const DAMAGED_PREFIX: &str = "damaged-";
/// The file that holds the identity.
pub(super) const IDENTITY: FileName = FileName::Identity;

const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// A file of the data folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FileName {
    Identity,
    Segment(u64),
    Snapshot(u64),
}

impl FileName {
    /// Parses a file name; returns `None` if the storage does not use it.
    pub(super) fn parse(name: &str) -> Option<Self> {
        if name == "identity" {
            return Some(Self::Identity);
        }
        let number = |text| u64::from_str_radix(text, 16).ok();
        if let Some(text) = name.strip_prefix(SEGMENT_PREFIX) {
            return number(text).map(Self::Segment);
        }
        number(name.strip_prefix(SNAPSHOT_PREFIX)?).map(Self::Snapshot)
    }
}

impl fmt::Display for FileName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Identity => f.write_str("identity"),
            Self::Segment(number) => write!(f, "{SEGMENT_PREFIX}{number:016x}"),
            Self::Snapshot(index) => write!(f, "{SNAPSHOT_PREFIX}{index:016x}"),
        }
    }
}
