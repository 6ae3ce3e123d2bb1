//! Voters as daemons run them, on hosts of a world in memory: virtual time, links that can be cut,
//! disks that sync after a moment.

// Each test program uses a part of it.
#![allow(dead_code)]

use common::{
    Clock,
    runtime::{Host, Simulation, bind, spawn, spawn_at},
    settings::{Settings, Timing},
};
use configuration::{Diagnostic, DocumentFormat, RequestLimits, RouteMap};
use control_plane::{
    Change, Role,
    consensus::DurableState,
    consensus::{Event, Record},
    control_node::{Bootstrap, ControlNode, LogWriter, LogWriterFactory, Start},
    membership::LocalMember,
    operator::{OperationOutcome, OperatorService},
    rpc::ProposalOutcome,
    storage::blank_voter,
    types::NodeInfo,
};
use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, Weak},
    time::Duration,
};
use tokio::time::sleep;

/// A document is its version's number on a line of its own, then whatever follows.
pub struct RpcClient;

impl DocumentFormat for RpcClient {
    fn read(&self, text: &str) -> Result<RouteMap, Vec<Diagnostic>> {
        let first = text.lines().next().unwrap_or_default();
        let diagnostic = |_| vec![Diagnostic { line: 1, column: 1, message: "no version".into() }];
        first.parse().map(|v| RouteMap::new(v, vec![], vec![], RequestLimits::default())).map_err(diagnostic)
    }

    /// The change's first line takes the place of the version; the rest is added at the end.
    fn amend(&self, text: &str, change: &str) -> Result<String, Vec<Diagnostic>> {
        let body = |t: &str| t.split_once('\n').map(|(_, b)| b.to_string()).unwrap_or_default();
        let version = change.lines().next().unwrap_or_default();
        Ok(format!("{version}\n{}{}", body(text), body(change)))
    }
}

struct MemDrive {
    core: Weak<ControlNode>,
    ip: IpAddr,
}

impl LogWriter for MemDrive {
    fn write(&self, token: u64, _: Record) {
        let core = self.core.clone();
        spawn_at(self.ip, async move {
            sleep(Duration::from_millis(2)).await;
            if let Some(core) = core.upgrade() {
                core.step(Event::Synced(token));
            }
        });
    }
}

#[derive(Clone)]
pub struct Stand {
    pub core: Arc<ControlNode>,
    operator_service: Arc<OperatorService>,
    host: Arc<Host>,
    pub ip: IpAddr,
}

pub struct Cluster {
    pub world: Arc<Simulation>,
    pub at: Vec<Stand>,
}

pub fn ip(n: usize) -> IpAddr {
    IpAddr::from([10, 0, n as u8, 1])
}

fn settings(n: usize, of: usize, may_bootstrap: bool) -> Settings {
    Settings {
        cluster: "c".into(),
        node: format!("s{n}"),
        zone: format!("a{n}"),
        rpc_addr: SocketAddr::new(ip(n), 7100),
        http: SocketAddr::new(ip(n), 8080),
        rpc_advertise: None,
        http_advertise: None,
        seeds: (0..of.min(3)).map(|n| SocketAddr::new(ip(n), 7100)).collect(),
        may_bootstrap,
        data: None,
        timing: Timing::default(),
        log: "info".into(),
    }
}

async fn stand(set: Settings, voters: usize, host: Arc<Host>, waits: bool) -> Stand {
    let bootstrap = Bootstrap { expected_voters: voters, ..Bootstrap::default() };
    let ip = set.rpc_addr.ip();
    let make: LogWriterFactory = Box::new(move |core| Box::new(MemDrive { core, ip }));
    let rpc_listener = bind(set.rpc_addr).await.unwrap();
    let start = match waits {
        true => Start::AwaitingDisk(Box::new(blank_voter(&set))),
        false => Start::from(DurableState::blank(&blank_voter(&set))),
    };
    let core = ControlNode::start(set.clone(), bootstrap, start, make);
    let info = NodeInfo::of(&set, Role::Control, core.status().me.incarnation);
    LocalMember::new(set.clone(), info, Clock::default()).start();
    spawn(control_plane::control_node::listen(rpc_listener, set.me(), core.clone()));
    let operator_service = Arc::new(operator_service(core.clone()));
    Stand { core, operator_service, host, ip }
}

/// Operators' service at a node, for documents of this rig.
pub fn operator_service(core: Arc<ControlNode>) -> OperatorService {
    let zones = ["a0", "far"].map(Into::into).into_iter().collect();
    OperatorService::new(core, Arc::new(RpcClient), zones)
}

impl Stand {
    /// What is done on a host is counted by that host's clock.
    async fn on<T: Send + 'static>(
        &self,
        f: impl FnOnce(Arc<OperatorService>) -> std::pin::Pin<Box<dyn Future<Output = T> + Send>>,
    ) -> T {
        self.host.spawn(f(self.operator_service.clone())).await.unwrap()
    }

    pub async fn replace(&self, base_version: u64, text: &str) -> OperationOutcome {
        let text = text.to_string();
        self.on(move |d| Box::pin(async move { d.replace(base_version, &text).await })).await
    }

    pub async fn amend(&self, base_version: u64, change: &str) -> OperationOutcome {
        let change = change.to_string();
        self.on(move |d| Box::pin(async move { d.amend(base_version, &change).await })).await
    }

    pub async fn evacuate(&self, zone: &str, on: bool) -> OperationOutcome {
        let zone = zone.to_string();
        self.on(move |d| Box::pin(async move { d.evacuate(&zone, on).await })).await
    }

    pub async fn read(&self) -> Result<Option<(u64, String)>, String> {
        let read = self.on(|d| Box::pin(async move { d.read().await })).await;
        let read = read.map_err(|why| why.to_string())?;
        Ok(read.map(|(version, text)| (version, text.to_string())))
    }

    /// A change as it reaches the leader from another node.
    pub async fn propose(&self, change: Change) -> ProposalOutcome {
        let core = self.core.clone();
        self.host.spawn(async move { core.propose_here(change, 800).await }).await.unwrap()
    }

    /// Its process stands still.
    pub fn freeze(&self) {
        self.host.freeze();
    }

    pub fn thaw(&self) {
        self.host.thaw();
    }

    /// Names of the zones that are evacuated by the newest accepted state.
    pub async fn evacuated(&self) -> Vec<String> {
        let core = self.core.clone();
        let state = self.host.spawn(async move { core.newest_state().await }).await.unwrap().unwrap();
        state.evacuated.iter().map(|a| a.to_string()).collect()
    }

    pub fn outcomes(&self) -> usize {
        self.core.status().cluster_state.recent_operations.len()
    }
}

impl Cluster {
    /// Starts all voters; `may_bootstrap` is whether they may found a cluster.
    pub async fn start(world: Arc<Simulation>, voters: usize, may_bootstrap: bool) -> Self {
        Self::started(world, voters, may_bootstrap, None).await
    }

    /// The disk of one can't be opened yet.
    pub async fn start_waiting(world: Arc<Simulation>, voters: usize, waits: usize) -> Self {
        Self::started(world, voters, true, Some(waits)).await
    }

    async fn started(
        world: Arc<Simulation>,
        voters: usize,
        may_bootstrap: bool,
        waits: Option<usize>,
    ) -> Self {
        let mut at = Vec::new();
        for n in 0..voters {
            let host = world.host(ip(n));
            let s = stand(settings(n, voters, may_bootstrap), voters, host.clone(), Some(n) == waits);
            at.push(host.spawn(s).await.unwrap());
        }
        Self { world, at }
    }

    /// A cluster that has a leader, and all of whose voters are members.
    pub async fn initialized(world: Arc<Simulation>, voters: usize) -> Self {
        let c = Self::start(world, voters, true).await;
        c.until("a leader and all members", |c| {
            let v = c.at.iter().map(|s| s.core.status());
            v.into_iter().all(|v| v.leader.is_some() && v.cluster_state.members.len() == c.at.len())
        })
        .await;
        c
    }

    /// Starts one more node, blank, after the others: a spare.
    pub async fn add_spare(&mut self) {
        let (n, voters) = (self.at.len(), 3);
        let host = self.world.host(ip(n));
        let s = stand(settings(n, voters, false), voters, host.clone(), false);
        self.at.push(host.spawn(s).await.unwrap());
    }

    /// Virtual time goes on until it is so; a minute is far more than anything here may take.
    pub async fn until(&self, what: &str, so: impl Fn(&Self) -> bool) {
        let end = self.world.ms() + 60_000;
        while !so(self) {
            assert!(self.world.ms() < end, "never: {what}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn leader(&self) -> usize {
        let lead = self.at.iter().position(|s| {
            let v = s.core.status();
            v.leader.is_some_and(|l| l.node == v.me.node)
        });
        lead.expect("a seat leads")
    }

    fn links(&self, n: usize) -> Vec<(IpAddr, IpAddr)> {
        let own = self.at[n].ip;
        self.at.iter().filter(|s| s.ip != own).flat_map(|s| [(own, s.ip), (s.ip, own)]).collect()
    }

    /// What this voter sends is lost.
    pub fn cut_outward(&self, n: usize) {
        let own = self.at[n].ip;
        self.world.partition(self.links(n).into_iter().filter(|(from, _)| *from == own));
    }

    /// What is sent to this voter is lost.
    pub fn cut_inward(&self, n: usize) {
        let own = self.at[n].ip;
        self.world.partition(self.links(n).into_iter().filter(|(_, to)| *to == own));
    }

    /// Nothing gets to or from this voter.
    pub fn cut_off(&self, n: usize) {
        self.world.partition(self.links(n));
    }

    pub fn mend(&self, n: usize) {
        self.world.heal(&self.links(n).into_iter().collect());
    }
}
