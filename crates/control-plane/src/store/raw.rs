//! The store's files as headers, bodies and pieces; nothing whole is held but what is read for use.

use std::{
    fs::{File, OpenOptions},
    io::{self, Seek, SeekFrom, Write},
    os::unix::fs::FileExt,
    path::Path,
};

pub(super) const MAGIC: &[u8; 8] = b"fshunt06";
pub(super) const HEAD: usize = 32;
/// Most that is filled or looked through at once: a process's memory at its peak counts.
pub(super) const PIECE: usize = 64 << 10;

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

/// Fills with zeros up to `len`.
pub(super) fn fill(f: &mut File, from: u64, len: u64) -> io::Result<()> {
    let zeros = vec![0u8; PIECE];
    f.seek(SeekFrom::Start(from))?;
    let mut left = len.saturating_sub(from);
    while left > 0 {
        let n = left.min(PIECE as u64);
        f.write_all(&zeros[..n as usize])?;
        left -= n;
    }
    Ok(())
}

pub(super) fn reserve(path: &Path, len: u64) -> io::Result<()> {
    let mut f = open(path)?;
    let have = f.metadata()?.len();
    if have < len {
        fill(&mut f, have, len)?;
        f.sync_all()?;
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

/// A body, where it is whole.
pub(super) fn body(f: &File, at: u64, len: u64, crc: u32) -> io::Result<Option<Vec<u8>>> {
    if len > super::SLOT_LEN {
        return Ok(None);
    }
    let b = piece(f, at, len as usize)?;
    Ok((b.len() as u64 == len && crc32fast::hash(&b) == crc).then_some(b))
}
