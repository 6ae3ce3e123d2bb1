//! Tests of `control_plane::state_update`.

use common::{Index, OpId, Zone};
use control_plane::{
    Change, ClusterState,
    consensus::LogEntry,
    state_update::{InstallResult, StateUpdate, take},
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
    assert_eq!(take(&mut own, "c", StateUpdate::Changes(vec![evac(1), evac(2)])), InstallResult::Advanced);
    assert_eq!(take(&mut own, "c", StateUpdate::Changes(vec![evac(4)])), InstallResult::Gap);
    let old = StateUpdate::Snapshot(Box::new(ClusterState::bootstrapped("c", vec![])));
    assert_eq!(take(&mut own, "c", old), InstallResult::Rejected("older than what was seen"));
    let saw_other_cluster = ClusterState { index: Index(9), ..ClusterState::bootstrapped("d", vec![]) };
    let saw_other_cluster = StateUpdate::Snapshot(Box::new(saw_other_cluster));
    assert_eq!(take(&mut own, "c", saw_other_cluster), InstallResult::Rejected("foreign cluster"));
    assert_eq!((own.index, own.evacuated.len()), (Index(2), 2));
}
