//! Tests of `control_plane::cluster_state`.

use common::{Incarnation, Index, OpId, Revision, wire};
use control_plane::{ApplyOutcome, Change, ClusterState, ReplicaChange, types::NodeInfo};

fn apply(op: &str, base: u64, text: &str) -> Change {
    Change::Apply { op: OpId::new(op), base: Revision(base), text: text.into() }
}

/// Design 4.6: one racer wins, the loser never takes effect, a repeat answers as at first.
#[test]
fn racing_writers_and_repeats() {
    let mut l = ClusterState::bootstrapped("c", vec![]);
    let one = ApplyOutcome::Accepted { revision: Revision(1) };
    assert_eq!(l.apply(Index(1), &apply("a", 0, "x")), one);
    assert_eq!(l.apply(Index(2), &apply("b", 0, "y")), ApplyOutcome::Conflict { current: Revision(1) });
    assert_eq!(l.apply(Index(3), &apply("c", 1, "z")), ApplyOutcome::Accepted { revision: Revision(2) });
    assert_eq!(l.apply(Index(4), &apply("a", 0, "x")), one);
    assert_eq!((l.text.as_deref(), l.revision), (Some("z"), Revision(2)));
}

/// Found by the first cluster: a outcome in a form that only JSON can read back broke every
/// snapshot and slot that held one.
#[test]
fn a_full_ledger_survives_the_wire() {
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
    let mut l = ClusterState::bootstrapped("c", vec![]);
    for (n, ch) in [
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
        let _ = l.apply(Index(n as u64 + 1), ch);
    }
    assert_eq!((l.recent_operations.len(), l.accepted_operations.len()), (4, 1));
    assert_eq!(wire::decode::<ClusterState>(&wire::encode(&l).unwrap()).unwrap(), l);
}

/// An evacuation that is late on its way does not undo what was decided after it; one that changes
/// nothing is accepted.
#[test]
fn a_late_evacuation_does_not_come_back() {
    let mut l = ClusterState::bootstrapped("c", vec![]);
    let mut fold = |index: u64, on: bool, seen: u64| {
        let op = OpId::new(format!("e{index}"));
        let outcome =
            l.apply(Index(index), &Change::Evacuate { op, zone: "a".into(), on, seen: Index(seen) });
        (outcome, l.evacuated.len())
    };
    let taken = ApplyOutcome::Accepted { revision: Revision(0) };
    let overtaken = ApplyOutcome::Conflict { current: Revision(0) };
    assert_eq!(fold(1, true, 0), (taken.clone(), 1));
    assert_eq!(fold(2, true, 0), (taken.clone(), 1), "sent again");
    assert_eq!(fold(3, false, 2), (taken.clone(), 0));
    assert_eq!(fold(4, true, 0), (overtaken.clone(), 0), "the first one, late");
    assert_eq!(fold(5, true, 4), (taken.clone(), 1), "a new one");
    assert_eq!(fold(6, false, 2), (overtaken, 1), "the first end, late");
    assert_eq!(fold(7, false, 6), (taken, 0));
}
