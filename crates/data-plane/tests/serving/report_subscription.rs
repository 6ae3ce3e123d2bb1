//! Reports of a zone reach the routers of another one through one of them, and heartbeats stay within a zone
//! (design 3.5, 9.3).

use crate::{
    kit::{board, bounds, names, row, zones},
    stage::{Unread, Wire},
};
use common::{
    Clock, Epoch, Incarnation, NodeId, Region, Tick,
    http::{self, text},
    runtime::{Simulation, bind, spawn},
    settings::{Settings, Timing},
};
use control_plane::{
    Change, ClusterState, Role, membership::Member, state_machine::state_update::StateUpdate, types::NodeInfo,
};
use data_plane::{
    router::{Router, lock},
    serving::{
        Serving, Site,
        replica_report::ReplicaRow,
        replica_view::{ReceivedReport, ReportStore},
        report_publication::sent_now,
    },
};
use hyper::StatusCode;
use rstest::rstest;
use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{sync::watch, time::sleep};

const LIST: ([u8; 4], u16) = ([10, 0, 9, 9], 9);
/// Routers of the zone that is reported, and of the zone that the reports go to.
const REPORTED: usize = 2;
const SUBSCRIBED: usize = 4;
/// Until each has its first reports.
const SETTLED_MS: u64 = 5_000;

fn timing() -> Timing {
    Timing::default()
}

fn ip(n: usize) -> IpAddr {
    IpAddr::from([10, 0, 8, n as u8 + 1])
}

fn settings(n: usize) -> Settings {
    Settings {
        cluster: "line".into(),
        node: format!("p{n}"),
        zone: if n < REPORTED { "n1" } else { "s1" }.into(),
        rpc_addr: SocketAddr::new(ip(n), 1),
        http: SocketAddr::new(ip(n), 80),
        rpc_advertise: None,
        http_advertise: None,
        seeds: vec![],
        may_bootstrap: true,
        data: None,
        timing: timing(),
        log: "error".into(),
    }
}

fn info(n: usize) -> NodeInfo {
    NodeInfo::of(&settings(n), Role::Router, Incarnation(n as u64 + 1))
}

fn site(n: usize) -> Site {
    let region = if n < REPORTED { "north" } else { "south" };
    Site {
        region: Region::new(region),
        zones: zones().into_iter().filter(|(zone, _)| zone.as_str() != "n2").collect(),
        readiness: None,
        directory: None,
        list: LIST.into(),
        list_per_s: 100.0,
        list_lag_ms: 0,
        bounds: bounds(),
    }
}

fn members() -> ClusterState {
    let mut state = ClusterState::bootstrapped("line", vec![]);
    for n in 0..REPORTED + SUBSCRIBED {
        let _ = state.apply(state.index.next(), &Change::Join(info(n)));
    }
    state
}

/// A router whose lease is renewed by hand, since there is no control node; by its own clock.
async fn start(n: usize, renewed: Arc<AtomicBool>) -> Arc<Serving> {
    let (set, clock) = (settings(n), Clock::default());
    let member = Member::new(set.clone(), info(n), clock.clone());
    let _ = member.install(StateUpdate::Snapshot(Box::new(members())), "test");
    let router = Router::new(set.clone(), member.clone(), clock.clone());
    spawn(async move {
        loop {
            if renewed.load(Ordering::Acquire) {
                member.extend_lease(Epoch(n as u64 + 1), member.clock.now());
            }
            sleep(Duration::from_millis(50)).await;
        }
    });
    let serving = Serving::new(router.clone(), Arc::new(Wire(names())), Arc::new(Unread), site(n));
    let listener = bind(set.rpc_addr).await.expect("its own address");
    spawn(common::rpc::listen(listener, set.me(), data_plane::rpc::SERVICE, {
        let router = router.clone();
        move |node, request| router.clone().answer(node, request)
    }));
    spawn(router.send_heartbeats());
    serving.watch_all();
    serving
}

struct Fleet {
    world: Arc<Simulation>,
    routers: Vec<Arc<Serving>>,
    renewed: Arc<AtomicBool>,
}

impl Fleet {
    async fn start(world: Arc<Simulation>) -> Self {
        let list = SocketAddr::from(LIST);
        let listener = bind(list).await.expect("the list's address");
        let (end, ended) = watch::channel(false);
        world.host(list.ip()).spawn(async move {
            let page = |path: &str| if path.starts_with("/n1/") { "r1 ready\nr2 ready" } else { "" };
            let handler = move |_, request: hyper::Request<hyper::body::Incoming>| {
                let page = page(request.uri().path());
                async move { Ok(text(StatusCode::OK, page)) }
            };
            http::serve(listener, Arc::default(), ended, handler).await;
            drop(end);
        });
        let renewed = Arc::new(AtomicBool::new(true));
        let mut routers = Vec::new();
        for n in 0..REPORTED + SUBSCRIBED {
            routers.push(world.host(ip(n)).spawn(start(n, renewed.clone())).await.expect("a router"));
        }
        let fleet = Self { world, routers, renewed };
        fleet.pass(SETTLED_MS, true).await;
        fleet
    }

    /// Time goes on, with or without renewals of the leases.
    async fn pass(&self, ms: u64, renewed: bool) {
        self.renewed.store(renewed, Ordering::Release);
        sleep(Duration::from_millis(ms)).await;
    }

    /// Calls of one kind from a zone to another, counted while time goes on.
    async fn calls(&self, step: &str, from: &str, to: &str, ms: u64, renewed: bool) -> u64 {
        self.world.traffic.begin();
        self.pass(ms, renewed).await;
        let counted = self.world.traffic.end();
        let in_zone = |ip: &IpAddr, zone: &str| {
            let n = (0..REPORTED + SUBSCRIBED).find(|n| self::ip(*n) == *ip);
            n.is_some_and(|n| settings(n).zone == zone)
        };
        let matches = |(caller, called): &(IpAddr, IpAddr)| in_zone(caller, from) && in_zone(called, to);
        let of = counted.calls.iter().filter(|((ends, kind), _)| kind.1 == step && matches(ends));
        of.map(|(_, calls)| calls.calls).sum()
    }

    fn knows(&self, n: usize) -> usize {
        self.routers[n].fleet.load().of(&"chat".into()).len()
    }

    /// What a router knows, by the clock of its own host.
    async fn at<T: Send + 'static>(&self, n: usize, f: impl FnOnce(&Router) -> T + Send + 'static) -> T {
        let router = self.routers[n].router.clone();
        self.world.host(ip(n)).spawn(async move { f(&router) }).await.expect("it runs")
    }

    async fn report_age_ms(&self, n: usize) -> u64 {
        let serving = self.routers[n].clone();
        let age = async move {
            let reports = lock(&serving.reports);
            reports.by_zone.get(&"n1".into()).map_or(u64::MAX, |held| serving.now().since(held.at))
        };
        self.world.host(ip(n)).spawn(age).await.expect("it runs")
    }
}

#[test]
fn a_report_crosses_between_zones_once() {
    Simulation::run(5, None, |world| async move {
        let fleet = Fleet::start(world).await;
        for n in 0..REPORTED + SUBSCRIBED {
            assert_eq!(fleet.knows(n), 2, "p{n}");
        }
        let calls = fleet.calls("watch replicas", "s1", "n1", 10_000, true).await;
        // Each answer is a new report.
        let reports = 10_000 / (timing().probe_interval_ms / 2);
        assert!((reports - 1..=reports + 2).contains(&calls), "{calls} calls, {reports} reports");
        for n in REPORTED..REPORTED + SUBSCRIBED {
            let age = fleet.report_age_ms(n).await;
            assert!(age < timing().probe_interval_ms, "p{n} has a report of {age} ms");
        }
    });
}

/// The router that passes reports on ends, is cut off, or stands still: the others of its zone have reports again
/// before they are too old.
#[test]
fn a_lost_relay_is_passed_over() {
    for how in ["killed", "cut off from the reported zone", "frozen"] {
        Simulation::run(6, None, |world| async move {
            let fleet = Fleet::start(world).await;
            let state = fleet.routers[REPORTED].router.cluster_state();
            let ranked = control_plane::state_machine::singleton::ranked_holders(
                &state,
                "relay/n1",
                Some(&"s1".into()),
            );
            let relay = ranked[0].info.rpc_addr.ip();
            match how {
                "killed" => fleet.world.host(relay).kill(),
                "frozen" => fleet.world.host(relay).freeze(),
                _ => {
                    let reported = (0..REPORTED).map(ip).chain([LIST.0.into()]);
                    fleet.world.partition(reported.flat_map(|other| [(relay, other), (other, relay)]));
                }
            }
            fleet.pass(timing().report_max_age_ms() + 2_000, true).await;
            for n in (REPORTED..REPORTED + SUBSCRIBED).filter(|n| ip(*n) != relay) {
                let age = fleet.report_age_ms(n).await;
                assert!(age < timing().report_max_age_ms(), "{how}: p{n} has a report of {age} ms");
            }
        });
    }
}

/// While leases are renewed no heartbeat leaves its zone; once they are in doubt each member is asked, and heard
/// before the lease ends.
#[test]
fn heartbeats_leave_a_zone_only_in_need() {
    Simulation::run(7, None, |world| async move {
        let fleet = Fleet::start(world).await;
        assert_eq!(fleet.calls("heartbeat", "n1", "s1", 5_000, true).await, 0);
        assert_eq!(fleet.calls("heartbeat", "s1", "n1", 5_000, true).await, 0);
        assert!(fleet.calls("heartbeat", "s1", "s1", 5_000, true).await > 0);
        assert!(!fleet.at(0, |r| r.is_reachable(&"p2".into())).await);
        assert!(fleet.at(0, |r| r.is_reachable(&"p1".into())).await);
        fleet.pass(timing().lease_ms + 100, false).await;
        for n in 0..REPORTED + SUBSCRIBED {
            assert!(!fleet.at(n, |r| r.member.has_lease()).await, "p{n}");
            for other in (0..REPORTED + SUBSCRIBED).filter(|other| *other != n) {
                let heard = move |r: &Router| r.is_reachable(&NodeId::new(format!("p{other}")));
                assert!(fleet.at(n, heard).await, "p{n} has not heard p{other}");
            }
            assert!(!fleet.at(n, Router::cut_off).await, "p{n} takes itself for cut off while all are heard");
        }
    });
}

/// What is cold where the report is made counts as cold no shorter anywhere, whatever the report and the questions
/// for it take on their way, through a relay too. Seen to fail: it was counted from when it was asked for.
#[rstest]
fn a_warm_up_never_ends_early_on_the_way(
    #[values(1, 60, 250)] way_ms: u64,
    #[values(false, true)] relay: bool,
) {
    // Each hop: the question travels, the answer travels; both sides count by a clock of their own.
    const LEFT_MS: u64 = 2_000;
    let made = 10_000;
    let mut report = board("n1", 1, vec![ReplicaRow { cold_left_ms: LEFT_MS, ..row(1, 0) }]);
    let mut arrived = made;
    for hop in 0..=u64::from(relay) {
        // The report lies with its sender for a while before it is asked for.
        let (asked, sent) = (arrived + 30 - 10, arrived + 30 + way_ms);
        if hop > 0 {
            let at = report.fresh_at(Tick(asked - 30), Tick(arrived));
            let held = ReceivedReport { board: report.clone(), at, received: Tick(arrived) };
            report = sent_now(&held, Tick(sent), way_ms);
        } else {
            let held = ReceivedReport { board: report.clone(), at: Tick(made), received: Tick(made) };
            report = sent_now(&held, Tick(sent), way_ms);
        }
        arrived = sent + way_ms;
    }
    let mut store = ReportStore::default();
    let at = report.fresh_at(Tick(made + 20), Tick(arrived));
    assert!(store.take_received(ReceivedReport { board: report, at, received: Tick(arrived) }));
    let cold_until = store.fleet(&zones(), 3_000).of(&"chat".into())[0].cold_until;
    assert!(cold_until >= Tick(made + LEFT_MS), "{cold_until:?} of {}", made + LEFT_MS);
    let hops = 1 + u64::from(relay);
    assert!(cold_until <= Tick(made + LEFT_MS + 2 * hops * way_ms), "{cold_until:?}");
}
