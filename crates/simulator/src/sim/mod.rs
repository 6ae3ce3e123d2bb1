//! Deterministic simulator (design 7.1): runs the daemons' own state machines under virtual time, with network
//! and disk faults drawn from a seed. The same seed replays the same run exactly.

pub mod capacity_grants;
pub mod catch_up;
pub mod client_calls;
pub mod clients;
mod data_event;
mod data_node;
pub mod data_world;
pub mod disk;
pub mod disk_refusals;
pub mod event;
pub mod faults;
pub mod invariants;
pub mod nodes;
pub mod operators;
pub mod placement;
pub mod routers;
pub mod sweep;
pub mod transport;
pub mod world;

use std::fmt;

/// Deliberately broken variants. Each must be caught by the check that guards against its fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// The disk acknowledges a sync at once, and loses the data on a crash.
    LyingDisk,
    /// A voter that lost its disk keeps its identity and goes on voting.
    VotesAfterDiskLoss,
    /// One voter's clock runs four times as fast.
    FastClock,
    /// A router counts its lease from the arrival of the answer, not from when it sent the renewal.
    LeaseFromAnswer,
    /// Routers install every snapshot that arrives, even one older than their own state.
    OlderSnapshotsInstalled,
    /// Operators are told "accepted" when the leader has logged the change, before it is committed.
    AcceptedBeforeCommit,
    /// Receivers do not check fencing tokens.
    NoFencing,
    /// Operators are told "refused" when the answer merely timed out.
    TimeoutReportedAsRefused,
    /// A voter whose disk refused a write goes on as if the write had been synced.
    RefusedWriteCountsAsSynced,
    /// Size limits are off: a leader logs changes of any size, and sends them in one message.
    NoSizeLimits,
    /// A member answers reads from its own state, without the leader's lease.
    ReadsWithoutLease,
    /// The outcomes of accepted operations are forgotten.
    OutcomesForgotten,
    /// An operation whose base revision is outdated is logged on top of the newer revision.
    OutdatedBasesReplaced,
}

/// The variants and their names on the command line.
pub const BROKEN: &[(&str, Broken)] = &[
    ("lying-disk", Broken::LyingDisk),
    ("blank-votes", Broken::VotesAfterDiskLoss),
    ("fast-clock", Broken::FastClock),
    ("late-tenure", Broken::LeaseFromAnswer),
    ("news-goes-back", Broken::OlderSnapshotsInstalled),
    ("early-accept", Broken::AcceptedBeforeCommit),
    ("no-fences", Broken::NoFencing),
    ("timeout-refused", Broken::TimeoutReportedAsRefused),
    ("unsynced-belief", Broken::RefusedWriteCountsAsSynced),
    ("boundless", Broken::NoSizeLimits),
    ("reads-without-lease", Broken::ReadsWithoutLease),
    ("verdicts-by-count", Broken::OutcomesForgotten),
    ("rebases", Broken::OutdatedBasesReplaced),
];

impl std::str::FromStr for Broken {
    type Err = String;
    fn from_str(s: &str) -> Result<Self, String> {
        BROKEN.iter().find(|variant| variant.0 == s).map(|variant| variant.1).ok_or_else(|| {
            let all: Vec<&str> = BROKEN.iter().map(|variant| variant.0).collect();
            format!("{s:?}; allowed: {}", all.join(", "))
        })
    }
}

/// An invariant that did not hold, and the events that led to it.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Seed of the run.
    pub seed: u64,
    /// Virtual time of the violation.
    pub at_ms: u64,
    /// Description of the invariant and of what was seen instead.
    pub what: String,
    /// The latest events before the violation, oldest first.
    pub trace: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {} at {} ms: {}", self.seed, self.at_ms, self.what)?;
        self.trace.iter().try_for_each(|t| writeln!(f, "  {t}"))
    }
}

/// Counters of one run.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Events processed.
    pub steps: u64,
    /// Log entries committed.
    pub accepted: u64,
    /// Operations whose operator was told that they are in force.
    pub reported_accepted: u64,
    /// Operations whose operator was told of a conflict.
    pub reported_conflict: u64,
    /// Operations whose operator was told that they are refused.
    pub reported_refused: u64,
    /// Operations whose operator was told no outcome.
    pub undetermined: u64,
    /// Leader elections that succeeded.
    pub terms: u64,
    /// Faults injected.
    pub faults: u64,
    /// Committed replacements of a voter.
    pub readmitted: u64,
    /// Committed expirations of a member's lease.
    pub expirations: u64,
    /// Virtual time from the end of all faults until an operation is committed again.
    pub recovery_ms: u64,
    /// Reads that were answered.
    pub reads: u64,
    /// Reads and operations refused because no leader was in reach.
    pub unavailable: u64,
    /// Operations acknowledged more than once.
    pub reacknowledged: u64,
}

/// Runs one seed with the default number of voters.
pub fn run(seed: u64, broken: Option<Broken>) -> Result<Stats, Violation> {
    run_with_voters(seed, broken, world::DEFAULT_VOTERS)
}

/// Runs one seed in which, besides the usual faults, disks refuse writes for a while, one after the other.
pub fn run_with_refusals(seed: u64, broken: Option<Broken>, voters: usize) -> Result<Stats, Violation> {
    let mut world = world::World::new(seed, broken, voters);
    world.schedule_refusals();
    world.run()?;
    Ok(world.stats)
}

/// Runs one seed with the given number of voters.
pub fn run_with_voters(seed: u64, broken: Option<Broken>, voters: usize) -> Result<Stats, Violation> {
    let mut world = world::World::new(seed, broken, voters);
    world.run()?;
    Ok(world.stats)
}

/// Runs one seed with clients that read and resend operations at any member.
pub fn run_with_clients(seed: u64, broken: Option<Broken>, voters: usize) -> Result<Stats, Violation> {
    let mut world = world::World::new(seed, broken, voters).with_clients();
    world.run()?;
    if let Some(clients) = &world.clients {
        world.stats.reads = clients.reads;
        world.stats.unavailable = clients.unavailable;
        world.stats.reacknowledged = clients.reacknowledged;
    }
    Ok(world.stats)
}
