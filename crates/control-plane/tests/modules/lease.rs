//! Tests of `control_plane::membership::lease`.

use common::{Epoch, Incarnation, Index, Tick, settings::Timing};
use control_plane::{
    Change, ClusterState, Role,
    membership::{Leases, Renewal},
    types::NodeInfo,
};

/// Guards against a fault that the simulator found (seed 53): the expiry of a suspended node's lease was logged and
/// waited for a slow disk. The node resumed and renewed its lease before the expiry was committed, and so was expired
/// while its lease was valid.
#[test]
fn an_expired_lease_is_not_renewed() {
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
    let mut state = ClusterState::bootstrapped("c", vec![]);
    let _ = state.apply(Index(1), &Change::Join(info.clone()));
    let timing = Timing::default();
    let mut leases = Leases::new_leader(Tick(0));
    assert_eq!(leases.renew(&state, &timing, &info, Tick(100)), Renewal::Extended(Epoch(1)));
    let expired_at = Tick(101 + timing.lease_ms + timing.lease_margin_ms());
    assert_eq!(leases.expired_members(&state, &timing, expired_at).len(), 1);
    assert_eq!(leases.renew(&state, &timing, &info, expired_at + 1), Renewal::Pending(None));
    let _ = state.apply(Index(2), &Change::Expire { node: "n".into(), incarnation, left: false });
    assert_eq!(
        leases.renew(&state, &timing, &info, expired_at + 600),
        Renewal::Pending(Some(Change::Join(info.clone())))
    );
    let _ = state.apply(Index(3), &Change::Join(info.clone()));
    assert_eq!(leases.renew(&state, &timing, &info, expired_at + 1100), Renewal::Extended(Epoch(3)));
}
