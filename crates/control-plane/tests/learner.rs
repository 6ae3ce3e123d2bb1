//! Learners, control nodes without a disk (design 2.10): they tell other nodes who the voters are and never vote.

use common::{
    Clock, Incarnation, Index, Term, Tick, lock,
    runtime::{Simulation, spawn_at},
    settings::{Settings, Timing},
};
use control_plane::{
    ClusterState, Role,
    consensus::{AppendBody, DurableState, Effect, Event, Message, Record, Voter, VoterId},
    control_node::{
        Bootstrap, ControlNode, LogWriter, LogWriterFactory, Start, diskless_start, voters_to_tolerate,
    },
    daemon,
    membership::LocalMember,
    operator::OperationOutcome,
    storage::blank_voter,
    types::{NodeInfo, VoterInfo},
};
use rstest::rstest;
use samples::introduce_blank;
use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, Weak},
    time::Duration,
};
use tokio::time::sleep;

mod cluster;
mod samples;

/// Number of voters of a cluster that survives two failures.
const EXPECTED_VOTERS: usize = 5;
/// Number of machines with a disk, two in each of three zones.
const MACHINES_WITH_DISK: usize = 6;

/// Reports each write as synced after 2 ms and stores nothing.
struct MemoryLogWriter(Weak<ControlNode>, IpAddr);

impl LogWriter for MemoryLogWriter {
    fn write(&self, token: u64, _: Record) {
        let node = self.0.clone();
        spawn_at(self.1, async move {
            sleep(Duration::from_millis(2)).await;
            if let Some(node) = node.upgrade() {
                node.step(Event::Synced(token));
            }
        });
    }
}

fn ip(n: usize) -> IpAddr {
    IpAddr::from([10, 0, n as u8, 1])
}

fn rpc_addr(n: usize) -> SocketAddr {
    SocketAddr::new(ip(n), 7100)
}

fn settings(n: usize, seeds: &[usize]) -> Settings {
    Settings {
        cluster: "c".into(),
        node: format!("n{n}"),
        zone: format!("z{}", n % 3),
        rpc_addr: rpc_addr(n),
        http: SocketAddr::new(ip(n), 8080),
        rpc_advertise: None,
        http_advertise: None,
        seeds: seeds.iter().map(|n| rpc_addr(*n)).collect(),
        may_bootstrap: true,
        data: None,
        timing: Timing::default(),
        resources: Default::default(),
        log: "info".into(),
    }
}

/// The control node of a daemon, set when the daemon handles an HTTP request.
type NodeSlot = Arc<Mutex<Option<Arc<ControlNode>>>>;

/// Starts a daemon on its host.
fn run_daemon(simulation: &Simulation, settings: Settings, learner: bool, first_start: bool) -> NodeSlot {
    let (slot, ip) = (NodeSlot::default(), settings.rpc_addr.ip());
    let shared_slot = slot.clone();
    simulation.host(ip).spawn(async move {
        let listeners = settings.bind().await.unwrap();
        let log: LogWriterFactory = Box::new(move |node| Box::new(MemoryLogWriter(node, ip)));
        let blank = Start::from(DurableState::blank(&blank_voter(&settings)));
        let start = if learner { diskless_start(&settings) } else { (blank, log) };
        let handler = move |node: Arc<ControlNode>, _, _| {
            *lock(&shared_slot) = Some(node);
            async { Ok(common::http::text(hyper::StatusCode::OK, "")) }
        };
        let bootstrap = Bootstrap { expected_voters: EXPECTED_VOTERS, first_start };
        daemon::run(settings, bootstrap, listeners, start, handler, std::future::pending()).await;
    });
    slot
}

/// The daemons of a system: machines with a disk, and learners.
struct Deployment {
    simulation: Arc<Simulation>,
    seeds: Vec<usize>,
    nodes: Vec<NodeSlot>,
}

impl Deployment {
    /// Starts the machines with a disk, then three learners; `seeds` are node numbers.
    fn start(simulation: Arc<Simulation>, seeds: &[usize], first_start: bool) -> Self {
        let run = |n| run_daemon(&simulation, settings(n, seeds), n >= MACHINES_WITH_DISK, first_start);
        let nodes = (0..MACHINES_WITH_DISK + 3).map(run).collect();
        Self { simulation, seeds: seeds.to_vec(), nodes }
    }

    /// The control node of a daemon, once that has answered an HTTP request.
    async fn node(&self, n: usize) -> Option<Arc<ControlNode>> {
        let to = SocketAddr::new(ip(n), 8080);
        let from = "10.9.9.9".parse().unwrap();
        let _ = common::http::send_request(from, to, hyper::Method::GET, "/", &[], "", 1_000).await;
        lock(&self.nodes[n]).clone()
    }

    /// The leader to which node `n` directs operators, if it knows one before `end`.
    async fn leader_known_at(&self, n: usize, end: u64) -> Option<SocketAddr> {
        while self.simulation.elapsed_ms() < end {
            if let Some(leader) = self.node(n).await.and_then(|node| node.leader_http_addr()) {
                return Some(leader);
            }
            sleep(Duration::from_millis(50)).await;
        }
        None
    }

    /// Kills the processes of all learners at once and starts new ones.
    fn restart_learners(&mut self) {
        for n in MACHINES_WITH_DISK..self.nodes.len() {
            self.simulation.host(ip(n)).kill();
            self.nodes[n] = run_daemon(&self.simulation, settings(n, &self.seeds), true, false);
        }
    }
}

/// Whichever machines are the seeds, a cluster is bootstrapped with the expected number of voters, in all zones.
#[rstest]
#[case::no_seed_has_a_disk(&[6, 7, 8])]
#[case::only_node_0_has_a_disk(&[0, 7, 8])]
#[case::only_node_5_has_a_disk(&[5, 6, 7])]
#[case::two_seeds_have_a_disk(&[1, 4, 8])]
#[case::all_seeds_have_a_disk(&[0, 2, 5])]
fn any_seeds_bootstrap_a_cluster(#[case] seeds: &'static [usize]) {
    Simulation::run(11, None, |simulation| async move {
        let deployment = Deployment::start(simulation, seeds, true);
        for n in MACHINES_WITH_DISK..MACHINES_WITH_DISK + 3 {
            assert!(deployment.leader_known_at(n, 20_000).await.is_some(), "n{n} knows no leader");
        }
        let learner = deployment.node(MACHINES_WITH_DISK).await.unwrap();
        let status = learner.status();
        let voters = &status.cluster_state.voters;
        assert_eq!((voters.len(), status.voting, learner.is_learner()), (EXPECTED_VOTERS, false, true));
        let zones: BTreeSet<_> = voters.iter().map(|voter| voter.zone.clone()).collect();
        assert_eq!(zones.len(), 3, "{voters:?}");
        assert!(
            voters.iter().all(|voter| voter.rpc_addr < rpc_addr(MACHINES_WITH_DISK)),
            "a learner votes: {voters:?}"
        );
        let all_are_members = || learner.status().cluster_state.members.len() == MACHINES_WITH_DISK + 3;
        while !all_are_members() {
            assert!(
                deployment.simulation.elapsed_ms() < 20_000,
                "{:?}",
                learner.status().cluster_state.members.keys()
            );
            sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Learners that are the seeds bootstrap no cluster unless the whole system starts for the first time: one may exist on
/// machines that they don't know.
#[test]
fn learners_bootstrap_only_at_the_first_start() {
    Simulation::run(12, None, |simulation| async move {
        let deployment = Deployment::start(simulation, &[6, 7, 8], false);
        assert_eq!(deployment.leader_known_at(0, 20_000).await, None);
    });
}

/// When all seeds are learners and restart at the same time, they know no voter; the leader contacts them.
#[test]
fn learners_that_all_restart_find_the_voters() {
    Simulation::run(13, None, |simulation| async move {
        let mut deployment = Deployment::start(simulation, &[6, 7, 8], true);
        for n in MACHINES_WITH_DISK..MACHINES_WITH_DISK + 3 {
            assert!(deployment.leader_known_at(n, 20_000).await.is_some());
        }
        let before = deployment.simulation.elapsed_ms();
        deployment.restart_learners();
        for n in MACHINES_WITH_DISK..MACHINES_WITH_DISK + 3 {
            assert!(deployment.leader_known_at(n, before + 4_000).await.is_some(), "n{n} knows no leader");
        }
    });
}

/// A member whose seeds are all learners joins through them.
#[test]
fn a_member_joins_through_learners() {
    Simulation::run(14, None, |simulation| async move {
        let deployment = Deployment::start(simulation.clone(), &[6, 7, 8], true);
        assert!(deployment.leader_known_at(6, 20_000).await.is_some());
        let settings = settings(40, &[6, 7, 8]);
        let info = NodeInfo::of(&settings, Role::Router, Incarnation(7));
        let member = LocalMember::new(settings, info, Clock::default());
        let started = member.clone();
        simulation.host(ip(40)).spawn(async move { started.start() }).await.unwrap();
        let end = simulation.elapsed_ms() + 3_000;
        while !(member.has_lease() && member.caught_up()) {
            assert!(simulation.elapsed_ms() < end, "no lease");
            sleep(Duration::from_millis(20)).await;
        }
    });
}

/// A learner forwards operations of its operator API to the leader, which decides them.
#[test]
fn a_learner_forwards_operations_to_the_leader() {
    Simulation::run(15, None, |simulation| async move {
        let deployment = Deployment::start(simulation.clone(), &[6, 7, 8], true);
        assert!(deployment.leader_known_at(7, 20_000).await.is_some());
        let learner = deployment.node(7).await.unwrap();
        let service = cluster::operator_service(learner.clone());
        let outcomes = simulation.host(ip(7)).spawn(async move {
            let first = service.replace(0, "3\nfirst").await;
            let second = service.replace(0, "4\nother").await;
            (first, second, service.read().await.unwrap().map(|(version, _)| version))
        });
        let conflict = OperationOutcome::Conflict { current: Some(3) };
        assert_eq!(outcomes.await.unwrap(), (OperationOutcome::Accepted, conflict, Some(3)));
    });
}

fn voter_info(n: u8) -> VoterInfo {
    VoterInfo {
        number: n,
        incarnation: Incarnation(10 + u64::from(n)),
        node: format!("n{n}").as_str().into(),
        zone: "z".into(),
        rpc_addr: rpc_addr(usize::from(n)),
        http: rpc_addr(usize::from(n)),
    }
}

fn learner() -> Voter {
    let mut learner =
        Voter::new(voter_info(6), "c", (0..3).map(rpc_addr).collect(), Timing::default(), None, Tick(0));
    learner.learner = true;
    learner
}

/// A learner ignores vote requests, appends, join requests and bootstraps, and writes nothing.
#[test]
fn a_learner_takes_no_part_in_consensus() {
    let by = VoterId { number: 1, incarnation: Incarnation(11) };
    let state = ClusterState::bootstrapped(
        "c",
        vec![voter_info(0), voter_info(6)]
            .into_iter()
            .enumerate()
            .map(|(n, voter)| VoterInfo { number: n as u8, ..voter })
            .collect(),
    );
    let messages = [
        Message::Bootstrap { cluster_state: state.clone() },
        Message::LeaderQuery(Tick(1)),
        Message::JoinRequest { voter: voter_info(3) },
        Message::PreVote { by, term: Term(9) },
        Message::VoteRequest { by, term: Term(9), commit_index: Index(0) },
        Message::Append {
            by,
            to: 1,
            term: Term(9),
            commit_index: Index(0),
            sent_at: Tick(5),
            body: AppendBody::Install { truncate_to: Index(0), snapshot: Some(state), entries: vec![] },
        },
    ];
    let mut learner = learner();
    for message in messages {
        let effects = learner.step(Event::Msg(rpc_addr(1), message.clone()), Tick(1_000));
        assert!(effects.is_empty(), "{message:?}: {effects:?}");
    }
    assert!(!learner.initialized && learner.commit_index() == Index(0));
}

/// A learner adopts no older state and no state of another cluster.
#[test]
fn a_learner_adopts_newer_states_only() {
    let mut learner = learner();
    let state = |cluster: &str, index| {
        let state = ClusterState::bootstrapped(cluster, vec![voter_info(1)]);
        Box::new(ClusterState { index: Index(index), ..state })
    };
    let adopt = |learner: &mut Voter, cluster, index| {
        let event = Event::CommittedState { cluster_state: state(cluster, index), leader: Some(rpc_addr(1)) };
        learner.step(event, Tick(2_000)).len()
    };
    assert_eq!(adopt(&mut learner, "c", 5), 1);
    assert_eq!(adopt(&mut learner, "c", 4), 0);
    assert_eq!(adopt(&mut learner, "another", 9), 0);
    assert_eq!(
        (learner.commit_index(), learner.leader().map(|leader| leader.rpc_addr)),
        (Index(5), Some(rpc_addr(1)))
    );
}

/// A learner sends the same initial state again until a cluster exists, and no more once it learns of one.
#[test]
fn a_learner_proposes_a_single_initial_state() {
    let mut learner = learner();
    learner.identity.rpc_addr = rpc_addr(0);
    (learner.first_start, learner.expected_voters) = (true, 3);
    let (mut states, mut now) = (Vec::new(), Tick(1_000));
    while now < Tick(3_000) {
        now = now + 100;
        for seed in [1, 2] {
            learner.step(Event::Msg(rpc_addr(seed), Message::Learner), now);
        }
        for n in 3..7 {
            introduce_blank(&mut learner, rpc_addr(usize::from(n)), voter_info(n), now);
        }
        for effect in learner.step(Event::Timer, now) {
            if let Effect::Send { msg: Message::Bootstrap { cluster_state }, .. } = effect {
                states.push(cluster_state);
            }
        }
    }
    assert!(states.len() > 6, "{}", states.len());
    assert!(states.iter().all(|state| *state == states[0] && state.voters.len() == 3));
    let discover = Message::Discover {
        voter: voter_info(4),
        initialized: true,
        voters: states[0].voters.clone(),
        index: Index(0),
    };
    let effects = learner.step(Event::Msg(rpc_addr(4), discover), now + 100);
    assert!(matches!(effects.as_slice(), [Effect::VotersDiscovered(voters)] if voters.len() == 3));
    let effects = learner.step(Event::Timer, now + 300);
    let is_bootstrap =
        |effect: &Effect| matches!(effect, Effect::Send { msg: Message::Bootstrap { .. }, .. });
    assert!(!effects.iter().any(is_bootstrap), "{effects:?}");
}

#[rstest]
#[case(0, 1)]
#[case(1, 3)]
#[case(2, 5)]
#[case(9, 7)]
fn number_of_voters_that_survives_failures(#[case] failures: usize, #[case] voters: usize) {
    assert_eq!(voters_to_tolerate(failures), voters);
}
