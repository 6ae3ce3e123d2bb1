//! Files that refuse, tear and forget what is written, and what a loss of power leaves of them.

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

/// How an operation fails while the disk is in trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing is written: the disk is full.
    Refuses,
    /// A part of the bytes is written before the error.
    Tears,
    /// Writes go well; each sync fails, and what it was to cover is forgotten by the system.
    ForgetsAtSync,
}

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub trouble: Trouble,
    /// The operation at which the trouble begins, and for how many it lasts.
    pub from: usize,
    pub for_operations: usize,
    /// The operation before which power is lost.
    pub power_lost_at: usize,
}

struct Written {
    at: u64,
    bytes: Vec<u8>,
}

#[derive(Default)]
struct FileState {
    /// What a loss of power leaves for sure.
    durable: Vec<u8>,
    unsynced: Vec<Written>,
}

struct State {
    operations: usize,
    chance: SmallRng,
    files: BTreeMap<u64, FileState>,
    plan: Option<Plan>,
}

pub struct FaultyMedium(Mutex<State>);

fn put(on: &mut Vec<u8>, at: u64, bytes: &[u8]) {
    let (at, end) = (at as usize, at as usize + bytes.len());
    if on.len() < end {
        on.resize(end, 0);
    }
    on[at..end].copy_from_slice(bytes);
}

/// A write that no sync covered is there, missing or torn.
fn perhaps(chance: &mut SmallRng, durable: &mut Vec<u8>, w: &Written) {
    let last_sent = match chance.random_range(0..3) {
        0 => 0,
        1 => w.bytes.len(),
        _ => chance.random_range(0..=w.bytes.len()),
    };
    put(durable, w.at, &w.bytes[..last_sent]);
}

fn refused() -> io::Error {
    io::Error::from_raw_os_error(28)
}

impl FaultyMedium {
    /// Files that are in a folder already count as synced.
    pub fn new(dir: &Path, seed: u64) -> Self {
        let mut files = BTreeMap::new();
        for entry in fs::read_dir(dir).into_iter().flatten().map(Result::unwrap) {
            let durable = fs::read(entry.path()).unwrap();
            files.insert(entry.metadata().unwrap().ino(), FileState { durable, unsynced: vec![] });
        }
        let chance = SmallRng::seed_from_u64(seed);
        Self(Mutex::new(State { operations: 0, chance, files, plan: None }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    pub fn plan(&self, plan: Plan) {
        let mut s = self.lock();
        (s.operations, s.plan) = (0, Some(plan));
    }

    pub fn operations(&self) -> usize {
        self.lock().operations
    }

    pub fn power_is_lost(&self) -> bool {
        let s = self.lock();
        s.plan.is_some_and(|p| s.operations >= p.power_lost_at)
    }

    /// What a start after the loss of power finds, in a folder of its own.
    pub fn after_power_loss(&self, dir: &Path, to: &Path) {
        let mut s = self.lock();
        let State { chance, files, .. } = &mut *s;
        fs::create_dir_all(to).unwrap();
        for entry in fs::read_dir(dir).unwrap().map(Result::unwrap) {
            let Some(file) = files.get_mut(&entry.metadata().unwrap().ino()) else { continue };
            let unsynced = std::mem::take(&mut file.unsynced);
            unsynced.iter().for_each(|w| perhaps(chance, &mut file.durable, w));
            fs::write(to.join(entry.file_name()), &file.durable).unwrap();
        }
    }
}

impl State {
    /// Counts an operation; the trouble that it meets.
    fn next(&mut self) -> io::Result<Option<Trouble>> {
        let n = self.operations;
        let Some(plan) = self.plan else {
            self.operations += 1;
            return Ok(None);
        };
        if n >= plan.power_lost_at {
            return Err(refused());
        }
        self.operations += 1;
        let within = (plan.from..plan.from + plan.for_operations).contains(&n);
        Ok(within.then_some(plan.trouble))
    }
}

impl Medium for FaultyMedium {
    fn write(&self, file: &File, at: u64, bytes: &[u8]) -> io::Result<()> {
        let mut s = self.lock();
        let last_sent = match s.next()? {
            Some(Trouble::Refuses) => return Err(refused()),
            Some(Trouble::Tears) => s.chance.random_range(0..bytes.len()),
            Some(Trouble::ForgetsAtSync) | None => bytes.len(),
        };
        file.write_all_at(&bytes[..last_sent], at)?;
        let state = s.files.entry(file.metadata()?.ino()).or_default();
        state.unsynced.push(Written { at, bytes: bytes[..last_sent].to_vec() });
        if last_sent < bytes.len() { Err(refused()) } else { Ok(()) }
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        let mut s = self.lock();
        let trouble = s.next()?;
        let State { chance, files, .. } = &mut *s;
        let state = files.entry(file.metadata()?.ino()).or_default();
        let unsynced = std::mem::take(&mut state.unsynced);
        match trouble {
            None => unsynced.iter().for_each(|w| put(&mut state.durable, w.at, &w.bytes)),
            // Reads still show it; a later sync that succeeds does not cover it.
            Some(Trouble::ForgetsAtSync) => {
                unsynced.iter().for_each(|w| perhaps(chance, &mut state.durable, w));
            }
            Some(_) => state.unsynced = unsynced,
        }
        if trouble.is_some() { Err(refused()) } else { Ok(()) }
    }
}
