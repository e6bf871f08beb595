//! An in-memory disk with fault injection that loses unsynced data in a crash.

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard};

use buckthornweir_quorum::storage::Disk;

/// Fault injected at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The process is killed before the step.
    Kill,
    /// The process is killed after half of the bytes of a write.
    Tear,
    /// The step fails with an error and has no effect.
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
    /// Files as visible to the process.
    files: BTreeMap<String, File>,
    /// Files that survive a crash, with the length that was synced.
    durable: BTreeMap<String, File>,
    step: usize,
    fault: Option<(usize, Fault)>,
    killed: bool,
    full: bool,
    /// Whether there is no room, which outlasts a restart.
    out_of_space: bool,
    ignore_syncs: bool,
}

/// A handle to a fake disk; clones share the disk.
#[derive(Debug, Clone, Default)]
pub(crate) struct FakeDisk(Arc<Mutex<State>>);

impl FakeDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("unpoisoned lock")
    }

    /// Injects a fault at the `step`th operation that changes the disk, counted from now.
    pub(crate) fn fail_at(&self, step: usize, fault: Fault) {
        let mut state = self.state();
        state.step = 0;
        state.fault = Some((step, fault));
    }

    /// Returns the number of steps since the last [`FakeDisk::fail_at`].
    pub(crate) fn steps(&self) -> usize {
        self.state().step
    }

    /// Simulates a crash; `keep` returns how many of the unsynced bytes of a file are kept.
    pub(crate) fn crash(&self, keep: impl Fn(usize) -> usize) {
        self.crash_with_hole(keep, 0);
    }

    /// Simulates a crash like [`FakeDisk::crash`] and zeroes the first `hole` kept unsynced bytes,
    /// as if the operating system had written the later part first.
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
            out_of_space: state.out_of_space,
            ..State::default()
        };
    }

    /// Restarts the process without a power loss: all written data is kept.
    pub(crate) fn restart_process(&self) {
        let mut state = self.state();
        let files = std::mem::take(&mut state.files);
        *state = State {
            durable: files.clone(),
            files,
            out_of_space: state.out_of_space,
            ..State::default()
        };
    }

    /// Sets whether the disk is out of space: writes then fail, some after a part of their data.
    pub(crate) fn set_out_of_space(&self, out_of_space: bool) {
        self.state().out_of_space = out_of_space;
    }

    /// Empties the disk.
    pub(crate) fn wipe(&self) {
        let mut state = self.state();
        *state = State {
            out_of_space: state.out_of_space,
            ..State::default()
        };
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

    /// Makes syncs succeed without effect.
    pub(crate) fn ignore_syncs(&self) {
        self.state().ignore_syncs = true;
    }

    /// Counts a step and applies its fault; returns whether the step is torn.
    fn step(&self) -> Result<bool> {
        let mut state = self.state();
        if state.killed {
            return Err(Error::other("killed"));
        }
        if state.full || state.out_of_space {
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
        let is_full = self.state().out_of_space;
        if is_full && let Some(file) = self.state().files.get_mut(name) {
            file.data.extend_from_slice(&data[..data.len() / 2]);
        }
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
