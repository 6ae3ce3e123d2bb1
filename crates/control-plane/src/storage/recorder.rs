//! A voter's disk between its failures (design 2.4): after a failed write nothing is written but what was read
//! from the folder anew.

use super::{OpenError, RecordWriter, StateStorage};
use crate::consensus::{DurableState, Record};
use common::settings::Timing;
use std::{io, time::Duration};

/// Writes a voter's records; after one failed write it takes none until it has recovered.
pub struct Recorder {
    storage: Box<dyn StateStorage>,
    writer: Option<Box<dyn RecordWriter>>,
}

impl Recorder {
    /// A recorder that has yet to open its storage.
    pub fn new(storage: Box<dyn StateStorage>) -> Self {
        Self { storage, writer: None }
    }

    /// Whether it takes no records now.
    pub fn failed(&self) -> bool {
        self.writer.is_none()
    }

    /// Writes and syncs one record. Files that had an error are never written again as they are open: a later
    /// sync of them could report success for what the system has already dropped.
    ///
    /// # Errors
    /// What the system answered, or that the disk has not recovered.
    pub fn write(&mut self, record: &Record) -> io::Result<()> {
        let writer = self.writer.as_mut().ok_or_else(|| io::Error::other("the disk has not recovered"))?;
        let written = writer.write(record);
        if written.is_err() {
            self.writer = None;
        }
        written
    }

    /// Opens the storage: what it holds is synced when this returns.
    ///
    /// # Errors
    /// See [`OpenError`].
    pub fn recover(&mut self) -> Result<DurableState, OpenError> {
        let opened = self.storage.open()?;
        self.writer = Some(opened.writer);
        Ok(opened.state)
    }
}

/// Doublings after which the backoff is at its maximum for any timing.
const MAX_DOUBLINGS: u32 = 16;

/// How long to wait before each attempt to recover: a heartbeat at first, then twice as long each time, up to a
/// lease renewal.
pub struct RecoveryBackoff {
    first_ms: u64,
    max_ms: u64,
    failures: u32,
}

impl RecoveryBackoff {
    /// The backoff for a node with this timing.
    pub fn new(timing: &Timing) -> Self {
        Self { first_ms: timing.heartbeat_ms(), max_ms: timing.renew_interval_ms(), failures: 0 }
    }

    /// The wait before the next attempt.
    pub fn wait(&self) -> Duration {
        let doubled = self.first_ms.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS));
        Duration::from_millis(doubled.min(self.max_ms))
    }

    /// Counts a failure. Returns whether it is to be logged: the first, the second, the fourth and so on.
    pub fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures.is_power_of_two()
    }

    /// Failures so far.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
