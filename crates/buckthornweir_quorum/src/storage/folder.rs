//! The file system implementation of [`Disk`].

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use super::{Disk, Error, Result};

const LOCK_FILE: &str = "lock";

/// A folder in the file system, locked against other processes while it is open.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    open_file: Option<(String, File)>,
    _lock: File,
}

impl Folder {
    /// Opens and locks a folder; creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if another process has the folder open, or when it can't be created or
    /// opened.
    pub fn open(path: &Path) -> Result<Self> {
        create_folder(path).map_err(|e| Error::at("create folder", e))?;
        let mut options = OpenOptions::new();
        options.create(true).truncate(false).write(true);
        let lock = options
            .open(path.join(LOCK_FILE))
            .map_err(|e| Error::at("open lock", e))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(Error::Locked),
            Err(TryLockError::Error(e)) => return Err(Error::at("lock", e)),
        }
        Ok(Self {
            path: path.to_owned(),
            open_file: None,
            _lock: lock,
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let cached = self.open_file.take().filter(|(opened, _)| opened == name);
        let entry = match cached {
            Some(entry) => entry,
            None => {
                let path = self.path.join(name);
                (name.to_owned(), OpenOptions::new().append(true).open(path)?)
            }
        };
        Ok(&mut self.open_file.insert(entry).1)
    }
}

impl Disk for Folder {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            let name = entry.file_name().into_string();
            if let Ok(name) = name
                && entry.file_type()?.is_file()
                && name != LOCK_FILE
            {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let path = self.path.join(name);
        let file = File::create(path)?;
        self.open_file = Some((name.to_owned(), file));
        Ok(())
    }

    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(data)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_file = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_file = None;
        fs::remove_file(self.path.join(name))
    }

    fn sync_dir(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

/// Creates the folder and syncs its parent, so that the new folder is durable.
fn create_folder(path: &Path) -> io::Result<()> {
    if path.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(path)?;
    match path.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => File::open(parent)?.sync_all(),
        Some(_) | None => Ok(()),
    }
}
