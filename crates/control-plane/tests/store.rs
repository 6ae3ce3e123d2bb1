//! Conformance of the data folder with design 2.6: torn ends are cut, damage is told.

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

fn append(n: u64) -> Record {
    Record::Append { commit_index: Index(0), entries: vec![entry(n)] }
}

fn last(f: LoadResult) -> Option<u64> {
    match f {
        LoadResult::State(i) => Some(i.entries.last().map(|e| e.index.0).unwrap_or(0)),
        _ => None,
    }
}

fn newest(dir: &Path, kind: &str) -> std::path::PathBuf {
    let seq = |n: u8| {
        let b = fs::read(dir.join(format!("{kind}-{n}"))).unwrap();
        u64::from_le_bytes(b[8..16].try_into().unwrap())
    };
    dir.join(format!("{kind}-{}", u8::from(seq(1) > seq(0))))
}

fn edit(p: &Path, f: impl FnOnce(&mut Vec<u8>)) {
    let mut b = fs::read(p).unwrap();
    f(&mut b);
    fs::write(p, b).unwrap();
}

/// Where each record's header starts.
fn records(b: &[u8]) -> Vec<usize> {
    let mut at = vec![];
    let mut pos = 32;
    while b[pos..].starts_with(b"fshunt06") {
        at.push(pos);
        let len = u64::from_le_bytes(b[pos + 16..pos + 24].try_into().unwrap());
        pos += 32 + len as usize;
    }
    at
}

fn filled(dir: &Path, n: u64) {
    let mut s = FileStore::open(dir, &one_voter()).unwrap();
    (1..=n).for_each(|k| s.write(&append(k)).unwrap());
}

#[test]
fn what_was_synced_comes_back_over_many_slots() {
    let d = tempfile::tempdir().unwrap();
    assert_eq!(FileStore::load(d.path()).unwrap(), LoadResult::Empty);
    let mut image = one_voter();
    for round in 0..5u64 {
        let mut s = FileStore::open(d.path(), &image).unwrap();
        s.write(&Record::Promise(Term(round + 1))).unwrap();
        s.write(&append(round + 1)).unwrap();
        image.replay(Record::Promise(Term(round + 1)));
        image.replay(append(round + 1));
        assert_eq!(FileStore::load(d.path()).unwrap(), LoadResult::State(Box::new(image.clone())));
    }
}

#[test]
fn a_torn_end_is_cut() {
    let d = tempfile::tempdir().unwrap();
    filled(d.path(), 3);
    edit(&newest(d.path(), "log"), |b| {
        let at = *records(b).last().unwrap();
        b[at + 40..at + 60].fill(0);
    });
    assert_eq!(last(FileStore::load(d.path()).unwrap()), Some(2));
}

/// Damage before the synced end is told, never passed over.
#[rstest]
#[case::first_record(0)]
#[case::middle_record(1)]
fn damage_within_the_log_is_told(#[case] which: usize) {
    let d = tempfile::tempdir().unwrap();
    filled(d.path(), 3);
    edit(&newest(d.path(), "log"), |b| {
        let at = records(b)[which];
        b[at + 35] ^= 1;
    });
    assert!(matches!(FileStore::load(d.path()).unwrap(), LoadResult::Corrupt(_)));
}

#[test]
fn a_lost_tail_below_the_mark_is_told() {
    let d = tempfile::tempdir().unwrap();
    filled(d.path(), 4);
    edit(&newest(d.path(), "log"), |b| {
        let at = records(b)[1];
        b[at..].fill(0);
    });
    assert!(matches!(FileStore::load(d.path()).unwrap(), LoadResult::Corrupt(_)));
}

#[test]
fn a_damaged_newest_slot_is_told_and_a_torn_one_is_passed_over() {
    let d = tempfile::tempdir().unwrap();
    filled(d.path(), 2);
    let slot = newest(d.path(), "slot");
    edit(&slot, |b| b[50] ^= 1);
    assert!(matches!(FileStore::load(d.path()).unwrap(), LoadResult::Corrupt(_)));
    // Torn while it was written: its log was not begun yet, the older slot and log are whole.
    let d = tempfile::tempdir().unwrap();
    filled(d.path(), 2);
    let slot = newest(d.path(), "slot");
    let other = d.path().join(if slot.ends_with("slot-0") { "slot-1" } else { "slot-0" });
    edit(&other, |b| {
        b[..8].copy_from_slice(b"fshunt06");
        b[8..40].fill(7);
    });
    assert_eq!(last(FileStore::load(d.path()).unwrap()), Some(2));
}

#[test]
fn both_slots_gone_is_damage_not_blankness() {
    let d = tempfile::tempdir().unwrap();
    filled(d.path(), 2);
    for n in 0..2 {
        edit(&d.path().join(format!("slot-{n}")), |b| b[..64].fill(9));
    }
    assert!(matches!(FileStore::load(d.path()).unwrap(), LoadResult::Corrupt(_)));
}

/// Whole data of another form is not damage: were it taken as such, an upgrade of all three voters
/// would start a blank cluster.
#[test]
fn another_form_is_refused() {
    let d = tempfile::tempdir().unwrap();
    filled(d.path(), 1);
    edit(&newest(d.path(), "slot"), |b| b[..8].copy_from_slice(b"fshunt01"));
    assert_eq!(FileStore::load(d.path()).unwrap(), LoadResult::IncompatibleFormat);
    let d = tempfile::tempdir().unwrap();
    filled(d.path(), 1);
    edit(&newest(d.path(), "slot"), |b| {
        // A body that its checksums guard and that is no image.
        let body = b"not an image of this version";
        b[16..24].copy_from_slice(&(body.len() as u64).to_le_bytes());
        b[24..28].copy_from_slice(&crc32fast::hash(body).to_le_bytes());
        let head = crc32fast::hash(&b[..28]);
        b[28..32].copy_from_slice(&head.to_le_bytes());
        b[32..32 + body.len()].copy_from_slice(body);
    });
    assert_eq!(FileStore::load(d.path()).unwrap(), LoadResult::IncompatibleFormat);
}

/// Logs are looked through in pieces: a header that stands across the end of one is found too.
#[rstest]
#[case::within_a_piece(1_000)]
#[case::across_its_end((64 << 10) - 16)]
#[case::at_its_end((64 << 10) - 32)]
#[case::in_the_next((64 << 10) + 5)]
#[case::near_the_end_of_the_log((2 << 20) - 200)]
fn what_follows_a_gap_is_found_wherever_it_stands(#[case] behind: usize) {
    let d = tempfile::tempdir().unwrap();
    filled(d.path(), 2);
    let log = fs::read(newest(d.path(), "log")).unwrap();
    let second = log[records(&log)[1]..][..32].to_vec();
    let d = tempfile::tempdir().unwrap();
    filled(d.path(), 1);
    edit(&newest(d.path(), "log"), |b| {
        let at = records(b)[0];
        b[at + 35] ^= 1;
    });
    assert_eq!(last(FileStore::load(d.path()).unwrap()), Some(0), "a torn end is cut");
    edit(&newest(d.path(), "log"), |b| {
        let at = 32 + behind;
        b[at..at + 32].copy_from_slice(&second);
    });
    assert!(matches!(FileStore::load(d.path()).unwrap(), LoadResult::Corrupt(_)));
}

/// The mark is brought forward in place with each record. Before: torn on the way, it made all records
/// behind it count for nothing.
#[rstest]
fn a_mark_torn_at_any_byte_leaves_the_records(#[values(16, 17, 20, 24, 25, 28, 30, 31)] last_sent: usize) {
    let d = tempfile::tempdir().unwrap();
    let mut s = FileStore::open(d.path(), &one_voter()).unwrap();
    (1..=2).for_each(|k| s.write(&append(k)).unwrap());
    let before = fs::read(newest(d.path(), "log")).unwrap()[..32].to_vec();
    s.write(&append(3)).unwrap();
    // The new mark up to here, what stood there before from here on.
    edit(&newest(d.path(), "log"), |b| b[last_sent..32].copy_from_slice(&before[last_sent..]));
    assert_eq!(last(FileStore::load(d.path()).unwrap()), Some(3));
}

/// A slot that is whole, and whose log was not begun, may be whole in memory only: its sync may have
/// failed. Before: a start wrote over the synced one, and a loss of power then left none.
#[test]
fn a_start_never_writes_over_the_last_synced_slot() {
    let d = tempfile::tempdir().unwrap();
    filled(d.path(), 2);
    let durable_index = newest(d.path(), "slot");
    let other = d.path().join(if durable_index.ends_with("slot-0") { "slot-1" } else { "slot-0" });
    let bytes = fs::read(&durable_index).unwrap();
    let sequence = u64::from_le_bytes(bytes[8..16].try_into().unwrap()) + 1;
    edit(&other, |b| {
        b.copy_from_slice(&bytes);
        b[8..16].copy_from_slice(&sequence.to_le_bytes());
        let head = crc32fast::hash(&b[..28]);
        b[28..32].copy_from_slice(&head.to_le_bytes());
    });
    FileStore::open(d.path(), &one_voter()).unwrap();
    assert_eq!(fs::read(&durable_index).unwrap(), bytes);
}

/// What was done to a file, in order: to which, and what.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FileChange {
    Zeros { from: u64, to: u64 },
    Data { at: u64 },
    Synced,
}

/// Files as they are, with a record of all changes by inode.
#[derive(Clone, Default)]
struct RecordedMedium(Arc<Mutex<Vec<(u64, FileChange)>>>);

impl RecordedMedium {
    fn note(&self, file: &File, change: FileChange) {
        let inode = file.metadata().expect("an open file").ino();
        let mut changes = self.0.lock().expect("changes");
        // Zeros that follow each other are one change.
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
        self.note(file, change);
        SystemMedium.write(file, offset, bytes)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        self.note(file, FileChange::Synced);
        SystemMedium.sync(file)
    }
}

/// Claim D5 (a): a slot is synced before its log is touched, and the log is blank, and synced as such, before it names
/// the slot; both when a folder is opened and when a snapshot is written over an older log.
#[test]
fn a_log_is_blank_and_synced_before_it_names_its_slot() {
    let d = tempfile::tempdir().unwrap();
    filled(d.path(), 3);
    let medium = RecordedMedium::default();
    let mut s = FileStore::open_with_medium(d.path(), &one_voter(), Arc::new(medium.clone())).unwrap();
    for n in 1..3 {
        s.write(&append(n)).unwrap();
        let changes = std::mem::take(&mut *medium.0.lock().unwrap());
        let snapshot: Vec<_> = changes.split(|(_, change)| *change == FileChange::Synced).collect();
        let inode = |kind: &str| fs::metadata(newest(d.path(), kind)).unwrap().ino();
        let [slot, blanks, header, record, rest] = snapshot[..] else { panic!("{changes:?}") };
        let (slot_file, log_file) = (inode("slot"), inode("log"));
        assert_eq!(slot, [(slot_file, FileChange::Data { at: 0 }), (slot_file, FileChange::Data { at: 32 })]);
        assert_eq!(blanks, [(log_file, FileChange::Zeros { from: 32, to: SHORT_LOG_BYTES })]);
        assert_eq!(header, [(log_file, FileChange::Data { at: 0 })]);
        assert!(record.iter().all(|(file, _)| *file == log_file) && rest.is_empty(), "{changes:?}");
        s.write(&Record::DurableState(Box::new(one_voter()))).unwrap();
    }
}
