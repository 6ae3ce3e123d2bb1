//! What a voter asks of its disk (design 2.4, 2.6), met by files in the daemon and by the
//! simulator's disk in tests.

use crate::consensus::{DurableState, Record};
use std::{fmt, io};

pub trait RecordWriter: Send {
    /// Writes and syncs; an error means that the voter may no longer trust its disk.
    fn write(&mut self, record: &Record) -> io::Result<()>;
}

/// What was found at the start.
#[derive(Debug, PartialEq)]
pub enum LoadResult {
    /// Nothing was ever written here.
    Nothing,
    DurableState(Box<DurableState>),
    /// Whole, but in a form that this version can't read: never written over.
    IncompatibleFormat,
    /// Synced data is damaged: the voter counts as blank and must be readmitted.
    Corrupt(String),
}

/// What a folder holds, and what writes to it from there on.
pub struct Opened {
    pub image: DurableState,
    pub disk: Box<dyn RecordWriter>,
}

/// Why a folder could not be opened.
#[derive(Debug)]
pub enum OpenError {
    /// It can't be read or written now; it is tried again.
    Refused { step: &'static str, error: io::Error },
    /// It belongs to another node or version: never written over.
    NotOurs(String),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Refused { step, error } => write!(f, "{step}: {error}"),
            OpenError::NotOurs(why) => write!(f, "{why}"),
        }
    }
}

impl std::error::Error for OpenError {}

/// Where a voter's state is kept: opened at the start of the process, and again after a write failed.
pub trait StateStorage: Send {
    /// Reads what is whole there and writes it anew, apart from what was written before; it is synced
    /// when this returns.
    fn open(&mut self) -> Result<Opened, OpenError>;
}
