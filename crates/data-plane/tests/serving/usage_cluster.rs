//! Routers that hold the usage duty in turn, in a simulated network. The control nodes are simulated too, with the
//! real lease rules of the leader, and so is the platform, which checks what it receives.

use crate::{
    router_fixture::{TestProtocol, UnreadableDocuments},
    test_data::{bounds, header_names, zones},
    usage_platform::{PLATFORM, Platform},
};
use common::{
    Clock, Epoch, Incarnation, Index, Region, Tenant, Tick,
    clock::time_of_day_ms,
    runtime::{Simulation, bind, random, spawn},
    settings::{Settings, Timing},
};
use control_plane::{
    Change, ClusterState, Role,
    membership::{Leases, LocalMember, Renewal},
    state_machine::{singleton::holder_of, state_update::StateUpdate},
    types::NodeInfo,
};
use data_plane::{
    router::{Router, lock},
    serving::{Serving, Site, UsageDuty},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::time::sleep;

/// Two routers in each of three zones.
pub const ROUTERS: usize = 6;
pub const WINDOW_MS: u64 = 5_000;
const ZONES: [&str; 3] = ["n1", "n2", "s1"];
/// Longest travel time of a lease renewal or of its answer.
const MAX_TRAVEL_MS: u64 = 40;
/// Longest travel time of a new cluster state: a former holder may not know it for that long.
const MAX_STATE_TRAVEL_MS: u64 = 900;
/// Longest pause between two starts at a router.
const MAX_START_PAUSE_MS: u64 = 30;

pub fn ip(n: usize) -> IpAddr {
    IpAddr::from([10, 0, 8, n as u8 + 1])
}

/// Proportions as in production.
pub fn timing() -> Timing {
    Timing { lease_ms: 1_200, rpc_timeout_ms: 500, ..Timing::default() }
}

pub fn duty(n: usize) -> UsageDuty {
    UsageDuty {
        address: PLATFORM.into(),
        holder: format!("m{n}"),
        window_ms: WINDOW_MS,
        delay_ms: 10_000,
        reacquire_pause_ms: 3_000,
        calls_per_s: 50.0,
        max_lost_machines: 2,
    }
}

fn settings(n: usize) -> Settings {
    Settings {
        cluster: "line".into(),
        node: format!("p{n}"),
        zone: ZONES[n % 3].into(),
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

fn site(n: usize) -> Site {
    Site {
        region: Region::new("north"),
        zones: zones(),
        readiness_addr: None,
        directory_addr: None,
        list_addr: PLATFORM.into(),
        list_calls_per_s: 100.0,
        list_lag_ms: 0,
        bounds: bounds(),
        usage_duty: Some(duty(n)),
    }
}

/// The state that the control nodes share.
struct Core {
    state: ClusterState,
    leases: Leases,
    /// Routers that can't reach the control nodes.
    cut: BTreeSet<usize>,
}

/// The actual starts, by window of the time of day and by tenant.
type ActualStarts = BTreeMap<u64, BTreeMap<Tenant, u64>>;

/// The routers, the control nodes and the platform.
pub struct UsageCluster {
    pub simulation: Arc<Simulation>,
    pub platform: Arc<Platform>,
    core: Arc<Mutex<Core>>,
    actual_starts: Arc<Mutex<ActualStarts>>,
    starts: u64,
}

impl UsageCluster {
    pub async fn start(simulation: Arc<Simulation>) -> Self {
        let state = ClusterState::bootstrapped("line", vec![]);
        let core = Core { state, leases: Leases::new_leader(Tick(0)), cut: BTreeSet::new() };
        let platform = Platform::start(&simulation).await;
        let (core, actual_starts) = (Arc::new(Mutex::new(core)), Arc::default());
        spawn(keep_leases(simulation.clone(), core.clone()));
        let mut cluster = Self { simulation, platform, core, actual_starts, starts: 0 };
        for n in 0..ROUTERS {
            cluster.start_router(n);
        }
        cluster
    }

    /// Starts a router's process, which begins to record starts.
    pub fn start_router(&mut self, n: usize) {
        self.starts += 1;
        let (core, actual_starts) = (self.core.clone(), self.actual_starts.clone());
        let process = run_router(n, Incarnation(self.starts), self.simulation.clone(), core, actual_starts);
        self.simulation.host(ip(n)).spawn(process);
    }

    pub fn kill(&self, n: usize) {
        self.simulation.host(ip(n)).kill();
    }

    /// The holder by the state of the control nodes.
    pub fn holder(&self) -> Option<usize> {
        let core = lock(&self.core);
        let role = holder_of(&core.state, "usage", None)?;
        (0..ROUTERS).find(|n| ip(*n) == role.holder.info.rpc_addr.ip())
    }

    /// Sets whether a router is cut off from the control nodes.
    pub fn cut_from_core(&self, n: usize, cut: bool) {
        let mut core = lock(&self.core);
        if cut {
            core.cut.insert(n)
        } else {
            core.cut.remove(&n)
        };
    }

    /// Cuts the links from a router to the others, or those from the others to it.
    pub fn cut_from_others(&self, n: usize, outwards: bool) -> BTreeSet<(IpAddr, IpAddr)> {
        let others = (0..ROUTERS).filter(|other| *other != n).map(ip);
        let links: BTreeSet<_> =
            others.map(|other| if outwards { (ip(n), other) } else { (other, ip(n)) }).collect();
        self.simulation.partition(links.clone());
        links
    }

    /// The newest window that has ended.
    pub fn newest_ended(&self) -> u64 {
        time_of_day_ms() / WINDOW_MS - 1
    }

    /// Whether the platform received a report on a window in time, with each tenant's count within `error` of the
    /// actual one.
    pub fn is_reported_within(&self, window: u64, error: f64) -> bool {
        let (actual_starts, reported) = (lock(&self.actual_starts), self.platform.accepted(window));
        let Some((reported, at)) = reported else { return false };
        let true_counts = actual_starts.get(&window).cloned().unwrap_or_default();
        let tenants: BTreeSet<&Tenant> = true_counts.keys().chain(reported.keys()).collect();
        let is_off = |tenant: &&Tenant| {
            let (actual, count) = (true_counts.get(*tenant).copied(), reported.get(*tenant).copied());
            let actual = actual.unwrap_or(0) as f64;
            (count.unwrap_or(0) as f64 - actual).abs() > (actual * error).max(2.0)
        };
        at <= (window + 1) * WINDOW_MS + duty(0).delay_ms && !tenants.iter().any(is_off)
    }
}

/// The leader's part of the leases: removes members whose leases have expired.
async fn keep_leases(simulation: Arc<Simulation>, core: Arc<Mutex<Core>>) {
    loop {
        sleep(Duration::from_millis(100)).await;
        let mut core = lock(&core);
        let Core { state, leases, .. } = &mut *core;
        for change in leases.expired_members(state, &timing(), Tick(simulation.elapsed_ms())) {
            let _ = state.apply(state.index.next(), &change);
        }
    }
}

/// The leader's answer to a lease renewal.
fn renewal(core: &Mutex<Core>, n: usize, info: &NodeInfo, now: Tick) -> Option<(Epoch, Index)> {
    let mut core = lock(core);
    if core.cut.contains(&n) {
        return None;
    }
    let Core { state, leases, .. } = &mut *core;
    match leases.renew(state, &timing(), info, now) {
        Renewal::Extended(epoch) => Some((epoch, state.index)),
        Renewal::Pending(change) => {
            change.map(|change: Change| state.apply(state.index.next(), &change));
            None
        }
    }
}

/// Waits for a random travel time.
async fn travel(max_ms: u64) {
    sleep(Duration::from_millis(random::<u64>() % max_ms)).await;
}

/// Renews a router's lease.
async fn keep_lease(n: usize, member: Arc<LocalMember>, simulation: Arc<Simulation>, core: Arc<Mutex<Core>>) {
    loop {
        let sent = member.clock.now();
        travel(MAX_TRAVEL_MS).await;
        let renewed = renewal(&core, n, &member.info, Tick(simulation.elapsed_ms()));
        travel(MAX_TRAVEL_MS).await;
        if let Some((epoch, index)) = renewed.filter(|_| !lock(&core).cut.contains(&n)) {
            member.note_announced_index(index, sent);
            member.extend_lease(epoch, sent);
        }
        sleep(Duration::from_millis(timing().renew_interval_ms())).await;
    }
}

/// Sends new cluster states to a router.
async fn keep_state(n: usize, member: Arc<LocalMember>, core: Arc<Mutex<Core>>) {
    loop {
        let state = lock(&core).state.clone();
        travel(MAX_STATE_TRAVEL_MS).await;
        if !lock(&core).cut.contains(&n) {
            let _ = member.install(StateUpdate::Snapshot(Box::new(state)), "test");
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// A router's process, which records random starts.
async fn run_router(
    n: usize,
    incarnation: Incarnation,
    simulation: Arc<Simulation>,
    core: Arc<Mutex<Core>>,
    actual_starts: Arc<Mutex<ActualStarts>>,
) {
    let (settings, clock) = (settings(n), Clock::default());
    let info = NodeInfo::of(&settings, Role::Router, incarnation);
    let member = LocalMember::new(settings.clone(), info, clock.clone());
    let router = Router::new(settings.clone(), member.clone(), clock);
    let serving = Serving::new(
        router.clone(),
        Arc::new(TestProtocol(header_names())),
        Arc::new(UnreadableDocuments),
        site(n),
    );
    spawn(keep_lease(n, member.clone(), simulation.clone(), core.clone()));
    spawn(keep_state(n, member, core));
    let listener = loop {
        // The listener of the previous process may still exist.
        match bind(settings.rpc_addr).await {
            Ok(listener) => break listener,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    };
    spawn(common::rpc::listen(listener, settings.local_node(), data_plane::rpc::SERVICE, {
        move |node, request| router.clone().answer(node, request)
    }));
    serving.spawn_usage_tasks();
    loop {
        travel(MAX_START_PAUSE_MS).await;
        let tenant = Tenant::new(["club", "guild", "league"][random::<u64>() as usize % 3]);
        lock(&serving.router.usage.starts).record(&tenant, serving.now(), serving.now());
        let window = simulation.time_of_day_ms() / WINDOW_MS;
        *lock(&actual_starts).entry(window).or_default().entry(tenant).or_default() += 1;
    }
}
