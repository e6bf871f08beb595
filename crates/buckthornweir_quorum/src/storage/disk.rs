//! The few operations on a folder that the storage needs.

use std::io::Result;

/// A folder of files whose contents last once they are synced.
///
/// Names are plain file names. A rename or removal lasts once [`Disk::sync_dir`] has returned.
pub trait Disk {
    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be read.
    fn list(&mut self) -> Result<Vec<String>>;

    /// Returns the contents of a file.
    ///
    /// # Errors
    ///
    /// Fails when the file is missing or can't be read.
    fn read(&mut self, name: &str) -> Result<Vec<u8>>;

    /// Creates an empty file, in place of one with this name.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be created.
    fn create(&mut self, name: &str) -> Result<()>;

    /// Writes at the end of a file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be written or the disk is full.
    fn append(&mut self, name: &str, data: &[u8]) -> Result<()>;

    /// Makes the contents of a file last.
    ///
    /// # Errors
    ///
    /// Fails when the contents may not last.
    fn sync(&mut self, name: &str) -> Result<()>;

    /// Gives a file a new name, in place of one with that name.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be renamed.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be removed.
    fn remove(&mut self, name: &str) -> Result<()>;

    /// Makes renames, creations and removals last.
    ///
    /// # Errors
    ///
    /// Fails when they may not last.
    fn sync_dir(&mut self) -> Result<()>;
}
