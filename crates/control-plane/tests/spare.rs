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
        let voters = c.at[*n].core.status().cluster_state.voters;
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
        assert!(matches!(c.at[lead].replace(0, "1\n").await, OperationOutcome::Accepted));
        c.add_spare().await;
        let spare = c.at[3].core.status().me.incarnation;
        let former = c.at[away].core.status().me.incarnation;
        c.at[away].freeze();
        c.until("the spare has its place", |c| all_name(c, &[lead, next, 3], spare)).await;
        c.at[away].thaw();
        c.until("it is blank and has a new identity", |c| {
            let status = c.at[away].core.status();
            !status.initialized && status.me.incarnation != former
        })
        .await;
        // The next loss: the former voter is what the cluster has left.
        c.at[next].freeze();
        let identity = c.at[away].core.status().me.incarnation;
        c.until("it has the place of the next one", |c| all_name(c, &[lead, away, 3], identity)).await;
        c.until("it votes", |c| c.at[away].core.status().voting).await;
        assert!(matches!(c.at[away].replace(1, "2\n").await, OperationOutcome::Accepted));
        assert_eq!(c.at[3].read().await, Ok(Some((2, "2\n".into()))));
    });
}
