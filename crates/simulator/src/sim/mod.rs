//! The seeded simulator (design 7.1): the daemons' own state machines under virtual time, with a
//! network and disks that fail by seed. A seed replays exactly.

pub mod acts;
pub mod catch_up;
pub mod check;
pub mod data;
mod data_event;
pub mod disk;
pub mod faults;
pub mod lending;
pub mod nodes;
pub mod operate;
pub mod orders;
pub mod reads;
pub mod refusals;
pub mod sweep;
pub mod table;
pub mod way;

pub mod world;

use std::fmt;

/// Deliberately broken variants: each must be caught by the check that it is meant for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// The disk says "synced" at once and loses it on a crash.
    LyingDisk,
    /// A voter that lost its disk goes on voting as if nothing had happened.
    BlankVotes,
    /// One voter's clock runs four times as fast.
    FastClock,
    /// Leases counted from the answer instead of from before the renewal was sent.
    LateLease,
    /// Followers install whatever snapshot arrives.
    NewsGoesBack,
    /// Operators are told "accepted" as soon as the leader has logged the change.
    EarlyAccept,
    /// Receivers do not remember fences.
    NoFences,
    /// Operators are told "refused" where the answer only took too long.
    TimeoutRefused,
    /// A voter whose disk refused a write goes on as if that had been synced.
    UnsyncedBelief,
    /// A leader logs whatever it is asked to, and appends it in one piece.
    Boundless,
    /// A member answers reads by what it holds, without the leader's lease.
    ReadsWithoutLease,
    /// The outcomes of accepted documents are forgotten.
    VerdictsByCount,
    /// An order that lost its race is logged on top of the newer version.
    Rebases,
}

pub const BROKEN: &[(&str, Broken)] = &[
    ("lying-disk", Broken::LyingDisk),
    ("blank-votes", Broken::BlankVotes),
    ("fast-clock", Broken::FastClock),
    ("late-tenure", Broken::LateLease),
    ("news-goes-back", Broken::NewsGoesBack),
    ("early-accept", Broken::EarlyAccept),
    ("no-fences", Broken::NoFences),
    ("timeout-refused", Broken::TimeoutRefused),
    ("unsynced-belief", Broken::UnsyncedBelief),
    ("boundless", Broken::Boundless),
    ("reads-without-lease", Broken::ReadsWithoutLease),
    ("verdicts-by-count", Broken::VerdictsByCount),
    ("rebases", Broken::Rebases),
];

impl std::str::FromStr for Broken {
    type Err = String;
    fn from_str(s: &str) -> Result<Self, String> {
        BROKEN.iter().find(|b| b.0 == s).map(|b| b.1).ok_or_else(|| {
            let all: Vec<&str> = BROKEN.iter().map(|b| b.0).collect();
            format!("{s:?}; allowed: {}", all.join(", "))
        })
    }
}

/// An invariant that did not hold, with the way there.
#[derive(Clone, Debug)]
pub struct Violation {
    pub seed: u64,
    pub at_ms: u64,
    pub what: String,
    pub trace: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {} at {} ms: {}", self.seed, self.at_ms, self.what)?;
        self.trace.iter().try_for_each(|t| writeln!(f, "  {t}"))
    }
}

#[derive(Clone, Debug, Default)]
pub struct Stats {
    pub steps: u64,
    pub accepted: u64,
    pub told_accepted: u64,
    pub told_conflict: u64,
    pub told_refused: u64,
    pub undetermined: u64,
    pub terms: u64,
    pub faults: u64,
    pub readmitted: u64,
    pub expirations: u64,
    /// Virtual time from the end of all faults to the next acceptance.
    pub back_ms: u64,
    /// Reads that were answered, calls that were refused for now, and orders acknowledged once more.
    pub reads: u64,
    pub unavailable: u64,
    pub acknowledged_again: u64,
}

/// One run from one seed.
pub fn run(seed: u64, broken: Option<Broken>) -> Result<Stats, Violation> {
    run_core(seed, broken, world::CORE)
}

/// One run in which disks refuse writes for a while, one after the other, besides the usual faults.
pub fn run_refusing(seed: u64, broken: Option<Broken>, voters: usize) -> Result<Stats, Violation> {
    let mut w = world::World::new(seed, broken, voters);
    w.schedule_refusals();
    w.run()?;
    Ok(w.stats)
}

/// One run of a core of so many voters.
pub fn run_core(seed: u64, broken: Option<Broken>, voters: usize) -> Result<Stats, Violation> {
    let mut w = world::World::new(seed, broken, voters);
    w.run()?;
    Ok(w.stats)
}

/// One run with operators that read back and send again at any member.
pub fn run_reads(seed: u64, broken: Option<Broken>, voters: usize) -> Result<Stats, Violation> {
    let mut w = world::World::new(seed, broken, voters).with_readers();
    w.run()?;
    if let Some(readers) = &w.readers {
        w.stats.reads = readers.reads;
        w.stats.unavailable = readers.unavailable;
        w.stats.acknowledged_again = readers.acknowledged_again;
    }
    Ok(w.stats)
}
