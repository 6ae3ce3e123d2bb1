//! The store's files as headers, bodies and pieces; nothing whole is held but what is read for use.

use crate::disk::LoadResult;
use std::{
    fs::{File, OpenOptions},
    io,
    os::unix::fs::FileExt,
    path::Path,
};

pub(super) const MAGIC: &[u8; 8] = b"fshunt06";
pub(super) const HEAD: usize = 32;
/// Most that is filled or looked through at once: a process's memory at its peak counts.
pub(super) const PIECE: usize = 64 << 10;

/// What changes files. A test's own refuses, tears or forgets what is written.
pub trait Medium: Send + Sync {
    fn write(&self, file: &File, at: u64, bytes: &[u8]) -> io::Result<()>;
    /// All that was written to the file is durable when this returns.
    fn sync(&self, file: &File) -> io::Result<()>;
}

/// The system's own files.
pub struct System;

impl Medium for System {
    fn write(&self, file: &File, at: u64, bytes: &[u8]) -> io::Result<()> {
        file.write_all_at(bytes, at)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        file.sync_data()
    }
}

/// magic, sequence, a number (length of a slot, synced records of a log), checksums.
pub(super) fn header(seq: u64, num: u64, body: &[u8]) -> [u8; HEAD] {
    let mut h = [0u8; HEAD];
    h[..8].copy_from_slice(MAGIC);
    h[8..16].copy_from_slice(&seq.to_le_bytes());
    h[16..24].copy_from_slice(&num.to_le_bytes());
    h[24..28].copy_from_slice(&crc32fast::hash(body).to_le_bytes());
    let crc = crc32fast::hash(&h[..28]);
    h[28..].copy_from_slice(&crc.to_le_bytes());
    h
}

pub(super) fn parse(h: &[u8]) -> Option<(u64, u64, u32)> {
    let word = |r: std::ops::Range<usize>| h.get(r)?.try_into().ok().map(u64::from_le_bytes);
    let half = |r: std::ops::Range<usize>| h.get(r)?.try_into().ok().map(u32::from_le_bytes);
    (h.get(..8)? == MAGIC && crc32fast::hash(h.get(..28)?) == half(28..32)?)
        .then(|| Some((word(8..16)?, word(16..24)?, half(24..28)?)))
        .flatten()
}

/// Bits of a record's number for its place in the log; the rest names the slot that the log follows.
const PLACE_BITS: u32 = 32;

/// The number of a log's record: what an older log left in the file has another, however the two were
/// mixed by a crash while the log was begun.
pub(super) fn record_number(slot: u64, place: u64) -> u64 {
    (slot << PLACE_BITS) | place
}

/// The place of a record by its number, where it belongs to the log of that slot. Numbers without a slot
/// are of an earlier release.
pub(super) fn record_of(slot: u64, number: u64) -> Option<u64> {
    let of = number >> PLACE_BITS;
    let place = number & ((1 << PLACE_BITS) - 1);
    (of == 0 || of == slot & (u64::MAX >> PLACE_BITS)).then_some(place)
}

pub(super) fn open(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
}

/// Fills with zeros from a place up to `len`.
pub(super) fn fill(medium: &dyn Medium, file: &File, from: u64, len: u64) -> io::Result<()> {
    let zeros = vec![0u8; PIECE];
    let mut at = from;
    while at < len {
        let count = (len - at).min(PIECE as u64);
        medium.write(file, at, &zeros[..count as usize])?;
        at += count;
    }
    Ok(())
}

pub(super) fn reserve(medium: &dyn Medium, path: &Path, len: u64) -> io::Result<()> {
    let file = open(path)?;
    let have = file.metadata()?.len();
    if have < len {
        fill(medium, &file, have, len)?;
        medium.sync(&file)?;
    }
    Ok(())
}

/// Up to `len` bytes from a place on; fewer where the file ends.
pub(super) fn piece(f: &File, at: u64, len: usize) -> io::Result<Vec<u8>> {
    let mut out = vec![0u8; len];
    let mut have = 0;
    while have < len {
        match f.read_at(&mut out[have..], at + have as u64)? {
            0 => break,
            n => have += n,
        }
    }
    out.truncate(have);
    Ok(out)
}

/// The numbers in a file's header; `None` without a whole one.
pub(super) fn head(path: &Path) -> io::Result<Option<(u64, u64, u32)>> {
    match File::open(path) {
        Ok(f) => Ok(parse(&piece(&f, 0, HEAD)?)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// The synced records that a log's header tells of, where the log of that slot was begun. A mark that
/// was torn while it was brought forward leaves what stands before it whole.
pub(super) fn begun(path: &Path, seq: u64) -> io::Result<Option<u64>> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    let header = piece(&file, 0, HEAD)?;
    if let Some((found, marked, _)) = parse(&header) {
        return Ok((found == seq).then_some(marked));
    }
    Ok(names(&header, seq).then_some(0))
}

/// Whether a header, whole or not, names this slot.
fn names(header: &[u8], seq: u64) -> bool {
    header.starts_with(MAGIC) && header.get(8..16) == Some(&seq.to_le_bytes()[..])
}

/// A body, where it is whole.
pub(super) fn body(f: &File, at: u64, len: u64, crc: u32) -> io::Result<Option<Vec<u8>>> {
    if len > super::SLOT_LEN {
        return Ok(None);
    }
    let b = piece(f, at, len as usize)?;
    Ok((b.len() as u64 == len && crc32fast::hash(&b) == crc).then_some(b))
}

/// What the header of the log beside a slot says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LogState {
    /// It follows the slot; so many records were known as synced.
    Begun {
        marked: u64,
    },
    /// It still follows an older slot, or none: the process ended before it was begun.
    NotBegun,
    /// It follows a newer slot of the same file, which is gone.
    Later(u64),
    Broken,
}

/// What the header of a log says of the slot `seq` beside it. One that can't be read is damage, but for the
/// two ways in which a write that was cut off may leave it.
pub(super) fn log_state(path: &Path, seq: u64) -> io::Result<LogState> {
    let log = File::open(path)?;
    let bytes = piece(&log, 0, HEAD)?;
    Ok(match parse(&bytes) {
        Some((s, marked, _)) if s == seq => LogState::Begun { marked },
        Some((s, _, _)) if s > seq => LogState::Later(s),
        Some((s, _, _)) if s % 2 == seq % 2 => LogState::NotBegun,
        Some(_) => LogState::Broken,
        // A mark that was torn while it was brought forward leaves the name of the slot whole.
        None if names(&bytes, seq) => LogState::Begun { marked: 0 },
        // A header that was torn as the log was begun stands before nothing but zeros.
        None if !has_data(&log, HEAD as u64)? => LogState::NotBegun,
        None => LogState::Broken,
    })
}

/// Whether anything but zeros stands in a file from a place on.
fn has_data(f: &File, from: u64) -> io::Result<bool> {
    let mut at = from;
    loop {
        let bytes = piece(f, at, PIECE)?;
        if bytes.iter().any(|x| *x != 0) {
            return Ok(true);
        }
        if bytes.len() < PIECE {
            return Ok(false);
        }
        at += PIECE as u64;
    }
}

/// All four files are whole before the first slot is written: one that is gone or short was lost since.
pub(super) fn lost_file(dir: &Path) -> io::Result<Option<String>> {
    for (kind, len) in [("slot", super::SLOT_LEN), ("log", super::LOG_LEN)] {
        for n in 0..2 {
            let path = dir.join(format!("{kind}-{n}"));
            let have = match std::fs::metadata(&path) {
                Ok(m) => m.len(),
                Err(e) if e.kind() == io::ErrorKind::NotFound => 0,
                Err(e) => return Err(e),
            };
            if have < len {
                return Ok(Some(format!("{kind}-{n} has {have} bytes of {len}")));
            }
        }
    }
    Ok(None)
}

/// Without a slot there is nothing, unless a log was begun: that follows a slot which was synced.
pub(super) fn blank_folder(dir: &Path) -> io::Result<LoadResult> {
    for n in 0..2 {
        let path = dir.join(format!("log-{n}"));
        match File::open(&path) {
            Ok(f) if has_data(&f, 0)? => {
                return Ok(LoadResult::Corrupt(format!("log-{n} was begun and no slot is there")));
            }
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => return Err(e),
        }
    }
    Ok(LoadResult::Nothing)
}
