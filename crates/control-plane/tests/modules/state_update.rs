//! Tests of `control_plane::state_machine::state_update`.

use common::{Index, OpId, Zone};
use control_plane::{
    Change, ClusterState,
    state_machine::state_update::{InstallResult, RejectedUpdate, StateUpdate, install},
    types::LogEntry,
};

fn evacuation(index: u64) -> LogEntry {
    let change = Change::Evacuate {
        op: OpId::new(format!("o{index}")),
        zone: Zone::new(format!("a{index}")),
        on: true,
        seen: Index(u64::MAX),
    };
    LogEntry { index: Index(index), change }
}

#[test]
fn a_gap_is_reported_and_older_or_foreign_snapshots_are_rejected() {
    let mut state = ClusterState::bootstrapped("c", vec![]);
    assert_eq!(
        install(&mut state, "c", StateUpdate::Changes(vec![evacuation(1), evacuation(2)])),
        InstallResult::Advanced
    );
    assert_eq!(install(&mut state, "c", StateUpdate::Changes(vec![evacuation(4)])), InstallResult::Gap);
    let old = StateUpdate::Snapshot(Box::new(ClusterState::bootstrapped("c", vec![])));
    assert_eq!(install(&mut state, "c", old), InstallResult::Rejected(RejectedUpdate::Older));
    let foreign = ClusterState { index: Index(9), ..ClusterState::bootstrapped("d", vec![]) };
    let foreign = StateUpdate::Snapshot(Box::new(foreign));
    assert_eq!(install(&mut state, "c", foreign), InstallResult::Rejected(RejectedUpdate::ForeignCluster));
    assert_eq!((state.index, state.evacuated.len()), (Index(2), 2));
}
