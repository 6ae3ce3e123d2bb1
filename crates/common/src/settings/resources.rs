//! The memory and descriptors of the process, and how they are divided.

use eyre::{Result, ensure};
use serde::{Deserialize, Serialize};

/// Least memory, in megabytes, and fewest descriptors that a process can work with.
const MIN_MEMORY_MB: usize = 16;
const MIN_OPEN_FILES: usize = 64;
/// Bytes of a megabyte.
const MEGABYTE: usize = 1 << 20;
/// Memory that a connection takes beside the bytes of its request: buffers of the HTTP library and tasks.
const CONNECTION_BYTES: usize = 32 << 10;
/// Most descriptors that are left to files of the system's libraries, and the largest part of all, as a divisor.
const MAX_RESERVED_FILES: usize = 200;
const RESERVED_FILES_DIVISOR: usize = 3;
/// Fewest connections of clients, whatever the limits.
const MIN_CLIENT_CONNECTIONS: usize = 16;

/// What the machine gives the process.
///
/// A quarter of the memory is for the bytes of clients' requests, and a quarter for their connections. Of the
/// descriptors, two fifths are for connections of clients, as many for those that their requests need, and an eighth for nodes that have not identified themselves; the
/// rest is for replicas and other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Resources {
    /// Memory of the process, in megabytes.
    pub memory_mb: usize,
    /// Descriptors that the process may have open.
    pub open_files: usize,
}

impl Default for Resources {
    fn default() -> Self {
        Self { memory_mb: 512, open_files: 4_096 }
    }
}

impl Resources {
    /// These resources, or the least that a process can work with.
    pub fn at_least(memory_mb: usize, open_files: usize) -> Self {
        Self { memory_mb: memory_mb.max(MIN_MEMORY_MB), open_files: open_files.max(MIN_OPEN_FILES) }
    }

    /// Checks that a process can work with them.
    ///
    /// # Errors
    /// A value is too small; the message names it and the allowed values.
    pub fn check(&self) -> Result<()> {
        ensure!(
            self.memory_mb >= MIN_MEMORY_MB,
            "resources.memory_mb: {}; allowed: {MIN_MEMORY_MB} or more",
            self.memory_mb
        );
        ensure!(
            self.open_files >= MIN_OPEN_FILES,
            "resources.open_files: {}; allowed: {MIN_OPEN_FILES} or more",
            self.open_files
        );
        Ok(())
    }

    /// Memory for the bytes of clients' requests.
    pub fn request_bytes(&self) -> usize {
        self.memory_mb.saturating_mul(MEGABYTE) / 4
    }

    fn usable_files(&self) -> usize {
        self.open_files - MAX_RESERVED_FILES.min(self.open_files / RESERVED_FILES_DIVISOR)
    }

    /// Most connections of clients at the same time.
    pub fn client_connections(&self) -> usize {
        let by_memory = self.memory_mb.saturating_mul(MEGABYTE) / 4 / CONNECTION_BYTES;
        (self.usable_files() * 2 / 5).min(by_memory).max(MIN_CLIENT_CONNECTIONS)
    }

    /// Most connections of nodes that have not identified themselves.
    pub fn unidentified_connections(&self) -> usize {
        self.usable_files() / 8
    }
}
