//! Heartbeats of several hundred routers while the control nodes are gone (design 3.5), in virtual time: the connections
//! of each router stay bounded, and each still knows whether it is in contact with a majority.

use common::{
    Clock, Epoch, Incarnation, NodeId, Tick,
    runtime::{Simulation, bind, spawn},
    settings::{Settings, Timing},
};
use control_plane::{
    Change, ClusterState, Member, Role,
    membership::LocalMember,
    state_machine::state_update::{InstallResult, StateUpdate},
    types::NodeInfo,
};
use data_plane::{
    contact_ages::{ContactAges, LastContacts},
    heartbeat::{MAX_PEERS, select_peers},
    router::Router,
    rpc::SERVICE,
};
use rstest::rstest;
use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time::sleep;

const ZONES: usize = 6;
/// Time for which leases are renewed at first.
const CALM_MS: u64 = 3_000;
/// Renewals by the tests' own task.
const RENEWAL_MS: u64 = 50;

/// Proportions as on the deployments.
fn timing() -> Timing {
    Timing { lease_ms: 1_600, rpc_timeout_ms: 666, ..Timing::default() }
}

fn ip(n: usize) -> IpAddr {
    IpAddr::from([10, 1, (n / 200) as u8, (n % 200) as u8 + 1])
}

fn settings(n: usize) -> Settings {
    Settings {
        cluster: "many".into(),
        node: format!("p{n}"),
        zone: format!("zone-{}", n % ZONES),
        rpc_addr: SocketAddr::new(ip(n), 1),
        http: SocketAddr::new(ip(n), 80),
        rpc_advertise: None,
        http_advertise: None,
        seeds: vec![],
        may_bootstrap: true,
        data: None,
        timing: timing(),
        resources: Default::default(),
        log: "error".into(),
    }
}

fn members(count: usize) -> ClusterState {
    let mut state = ClusterState::bootstrapped("many", vec![]);
    for n in 0..count {
        let info = NodeInfo::of(&settings(n), Role::Router, Incarnation(n as u64 + 1));
        let _ = state.apply(state.index.next(), &Change::Join(info));
    }
    state
}

struct Fleet {
    simulation: Arc<Simulation>,
    routers: Vec<Arc<Router>>,
    renewed: Arc<AtomicBool>,
}

async fn start_router(n: usize, state: ClusterState, renewed: Arc<AtomicBool>) -> Arc<Router> {
    let (settings, clock) = (settings(n), Clock::default());
    let info = NodeInfo::of(&settings, Role::Router, Incarnation(n as u64 + 1));
    let member = LocalMember::new(settings.clone(), info, clock.clone());
    let _ = member.install(StateUpdate::Snapshot(Box::new(state)), "test");
    let router = Router::new(settings.clone(), member.clone(), clock);
    spawn(async move {
        loop {
            if renewed.load(Ordering::Acquire) {
                member.extend_lease(Epoch(n as u64 + 1), member.clock.now());
            }
            sleep(Duration::from_millis(RENEWAL_MS)).await;
        }
    });
    let listener = bind(settings.rpc_addr).await.expect("its own address");
    let answering = router.clone();
    spawn(common::rpc::listen(listener, settings.local_node(), SERVICE, move |node, request| {
        answering.clone().answer(node, request)
    }));
    spawn(router.clone().send_heartbeats());
    router
}

impl Fleet {
    /// Starts routers that are members already, and lets them run for a while with their leases renewed.
    async fn start(simulation: Arc<Simulation>, count: usize) -> Self {
        let (state, renewed) = (members(count), Arc::new(AtomicBool::new(true)));
        let mut routers = Vec::new();
        for n in 0..count {
            let router = start_router(n, state.clone(), renewed.clone());
            routers.push(simulation.host(ip(n)).spawn(router).await.expect("a router"));
        }
        sleep(Duration::from_millis(CALM_MS)).await;
        Self { simulation, routers, renewed }
    }

    fn end_renewals(&self) {
        self.renewed.store(false, Ordering::Release);
    }

    /// Runs a function on a router's state, on its own host.
    async fn query<T: Send + 'static>(
        &self,
        n: usize,
        query: impl FnOnce(&Router) -> T + Send + 'static,
    ) -> T {
        let router = self.routers[n].clone();
        self.simulation.host(ip(n)).spawn(async move { query(&router) }).await.expect("it runs")
    }

    async fn cut_off(&self, routers: impl Iterator<Item = usize>) -> Vec<usize> {
        let mut cut_off = Vec::new();
        for n in routers {
            if self.query(n, Router::cut_off).await {
                cut_off.push(n);
            }
        }
        cut_off
    }
}

/// Without the control nodes all routers serve on, from before their leases end, and none connects to all others.
#[rstest]
#[case::few(12)]
#[case::as_many_as_the_limit(MAX_PEERS + 1)]
#[case::one_more(MAX_PEERS + 2)]
#[case::hundreds(240)]
fn routers_without_control_nodes_serve_on_with_bounded_connections(#[case] count: usize) {
    Simulation::run(7, None, |simulation| async move {
        let fleet = Fleet::start(simulation.clone(), count).await;
        fleet.end_renewals();
        for _ in 0..20 {
            sleep(Duration::from_millis(timing().lease_ms / 8)).await;
            assert_eq!(
                fleet.cut_off(0..count).await,
                Vec::<usize>::new(),
                "at {} ms",
                simulation.elapsed_ms()
            );
        }
        for n in 0..count {
            let opened = fleet.query(n, |router| router.rpc_client.connections_opened()).await;
            assert!(opened <= 2 * MAX_PEERS as u64, "router {n} opened {opened} connections");
        }
    });
}

/// While the control nodes are gone, the smaller side of a partition stops within a lease, and the larger one serves on.
#[rstest]
fn only_the_larger_side_of_a_partition_serves_on(#[values(1, 2, 3)] seed: u64) {
    const COUNT: usize = 120;
    const SMALLER: usize = 48;
    Simulation::run(seed, None, |simulation| async move {
        let fleet = Fleet::start(simulation.clone(), COUNT).await;
        fleet.end_renewals();
        sleep(Duration::from_millis(2 * timing().lease_ms)).await;
        let across = (0..SMALLER).flat_map(|a| (SMALLER..COUNT).map(move |b| (ip(a), ip(b))));
        simulation.partition(across.flat_map(|(a, b)| [(a, b), (b, a)]));
        sleep(Duration::from_millis(timing().lease_ms + 1)).await;
        for _ in 0..20 {
            assert_eq!(fleet.cut_off(0..SMALLER).await.len(), SMALLER, "at {} ms", simulation.elapsed_ms());
            assert_eq!(
                fleet.cut_off(SMALLER..COUNT).await,
                Vec::<usize>::new(),
                "at {} ms",
                simulation.elapsed_ms()
            );
            sleep(Duration::from_millis(100)).await;
        }
    });
}

/// A change that one router alone has reaches all that serve without a lease: a contact counts only with the state.
#[test]
fn contacts_bring_the_newest_state() {
    const COUNT: usize = 120;
    Simulation::run(9, None, |simulation| async move {
        let fleet = Fleet::start(simulation.clone(), COUNT).await;
        let mut state = members(COUNT);
        let evacuation =
            Change::Evacuate { op: "op".into(), zone: "zone-1".into(), on: true, seen: state.index };
        let _ = state.apply(state.index.next(), &evacuation);
        fleet.end_renewals();
        let installed = fleet
            .query(0, move |router| router.member.install(StateUpdate::Snapshot(Box::new(state)), "test"));
        assert_eq!(installed.await, InstallResult::Advanced);
        sleep(Duration::from_millis(2 * timing().lease_ms)).await;
        for n in 0..COUNT {
            let serves_by_old_state =
                fleet.query(n, |router| !router.cut_off() && router.cluster_state().evacuated.is_empty());
            assert!(!serves_by_old_state.await, "router {n}");
        }
    });
}

#[test]
fn peers_are_few_and_chosen_about_equally_often() {
    const COUNT: usize = 370;
    let state = members(COUNT);
    let mut chosen = vec![0; COUNT];
    for own in state.members.keys() {
        let peers = select_peers(own, state.members.values());
        assert_eq!(peers.len(), MAX_PEERS);
        for peer in peers {
            assert_ne!(peer.info.node, *own);
            chosen[peer.info.incarnation.0 as usize - 1] += 1;
        }
    }
    let (least, most) = (chosen.iter().min().unwrap(), chosen.iter().max().unwrap());
    assert!(*least >= 1 && *most <= 3 * MAX_PEERS, "{least} to {most}");
}

fn names(state: &ClusterState) -> Vec<NodeId> {
    state.members.values().map(|member: &Member| member.info.node.clone()).collect()
}

/// A contact that was passed on is never newer than it was: ages are rounded up, and count from before the request.
#[rstest]
fn a_contact_that_was_passed_on_is_no_newer(
    #[values(0, 1, 7, 100, 1_599, 1_600)] age_ms: u64,
    #[values(0, 50)] on_its_way_ms: u64,
) {
    const LEASE_MS: u64 = 1_600;
    let state = members(3);
    let nodes = names(&state);
    let contacts = LastContacts::from([(nodes[1].clone(), Tick(50_000 - age_ms))]);
    let ages = ContactAges::new(&state, &nodes[0], &contacts, Tick(50_000), LEASE_MS);
    let mut received = LastContacts::new();
    let sent = Tick(90_000 - on_its_way_ms);
    ages.merge_into(&mut received, &state, sent);
    let at = received[&nodes[1]];
    assert!(at <= sent - age_ms && sent.since(at) <= age_ms + LEASE_MS.div_ceil(254), "{at:?}");
    assert_eq!(received[&nodes[0]], sent, "the sender itself");
    assert!(!received.contains_key(&nodes[2]), "no contact");
}

#[test]
fn contacts_that_are_too_old_or_of_another_membership_are_not_passed_on() {
    let state = members(3);
    let nodes = names(&state);
    let contacts = LastContacts::from([(nodes[1].clone(), Tick(48_399))]);
    let ages = ContactAges::new(&state, &nodes[0], &contacts, Tick(50_000), 1_600);
    let mut received = LastContacts::new();
    ages.merge_into(&mut received, &state, Tick(90_000));
    assert!(!received.contains_key(&nodes[1]));
    let mut received = LastContacts::new();
    ages.merge_into(&mut received, &members(4), Tick(90_000));
    assert!(received.is_empty());
}
