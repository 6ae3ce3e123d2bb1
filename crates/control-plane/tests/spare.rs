//! A voter that was replaced while it was unreachable becomes a spare and replaces the next voter that fails (design
//! 2.5). The test runs the daemon's own code under virtual time.

mod cluster;

use cluster::Cluster;
use common::{Incarnation, runtime::Simulation};
use control_plane::operator::OperationOutcome;
use rstest::rstest;

/// Whether each of these nodes knows a voter set that includes an incarnation.
fn all_know_voter(cluster: &Cluster, nodes: &[usize], incarnation: Incarnation) -> bool {
    let knows = |n: &usize| {
        let voters = cluster.nodes[*n].control_node.status().cluster_state.voters;
        voters.iter().any(|voter| voter.incarnation == incarnation)
    };
    nodes.iter().all(knows)
}

#[rstest]
fn a_replaced_voter_replaces_the_next_failed_one(#[values(1, 2, 3)] seed: u64) {
    Simulation::run(seed, None, |simulation| async move {
        let mut cluster = Cluster::initialized(simulation, 3).await;
        let leader = cluster.leader();
        let (frozen, next) = ((leader + 1) % 3, (leader + 2) % 3);
        assert!(matches!(cluster.nodes[leader].replace(0, "1\n").await, OperationOutcome::Accepted));
        cluster.add_spare().await;
        let spare = cluster.nodes[3].control_node.status().identity.incarnation;
        let old_incarnation = cluster.nodes[frozen].control_node.status().identity.incarnation;
        cluster.nodes[frozen].freeze();
        cluster
            .wait_until("the spare has replaced the frozen voter", |cluster| {
                all_know_voter(cluster, &[leader, next, 3], spare)
            })
            .await;
        cluster.nodes[frozen].thaw();
        cluster
            .wait_until("the replaced voter is blank and has a new identity", |cluster| {
                let status = cluster.nodes[frozen].control_node.status();
                !status.initialized && status.identity.incarnation != old_incarnation
            })
            .await;
        // After the next failure the replaced voter is the only spare.
        cluster.nodes[next].freeze();
        let identity = cluster.nodes[frozen].control_node.status().identity.incarnation;
        cluster
            .wait_until("it has replaced the next voter", |cluster| {
                all_know_voter(cluster, &[leader, frozen, 3], identity)
            })
            .await;
        cluster.wait_until("it votes", |cluster| cluster.nodes[frozen].control_node.status().voting).await;
        assert!(matches!(cluster.nodes[frozen].replace(1, "2\n").await, OperationOutcome::Accepted));
        assert_eq!(cluster.nodes[3].read().await, Ok(Some((2, "2\n".into()))));
    });
}
