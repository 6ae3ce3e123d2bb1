//! A voter's disk between its failures (design 2.4): nothing is written after a failed write but what
//! was read from the folder anew.

use crate::{
    consensus::{DurableState, Record},
    disk::{OpenError, RecordWriter, StateStorage},
};
use common::settings::Timing;
use std::{io, time::Duration};

/// Writes a voter's records; after one failed write it takes none until it has recovered.
pub struct Recorder {
    folder: Box<dyn StateStorage>,
    disk: Option<Box<dyn RecordWriter>>,
}

impl Recorder {
    /// Has yet to open its folder.
    pub fn new(folder: Box<dyn StateStorage>) -> Self {
        Self { folder, disk: None }
    }

    /// Whether it takes no records now.
    pub fn failed(&self) -> bool {
        self.disk.is_none()
    }

    /// Writes and syncs one record. The files as they are open are never written again after an error:
    /// a later sync of them could tell of success for what the system has already thrown away.
    pub fn write(&mut self, record: &Record) -> io::Result<()> {
        let disk = self.disk.as_mut().ok_or_else(|| io::Error::other("the disk has not recovered"))?;
        let written = disk.write(record);
        if written.is_err() {
            self.disk = None;
        }
        written
    }

    /// Opens the folder: what it holds is synced when this returns.
    pub fn recover(&mut self) -> Result<DurableState, OpenError> {
        let opened = self.folder.open()?;
        self.disk = Some(opened.disk);
        Ok(opened.image)
    }
}

/// How long to wait before each attempt to recover, and which failures are logged: a heartbeat at
/// first, twice as long each time up to a renewal.
pub struct RecoveryBackoff {
    first_ms: u64,
    most_ms: u64,
    failures: u32,
}

impl RecoveryBackoff {
    pub fn new(timing: &Timing) -> Self {
        Self { first_ms: timing.heartbeat_ms(), most_ms: timing.renew_interval_ms(), failures: 0 }
    }

    /// Before the next attempt.
    pub fn wait(&self) -> Duration {
        let doubled = self.first_ms.saturating_mul(1 << self.failures.min(16));
        Duration::from_millis(doubled.min(self.most_ms))
    }

    /// Counts a failure; whether it is told: the first, the second, the fourth and so on.
    pub fn failed(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures.is_power_of_two()
    }

    pub fn failures(&self) -> u32 {
        self.failures
    }
}
