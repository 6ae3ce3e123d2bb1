//! Durable storage of a voter: the traits that the data folder implements, and the data folder itself
//! (design 2.4, 2.6).

mod data_folder;
mod file_store;
mod header;
mod layout;
mod log_reader;
mod medium;
mod recorder;

pub use data_folder::{DAMAGED_FILES, DataFolder, blank_voter};
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
    /// The record can't be written or synced. What was written since the last successful sync may be lost.
    fn write(&mut self, record: &Record) -> io::Result<()>;
}

/// The storage of a voter's state. It is opened at the start of the process, and again after a failed write.
pub trait StateStorage: Send {
    /// Reads the state and writes a new copy of it, without overwriting the newest durable one. The copy is synced
    /// when this returns.
    ///
    /// # Errors
    /// See [`OpenError`].
    fn open(&mut self) -> Result<OpenedStorage, OpenError>;
}

/// Opened storage: its state, and the writer for the records that follow.
pub struct OpenedStorage {
    /// The voter's state, which is synced.
    pub state: DurableState,
    /// Writes the next records.
    pub writer: Box<dyn RecordWriter>,
}

/// Why storage can't be opened.
#[derive(Debug)]
pub enum OpenError {
    /// It can't be read or written now; a later attempt may succeed.
    Io {
        /// The operation that failed.
        step: &'static str,
        /// The operating system's error.
        error: io::Error,
    },
    /// It belongs to another node, cluster or version, and is never overwritten. Holds the message for the operator.
    Foreign(String),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Io { step, error } => write!(f, "{step}: {error}"),
            OpenError::Foreign(message) => f.write_str(message),
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

/// The content of a data folder.
#[derive(Debug, PartialEq)]
#[must_use]
pub enum LoadResult {
    /// Nothing was ever written.
    Empty,
    /// A voter's state.
    State(Box<DurableState>),
    /// Undamaged data in a format that this version can't read. It is never overwritten.
    IncompatibleFormat,
    /// Synced data is damaged: the voter starts blank and must be admitted again.
    Corrupt(Corruption),
}

/// What is damaged in a data folder. Slots are identified by their sequence numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Corruption {
    /// Neither slot can be read.
    NoReadableSlot,
    /// A slot that was synced can't be read.
    DamagedSlot(u64),
    /// A slot that was synced is missing, although its log is there.
    MissingSlot(u64),
    /// The header of the log that follows a slot can't be read.
    DamagedLogHeader(u64),
    /// A record of a log doesn't follow the state before it.
    Gap {
        /// Position of the record in the log.
        record: u64,
        /// The slot that the log follows.
        slot: u64,
    },
    /// A record that was synced, or that later records follow, can't be read.
    DamagedLog {
        /// Position of the first record that can't be read.
        record: u64,
        /// The slot that the log follows.
        slot: u64,
    },
    /// A file is missing or shorter than when it was created.
    ShortFile {
        /// The file's name.
        file: String,
        /// Its length in bytes, 0 if it is missing.
        length: u64,
        /// The length that it was created with, in bytes.
        expected: u64,
    },
    /// A log has content, but there is no slot that it could follow.
    LogWithoutSlot {
        /// The log's file name.
        file: String,
    },
}

impl fmt::Display for Corruption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Corruption::NoReadableSlot => write!(f, "no slot can be read"),
            Corruption::DamagedSlot(slot) => write!(f, "slot {slot} was synced and is damaged"),
            Corruption::MissingSlot(slot) => write!(f, "slot {slot} was synced and is missing"),
            Corruption::DamagedLogHeader(slot) => write!(f, "the header of log {slot} is damaged"),
            Corruption::Gap { record, slot } => {
                write!(f, "record {record} of log {slot} does not follow the state before it")
            }
            Corruption::DamagedLog { record, slot } => {
                write!(f, "log {slot} is damaged at record {record}, before its synced end")
            }
            Corruption::ShortFile { file, length, expected } => {
                write!(f, "{file} has {length} bytes of {expected}")
            }
            Corruption::LogWithoutSlot { file } => {
                write!(f, "{file} has content, but there is no slot before it")
            }
        }
    }
}

impl std::error::Error for Corruption {}
