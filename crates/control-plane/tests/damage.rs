//! Loads data folders that were damaged in many ways. A load must return the newest state or report the damage, and
//! never return an older state (design 2.6). The one exception is damage to the last record: it can't be
//! distinguished from a write that a crash interrupted, so the state before that record is accepted.

mod samples;

use common::{Index, Term};
use control_plane::{
    consensus::{DurableState, Record},
    storage::FileStore,
    storage::{LoadResult, RecordWriter},
    types::{SHORT_LOG_BYTES, SLOT_BYTES},
};
use rstest::rstest;
use samples::{entry, one_voter};
use std::{
    fs::{self, File, OpenOptions},
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
};
use tempfile::{TempDir, tempdir};

const FILES: [&str; 4] = ["slot-0", "slot-1", "log-0", "log-1"];
/// Length of the header of a file or record, in bytes.
const HEADER_BYTES: usize = 32;

fn append(index: u64) -> Record {
    Record::Append { commit_index: Index(index - 1), entries: vec![entry(index)] }
}

/// A folder to which `slots` slots were written, each followed by three records. Also returns the state of the last
/// slot, and the states after each record of its log.
fn folder_with_slots(slots: u64) -> (TempDir, Vec<DurableState>) {
    let dir = tempdir().unwrap();
    let (mut state, mut index) = (one_voter(), 0);
    let mut store = FileStore::open(dir.path(), &state).unwrap();
    let mut states = vec![];
    for slot in 0..slots {
        if slot > 0 {
            store.write(&Record::DurableState(Box::new(state.clone()))).unwrap();
        }
        states = vec![state.clone()];
        for _ in 0..3 {
            index += 1;
            store.write(&append(index)).unwrap();
            state.replay(append(index));
            states.push(state.clone());
        }
    }
    (dir, states)
}

fn load(dir: &Path) -> LoadResult {
    FileStore::load(dir).unwrap()
}

fn newest_state(states: &[DurableState]) -> LoadResult {
    LoadResult::State(Box::new(states.last().unwrap().clone()))
}

/// Whether a load refuses the folder because of damage or an unknown format.
fn reports_damage(result: &LoadResult) -> bool {
    matches!(result, LoadResult::Corrupt(_) | LoadResult::IncompatibleFormat)
}

fn open_file(dir: &Path, name: &str) -> File {
    OpenOptions::new().read(true).write(true).open(dir.join(name)).unwrap()
}

/// Offset after the last byte of a file that is not zero.
fn content_end(path: &Path) -> usize {
    let bytes = fs::read(path).unwrap();
    bytes.iter().rposition(|byte| *byte != 0).map_or(0, |last| last + 1)
}

fn copy_folder(from: &Path) -> TempDir {
    let to = tempdir().unwrap();
    FILES.iter().for_each(|name| {
        fs::copy(from.join(name), to.path().join(name)).unwrap();
    });
    to
}

/// The sequence number in the header of a file.
fn sequence_of(dir: &Path, name: &str) -> u64 {
    let mut header = [0; HEADER_BYTES];
    open_file(dir, name).read_exact_at(&mut header, 0).unwrap();
    u64::from_le_bytes(header[8..16].try_into().unwrap())
}

/// The newer of the two files of a kind.
fn newest_file(dir: &Path, kind: &str) -> PathBuf {
    let names = [format!("{kind}-0"), format!("{kind}-1")];
    let name = names.iter().max_by_key(|name| sequence_of(dir, name)).unwrap();
    dir.join(name)
}

/// Flips single bits in everything that was written, one at a time.
#[rstest]
fn no_flipped_bit_leads_to_an_older_state(
    #[values("slot-0", "slot-1", "log-0", "log-1")] name: &str,
    #[values(1, 2, 3)] slots: u64,
) {
    let (dir, states) = folder_with_slots(slots);
    let without_last_record = states[states.len() - 2].clone();
    let file = open_file(dir.path(), name);
    let length = content_end(&dir.path().join(name));
    let bytes = fs::read(dir.path().join(name)).unwrap();
    let in_last_log = name == newest_log_name(dir.path());
    for offset in 0..length as u64 {
        let mut original = [0];
        file.read_exact_at(&mut original, offset).unwrap();
        // All bits in headers, and one bit of each other byte.
        let bits = if is_header(&bytes, name, offset) { 0..8 } else { (offset % 8)..(offset % 8 + 1) };
        for bit in bits {
            file.write_all_at(&[original[0] ^ 1 << bit], offset).unwrap();
            let result = load(dir.path());
            let last_record_ignored =
                in_last_log && result == LoadResult::State(Box::new(without_last_record.clone()));
            assert!(
                reports_damage(&result) || result == newest_state(&states) || last_record_ignored,
                "{name} with {slots} slots: bit {bit} of byte {offset}: {result:?}"
            );
            file.write_all_at(&original, offset).unwrap();
        }
    }
}

fn newest_log_name(dir: &Path) -> String {
    newest_file(dir, "log").file_name().unwrap().to_string_lossy().into_owned()
}

/// Whether the byte at an offset belongs to the header of the file or of a record.
fn is_header(bytes: &[u8], name: &str, offset: u64) -> bool {
    if offset < HEADER_BYTES as u64 {
        return true;
    }
    if name.starts_with("slot") {
        return false;
    }
    let mut start = HEADER_BYTES;
    while bytes[start..].starts_with(b"fshunt05") {
        if (start as u64..(start + HEADER_BYTES) as u64).contains(&offset) {
            return true;
        }
        let length = u64::from_le_bytes(bytes[start + 16..start + 24].try_into().unwrap());
        start += HEADER_BYTES + length as usize;
    }
    false
}

/// Truncates files to each length of the written part, and to some lengths beyond it.
#[rstest]
fn a_truncated_file_is_reported(#[values("slot-0", "slot-1", "log-0", "log-1")] name: &str) {
    let (dir, _) = folder_with_slots(2);
    let path = dir.path().join(name);
    let original = fs::read(&path).unwrap();
    let lengths = (0..content_end(&path) + 2).chain([original.len() / 2, original.len() - 1]);
    for length in lengths {
        open_file(dir.path(), name).set_len(length as u64).unwrap();
        let result = load(dir.path());
        assert!(reports_damage(&result), "{name} truncated to {length} bytes: {result:?}");
    }
    fs::write(&path, original).unwrap();
    assert!(!reports_damage(&load(dir.path())), "the original file");
}

/// Removes or empties each set of files, as a crash can before the folder itself is synced.
#[rstest]
fn missing_files_are_reported(#[values(1, 2, 3)] slots: u64, #[values(false, true)] empty: bool) {
    for set in 1..16u8 {
        let (dir, _) = folder_with_slots(slots);
        let lost: Vec<&str> = (0..4).filter(|n| set & (1 << n) != 0).map(|n: usize| FILES[n]).collect();
        let log_remains = ["log-0", "log-1"]
            .iter()
            .any(|name| !lost.contains(name) && content_end(&dir.path().join(name)) > 0);
        let slot_remains = ["slot-0", "slot-1"]
            .iter()
            .any(|name| !lost.contains(name) && content_end(&dir.path().join(name)) > 0);
        for name in &lost {
            if empty {
                open_file(dir.path(), name).set_len(0).unwrap();
            } else {
                fs::remove_file(dir.path().join(name)).unwrap();
            }
        }
        let result = load(dir.path());
        // If nothing that was written remains, the disk was replaced: the voter is blank, and has no vote.
        let blank = !log_remains && !slot_remains && result == LoadResult::Empty;
        assert!(reports_damage(&result) || blank, "{lost:?} missing after {slots} slots: {result:?}");
    }
}

/// Renames a slot or log to the name of the other one, or swaps the two.
#[rstest]
#[case::slots("slot-0", "slot-1")]
#[case::logs("log-0", "log-1")]
fn renamed_files_are_reported(
    #[case] one: &str,
    #[case] other: &str,
    #[values(2, 3)] slots: u64,
    #[values(false, true)] swapped: bool,
) {
    for (from, to) in [(one, other), (other, one)] {
        let (dir, _) = folder_with_slots(slots);
        let [from, to] = [from, to].map(|name| dir.path().join(name));
        let replaced = fs::read(&to).unwrap();
        fs::rename(&from, &to).unwrap();
        if swapped {
            fs::write(&from, replaced).unwrap();
        }
        let result = load(dir.path());
        assert!(reports_damage(&result), "{from:?} as {to:?}: {result:?}");
    }
}

/// A crash while a snapshot is written: any number of its bytes may have reached the disk.
#[test]
fn a_partly_written_snapshot_is_ignored() {
    let (dir, states) = folder_with_slots(2);
    let newer = DurableState { current_term: Term(99), ..states.last().unwrap().clone() };
    let mut store = reopened(&dir, states.last().unwrap());
    let before = copy_folder(dir.path());
    store.write(&Record::DurableState(Box::new(newer.clone()))).unwrap();
    let slot = newest_file(dir.path(), "slot");
    let name = slot.file_name().unwrap();
    let written = fs::read(&slot).unwrap();
    let length = content_end(&slot);
    let mixed_folder = copy_folder(before.path());
    for written_bytes in 0..=length {
        let old = fs::read(before.path().join(name)).unwrap();
        let mixed: Vec<u8> = written[..written_bytes].iter().chain(&old[written_bytes..]).copied().collect();
        open_file(mixed_folder.path(), &name.to_string_lossy())
            .write_all_at(&mixed[..length.max(1_000)], 0)
            .unwrap();
        let result = load(mixed_folder.path());
        let is_newer = result == LoadResult::State(Box::new(newer.clone()));
        let (newer_when_complete, older) =
            (is_newer && written_bytes == length, result == newest_state(&states));
        assert!(older || newer_when_complete, "{written_bytes} of {length} bytes: {result:?}");
    }
}

/// Opens the store of a folder again with the state that it holds.
fn reopened(dir: &TempDir, state: &DurableState) -> FileStore {
    let store = FileStore::open(dir.path(), state).unwrap();
    assert_eq!(load(dir.path()), LoadResult::State(Box::new(state.clone())));
    store
}

/// All or some records of an older log follow the header of the new one, as after a power loss before they were
/// cleared. `synced`: the header says that the new log has synced records.
#[rstest]
fn records_of_an_older_log_are_never_used(#[values(false, true)] synced: bool) {
    let (dir, _) = folder_with_slots(1);
    let stale = fs::read(newest_file(dir.path(), "log")).unwrap();
    let (dir, states) = folder_with_slots(3);
    let log = newest_file(dir.path(), "log");
    let name = log.file_name().unwrap().to_string_lossy().into_owned();
    let new = fs::read(&log).unwrap();
    // Both logs are in the same file: the third was written over the first.
    assert_eq!(sequence_of(dir.path(), &name), 3);
    let file = open_file(dir.path(), &name);
    if !synced {
        let mut header = [0u8; HEADER_BYTES];
        header.copy_from_slice(&new[..HEADER_BYTES]);
        header[16..24].fill(0);
        let crc = crc32fast::hash(&header[..28]);
        header[28..].copy_from_slice(&crc.to_le_bytes());
        file.write_all_at(&header, 0).unwrap();
    }
    let length = content_length(&stale);
    for from in [HEADER_BYTES, 100, 200] {
        let zeros = vec![0; SHORT_LOG_BYTES as usize - HEADER_BYTES];
        file.write_all_at(&zeros, HEADER_BYTES as u64).unwrap();
        file.write_all_at(&stale[from..length], from as u64).unwrap();
        let result = load(dir.path());
        let snapshot = LoadResult::State(Box::new(states[0].clone()));
        assert!(if synced { reports_damage(&result) } else { result == snapshot }, "from {from}: {result:?}");
    }
}

/// Length of some bytes without the zeros at their end.
fn content_length(bytes: &[u8]) -> usize {
    bytes.iter().rposition(|byte| *byte != 0).map_or(0, |last| last + 1)
}

/// A slot is older than the log with the same file number: the newer slot is lost.
#[test]
fn a_slot_older_than_its_log_is_reported() {
    let (dir, _) = folder_with_slots(1);
    let old = fs::read(newest_file(dir.path(), "slot")).unwrap();
    let (dir, _) = folder_with_slots(3);
    fs::write(newest_file(dir.path(), "slot"), old).unwrap();
    let result = load(dir.path());
    assert!(reports_damage(&result), "{result:?}");
}

/// A record with valid checksums that this version can't decode was not cut short by a crash.
#[test]
fn a_valid_record_of_another_format_is_reported() {
    let (dir, _) = folder_with_slots(1);
    let log = newest_file(dir.path(), "log");
    let name = log.file_name().unwrap().to_string_lossy().into_owned();
    let bytes = fs::read(&log).unwrap();
    let mut offset = HEADER_BYTES;
    for _ in 0..2 {
        offset +=
            HEADER_BYTES + u64::from_le_bytes(bytes[offset + 16..offset + 24].try_into().unwrap()) as usize;
    }
    let body = b"no record of this version";
    let mut header = bytes[offset..offset + HEADER_BYTES].to_vec();
    header[16..24].copy_from_slice(&(body.len() as u64).to_le_bytes());
    header[24..28].copy_from_slice(&crc32fast::hash(body).to_le_bytes());
    let crc = crc32fast::hash(&header[..28]);
    header[28..].copy_from_slice(&crc.to_le_bytes());
    let file = open_file(dir.path(), &name);
    file.write_all_at(&header, offset as u64).unwrap();
    file.write_all_at(body, (offset + HEADER_BYTES) as u64).unwrap();
    assert!(reports_damage(&load(dir.path())), "{:?}", load(dir.path()));
}

/// Damages both slots in the same way. No state is left, and the folder must not count as empty.
#[rstest]
#[case::header(3)]
#[case::checksum(25)]
#[case::body(60)]
fn damage_to_both_slots_is_reported(#[case] offset: u64, #[values(1, 2, 3)] slots: u64) {
    let (dir, _) = folder_with_slots(slots);
    for name in ["slot-0", "slot-1"] {
        open_file(dir.path(), name).write_all_at(&[0xaa, 0x55], offset).unwrap();
    }
    let result = load(dir.path());
    assert!(reports_damage(&result), "{result:?}");
}

/// A first start was interrupted after some files were created; the last of them has a part of its length.
#[rstest]
fn a_partly_created_folder_is_empty(
    #[values(0, 1, 2, 3, 4)] created: usize,
    #[values(0, 1, 70_000, 2_000_000)] part: usize,
) {
    let dir = tempdir().unwrap();
    for (n, name) in ["slot-0", "log-0", "slot-1", "log-1"].iter().enumerate().take(created) {
        let full_length = if name.starts_with("slot") { SLOT_BYTES } else { SHORT_LOG_BYTES } as usize;
        let length = if n + 1 == created { part.min(full_length) } else { full_length };
        fs::write(dir.path().join(name), vec![0; length]).unwrap();
    }
    assert_eq!(load(dir.path()), LoadResult::Empty);
    FileStore::open(dir.path(), &one_voter()).unwrap();
    assert_eq!(load(dir.path()), LoadResult::State(Box::new(one_voter())));
}

/// A folder or file that can't be read at all is an error, not an empty folder.
#[rstest]
fn an_unreadable_folder_is_an_error(#[values("slot-0", "slot-1", "log-0", "log-1")] name: &str) {
    let (dir, _) = folder_with_slots(2);
    let path = dir.path().join(name);
    fs::remove_file(&path).unwrap();
    fs::create_dir(&path).unwrap();
    let result = FileStore::load(dir.path());
    assert!(result.as_ref().map_or(true, reports_damage), "{name}: {result:?}");
    let file = dir.path().join("no-folder");
    fs::write(&file, "a file").unwrap();
    assert!(FileStore::load(&file).is_err());
}

/// Random damage with many seeds: some random bytes, a run of zeros, or a run of random bytes, in any of the files.
#[test]
fn random_damage_never_leads_to_an_older_state() {
    use rand::{Rng, SeedableRng, rngs::SmallRng};
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (dir, states) = folder_with_slots(rng.random_range(1..4));
        let last_log = newest_log_name(dir.path());
        let without_last_record = LoadResult::State(Box::new(states[states.len() - 2].clone()));
        let name = FILES[rng.random_range(0..4)];
        let length = content_end(&dir.path().join(name)).max(64) as u64;
        let file = open_file(dir.path(), name);
        match rng.random_range(0..3) {
            0 => (0..rng.random_range(1..6)).for_each(|_| {
                file.write_all_at(&[rng.random()], rng.random_range(0..length)).unwrap();
            }),
            1 => file.write_all_at(&vec![0; rng.random_range(1..200)], rng.random_range(0..length)).unwrap(),
            _ => {
                let noise: Vec<u8> = (0..rng.random_range(1..200)).map(|_| rng.random()).collect();
                file.write_all_at(&noise, rng.random_range(0..length)).unwrap();
            }
        }
        let result = load(dir.path());
        let last_record_ignored = name == last_log && result == without_last_record;
        assert!(
            reports_damage(&result) || result == newest_state(&states) || last_record_ignored,
            "seed {seed}, {name}: {result:?}"
        );
    }
}
