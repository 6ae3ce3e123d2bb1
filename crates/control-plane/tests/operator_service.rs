//! Tests of the operators' service (design 4.9), at clusters of each size (design 2.2).

use common::runtime::Simulation;
use control_plane::{
    MAX_DOCUMENT_BYTES, operator::OperationOutcome, state_machine::cluster_state::MAX_RECENT_OPERATIONS,
};
use rstest::rstest;
use std::time::Duration;

mod cluster;
mod operator;
mod random_text;
use cluster::Cluster;
use random_text::random_text;

/// Result of a read that returns this document.
fn document(version: u64, text: &str) -> Result<Option<(u64, String)>, String> {
    Ok(Some((version, text.to_string())))
}

/// Message of the first diagnostic of an invalid operation.
fn invalid_message(outcome: &OperationOutcome) -> &str {
    match outcome {
        OperationOutcome::Invalid(diagnostics) => &diagnostics[0].message,
        other => panic!("{other:?}"),
    }
}

/// One or two voters make a complete cluster; more than three find each other through three seeds. Each cluster
/// bootstraps, accepts a document, and returns it at every node.
#[rstest]
fn clusters_of_any_size_bootstrap_and_accept(#[values(1, 2, 3, 5, 6, 7)] voters: usize) {
    Simulation::run(7, None, |simulation| async move {
        let cluster = Cluster::initialized(simulation, voters).await;
        for node in &cluster.nodes {
            assert_eq!(node.control_node.status().cluster_state.voters.len(), voters);
            assert_eq!(node.read().await, Ok(None));
        }
        assert_eq!(cluster.nodes[voters - 1].replace(0, "3\nfirst").await, OperationOutcome::Accepted);
        for node in &cluster.nodes {
            assert_eq!(node.read().await, document(3, "3\nfirst"));
        }
    });
}

/// Blank voters that may not bootstrap a cluster wait to be readmitted to one, however many there are.
#[rstest]
fn voters_that_may_not_bootstrap_never_do(#[values(1, 2, 3, 5)] voters: usize) {
    Simulation::run(8, None, |simulation| async move {
        let cluster = Cluster::start(simulation, voters, false).await;
        tokio::time::sleep(Duration::from_secs(60)).await;
        assert!(cluster.nodes.iter().all(|node| !node.control_node.status().initialized));
    });
}

/// Of two voters, both are needed for a majority, so nothing is accepted while one is cut off.
#[test]
fn one_of_two_voters_accepts_nothing() {
    Simulation::run(9, None, |simulation| async move {
        let cluster = Cluster::initialized(simulation, 2).await;
        let leader = cluster.leader();
        cluster.isolate(1 - leader);
        assert_ne!(cluster.nodes[leader].replace(0, "1\nalone").await, OperationOutcome::Accepted);
        assert_eq!(
            cluster.nodes[leader].control_node.status().cluster_state.revision.0,
            0,
            "nothing took effect"
        );
        cluster.heal(1 - leader);
        cluster
            .wait_until("both know a leader again", |cluster| {
                cluster.nodes.iter().all(|node| node.control_node.status().leader.is_some())
            })
            .await;
    });
}

#[derive(Clone, Copy, Debug)]
enum Operation {
    Replace,
    Amend,
}

async fn send(
    node: &cluster::ClusterNode,
    operation: Operation,
    base_version: u64,
    text: &str,
) -> OperationOutcome {
    match operation {
        Operation::Replace => node.replace(base_version, text).await,
        Operation::Amend => node.amend(base_version, text).await,
    }
}

/// Of two concurrent changes on top of the same version exactly one is accepted, wherever they are sent. Each node
/// then returns the accepted document, and a retry of the other change is a conflict again.
#[rstest]
fn one_of_two_concurrent_changes_is_accepted(
    #[values((0, 0), (0, 1), (1, 2), (2, 0))] at: (usize, usize),
    #[values(Operation::Replace, Operation::Amend)] first: Operation,
    #[values(Operation::Replace, Operation::Amend)] second: Operation,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    Simulation::run(seed, None, |simulation| async move {
        let cluster = Cluster::initialized(simulation, 3).await;
        assert_eq!(cluster.nodes[0].replace(0, "2\nbase").await, OperationOutcome::Accepted);
        let (first_node, second_node) = (&cluster.nodes[at.0], &cluster.nodes[at.1]);
        let (texts, operations) = (["5\n, one", "6\n, two"], [first, second]);
        let outcomes = tokio::join!(
            send(first_node, operations[0], 2, texts[0]),
            send(second_node, operations[1], 2, texts[1])
        );
        let outcomes = [outcomes.0, outcomes.1];
        let winner = outcomes
            .iter()
            .position(|outcome| *outcome == OperationOutcome::Accepted)
            .expect("one is accepted");
        let version = 5 + winner as u64;
        assert_eq!(
            outcomes[1 - winner],
            OperationOutcome::Conflict { current: Some(version) },
            "{outcomes:?}"
        );
        let text = match operations[winner] {
            Operation::Replace => texts[winner].to_string(),
            Operation::Amend => texts[winner].replacen('\n', "\nbase", 1),
        };
        for node in &cluster.nodes {
            assert_eq!(node.read().await, document(version, &text));
            let again = send(node, operations[1 - winner], 2, texts[1 - winner]).await;
            assert_eq!(again, OperationOutcome::Conflict { current: Some(version) });
        }
    });
}

/// A retry of an accepted change is accepted at each node, even after newer changes, and has no effect.
#[test]
fn retries_of_accepted_changes_are_accepted() {
    Simulation::run(11, None, |simulation| async move {
        let cluster = Cluster::initialized(simulation, 3).await;
        let all = [(0, "1\na"), (1, "4\nb"), (4, "9\nc")];
        for (n, (base_version, text)) in all.iter().enumerate() {
            assert_eq!(cluster.nodes[n].replace(*base_version, text).await, OperationOutcome::Accepted);
            assert_eq!(cluster.nodes[n].replace(*base_version, text).await, OperationOutcome::Accepted);
        }
        assert_eq!(cluster.nodes[1].amend(9, "10\n, d").await, OperationOutcome::Accepted);
        for node in &cluster.nodes {
            for (base_version, text) in all {
                assert_eq!(node.replace(base_version, text).await, OperationOutcome::Accepted);
            }
            assert_eq!(node.amend(9, "10\n, d").await, OperationOutcome::Accepted);
            // The same text on top of another version is another change.
            assert_eq!(node.replace(0, "9\nc").await, OperationOutcome::Conflict { current: Some(10) });
            assert_eq!(node.read().await, document(10, "10\nc, d"));
        }
    });
}

/// The outcome of an accepted document is kept even after as many other operations as are kept at most.
#[test]
fn accepted_outcomes_outlast_later_operations() {
    Simulation::run(12, None, |simulation| async move {
        let cluster = Cluster::initialized(simulation, 1).await;
        let node = &cluster.nodes[0];
        assert_eq!(node.replace(0, "1\na").await, OperationOutcome::Accepted);
        for n in 0..MAX_RECENT_OPERATIONS + 1 {
            assert_eq!(node.evacuate("far", n % 2 == 0).await, OperationOutcome::Accepted);
        }
        assert_eq!(node.recorded_operations(), MAX_RECENT_OPERATIONS);
        assert_eq!(node.replace(0, "1\na").await, OperationOutcome::Accepted);
        assert_eq!(node.replace(1, "2\nb").await, OperationOutcome::Accepted);
        assert_eq!(node.replace(0, "1\na").await, OperationOutcome::Accepted);
    });
}

/// An invalid or outdated change is refused with the reason and has no effect.
#[test]
fn invalid_changes_are_refused_without_effect() {
    Simulation::run(13, None, |simulation| async move {
        let cluster = Cluster::initialized(simulation, 3).await;
        let node = &cluster.nodes[1];
        assert_eq!(node.replace(3, "4\n").await, OperationOutcome::Conflict { current: Some(0) });
        assert!(invalid_message(&node.replace(0, "0\n").await).contains("allowed: above 0"));
        assert_eq!(node.replace(0, "6\nkept").await, OperationOutcome::Accepted);
        for old in ["6\nother", "5\nother"] {
            assert!(invalid_message(&node.replace(6, old).await).contains("allowed: above 6"));
            assert!(invalid_message(&node.amend(6, old).await).contains("allowed: above 6"));
        }
        assert_eq!(node.replace(0, "7\n").await, OperationOutcome::Conflict { current: Some(6) });
        assert_eq!(node.replace(7, "8\n").await, OperationOutcome::Conflict { current: Some(6) });
        assert_eq!(invalid_message(&node.replace(6, "not a version").await), "no version");
        let long = |n: usize| format!("7\n{}", "x".repeat(n - 2));
        assert_eq!(node.replace(6, &long(MAX_DOCUMENT_BYTES + 1)).await, OperationOutcome::TooLarge);
        assert_eq!(
            node.replace(6, &format!("7\n{}", random_text(1, MAX_DOCUMENT_BYTES / 4))).await,
            OperationOutcome::TooLarge
        );
        assert_eq!(
            node.amend(6, &long(MAX_DOCUMENT_BYTES)).await,
            OperationOutcome::TooLarge,
            "the amended document is too long"
        );
        assert_eq!(node.read().await, document(6, "6\nkept"));
        // The longest document is accepted at a node that has to forward it to the leader.
        let follower = (cluster.leader() + 1) % 3;
        assert_eq!(
            cluster.nodes[follower].replace(6, &long(MAX_DOCUMENT_BYTES)).await,
            OperationOutcome::Accepted
        );
        assert_eq!(node.read().await, document(7, &long(MAX_DOCUMENT_BYTES)));
    });
}

/// A leader without a majority can't know the outcome of a change. A retry returns it later, and the change takes
/// effect once.
#[rstest]
fn retries_resolve_undetermined_outcomes(#[values(1, 2, 3)] seed: u64) {
    Simulation::run(seed, None, |simulation| async move {
        let cluster = Cluster::initialized(simulation, 3).await;
        let old_leader = cluster.leader();
        assert_eq!(cluster.nodes[old_leader].replace(0, "1\na").await, OperationOutcome::Accepted);
        cluster.isolate(old_leader);
        assert_eq!(cluster.nodes[old_leader].replace(1, "2\nb").await, OperationOutcome::Undetermined);
        assert!(matches!(
            cluster.nodes[old_leader].replace(1, "2\nb").await,
            OperationOutcome::Undetermined | OperationOutcome::Unavailable(_)
        ));
        cluster
            .wait_until("another node leads", |cluster| {
                let status = cluster.nodes[(old_leader + 1) % 3].control_node.status();
                status.leader.is_some_and(|leader| leader.node.as_str() != format!("s{old_leader}"))
            })
            .await;
        cluster.heal(old_leader);
        let mut outcome = OperationOutcome::Undetermined;
        for _ in 0..100 {
            outcome = cluster.nodes[old_leader].replace(1, "2\nb").await;
            if outcome == OperationOutcome::Accepted {
                break;
            }
            assert!(
                matches!(outcome, OperationOutcome::Undetermined | OperationOutcome::Unavailable(_)),
                "{outcome:?}"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(outcome, OperationOutcome::Accepted);
        for node in &cluster.nodes {
            assert_eq!(node.replace(1, "2\nb").await, OperationOutcome::Accepted);
            assert_eq!(node.read().await, document(2, "2\nb"));
            assert_eq!(
                node.control_node.status().cluster_state.revision.0,
                2,
                "each change took effect once"
            );
        }
    });
}

/// A document is returned byte for byte: no line end, space or letter is changed.
#[rstest]
#[case::line_ends("1\r\n\ttab \r\n\r\n")]
#[case::no_final_line_end("1\nend")]
#[case::letters("1\nñandú, 东, \u{1F682}, \u{0}, \u{FEFF}")]
fn documents_are_read_back_byte_for_byte(#[case] text: &str) {
    let text = text.to_string();
    Simulation::run(21, None, |simulation| async move {
        let cluster = Cluster::initialized(simulation, 3).await;
        assert_eq!(cluster.nodes[2].replace(0, &text).await, OperationOutcome::Accepted);
        for node in &cluster.nodes {
            assert_eq!(node.read().await, document(1, &text));
        }
    });
}

/// An evacuation lasts until it is ended by an operator; unknown and malformed zones are refused.
#[test]
fn zones_are_evacuated_and_readmitted() {
    Simulation::run(31, None, |simulation| async move {
        let cluster = Cluster::initialized(simulation, 3).await;
        assert_eq!(cluster.nodes[0].replace(0, "1\na").await, OperationOutcome::Accepted);
        // "far" is only a configured name; "a2" is the zone of a voter.
        for (at, zone) in [(0, "far"), (1, "a2"), (2, "a2")] {
            assert_eq!(cluster.nodes[at].evacuate(zone, true).await, OperationOutcome::Accepted);
        }
        assert_eq!(cluster.nodes[2].evacuated_zones().await, ["a2", "far"]);
        // A new document does not end an evacuation.
        assert_eq!(cluster.nodes[1].replace(1, "2\nb").await, OperationOutcome::Accepted);
        assert_eq!(cluster.nodes[0].evacuated_zones().await, ["a2", "far"]);
        for at in 0..2 {
            assert_eq!(cluster.nodes[at].evacuate("far", false).await, OperationOutcome::Accepted);
        }
        assert_eq!(cluster.nodes[0].evacuated_zones().await, ["a2"]);
        assert!(
            invalid_message(&cluster.nodes[0].evacuate("nowhere", true).await).contains("known to no node")
        );
        assert!(invalid_message(&cluster.nodes[0].evacuate("no name", true).await).contains("allowed"));
        assert_eq!(cluster.nodes[1].evacuated_zones().await, ["a2"]);
    });
}
