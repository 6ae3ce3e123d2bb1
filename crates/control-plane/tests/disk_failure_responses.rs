//! How control nodes answer while their disk fails, on simulated hosts (design 2.4).

use common::runtime::Simulation;
use control_plane::{
    consensus::{DurableState, Event},
    operator::OperationOutcome,
    rpc::{ControlRequest, ControlResponse},
};

mod cluster;
use cluster::Cluster;

/// A request to the node whose disk failed is passed to the new leader. When its disk works again, the node gets
/// its vote back.
#[test]
fn a_request_at_a_node_with_a_failed_disk_is_served_by_another() {
    Simulation::run(3, None, |simulation| async move {
        let cluster = Cluster::initialized(simulation, 3).await;
        assert_eq!(cluster.nodes[0].replace(0, "1\nfirst").await, OperationOutcome::Accepted);
        let leader = cluster.leader();
        let (control_node, identity) = (
            cluster.nodes[leader].control_node.clone(),
            cluster.nodes[leader].control_node.status().identity,
        );
        control_node.step(Event::SyncFailed);
        assert!(!control_node.status().voting && control_node.status().leader.is_none());
        cluster
            .wait_until("another leader", |cluster| {
                cluster.nodes.iter().any(|node| node.control_node.local_state().is_ok())
            })
            .await;
        // The new leader accepts changes once it has received heartbeats from the members.
        let end = cluster.simulation.elapsed_ms() + 10_000;
        let mut outcome = cluster.nodes[leader].replace(1, "2\nsecond").await;
        while matches!(outcome, OperationOutcome::Unavailable(_)) && cluster.simulation.elapsed_ms() < end {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            outcome = cluster.nodes[leader].replace(1, "2\nsecond").await;
        }
        assert_eq!(outcome, OperationOutcome::Accepted);
        assert_eq!(cluster.nodes[leader].read().await, Ok(Some((2, "2\nsecond".into()))));
        let wait_ms = 400;
        let requested_ms = cluster.simulation.elapsed_ms();
        let response = control_node
            .clone()
            .answer(ControlRequest::WatchState { have: control_node.status().cluster_state.index, wait_ms })
            .await;
        assert!(
            matches!(response, ControlResponse::NotLeader { .. })
                && cluster.simulation.elapsed_ms() == requested_ms,
            "answered before the wait is over"
        );
        // Its folder turns out to be damaged: it recovers as a blank node and is admitted again.
        let blank = control_plane::types::VoterInfo {
            incarnation: common::Incarnation(77),
            number: u8::MAX,
            ..identity
        };
        control_node.step(Event::Recovered(Box::new(DurableState::blank(&blank))));
        cluster.wait_until("its vote", |cluster| cluster.nodes[leader].control_node.status().voting).await;
        assert_eq!(
            cluster.nodes[leader].control_node.status().cluster_state.revision,
            cluster.nodes[cluster.leader()].control_node.status().cluster_state.revision
        );
    });
}

/// The outcome of a change that is being replicated is reported as undetermined when the write fails, not only when
/// the caller's time is over.
#[test]
fn a_change_in_progress_is_undetermined_at_once() {
    Simulation::run(4, None, |simulation| async move {
        let cluster = Cluster::initialized(simulation.clone(), 3).await;
        let leader = cluster.leader();
        cluster.isolate(leader);
        let node = cluster.nodes[leader].clone();
        let change = tokio::spawn(async move { node.replace(0, "1\nfirst").await });
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        let failed_ms = simulation.elapsed_ms();
        cluster.nodes[leader].control_node.step(Event::SyncFailed);
        assert_eq!(change.await.unwrap(), OperationOutcome::Undetermined);
        assert_eq!(simulation.elapsed_ms(), failed_ms);
    });
}

/// A node that can't open its folder at the start sends nothing, not even its identity, until it can.
#[test]
fn a_node_that_waits_for_its_disk_sends_nothing() {
    Simulation::run(5, None, |simulation| async move {
        let cluster = Cluster::start_with_unavailable_disk(simulation, 3, 2).await;
        tokio::time::sleep(std::time::Duration::from_secs(20)).await;
        let initialized = |n: usize| cluster.nodes[n].control_node.status().initialized;
        assert!(
            !initialized(0) && !initialized(1) && !initialized(2),
            "two of three blank seeds don't bootstrap"
        );
        let control_node = &cluster.nodes[2].control_node;
        let identity = control_node.status().identity;
        control_node.step(Event::Recovered(Box::new(DurableState::blank(&identity))));
        cluster
            .wait_until("a leader", |cluster| {
                cluster.nodes.iter().all(|node| node.control_node.status().leader.is_some())
            })
            .await;
        assert_eq!(cluster.nodes[2].replace(0, "1\nfirst").await, OperationOutcome::Accepted);
    });
}
