//! State updates for nodes that follow the cluster state (design 3.3): a snapshot, then changes by index. A
//! gap leads to a new snapshot, and nothing older than what was seen is ever installed.

use super::ClusterState;
use crate::types::{LogEntry, SizeLimits};
use common::Index;
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, fmt};

/// What a follower is sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StateUpdate {
    /// It has everything.
    #[serde(rename = "Same")]
    Unchanged,
    /// The whole state.
    Snapshot(Box<ClusterState>),
    /// The committed changes that it lacks.
    Changes(Vec<LogEntry>),
}

/// The update for a follower that has applied `have`, from a state and the log that follows `snapshot_index`.
pub fn update_since(
    have: Index,
    state: &ClusterState,
    log: &VecDeque<LogEntry>,
    snapshot_index: Index,
    limits: SizeLimits,
) -> StateUpdate {
    let has_nothing = have == Index(0);
    if have >= state.index && !has_nothing {
        return StateUpdate::Unchanged;
    }
    if have < snapshot_index || has_nothing {
        return StateUpdate::Snapshot(Box::new(state.clone()));
    }
    let missing = || log.iter().filter(|entry| entry.index > have && entry.index <= state.index);
    // Where the changes weigh more than one message should, a snapshot is shorter.
    if missing().map(LogEntry::max_encoded_len).sum::<usize>() > limits.batch() {
        return StateUpdate::Snapshot(Box::new(state.clone()));
    }
    StateUpdate::Changes(missing().cloned().collect())
}

/// What came of installing an update.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub enum InstallResult {
    /// The copy is newer than before.
    Advanced,
    /// The copy had all of it.
    Unchanged,
    /// Changes are missing in between: a snapshot must be requested.
    Gap,
    /// The update was refused.
    Rejected(RejectedUpdate),
}

/// Why an update was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectedUpdate {
    /// It is the state of another cluster.
    ForeignCluster,
    /// It is older than what was seen.
    Older,
}

impl fmt::Display for RejectedUpdate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RejectedUpdate::ForeignCluster => "foreign cluster",
            RejectedUpdate::Older => "older than what was seen",
        })
    }
}

/// Brings a follower's copy forward; never back.
pub fn install(own: &mut ClusterState, cluster: &str, update: StateUpdate) -> InstallResult {
    match update {
        StateUpdate::Unchanged => InstallResult::Unchanged,
        StateUpdate::Snapshot(state) => install_snapshot(own, cluster, *state),
        StateUpdate::Changes(entries) => apply_changes(own, entries),
    }
}

fn install_snapshot(own: &mut ClusterState, cluster: &str, state: ClusterState) -> InstallResult {
    if state.cluster != cluster {
        return InstallResult::Rejected(RejectedUpdate::ForeignCluster);
    }
    if state.index < own.index {
        return InstallResult::Rejected(RejectedUpdate::Older);
    }
    let newer = state.index > own.index || own.cluster.is_empty();
    *own = state;
    if newer { InstallResult::Advanced } else { InstallResult::Unchanged }
}

fn apply_changes(own: &mut ClusterState, entries: Vec<LogEntry>) -> InstallResult {
    let had = own.index;
    for entry in entries.into_iter().filter(|entry| entry.index > had) {
        if entry.index != own.index.next() {
            return InstallResult::Gap;
        }
        let _ = own.apply(entry.index, &entry.change);
    }
    if own.index > had { InstallResult::Advanced } else { InstallResult::Unchanged }
}
