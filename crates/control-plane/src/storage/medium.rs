//! Write access to the store's files, which tests replace to inject faults.

use std::{fs::File, io, os::unix::fs::FileExt};

/// Writes and syncs files. Tests implement it with media that fail, write only in part, or lose what was written.
pub trait Medium: Send + Sync {
    /// Writes all bytes at an offset.
    ///
    /// # Errors
    /// The medium can't write them; some may have been written.
    fn write(&self, file: &File, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Syncs a file: what was written to it before is durable when this succeeds.
    ///
    /// # Errors
    /// The medium can't sync the file; any of the unsynced writes may be lost.
    fn sync(&self, file: &File) -> io::Result<()>;
}

/// Files of the operating system.
pub struct SystemMedium;

impl Medium for SystemMedium {
    fn write(&self, file: &File, offset: u64, bytes: &[u8]) -> io::Result<()> {
        file.write_all_at(bytes, offset)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        file.sync_data()
    }
}
