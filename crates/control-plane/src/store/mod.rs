//! Two slots written in turn, a short log between them (design 2.6).
//!
//! Each file is filled to its full length at the start, so that a full disk cannot stop a
//! write that the seat has already promised room for. A log starts with a header that names
//! the slot it follows and the end that was last known as synced.

mod raw;

use crate::{
    disk::{Disk, Found},
    seat::{Image, Rec},
};
use common::wire;
use raw::{
    HEAD, LogState, MAGIC, PIECE, blank_folder, body, fill, head, header, log_state, lost_file, open, parse,
    piece, record_number, record_of, reserve,
};
use std::{
    fs::File,
    io::{self, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

pub const SLOT_LEN: u64 = 4 << 20;
pub const LOG_LEN: u64 = 2 << 20;

pub struct FileStore {
    dir: PathBuf,
    seq: u64,
    log: File,
    pos: u64,
    recs: u64,
}

fn err(msg: impl Into<String>) -> io::Error {
    io::Error::other(msg.into())
}

/// What became of reading a slot that holds something.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Bad {
    Broken,
    /// Its checksums hold, and what they guard can't be read here.
    OtherForm,
}

/// The slot of that parity: `None` blank, else its sequence and image, or what is wrong with it.
fn slot(path: &Path, parity: u64) -> io::Result<Option<Result<(u64, Image), Bad>>> {
    let f = match File::open(path) {
        Ok(f) => f,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    let head = piece(&f, 0, HEAD)?;
    if head.iter().all(|x| *x == 0) {
        return Ok(None);
    }
    if head.starts_with(&MAGIC[..6]) && !head.starts_with(MAGIC) {
        return Ok(Some(Err(Bad::OtherForm)));
    }
    let Some((seq, len, crc)) = parse(&head).filter(|h| h.0 % 2 == parity) else {
        return Ok(Some(Err(Bad::Broken)));
    };
    let Some(body) = body(&f, HEAD as u64, len, crc)? else { return Ok(Some(Err(Bad::Broken))) };
    Ok(Some(wire::dec::<Image>(&body).map(|i| (seq, i)).map_err(|_| Bad::OtherForm)))
}

/// The record of that number at a place of the log of a slot, and where it ends; `None` where it is not
/// whole, or is left over from an older log.
fn record_at(log: &File, at: u64, slot: u64, n: u64) -> io::Result<Option<(u64, Result<Rec, Bad>)>> {
    let Some((seq, len, crc)) = parse(&piece(log, at, HEAD)?) else { return Ok(None) };
    if record_of(slot, seq) != Some(n) {
        return Ok(None);
    }
    let Some(body) = body(log, at + HEAD as u64, len, crc)? else { return Ok(None) };
    Ok(Some((at + HEAD as u64 + len, wire::dec::<Rec>(&body).map_err(|_| Bad::OtherForm))))
}

/// Brings an image forward by the log that follows it.
fn replay(path: &Path, seq: u64, marked: u64, mut img: Image) -> io::Result<Found> {
    let log = File::open(path)?;
    let (mut n, mut at) = (0, HEAD as u64);
    while let Some((next, rec)) = record_at(&log, at, seq, n)? {
        let Ok(rec) = rec else { return Ok(Found::OtherForm) };
        if !img.leads_to(&rec) {
            return Ok(Found::Damaged(format!("record {n} of log {seq} does not follow its slot")));
        }
        img.replay(rec);
        (n, at) = (n + 1, next);
    }
    if n < marked || later(&log, at, seq, n)? {
        return Ok(Found::Damaged(format!("log {seq} is damaged after record {n}, before its synced end")));
    }
    Ok(Found::Image(Box::new(img)))
}

/// Whether the header of a record after the `n`th stands anywhere from a place on.
fn later(log: &File, mut at: u64, slot: u64, n: u64) -> io::Result<bool> {
    loop {
        let b = piece(log, at, PIECE)?;
        let found = b.windows(HEAD).any(|w| {
            w[..8] == MAGIC[..]
                && parse(w).and_then(|h| record_of(slot, h.0)).is_some_and(|m| m > n && m < n + (1 << 20))
        });
        if found || b.len() < PIECE {
            return Ok(found);
        }
        // A header may stand across the end of a piece.
        at += (PIECE - HEAD + 1) as u64;
    }
}

impl FileStore {
    fn path(dir: &Path, kind: &str, seq: u64) -> PathBuf {
        dir.join(format!("{kind}-{}", seq % 2))
    }

    /// Reads what is there. Torn ends are cut; damage before the synced end is told.
    pub fn load(dir: &Path) -> io::Result<Found> {
        let (mut blank, mut best) = (true, None::<(u64, Image)>);
        for n in 0..2 {
            let found = slot(&Self::path(dir, "slot", n), n)?;
            blank &= found.is_none();
            match found {
                Some(Err(Bad::OtherForm)) => return Ok(Found::OtherForm),
                Some(Ok(s)) if best.as_ref().is_none_or(|b| s.0 > b.0) => best = Some(s),
                _ => {}
            }
        }
        if blank {
            return blank_folder(dir);
        }
        let Some((seq, img)) = best else {
            return Ok(Found::Damaged("no slot is whole".into()));
        };
        if let Some(why) = lost_file(dir)? {
            return Ok(Found::Damaged(why));
        }
        // A log that follows a slot is begun only once that slot is synced.
        if head(&Self::path(dir, "log", seq + 1))?.is_some_and(|(s, _, _)| s > seq) {
            return Ok(Found::Damaged(format!("slot {} was synced and is damaged", seq + 1)));
        }
        let path = Self::path(dir, "log", seq);
        match log_state(&path, seq)? {
            LogState::Begun { marked } => replay(&path, seq, marked, img),
            LogState::NotBegun => Ok(Found::Image(Box::new(img))),
            LogState::Later(later) => Ok(Found::Damaged(format!("slot {later} was synced and is lost"))),
            LogState::Broken => Ok(Found::Damaged(format!("the header of log {seq} is damaged"))),
        }
    }

    /// Opens the folder for writing: `img` goes into a slot of its own, so that no write ever
    /// follows a torn one.
    pub fn open(dir: &Path, img: &Image) -> io::Result<Self> {
        std::fs::create_dir_all(dir)?;
        for n in 0..2 {
            reserve(&Self::path(dir, "slot", n), SLOT_LEN)?;
            reserve(&Self::path(dir, "log", n), LOG_LEN)?;
        }
        File::open(dir)?.sync_all()?;
        let mut seq = 0;
        for (kind, n) in [("slot", 0), ("slot", 1), ("log", 0), ("log", 1)] {
            seq = head(&Self::path(dir, kind, n))?.map_or(0, |h| h.0).max(seq);
        }
        let log = open(&Self::path(dir, "log", seq))?;
        let mut s = Self { dir: dir.into(), seq, log, pos: 0, recs: 0 };
        s.image(img)?;
        Ok(s)
    }

    fn image(&mut self, img: &Image) -> io::Result<()> {
        let seq = self.seq + 1;
        let body = wire::enc(img)?;
        if body.len() as u64 + HEAD as u64 > SLOT_LEN {
            return Err(err(format!("a frame of {} bytes does not fit into a slot", body.len())));
        }
        let mut f = open(&Self::path(&self.dir, "slot", seq))?;
        f.write_all(&header(seq, body.len() as u64, &body))?;
        f.write_all(&body)?;
        f.sync_data()?;
        let mut log = open(&Self::path(&self.dir, "log", seq))?;
        log.write_all(&header(seq, 0, &[]))?;
        fill(&mut log, HEAD as u64, LOG_LEN)?;
        log.sync_data()?;
        (self.seq, self.log, self.pos, self.recs) = (seq, log, HEAD as u64, 0);
        Ok(())
    }

    fn record(&mut self, rec: &Rec) -> io::Result<()> {
        let body = wire::enc(rec)?;
        let end = self.pos + (HEAD + body.len()) as u64;
        if end > LOG_LEN {
            return Err(err("the short log is full"));
        }
        // The mark of the last sync travels with the next one.
        self.log.seek(SeekFrom::Start(0))?;
        self.log.write_all(&header(self.seq, self.recs, &[]))?;
        self.log.seek(SeekFrom::Start(self.pos))?;
        self.log.write_all(&header(record_number(self.seq, self.recs), body.len() as u64, &body))?;
        self.log.write_all(&body)?;
        self.log.sync_data()?;
        self.pos = end;
        self.recs += 1;
        Ok(())
    }
}

impl Disk for FileStore {
    fn write(&mut self, rec: &Rec) -> io::Result<()> {
        match rec {
            Rec::Image(i) => self.image(i),
            r => self.record(r),
        }
    }
}
