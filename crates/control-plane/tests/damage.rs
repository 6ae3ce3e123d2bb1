//! The data folder under every kind of damage (design 2.6): what a start finds is the newest state, or
//! the damage is told. Never is an older state taken as the newest, but for the last record alone, which
//! can't be told from a torn end.

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
/// Bytes of a header of a file or record.
const HEAD: usize = 32;

fn append(n: u64) -> Record {
    Record::Append { commit_index: Index(n - 1), entries: vec![entry(n)] }
}

/// A folder with so many slots, each followed by three records; its states after each record of the
/// last log, and before the first of them.
fn filled(slots: u64) -> (TempDir, Vec<DurableState>) {
    let dir = tempdir().unwrap();
    let (mut image, mut n) = (one_voter(), 0);
    let mut store = FileStore::open(dir.path(), &image).unwrap();
    let mut states = vec![];
    for slot in 0..slots {
        if slot > 0 {
            store.write(&Record::DurableState(Box::new(image.clone()))).unwrap();
        }
        states = vec![image.clone()];
        for _ in 0..3 {
            n += 1;
            store.write(&append(n)).unwrap();
            image.replay(append(n));
            states.push(image.clone());
        }
    }
    (dir, states)
}

fn load(dir: &Path) -> LoadResult {
    FileStore::load(dir).unwrap()
}

fn newest(states: &[DurableState]) -> LoadResult {
    LoadResult::State(Box::new(states.last().unwrap().clone()))
}

fn told(found: &LoadResult) -> bool {
    matches!(found, LoadResult::Corrupt(_) | LoadResult::IncompatibleFormat)
}

fn file(dir: &Path, name: &str) -> File {
    OpenOptions::new().read(true).write(true).open(dir.join(name)).unwrap()
}

/// Where the content of a file ends: nothing but zeros follows.
fn content_end(path: &Path) -> usize {
    let bytes = fs::read(path).unwrap();
    bytes.iter().rposition(|b| *b != 0).map_or(0, |at| at + 1)
}

fn copy(from: &Path) -> TempDir {
    let to = tempdir().unwrap();
    FILES.iter().for_each(|f| {
        fs::copy(from.join(f), to.path().join(f)).unwrap();
    });
    to
}

fn begins(dir: &Path, name: &str) -> u64 {
    let mut head = [0; HEAD];
    file(dir, name).read_exact_at(&mut head, 0).unwrap();
    u64::from_le_bytes(head[8..16].try_into().unwrap())
}

fn current(dir: &Path, kind: &str) -> PathBuf {
    let names = [format!("{kind}-0"), format!("{kind}-1")];
    let name = names.iter().max_by_key(|n| begins(dir, n)).unwrap();
    dir.join(name)
}

/// Each single bit of all that was written, one at a time.
#[rstest]
fn no_flipped_bit_passes_for_an_older_state(
    #[values("slot-0", "slot-1", "log-0", "log-1")] name: &str,
    #[values(1, 2, 3)] slots: u64,
) {
    let (dir, states) = filled(slots);
    let last_record = states[states.len() - 2].clone();
    let f = file(dir.path(), name);
    let len = content_end(&dir.path().join(name));
    let bytes = fs::read(dir.path().join(name)).unwrap();
    let in_last_log = name == current_name(dir.path());
    for at in 0..len as u64 {
        let mut was = [0];
        f.read_exact_at(&mut was, at).unwrap();
        // All bits of headers, and one of each other byte.
        let bits = if is_header(&bytes, name, at) { 0..8 } else { (at % 8)..(at % 8 + 1) };
        for bit in bits {
            f.write_all_at(&[was[0] ^ 1 << bit], at).unwrap();
            let found = load(dir.path());
            let cut = in_last_log && found == LoadResult::State(Box::new(last_record.clone()));
            assert!(
                told(&found) || found == newest(&states) || cut,
                "{name} with {slots} slots: bit {bit} of byte {at}: {found:?}"
            );
            f.write_all_at(&was, at).unwrap();
        }
    }
}

fn current_name(dir: &Path) -> String {
    current(dir, "log").file_name().unwrap().to_string_lossy().into_owned()
}

/// Whether a byte belongs to a header: the file's own, or that of a record.
fn is_header(bytes: &[u8], name: &str, at: u64) -> bool {
    if at < HEAD as u64 {
        return true;
    }
    if name.starts_with("slot") {
        return false;
    }
    let mut start = HEAD;
    while bytes[start..].starts_with(b"fshunt05") {
        if (start as u64..(start + HEAD) as u64).contains(&at) {
            return true;
        }
        let len = u64::from_le_bytes(bytes[start + 16..start + 24].try_into().unwrap());
        start += HEAD + len as usize;
    }
    false
}

/// Files that were cut off, at each length of what was written and some beyond.
#[rstest]
fn a_file_that_was_cut_off_is_told(#[values("slot-0", "slot-1", "log-0", "log-1")] name: &str) {
    let (dir, _) = filled(2);
    let path = dir.path().join(name);
    let whole = fs::read(&path).unwrap();
    let lengths = (0..content_end(&path) + 2).chain([whole.len() / 2, whole.len() - 1]);
    for len in lengths {
        file(dir.path(), name).set_len(len as u64).unwrap();
        let found = load(dir.path());
        assert!(told(&found), "{name} cut off at {len}: {found:?}");
    }
    fs::write(&path, whole).unwrap();
    assert!(!told(&load(dir.path())), "whole again");
}

/// Each set of files gone, or there and empty: a renaming or removal that the folder's sync did not cover.
#[rstest]
fn lost_files_are_told(#[values(1, 2, 3)] slots: u64, #[values(false, true)] empty: bool) {
    for set in 1..16u8 {
        let (dir, _) = filled(slots);
        let lost: Vec<&str> = (0..4).filter(|n| set & (1 << n) != 0).map(|n: usize| FILES[n]).collect();
        let begun_log_stays =
            ["log-0", "log-1"].iter().any(|f| !lost.contains(f) && content_end(&dir.path().join(f)) > 0);
        let slot_stays =
            ["slot-0", "slot-1"].iter().any(|f| !lost.contains(f) && content_end(&dir.path().join(f)) > 0);
        for name in &lost {
            if empty {
                file(dir.path(), name).set_len(0).unwrap();
            } else {
                fs::remove_file(dir.path().join(name)).unwrap();
            }
        }
        let found = load(dir.path());
        // With all that was written gone it is a lost disk: blank, and so without a vote.
        let blank = !begun_log_stays && !slot_stays && found == LoadResult::Empty;
        assert!(told(&found) || blank, "{lost:?} of {slots} slots lost: {found:?}");
    }
}

/// A slot or log that was renamed over the other.
#[rstest]
#[case::slots("slot-0", "slot-1")]
#[case::logs("log-0", "log-1")]
fn files_that_changed_their_names_are_told(
    #[case] one: &str,
    #[case] other: &str,
    #[values(2, 3)] slots: u64,
    #[values(false, true)] swapped: bool,
) {
    for (from, to) in [(one, other), (other, one)] {
        let (dir, _) = filled(slots);
        let [from, to] = [from, to].map(|n| dir.path().join(n));
        let lost = fs::read(&to).unwrap();
        fs::rename(&from, &to).unwrap();
        if swapped {
            fs::write(&from, lost).unwrap();
        }
        let found = load(dir.path());
        assert!(told(&found), "{from:?} as {to:?}: {found:?}");
    }
}

/// A crash while a snapshot is written: each length of it may have reached the disk.
#[test]
fn a_snapshot_cut_midway_is_passed_over() {
    let (dir, states) = filled(2);
    let newer = DurableState { current_term: Term(99), ..states.last().unwrap().clone() };
    let mut store = reopened(&dir, states.last().unwrap());
    let before = copy(dir.path());
    store.write(&Record::DurableState(Box::new(newer.clone()))).unwrap();
    let slot = current(dir.path(), "slot");
    let name = slot.file_name().unwrap();
    let written = fs::read(&slot).unwrap();
    let len = content_end(&slot);
    let torn = copy(before.path());
    for reached in 0..=len {
        let was = fs::read(before.path().join(name)).unwrap();
        let mixed: Vec<u8> = written[..reached].iter().chain(&was[reached..]).copied().collect();
        file(torn.path(), &name.to_string_lossy()).write_all_at(&mixed[..len.max(1_000)], 0).unwrap();
        let found = load(torn.path());
        let whole = found == LoadResult::State(Box::new(newer.clone()));
        let (whole_only_when_whole, older) = (whole && reached == len, found == newest(&states));
        assert!(older || whole_only_when_whole, "{reached} of {len} bytes: {found:?}");
    }
}

/// The store of a folder as it stands, without the slot that opening it writes.
fn reopened(dir: &TempDir, image: &DurableState) -> FileStore {
    let store = FileStore::open(dir.path(), image).unwrap();
    assert_eq!(load(dir.path()), LoadResult::State(Box::new(image.clone())));
    store
}

/// The records of an older log, in whole or in part, behind the header of the new one: they were not yet
/// filled over when the power went.
#[rstest]
fn records_of_an_older_snapshot_are_never_taken(#[values(false, true)] marked: bool) {
    let (dir, _) = filled(1);
    let stale = fs::read(current(dir.path(), "log")).unwrap();
    let (dir, states) = filled(3);
    let log = current(dir.path(), "log");
    let name = log.file_name().unwrap().to_string_lossy().into_owned();
    let fresh = fs::read(&log).unwrap();
    // Both logs are files of odd number: the third was written over the first.
    assert_eq!(begins(dir.path(), &name), 3);
    let f = file(dir.path(), &name);
    if !marked {
        let mut begun = [0u8; HEAD];
        begun.copy_from_slice(&fresh[..HEAD]);
        begun[16..24].fill(0);
        let crc = crc32fast::hash(&begun[..28]);
        begun[28..].copy_from_slice(&crc.to_le_bytes());
        f.write_all_at(&begun, 0).unwrap();
    }
    let len = content_of(&stale);
    for from in [HEAD, 100, 200] {
        let zeros = vec![0; SHORT_LOG_BYTES as usize - HEAD];
        f.write_all_at(&zeros, HEAD as u64).unwrap();
        f.write_all_at(&stale[from..len], from as u64).unwrap();
        let found = load(dir.path());
        let snapshot = LoadResult::State(Box::new(states[0].clone()));
        assert!(if marked { told(&found) } else { found == snapshot }, "from {from}: {found:?}");
    }
}

fn content_of(bytes: &[u8]) -> usize {
    bytes.iter().rposition(|b| *b != 0).map_or(0, |at| at + 1)
}

/// A slot that is older than the log in its file's place: the newer slot is gone.
#[test]
fn a_snapshot_older_than_its_log_is_told() {
    let (dir, _) = filled(1);
    let old = fs::read(current(dir.path(), "slot")).unwrap();
    let (dir, _) = filled(3);
    fs::write(current(dir.path(), "slot"), old).unwrap();
    let found = load(dir.path());
    assert!(told(&found), "{found:?}");
}

/// A record whose checksum holds and that this version can't read was not torn.
#[test]
fn a_whole_record_of_another_form_is_told() {
    let (dir, _) = filled(1);
    let log = current(dir.path(), "log");
    let name = log.file_name().unwrap().to_string_lossy().into_owned();
    let bytes = fs::read(&log).unwrap();
    let mut at = HEAD;
    for _ in 0..2 {
        at += HEAD + u64::from_le_bytes(bytes[at + 16..at + 24].try_into().unwrap()) as usize;
    }
    let body = b"no record of this version";
    let mut head = bytes[at..at + HEAD].to_vec();
    head[16..24].copy_from_slice(&(body.len() as u64).to_le_bytes());
    head[24..28].copy_from_slice(&crc32fast::hash(body).to_le_bytes());
    let crc = crc32fast::hash(&head[..28]);
    head[28..].copy_from_slice(&crc.to_le_bytes());
    let f = file(dir.path(), &name);
    f.write_all_at(&head, at as u64).unwrap();
    f.write_all_at(body, (at + HEAD) as u64).unwrap();
    assert!(told(&load(dir.path())), "{:?}", load(dir.path()));
}

/// Both slots damaged, in each way: nothing is left to start from, and it is told.
#[rstest]
#[case::header(3)]
#[case::checksum(25)]
#[case::body(60)]
fn both_slots_damaged_are_told(#[case] at: u64, #[values(1, 2, 3)] slots: u64) {
    let (dir, _) = filled(slots);
    for name in ["slot-0", "slot-1"] {
        file(dir.path(), name).write_all_at(&[0xaa, 0x55], at).unwrap();
    }
    let found = load(dir.path());
    assert!(told(&found), "{found:?}");
}

/// A first start that ended midway: so many files were made, the last of them in part.
#[rstest]
fn a_folder_half_made_is_blank(
    #[values(0, 1, 2, 3, 4)] made: usize,
    #[values(0, 1, 70_000, 2_000_000)] part: usize,
) {
    let dir = tempdir().unwrap();
    for (n, name) in ["slot-0", "log-0", "slot-1", "log-1"].iter().enumerate().take(made) {
        let len = if name.starts_with("slot") { SLOT_BYTES } else { SHORT_LOG_BYTES } as usize;
        let len = if n + 1 == made { part.min(len) } else { len };
        fs::write(dir.path().join(name), vec![0; len]).unwrap();
    }
    assert_eq!(load(dir.path()), LoadResult::Empty);
    FileStore::open(dir.path(), &one_voter()).unwrap();
    assert_eq!(load(dir.path()), LoadResult::State(Box::new(one_voter())));
}

/// What can't be read at all is an error of the start, not a blank folder.
#[rstest]
fn a_folder_that_cannot_be_read_is_an_error(#[values("slot-0", "slot-1", "log-0", "log-1")] name: &str) {
    let (dir, _) = filled(2);
    let path = dir.path().join(name);
    fs::remove_file(&path).unwrap();
    fs::create_dir(&path).unwrap();
    let found = FileStore::load(dir.path());
    assert!(found.as_ref().map_or(true, told), "{name}: {found:?}");
    let file = dir.path().join("no-folder");
    fs::write(&file, "a file").unwrap();
    assert!(FileStore::load(&file).is_err());
}

/// Random damage over many seeds: several bits, or a piece of zeros or noise, in any of the files.
#[test]
fn random_damage_never_passes_for_an_older_state() {
    use rand::{Rng, SeedableRng, rngs::SmallRng};
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (dir, states) = filled(rng.random_range(1..4));
        let last_log = current_name(dir.path());
        let last_record = LoadResult::State(Box::new(states[states.len() - 2].clone()));
        let name = FILES[rng.random_range(0..4)];
        let len = content_end(&dir.path().join(name)).max(64) as u64;
        let f = file(dir.path(), name);
        match rng.random_range(0..3) {
            0 => (0..rng.random_range(1..6)).for_each(|_| {
                f.write_all_at(&[rng.random()], rng.random_range(0..len)).unwrap();
            }),
            1 => f.write_all_at(&vec![0; rng.random_range(1..200)], rng.random_range(0..len)).unwrap(),
            _ => {
                let noise: Vec<u8> = (0..rng.random_range(1..200)).map(|_| rng.random()).collect();
                f.write_all_at(&noise, rng.random_range(0..len)).unwrap();
            }
        }
        let found = load(dir.path());
        let cut = name == last_log && found == last_record;
        assert!(told(&found) || found == newest(&states) || cut, "seed {seed}, {name}: {found:?}");
    }
}
