//! The medium that a store's files are on.

use std::{fs::File, io, os::unix::fs::FileExt};

/// What changes files. Tests have their own, which refuse, tear or forget what is written.
pub trait Medium: Send + Sync {
    /// Writes bytes at an offset.
    fn write(&self, file: &File, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// All that was written to the file is durable when this returns.
    fn sync(&self, file: &File) -> io::Result<()>;
}

/// The operating system's files.
pub struct SystemMedium;

impl Medium for SystemMedium {
    fn write(&self, file: &File, offset: u64, bytes: &[u8]) -> io::Result<()> {
        file.write_all_at(bytes, offset)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        file.sync_data()
    }
}
