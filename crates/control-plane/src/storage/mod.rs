//! Durable storage of a voter (design 2.4, 2.6): interfaces that the data folder and the simulators implement,
//! and the data folder itself.

mod data_folder;
mod file_store;
mod layout;
mod log_reader;
mod medium;
mod recorder;

pub use data_folder::{DataFolder, blank_voter};
pub use file_store::FileStore;
pub use medium::{Medium, SystemMedium};
pub use recorder::{Recorder, RecoveryBackoff};

use crate::consensus::{DurableState, Record};
use std::{fmt, io};

/// Writes the records of one voter.
pub trait RecordWriter: Send {
    /// Writes a record and syncs it.
    ///
    /// # Errors
    /// After an error the voter may no longer trust what was written since the last sync.
    fn write(&mut self, record: &Record) -> io::Result<()>;
}

/// Where a voter's state is kept: opened at the start of the process, and again after a write failed.
pub trait StateStorage: Send {
    /// Reads what is whole and writes it anew, apart from what was written before; it is synced when this
    /// returns.
    ///
    /// # Errors
    /// See [`OpenError`].
    fn open(&mut self) -> Result<OpenedStorage, OpenError>;
}

/// Opened storage: what it holds, and what writes to it from there on.
pub struct OpenedStorage {
    /// The voter's state, synced.
    pub state: DurableState,
    /// Takes the next records.
    pub writer: Box<dyn RecordWriter>,
}

/// Why storage could not be opened.
#[derive(Debug)]
pub enum OpenError {
    /// It can't be read or written now; opening it may succeed later.
    Io {
        /// What was tried.
        step: &'static str,
        /// What the system answered.
        error: io::Error,
    },
    /// It belongs to another node, cluster or version: it is never written over.
    Foreign(String),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Io { step, error } => write!(f, "{step}: {error}"),
            OpenError::Foreign(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for OpenError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            OpenError::Io { error, .. } => Some(error),
            OpenError::Foreign(_) => None,
        }
    }
}

/// What a data folder holds.
#[derive(Debug, PartialEq)]
#[must_use]
pub enum LoadResult {
    /// Nothing was ever written.
    Empty,
    /// A voter's state.
    State(Box<DurableState>),
    /// Whole, but in a format that this version can't read: it is never written over.
    IncompatibleFormat,
    /// Synced data is damaged: the voter counts as blank and must be admitted again.
    Corrupt(Corruption),
}

/// What is damaged in a data folder. Slots are named by their sequence number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Corruption {
    /// Neither slot can be read.
    NoReadableSlot,
    /// A slot that was synced can't be read.
    DamagedSlot(u64),
    /// A slot that was synced is not there; its log is.
    MissingSlot(u64),
    /// The header of the log that follows a slot can't be read.
    DamagedLogHeader(u64),
    /// A record can't have been written behind the state before it.
    Gap {
        /// Position of the record in the log.
        record: u64,
        /// The slot that the log follows.
        slot: u64,
    },
    /// The log ends before its synced end.
    DamagedLog {
        /// Position of the first record that can't be read.
        record: u64,
        /// The slot that the log follows.
        slot: u64,
    },
    /// A file is gone or shorter than it was made.
    ShortFile {
        /// Its name.
        file: String,
        /// Its length in bytes.
        length: u64,
        /// The length that it was made with.
        expected: u64,
    },
    /// A log was begun, and there is no slot that it could follow.
    LogWithoutSlot {
        /// The log's file name.
        file: String,
    },
}

impl fmt::Display for Corruption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Corruption::NoReadableSlot => write!(f, "no slot is whole"),
            Corruption::DamagedSlot(slot) => write!(f, "slot {slot} was synced and is damaged"),
            Corruption::MissingSlot(slot) => write!(f, "slot {slot} was synced and is lost"),
            Corruption::DamagedLogHeader(slot) => write!(f, "the header of log {slot} is damaged"),
            Corruption::Gap { record, slot } => {
                write!(f, "record {record} of log {slot} does not follow its slot")
            }
            Corruption::DamagedLog { record, slot } => {
                write!(f, "log {slot} is damaged after record {record}, before its synced end")
            }
            Corruption::ShortFile { file, length, expected } => {
                write!(f, "{file} has {length} bytes of {expected}")
            }
            Corruption::LogWithoutSlot { file } => write!(f, "{file} was begun and no slot is there"),
        }
    }
}

impl std::error::Error for Corruption {}
