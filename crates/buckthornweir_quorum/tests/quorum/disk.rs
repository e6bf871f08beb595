//! A disk in memory that loses at a crash what was not synced, and fails on order.

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard};

use buckthornweir_quorum::storage::Disk;

/// How the disk fails at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The process dies before the step.
    Kill,
    /// The process dies after half of the bytes of a write.
    Tear,
    /// The step reports an error and does nothing.
    Fail,
    /// The disk is full from this step on.
    Full,
}

#[derive(Debug, Clone, Default)]
struct File {
    data: Vec<u8>,
    synced: usize,
}

#[derive(Debug, Default)]
struct State {
    /// Files as the process sees them.
    files: BTreeMap<String, File>,
    /// Names that last.
    durable: BTreeMap<String, File>,
    step: usize,
    fault: Option<(usize, Fault)>,
    killed: bool,
    full: bool,
    ignore_syncs: bool,
}

/// A handle on the disk; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct FakeDisk(Arc<Mutex<State>>);

impl FakeDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no panic under the lock")
    }

    /// Makes the `step`th write or sync from now on fail.
    pub(crate) fn fail_at(&self, step: usize, fault: Fault) {
        let mut state = self.state();
        state.step = 0;
        state.fault = Some((step, fault));
    }

    /// Returns the number of steps since the last [`FakeDisk::fail_at`].
    pub(crate) fn steps(&self) -> usize {
        self.state().step
    }

    /// Loses what was not synced; `keep` tells how much of an unsynced write stays.
    pub(crate) fn crash(&self, keep: impl Fn(usize) -> usize) {
        self.crash_with_hole(keep, 0);
    }

    /// Loses what was not synced as [`FakeDisk::crash`] does, and of what stays the first `hole`
    /// bytes: the system wrote out the later part first.
    pub(crate) fn crash_with_hole(&self, keep: impl Fn(usize) -> usize, hole: usize) {
        let mut state = self.state();
        let mut durable = std::mem::take(&mut state.durable);
        for file in durable.values_mut() {
            let unsynced = file.data.len() - file.synced;
            file.data
                .truncate(file.synced + keep(unsynced).min(unsynced));
            let end = file.data.len().min(file.synced.saturating_add(hole));
            file.data[file.synced..end].fill(0);
            file.synced = file.data.len();
        }
        *state = State {
            files: durable.clone(),
            durable,
            ..State::default()
        };
    }

    /// Ends the process without a loss of power: everything written stays visible.
    pub(crate) fn restart_process(&self) {
        let mut state = self.state();
        let files = std::mem::take(&mut state.files);
        *state = State {
            durable: files.clone(),
            files,
            ..State::default()
        };
    }

    /// Empties the disk.
    pub(crate) fn wipe(&self) {
        *self.state() = State::default();
    }

    /// Returns the names of all files.
    pub(crate) fn names(&self) -> Vec<String> {
        self.state().files.keys().cloned().collect()
    }

    /// Returns the contents of the last file whose name starts with `prefix`.
    pub(crate) fn read_prefix(&self, prefix: &str) -> Vec<u8> {
        let state = self.state();
        let file = state
            .files
            .iter()
            .rev()
            .find(|(name, _)| name.starts_with(prefix));
        file.map(|(_, f)| f.data.clone()).unwrap_or_default()
    }

    /// Changes the contents of the last file whose name starts with `prefix`.
    pub(crate) fn edit(&self, prefix: &str, change: impl Fn(&mut Vec<u8>)) {
        let mut state = self.state();
        let State { files, durable, .. } = &mut *state;
        for set in [files, durable] {
            if let Some((_, file)) = set
                .iter_mut()
                .rev()
                .find(|(name, _)| name.starts_with(prefix))
            {
                change(&mut file.data);
                file.synced = file.data.len();
            }
        }
    }

    /// Makes syncs report success without doing anything.
    pub(crate) fn ignore_syncs(&self) {
        self.state().ignore_syncs = true;
    }

    /// Counts a step; returns whether it is torn.
    fn step(&self) -> Result<bool> {
        let mut state = self.state();
        if state.killed {
            return Err(Error::other("killed"));
        }
        if state.full {
            return Err(ErrorKind::StorageFull.into());
        }
        let step = state.step;
        state.step += 1;
        match state.fault {
            Some((at, Fault::Kill)) if at == step => {
                state.killed = true;
                Err(Error::other("killed"))
            }
            Some((at, Fault::Tear)) if at == step => {
                state.killed = true;
                Ok(true)
            }
            Some((at, Fault::Fail)) if at == step => Err(Error::other("input/output error")),
            Some((at, Fault::Full)) if at == step => {
                state.full = true;
                Err(ErrorKind::StorageFull.into())
            }
            _ => Ok(false),
        }
    }
}

fn not_found() -> Error {
    ErrorKind::NotFound.into()
}

impl Disk for FakeDisk {
    fn list(&mut self) -> Result<Vec<String>> {
        Ok(self.names())
    }

    fn read(&mut self, name: &str) -> Result<Vec<u8>> {
        self.state()
            .files
            .get(name)
            .map(|f| f.data.clone())
            .ok_or_else(not_found)
    }

    fn create(&mut self, name: &str) -> Result<()> {
        if self.step()? {
            return Err(Error::other("killed"));
        }
        self.state().files.insert(name.to_owned(), File::default());
        Ok(())
    }

    fn append(&mut self, name: &str, data: &[u8]) -> Result<()> {
        let torn = self.step()?;
        let written = if torn { &data[..data.len() / 2] } else { data };
        let mut state = self.state();
        state
            .files
            .get_mut(name)
            .ok_or_else(not_found)?
            .data
            .extend_from_slice(written);
        let file = state.files.get(name).cloned().ok_or_else(not_found)?;
        if let Some(durable_file) = state.durable.get_mut(name) {
            durable_file.data = file.data;
        }
        if torn {
            Err(Error::other("killed"))
        } else {
            Ok(())
        }
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        if self.step()? {
            return Err(Error::other("killed"));
        }
        let mut state = self.state();
        if state.ignore_syncs {
            return Ok(());
        }
        let file = state.files.get_mut(name).ok_or_else(not_found)?;
        file.synced = file.data.len();
        let file = file.clone();
        if let Some(durable_file) = state.durable.get_mut(name) {
            *durable_file = file;
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        if self.step()? {
            return Err(Error::other("killed"));
        }
        let mut state = self.state();
        let file = state.files.remove(from).ok_or_else(not_found)?;
        state.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        if self.step()? {
            return Err(Error::other("killed"));
        }
        self.state()
            .files
            .remove(name)
            .map(|_| ())
            .ok_or_else(not_found)
    }

    fn sync_dir(&mut self) -> Result<()> {
        if self.step()? {
            return Err(Error::other("killed"));
        }
        let mut state = self.state();
        state.durable = state.files.clone();
        Ok(())
    }
}
