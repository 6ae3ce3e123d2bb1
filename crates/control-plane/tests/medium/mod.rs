//! A medium that injects disk faults into real files, and determines what a power loss leaves of them.

#![allow(dead_code)]

use control_plane::storage::Medium;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::BTreeMap,
    fs::{self, File},
    io,
    os::unix::fs::{FileExt, MetadataExt},
    path::Path,
    sync::{Mutex, MutexGuard},
};

/// How operations fail while the disk is faulty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// Writes and syncs fail without effect, as on a full disk.
    Fails,
    /// A write fails after a part of its bytes; a sync fails without effect.
    WritesPartly,
    /// Writes succeed. Each sync fails, and the operating system drops the unsynced data: a later sync that succeeds
    /// doesn't cover it.
    DropsAtSync,
}

/// When operations fail, and when power is lost. Operations are the writes and syncs since the plan was set.
#[derive(Clone, Copy, Debug)]
pub struct FaultPlan {
    /// How operations fail.
    pub fault: DiskFault,
    /// The first operation that fails.
    pub from: usize,
    /// Number of operations that fail.
    pub for_operations: usize,
    /// Power is lost before this operation.
    pub power_lost_at: usize,
}

/// A write to a file.
struct FileWrite {
    offset: u64,
    bytes: Vec<u8>,
}

#[derive(Default)]
struct FileState {
    /// Bytes that survive a power loss.
    durable: Vec<u8>,
    /// Writes since the last sync, oldest first.
    unsynced: Vec<FileWrite>,
}

struct MediumState {
    operations: usize,
    rng: SmallRng,
    /// By inode.
    files: BTreeMap<u64, FileState>,
    plan: Option<FaultPlan>,
}

/// Writes to real files, with faults by a plan.
pub struct FaultyMedium(Mutex<MediumState>);

fn write_bytes(file: &mut Vec<u8>, offset: u64, bytes: &[u8]) {
    let (start, end) = (offset as usize, offset as usize + bytes.len());
    if file.len() < end {
        file.resize(end, 0);
    }
    file[start..end].copy_from_slice(bytes);
}

/// Applies an unsynced write: all of it, a part, or nothing.
fn apply_unsynced(rng: &mut SmallRng, durable: &mut Vec<u8>, write: &FileWrite) {
    let length = match rng.random_range(0..3) {
        0 => 0,
        1 => write.bytes.len(),
        _ => rng.random_range(0..=write.bytes.len()),
    };
    write_bytes(durable, write.offset, &write.bytes[..length]);
}

/// The operating system's error for a full disk.
fn disk_full() -> io::Error {
    io::Error::from_raw_os_error(28)
}

impl FaultyMedium {
    /// A medium for the files of `dir`. Those that exist already count as synced.
    pub fn new(dir: &Path, seed: u64) -> Self {
        let mut files = BTreeMap::new();
        for entry in fs::read_dir(dir).into_iter().flatten().map(Result::unwrap) {
            let durable = fs::read(entry.path()).unwrap();
            files.insert(entry.metadata().unwrap().ino(), FileState { durable, unsynced: vec![] });
        }
        let rng = SmallRng::seed_from_u64(seed);
        Self(Mutex::new(MediumState { operations: 0, rng, files, plan: None }))
    }

    fn lock(&self) -> MutexGuard<'_, MediumState> {
        self.0.lock().unwrap()
    }

    /// Sets the plan and counts operations from 0 again.
    pub fn set_plan(&self, plan: FaultPlan) {
        let mut state = self.lock();
        (state.operations, state.plan) = (0, Some(plan));
    }

    /// Number of operations since the plan was set.
    pub fn operations(&self) -> usize {
        self.lock().operations
    }

    /// Whether the plan has reached its power loss.
    pub fn power_is_lost(&self) -> bool {
        let state = self.lock();
        state.plan.is_some_and(|plan| state.operations >= plan.power_lost_at)
    }

    /// Writes to the folder `to` what a power loss leaves of the files in `dir`.
    pub fn after_power_loss(&self, dir: &Path, to: &Path) {
        let mut state = self.lock();
        let MediumState { rng, files, .. } = &mut *state;
        fs::create_dir_all(to).unwrap();
        for entry in fs::read_dir(dir).unwrap().map(Result::unwrap) {
            let Some(file) = files.get_mut(&entry.metadata().unwrap().ino()) else { continue };
            let unsynced = std::mem::take(&mut file.unsynced);
            unsynced.iter().for_each(|write| apply_unsynced(rng, &mut file.durable, write));
            fs::write(to.join(entry.file_name()), &file.durable).unwrap();
        }
    }
}

impl MediumState {
    /// Counts an operation. Returns the fault that the plan has for it.
    fn next_operation(&mut self) -> io::Result<Option<DiskFault>> {
        let operation = self.operations;
        let Some(plan) = self.plan else {
            self.operations += 1;
            return Ok(None);
        };
        if operation >= plan.power_lost_at {
            return Err(disk_full());
        }
        self.operations += 1;
        let is_faulty = (plan.from..plan.from + plan.for_operations).contains(&operation);
        Ok(is_faulty.then_some(plan.fault))
    }
}

impl Medium for FaultyMedium {
    fn write(&self, file: &File, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.lock();
        let length = match state.next_operation()? {
            Some(DiskFault::Fails) => return Err(disk_full()),
            Some(DiskFault::WritesPartly) => state.rng.random_range(0..bytes.len()),
            Some(DiskFault::DropsAtSync) | None => bytes.len(),
        };
        file.write_all_at(&bytes[..length], offset)?;
        let file_state = state.files.entry(file.metadata()?.ino()).or_default();
        file_state.unsynced.push(FileWrite { offset, bytes: bytes[..length].to_vec() });
        if length < bytes.len() { Err(disk_full()) } else { Ok(()) }
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        let mut state = self.lock();
        let fault = state.next_operation()?;
        let MediumState { rng, files, .. } = &mut *state;
        let file_state = files.entry(file.metadata()?.ino()).or_default();
        let unsynced = std::mem::take(&mut file_state.unsynced);
        match fault {
            None => unsynced
                .iter()
                .for_each(|write| write_bytes(&mut file_state.durable, write.offset, &write.bytes)),
            // Reads still return these writes, but a later sync that succeeds doesn't cover them.
            Some(DiskFault::DropsAtSync) => {
                unsynced.iter().for_each(|write| apply_unsynced(rng, &mut file_state.durable, write));
            }
            Some(_) => file_state.unsynced = unsynced,
        }
        if fault.is_some() { Err(disk_full()) } else { Ok(()) }
    }
}
