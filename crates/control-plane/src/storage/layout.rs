//! The layout of the store's files: headers, bodies, and how they are read and reserved. At most one piece of
//! a file is held in memory beyond what is read for use.

use super::{Corruption, LoadResult, Medium};
use crate::types::{SHORT_LOG_BYTES, SLOT_BYTES};
use std::{
    fs::{File, OpenOptions},
    io,
    ops::Range,
    os::unix::fs::FileExt,
    path::Path,
};

/// Begins every header; its last two digits are the version of the format.
pub(super) const MAGIC: &[u8; 8] = b"fshunt06";
/// Length of [`MAGIC`] without the version.
pub(super) const MAGIC_NAME_BYTES: usize = 6;
/// Length of a header, in bytes.
pub(super) const HEADER_BYTES: usize = 32;
/// Most that is filled or searched at once, in bytes: a process's memory at its peak counts.
pub(super) const PIECE_BYTES: usize = 64 << 10;

/// Stands before a snapshot, a log or a record: the magic, two numbers, and a checksum of the body and of the
/// header itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Header {
    /// Sequence number of a slot, of the slot that a log follows, or the number of a record.
    pub sequence: u64,
    /// Length of a slot's or record's body; synced records of a log.
    pub number: u64,
    /// Checksum of the body.
    pub body_crc: u32,
}

const SEQUENCE: Range<usize> = 8..16;
const NUMBER: Range<usize> = 16..24;
const BODY_CRC: Range<usize> = 24..28;
const HEADER_CRC: Range<usize> = 28..32;

impl Header {
    pub fn new(sequence: u64, number: u64, body: &[u8]) -> Self {
        Self { sequence, number, body_crc: crc32fast::hash(body) }
    }

    pub fn to_bytes(self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0u8; HEADER_BYTES];
        bytes[..MAGIC.len()].copy_from_slice(MAGIC);
        bytes[SEQUENCE].copy_from_slice(&self.sequence.to_le_bytes());
        bytes[NUMBER].copy_from_slice(&self.number.to_le_bytes());
        bytes[BODY_CRC].copy_from_slice(&self.body_crc.to_le_bytes());
        let crc = crc32fast::hash(&bytes[..HEADER_CRC.start]);
        bytes[HEADER_CRC].copy_from_slice(&crc.to_le_bytes());
        bytes
    }

    /// The header in these bytes, if it is whole.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let number = |range: Range<usize>| bytes.get(range)?.try_into().ok().map(u64::from_le_bytes);
        let checksum = |range: Range<usize>| bytes.get(range)?.try_into().ok().map(u32::from_le_bytes);
        let own_crc = crc32fast::hash(bytes.get(..HEADER_CRC.start)?);
        if !bytes.starts_with(MAGIC) || checksum(HEADER_CRC)? != own_crc {
            return None;
        }
        Some(Self { sequence: number(SEQUENCE)?, number: number(NUMBER)?, body_crc: checksum(BODY_CRC)? })
    }
}

/// Bits of a record's number for its position in the log; the rest names the slot that the log follows.
const POSITION_BITS: u32 = 32;

/// The number of a log's record. What an older log left in the file has another one, however the two were
/// mixed by a crash while the log was begun.
pub(super) fn record_number(slot: u64, position: u64) -> u64 {
    (slot << POSITION_BITS) | position
}

/// The position of a record by its number, if it belongs to the log of that slot. Numbers without a slot are of
/// an earlier release.
pub(super) fn record_position(slot: u64, number: u64) -> Option<u64> {
    let named_slot = number >> POSITION_BITS;
    let position = number & ((1 << POSITION_BITS) - 1);
    (named_slot == 0 || named_slot == slot & (u64::MAX >> POSITION_BITS)).then_some(position)
}

pub(super) fn open_for_writing(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
}

/// Opens a file for reading; `None` where there is none.
pub(super) fn open_if_present(path: &Path) -> io::Result<Option<File>> {
    match File::open(path) {
        Ok(file) => Ok(Some(file)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Fills a file with zeros from an offset up to `length`.
pub(super) fn fill_with_zeros(medium: &dyn Medium, file: &File, from: u64, length: u64) -> io::Result<()> {
    let zeros = vec![0u8; PIECE_BYTES];
    let mut offset = from;
    while offset < length {
        let count = (length - offset).min(PIECE_BYTES as u64);
        medium.write(file, offset, &zeros[..count as usize])?;
        offset += count;
    }
    Ok(())
}

/// Makes a file as long as it will ever be.
pub(super) fn reserve(medium: &dyn Medium, path: &Path, length: u64) -> io::Result<()> {
    let file = open_for_writing(path)?;
    let present = file.metadata()?.len();
    if present < length {
        fill_with_zeros(medium, &file, present, length)?;
        medium.sync(&file)?;
    }
    Ok(())
}

/// Up to `length` bytes from an offset on; fewer where the file ends.
pub(super) fn read_piece(file: &File, offset: u64, length: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0u8; length];
    let mut have = 0;
    while have < length {
        match file.read_at(&mut bytes[have..], offset + have as u64)? {
            0 => break,
            count => have += count,
        }
    }
    bytes.truncate(have);
    Ok(bytes)
}

/// The header at the start of a file; `None` without a whole one.
pub(super) fn read_header(path: &Path) -> io::Result<Option<Header>> {
    let Some(file) = open_if_present(path)? else { return Ok(None) };
    Ok(Header::parse(&read_piece(&file, 0, HEADER_BYTES)?))
}

/// The body that follows a header at `offset`, if it is whole.
pub(super) fn read_body(file: &File, offset: u64, header: &Header) -> io::Result<Option<Vec<u8>>> {
    if header.number > SLOT_BYTES {
        return Ok(None);
    }
    let body = read_piece(file, offset + HEADER_BYTES as u64, header.number as usize)?;
    let whole = body.len() as u64 == header.number && crc32fast::hash(&body) == header.body_crc;
    Ok(whole.then_some(body))
}

/// What the header of a log says of the slot beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LogState {
    /// It follows the slot; so many records were known to be synced.
    Begun { synced_records: u64 },
    /// It still follows an older slot, or none: the process ended before it was begun.
    NotBegun,
    /// It follows a newer slot of the same file, which is gone.
    FollowsLaterSlot(u64),
    /// Its header can't be read.
    Damaged,
}

/// The synced records by the header of a log, if it follows that slot. A header that was torn while its count was
/// brought forward leaves the slot's number whole.
fn synced_records(header: &[u8], slot: u64) -> Option<u64> {
    match Header::parse(header) {
        Some(parsed) => (parsed.sequence == slot).then_some(parsed.number),
        None => names_slot(header, slot).then_some(0),
    }
}

/// Whether a header, whole or not, names this slot.
fn names_slot(header: &[u8], slot: u64) -> bool {
    header.starts_with(MAGIC) && header.get(SEQUENCE) == Some(&slot.to_le_bytes()[..])
}

/// Whether the log in a file was begun behind that slot.
pub(super) fn log_follows(path: &Path, slot: u64) -> io::Result<bool> {
    let Some(file) = open_if_present(path)? else { return Ok(false) };
    Ok(synced_records(&read_piece(&file, 0, HEADER_BYTES)?, slot).is_some())
}

/// What the header of a log says of the slot beside it. One that can't be read is damage, but for the two ways in
/// which a write that was cut short may leave it.
pub(super) fn log_state(path: &Path, slot: u64) -> io::Result<LogState> {
    let log = File::open(path)?;
    let bytes = read_piece(&log, 0, HEADER_BYTES)?;
    if let Some(synced_records) = synced_records(&bytes, slot) {
        return Ok(LogState::Begun { synced_records });
    }
    Ok(match Header::parse(&bytes) {
        Some(header) if header.sequence > slot => LogState::FollowsLaterSlot(header.sequence),
        Some(header) if header.sequence % 2 == slot % 2 => LogState::NotBegun,
        Some(_) => LogState::Damaged,
        // A header that was torn as the log was begun is followed by nothing but zeros.
        None if !has_data(&log, HEADER_BYTES as u64)? => LogState::NotBegun,
        None => LogState::Damaged,
    })
}

/// Whether anything but zeros follows an offset.
fn has_data(file: &File, from: u64) -> io::Result<bool> {
    let mut offset = from;
    loop {
        let bytes = read_piece(file, offset, PIECE_BYTES)?;
        if bytes.iter().any(|byte| *byte != 0) {
            return Ok(true);
        }
        if bytes.len() < PIECE_BYTES {
            return Ok(false);
        }
        offset += PIECE_BYTES as u64;
    }
}

/// Kinds of files, two of each, and the lengths that they are made with.
pub(super) const FILE_KINDS: [(&str, u64); 2] = [("slot", SLOT_BYTES), ("log", SHORT_LOG_BYTES)];

/// A file that is gone or short. All four are whole before the first slot is written.
pub(super) fn find_short_file(folder: &Path) -> io::Result<Option<Corruption>> {
    for (kind, expected) in FILE_KINDS {
        for parity in 0..2 {
            let file = format!("{kind}-{parity}");
            let length = match std::fs::metadata(folder.join(&file)) {
                Ok(metadata) => metadata.len(),
                Err(e) if e.kind() == io::ErrorKind::NotFound => 0,
                Err(e) => return Err(e),
            };
            if length < expected {
                return Ok(Some(Corruption::ShortFile { file, length, expected }));
            }
        }
    }
    Ok(None)
}

/// A folder without a slot is empty, unless a log was begun: that follows a slot which was synced.
pub(super) fn load_without_slots(folder: &Path) -> io::Result<LoadResult> {
    for parity in 0..2 {
        let file = format!("log-{parity}");
        let Some(log) = open_if_present(&folder.join(&file))? else { continue };
        if has_data(&log, 0)? {
            return Ok(LoadResult::Corrupt(Corruption::LogWithoutSlot { file }));
        }
    }
    Ok(LoadResult::Empty)
}
