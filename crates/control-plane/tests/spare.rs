//! A voter that was replaced while it was away becomes a spare, and takes the next place (design 2.5), by the daemons' own
//! code under virtual time.

mod cluster;

use cluster::Cluster;
use common::{Incarnation, runtime::Simulation};
use control_plane::operator::OperationOutcome;
use rstest::rstest;

/// Whether every node of these knows a voter set that names an incarnation.
fn all_name(c: &Cluster, nodes: &[usize], incarnation: Incarnation) -> bool {
    let names = |n: &usize| {
        let voters = c.nodes[*n].control_node.status().cluster_state.voters;
        voters.iter().any(|voter| voter.incarnation == incarnation)
    };
    nodes.iter().all(names)
}

#[rstest]
fn a_replaced_voter_takes_the_next_place(#[values(1, 2, 3)] seed: u64) {
    Simulation::run(seed, None, |world| async move {
        let mut c = Cluster::initialized(world, 3).await;
        let lead = c.leader();
        let (away, next) = ((lead + 1) % 3, (lead + 2) % 3);
        assert!(matches!(c.nodes[lead].replace(0, "1\n").await, OperationOutcome::Accepted));
        c.add_spare().await;
        let spare = c.nodes[3].control_node.status().me.incarnation;
        let former = c.nodes[away].control_node.status().me.incarnation;
        c.nodes[away].freeze();
        c.wait_until("the spare has its place", |c| all_name(c, &[lead, next, 3], spare)).await;
        c.nodes[away].thaw();
        c.wait_until("it is blank and has a new identity", |c| {
            let status = c.nodes[away].control_node.status();
            !status.initialized && status.me.incarnation != former
        })
        .await;
        // The next loss: the former voter is what the cluster has left.
        c.nodes[next].freeze();
        let identity = c.nodes[away].control_node.status().me.incarnation;
        c.wait_until("it has the place of the next one", |c| all_name(c, &[lead, away, 3], identity)).await;
        c.wait_until("it votes", |c| c.nodes[away].control_node.status().voting).await;
        assert!(matches!(c.nodes[away].replace(1, "2\n").await, OperationOutcome::Accepted));
        assert_eq!(c.nodes[3].read().await, Ok(Some((2, "2\n".into()))));
    });
}
