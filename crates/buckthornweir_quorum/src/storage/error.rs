//! Errors of the storage.

use std::io;

use quick_error::quick_error;

use crate::entry::Index;

quick_error! {
    /// Error of a storage operation.
    #[derive(Debug)]
    pub enum Error {
        /// A disk operation failed.
        Disk(step: &'static str, err: io::Error) {
            source(err)
            display("data folder: {step}: {err}")
        }
        /// The disk is full.
        Full(step: &'static str) {
            display("data folder: {step}: no space left")
        }
        /// Another process has the folder open.
        Locked {
            display("data folder: locked by another process")
        }
        /// An earlier write or sync failed, after which nothing is written.
        Stopped {
            display("data folder: stopped after an earlier failure")
        }
    }
}

impl Error {
    pub(crate) fn at(step: &'static str, err: io::Error) -> Self {
        match err.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full(step),
            _ => Self::Disk(step, err),
        }
    }
}

quick_error! {
    /// Damage to a part of a data folder that had been synced.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Damage {
        /// The identity is missing or its checksum is wrong.
        Identity {
            display("the identity is missing or damaged")
        }
        /// The folder has no segment.
        Segment {
            display("the segment is missing")
        }
        /// A record before the last synced one is damaged.
        Record(offset: u64) {
            display("the record at byte {offset} is damaged")
        }
        /// A record is intact but does not follow from the records before it.
        Sequence(index: Index) {
            display("the record of entry {index} does not follow the records before it")
        }
        /// The snapshot is missing or its checksum is wrong.
        Snapshot(index: Index) {
            display("the snapshot at entry {index} is missing or damaged")
        }
    }
}

/// Result of a storage operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;
