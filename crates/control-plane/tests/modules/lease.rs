//! Tests of `control_plane::membership::lease`.

use common::{Epoch, Incarnation, Index, Tick, settings::Timing};
use control_plane::{
    Change, ClusterState, Role,
    membership::{Leases, Renewal},
    types::NodeInfo,
};

/// Found by the simulator (seed 53): an expiry waited in the log behind a slow disk while the
/// node, thawed, had its lease renewed; the expiry then took effect under a valid lease.
#[test]
fn a_lapsed_tenure_is_not_renewed() {
    let addr = "127.0.0.1:1".parse().unwrap();
    let incarnation = Incarnation(1);
    let info = NodeInfo {
        node: "n".into(),
        incarnation,
        role: Role::Router,
        lang: 1,
        zone: "a".into(),
        rpc_addr: addr,
        http: addr,
    };
    let mut l = ClusterState::bootstrapped("c", vec![]);
    let _ = l.apply(Index(1), &Change::Join(info.clone()));
    let t = Timing::default();
    let mut ten = Leases::new_leader(Tick(0));
    assert_eq!(ten.renew(&l, &t, &info, Tick(100)), Renewal::Extended(Epoch(1)));
    let late = Tick(101 + t.lease_ms + t.lease_margin_ms());
    assert_eq!(ten.expired_members(&l, &t, late).len(), 1);
    assert_eq!(ten.renew(&l, &t, &info, late + 1), Renewal::Pending(None));
    let _ = l.apply(Index(2), &Change::Expire { node: "n".into(), incarnation, left: false });
    assert_eq!(ten.renew(&l, &t, &info, late + 600), Renewal::Pending(Some(Change::Join(info.clone()))));
    let _ = l.apply(Index(3), &Change::Join(info.clone()));
    assert_eq!(ten.renew(&l, &t, &info, late + 1100), Renewal::Extended(Epoch(3)));
}
