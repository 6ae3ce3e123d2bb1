//! The seeded simulator (design 7.1): the daemons' own state machines under virtual time, with a
//! network and disks that fail by seed. A seed replays exactly.

pub mod acts;
pub mod check;
pub mod copies;
pub mod data;
pub mod disk;
pub mod distance;
pub mod faults;
pub mod lending;
pub mod nodes;
pub mod operate;
pub mod readmission;
pub mod sweep;
pub mod table;
pub mod troubles;
pub mod way;

pub mod world;

use std::fmt;

/// Deliberately broken variants: each must be caught by the check that it is meant for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// The disk says "synced" at once and loses it on a crash.
    LyingDisk,
    /// A seat that lost its disk goes on voting as if nothing had happened.
    BlankVotes,
    /// One seat's clock runs four times as fast.
    FastClock,
    /// Tenures counted from the answer instead of from before the renewal was sent.
    LateTenure,
    /// Followers install whatever frame arrives.
    NewsGoesBack,
    /// Operators are told "accepted" as soon as the leader has logged the change.
    EarlyAccept,
    /// Receivers do not remember fences.
    NoFences,
    /// Operators are told "refused" where the answer only took too long.
    TimeoutRefused,
    /// A leader logs whatever it is asked to, and feeds it in one piece.
    Boundless,
    /// A member that is asked to end does not wait until its seat is taken over.
    LeavesAtOnce,
    /// A newcomer says that it holds its snapshot long before it is synced.
    EarlySnapshot,
}

pub const BROKEN: &[(&str, Broken)] = &[
    ("lying-disk", Broken::LyingDisk),
    ("blank-votes", Broken::BlankVotes),
    ("fast-clock", Broken::FastClock),
    ("late-tenure", Broken::LateTenure),
    ("news-goes-back", Broken::NewsGoesBack),
    ("early-accept", Broken::EarlyAccept),
    ("no-fences", Broken::NoFences),
    ("timeout-refused", Broken::TimeoutRefused),
    ("boundless", Broken::Boundless),
    ("leaves-at-once", Broken::LeavesAtOnce),
    ("early-snapshot", Broken::EarlySnapshot),
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
    pub views: u64,
    pub faults: u64,
    pub readmitted: u64,
    pub lapses: u64,
    /// Virtual time from the end of all faults to the next acceptance.
    pub back_ms: u64,
}

/// What kind of days a run draws its troubles from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Days {
    /// Any fault at any time, disks apart; near areas.
    #[default]
    Usual,
    /// Losses as close together as the platform's bound permits, over lines of up to 150 ms.
    Worst,
    /// None; over the lines of a platform.
    Quiet,
}

/// What one run is drawn from.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seed: u64,
    /// Seats of the core.
    pub seats: usize,
    pub days: Days,
    pub broken: Option<Broken>,
    /// Whether durable copies are counted after each step.
    pub checks_copies: bool,
}

impl Plan {
    pub fn new(seed: u64, seats: usize) -> Self {
        Self { seed, seats, days: Days::Usual, broken: None, checks_copies: true }
    }

    pub fn worst(seed: u64, seats: usize) -> Self {
        Self { days: Days::Worst, ..Self::new(seed, seats) }
    }

    /// No troubles, and no count of copies.
    pub fn quiet(seed: u64, seats: usize) -> Self {
        Self { days: Days::Quiet, checks_copies: false, ..Self::new(seed, seats) }
    }

    pub fn run(self) -> Result<Stats, Violation> {
        let mut w = world::World::new(self);
        w.run()?;
        Ok(w.stats)
    }
}

/// One run from one seed.
pub fn run(seed: u64, broken: Option<Broken>) -> Result<Stats, Violation> {
    run_core(seed, broken, world::CORE)
}

/// One run of a core of so many seats.
pub fn run_core(seed: u64, broken: Option<Broken>, seats: usize) -> Result<Stats, Violation> {
    // A variant is to be caught by the check that is meant for it.
    Plan { broken, checks_copies: broken.is_none(), ..Plan::new(seed, seats) }.run()
}
