//! Recovery of a data folder: truncates torn writes, detects damage and quarantines damaged files.

use bytes::Bytes;

use super::files::{DAMAGED_PREFIX, FileName, IDENTITY, TEMP_SUFFIX};
use super::frame::{decode_frame, find_synced_frame};
use super::record::{Identity, RecordBody};
use super::{Damage, Error, Origin, Restored, Result, SegmentStart, Storage};
use crate::bundles::Bundles;
use crate::entry::{Entry, Index, Snapshot};
use crate::members::NodeId;

/// The file that initialization writes before the identity.
const FIRST_SEGMENT: FileName = FileName::Segment(1);

/// State read from a segment.
struct Replay {
    restored: Restored,
    valid_bytes: u64,
}

type DamageResult<T> = std::result::Result<T, Damage>;

impl Storage {
    /// Recovers the state from the folder and prepares the folder for writing.
    pub(super) fn recover(&mut self, new_id: NodeId) -> Result<Restored> {
        let names = self.disk.list().map_err(|e| Error::at("list", e))?;
        let files: Vec<_> = names
            .iter()
            .filter_map(|name| FileName::parse(name))
            .collect();
        let is_interrupted_start = files == [FIRST_SEGMENT];
        if files.is_empty() || is_interrupted_start {
            return self.init_folder(new_id, Origin::Empty, &names);
        }
        match self.read_files(&files)? {
            Ok(restored) => {
                self.remove_obsolete(&names)?;
                Ok(restored)
            }
            Err(damage) => {
                self.remove_matching(&names, |name| name.starts_with(DAMAGED_PREFIX))?;
                self.quarantine(&files)?;
                self.init_folder(new_id, Origin::Damaged(damage), &[])
            }
        }
    }

    fn init_folder(&mut self, id: NodeId, origin: Origin, names: &[String]) -> Result<Restored> {
        self.snapshot = 0;
        self.remove_matching(names, |name| name.ends_with(TEMP_SUFFIX))?;
        let restored = Restored {
            origin,
            ..Restored::blank(id)
        };
        self.start_segment(1, 0, &SegmentStart::from_restored(&restored))?;
        self.write_identity(id)?;
        Ok(restored)
    }

    /// Reads the newest segment and its snapshot, and rewrites the segment as a new file.
    ///
    /// After a failed sync, the page cache may hold bytes that are not on disk, and another sync of
    /// the same file would not write them. Writing a new file does.
    fn read_files(&mut self, files: &[FileName]) -> Result<DamageResult<Restored>> {
        if !files.contains(&IDENTITY) {
            return Ok(Err(Damage::Identity));
        }
        let segments = files.iter().filter_map(|file| match file {
            FileName::Segment(number) => Some(*number),
            FileName::Identity | FileName::Snapshot(_) => None,
        });
        let Some(segment) = segments.max() else {
            return Ok(Err(Damage::Segment));
        };
        let identity = self.read(IDENTITY)?;
        let data = self.read(FileName::Segment(segment))?;
        let replay = read_identity(&identity).and_then(|id| replay(id, &data));
        let (mut replay, snapshot_index) = match replay {
            Ok(replay) => replay,
            Err(damage) => return Ok(Err(damage)),
        };
        if snapshot_index != 0 {
            match self.read_snapshot(snapshot_index, files)? {
                Ok(snapshot) => replay.restored.snapshot = Some(snapshot),
                Err(damage) => return Ok(Err(damage)),
            }
        }
        self.snapshot = snapshot_index;
        let torn = data.len() as u64 - replay.valid_bytes;
        let restored = Restored {
            origin: Origin::Whole { torn },
            ..replay.restored
        };
        self.start_segment(
            segment + 1,
            snapshot_index,
            &SegmentStart::from_restored(&restored),
        )?;
        Ok(Ok(restored))
    }

    fn read_snapshot(
        &mut self,
        index: Index,
        files: &[FileName],
    ) -> Result<DamageResult<Snapshot>> {
        let name = FileName::Snapshot(index);
        if !files.contains(&name) {
            return Ok(Err(Damage::Snapshot(index)));
        }
        let data = self.read(name)?;
        let payload = decode_frame(&data).map(|f| Bytes::copy_from_slice(f.payload));
        let snapshot = payload.and_then(|payload| Snapshot::decode(payload).ok());
        let readable = |s: &Snapshot| s.index == index && Bundles::decode(s.state.clone()).is_ok();
        let snapshot = snapshot.filter(readable);
        Ok(snapshot.ok_or(Damage::Snapshot(index)))
    }

    /// Removes temporary files and obsolete segments and snapshots.
    fn remove_obsolete(&mut self, names: &[String]) -> Result<()> {
        let (segment, snapshot) = (self.segment, self.snapshot);
        let obsolete = |name: &str| match FileName::parse(name) {
            Some(FileName::Segment(number)) => number != segment,
            Some(FileName::Snapshot(index)) => index != snapshot,
            Some(FileName::Identity) => false,
            None => name.ends_with(TEMP_SUFFIX),
        };
        self.remove_matching(names, obsolete)?;
        self.disk
            .sync_dir()
            .map_err(|e| Error::at("sync folder", e))
    }

    fn remove_matching(&mut self, names: &[String], obsolete: impl Fn(&str) -> bool) -> Result<()> {
        for name in names.iter().filter(|name| obsolete(name)) {
            self.disk.remove(name).map_err(|e| Error::at("remove", e))?;
        }
        Ok(())
    }

    /// Renames all files to quarantined names.
    ///
    /// The identity is renamed and synced first, so that it is never used again after a crash.
    fn quarantine(&mut self, files: &[FileName]) -> Result<()> {
        let (identity, others): (Vec<_>, Vec<_>) = files.iter().partition(|f| **f == IDENTITY);
        for group in [identity, others] {
            for name in group.into_iter().map(FileName::to_string) {
                let quarantined = format!("{DAMAGED_PREFIX}{name}");
                self.disk
                    .rename(&name, &quarantined)
                    .map_err(|e| Error::at("rename", e))?;
            }
            self.disk
                .sync_dir()
                .map_err(|e| Error::at("sync folder", e))?;
        }
        Ok(())
    }

    fn read(&mut self, name: FileName) -> Result<Vec<u8>> {
        self.disk
            .read(&name.to_string())
            .map_err(|e| Error::at("read", e))
    }
}

fn read_identity(data: &[u8]) -> DamageResult<NodeId> {
    let frame = decode_frame(data).ok_or(Damage::Identity)?;
    Identity::from_bytes(frame.payload)
        .map(|i| i.id)
        .map_err(|_| Damage::Identity)
}

/// Reads all intact records of a segment; returns the state with the index of its snapshot.
fn replay(id: NodeId, data: &[u8]) -> DamageResult<(Replay, Index)> {
    let mut replay = Replay {
        restored: Restored::blank(id),
        valid_bytes: 0,
    };
    let mut snapshot_index = None;
    let mut position = 0;
    while let Some(frame) = data.get(position..).and_then(decode_frame) {
        let damage = || Damage::Record(position as u64);
        let body = RecordBody::decode(frame.payload).map_err(|_| damage())?;
        match (snapshot_index, body) {
            (None, RecordBody::Start(start)) => snapshot_index = Some(start.snapshot),
            (Some(snapshot_index), body) => replay.restored.apply_record(snapshot_index, body)?,
            (None, _) => return Err(damage()),
        }
        position += frame.size();
    }
    replay.valid_bytes = position as u64;
    let snapshot_index = snapshot_index.ok_or(Damage::Record(0))?;
    if find_synced_frame(data, position).is_some() {
        return Err(Damage::Record(position as u64));
    }
    Ok((replay, snapshot_index))
}

impl Restored {
    fn apply_record(&mut self, snapshot_index: Index, body: RecordBody) -> DamageResult<()> {
        let next = snapshot_index + self.entries.len() as Index + 1;
        match body {
            RecordBody::Vote(vote) => {
                self.term = vote.term;
                self.vote = vote.vote;
            }
            RecordBody::Entry(entry) if entry.index == next => {
                let (index, term, data) = (entry.index, entry.term, entry.data);
                self.entries.push(Entry { index, term, data });
            }
            RecordBody::Truncate(truncate) if truncate.from > snapshot_index.max(self.commit) => {
                self.entries.retain(|e| e.index < truncate.from);
            }
            RecordBody::Commit(commit) => self.commit = self.commit.max(commit.index.min(next - 1)),
            RecordBody::Synced(_) => {}
            RecordBody::Entry(entry) => return Err(Damage::Sequence(entry.index)),
            RecordBody::Truncate(truncate) => return Err(Damage::Sequence(truncate.from)),
            RecordBody::Start(start) => return Err(Damage::Sequence(start.snapshot)),
        }
        Ok(())
    }
}
