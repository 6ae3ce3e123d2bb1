//! Orders that are sent again (design 4.9): an accepted one is accepted again, wherever and whenever.

use crate::cluster::{Cluster, ClusterNode};
use common::{Index, OpId, Revision, runtime::Simulation, wire};
use control_plane::{
    ApplyOutcome, Change, ClusterState,
    operator::OperationOutcome,
    rpc::ProposalOutcome,
    state_machine::cluster_state::MAX_RECENT_OPERATIONS,
    state_machine::{
        OperationStatus, operation_status,
        operations::{MAX_ACCEPTED_OPERATIONS, MAX_OPERATION_BYTES},
    },
};
use rstest::rstest;

async fn send(s: &ClusterNode, kind: &str, base_version: u64, text: &str) -> OperationOutcome {
    match kind {
        "replace" => s.replace(base_version, text).await,
        _ => s.amend(base_version, text).await,
    }
}

/// Whether an order is accepted again after as many evacuations as outcomes are kept, and then more
/// changes than that.
fn resend_after_hundreds_of_changes(kind: &'static str, broken: Option<&str>) -> Vec<OperationOutcome> {
    Simulation::run(12, broken.map(Into::into), |w| async move {
        let c = Cluster::initialized(w, 3).await;
        assert_eq!(c.nodes[0].replace(0, "1\na").await, OperationOutcome::Accepted);
        assert_eq!(send(&c.nodes[1], kind, 1, "2\nb").await, OperationOutcome::Accepted);
        let mut told = Vec::new();
        for n in 0..MAX_RECENT_OPERATIONS {
            assert_eq!(c.nodes[n % 3].evacuate("far", n % 2 == 0).await, OperationOutcome::Accepted);
        }
        for s in &c.nodes {
            told.push(send(s, kind, 1, "2\nb").await);
        }
        for version in 2..MAX_RECENT_OPERATIONS as u64 + 20 {
            let text = format!("{}\n{version}", version + 1);
            assert_eq!(
                c.nodes[version as usize % 3].replace(version, &text).await,
                OperationOutcome::Accepted
            );
        }
        for s in &c.nodes {
            told.push(send(s, kind, 1, "2\nb").await);
        }
        told
    })
}

#[rstest]
fn an_accepted_order_is_accepted_again(#[values("replace", "amend")] kind: &'static str) {
    let told = resend_after_hundreds_of_changes(kind, None);
    assert!(told.iter().all(|t| *t == OperationOutcome::Accepted), "{told:?}");
}

#[rstest]
fn verdicts_kept_by_count_alone_are_caught(#[values("replace", "amend")] kind: &'static str) {
    let told = resend_after_hundreds_of_changes(kind, Some("verdicts-by-count"));
    assert!(told.iter().any(|t| matches!(t, OperationOutcome::Conflict { .. })), "{told:?}");
}

/// Eight at once, at all nodes: all have the same answer, and the order was taken once.
#[rstest]
fn eight_at_once_end_alike(
    #[values("replace", "amend")] kind: &'static str,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    Simulation::run(seed, None, |w| async move {
        let c = Cluster::initialized(w, 3).await;
        assert_eq!(c.nodes[0].replace(0, "1\na").await, OperationOutcome::Accepted);
        let all = (0..8).map(|n| send(&c.nodes[n % 3], kind, 1, "2\nb"));
        let told = futures::future::join_all(all).await;
        assert!(told.iter().all(|t| *t == OperationOutcome::Accepted), "{told:?}");
        assert_eq!(c.nodes[0].read().await.unwrap().unwrap().0, 2);
        assert_eq!(
            c.nodes[c.leader()].control_node.status().cluster_state.revision,
            Revision(2),
            "taken once"
        );
    });
}

/// One byte, the base or the kind makes it another order, also where the text in place is the same.
#[test]
fn another_order_is_not_taken_for_an_accepted_one() {
    Simulation::run(5, None, |w| async move {
        let c = Cluster::initialized(w, 3).await;
        assert_eq!(c.nodes[0].replace(0, "1\na").await, OperationOutcome::Accepted);
        assert_eq!(c.nodes[0].replace(1, "2\nb").await, OperationOutcome::Accepted);
        for s in &c.nodes {
            assert_eq!(s.replace(1, "2\nb ").await, OperationOutcome::Conflict { current: Some(2) });
            assert_eq!(s.replace(0, "2\nb").await, OperationOutcome::Conflict { current: Some(2) });
            assert!(
                matches!(s.replace(2, "2\nb").await, OperationOutcome::Invalid(_)),
                "its version is the current one"
            );
            assert_eq!(s.amend(1, "2\nb").await, OperationOutcome::Conflict { current: Some(2) });
            assert_eq!(s.replace(1, "2\nb").await, OperationOutcome::Accepted);
        }
    });
}

fn apply(n: u64) -> Change {
    Change::Apply { op: OpId::new(format!("op{n}")), base: Revision(n), text: "t".into() }
}

/// Versions are twice the revisions here. What is forgotten is left open; what can't have been
/// accepted is refused, however old it is.
#[test]
fn an_order_older_than_all_that_is_kept_is_left_open() {
    let mut l = ClusterState::bootstrapped("c", vec![]);
    let all = MAX_ACCEPTED_OPERATIONS as u64 + 10;
    for n in 0..all {
        assert_eq!(l.apply(Index(n + 1), &apply(n)), ApplyOutcome::Accepted { revision: Revision(n + 1) });
    }
    let current = 2 * all;
    let ask = |op: &str, base_version: u64| operation_status(&l, &OpId::new(op), base_version, current);
    let taken = OperationStatus::Decided(ApplyOutcome::Accepted { revision: Revision(11) });
    assert_eq!(ask("op10", 20), taken, "the oldest that is kept");
    assert_eq!(ask("op9", 18), OperationStatus::Forgotten);
    assert_eq!(ask("op0", 0), OperationStatus::Forgotten);
    assert_eq!(ask("other", current - MAX_ACCEPTED_OPERATIONS as u64), OperationStatus::Superseded);
    assert_eq!(ask("other", current + 1), OperationStatus::Superseded);
    assert_eq!(ask("other", current), OperationStatus::Open);
}

/// A state in which nothing was forgotten refuses every order on an older version.
#[test]
fn a_short_history_leaves_nothing_open() {
    let mut l = ClusterState::bootstrapped("c", vec![]);
    for n in 0..3 {
        let _ = l.apply(Index(n + 1), &apply(n));
    }
    assert_eq!(operation_status(&l, &OpId::new("other"), 0, 1_000_000_000), OperationStatus::Superseded);
}

/// Thousands of operations take tens of KiB in a snapshot, within what is reckoned for them.
#[test]
fn operations_stay_small_in_a_snapshot() {
    let mut l = ClusterState::bootstrapped("c", vec![]);
    let empty = wire::encode(&l).unwrap().len();
    for n in 0..2 * MAX_ACCEPTED_OPERATIONS as u64 {
        let _ = l.apply(Index(n + 1), &apply(n));
    }
    let encoded = wire::encode(&l).unwrap();
    assert!(
        encoded.len() - empty <= MAX_ACCEPTED_OPERATIONS * MAX_OPERATION_BYTES,
        "{} bytes",
        encoded.len()
    );
    assert!(encoded.len() <= l.max_encoded_len());
    assert_eq!(l.recent_operations.len(), 0, "accepted documents push no other verdict out");
    assert_eq!(wire::decode::<ClusterState>(&encoded).unwrap(), l);
    println!("{} operations: {} bytes", l.accepted_operations.len(), encoded.len() - empty);
}

/// An order to evacuate that was decided at one node reaches the leader only after it was sent again
/// elsewhere, taken, and taken back.
fn evacuated_after_a_late_order(broken: Option<&str>) -> Vec<String> {
    Simulation::run(3, broken.map(Into::into), |w| async move {
        let c = Cluster::initialized(w, 3).await;
        let s = &c.nodes[c.leader()];
        let seen = s.control_node.status().cluster_state.index;
        let late = Change::Evacuate { op: "late".into(), zone: "far".into(), on: true, seen };
        assert_eq!(c.nodes[0].evacuate("far", true).await, OperationOutcome::Accepted);
        assert_eq!(c.nodes[1].evacuate("far", false).await, OperationOutcome::Accepted);
        assert!(matches!(s.propose(late).await, ProposalOutcome::Committed { .. }));
        c.nodes[2].evacuated_zones().await
    })
}

#[test]
fn a_late_evacuation_does_not_undo_what_came_after_it() {
    assert!(evacuated_after_a_late_order(None).is_empty());
    let undone = evacuated_after_a_late_order(Some("late-evacuations"));
    assert_eq!(undone, ["far"], "the variant evacuates anew");
}

/// Two operators, one that begins and one that takes back: both are told, and the last one holds.
#[rstest]
fn evacuations_sent_at_once_all_end(#[values(1, 2, 3, 4)] seed: u64) {
    Simulation::run(seed, None, |w| async move {
        let c = Cluster::initialized(w, 3).await;
        let all = (0..8).map(|n| c.nodes[n % 3].evacuate("far", n % 2 == 0));
        let told = futures::future::join_all(all).await;
        assert!(told.iter().all(|t| *t == OperationOutcome::Accepted), "{told:?}");
        assert_eq!(c.nodes[0].evacuate("far", false).await, OperationOutcome::Accepted);
        assert!(c.nodes[1].evacuated_zones().await.is_empty());
    });
}
