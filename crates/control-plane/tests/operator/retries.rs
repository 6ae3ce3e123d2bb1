//! Retries of operations (design 4.9): a retry of an accepted one is accepted at each node and at any later time.

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

async fn send(node: &ClusterNode, kind: &str, base_version: u64, text: &str) -> OperationOutcome {
    match kind {
        "replace" => node.replace(base_version, text).await,
        _ => node.amend(base_version, text).await,
    }
}

/// Outcomes of retries of an accepted change: first after as many evacuations as recent operations are kept, then
/// after more changes of the document than that.
fn retry_after_hundreds_of_changes(kind: &'static str, mutation: Option<&str>) -> Vec<OperationOutcome> {
    Simulation::run(12, mutation.map(Into::into), |simulation| async move {
        let cluster = Cluster::initialized(simulation, 3).await;
        assert_eq!(cluster.nodes[0].replace(0, "1\na").await, OperationOutcome::Accepted);
        assert_eq!(send(&cluster.nodes[1], kind, 1, "2\nb").await, OperationOutcome::Accepted);
        let mut outcomes = Vec::new();
        for n in 0..MAX_RECENT_OPERATIONS {
            assert_eq!(cluster.nodes[n % 3].evacuate("far", n % 2 == 0).await, OperationOutcome::Accepted);
        }
        for node in &cluster.nodes {
            outcomes.push(send(node, kind, 1, "2\nb").await);
        }
        for version in 2..MAX_RECENT_OPERATIONS as u64 + 20 {
            let text = format!("{}\n{version}", version + 1);
            assert_eq!(
                cluster.nodes[version as usize % 3].replace(version, &text).await,
                OperationOutcome::Accepted
            );
        }
        for node in &cluster.nodes {
            outcomes.push(send(node, kind, 1, "2\nb").await);
        }
        outcomes
    })
}

/// A retry of an accepted change is accepted after hundreds of later changes.
#[rstest]
fn an_accepted_change_is_accepted_again(#[values("replace", "amend")] kind: &'static str) {
    let outcomes = retry_after_hundreds_of_changes(kind, None);
    assert!(outcomes.iter().all(|outcome| *outcome == OperationOutcome::Accepted), "{outcomes:?}");
}

/// A mutation keeps outcomes by number alone, so that a retry of an accepted change becomes a conflict.
#[rstest]
fn outcomes_kept_by_count_alone_are_detected(#[values("replace", "amend")] kind: &'static str) {
    let outcomes = retry_after_hundreds_of_changes(kind, Some("verdicts-by-count"));
    assert!(
        outcomes.iter().any(|outcome| matches!(outcome, OperationOutcome::Conflict { .. })),
        "{outcomes:?}"
    );
}

/// The same change sent eight times at once, to all nodes, is accepted each time and takes effect once.
#[rstest]
fn eight_concurrent_tries_are_all_accepted(
    #[values("replace", "amend")] kind: &'static str,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    Simulation::run(seed, None, |simulation| async move {
        let cluster = Cluster::initialized(simulation, 3).await;
        assert_eq!(cluster.nodes[0].replace(0, "1\na").await, OperationOutcome::Accepted);
        let all = (0..8).map(|n| send(&cluster.nodes[n % 3], kind, 1, "2\nb"));
        let outcomes = futures::future::join_all(all).await;
        assert!(outcomes.iter().all(|outcome| *outcome == OperationOutcome::Accepted), "{outcomes:?}");
        assert_eq!(cluster.nodes[0].read().await.unwrap().unwrap().0, 2);
        assert_eq!(
            cluster.nodes[cluster.leader()].control_node.status().cluster_state.revision,
            Revision(2),
            "the change took effect once"
        );
    });
}

/// A change with another text, base version or kind is another operation, even if the resulting text is the same.
#[test]
fn a_different_operation_is_not_a_retry() {
    Simulation::run(5, None, |simulation| async move {
        let cluster = Cluster::initialized(simulation, 3).await;
        assert_eq!(cluster.nodes[0].replace(0, "1\na").await, OperationOutcome::Accepted);
        assert_eq!(cluster.nodes[0].replace(1, "2\nb").await, OperationOutcome::Accepted);
        for node in &cluster.nodes {
            assert_eq!(node.replace(1, "2\nb ").await, OperationOutcome::Conflict { current: Some(2) });
            assert_eq!(node.replace(0, "2\nb").await, OperationOutcome::Conflict { current: Some(2) });
            assert!(
                matches!(node.replace(2, "2\nb").await, OperationOutcome::Invalid(_)),
                "the document's version is the current one"
            );
            assert_eq!(node.amend(1, "2\nb").await, OperationOutcome::Conflict { current: Some(2) });
            assert_eq!(node.replace(1, "2\nb").await, OperationOutcome::Accepted);
        }
    });
}

fn apply(n: u64) -> Change {
    Change::Apply { op: OpId::new(format!("op{n}")), base: Revision(n), text: "t".into() }
}

/// An operation whose outcome may have been dropped is reported as forgotten; one that can't have been accepted is
/// refused, however old its base is. Versions are twice the revisions here.
#[test]
fn operations_older_than_all_kept_ones_are_forgotten() {
    let mut state = ClusterState::bootstrapped("c", vec![]);
    let all = MAX_ACCEPTED_OPERATIONS as u64 + 10;
    for n in 0..all {
        assert_eq!(
            state.apply(Index(n + 1), &apply(n)),
            ApplyOutcome::Accepted { revision: Revision(n + 1) }
        );
    }
    let current = 2 * all;
    let status =
        |op: &str, base_version: u64| operation_status(&state, &OpId::new(op), base_version, current);
    let accepted = OperationStatus::Decided(ApplyOutcome::Accepted { revision: Revision(11) });
    assert_eq!(status("op10", 20), accepted, "the oldest operation that is kept");
    assert_eq!(status("op9", 18), OperationStatus::Forgotten);
    assert_eq!(status("op0", 0), OperationStatus::Forgotten);
    assert_eq!(status("other", current - MAX_ACCEPTED_OPERATIONS as u64), OperationStatus::Superseded);
    assert_eq!(status("other", current + 1), OperationStatus::Superseded);
    assert_eq!(status("other", current), OperationStatus::Open);
}

/// A state that has dropped no outcome refuses every operation on an older version.
#[test]
fn a_short_history_forgets_nothing() {
    let mut state = ClusterState::bootstrapped("c", vec![]);
    for n in 0..3 {
        let _ = state.apply(Index(n + 1), &apply(n));
    }
    assert_eq!(operation_status(&state, &OpId::new("other"), 0, 1_000_000_000), OperationStatus::Superseded);
}

/// Thousands of operations take tens of KiB in a snapshot, within the size that is reserved for them.
#[test]
fn operations_stay_small_in_a_snapshot() {
    let mut state = ClusterState::bootstrapped("c", vec![]);
    let empty = wire::encode(&state).unwrap().len();
    for n in 0..2 * MAX_ACCEPTED_OPERATIONS as u64 {
        let _ = state.apply(Index(n + 1), &apply(n));
    }
    let encoded = wire::encode(&state).unwrap();
    assert!(
        encoded.len() - empty <= MAX_ACCEPTED_OPERATIONS * MAX_OPERATION_BYTES,
        "{} bytes",
        encoded.len()
    );
    assert!(encoded.len() <= state.max_encoded_len());
    assert_eq!(state.recent_operations.len(), 0, "accepted documents displace no other outcome");
    assert_eq!(wire::decode::<ClusterState>(&encoded).unwrap(), state);
    println!("{} operations: {} bytes", state.accepted_operations.len(), encoded.len() - empty);
}

/// Evacuated zones after a delayed proposal to evacuate: it reaches the leader only after a retry at another node was
/// accepted and the evacuation was ended again.
fn evacuated_after_a_late_proposal(mutation: Option<&str>) -> Vec<String> {
    Simulation::run(3, mutation.map(Into::into), |simulation| async move {
        let cluster = Cluster::initialized(simulation, 3).await;
        let node = &cluster.nodes[cluster.leader()];
        let seen = node.control_node.status().cluster_state.index;
        let delayed_change = Change::Evacuate { op: "late".into(), zone: "far".into(), on: true, seen };
        assert_eq!(cluster.nodes[0].evacuate("far", true).await, OperationOutcome::Accepted);
        assert_eq!(cluster.nodes[1].evacuate("far", false).await, OperationOutcome::Accepted);
        assert!(matches!(node.propose(delayed_change).await, ProposalOutcome::Committed { .. }));
        cluster.nodes[2].evacuated_zones().await
    })
}

/// A delayed proposal to evacuate has no effect after a newer change of the evacuation; a mutation lets it take effect.
#[test]
fn a_late_evacuation_does_not_undo_newer_changes() {
    assert!(evacuated_after_a_late_proposal(None).is_empty());
    let undone = evacuated_after_a_late_proposal(Some("late-evacuations"));
    assert_eq!(undone, ["far"], "the mutation evacuates the zone again");
}

/// Calls that begin and end the same evacuation at once are all accepted, and a later call decides its state.
#[rstest]
fn concurrent_evacuations_are_all_accepted(#[values(1, 2, 3, 4)] seed: u64) {
    Simulation::run(seed, None, |simulation| async move {
        let cluster = Cluster::initialized(simulation, 3).await;
        let all = (0..8).map(|n| cluster.nodes[n % 3].evacuate("far", n % 2 == 0));
        let outcomes = futures::future::join_all(all).await;
        assert!(outcomes.iter().all(|outcome| *outcome == OperationOutcome::Accepted), "{outcomes:?}");
        assert_eq!(cluster.nodes[0].evacuate("far", false).await, OperationOutcome::Accepted);
        assert!(cluster.nodes[1].evacuated_zones().await.is_empty());
    });
}
