//! Errors of the storage.

use std::io;

use quick_error::quick_error;

use crate::entry::Index;

quick_error! {
    /// Tells why the storage failed.
    #[derive(Debug)]
    pub enum Error {
        /// The disk failed.
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
            display("data folder: open in another process")
        }
        /// An earlier write or sync failed.
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
    /// Tells which synced part of a data folder is damaged.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Damage {
        /// The identity is missing or its checksum is wrong.
        Identity {
            display("the identity is missing or damaged")
        }
        /// There is no segment.
        Segment {
            display("the segment is missing")
        }
        /// A record before the last synced one is damaged.
        Record(offset: u64) {
            display("the record at byte {offset} is damaged")
        }
        /// A record is whole but doesn't fit the ones before it.
        Sequence(index: Index) {
            display("the record of entry {index} doesn't fit the ones before")
        }
        /// The snapshot is missing or its checksum is wrong.
        Snapshot(index: Index) {
            display("the snapshot at entry {index} is missing or damaged")
        }
    }
}

/// Result of a storage operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;
