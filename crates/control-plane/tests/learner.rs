//! Control nodes without a disk (design 2.10): they lead others to the voters, and decide nothing.

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

/// Voters expected of a cluster that bears two losses.
const EXPECTED: usize = 5;
/// Machines with a disk, two in each of three zones.
const WITH_DISK: usize = 6;

struct MemoryLog(Weak<ControlNode>, IpAddr);

impl LogWriter for MemoryLog {
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

fn rpc(n: usize) -> SocketAddr {
    SocketAddr::new(ip(n), 7100)
}

fn settings(n: usize, seeds: &[usize]) -> Settings {
    Settings {
        cluster: "c".into(),
        node: format!("n{n}"),
        zone: format!("z{}", n % 3),
        rpc_addr: rpc(n),
        http: SocketAddr::new(ip(n), 8080),
        rpc_advertise: None,
        http_advertise: None,
        seeds: seeds.iter().map(|n| rpc(*n)).collect(),
        may_bootstrap: true,
        data: None,
        timing: Timing::default(),
        log: "info".into(),
    }
}

/// The daemon's own control node, once it has answered an HTTP request.
type Slot = Arc<Mutex<Option<Arc<ControlNode>>>>;

fn run_daemon(world: &Simulation, settings: Settings, learner: bool, first_start: bool) -> Slot {
    let (slot, own) = (Slot::default(), settings.rpc_addr.ip());
    let shown = slot.clone();
    world.host(own).spawn(async move {
        let listeners = settings.bind().await.unwrap();
        let log: LogWriterFactory = Box::new(move |node| Box::new(MemoryLog(node, own)));
        let blank = Start::from(DurableState::blank(&blank_voter(&settings)));
        let start = if learner { diskless_start(&settings) } else { (blank, log) };
        let handler = move |node: Arc<ControlNode>, _, _| {
            *lock(&shown) = Some(node);
            async { Ok(common::http::text(hyper::StatusCode::OK, "")) }
        };
        let bootstrap = Bootstrap { expected_voters: EXPECTED, first_start };
        daemon::run(settings, bootstrap, listeners, start, handler, std::future::pending()).await;
    });
    slot
}

struct Fleet {
    world: Arc<Simulation>,
    seeds: Vec<usize>,
    nodes: Vec<Slot>,
}

impl Fleet {
    /// Machines with a disk first, then three without; seeds are named by their number.
    fn start(world: Arc<Simulation>, seeds: &[usize], first_start: bool) -> Self {
        let run = |n| run_daemon(&world, settings(n, seeds), n >= WITH_DISK, first_start);
        let nodes = (0..WITH_DISK + 3).map(run).collect();
        Self { world, seeds: seeds.to_vec(), nodes }
    }

    async fn node(&self, n: usize) -> Option<Arc<ControlNode>> {
        let to = SocketAddr::new(ip(n), 8080);
        let from = "10.9.9.9".parse().unwrap();
        let _ = common::http::ask(from, to, hyper::Method::GET, "/", &[], "", 1_000).await;
        lock(&self.nodes[n]).clone()
    }

    /// The leader that a node sends operators to, waited for until `end`.
    async fn leader_known_at(&self, n: usize, end: u64) -> Option<SocketAddr> {
        while self.world.ms() < end {
            if let Some(leader) = self.node(n).await.and_then(|node| node.leader_http_addr()) {
                return Some(leader);
            }
            sleep(Duration::from_millis(50)).await;
        }
        None
    }

    /// The processes of all learners end at once, and start anew with nothing.
    fn restart_learners(&mut self) {
        for n in WITH_DISK..self.nodes.len() {
            self.world.host(ip(n)).kill();
            self.nodes[n] = run_daemon(&self.world, settings(n, &self.seeds), true, false);
        }
    }
}

/// The cluster forms whichever machines are its seeds: as many voters as bear the losses, spread over the zones.
#[rstest]
#[case::no_seed_has_a_disk(&[6, 7, 8])]
#[case::the_lowest_has_one(&[0, 7, 8])]
#[case::the_lowest_has_none(&[5, 6, 7])]
#[case::two_have_one(&[1, 4, 8])]
#[case::all_have_one(&[0, 2, 5])]
fn a_cluster_forms_by_any_seeds(#[case] seeds: &'static [usize]) {
    Simulation::run(11, None, |world| async move {
        let fleet = Fleet::start(world, seeds, true);
        for n in WITH_DISK..WITH_DISK + 3 {
            assert!(fleet.leader_known_at(n, 20_000).await.is_some(), "n{n} knows no leader");
        }
        let learner = fleet.node(WITH_DISK).await.unwrap();
        let status = learner.status();
        let voters = &status.cluster_state.voters;
        assert_eq!((voters.len(), status.voting, learner.is_learner()), (EXPECTED, false, true));
        let zones: BTreeSet<_> = voters.iter().map(|voter| voter.zone.clone()).collect();
        assert_eq!(zones.len(), 3, "{voters:?}");
        assert!(voters.iter().all(|voter| voter.rpc_addr < rpc(WITH_DISK)), "a learner votes: {voters:?}");
        let all_are_members = || learner.status().cluster_state.members.len() == WITH_DISK + 3;
        while !all_are_members() {
            assert!(fleet.world.ms() < 20_000, "{:?}", learner.status().cluster_state.members.keys());
            sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Blank machines behind seeds without a disk prove nothing: the others may hold a cluster.
#[test]
fn without_a_first_start_none_is_founded_by_learners() {
    Simulation::run(12, None, |world| async move {
        let fleet = Fleet::start(world, &[6, 7, 8], false);
        assert_eq!(fleet.leader_known_at(0, 20_000).await, None);
    });
}

/// All seeds have lost what they knew at the same moment: the leader tells them.
#[test]
fn learners_that_all_start_anew_find_the_voters() {
    Simulation::run(13, None, |world| async move {
        let mut fleet = Fleet::start(world, &[6, 7, 8], true);
        for n in WITH_DISK..WITH_DISK + 3 {
            assert!(fleet.leader_known_at(n, 20_000).await.is_some());
        }
        let before = fleet.world.ms();
        fleet.restart_learners();
        for n in WITH_DISK..WITH_DISK + 3 {
            assert!(fleet.leader_known_at(n, before + 4_000).await.is_some(), "n{n} knows no leader");
        }
    });
}

/// A member that is told of learners alone joins through them.
#[test]
fn a_member_joins_by_learners_alone() {
    Simulation::run(14, None, |world| async move {
        let fleet = Fleet::start(world.clone(), &[6, 7, 8], true);
        assert!(fleet.leader_known_at(6, 20_000).await.is_some());
        let set = settings(40, &[6, 7, 8]);
        let info = NodeInfo::of(&set, Role::Router, Incarnation(7));
        let member = LocalMember::new(set, info, Clock::default());
        let started = member.clone();
        world.host(ip(40)).spawn(async move { started.start() }).await.unwrap();
        let end = world.ms() + 3_000;
        while !(member.has_lease() && member.caught_up()) {
            assert!(world.ms() < end, "no lease");
            sleep(Duration::from_millis(20)).await;
        }
    });
}

/// What an operator of the product's own API asks of a learner, the leader decides.
#[test]
fn a_learner_hands_operations_to_the_leader() {
    Simulation::run(15, None, |world| async move {
        let fleet = Fleet::start(world.clone(), &[6, 7, 8], true);
        assert!(fleet.leader_known_at(7, 20_000).await.is_some());
        let learner = fleet.node(7).await.unwrap();
        let service = cluster::operator_service(learner.clone());
        let told = world.host(ip(7)).spawn(async move {
            let first = service.replace(0, "3\nfirst").await;
            let second = service.replace(0, "4\nother").await;
            (first, second, service.read().await.unwrap().map(|(version, _)| version))
        });
        let conflict = OperationOutcome::Conflict { current: Some(3) };
        assert_eq!(told.await.unwrap(), (OperationOutcome::Accepted, conflict, Some(3)));
    });
}

fn voter(n: u8) -> VoterInfo {
    VoterInfo {
        number: n,
        incarnation: Incarnation(10 + u64::from(n)),
        node: format!("n{n}").as_str().into(),
        zone: "z".into(),
        rpc_addr: rpc(usize::from(n)),
        http: rpc(usize::from(n)),
    }
}

fn learner() -> Voter {
    let mut learner = Voter::new(voter(6), "c", (0..3).map(rpc).collect(), Timing::default(), None, Tick(0));
    learner.learner = true;
    learner
}

/// Neither votes nor entries nor a first state are taken by a learner, and nothing is written.
#[test]
fn a_learner_takes_part_in_no_decision() {
    let by = VoterId { number: 1, incarnation: Incarnation(11) };
    let state = ClusterState::bootstrapped(
        "c",
        vec![voter(0), voter(6)]
            .into_iter()
            .enumerate()
            .map(|(n, voter)| VoterInfo { number: n as u8, ..voter })
            .collect(),
    );
    let messages = [
        Message::Bootstrap { cluster_state: state.clone() },
        Message::LeaderQuery(Tick(1)),
        Message::JoinRequest { voter: voter(3) },
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
        let effects = learner.step(Event::Msg(rpc(1), message.clone()), Tick(1_000));
        assert!(effects.is_empty(), "{message:?}: {effects:?}");
    }
    assert!(!learner.initialized && learner.commit_index() == Index(0));
}

/// It never goes back, nor to another cluster.
#[test]
fn a_learner_follows_forward_only() {
    let mut learner = learner();
    let state = |cluster: &str, index| {
        let state = ClusterState::bootstrapped(cluster, vec![voter(1)]);
        Box::new(ClusterState { index: Index(index), ..state })
    };
    let follow = |learner: &mut Voter, cluster, index| {
        let event = Event::CommittedState { cluster_state: state(cluster, index), leader: Some(rpc(1)) };
        learner.step(event, Tick(2_000)).len()
    };
    assert_eq!(follow(&mut learner, "c", 5), 1);
    assert_eq!(follow(&mut learner, "c", 4), 0);
    assert_eq!(follow(&mut learner, "another", 9), 0);
    assert_eq!((learner.commit_index(), learner.leader().map(|l| l.rpc_addr)), (Index(5), Some(rpc(1))));
}

/// The same first state goes out until there is a cluster, and none once one is heard of.
#[test]
fn a_learner_proposes_one_first_state_only() {
    let mut learner = learner();
    learner.me.rpc_addr = rpc(0);
    (learner.first_start, learner.expected_voters) = (true, 3);
    let (mut states, mut now) = (Vec::new(), Tick(1_000));
    while now < Tick(3_000) {
        now = now + 100;
        for seed in [1, 2] {
            learner.step(Event::Msg(rpc(seed), Message::Learner), now);
        }
        for n in 3..7 {
            introduce_blank(&mut learner, rpc(usize::from(n)), voter(n), now);
        }
        for effect in learner.step(Event::Timer, now) {
            if let Effect::Send { msg: Message::Bootstrap { cluster_state }, .. } = effect {
                states.push(cluster_state);
            }
        }
    }
    assert!(states.len() > 6, "{}", states.len());
    assert!(states.iter().all(|state| *state == states[0] && state.voters.len() == 3));
    let known = Message::Discover {
        voter: voter(4),
        initialized: true,
        voters: states[0].voters.clone(),
        index: Index(0),
    };
    let effects = learner.step(Event::Msg(rpc(4), known), now + 100);
    assert!(matches!(effects.as_slice(), [Effect::VotersDiscovered(voters)] if voters.len() == 3));
    let effects = learner.step(Event::Timer, now + 300);
    let again = |effect: &Effect| matches!(effect, Effect::Send { msg: Message::Bootstrap { .. }, .. });
    assert!(!effects.iter().any(again), "{effects:?}");
}

#[rstest]
#[case(0, 1)]
#[case(1, 3)]
#[case(2, 5)]
#[case(9, 7)]
fn voters_bear_the_losses(#[case] losses: usize, #[case] voters: usize) {
    assert_eq!(voters_to_tolerate(losses), voters);
}
