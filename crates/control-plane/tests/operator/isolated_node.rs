//! Operators' calls at a control node that is cut off from the others (design 2.3, 4.9).

use crate::cluster::{Cluster, ClusterNode};
use common::runtime::Simulation;
use control_plane::operator::OperationOutcome;
use rstest::rstest;
use std::time::Duration;
use tokio::time::sleep;

/// Time for which the node is cut off, in milliseconds.
const CUT_MS: u64 = 20_000;
/// Time after which callers give up on a call, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Target {
    Leader,
    Follower,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// All messages from and to the node are lost.
    BothWays,
    /// Messages from the node are lost.
    Outward,
    /// Messages to the node are lost.
    Inward,
    /// The node's process is suspended.
    Frozen,
}

impl Fault {
    /// Time in milliseconds after which the node must know that it is cut off: the silence of its leader and the time
    /// of an election. A node that only can't send still hears from the next leader for a while.
    fn detection_ms(self) -> u64 {
        match self {
            Fault::BothWays | Fault::Frozen => 3_000,
            Fault::Outward | Fault::Inward => 6_000,
        }
    }
}

async fn version_at(stand: &ClusterNode) -> u64 {
    stand.read().await.unwrap().unwrap().0
}

fn inject_fault(cluster: &Cluster, node: usize, fault: Fault) {
    match fault {
        Fault::BothWays => cluster.isolate(node),
        Fault::Outward => cluster.drop_outgoing(node),
        Fault::Inward => cluster.drop_incoming(node),
        Fault::Frozen => cluster.nodes[node].freeze(),
    }
}

fn clear_fault(cluster: &Cluster, node: usize, fault: Fault) {
    if fault == Fault::Frozen { cluster.nodes[node].thaw() } else { cluster.heal(node) }
}

/// Sends a new version, on top of the current one, until it is accepted.
async fn accept(stand: &ClusterNode, version: u64) {
    let base = stand.read().await.ok().flatten().map_or(version - 1, |read| read.0);
    for _ in 0..100 {
        let outcome = stand.replace(base, &format!("{version}\n")).await;
        if outcome == OperationOutcome::Accepted {
            return;
        }
        assert!(
            matches!(outcome, OperationOutcome::Unavailable(_) | OperationOutcome::Undetermined),
            "{outcome:?}"
        );
        sleep(Duration::from_millis(100)).await;
    }
    panic!("version {version} was not accepted");
}

/// A node that is cut off returns no version that is older than the last accepted one, and accepts nothing. Once it
/// can know that it is cut off, it refuses at once. Within a second of its return it serves the newest state.
#[rstest]
fn an_isolated_node_refuses_at_once(
    #[values(Target::Leader, Target::Follower)] target: Target,
    #[values(Fault::BothWays, Fault::Outward, Fault::Inward)] fault: Fault,
    #[values(3, 5)] voters: usize,
    #[values(1, 2)] seed: u64,
) {
    Simulation::run(seed, None, |simulation| async move {
        let cluster = Cluster::initialized(simulation.clone(), voters).await;
        accept(&cluster.nodes[0], 1).await;
        let leader = cluster.leader();
        let node = if target == Target::Leader { leader } else { (leader + 1) % voters };
        let other = (leader + 2) % voters;
        inject_fault(&cluster, node, fault);
        let began = simulation.elapsed_ms();
        // The version that was accepted last, and those with an undetermined outcome, which may have taken effect.
        let mut version = 1;
        let mut undetermined = Vec::new();
        let mut acknowledged = 0;
        while simulation.elapsed_ms() < began + CUT_MS {
            let asked = simulation.elapsed_ms();
            let read = cluster.nodes[node].read().await;
            let read_ms = simulation.elapsed_ms() - asked;
            assert!(
                read_ms <= CALLER_TIMEOUT_MS,
                "a read took {read_ms} ms, {} ms after the cut",
                asked - began
            );
            let read_version = read.as_ref().ok().and_then(|read| read.as_ref()).map(|read| read.0);
            let possible = |candidate: u64| candidate == version || undetermined.contains(&candidate);
            assert!(read_version.is_none_or(possible), "read {read_version:?}; {version} is accepted");
            let change_began = simulation.elapsed_ms();
            let outcome = cluster.nodes[node].replace(version, &format!("{}\nx", version + 1_000)).await;
            undetermined.push(version + 1_000);
            let change_ms = simulation.elapsed_ms() - change_began;
            assert!(change_ms <= CALLER_TIMEOUT_MS, "a change took {change_ms} ms");
            assert!(
                matches!(outcome, OperationOutcome::Unavailable(_) | OperationOutcome::Undetermined),
                "{outcome:?}"
            );
            if asked > began + fault.detection_ms() {
                assert!(
                    read.is_err() && matches!(outcome, OperationOutcome::Unavailable(_)),
                    "{read:?} {outcome:?}"
                );
                let at_once = read_ms == 0 && change_ms == 0;
                assert!(at_once, "{read_ms} ms and {change_ms} ms, {} ms after the cut", asked - began);
                version = version_at(&cluster.nodes[other]).await + 1;
                accept(&cluster.nodes[other], version).await;
                undetermined.clear();
                acknowledged += 1;
            }
            sleep(Duration::from_millis(200)).await;
        }
        assert!(acknowledged > 10, "changes accepted by the others: {acknowledged}");
        clear_fault(&cluster, node, fault);
        sleep(Duration::from_millis(CALLER_TIMEOUT_MS)).await;
        let read = cluster.nodes[node].read().await.unwrap().unwrap();
        assert_eq!(read.0, version, "the newest version within a second of the return");
        accept(&cluster.nodes[node], version + 1).await;
    });
}

/// A process that was suspended serves the state that it learns after it resumes, not the one that it had before.
#[rstest]
fn a_resumed_node_serves_the_newest_state(
    #[values(Target::Leader, Target::Follower)] target: Target,
    #[values(1, 2, 3)] seed: u64,
) {
    Simulation::run(seed, None, |simulation| async move {
        let cluster = Cluster::initialized(simulation.clone(), 3).await;
        accept(&cluster.nodes[0], 1).await;
        let leader = cluster.leader();
        let node = if target == Target::Leader { leader } else { (leader + 1) % 3 };
        inject_fault(&cluster, node, Fault::Frozen);
        sleep(Duration::from_millis(CUT_MS / 2)).await;
        accept(&cluster.nodes[(leader + 2) % 3], 2).await;
        sleep(Duration::from_millis(CUT_MS / 2)).await;
        clear_fault(&cluster, node, Fault::Frozen);
        let mut served = None;
        for _ in 0..10 {
            if let Ok(read) = cluster.nodes[node].read().await {
                assert_eq!(read, Some((2, "2\n".into())));
                served = read;
            }
            sleep(Duration::from_millis(CALLER_TIMEOUT_MS / 10)).await;
        }
        assert!(served.is_some(), "no read served within a second of the return");
    });
}

/// When the leader is lost, the other nodes hold reads until the next leader is elected: they return no outdated
/// state, and no read takes longer than callers wait.
#[rstest]
fn reads_between_two_leaders_end_in_time(#[values(1, 2, 3)] seed: u64) {
    Simulation::run(seed, None, |simulation| async move {
        let cluster = Cluster::initialized(simulation.clone(), 3).await;
        accept(&cluster.nodes[0], 1).await;
        let leader = cluster.leader();
        cluster.isolate(leader);
        let began = simulation.elapsed_ms();
        let mut refused = 0;
        loop {
            let asked = simulation.elapsed_ms();
            let read = cluster.nodes[(leader + 1) % 3].read().await;
            assert!(
                simulation.elapsed_ms() - asked <= CALLER_TIMEOUT_MS,
                "a read took {} ms",
                simulation.elapsed_ms() - asked
            );
            match read {
                Ok(read) => break assert_eq!(read.unwrap().0, 1),
                Err(_) => refused += 1,
            }
            sleep(Duration::from_millis(50)).await;
        }
        assert!(simulation.elapsed_ms() - began < 4_000, "no new leader served a read in time");
        assert!(refused <= 4, "{refused} refusals between two leaders");
    });
}

/// Result of a read at a node that is cut off, after the others have accepted a new version.
fn read_while_cut_off(target: Target, mutation: Option<&str>) -> Result<Option<(u64, String)>, String> {
    Simulation::run(5, mutation.map(Into::into), |simulation| async move {
        let cluster = Cluster::initialized(simulation, 3).await;
        accept(&cluster.nodes[0], 1).await;
        let leader = cluster.leader();
        let node = if target == Target::Leader { leader } else { (leader + 1) % 3 };
        cluster.isolate(node);
        sleep(Duration::from_millis(Fault::BothWays.detection_ms())).await;
        assert_eq!(cluster.nodes[(leader + 2) % 3].replace(1, "2\n").await, OperationOutcome::Accepted);
        cluster.nodes[node].read().await
    })
}

/// A mutation that lets nodes serve reads without a lease returns an outdated version; the correct code refuses.
#[rstest]
fn reads_without_a_lease_are_detected(#[values(Target::Leader, Target::Follower)] target: Target) {
    let correct = read_while_cut_off(target, None);
    assert!(correct.as_ref().is_err_and(|why| why.contains("out of contact")), "{correct:?}");
    let stale = read_while_cut_off(target, Some("reads-without-lease"));
    assert_eq!(stale, Ok(Some((1, "1\n".into()))), "the mutation must return the outdated version");
}
