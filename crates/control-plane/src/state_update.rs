//! News (design 3.3): a snapshot, then changes by number; a gap means a new snapshot, and nothing
//! older than what was seen is ever installed.

use crate::{
    cluster_state::ClusterState,
    consensus::{LogEntry, SizeLimits},
};
use common::Index;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StateUpdate {
    Same,
    Snapshot(Box<ClusterState>),
    Changes(Vec<LogEntry>),
}

/// What to tell a follower that has `have`.
pub fn since(
    have: Index,
    cluster_state: &ClusterState,
    log: &VecDeque<LogEntry>,
    base: Index,
    room: SizeLimits,
) -> StateUpdate {
    if have >= cluster_state.index && have != Index(0) {
        return StateUpdate::Same;
    }
    if have < base || have == Index(0) {
        return StateUpdate::Snapshot(Box::new(cluster_state.clone()));
    }
    let due = || log.iter().filter(|e| e.index > have && e.index <= cluster_state.index);
    // Where the changes weigh more than one message should, a snapshot is the shorter way.
    if due().map(LogEntry::weight).sum::<usize>() > room.batch() {
        return StateUpdate::Snapshot(Box::new(cluster_state.clone()));
    }
    StateUpdate::Changes(due().cloned().collect())
}

#[derive(Debug, PartialEq, Eq)]
pub enum InstallResult {
    Advanced,
    Nothing,
    /// Changes are missing in between: ask again for a snapshot.
    Gap,
    /// Another cluster's, or an older state than was seen.
    Rejected(&'static str),
}

/// Brings a follower's copy forward; never back.
pub fn take(own: &mut ClusterState, cluster: &str, state_update: StateUpdate) -> InstallResult {
    match state_update {
        StateUpdate::Same => InstallResult::Nothing,
        StateUpdate::Snapshot(f) if f.cluster != cluster => InstallResult::Rejected("foreign cluster"),
        StateUpdate::Snapshot(f) if f.index < own.index => {
            InstallResult::Rejected("older than what was seen")
        }
        StateUpdate::Snapshot(f) => {
            let newer = f.index > own.index || own.cluster.is_empty();
            *own = *f;
            if newer { InstallResult::Advanced } else { InstallResult::Nothing }
        }
        StateUpdate::Changes(es) => {
            let had = own.index;
            for e in es.into_iter().filter(|e| e.index > had) {
                if e.index != own.index.next() {
                    return InstallResult::Gap;
                }
                own.fold(e.index, &e.change);
            }
            if own.index > had { InstallResult::Advanced } else { InstallResult::Nothing }
        }
    }
}
