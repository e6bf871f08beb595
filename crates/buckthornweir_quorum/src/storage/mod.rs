//! Storage of the log on one data folder.
//!
//! The folder holds the member's identity, one snapshot, and one segment of records after it.
//! Each record has a checksum and names how much was synced before it, which tells a write that was
//! torn by a crash from damage to what was synced before. A torn write is cut off. After damage,
//! or in an empty folder, the member gets a new identity and has to join again: it never votes
//! with a memory that it lost.
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

/// What a data folder held when it was opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Restored {
    /// Identity of the folder.
    pub id: NodeId,
    /// How the folder was found.
    pub origin: Origin,
    /// Last term.
    pub term: Term,
    /// Vote given in that term.
    pub vote: Option<NodeId>,
    /// Index up to which the entries are known to be committed.
    pub commit: Index,
    /// Snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Restored {
    /// Returns the state of a folder that was empty.
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

/// How a data folder was found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// The folder was empty; the identity is new.
    Empty,
    /// The folder was damaged; the identity is new and the files were set aside.
    Damaged(Damage),
    /// The folder was whole.
    Whole {
        /// Bytes of a torn write that were cut off.
        torn: u64,
    },
}

/// What the first records of a segment hold.
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

/// The records of one member on its data folder.
pub struct Storage {
    disk: Box<dyn Disk + Send>,
    segment: u64,
    length: u64,
    synced: u64,
    snapshot: u64,
    failed: bool,
}

impl Storage {
    /// Opens the data folder `dir`, which is created when it is missing.
    ///
    /// # Errors
    ///
    /// Fails when another process has the folder open, or when it can't be read or written.
    pub fn open(dir: impl AsRef<Path>) -> Result<(Self, Restored)> {
        let folder = Folder::open(dir.as_ref())?;
        Self::open_on(Box::new(folder), rand::random_range(1..=u64::MAX))
    }

    /// Opens the data folder on `disk`; `new_id` becomes the identity if a new one is needed.
    ///
    /// # Errors
    ///
    /// Fails when the disk can't be read or written.
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

    /// Writes and syncs records; they count once this has returned.
    ///
    /// # Errors
    ///
    /// Fails when the disk fails or is full. Nothing can be written after that, and the process
    /// must stop: what the disk holds is known only by opening it again.
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

    /// Notes, without a sync of its own, that everything before was synced.
    fn append_synced_record(&mut self, name: &str) -> Result<()> {
        let mut data = Vec::new();
        RecordBody::Synced(Synced {}).encode_to(self.synced, &mut data);
        self.disk
            .append(name, &data)
            .map_err(|e| Error::at("append", e))?;
        self.length += data.len() as u64;
        Ok(())
    }

    /// Puts a snapshot and the entries after it in place of the snapshot and segment.
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

    /// Writes a new segment, all of it synced before it gets its name.
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

    /// Writes a whole file under its name in one step.
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
