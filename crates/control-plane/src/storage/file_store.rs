//! A voter's files: two slots that are written alternately, each with a snapshot, and a short log after each
//! slot (design 2.6).
//!
//! Slots have increasing sequence numbers; the parity of the number decides which of the two files holds the slot.
//!
//! All files are filled to their full length when they are created, so that writes succeed even when other
//! programs fill the disk. Writes can still fail for other reasons.
//!
//! A log starts with a header that names the slot that it follows, and how many of its records are known to be
//! synced. The header is written only after that slot is synced. A slot whose log has been started is therefore
//! durable, and a snapshot is only ever written to the other file.

use super::{
    Corruption, LoadResult, Medium, RecordWriter, SystemMedium,
    header::{HEADER_BYTES, Header, is_other_format, record_number},
    layout::{
        FILE_KINDS, LogState, fill_with_zeros, find_short_file, load_without_slots, log_follows, log_state,
        open_for_writing, open_if_present, read_body, read_header, read_piece, reserve,
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

/// A voter's files, open for writing.
pub struct FileStore {
    folder: PathBuf,
    medium: Arc<dyn Medium>,
    /// Sequence number of the newest slot.
    slot: u64,
    log: File,
    /// Offset in the log at which the next record is written, in bytes.
    end: u64,
    /// Number of records in the log.
    records: u64,
}

/// Why a slot or record that is present can't be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Unreadable {
    /// A checksum does not match.
    Damaged,
    /// Its checksums match, but this version can't decode its content.
    IncompatibleFormat,
}

/// A slot that was read: its sequence number and snapshot.
type Slot = Result<(u64, DurableState), Unreadable>;

/// Reads the slot file for sequence numbers of this parity; `None` if no slot was written to it.
fn read_slot(path: &Path, parity: u64) -> io::Result<Option<Slot>> {
    let Some(file) = open_if_present(path)? else { return Ok(None) };
    let bytes = read_piece(&file, 0, HEADER_BYTES)?;
    if bytes.iter().all(|byte| *byte == 0) {
        return Ok(None);
    }
    if is_other_format(&bytes) {
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
    /// Reads the state in a folder. A last record that was written only in part is ignored; damage to synced
    /// data is reported.
    ///
    /// # Errors
    /// The operating system can't read a file.
    pub fn load(folder: &Path) -> io::Result<LoadResult> {
        let (mut is_empty, mut newest) = (true, None::<(u64, DurableState)>);
        for parity in 0..2 {
            let slot = read_slot(&path_of(folder, "slot", parity), parity)?;
            is_empty &= slot.is_none();
            match slot {
                Some(Err(Unreadable::IncompatibleFormat)) => return Ok(LoadResult::IncompatibleFormat),
                Some(Ok(slot)) if newest.as_ref().is_none_or(|newest| slot.0 > newest.0) => {
                    newest = Some(slot);
                }
                _ => {}
            }
        }
        if is_empty {
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
        // A log is started only after its slot is synced: the next slot was synced and can't be read any more.
        let next = slot + 1;
        if log_follows(&path_of(folder, "log", next), next)? {
            return Ok(LoadResult::Corrupt(Corruption::DamagedSlot(next)));
        }
        let path = path_of(folder, "log", slot);
        match log_state(&path, slot)? {
            LogState::Started { synced_records } => replay_log(&path, slot, synced_records, state),
            LogState::NotStarted => Ok(LoadResult::State(Box::new(state))),
            LogState::FollowsLaterSlot(later) => Ok(LoadResult::Corrupt(Corruption::MissingSlot(later))),
            LogState::Damaged => Ok(LoadResult::Corrupt(Corruption::DamagedLogHeader(slot))),
        }
    }

    /// Opens a folder for writing. The state is written to a new slot, so that no record is ever appended after a
    /// partly written one.
    ///
    /// # Errors
    /// A file can't be created, written or synced.
    pub fn open(folder: &Path, state: &DurableState) -> io::Result<Self> {
        Self::open_with_medium(folder, state, Arc::new(SystemMedium))
    }

    /// Like [`FileStore::open`], with all writes and syncs done by `medium`.
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

    /// Sequence number of the newest slot that is known to be synced, because its log was started. A slot without
    /// a log may be readable from the page cache although its sync failed. 0 if there is none.
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
        self.start_log(slot)
    }

    fn start_log(&mut self, slot: u64) -> io::Result<()> {
        let log = open_for_writing(&path_of(&self.folder, "log", slot))?;
        // Cleared and synced before the header names this slot: records of an older log in this file must not be
        // taken for records of this one.
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
        // The number of synced records is updated together with the next write, without a sync of its own.
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
