//! The recorder on real files that fail at every operation: a record that was told as synced is never
//! lost, and no failed write makes a folder look damaged (design 2.4, 2.6).

mod medium;
mod samples;

use common::{Incarnation, Index, Term, settings::Settings, settings::Timing};
use control_plane::{
    consensus::{DurableState, Record},
    storage::FileStore,
    storage::{DataFolder, Recorder, RecoveryBackoff},
    storage::{LoadResult, OpenError, RecordWriter},
};
use medium::{FaultyMedium, Plan, Trouble};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use samples::{bootstrapped, entry, voter_at};
use std::{fs, path::Path, sync::Arc, time::Duration};
use tempfile::{TempDir, tempdir};

/// Records of one run; every third one is a whole image, so that slots are begun often.
const RECORDS: u64 = 8;
/// No plan reaches so far.
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
        log: "info".into(),
    }
}

fn image() -> DurableState {
    let set = settings(Path::new("/"));
    bootstrapped(&voter_at(set.rpc_addr, set.http))
}

/// A folder with three synced records.
fn folder() -> TempDir {
    let d = tempdir().unwrap();
    let mut store = FileStore::open(&d.path().join("data"), &image()).unwrap();
    let mut held = image();
    for n in 1..=3 {
        let next = record(&held, n);
        store.write(&next).unwrap();
        held.replay(next);
    }
    d
}

fn last(image: &DurableState) -> u64 {
    image.entries.last().map_or(0, |e| e.index.0)
}

fn record(held: &DurableState, n: u64) -> Record {
    if n.is_multiple_of(3) {
        let mut whole = held.clone();
        whole.replay(Record::Append { commit_index: Index(0), entries: vec![entry(n)] });
        return Record::DurableState(Box::new(whole));
    }
    Record::Append { commit_index: Index(0), entries: vec![entry(n)] }
}

struct Run {
    dir: TempDir,
    medium: Arc<FaultyMedium>,
    recorder: Recorder,
    /// What the voter believes: what it recovered, and what it was told of as synced since.
    held: DurableState,
}

impl Run {
    fn path(&self) -> std::path::PathBuf {
        self.dir.path().join("data")
    }

    fn new(seed: u64) -> Self {
        let dir = folder();
        let data = dir.path().join("data");
        let medium = Arc::new(FaultyMedium::new(&data, seed));
        let folder = DataFolder::with_medium(&settings(&data), medium.clone()).unwrap();
        let mut recorder = Recorder::new(Box::new(folder));
        let held = recorder.recover().unwrap();
        assert_eq!(last(&held), 3);
        Run { dir, medium, recorder, held }
    }

    /// Writes, and recovers as often as it takes, until all is written or power is lost. Whatever is
    /// recovered holds all that was told as synced, under the same incarnation.
    fn play(&mut self) -> Result<(), String> {
        while last(&self.held) < 3 + RECORDS && !self.medium.power_is_lost() {
            if self.recorder.failed() {
                match self.recorder.recover() {
                    Ok(image) => self.take(image)?,
                    Err(OpenError::Io { .. }) => continue,
                    Err(e) => return Err(e.to_string()),
                }
            }
            let next = record(&self.held, last(&self.held) + 1);
            if self.recorder.write(&next).is_ok() {
                self.held.replay(next);
            }
        }
        Ok(())
    }

    fn take(&mut self, image: DurableState) -> Result<(), String> {
        holds(&image, &self.held)?;
        self.held = image;
        Ok(())
    }
}

/// Whether an image holds all of another, and at most one record more: the one that was under way.
fn holds(image: &DurableState, told: &DurableState) -> Result<(), String> {
    if image.me.incarnation != told.me.incarnation {
        return Err("it came up blank".into());
    }
    let (has, want) = (last(image), last(told));
    if has < want || has > want + 1 || image.current_term < told.current_term {
        return Err(format!("it holds {has}, where {want} was told as synced"));
    }
    let whole = image.entries.iter().map(|e| e.index.0).eq(1..=has);
    if whole { Ok(()) } else { Err(format!("it has gaps up to {has}")) }
}

fn starts_with(path: &Path, told: &DurableState) -> Result<(), String> {
    match FileStore::load(path).map_err(|e| e.to_string())? {
        LoadResult::State(image) => holds(&image, told),
        other => Err(format!("{other:?}")),
    }
}

/// What a start finds after power was lost under a plan.
fn outcome(seed: u64, plan: Plan) -> Result<(), String> {
    let mut run = Run::new(seed);
    run.medium.plan(plan);
    run.play()?;
    // The process alone ends: all that was written is there.
    starts_with(&run.path(), &run.held).map_err(|e| format!("after an end of the process: {e}"))?;
    let after = run.dir.path().join("after");
    run.medium.after_power_loss(&run.path(), &after);
    starts_with(&after, &run.held).map_err(|e| format!("after a loss of power: {e}"))
}

fn operations_of_a_whole_run() -> usize {
    let mut run = Run::new(0);
    run.medium.plan(Plan { trouble: Trouble::Refuses, from: NEVER, for_operations: 0, power_lost_at: NEVER });
    run.play().unwrap();
    run.medium.operations()
}

/// Trouble that begins at each operation in turn, and lasts for one or a few; all is written in the end.
#[rstest]
fn trouble_at_each_operation_loses_nothing(
    #[values(Trouble::Refuses, Trouble::Tears, Trouble::ForgetsAtSync)] trouble: Trouble,
) {
    let operations = operations_of_a_whole_run();
    for from in 0..operations {
        let for_operations = 1 + from % 40;
        let plan = Plan { trouble, from, for_operations, power_lost_at: NEVER };
        outcome(from as u64, plan).unwrap_or_else(|e| panic!("{plan:?}: {e}"));
    }
}

/// Power is lost at any operation during or after the trouble, the recovery's own writes among them.
#[rstest]
fn power_lost_while_it_recovers_loses_nothing(
    #[values(Trouble::Refuses, Trouble::Tears, Trouble::ForgetsAtSync)] trouble: Trouble,
) {
    let operations = operations_of_a_whole_run();
    for seed in 0..100 {
        let mut drawn = SmallRng::seed_from_u64(seed);
        let from = drawn.random_range(0..operations);
        let for_operations = drawn.random_range(1..45);
        let power_lost_at = from + drawn.random_range(0..110);
        let plan = Plan { trouble, from, for_operations, power_lost_at };
        outcome(seed, plan).unwrap_or_else(|e| panic!("seed {seed}, {plan:?}: {e}"));
    }
}

/// Power is lost without any other trouble: the mark in a log's header may be torn.
#[test]
fn power_lost_at_each_operation_loses_nothing() {
    for power_lost_at in 0..operations_of_a_whole_run() {
        let plan = Plan { trouble: Trouble::Refuses, from: NEVER, for_operations: 0, power_lost_at };
        outcome(power_lost_at as u64, plan).unwrap_or_else(|e| panic!("{plan:?}: {e}"));
    }
}

/// A failed write is the last one to the files as they are open.
#[test]
fn nothing_is_written_between_a_failure_and_the_recovery() {
    let mut run = Run::new(1);
    let plan = Plan { trouble: Trouble::Refuses, from: 0, for_operations: 1, power_lost_at: NEVER };
    run.medium.plan(plan);
    assert!(run.recorder.write(&Record::Promise(Term(9))).is_err());
    let before = run.medium.operations();
    assert!(run.recorder.write(&Record::Promise(Term(10))).is_err(), "the disk works, and was not read anew");
    assert_eq!(run.medium.operations(), before);
    assert_eq!(run.recorder.recover().unwrap().current_term, Term(0));
    assert!(run.recorder.write(&Record::Promise(Term(10))).is_ok());
}

/// A disk that refuses from the start: nothing of it is told to anyone, and the next attempt starts blank.
#[test]
fn a_blank_folder_on_a_disk_that_refuses_is_tried_again() {
    let d = tempdir().unwrap();
    let data = d.path().join("data");
    let medium = Arc::new(FaultyMedium::new(&data, 1));
    let mut recorder =
        Recorder::new(Box::new(DataFolder::with_medium(&settings(&data), medium.clone()).unwrap()));
    medium.plan(Plan { trouble: Trouble::Refuses, from: 0, for_operations: 3, power_lost_at: NEVER });
    for _ in 0..3 {
        assert!(matches!(recorder.recover(), Err(OpenError::Io { step: "write", .. })));
        assert!(recorder.failed());
    }
    let image = recorder.recover().unwrap();
    assert!(!image.initialized);
    assert_eq!(FileStore::load(&data).unwrap(), LoadResult::State(Box::new(image)));
}

/// A folder that turns out damaged is moved aside, and the voter comes up blank under another name.
#[test]
fn a_damaged_folder_comes_up_blank_in_the_same_process() {
    let mut run = Run::new(1);
    for n in 0..2 {
        let path = run.path().join(format!("slot-{n}"));
        let mut bytes = fs::read(&path).unwrap();
        bytes[..64].fill(9);
        fs::write(&path, bytes).unwrap();
    }
    let plan = Plan { trouble: Trouble::Refuses, from: 0, for_operations: 1, power_lost_at: NEVER };
    run.medium.plan(plan);
    assert!(run.recorder.write(&Record::Promise(Term(9))).is_err());
    let image = run.recorder.recover().unwrap();
    assert!(!image.initialized && image.me.incarnation != Incarnation(5));
    let aside = fs::read_dir(run.dir.path()).unwrap().map(|e| e.unwrap().file_name());
    assert_eq!(aside.filter(|n| n.to_string_lossy().starts_with("data.damaged-")).count(), 1);
}

#[test]
fn another_nodes_folder_is_never_written_over() {
    let d = folder();
    let data = d.path().join("data");
    let before = fs::read(data.join("slot-0")).unwrap();
    let set = Settings { node: "s2".into(), ..settings(&data) };
    let mut recorder = Recorder::new(Box::new(DataFolder::new(&set).unwrap()));
    assert!(matches!(recorder.recover(), Err(OpenError::Foreign(_))));
    assert_eq!(fs::read(data.join("slot-0")).unwrap(), before);
}

/// The waits grow from a heartbeat to a renewal, and of many failures few are told.
#[test]
fn attempts_are_spread_and_few_are_told() {
    let timing = Timing::default();
    let mut retry = RecoveryBackoff::new(&timing);
    let mut waits = vec![retry.wait()];
    let told = (0..1_000).filter(|_| retry.record_failure()).count();
    waits.push(retry.wait());
    assert_eq!(waits, [timing.heartbeat_ms(), timing.renew_interval_ms()].map(Duration::from_millis));
    assert_eq!(told, 10);
}
