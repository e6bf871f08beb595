//! The folder operations that the storage requires.

use std::io::Result;

/// A folder of files whose contents are durable once they are synced.
///
/// Names are plain file names. Renames and removals are durable once [`Disk::sync_dir`] has
/// returned.
pub trait Disk {
    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be read.
    fn list(&mut self) -> Result<Vec<String>>;

    /// Returns the contents of a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is missing or can't be read.
    fn read(&mut self, name: &str) -> Result<Vec<u8>>;

    /// Creates an empty file, replacing any file with this name.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be created.
    fn create(&mut self, name: &str) -> Result<()>;

    /// Appends to a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written or the disk is full.
    fn append(&mut self, name: &str, data: &[u8]) -> Result<()>;

    /// Makes the contents of a file durable.
    ///
    /// # Errors
    ///
    /// Returns an error if the contents may not be durable.
    fn sync(&mut self, name: &str) -> Result<()>;

    /// Renames a file, replacing any file with the new name.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be renamed.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be removed.
    fn remove(&mut self, name: &str) -> Result<()>;

    /// Makes renames, creations and removals durable.
    ///
    /// # Errors
    ///
    /// Returns an error if the changes may not be durable.
    fn sync_dir(&mut self) -> Result<()>;
}
