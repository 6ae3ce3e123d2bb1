//! State updates for nodes that follow the cluster state: a snapshot, then changes in the order of their indices. A
//! gap leads to a new snapshot, and a follower never installs a state older than its own (design 3.3).

use super::ClusterState;
use crate::types::{LogEntry, SizeLimits};
use common::Index;
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, fmt};

/// An update for a follower.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StateUpdate {
    /// The follower is up to date.
    #[serde(rename = "Same")]
    Unchanged,
    /// The whole state.
    Snapshot(Box<ClusterState>),
    /// The committed changes that the follower lacks.
    Changes(Vec<LogEntry>),
}

impl StateUpdate {
    /// Whether the update may hold a change by an operator: a snapshot does not tell.
    pub fn may_hold_operator_change(&self) -> bool {
        match self {
            StateUpdate::Unchanged => false,
            StateUpdate::Snapshot(_) => true,
            StateUpdate::Changes(entries) => entries.iter().any(|entry| entry.change.op().is_some()),
        }
    }
}

/// The update for a follower that has applied the changes up to `have`. `log` holds the entries after
/// `snapshot_index`.
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
    // If the changes are longer than one message may be, a snapshot is shorter.
    if missing().map(LogEntry::max_encoded_len).sum::<usize>() > limits.batch() {
        return StateUpdate::Snapshot(Box::new(state.clone()));
    }
    StateUpdate::Changes(missing().cloned().collect())
}

/// The result of installing an update.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub enum InstallResult {
    /// The follower's state is newer than before.
    Advanced,
    /// The follower's state already included the update.
    Unchanged,
    /// Changes before these are missing: the follower must request a snapshot.
    Gap,
    /// The update was refused.
    Rejected(RejectedUpdate),
}

/// Why an update was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectedUpdate {
    /// It is a state of another cluster.
    ForeignCluster,
    /// It is older than the follower's state.
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

/// Installs an update into a follower's state, which never becomes older by it.
pub fn install(local: &mut ClusterState, cluster: &str, update: StateUpdate) -> InstallResult {
    match update {
        StateUpdate::Unchanged => InstallResult::Unchanged,
        StateUpdate::Snapshot(state) => install_snapshot(local, cluster, *state),
        StateUpdate::Changes(entries) => apply_changes(local, entries),
    }
}

fn install_snapshot(local: &mut ClusterState, cluster: &str, state: ClusterState) -> InstallResult {
    if state.cluster != cluster {
        return InstallResult::Rejected(RejectedUpdate::ForeignCluster);
    }
    if state.index < local.index {
        return InstallResult::Rejected(RejectedUpdate::Older);
    }
    let newer = state.index > local.index || local.cluster.is_empty();
    *local = state;
    if newer { InstallResult::Advanced } else { InstallResult::Unchanged }
}

fn apply_changes(local: &mut ClusterState, entries: Vec<LogEntry>) -> InstallResult {
    let had = local.index;
    for entry in entries.into_iter().filter(|entry| entry.index > had) {
        if entry.index != local.index.next() {
            return InstallResult::Gap;
        }
        let _ = local.apply(entry.index, &entry.change);
    }
    if local.index > had { InstallResult::Advanced } else { InstallResult::Unchanged }
}
