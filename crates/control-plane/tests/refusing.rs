//! Daemons whose disk refuses, on hosts of a world in memory (design 2.4): what they answer meanwhile.

use common::runtime::Simulation;
use control_plane::{
    consensus::{DurableState, Event},
    operator::OperationOutcome,
    rpc::{ControlRequest, ControlResponse},
};

mod cluster;
use cluster::Cluster;

/// The order goes to another voter at once, and the one whose disk works again counts as before.
#[test]
fn an_order_at_a_seat_that_refuses_is_taken_elsewhere() {
    Simulation::run(3, None, |w| async move {
        let c = Cluster::initialized(w, 3).await;
        assert_eq!(c.nodes[0].replace(0, "1\nfirst").await, OperationOutcome::Accepted);
        let lead = c.leader();
        let (core, me) = (c.nodes[lead].control_node.clone(), c.nodes[lead].control_node.status().me);
        core.step(Event::SyncFailed);
        assert!(!core.status().voting && core.status().leader.is_none());
        c.wait_until("another lead", |c| c.nodes.iter().any(|s| s.control_node.local_state().is_ok())).await;
        // The new leader takes it once it has heard the members.
        let end = c.simulation.elapsed_ms() + 10_000;
        let mut told = c.nodes[lead].replace(1, "2\nsecond").await;
        while matches!(told, OperationOutcome::Unavailable(_)) && c.simulation.elapsed_ms() < end {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            told = c.nodes[lead].replace(1, "2\nsecond").await;
        }
        assert_eq!(told, OperationOutcome::Accepted);
        assert_eq!(c.nodes[lead].read().await, Ok(Some((2, "2\nsecond".into()))));
        let wait_ms = 400;
        let asked = c.simulation.elapsed_ms();
        let state_update = core
            .clone()
            .answer(ControlRequest::WatchState { have: core.status().cluster_state.index, wait_ms })
            .await;
        assert!(
            matches!(state_update, ControlResponse::NotLeader { .. }) && c.simulation.elapsed_ms() == asked,
            "not after the wait"
        );
        // Its folder turns out damaged: it comes back blank and is readmitted.
        let blank =
            control_plane::types::VoterInfo { incarnation: common::Incarnation(77), number: u8::MAX, ..me };
        core.step(Event::Recovered(Box::new(DurableState::blank(&blank))));
        c.wait_until("its vote", |c| c.nodes[lead].control_node.status().voting).await;
        assert_eq!(
            c.nodes[lead].control_node.status().cluster_state.revision,
            c.nodes[c.leader()].control_node.status().cluster_state.revision
        );
    });
}

/// What was under way is told as undetermined with the failed write, not when the caller's time is over.
#[test]
fn an_order_under_way_is_undetermined_at_once() {
    Simulation::run(4, None, |w| async move {
        let c = Cluster::initialized(w.clone(), 3).await;
        let lead = c.leader();
        c.isolate(lead);
        let stand = c.nodes[lead].clone();
        let order = tokio::spawn(async move { stand.replace(0, "1\nfirst").await });
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        let failed = w.elapsed_ms();
        c.nodes[lead].control_node.step(Event::SyncFailed);
        assert_eq!(order.await.unwrap(), OperationOutcome::Undetermined);
        assert_eq!(w.elapsed_ms(), failed);
    });
}

/// A node that can't open its folder at the start says nothing, not even who it is, until it can.
#[test]
fn a_seat_that_waits_for_its_disk_says_nothing() {
    Simulation::run(5, None, |w| async move {
        let c = Cluster::start_with_unavailable_disk(w, 3, 2).await;
        tokio::time::sleep(std::time::Duration::from_secs(20)).await;
        let initialized = |n: usize| c.nodes[n].control_node.status().initialized;
        assert!(
            !initialized(0) && !initialized(1) && !initialized(2),
            "two of three blank seeds found nothing"
        );
        let core = &c.nodes[2].control_node;
        let me = core.status().me;
        core.step(Event::Recovered(Box::new(DurableState::blank(&me))));
        c.wait_until("a leader", |c| c.nodes.iter().all(|s| s.control_node.status().leader.is_some())).await;
        assert_eq!(c.nodes[2].replace(0, "1\nfirst").await, OperationOutcome::Accepted);
    });
}
