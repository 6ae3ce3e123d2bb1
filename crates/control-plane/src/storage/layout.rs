//! The layout of the store's files: headers and bodies, reading them, and reserving space on disk. Files are
//! cleared and searched in pieces, so that memory use stays low.

use super::{Corruption, LoadResult, Medium};
use crate::types::{SHORT_LOG_BYTES, SLOT_BYTES};
use std::{
    fs::{File, OpenOptions},
    io,
    ops::Range,
    os::unix::fs::FileExt,
    path::Path,
};

/// First bytes of every header; the last two digits are the version of the format.
pub(super) const MAGIC: &[u8; 8] = b"fshunt06";
/// Length of [`MAGIC`] without the version, in bytes.
pub(super) const MAGIC_NAME_BYTES: usize = 6;
/// Length of a header, in bytes.
pub(super) const HEADER_BYTES: usize = 32;
/// Length of the pieces in which files are cleared and searched, in bytes. It bounds the peak memory use.
pub(super) const PIECE_BYTES: usize = 64 << 10;

/// Precedes a snapshot, log or record: magic bytes, two numbers, and checksums of the body and of the header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Header {
    /// Sequence number of the slot, of the slot that the log follows, or the record's number ([`record_number`]).
    pub sequence: u64,
    /// Length of the slot's or record's body, in bytes; for a log, how many of its records are known to be synced.
    pub number: u64,
    /// CRC-32 of the body.
    pub body_crc: u32,
}

const SEQUENCE: Range<usize> = 8..16;
const NUMBER: Range<usize> = 16..24;
const BODY_CRC: Range<usize> = 24..28;
const HEADER_CRC: Range<usize> = 28..32;

impl Header {
    /// The header of a body.
    pub fn new(sequence: u64, number: u64, body: &[u8]) -> Self {
        Self { sequence, number, body_crc: crc32fast::hash(body) }
    }

    /// Encodes the header.
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

    /// Decodes a header; `None` if the magic bytes or the header's checksum don't match.
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

/// The low bits of a record's number are its position in the log; the others are those of the slot's sequence number.
const POSITION_BITS: u32 = 32;

/// The number of a record: the sequence number of the slot that its log follows, and its position in the log. Records
/// of an older log in the same file have other numbers, so they are recognized if a crash left some of them there.
pub(super) fn record_number(slot: u64, position: u64) -> u64 {
    (slot << POSITION_BITS) | position
}

/// A record's position, if its number is of that slot's log. An earlier release wrote numbers without a slot.
pub(super) fn record_position(slot: u64, number: u64) -> Option<u64> {
    let named_slot = number >> POSITION_BITS;
    let position = number & ((1 << POSITION_BITS) - 1);
    (named_slot == 0 || named_slot == slot & (u64::MAX >> POSITION_BITS)).then_some(position)
}

/// Opens a file for reading and writing, and creates it if necessary.
pub(super) fn open_for_writing(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
}

/// Opens a file for reading; `None` if it doesn't exist.
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

/// Extends a file with zeros to its full length and syncs it, so that later writes need no more space.
pub(super) fn reserve(medium: &dyn Medium, path: &Path, length: u64) -> io::Result<()> {
    let file = open_for_writing(path)?;
    let present = file.metadata()?.len();
    if present < length {
        fill_with_zeros(medium, &file, present, length)?;
        medium.sync(&file)?;
    }
    Ok(())
}

/// Reads `length` bytes from an offset, or fewer if the file ends before.
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

/// Reads the header of a file; `None` if the file doesn't exist or its header is not valid.
pub(super) fn read_header(path: &Path) -> io::Result<Option<Header>> {
    let Some(file) = open_if_present(path)? else { return Ok(None) };
    Ok(Header::parse(&read_piece(&file, 0, HEADER_BYTES)?))
}

/// Reads the body after the header at `offset`; `None` if it is cut short or its checksum doesn't match.
pub(super) fn read_body(file: &File, offset: u64, header: &Header) -> io::Result<Option<Vec<u8>>> {
    if header.number > SLOT_BYTES {
        return Ok(None);
    }
    let body = read_piece(file, offset + HEADER_BYTES as u64, header.number as usize)?;
    let is_valid = body.len() as u64 == header.number && crc32fast::hash(&body) == header.body_crc;
    Ok(is_valid.then_some(body))
}

/// What the header of a log says about the slot with the same file number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LogState {
    /// The log follows the slot, and at least this many of its records were synced.
    Started { synced_records: u64 },
    /// The log still follows an older slot, or none: the process ended before it was started for this slot.
    NotStarted,
    /// The log follows a newer slot, with this sequence number, which is missing.
    FollowsLaterSlot(u64),
    /// The header is not valid.
    Damaged,
}

/// How many records of a log are known to be synced by its header, if the log follows that slot. A crash while the
/// count is updated can leave the header's checksum wrong, but not its slot, so such a header counts with 0
/// records.
fn synced_records(header: &[u8], slot: u64) -> Option<u64> {
    match Header::parse(header) {
        Some(parsed) => (parsed.sequence == slot).then_some(parsed.number),
        None => names_slot(header, slot).then_some(0),
    }
}

/// Whether a header names this slot, whatever its checksum.
fn names_slot(header: &[u8], slot: u64) -> bool {
    header.starts_with(MAGIC) && header.get(SEQUENCE) == Some(&slot.to_le_bytes()[..])
}

/// Whether the log in a file was started for that slot.
pub(super) fn log_follows(path: &Path, slot: u64) -> io::Result<bool> {
    let Some(file) = open_if_present(path)? else { return Ok(false) };
    Ok(synced_records(&read_piece(&file, 0, HEADER_BYTES)?, slot).is_some())
}

/// Compares the header of a log with the slot that should precede it. A header that is not valid means damage, except
/// in the two forms that an interrupted write can leave: an update of the count, and the first header of a log.
pub(super) fn log_state(path: &Path, slot: u64) -> io::Result<LogState> {
    let log = File::open(path)?;
    let bytes = read_piece(&log, 0, HEADER_BYTES)?;
    if let Some(synced_records) = synced_records(&bytes, slot) {
        return Ok(LogState::Started { synced_records });
    }
    Ok(match Header::parse(&bytes) {
        Some(header) if header.sequence > slot => LogState::FollowsLaterSlot(header.sequence),
        Some(header) if header.sequence % 2 == slot % 2 => LogState::NotStarted,
        Some(_) => LogState::Damaged,
        // A log is cleared before its first header is written, so only zeros follow an interrupted one.
        None if !has_data(&log, HEADER_BYTES as u64)? => LogState::NotStarted,
        None => LogState::Damaged,
    })
}

/// Whether a file has a byte other than zero at or after an offset.
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

/// The kinds of files, of which there are two each, and their lengths in bytes.
pub(super) const FILE_KINDS: [(&str, u64); 2] = [("slot", SLOT_BYTES), ("log", SHORT_LOG_BYTES)];

/// Finds a file that is missing or too short. All four have their full length before the first slot is written.
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

/// The result for a folder without slots. It is empty unless a log has content, whose synced slot was then lost.
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
