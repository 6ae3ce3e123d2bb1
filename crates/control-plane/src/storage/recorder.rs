//! Writing of a voter's records, with recovery from disk errors: after a failed write, nothing is written until the
//! folder has been read again (design 2.4).

use super::{OpenError, RecordWriter, StateStorage};
use crate::consensus::{DurableState, Record};
use common::settings::Timing;
use std::{io, time::Duration};

/// Writes a voter's records. After a failed write it accepts none until [`Recorder::recover`] succeeds.
pub struct Recorder {
    storage: Box<dyn StateStorage>,
    writer: Option<Box<dyn RecordWriter>>,
}

impl Recorder {
    /// A recorder whose storage is not open yet: [`Recorder::recover`] opens it.
    pub fn new(storage: Box<dyn StateStorage>) -> Self {
        Self { storage, writer: None }
    }

    /// Whether the storage is not open: it never was, or a write failed.
    pub fn failed(&self) -> bool {
        self.writer.is_none()
    }

    /// Writes and syncs one record. After an error the open files are not used again: a later sync of them could
    /// succeed although the operating system has already dropped the unsynced data.
    ///
    /// # Errors
    /// The record can't be written or synced, or the storage is not open.
    pub fn write(&mut self, record: &Record) -> io::Result<()> {
        let writer = self.writer.as_mut().ok_or_else(|| io::Error::other("the disk has not recovered"))?;
        let result = writer.write(record);
        if result.is_err() {
            self.writer = None;
        }
        result
    }

    /// Opens the storage and returns its state, which is synced.
    ///
    /// # Errors
    /// See [`OpenError`].
    pub fn recover(&mut self) -> Result<DurableState, OpenError> {
        let opened = self.storage.open()?;
        self.writer = Some(opened.writer);
        Ok(opened.state)
    }
}

/// Upper bound on the number of doublings, against an overflow; the maximum wait is reached before.
const MAX_DOUBLINGS: u32 = 16;

/// Exponential backoff between attempts to recover: from one heartbeat interval up to one lease renewal interval.
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

    /// How long to wait before the next attempt.
    pub fn wait(&self) -> Duration {
        let doubled = self.first_ms.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS));
        Duration::from_millis(doubled.min(self.max_ms))
    }

    /// Counts a failed attempt. Returns whether it should be logged: the first, second, fourth, eighth and so on.
    pub fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures.is_power_of_two()
    }

    /// Number of failed attempts so far.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
