//! A restarted node need not wait for the lease of its former incarnation at the same address (design 3.1).

use common::{Incarnation, Index, NodeId, Tick, settings::Timing};
use control_plane::{
    Change, ClusterState, Role,
    membership::{Leases, Renewal},
    types::NodeInfo,
};
use rstest::rstest;

fn info(incarnation: u64, port: u16) -> NodeInfo {
    let rpc_addr = ([127, 0, 0, 1], port).into();
    let (node, incarnation) = (NodeId::new("n"), Incarnation(incarnation));
    NodeInfo { node, incarnation, role: Role::Router, lang: 1, zone: "a".into(), rpc_addr, http: rpc_addr }
}

/// Guards against an outage after the loss of all processes: each router waited 2.3 s for the lease of its former
/// incarnation to expire, and served no requests meanwhile. Found on the users' platform.
#[rstest]
#[case::at_the_same_address(7000, 500, true)]
#[case::right_after_the_last_renewal(7000, 50, false)]
#[case::at_another_address(7001, 500, false)]
#[case::at_another_address_after_expiry(7001, 2_300, true)]
fn when_a_new_incarnation_joins(#[case] port: u16, #[case] silence_ms: u64, #[case] joins: bool) {
    let (timing, old, new) = (Timing::default(), info(1, 7000), info(2, port));
    let mut state = ClusterState::bootstrapped("c", vec![]);
    let _ = state.apply(Index(1), &Change::Join(old.clone()));
    let mut leases = Leases::new_leader(Tick(0));
    assert!(matches!(leases.renew(&state, &timing, &old, Tick(1_000)), Renewal::Extended(_)));
    let renewal = leases.renew(&state, &timing, &new, Tick(1_000 + silence_ms));
    assert_eq!(renewal, Renewal::Pending(joins.then(|| Change::Join(new.clone()))));
}

/// A new leader has no record of renewals: a node at a member's address joins at once.
#[test]
fn a_new_leader_admits_a_new_incarnation_at_once() {
    let mut state = ClusterState::bootstrapped("c", vec![]);
    let _ = state.apply(Index(1), &Change::Join(info(1, 7000)));
    let mut leases = Leases::new_leader(Tick(5_000));
    let renewal = leases.renew(&state, &Timing::default(), &info(2, 7000), Tick(5_001));
    assert_eq!(renewal, Renewal::Pending(Some(Change::Join(info(2, 7000)))));
}
