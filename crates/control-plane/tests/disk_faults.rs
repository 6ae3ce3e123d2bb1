//! The recorder with real files on a disk that fails at each operation in turn. A record that was reported as synced
//! is never lost, and a failed write never makes the folder look damaged (design 2.4, 2.6).

mod medium;
mod samples;

use common::{Incarnation, Index, Term, settings::Settings, settings::Timing};
use control_plane::{
    consensus::{DurableState, Record},
    storage::FileStore,
    storage::{DAMAGED_FILES, DataFolder, Recorder, RecoveryBackoff},
    storage::{LoadResult, OpenError, RecordWriter},
};
use medium::{DiskFault, FaultPlan, FaultyMedium};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use samples::{bootstrapped, entry, voter_at};
use std::{
    fs,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};
use tempfile::{TempDir, tempdir};

/// Number of records that a run writes. Every third one is a snapshot, so that new slots are written often.
const RECORDS: u64 = 8;
/// An operation that no run reaches.
const NEVER: usize = usize::MAX / 2;

fn settings(dir: &Path) -> Settings {
    let addr = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    Settings {
        cluster: "c".into(),
        node: "s1".into(),
        zone: "a".into(),
        rpc_addr: addr(7000),
        http: addr(8000),
        rpc_advertise: None,
        http_advertise: None,
        seeds: vec![addr(7000)],
        may_bootstrap: true,
        data: Some(dir.to_path_buf()),
        timing: Timing::default(),
        resources: Default::default(),
        log: "info".into(),
    }
}

fn initial_state() -> DurableState {
    let settings = settings(Path::new("/"));
    bootstrapped(&voter_at(settings.rpc_addr, settings.http))
}

/// A folder whose data folder has three synced records.
fn folder_with_records() -> TempDir {
    let dir = tempdir().unwrap();
    let mut store = FileStore::open(&dir.path().join("data"), &initial_state()).unwrap();
    let mut state = initial_state();
    for index in 1..=3 {
        let next = next_record(&state, index);
        store.write(&next).unwrap();
        state.replay(next);
    }
    dir
}

fn last_index(state: &DurableState) -> u64 {
    state.entries.last().map_or(0, |entry| entry.index.0)
}

/// The record with this index, to be written after `state`.
fn next_record(state: &DurableState, index: u64) -> Record {
    if index.is_multiple_of(3) {
        let mut snapshot = state.clone();
        snapshot.replay(Record::Append { commit_index: Index(0), entries: vec![entry(index)] });
        return Record::DurableState(Box::new(snapshot));
    }
    Record::Append { commit_index: Index(0), entries: vec![entry(index)] }
}

/// A recorder with real files and a faulty medium.
struct Run {
    dir: TempDir,
    medium: Arc<FaultyMedium>,
    recorder: Recorder,
    /// The voter's state: what it recovered, and the records that were reported as synced since.
    state: DurableState,
}

impl Run {
    fn path(&self) -> std::path::PathBuf {
        self.dir.path().join("data")
    }

    fn new(seed: u64) -> Self {
        let dir = folder_with_records();
        let data = dir.path().join("data");
        let medium = Arc::new(FaultyMedium::new(&data, seed));
        let folder = DataFolder::with_medium(&settings(&data), medium.clone()).unwrap();
        let mut recorder = Recorder::new(Box::new(folder));
        let state = recorder.recover().unwrap();
        assert_eq!(last_index(&state), 3);
        Run { dir, medium, recorder, state }
    }

    /// Writes all records, with as many recoveries as it takes, or until power is lost. Checks that each recovered
    /// state has all records that were reported as synced, and the same incarnation.
    fn write_all(&mut self) -> Result<(), String> {
        while last_index(&self.state) < 3 + RECORDS && !self.medium.power_is_lost() {
            if self.recorder.failed() {
                match self.recorder.recover() {
                    Ok(state) => self.take(state)?,
                    Err(OpenError::Io { .. }) => continue,
                    Err(e) => return Err(e.to_string()),
                }
            }
            let next = next_record(&self.state, last_index(&self.state) + 1);
            if self.recorder.write(&next).is_ok() {
                self.state.replay(next);
            }
        }
        Ok(())
    }

    fn take(&mut self, recovered: DurableState) -> Result<(), String> {
        check_records(&recovered, &self.state)?;
        self.state = recovered;
        Ok(())
    }
}

/// Checks that a recovered state has all records of `synced`, and at most one more: the one that was being written.
fn check_records(recovered: &DurableState, synced: &DurableState) -> Result<(), String> {
    if recovered.identity.incarnation != synced.identity.incarnation {
        return Err("the voter is blank".into());
    }
    let (has, expected) = (last_index(recovered), last_index(synced));
    if has < expected || has > expected + 1 || recovered.current_term < synced.current_term {
        return Err(format!("the state ends at record {has}, but {expected} was reported as synced"));
    }
    let has_all = recovered.entries.iter().map(|entry| entry.index.0).eq(1..=has);
    if has_all { Ok(()) } else { Err(format!("records before {has} are missing")) }
}

/// Checks that a start from a folder has all records of `synced`.
fn check_start(path: &Path, synced: &DurableState) -> Result<(), String> {
    match FileStore::load(path).map_err(|e| e.to_string())? {
        LoadResult::State(loaded) => check_records(&loaded, synced),
        other => Err(format!("{other:?}")),
    }
}

/// Runs a plan, and checks starts after the process and after the machine went down.
fn check_plan(seed: u64, plan: FaultPlan) -> Result<(), String> {
    let mut run = Run::new(seed);
    run.medium.set_plan(plan);
    run.write_all()?;
    // Only the process ends: all that was written remains.
    check_start(&run.path(), &run.state).map_err(|e| format!("after the end of the process: {e}"))?;
    let after = run.dir.path().join("after");
    run.medium.after_power_loss(&run.path(), &after);
    check_start(&after, &run.state).map_err(|e| format!("after a power loss: {e}"))
}

/// Number of operations in a run without faults.
fn operations_of_a_full_run() -> usize {
    let mut run = Run::new(0);
    run.medium.set_plan(FaultPlan {
        fault: DiskFault::Fails,
        from: NEVER,
        for_operations: 0,
        power_lost_at: NEVER,
    });
    run.write_all().unwrap();
    run.medium.operations()
}

/// Faults that begin at each operation in turn, and last for one or more operations. All records are written in the
/// end.
#[rstest]
fn a_fault_at_each_operation_loses_nothing(
    #[values(DiskFault::Fails, DiskFault::WritesPartly, DiskFault::DropsAtSync)] fault: DiskFault,
) {
    let operations = operations_of_a_full_run();
    for from in 0..operations {
        let for_operations = 1 + from % 40;
        let plan = FaultPlan { fault, from, for_operations, power_lost_at: NEVER };
        check_plan(from as u64, plan).unwrap_or_else(|e| panic!("{plan:?}: {e}"));
    }
}

/// Power is lost at a random operation during or after the fault, also during the writes of the recovery.
#[rstest]
fn a_power_loss_during_recovery_loses_nothing(
    #[values(DiskFault::Fails, DiskFault::WritesPartly, DiskFault::DropsAtSync)] fault: DiskFault,
) {
    let operations = operations_of_a_full_run();
    for seed in 0..100 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let from = rng.random_range(0..operations);
        let for_operations = rng.random_range(1..45);
        let power_lost_at = from + rng.random_range(0..110);
        let plan = FaultPlan { fault, from, for_operations, power_lost_at };
        check_plan(seed, plan).unwrap_or_else(|e| panic!("seed {seed}, {plan:?}: {e}"));
    }
}

/// Power is lost without any other fault. The update of the log's header may then be written only in part.
#[test]
fn a_power_loss_at_each_operation_loses_nothing() {
    for power_lost_at in 0..operations_of_a_full_run() {
        let plan = FaultPlan { fault: DiskFault::Fails, from: NEVER, for_operations: 0, power_lost_at };
        check_plan(power_lost_at as u64, plan).unwrap_or_else(|e| panic!("{plan:?}: {e}"));
    }
}

/// After a failed write, nothing is written until the recovery has opened the files again.
#[test]
fn nothing_is_written_between_a_failure_and_the_recovery() {
    let mut run = Run::new(1);
    let plan = FaultPlan { fault: DiskFault::Fails, from: 0, for_operations: 1, power_lost_at: NEVER };
    run.medium.set_plan(plan);
    assert!(run.recorder.write(&Record::Promise(Term(9))).is_err());
    let before = run.medium.operations();
    assert!(
        run.recorder.write(&Record::Promise(Term(10))).is_err(),
        "the disk works, but the folder was not read again"
    );
    assert_eq!(run.medium.operations(), before);
    assert_eq!(run.recorder.recover().unwrap().current_term, Term(0));
    assert!(run.recorder.write(&Record::Promise(Term(10))).is_ok());
}

/// A disk that fails from the start: each attempt reports the error, and the first one that succeeds starts blank.
#[test]
fn opening_an_empty_folder_on_a_failing_disk_is_retried() {
    let dir = tempdir().unwrap();
    let data = dir.path().join("data");
    let medium = Arc::new(FaultyMedium::new(&data, 1));
    let mut recorder =
        Recorder::new(Box::new(DataFolder::with_medium(&settings(&data), medium.clone()).unwrap()));
    medium.set_plan(FaultPlan { fault: DiskFault::Fails, from: 0, for_operations: 3, power_lost_at: NEVER });
    for _ in 0..3 {
        assert!(matches!(recorder.recover(), Err(OpenError::Io { step: "write", .. })));
        assert!(recorder.failed());
    }
    let state = recorder.recover().unwrap();
    assert!(!state.initialized);
    assert_eq!(FileStore::load(&data).unwrap(), LoadResult::State(Box::new(state)));
}

/// A folder that turns out to be damaged is moved aside, and the voter is blank, with a new incarnation.
#[test]
fn a_damaged_folder_is_replaced_without_a_restart() {
    let mut run = Run::new(1);
    for n in 0..2 {
        let path = run.path().join(format!("slot-{n}"));
        let mut bytes = fs::read(&path).unwrap();
        bytes[..64].fill(9);
        fs::write(&path, bytes).unwrap();
    }
    let plan = FaultPlan { fault: DiskFault::Fails, from: 0, for_operations: 1, power_lost_at: NEVER };
    run.medium.set_plan(plan);
    assert!(run.recorder.write(&Record::Promise(Term(9))).is_err());
    let state = run.recorder.recover().unwrap();
    assert!(!state.initialized && state.identity.incarnation != Incarnation(5));
    let beside = fs::read_dir(run.dir.path()).unwrap().count();
    assert_eq!(beside, 1, "nothing is written beside the data folder");
    for file in ["slot-0", "slot-1", "log-0", "log-1"] {
        assert!(run.path().join(DAMAGED_FILES).join(file).exists(), "{file}");
    }
    assert_eq!(fs::read(run.path().join(DAMAGED_FILES).join("slot-0")).unwrap()[..64], [9; 64]);
}

/// The files of a damaged folder stay in the folder, whose parent may not be writable, and only those of the last
/// damage: the disk must not fill. A crash while they are moved leaves no older state that counts as the newest.
#[test]
fn damaged_files_are_kept_once_whatever_was_moved_before_a_crash() {
    let names = ["slot-0", "slot-1", "log-0", "log-1"];
    for moved in 0..1 << names.len() {
        let dir = folder_with_records();
        let data = dir.path().join("data");
        let kept = data.join(DAMAGED_FILES);
        fs::create_dir_all(&kept).unwrap();
        fs::write(kept.join("slot-0"), "of an earlier damage").unwrap();
        let slot = newest_slot(&data);
        let mut bytes = fs::read(&slot).unwrap();
        bytes[50] ^= 1;
        fs::write(&slot, bytes).unwrap();
        for (bit, name) in names.iter().enumerate() {
            if moved & (1 << bit) != 0 {
                fs::rename(data.join(name), kept.join(name)).unwrap();
            }
        }
        let mut recorder = Recorder::new(Box::new(DataFolder::new(&settings(&data)).unwrap()));
        let state = recorder.recover().unwrap();
        assert!(!state.initialized, "moved {moved:04b}: an older state counts as the newest");
        assert_eq!(fs::read_dir(&kept).unwrap().count(), names.len(), "moved {moved:04b}");
        assert_eq!(fs::read_dir(dir.path()).unwrap().count(), 1);
    }
}

/// The slot file with the higher sequence number.
fn newest_slot(data: &Path) -> PathBuf {
    let sequence = |name: &str| {
        fs::read(data.join(name)).unwrap()[8..16].iter().rev().fold(0, |n, b| n << 8 | u64::from(*b))
    };
    data.join(if sequence("slot-1") > sequence("slot-0") { "slot-1" } else { "slot-0" })
}

#[test]
fn a_folder_of_another_node_is_never_overwritten() {
    let dir = folder_with_records();
    let data = dir.path().join("data");
    let before = fs::read(data.join("slot-0")).unwrap();
    let settings = Settings { node: "s2".into(), ..settings(&data) };
    let mut recorder = Recorder::new(Box::new(DataFolder::new(&settings).unwrap()));
    assert!(matches!(recorder.recover(), Err(OpenError::Foreign(_))));
    assert_eq!(fs::read(data.join("slot-0")).unwrap(), before);
}

/// The waits grow from a heartbeat interval to a renewal interval, and of many failures few are to be logged.
#[test]
fn attempts_back_off_and_few_are_logged() {
    let timing = Timing::default();
    let mut backoff = RecoveryBackoff::new(&timing);
    let mut waits = vec![backoff.wait()];
    let logged = (0..1_000).filter(|_| backoff.record_failure()).count();
    waits.push(backoff.wait());
    assert_eq!(waits, [timing.heartbeat_ms(), timing.renew_interval_ms()].map(Duration::from_millis));
    assert_eq!(logged, 10);
}
