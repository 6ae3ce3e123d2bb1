//! Two slots written in turn, a short log between them (design 2.6).
//!
//! Each file is filled to its full length at the start, so that files that are full of others' data
//! stop no write; a disk may refuse all the same. A log starts with a header that names the slot it
//! follows and the end that was last known as synced. It is begun once that slot is synced, so a slot
//! whose log is begun is durable, and only the file that holds no such slot is ever written over.

mod raw;
mod replay;

use crate::{
    consensus::{DurableState, Record},
    disk::{LoadResult, RecordWriter},
};
use common::wire;
use raw::{
    HEAD, LogState, MAGIC, begun, blank_folder, body, fill, head, header, log_state, lost_file, open, parse,
    piece, record_number, reserve,
};
pub use raw::{Medium, System};
use replay::replay;
use std::{
    fs::File,
    io,
    path::{Path, PathBuf},
    sync::Arc,
};

pub const SLOT_LEN: u64 = 4 << 20;
pub const LOG_LEN: u64 = 2 << 20;

pub struct FileStore {
    dir: PathBuf,
    medium: Arc<dyn Medium>,
    seq: u64,
    log: File,
    pos: u64,
    records: u64,
}

fn err(msg: impl Into<String>) -> io::Error {
    io::Error::other(msg.into())
}

/// What became of reading a slot that holds something.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Bad {
    Broken,
    /// Its checksums hold, and what they guard can't be read here.
    IncompatibleFormat,
}

/// The slot of that parity: `None` blank, else its sequence and image, or what is wrong with it.
fn slot(path: &Path, parity: u64) -> io::Result<Option<Result<(u64, DurableState), Bad>>> {
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
        return Ok(Some(Err(Bad::IncompatibleFormat)));
    }
    let Some((seq, len, crc)) = parse(&head).filter(|h| h.0 % 2 == parity) else {
        return Ok(Some(Err(Bad::Broken)));
    };
    let Some(body) = body(&f, HEAD as u64, len, crc)? else { return Ok(Some(Err(Bad::Broken))) };
    Ok(Some(wire::decode::<DurableState>(&body).map(|i| (seq, i)).map_err(|_| Bad::IncompatibleFormat)))
}

impl FileStore {
    fn path(dir: &Path, kind: &str, seq: u64) -> PathBuf {
        dir.join(format!("{kind}-{}", seq % 2))
    }

    /// Reads what is there. Torn ends are cut; damage before the synced end is told.
    pub fn load(dir: &Path) -> io::Result<LoadResult> {
        let (mut blank, mut best) = (true, None::<(u64, DurableState)>);
        for n in 0..2 {
            let found = slot(&Self::path(dir, "slot", n), n)?;
            blank &= found.is_none();
            match found {
                Some(Err(Bad::IncompatibleFormat)) => return Ok(LoadResult::IncompatibleFormat),
                Some(Ok(s)) if best.as_ref().is_none_or(|b| s.0 > b.0) => best = Some(s),
                _ => {}
            }
        }
        if blank {
            return blank_folder(dir);
        }
        let Some((seq, image)) = best else {
            return Ok(LoadResult::Corrupt("no slot is whole".into()));
        };
        if let Some(why) = lost_file(dir)? {
            return Ok(LoadResult::Corrupt(why));
        }
        // A log that follows a slot is begun only once that slot is synced.
        if begun(&Self::path(dir, "log", seq + 1), seq + 1)?.is_some() {
            return Ok(LoadResult::Corrupt(format!("slot {} was synced and is damaged", seq + 1)));
        }
        let path = Self::path(dir, "log", seq);
        match log_state(&path, seq)? {
            LogState::Begun { marked } => replay(&path, seq, marked, image),
            LogState::NotBegun => Ok(LoadResult::DurableState(Box::new(image))),
            LogState::Later(later) => Ok(LoadResult::Corrupt(format!("slot {later} was synced and is lost"))),
            LogState::Broken => Ok(LoadResult::Corrupt(format!("the header of log {seq} is damaged"))),
        }
    }

    /// Opens the folder for writing: `image` goes into a slot of its own, so that no write ever
    /// follows a torn one.
    pub fn open(dir: &Path, image: &DurableState) -> io::Result<Self> {
        Self::open_on(dir, image, Arc::new(System))
    }

    /// The same on a medium of one's own.
    pub fn open_on(dir: &Path, image: &DurableState, medium: Arc<dyn Medium>) -> io::Result<Self> {
        std::fs::create_dir_all(dir)?;
        for n in 0..2 {
            reserve(&*medium, &Self::path(dir, "slot", n), SLOT_LEN)?;
            reserve(&*medium, &Self::path(dir, "log", n), LOG_LEN)?;
        }
        File::open(dir)?.sync_all()?;
        let seq = Self::durable(dir)?;
        let log = open(&Self::path(dir, "log", seq))?;
        let mut s = Self { dir: dir.into(), medium, seq, log, pos: 0, records: 0 };
        s.image(image)?;
        Ok(s)
    }

    /// The newest slot that is known to be synced: its log was begun. What another slot holds may be
    /// whole in memory only, where its sync failed.
    fn durable(dir: &Path) -> io::Result<u64> {
        let mut newest = 0;
        for n in 0..2 {
            let Some((seq, _, _)) = head(&Self::path(dir, "slot", n))? else { continue };
            if begun(&Self::path(dir, "log", seq), seq)?.is_some() {
                newest = newest.max(seq);
            }
        }
        Ok(newest)
    }

    fn image(&mut self, image: &DurableState) -> io::Result<()> {
        let seq = self.seq + 1;
        let body = wire::encode(image)?;
        if body.len() as u64 + HEAD as u64 > SLOT_LEN {
            return Err(err(format!("a frame of {} bytes does not fit into a slot", body.len())));
        }
        let slot = open(&Self::path(&self.dir, "slot", seq))?;
        self.medium.write(&slot, 0, &header(seq, body.len() as u64, &body))?;
        self.medium.write(&slot, HEAD as u64, &body)?;
        self.medium.sync(&slot)?;
        let log = open(&Self::path(&self.dir, "log", seq))?;
        // Blank before it names this slot: records of an earlier one must not be taken for its own.
        fill(&*self.medium, &log, HEAD as u64, LOG_LEN)?;
        self.medium.sync(&log)?;
        self.medium.write(&log, 0, &header(seq, 0, &[]))?;
        self.medium.sync(&log)?;
        (self.seq, self.log, self.pos, self.records) = (seq, log, HEAD as u64, 0);
        Ok(())
    }

    fn record(&mut self, record: &Record) -> io::Result<()> {
        let body = wire::encode(record)?;
        let end = self.pos + (HEAD + body.len()) as u64;
        if end > LOG_LEN {
            return Err(err("the short log is full"));
        }
        // The mark of the last sync travels with the next one.
        let number = record_number(self.seq, self.records);
        self.medium.write(&self.log, 0, &header(self.seq, self.records, &[]))?;
        self.medium.write(&self.log, self.pos, &header(number, body.len() as u64, &body))?;
        self.medium.write(&self.log, self.pos + HEAD as u64, &body)?;
        self.medium.sync(&self.log)?;
        self.pos = end;
        self.records += 1;
        Ok(())
    }
}

impl RecordWriter for FileStore {
    fn write(&mut self, record: &Record) -> io::Result<()> {
        match record {
            Record::DurableState(i) => self.image(i),
            r => self.record(r),
        }
    }
}
