//! Tests of `control_plane::state_machine::state_update`.

use common::{Index, OpId, Zone};
use control_plane::{
    Change, ClusterState,
    state_machine::state_update::{InstallResult, RejectedUpdate, StateUpdate, install},
    types::LogEntry,
};

fn evac(n: u64) -> LogEntry {
    let change = Change::Evacuate {
        op: OpId::new(format!("o{n}")),
        zone: Zone::new(format!("a{n}")),
        on: true,
        seen: Index(u64::MAX),
    };
    LogEntry { index: Index(n), change }
}

#[test]
fn a_gap_is_told_and_older_frames_bounce() {
    let mut own = ClusterState::bootstrapped("c", vec![]);
    assert_eq!(install(&mut own, "c", StateUpdate::Changes(vec![evac(1), evac(2)])), InstallResult::Advanced);
    assert_eq!(install(&mut own, "c", StateUpdate::Changes(vec![evac(4)])), InstallResult::Gap);
    let old = StateUpdate::Snapshot(Box::new(ClusterState::bootstrapped("c", vec![])));
    assert_eq!(install(&mut own, "c", old), InstallResult::Rejected(RejectedUpdate::Older));
    let saw_other_cluster = ClusterState { index: Index(9), ..ClusterState::bootstrapped("d", vec![]) };
    let saw_other_cluster = StateUpdate::Snapshot(Box::new(saw_other_cluster));
    assert_eq!(
        install(&mut own, "c", saw_other_cluster),
        InstallResult::Rejected(RejectedUpdate::ForeignCluster)
    );
    assert_eq!((own.index, own.evacuated.len()), (Index(2), 2));
}
