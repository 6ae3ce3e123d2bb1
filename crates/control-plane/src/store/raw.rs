//! The store's files as headers, bodies and pieces; nothing whole is held but what is read for use.

use std::{
    fs::{File, OpenOptions},
    io,
    os::unix::fs::FileExt,
    path::Path,
};

pub(super) const MAGIC: &[u8; 8] = b"fshunt05";
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
    let named = header.starts_with(MAGIC) && header.get(8..16) == Some(&seq.to_le_bytes()[..]);
    Ok(named.then_some(0))
}

/// A body, where it is whole.
pub(super) fn body(f: &File, at: u64, len: u64, crc: u32) -> io::Result<Option<Vec<u8>>> {
    if len > super::SLOT_LEN {
        return Ok(None);
    }
    let b = piece(f, at, len as usize)?;
    Ok((b.len() as u64 == len && crc32fast::hash(&b) == crc).then_some(b))
}
