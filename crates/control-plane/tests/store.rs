//! Tests of the data folder: a partly written last record is ignored, damage to synced data is reported, and writes
//! are synced in the right order (design 2.6).

mod samples;

use common::{Index, Term};
use control_plane::{
    consensus::Record,
    storage::FileStore,
    storage::{LoadResult, Medium, RecordWriter, SystemMedium},
    types::SHORT_LOG_BYTES,
};
use rstest::rstest;
use samples::{entry, one_voter};
use std::{
    fs::{self, File},
    io,
    os::unix::fs::MetadataExt,
    path::Path,
    sync::{Arc, Mutex},
};

fn append(index: u64) -> Record {
    Record::Append { commit_index: Index(0), entries: vec![entry(index)] }
}

/// Index of the last entry of a loaded state, 0 without entries; `None` if no state was loaded.
fn last_index(result: LoadResult) -> Option<u64> {
    match result {
        LoadResult::State(state) => Some(state.entries.last().map(|entry| entry.index.0).unwrap_or(0)),
        _ => None,
    }
}

/// The newer of the two files of a kind.
fn newest_file(dir: &Path, kind: &str) -> std::path::PathBuf {
    let sequence = |n: u8| {
        let bytes = fs::read(dir.join(format!("{kind}-{n}"))).unwrap();
        u64::from_le_bytes(bytes[8..16].try_into().unwrap())
    };
    dir.join(format!("{kind}-{}", u8::from(sequence(1) > sequence(0))))
}

fn edit(path: &Path, change: impl FnOnce(&mut Vec<u8>)) {
    let mut bytes = fs::read(path).unwrap();
    change(&mut bytes);
    fs::write(path, bytes).unwrap();
}

/// Offsets of the headers of a log's records.
fn record_offsets(log: &[u8]) -> Vec<usize> {
    let mut offsets = vec![];
    let mut offset = 32;
    while log[offset..].starts_with(b"fshunt06") {
        offsets.push(offset);
        let length = u64::from_le_bytes(log[offset + 16..offset + 24].try_into().unwrap());
        offset += 32 + length as usize;
    }
    offsets
}

/// Writes a slot, and a log with this number of records.
fn write_log(dir: &Path, records: u64) {
    let mut store = FileStore::open(dir, &one_voter()).unwrap();
    (1..=records).for_each(|index| store.write(&append(index)).unwrap());
}

#[test]
fn synced_records_are_loaded_across_many_slots() {
    let dir = tempfile::tempdir().unwrap();
    assert_eq!(FileStore::load(dir.path()).unwrap(), LoadResult::Empty);
    let mut state = one_voter();
    for round in 0..5u64 {
        let mut store = FileStore::open(dir.path(), &state).unwrap();
        store.write(&Record::Promise(Term(round + 1))).unwrap();
        store.write(&append(round + 1)).unwrap();
        state.replay(Record::Promise(Term(round + 1)));
        state.replay(append(round + 1));
        assert_eq!(FileStore::load(dir.path()).unwrap(), LoadResult::State(Box::new(state.clone())));
    }
}

#[test]
fn a_partly_written_last_record_is_ignored() {
    let dir = tempfile::tempdir().unwrap();
    write_log(dir.path(), 3);
    edit(&newest_file(dir.path(), "log"), |log| {
        let offset = *record_offsets(log).last().unwrap();
        log[offset + 40..offset + 60].fill(0);
    });
    assert_eq!(last_index(FileStore::load(dir.path()).unwrap()), Some(2));
}

/// Damage to a synced record is reported, and not taken for the end of the log.
#[rstest]
#[case::first_record(0)]
#[case::middle_record(1)]
fn damage_to_a_synced_record_is_reported(#[case] record: usize) {
    let dir = tempfile::tempdir().unwrap();
    write_log(dir.path(), 3);
    edit(&newest_file(dir.path(), "log"), |log| {
        let offset = record_offsets(log)[record];
        log[offset + 35] ^= 1;
    });
    assert!(matches!(FileStore::load(dir.path()).unwrap(), LoadResult::Corrupt(_)));
}

#[test]
fn missing_synced_records_are_reported() {
    let dir = tempfile::tempdir().unwrap();
    write_log(dir.path(), 4);
    edit(&newest_file(dir.path(), "log"), |log| {
        let offset = record_offsets(log)[1];
        log[offset..].fill(0);
    });
    assert!(matches!(FileStore::load(dir.path()).unwrap(), LoadResult::Corrupt(_)));
}

#[test]
fn a_damaged_slot_is_reported_and_a_partly_written_one_is_ignored() {
    let dir = tempfile::tempdir().unwrap();
    write_log(dir.path(), 2);
    let slot = newest_file(dir.path(), "slot");
    edit(&slot, |bytes| bytes[50] ^= 1);
    assert!(matches!(FileStore::load(dir.path()).unwrap(), LoadResult::Corrupt(_)));
    // Only partly written: its log was not started yet, and the older slot and log are intact.
    let dir = tempfile::tempdir().unwrap();
    write_log(dir.path(), 2);
    let slot = newest_file(dir.path(), "slot");
    let other = dir.path().join(if slot.ends_with("slot-0") { "slot-1" } else { "slot-0" });
    edit(&other, |bytes| {
        bytes[..8].copy_from_slice(b"fshunt06");
        bytes[8..40].fill(7);
    });
    assert_eq!(last_index(FileStore::load(dir.path()).unwrap()), Some(2));
}

#[test]
fn damage_to_both_slots_does_not_count_as_empty() {
    let dir = tempfile::tempdir().unwrap();
    write_log(dir.path(), 2);
    for n in 0..2 {
        edit(&dir.path().join(format!("slot-{n}")), |bytes| bytes[..64].fill(9));
    }
    assert!(matches!(FileStore::load(dir.path()).unwrap(), LoadResult::Corrupt(_)));
}

/// Undamaged data of another format is not damage. Otherwise an upgrade of all three voters would start an empty
/// cluster.
#[test]
fn another_format_is_refused() {
    let dir = tempfile::tempdir().unwrap();
    write_log(dir.path(), 1);
    // A header of another format has a checksum of its own, or none in this place.
    edit(&newest_file(dir.path(), "slot"), |bytes| {
        bytes[..8].copy_from_slice(b"fshunt01");
        let header_crc = crc32fast::hash(&bytes[..28]);
        bytes[28..32].copy_from_slice(&header_crc.to_le_bytes());
    });
    assert_eq!(FileStore::load(dir.path()).unwrap(), LoadResult::IncompatibleFormat);
    edit(&newest_file(dir.path(), "slot"), |bytes| bytes[28..32].fill(0x5a));
    assert_eq!(FileStore::load(dir.path()).unwrap(), LoadResult::IncompatibleFormat);
    let dir = tempfile::tempdir().unwrap();
    write_log(dir.path(), 1);
    edit(&newest_file(dir.path(), "slot"), |bytes| {
        // A body with valid checksums that is not a snapshot.
        let body = b"not an image of this version";
        bytes[16..24].copy_from_slice(&(body.len() as u64).to_le_bytes());
        bytes[24..28].copy_from_slice(&crc32fast::hash(body).to_le_bytes());
        let header_crc = crc32fast::hash(&bytes[..28]);
        bytes[28..32].copy_from_slice(&header_crc.to_le_bytes());
        bytes[32..32 + body.len()].copy_from_slice(body);
    });
    assert_eq!(FileStore::load(dir.path()).unwrap(), LoadResult::IncompatibleFormat);
}

/// A damaged version of this format is damage: taken for another format, it would end the process at each start.
#[test]
fn a_damaged_version_is_not_taken_for_another_format() {
    let dir = tempfile::tempdir().unwrap();
    write_log(dir.path(), 2);
    let slot = newest_file(dir.path(), "slot");
    let intact = fs::read(&slot).unwrap();
    for position in 6..8 {
        for bit in 0..8 {
            edit(&slot, |bytes| {
                bytes.clone_from(&intact);
                bytes[position] ^= 1 << bit;
            });
            let loaded = FileStore::load(dir.path()).unwrap();
            assert!(matches!(loaded, LoadResult::Corrupt(_)), "byte {position}, bit {bit}: {loaded:?}");
        }
    }
}

/// Logs are searched in pieces of 64 KiB. A later record's header is found wherever it is, also across the end of a
/// piece.
#[rstest]
#[case::within_a_piece(1_000)]
#[case::across_the_end_of_a_piece((64 << 10) - 16)]
#[case::at_the_end_of_a_piece((64 << 10) - 32)]
#[case::in_the_next_piece((64 << 10) + 5)]
#[case::near_the_end_of_the_log((2 << 20) - 200)]
fn a_record_after_a_damaged_one_is_found_at_any_offset(#[case] distance: usize) {
    let dir = tempfile::tempdir().unwrap();
    write_log(dir.path(), 2);
    let log = fs::read(newest_file(dir.path(), "log")).unwrap();
    let second = log[record_offsets(&log)[1]..][..32].to_vec();
    let dir = tempfile::tempdir().unwrap();
    write_log(dir.path(), 1);
    edit(&newest_file(dir.path(), "log"), |log| {
        let offset = record_offsets(log)[0];
        log[offset + 35] ^= 1;
    });
    assert_eq!(last_index(FileStore::load(dir.path()).unwrap()), Some(0), "the only record is ignored");
    edit(&newest_file(dir.path(), "log"), |log| {
        let offset = 32 + distance;
        log[offset..offset + 32].copy_from_slice(&second);
    });
    assert!(matches!(FileStore::load(dir.path()).unwrap(), LoadResult::Corrupt(_)));
}

/// The count of synced records in the log's header is overwritten with each record. A crash can leave any part of
/// that write; the header then has a wrong checksum, and the records after it must still be read.
#[rstest]
fn a_partly_written_log_header_keeps_the_records(#[values(16, 17, 20, 24, 25, 28, 30, 31)] written: usize) {
    let dir = tempfile::tempdir().unwrap();
    let mut store = FileStore::open(dir.path(), &one_voter()).unwrap();
    (1..=2).for_each(|index| store.write(&append(index)).unwrap());
    let before = fs::read(newest_file(dir.path(), "log")).unwrap()[..32].to_vec();
    store.write(&append(3)).unwrap();
    // The first `written` bytes of the new header, followed by the rest of the old one.
    edit(&newest_file(dir.path(), "log"), |log| log[written..32].copy_from_slice(&before[written..]));
    assert_eq!(last_index(FileStore::load(dir.path()).unwrap()), Some(3));
}

/// A slot whose log was not started may be readable from the page cache only, because its sync failed. A start must
/// not overwrite the other, synced slot: a power loss would then leave no slot at all.
#[test]
fn a_start_never_overwrites_the_last_synced_slot() {
    let dir = tempfile::tempdir().unwrap();
    write_log(dir.path(), 2);
    let durable_slot = newest_file(dir.path(), "slot");
    let other = dir.path().join(if durable_slot.ends_with("slot-0") { "slot-1" } else { "slot-0" });
    let bytes = fs::read(&durable_slot).unwrap();
    let sequence = u64::from_le_bytes(bytes[8..16].try_into().unwrap()) + 1;
    edit(&other, |slot| {
        slot.copy_from_slice(&bytes);
        slot[8..16].copy_from_slice(&sequence.to_le_bytes());
        let header_crc = crc32fast::hash(&slot[..28]);
        slot[28..32].copy_from_slice(&header_crc.to_le_bytes());
    });
    FileStore::open(dir.path(), &one_voter()).unwrap();
    assert_eq!(fs::read(&durable_slot).unwrap(), bytes);
}

/// A write to a file or a sync of it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FileChange {
    /// Zeros were written from one offset up to another.
    Zeros { from: u64, to: u64 },
    /// Other bytes were written at an offset.
    Data { at: u64 },
    /// The file was synced.
    Synced,
}

/// The real files, with a record of all changes: the file's inode and the change.
#[derive(Clone, Default)]
struct RecordedMedium(Arc<Mutex<Vec<(u64, FileChange)>>>);

impl RecordedMedium {
    fn record(&self, file: &File, change: FileChange) {
        let inode = file.metadata().expect("an open file").ino();
        let mut changes = self.0.lock().expect("changes");
        // Adjacent writes of zeros count as one change.
        if let (Some((last, FileChange::Zeros { to, .. })), FileChange::Zeros { from, to: end }) =
            (changes.last_mut(), change)
            && (*last, *to) == (inode, from)
        {
            *to = end;
            return;
        }
        changes.push((inode, change));
    }
}

impl Medium for RecordedMedium {
    fn write(&self, file: &File, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let to = offset + bytes.len() as u64;
        let zeros = bytes.iter().all(|byte| *byte == 0);
        let change =
            if zeros { FileChange::Zeros { from: offset, to } } else { FileChange::Data { at: offset } };
        self.record(file, change);
        SystemMedium.write(file, offset, bytes)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        self.record(file, FileChange::Synced);
        SystemMedium.sync(file)
    }
}

/// A slot is synced before its log is changed, and the log is cleared and synced before its header names the slot.
/// This holds when a folder is opened and when a snapshot replaces an older one (claim D5 a).
#[test]
fn a_log_is_cleared_and_synced_before_it_names_its_slot() {
    let dir = tempfile::tempdir().unwrap();
    write_log(dir.path(), 3);
    let medium = RecordedMedium::default();
    let mut store = FileStore::open_with_medium(dir.path(), &one_voter(), Arc::new(medium.clone())).unwrap();
    for index in 1..3 {
        store.write(&append(index)).unwrap();
        let changes = std::mem::take(&mut *medium.0.lock().unwrap());
        let groups: Vec<_> = changes.split(|(_, change)| *change == FileChange::Synced).collect();
        let inode = |kind: &str| fs::metadata(newest_file(dir.path(), kind)).unwrap().ino();
        let [slot, zeros, header, record, rest] = groups[..] else { panic!("{changes:?}") };
        let (slot_file, log_file) = (inode("slot"), inode("log"));
        assert_eq!(slot, [(slot_file, FileChange::Data { at: 0 }), (slot_file, FileChange::Data { at: 32 })]);
        assert_eq!(zeros, [(log_file, FileChange::Zeros { from: 32, to: SHORT_LOG_BYTES })]);
        assert_eq!(header, [(log_file, FileChange::Data { at: 0 })]);
        assert!(record.iter().all(|(file, _)| *file == log_file) && rest.is_empty(), "{changes:?}");
        store.write(&Record::DurableState(Box::new(one_voter()))).unwrap();
    }
}
