//! Tests of `control_plane::state_machine::cluster_state`.

use common::{Incarnation, Index, OpId, Revision, wire};
use control_plane::{ApplyOutcome, Change, ClusterState, ReplicaChange, types::NodeInfo};

fn apply(op: &str, base: u64, text: &str) -> Change {
    Change::Apply { op: OpId::new(op), base: Revision(base), text: text.into() }
}

/// Of two documents on the same base, the first is accepted and the second is a conflict without effect. A repeated
/// operation is answered with its first outcome (design 4.6).
#[test]
fn concurrent_documents_and_repeated_operations() {
    let mut state = ClusterState::bootstrapped("c", vec![]);
    let accepted = ApplyOutcome::Accepted { revision: Revision(1) };
    assert_eq!(state.apply(Index(1), &apply("a", 0, "x")), accepted);
    assert_eq!(state.apply(Index(2), &apply("b", 0, "y")), ApplyOutcome::Conflict { current: Revision(1) });
    assert_eq!(state.apply(Index(3), &apply("c", 1, "z")), ApplyOutcome::Accepted { revision: Revision(2) });
    assert_eq!(state.apply(Index(4), &apply("a", 0, "x")), accepted);
    assert_eq!((state.text.as_deref(), state.revision), (Some("z"), Revision(2)));
}

/// A state with every kind of outcome can be decoded again. An outcome with a serde form that only JSON can read
/// once made every snapshot that contained it unreadable.
#[test]
fn a_state_with_all_outcomes_can_be_decoded() {
    let addr = "127.0.0.1:1".parse().unwrap();
    let info = NodeInfo {
        node: "n".into(),
        incarnation: Incarnation(3),
        role: control_plane::types::Role::Router,
        lang: 1,
        zone: "a".into(),
        rpc_addr: addr,
        http: addr,
    };
    let list = ReplicaChange::List { service: "s".into(), zone: "a".into(), addr };
    let mut state = ClusterState::bootstrapped("c", vec![]);
    for (n, change) in [
        apply("a", 0, "x"),
        apply("b", 0, "y"),
        Change::Join(info),
        Change::Replica { op: OpId::new("r"), id: "r1".into(), what: list },
        Change::Replica { op: OpId::new("q"), id: "r2".into(), what: ReplicaChange::Drain },
        Change::Evacuate { op: OpId::new("e"), zone: "a".into(), on: true, seen: common::Index(u64::MAX) },
    ]
    .iter()
    .enumerate()
    {
        let _ = state.apply(Index(n as u64 + 1), change);
    }
    assert_eq!((state.recent_operations.len(), state.accepted_operations.len()), (4, 1));
    assert_eq!(wire::decode::<ClusterState>(&wire::encode(&state).unwrap()).unwrap(), state);
}

/// An evacuation request that arrives late doesn't undo a later decision. A request that changes nothing is accepted.
#[test]
fn a_late_evacuation_request_has_no_effect() {
    let mut state = ClusterState::bootstrapped("c", vec![]);
    let mut evacuate = |index: u64, on: bool, seen: u64| {
        let op = OpId::new(format!("e{index}"));
        let outcome =
            state.apply(Index(index), &Change::Evacuate { op, zone: "a".into(), on, seen: Index(seen) });
        (outcome, state.evacuated.len())
    };
    let accepted = ApplyOutcome::Accepted { revision: Revision(0) };
    let conflict = ApplyOutcome::Conflict { current: Revision(0) };
    assert_eq!(evacuate(1, true, 0), (accepted.clone(), 1));
    assert_eq!(evacuate(2, true, 0), (accepted.clone(), 1), "sent again");
    assert_eq!(evacuate(3, false, 2), (accepted.clone(), 0));
    assert_eq!(evacuate(4, true, 0), (conflict.clone(), 0), "the first request, late");
    assert_eq!(evacuate(5, true, 4), (accepted.clone(), 1), "a new request");
    assert_eq!(evacuate(6, false, 2), (conflict, 1), "the first end of the evacuation, late");
    assert_eq!(evacuate(7, false, 6), (accepted, 0));
}
