//! A voter's files (design 2.6): two slots written in turn, each with a snapshot, and a short log after each.
//!
//! Each file is filled to its full length at the start, so that a disk filled by others stops no write; a disk
//! may refuse all the same. A log starts with a header that names the slot it follows and the records that were
//! last known to be synced. It is begun once that slot is synced, so a slot whose log is begun is durable, and
//! only the file that holds no such slot is ever written over.

use super::{
    Corruption, LoadResult, Medium, RecordWriter, SystemMedium,
    layout::{
        FILE_KINDS, HEADER_BYTES, Header, LogState, MAGIC, MAGIC_NAME_BYTES, fill_with_zeros,
        find_short_file, load_without_slots, log_follows, log_state, open_for_writing, open_if_present,
        read_body, read_header, read_piece, record_number, reserve,
    },
    log_reader::replay_log,
};
use crate::{
    consensus::{DurableState, Record},
    types::{SHORT_LOG_BYTES, SLOT_BYTES},
};
use common::wire;
use std::{
    fs::File,
    io,
    path::{Path, PathBuf},
    sync::Arc,
};

/// An open data folder.
pub struct FileStore {
    folder: PathBuf,
    medium: Arc<dyn Medium>,
    /// Sequence number of the newest slot.
    slot: u64,
    log: File,
    /// Where the next record goes.
    end: u64,
    /// Records in the log.
    records: u64,
}

/// Why a slot or record that is there can't be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Unreadable {
    /// A checksum does not hold.
    Damaged,
    /// Its checksums hold, but this version can't decode what they guard.
    IncompatibleFormat,
}

/// A slot as it was read: its sequence number and snapshot.
type Slot = Result<(u64, DurableState), Unreadable>;

/// Reads the slot with sequence numbers of that parity; `None` where it is blank.
fn read_slot(path: &Path, parity: u64) -> io::Result<Option<Slot>> {
    let Some(file) = open_if_present(path)? else { return Ok(None) };
    let bytes = read_piece(&file, 0, HEADER_BYTES)?;
    if bytes.iter().all(|byte| *byte == 0) {
        return Ok(None);
    }
    if bytes.starts_with(&MAGIC[..MAGIC_NAME_BYTES]) && !bytes.starts_with(MAGIC) {
        return Ok(Some(Err(Unreadable::IncompatibleFormat)));
    }
    let Some(header) = Header::parse(&bytes).filter(|header| header.sequence % 2 == parity) else {
        return Ok(Some(Err(Unreadable::Damaged)));
    };
    let Some(body) = read_body(&file, 0, &header)? else { return Ok(Some(Err(Unreadable::Damaged))) };
    let state = wire::decode::<DurableState>(&body);
    Ok(Some(state.map(|state| (header.sequence, state)).map_err(|_| Unreadable::IncompatibleFormat)))
}

fn path_of(folder: &Path, kind: &str, sequence: u64) -> PathBuf {
    folder.join(format!("{kind}-{}", sequence % 2))
}

impl FileStore {
    /// Reads what a folder holds. A torn end of the log is cut off; damage before the synced end is reported.
    ///
    /// # Errors
    /// What the system answered, where a file can't be read.
    pub fn load(folder: &Path) -> io::Result<LoadResult> {
        let (mut blank, mut newest) = (true, None::<(u64, DurableState)>);
        for parity in 0..2 {
            let slot = read_slot(&path_of(folder, "slot", parity), parity)?;
            blank &= slot.is_none();
            match slot {
                Some(Err(Unreadable::IncompatibleFormat)) => return Ok(LoadResult::IncompatibleFormat),
                Some(Ok(slot)) if newest.as_ref().is_none_or(|newest| slot.0 > newest.0) => {
                    newest = Some(slot);
                }
                _ => {}
            }
        }
        if blank {
            return load_without_slots(folder);
        }
        let Some((slot, state)) = newest else {
            return Ok(LoadResult::Corrupt(Corruption::NoReadableSlot));
        };
        Self::load_log(folder, slot, state)
    }

    fn load_log(folder: &Path, slot: u64, state: DurableState) -> io::Result<LoadResult> {
        if let Some(short) = find_short_file(folder)? {
            return Ok(LoadResult::Corrupt(short));
        }
        // A log that follows a slot is begun only once that slot is synced.
        let next = slot + 1;
        if log_follows(&path_of(folder, "log", next), next)? {
            return Ok(LoadResult::Corrupt(Corruption::DamagedSlot(next)));
        }
        let path = path_of(folder, "log", slot);
        match log_state(&path, slot)? {
            LogState::Begun { synced_records } => replay_log(&path, slot, synced_records, state),
            LogState::NotBegun => Ok(LoadResult::State(Box::new(state))),
            LogState::FollowsLaterSlot(later) => Ok(LoadResult::Corrupt(Corruption::MissingSlot(later))),
            LogState::Damaged => Ok(LoadResult::Corrupt(Corruption::DamagedLogHeader(slot))),
        }
    }

    /// Opens a folder for writing. The state goes into a slot of its own, so that no write ever follows a torn
    /// one.
    ///
    /// # Errors
    /// What the system answered, where a file can't be made, written or synced.
    pub fn open(folder: &Path, state: &DurableState) -> io::Result<Self> {
        Self::open_with_medium(folder, state, Arc::new(SystemMedium))
    }

    /// The same with writes through `medium`.
    ///
    /// # Errors
    /// As for [`FileStore::open`].
    pub fn open_with_medium(
        folder: &Path,
        state: &DurableState,
        medium: Arc<dyn Medium>,
    ) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        for parity in 0..2 {
            for (kind, length) in FILE_KINDS {
                reserve(&*medium, &path_of(folder, kind, parity), length)?;
            }
        }
        File::open(folder)?.sync_all()?;
        let slot = Self::newest_durable_slot(folder)?;
        let log = open_for_writing(&path_of(folder, "log", slot))?;
        let mut store = Self { folder: folder.into(), medium, slot, log, end: 0, records: 0 };
        store.write_snapshot(state)?;
        Ok(store)
    }

    /// The newest slot that is known to be synced: its log was begun. What another slot holds may be whole in
    /// memory only, where its sync failed.
    fn newest_durable_slot(folder: &Path) -> io::Result<u64> {
        let mut newest = 0;
        for parity in 0..2 {
            let Some(header) = read_header(&path_of(folder, "slot", parity))? else { continue };
            let slot = header.sequence;
            if log_follows(&path_of(folder, "log", slot), slot)? {
                newest = newest.max(slot);
            }
        }
        Ok(newest)
    }

    fn write_snapshot(&mut self, state: &DurableState) -> io::Result<()> {
        let slot = self.slot + 1;
        let body = wire::encode(state)?;
        if (body.len() + HEADER_BYTES) as u64 > SLOT_BYTES {
            return Err(io::Error::other(format!(
                "a snapshot of {} bytes does not fit into a slot",
                body.len()
            )));
        }
        let file = open_for_writing(&path_of(&self.folder, "slot", slot))?;
        self.medium.write(&file, 0, &Header::new(slot, body.len() as u64, &body).to_bytes())?;
        self.medium.write(&file, HEADER_BYTES as u64, &body)?;
        self.medium.sync(&file)?;
        self.begin_log(slot)
    }

    fn begin_log(&mut self, slot: u64) -> io::Result<()> {
        let log = open_for_writing(&path_of(&self.folder, "log", slot))?;
        // Blank before it names this slot: records of an earlier one must not be taken for its own.
        fill_with_zeros(&*self.medium, &log, HEADER_BYTES as u64, SHORT_LOG_BYTES)?;
        self.medium.sync(&log)?;
        self.medium.write(&log, 0, &Header::new(slot, 0, &[]).to_bytes())?;
        self.medium.sync(&log)?;
        (self.slot, self.log, self.end, self.records) = (slot, log, HEADER_BYTES as u64, 0);
        Ok(())
    }

    fn append(&mut self, record: &Record) -> io::Result<()> {
        let body = wire::encode(record)?;
        let end = self.end + (HEADER_BYTES + body.len()) as u64;
        if end > SHORT_LOG_BYTES {
            return Err(io::Error::other("the short log is full"));
        }
        let number = record_number(self.slot, self.records);
        // The count of synced records travels with the next write.
        self.medium.write(&self.log, 0, &Header::new(self.slot, self.records, &[]).to_bytes())?;
        let header = Header::new(number, body.len() as u64, &body);
        self.medium.write(&self.log, self.end, &header.to_bytes())?;
        self.medium.write(&self.log, self.end + HEADER_BYTES as u64, &body)?;
        self.medium.sync(&self.log)?;
        self.end = end;
        self.records += 1;
        Ok(())
    }
}

impl RecordWriter for FileStore {
    fn write(&mut self, record: &Record) -> io::Result<()> {
        match record {
            Record::DurableState(state) => self.write_snapshot(state),
            other => self.append(other),
        }
    }
}
