//! Durable storage of the log in a data folder.
//!
//! The folder holds the identity of the member, one snapshot, and one segment of records after it.
//! Each record has a checksum and the length that was synced before it, which distinguishes a write
//! torn by a crash from damage to synced data. A torn write is truncated. After damage, or in an
//! empty folder, the member gets a new identity and must join again, so that it never votes after
//! losing a record of its earlier votes.
//!
//! ```
//! use buckthornweir_quorum::prelude::*;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let dir = tempfile::tempdir()?;
//! let (mut storage, restored) = Storage::open(dir.path())?;
//! storage.persist(&[Record::Vote { term: 1, vote: Some(restored.id) }])?;
//! drop(storage);
//! let (_, again) = Storage::open(dir.path())?;
//! assert_eq!((again.id, again.term), (restored.id, 1));
//! # Ok(())
//! # }
//! ```

mod disk;
mod error;
mod files;
mod folder;
mod frame;
mod record;
mod recovery;

use std::path::Path;

pub use self::disk::Disk;
pub use self::error::{Damage, Error, Result};
use self::files::{FileName, IDENTITY};
pub use self::folder::Folder;
pub use self::frame::{FRAME_HEADER_BYTES, Frame, decode_frame};
use self::record::{Commit, RecordBody, Start as StartRecord, Synced};
pub use self::record::{Record, Reset};
use crate::entry::{Entry, Index, Snapshot, Term};
use crate::members::NodeId;

/// State recovered from a data folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Restored {
    /// Identity of the folder.
    pub id: NodeId,
    /// Condition of the folder when it was opened.
    pub origin: Origin,
    /// Last term.
    pub term: Term,
    /// Vote granted in that term.
    pub vote: Option<NodeId>,
    /// Highest index known to be committed.
    pub commit: Index,
    /// Snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Restored {
    /// Returns the state of an empty folder.
    #[must_use]
    pub fn blank(id: NodeId) -> Self {
        Self {
            id,
            origin: Origin::Empty,
            term: 0,
            vote: None,
            commit: 0,
            snapshot: None,
            entries: Vec::new(),
        }
    }
}

/// Condition of a data folder when it was opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// The folder was empty; the identity is new.
    Empty,
    /// The folder was damaged; the identity is new and the files were quarantined.
    Damaged(Damage),
    /// The folder was intact.
    Whole {
        /// Size of the truncated torn write, in bytes.
        torn: u64,
    },
}

/// State written to the first records of a segment.
struct SegmentStart<'a> {
    term: Term,
    vote: Option<NodeId>,
    commit: Index,
    entries: &'a [Entry],
}

impl<'a> SegmentStart<'a> {
    fn from_reset(reset: &'a Reset) -> Self {
        let commit = reset.snapshot.index;
        Self {
            term: reset.term,
            vote: reset.vote,
            commit,
            entries: &reset.entries,
        }
    }

    fn from_restored(restored: &'a Restored) -> Self {
        let Restored {
            term, vote, commit, ..
        } = *restored;
        Self {
            term,
            vote,
            commit,
            entries: &restored.entries,
        }
    }
}

/// Durable storage of the records of a member.
pub struct Storage {
    disk: Box<dyn Disk + Send>,
    segment: u64,
    length: u64,
    synced: u64,
    snapshot: u64,
    failed: bool,
}

impl Storage {
    /// Opens the data folder `dir`; creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if another process has the folder open, or when it can't be read or
    /// written.
    pub fn open(dir: impl AsRef<Path>) -> Result<(Self, Restored)> {
        let folder = Folder::open(dir.as_ref())?;
        Self::open_on(Box::new(folder), rand::random_range(1..=u64::MAX))
    }

    /// Opens the data folder on `disk`; `new_id` becomes the identity if a new one is required.
    ///
    /// # Errors
    ///
    /// Returns an error if the disk can't be read or written.
    pub fn open_on(disk: Box<dyn Disk + Send>, new_id: NodeId) -> Result<(Self, Restored)> {
        let mut storage = Self {
            disk,
            segment: 0,
            length: 0,
            synced: 0,
            snapshot: 0,
            failed: false,
        };
        let restored = storage.recover(new_id)?;
        Ok((storage, restored))
    }

    /// Writes and syncs records, which are durable once this returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the disk fails or is full. Nothing can be written after that, and the
    /// process must stop, because the content of the disk is unknown until the folder is opened
    /// again.
    pub fn persist(&mut self, records: &[Record]) -> Result<()> {
        if self.failed {
            return Err(Error::Stopped);
        }
        self.failed = true;
        self.write(records)?;
        self.failed = false;
        Ok(())
    }

    /// Returns the size of the current segment, in bytes.
    #[must_use]
    pub fn segment_bytes(&self) -> u64 {
        self.length
    }

    fn write(&mut self, records: &[Record]) -> Result<()> {
        let last_reset = records.iter().rposition(|r| matches!(r, Record::Reset(_)));
        let rest = match last_reset {
            Some(position) => {
                if let Some(Record::Reset(reset)) = records.get(position) {
                    self.reset(reset)?;
                }
                records.get(position + 1..).unwrap_or_default()
            }
            None => records,
        };
        self.append_batch(rest)
    }

    fn append_batch(&mut self, records: &[Record]) -> Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let synced = self.synced;
        let mut data = Vec::new();
        for body in records.iter().filter_map(RecordBody::from_record) {
            body.encode_to(synced, &mut data);
        }
        let name = FileName::Segment(self.segment).to_string();
        self.disk
            .append(&name, &data)
            .map_err(|e| Error::at("append", e))?;
        self.disk.sync(&name).map_err(|e| Error::at("sync", e))?;
        self.length += data.len() as u64;
        self.synced = self.length;
        self.append_synced_record(&name)
    }

    /// Appends, without syncing it, a record that everything before it was synced.
    fn append_synced_record(&mut self, name: &str) -> Result<()> {
        let mut data = Vec::new();
        RecordBody::Synced(Synced {}).encode_to(self.synced, &mut data);
        self.disk
            .append(name, &data)
            .map_err(|e| Error::at("append", e))?;
        self.length += data.len() as u64;
        Ok(())
    }

    /// Replaces the snapshot and segment with a new snapshot and the entries after it.
    fn reset(&mut self, reset: &Reset) -> Result<()> {
        let (old_segment, old_snapshot) = (self.segment, self.snapshot);
        let index = reset.snapshot.index;
        let mut data = Vec::new();
        frame::encode(0, &reset.snapshot.encode(), &mut data);
        self.write_file(FileName::Snapshot(index), &data)?;
        self.start_segment(old_segment + 1, index, &SegmentStart::from_reset(reset))?;
        self.snapshot = index;
        self.remove(FileName::Segment(old_segment))?;
        if old_snapshot != index && old_snapshot != 0 {
            self.remove(FileName::Snapshot(old_snapshot))?;
        }
        Ok(())
    }

    /// Writes a new segment, which is synced before it is renamed to its final name.
    fn start_segment(
        &mut self,
        segment: u64,
        snapshot: Index,
        start: &SegmentStart<'_>,
    ) -> Result<()> {
        let mut data = Vec::new();
        RecordBody::Start(StartRecord { snapshot }).encode_to(0, &mut data);
        RecordBody::vote(start.term, start.vote).encode_to(0, &mut data);
        for entry in start.entries {
            RecordBody::entry(entry).encode_to(0, &mut data);
        }
        RecordBody::Commit(Commit {
            index: start.commit,
        })
        .encode_to(0, &mut data);
        let end = data.len() as u64;
        RecordBody::Synced(Synced {}).encode_to(end, &mut data);
        self.write_file(FileName::Segment(segment), &data)?;
        self.segment = segment;
        self.length = data.len() as u64;
        self.synced = self.length;
        Ok(())
    }

    fn write_identity(&mut self, id: NodeId) -> Result<()> {
        let mut data = Vec::new();
        frame::encode(0, &record::Identity { id }.to_bytes(), &mut data);
        self.write_file(IDENTITY, &data)
    }

    /// Writes a file atomically, through a temporary file.
    fn write_file(&mut self, name: FileName, data: &[u8]) -> Result<()> {
        let name = name.to_string();
        let temp_name = format!("{name}{}", files::TEMP_SUFFIX);
        self.disk
            .create(&temp_name)
            .map_err(|e| Error::at("create", e))?;
        self.disk
            .append(&temp_name, data)
            .map_err(|e| Error::at("append", e))?;
        self.disk
            .sync(&temp_name)
            .map_err(|e| Error::at("sync", e))?;
        self.disk
            .rename(&temp_name, &name)
            .map_err(|e| Error::at("rename", e))?;
        self.disk
            .sync_dir()
            .map_err(|e| Error::at("sync folder", e))
    }

    fn remove(&mut self, name: FileName) -> Result<()> {
        self.disk
            .remove(&name.to_string())
            .map_err(|e| Error::at("remove", e))
    }
}
