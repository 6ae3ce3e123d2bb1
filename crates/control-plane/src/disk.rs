//! What a seat asks of its disk (design 2.6), met by files in the daemon and by the
//! simulator's disk in tests.

use crate::seat::{Image, Rec};
use std::io;

pub trait Disk: Send {
    /// Writes and syncs; an error means that the seat may no longer trust its disk.
    fn write(&mut self, rec: &Rec) -> io::Result<()>;
}

/// What was found at the start.
#[derive(Debug, PartialEq)]
pub enum Found {
    /// Nothing was ever written here.
    Nothing,
    Image(Box<Image>),
    /// Whole, but in a form that this version can't read: never written over.
    OtherForm,
    /// Synced data is damaged: the seat counts as blank and must be readmitted.
    Damaged(String),
}
