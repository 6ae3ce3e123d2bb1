//! The layout of the store's files: reading headers and bodies, and reserving space on disk. Files are
//! cleared and searched in pieces, so that memory use stays low.

use super::{
    Corruption, LoadResult, Medium,
    header::{HEADER_BYTES, Header, MAGIC, SEQUENCE},
};
use crate::types::{SHORT_LOG_BYTES, SLOT_BYTES};
use std::{
    fs::{File, OpenOptions},
    io,
    os::unix::fs::FileExt,
    path::Path,
};

/// Length of the pieces in which files are cleared and searched, in bytes. It bounds the peak memory use.
pub(super) const PIECE_BYTES: usize = 64 << 10;

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

/// Names of all files.
pub(super) fn file_names() -> impl Iterator<Item = String> {
    FILE_KINDS.iter().flat_map(|(kind, _)| (0..2).map(move |parity| format!("{kind}-{parity}")))
}

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
