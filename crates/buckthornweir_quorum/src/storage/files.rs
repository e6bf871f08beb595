//! Names of the files in a data folder.

use std::fmt;

/// Ends the name of a file that is not yet whole.
pub(super) const TEMP_SUFFIX: &str = ".new";
/// Begins the name of a file that was set aside.
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
    /// Returns the file that `name` names, if it is one of ours.
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
