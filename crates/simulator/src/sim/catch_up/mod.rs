//! Measures how long a voter takes to catch up, and how many bytes are sent to it for that (design 2.9).
//!
//! Runs three voters of the daemons' own code under virtual time, over links of a given delay and bandwidth and with
//! disks whose write time grows with the length of the write. One member goes away, changes are accepted without it,
//! and it returns: it restarts with its disk, restarts with a blank disk, or is connected again after a partition.

mod cluster;
mod event;
mod invariants;
mod link;
mod member;
mod report;
mod traffic;

pub use cluster::Cluster;
pub use report::{CatchUpPlan, catch_up_plan, print_table};

use common::{Index, settings::Timing};
use control_plane::consensus::Voter;
use std::{fmt, str::FromStr};

/// Limit on the time to catch up in small deployments, `catch-up-s`.
pub const CATCH_UP_LIMIT_MS: u64 = 4_000;
/// A run fails if the member has not caught up by then.
const GIVE_UP_MS: u64 = 60_000;
/// Longest wait for each change that the member misses.
const CHANGE_WAIT_MS: u64 = 60_000;
/// Virtual time at which the member goes away; a leader has been elected by then.
const LEAVE_AT_MS: u64 = 8_000;

/// Timing of the small deployments, whose lease is two fifths of `config-apply-ms`.
pub fn timing() -> Timing {
    Timing { lease_ms: 1_200, ..Timing::default() }
}

/// How the member goes away and returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// Its process ended and starts again from its disk.
    Restart,
    /// Its process ended and starts again with a blank disk.
    Wipe,
    /// Its links were cut and work again; its process went on.
    Lag,
}

/// The length of the documents that the changes bring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Documents {
    /// All are of the same small length.
    Small,
    /// They grow from change to change, up to the longest document that is allowed.
    Growing,
}

/// A measurement: how the member was away, what it missed, and the links.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// How the member goes away and returns.
    pub absence: Absence,
    /// Changes accepted while the member is away.
    pub changes: u64,
    /// Documents of these changes.
    pub documents: Documents,
    /// One-way delay of each link.
    pub delay_ms: u64,
    /// Bandwidth of each link.
    pub mbit_s: u64,
    /// Whether changes go on while it catches up.
    pub ongoing: bool,
    /// Seed of the random numbers, which also selects the member.
    pub seed: u64,
}

/// Deliberately broken variants. Each must be caught by the check that guards against its fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenCatchUp {
    /// Committed entries are trimmed from the log by their count alone, whatever their size.
    TrimmedByCountAlone,
    /// A leader forgets what it has in flight to a follower, and sends it again with each heartbeat.
    ResentOnHeartbeat,
    /// A member acknowledges the whole log before its disk holds it.
    AcknowledgedBeforeSync,
}

/// Result of a measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Measured {
    /// Time from the return until the member has acknowledged all that was accepted before it. From then on another
    /// member may be lost.
    pub catch_up_ms: u64,
    /// Time from the return until it has also acknowledged all but the newest two entries of the leader's log.
    pub level_ms: u64,
    /// Upper bound on the bytes of state sent to the member meanwhile.
    pub sent_bytes: usize,
    /// Messages among them that carried a snapshot.
    pub snapshots: usize,
    /// Bytes that it needs once: the state at its return, and the entries accepted since.
    pub needed_bytes: usize,
    /// Length of the longest message of the run, in bytes.
    pub longest_message_bytes: usize,
    /// Most bytes of log entries that a leader kept in memory.
    pub log_bytes: usize,
}

impl Measured {
    /// The worst of both, figure by figure. `needed_bytes` is taken from the one with the higher ratio of sent to
    /// needed bytes.
    pub fn worst(self, other: Self) -> Self {
        let higher_ratio =
            self.sent_bytes * other.needed_bytes.max(1) >= other.sent_bytes * self.needed_bytes.max(1);
        Self {
            catch_up_ms: self.catch_up_ms.max(other.catch_up_ms),
            level_ms: self.level_ms.max(other.level_ms),
            sent_bytes: self.sent_bytes.max(other.sent_bytes),
            snapshots: self.snapshots.max(other.snapshots),
            needed_bytes: if higher_ratio { self.needed_bytes } else { other.needed_bytes },
            longest_message_bytes: self.longest_message_bytes.max(other.longest_message_bytes),
            log_bytes: self.log_bytes.max(other.log_bytes),
        }
    }
}

/// Runs one case; an error names the invariant that did not hold.
pub fn measure(case: &Case, broken: Option<BrokenCatchUp>) -> Result<Measured, String> {
    let mut cluster = Cluster::new(case, broken);
    cluster.run_until(LEAVE_AT_MS, |_| false)?;
    let member = (case.seed % 3) as usize;
    cluster.take_away(member, case.absence);
    let deadline = cluster.time_ms + case.changes * CHANGE_WAIT_MS;
    cluster.propose_until(case.changes);
    cluster.run_until(deadline, |cluster| cluster.accepted_changes() >= case.changes)?;
    let target = cluster.highest_committed();
    if cluster.accepted_changes() < case.changes {
        return Err(format!("{} of {} changes were accepted", cluster.accepted_changes(), case.changes));
    }
    cluster.bring_back(member, case.absence);
    if case.ongoing {
        cluster.propose_until(u64::MAX);
    }
    let returned_at = cluster.time_ms;
    cluster.run_until(returned_at + GIVE_UP_MS, |cluster| cluster.acknowledged(member) >= Some(target))?;
    let catch_up_ms = cluster.time_ms - returned_at;
    let is_level = |cluster: &Cluster| {
        cluster.acknowledged(member) >= Some(target) && cluster.entries_behind(member) <= 2
    };
    cluster.run_until(returned_at + GIVE_UP_MS, is_level)?;
    if !is_level(&cluster) {
        return Err(format!("not caught up within {GIVE_UP_MS} ms: {}", cluster.describe(member)));
    }
    Ok(Measured { catch_up_ms, level_ms: cluster.time_ms - returned_at, ..cluster.measured })
}

impl Cluster {
    /// The last entry that the member has acknowledged to the leader; for the leader itself, its last entry.
    fn acknowledged(&self, member: usize) -> Option<Index> {
        let leader = self.leader()?;
        if usize::from(leader.identity.number) == member {
            return Some(leader.last_index());
        }
        member::acknowledged(leader).into_iter().find(|peer| usize::from(peer.0) == member).map(|peer| peer.1)
    }

    /// Number of entries in the leader's log that the member has not acknowledged.
    fn entries_behind(&self, member: usize) -> u64 {
        let last = self.leader().map_or(Index(u64::MAX), Voter::last_index);
        last.0 - self.acknowledged(member).unwrap_or_default().0
    }
}

impl fmt::Display for Absence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Absence::Restart => "restart",
            Absence::Wipe => "wipe",
            Absence::Lag => "lag",
        })
    }
}

impl fmt::Display for Documents {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Documents::Small => "small",
            Documents::Growing => "growing",
        })
    }
}

impl FromStr for BrokenCatchUp {
    type Err = String;
    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "never-trimmed" => Ok(Self::TrimmedByCountAlone),
            "fed-anew" => Ok(Self::ResentOnHeartbeat),
            "counts-early" => Ok(Self::AcknowledgedBeforeSync),
            _ => Err(format!("{s:?}; allowed: never-trimmed, fed-anew, counts-early")),
        }
    }
}
