//! Routers of two zones in a simulated network without control nodes; the tests renew the routers' leases themselves.

use crate::{
    router_fixture::{TestProtocol, UnreadableDocuments},
    test_data::{bounds, header_names, zones},
};
use common::{
    Clock, Epoch, Incarnation, Region, Tick,
    http::{self, text},
    runtime::{Simulation, bind, spawn},
    settings::{Settings, Timing},
};
use control_plane::{
    Change, ClusterState, Role,
    membership::LocalMember,
    state_machine::{singleton, state_update::StateUpdate},
    types::NodeInfo,
};
use data_plane::{
    router::{Router, lock},
    serving::{Serving, Site, replica_view::ReceivedReport},
};
use hyper::StatusCode;
use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{sync::watch, time::sleep};

/// Address of the platform's list.
pub const LIST: ([u8; 4], u16) = ([10, 0, 9, 9], 9);
/// Number of routers in zone `n1`, whose replicas are reported.
pub const REPORTED: usize = 2;
/// Number of routers in zone `s1`, which receives the reports.
pub const SUBSCRIBED: usize = 4;
/// Time until every router has its first reports.
const SETTLED_MS: u64 = 5_000;
/// Epochs of restarted routers are above this.
const RESTARTED_EPOCH: u64 = 100;
/// Interval at which `users_after` checks what the routers would use.
pub const SAMPLE_MS: u64 = 50;

/// Proportions as in production: a lease is shorter than a request for a report may take.
pub fn timing() -> Timing {
    Timing { lease_ms: 1_200, ..Timing::default() }
}

pub fn ip(n: usize) -> IpAddr {
    IpAddr::from([10, 0, 8, n as u8 + 1])
}

pub fn settings(n: usize) -> Settings {
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
        resources: Default::default(),
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
        readiness_addr: None,
        directory_addr: None,
        list_addr: LIST.into(),
        list_calls_per_s: 100.0,
        list_lag_ms: 0,
        bounds: bounds(),
        usage_duty: None,
    }
}

fn members() -> ClusterState {
    let mut state = ClusterState::bootstrapped("line", vec![]);
    for n in 0..REPORTED + SUBSCRIBED {
        let _ = state.apply(state.index.next(), &Change::Join(info(n)));
    }
    state
}

/// Starts a router whose lease is renewed by a task, since there is no control node. It reads no list and requests no
/// reports yet.
async fn start_in_epoch(n: usize, epoch: Epoch, renewed: Arc<AtomicBool>) -> Arc<Serving> {
    let (settings, clock) = (settings(n), Clock::default());
    let member = LocalMember::new(settings.clone(), info(n), clock.clone());
    let _ = member.install(StateUpdate::Snapshot(Box::new(members())), "test");
    let router = Router::new(settings.clone(), member.clone(), clock.clone());
    spawn(async move {
        loop {
            if renewed.load(Ordering::Acquire) {
                member.extend_lease(epoch, member.clock.now());
            }
            sleep(Duration::from_millis(50)).await;
        }
    });
    let serving = Serving::new(
        router.clone(),
        Arc::new(TestProtocol(header_names())),
        Arc::new(UnreadableDocuments),
        site(n),
    );
    let listener = bind(settings.rpc_addr).await.expect("its own address");
    spawn(common::rpc::listen(listener, settings.local_node(), data_plane::rpc::SERVICE, {
        let router = router.clone();
        move |node, request| router.clone().answer(node, request)
    }));
    spawn(router.send_heartbeats());
    serving
}

/// What the platform answers: pages of zone `n1` by token (other zones have no replicas), or one status for all calls.
#[derive(Clone, Default)]
struct Listing {
    pages: Vec<(&'static str, &'static str)>,
    status: Option<StatusCode>,
    /// Complete reads of zone `n1`.
    complete_reads: usize,
}

impl Listing {
    fn answer(&mut self, path: &str) -> (StatusCode, &'static str) {
        let Some(token) = path.strip_prefix("/n1/") else {
            return (self.status.unwrap_or(StatusCode::OK), "");
        };
        let page = self.pages.iter().find(|(page, _)| *page == token).map(|(_, text)| *text);
        match (self.status, page) {
            (Some(status), _) => (status, ""),
            (None, Some(text)) => {
                self.complete_reads += usize::from(!text.contains("next "));
                (StatusCode::OK, text)
            }
            (None, None) => (StatusCode::BAD_REQUEST, ""),
        }
    }
}

/// The routers, and the platform's list.
pub struct Fleet {
    pub world: Arc<Simulation>,
    pub routers: Vec<Arc<Serving>>,
    renewed: Arc<AtomicBool>,
    listing: Arc<Mutex<Listing>>,
}

impl Fleet {
    /// Starts routers that subscribe to reports, and waits until they have their first ones.
    pub async fn start(world: Arc<Simulation>) -> Self {
        let list = SocketAddr::from(LIST);
        let listener = bind(list).await.expect("the list's address");
        let (end, ended) = watch::channel(false);
        let pages = vec![("first", "r1 ready\nr2 ready")];
        let listing = Arc::new(Mutex::new(Listing { pages, ..Listing::default() }));
        let listed = listing.clone();
        world.host(list.ip()).spawn(async move {
            let handler = move |_, request: hyper::Request<http::RequestBody>| {
                let (status, page) = lock(&listed).answer(request.uri().path());
                async move { Ok(text(status, page)) }
            };
            http::serve(listener, Arc::default(), Arc::default(), ended, handler).await;
            drop(end);
        });
        let fleet = Self { listing, ..Self::start_without_reports(world).await };
        for n in 0..REPORTED + SUBSCRIBED {
            fleet.run_on(n, Serving::spawn_report_tasks).await;
        }
        fleet.advance(SETTLED_MS, true).await;
        fleet
    }

    /// Starts routers that know only those replicas that a test passes to them.
    pub async fn start_without_reports(world: Arc<Simulation>) -> Self {
        let renewed = Arc::new(AtomicBool::new(true));
        let mut routers = Vec::new();
        for n in 0..REPORTED + SUBSCRIBED {
            let router = start_in_epoch(n, Epoch(n as u64 + 1), renewed.clone());
            routers.push(world.host(ip(n)).spawn(router).await.expect("a router"));
        }
        Self { world, routers, renewed, listing: Arc::default() }
    }

    /// Restarts a router's process, with a new epoch.
    pub async fn restart(&mut self, n: usize) {
        let renewed = self.renewed.clone();
        let router = start_in_epoch(n, Epoch(RESTARTED_EPOCH + n as u64), renewed);
        self.routers[n] = self.world.host(ip(n)).spawn(router).await.expect("a router");
        self.run_on(n, Serving::spawn_report_tasks).await;
    }

    /// From now on the list has these rows for zone `n1`; with `None` the platform answers every call with 503.
    pub fn set_list(&self, rows: Option<&'static str>) {
        match rows {
            Some(rows) => self.set_list_pages(&[("first", rows)]),
            None => self.set_list_status(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// The same with several pages; the first one has the token `first`.
    pub fn set_list_pages(&self, pages: &[(&'static str, &'static str)]) {
        let mut listing = lock(&self.listing);
        (listing.pages, listing.status) = (pages.to_vec(), None);
    }

    /// From now on the platform answers every call with this status.
    pub fn set_list_status(&self, status: StatusCode) {
        lock(&self.listing).status = Some(status);
    }

    /// Waits until a router has read the complete list of zone `n1` once more.
    pub async fn wait_for_list_read(&self) {
        let before = lock(&self.listing).complete_reads;
        while lock(&self.listing).complete_reads == before {
            self.advance(1, true).await;
        }
    }

    /// The publisher of zone `n1`, and the router of zone `s1` that relays its reports.
    pub fn publisher_and_relay(&self) -> (usize, usize) {
        let state = self.routers[REPORTED].router.cluster_state();
        let first = |role: &str, zone: &str| {
            let ranked = singleton::ranked_holders(&state, role, Some(&zone.into()));
            let address = ranked[0].info.rpc_addr.ip();
            (0..REPORTED + SUBSCRIBED).find(|n| ip(*n) == address).expect("one of the routers")
        };
        (first("board/n1", "n1"), first("relay/n1", "s1"))
    }

    /// Whether a router would send a request to replica `r1` now; `false` while it is frozen.
    pub async fn uses_r1(&self, n: usize) -> bool {
        self.uses(n, "r1").await
    }

    /// Whether a router would send a request to a replica now; `false` while it is frozen.
    pub async fn uses(&self, n: usize, id: &'static str) -> bool {
        let serving = self.routers[n].clone();
        let usable = async move {
            let view = serving.replica_view.load();
            view.replicas_of(&"chat".into())
                .iter()
                .any(|replica| replica.id == id.into() && serving.is_usable(replica))
        };
        let task = self.world.host(ip(n)).spawn(usable);
        let answer = tokio::time::timeout(Duration::from_millis(1), task).await;
        answer.is_ok_and(|usable| usable.unwrap_or(false))
    }

    /// Which of the routers use replica `r1` after `ms` milliseconds or later, checked for a while; each with the time.
    pub async fn users_after(
        &self,
        ms: u64,
        routers: impl Iterator<Item = usize> + Clone,
    ) -> Vec<(usize, u64)> {
        const WATCHED_MS: u64 = 6_000;
        let mut users = Vec::new();
        self.advance(ms, true).await;
        for at in (ms..ms + WATCHED_MS).step_by(SAMPLE_MS as usize) {
            for n in routers.clone() {
                if self.uses_r1(n).await {
                    users.push((n, at));
                }
            }
            self.advance(SAMPLE_MS, true).await;
        }
        users
    }

    /// Lets time pass, with or without renewal of the leases.
    pub async fn advance(&self, ms: u64, renewed: bool) {
        self.renewed.store(renewed, Ordering::Release);
        sleep(Duration::from_millis(ms)).await;
    }

    /// Number of calls of one kind from one zone to another during the next `ms` milliseconds.
    pub async fn count_calls(&self, step: &str, from: &str, to: &str, ms: u64, renewed: bool) -> u64 {
        self.world.traffic.begin();
        self.advance(ms, renewed).await;
        let counted = self.world.traffic.end();
        let in_zone = |ip: &IpAddr, zone: &str| {
            let n = (0..REPORTED + SUBSCRIBED).find(|n| self::ip(*n) == *ip);
            n.is_some_and(|n| settings(n).zone == zone)
        };
        let matches = |(caller, called): &(IpAddr, IpAddr)| in_zone(caller, from) && in_zone(called, to);
        let matching = counted.calls.iter().filter(|((ends, kind), _)| kind.1 == step && matches(ends));
        matching.map(|(_, calls)| calls.calls).sum()
    }

    /// Number of replicas that a router knows.
    pub fn known_replicas(&self, n: usize) -> usize {
        self.routers[n].replica_view.load().replicas_of(&"chat".into()).len()
    }

    /// Runs a function at a router, on its own host.
    pub async fn run_on<T: Send + 'static>(
        &self,
        n: usize,
        action: impl FnOnce(&Arc<Serving>) -> T + Send + 'static,
    ) -> T {
        let serving = self.routers[n].clone();
        self.world.host(ip(n)).spawn(async move { action(&serving) }).await.expect("it runs")
    }

    /// Runs a function on a router's state, on its own host.
    pub async fn query<T: Send + 'static>(
        &self,
        n: usize,
        action: impl FnOnce(&Router) -> T + Send + 'static,
    ) -> T {
        self.run_on(n, |serving| action(&serving.router)).await
    }

    /// Time since a moment that is recorded with the report on zone `n1` that a router holds.
    async fn time_since(&self, n: usize, moment: impl Fn(&ReceivedReport) -> Tick + Send + 'static) -> u64 {
        self.run_on(n, move |serving| {
            let reports = lock(&serving.reports);
            reports.by_zone.get(&"n1".into()).map_or(u64::MAX, |held| serving.now().since(moment(held)))
        })
        .await
    }

    /// Time since a router received its newest report.
    pub async fn ms_since_report(&self, n: usize) -> u64 {
        self.time_since(n, |held| held.received_at).await
    }

    /// Age of the report that a router holds.
    pub async fn report_age_ms(&self, n: usize) -> u64 {
        self.time_since(n, |held| held.fresh_at).await
    }
}
