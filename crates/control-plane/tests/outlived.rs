//! A killed node that is back at its address does not wait for its former self (design 3.1).

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

/// Found on the users' platform: after a loss of all processes each router waited for its former
/// self's lease, 2.3 s in which it served nobody.
#[rstest]
#[case::back_at_its_address(7000, 500, true)]
#[case::the_old_one_spoke_just_now(7000, 50, false)]
#[case::at_another_address(7001, 500, false)]
#[case::at_another_address_after_the_lapse(7001, 2_300, true)]
fn who_outlives_a_tenure(#[case] port: u16, #[case] silent: u64, #[case] joins: bool) {
    let (t, old, new) = (Timing::default(), info(1, 7000), info(2, port));
    let mut l = ClusterState::bootstrapped("c", vec![]);
    let _ = l.apply(Index(1), &Change::Join(old.clone()));
    let mut ten = Leases::new_leader(Tick(0));
    assert!(matches!(ten.renew(&l, &t, &old, Tick(1_000)), Renewal::Extended(_)));
    let told = ten.renew(&l, &t, &new, Tick(1_000 + silent));
    assert_eq!(told, Renewal::Pending(joins.then(|| Change::Join(new.clone()))));
}

/// A new leader has heard nobody: whoever stands at a member's address joins at once.
#[test]
fn a_new_leader_lets_it_in_at_once() {
    let mut l = ClusterState::bootstrapped("c", vec![]);
    let _ = l.apply(Index(1), &Change::Join(info(1, 7000)));
    let mut ten = Leases::new_leader(Tick(5_000));
    let told = ten.renew(&l, &Timing::default(), &info(2, 7000), Tick(5_001));
    assert_eq!(told, Renewal::Pending(Some(Change::Join(info(2, 7000)))));
}
