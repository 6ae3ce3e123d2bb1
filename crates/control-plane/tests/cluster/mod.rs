//! A cluster of control nodes on simulated hosts: the daemon's own code under virtual time, links that can be
//! cut, and in-memory disks that sync after 2 ms.

// Each test program uses only a part of this module.
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

/// Document format of these tests: the first line is the version number, the rest is arbitrary text.
pub struct TestDocumentFormat;

impl DocumentFormat for TestDocumentFormat {
    fn read(&self, text: &str) -> Result<RouteMap, Vec<Diagnostic>> {
        let first = text.lines().next().unwrap_or_default();
        let diagnostic = |_| vec![Diagnostic { line: 1, column: 1, message: "no version".into() }];
        first
            .parse()
            .map(|version| RouteMap::new(version, vec![], vec![], RequestLimits::default()))
            .map_err(diagnostic)
    }

    /// The first line of the change replaces the version; its other lines are appended to the text.
    fn amend(&self, text: &str, change: &str) -> Result<String, Vec<Diagnostic>> {
        let body = |text: &str| text.split_once('\n').map(|(_, body)| body.to_string()).unwrap_or_default();
        let version = change.lines().next().unwrap_or_default();
        Ok(format!("{version}\n{}{}", body(text), body(change)))
    }
}

/// Reports each write as synced after 2 ms and stores nothing.
struct MemoryLogWriter {
    control_node: Weak<ControlNode>,
    ip: IpAddr,
}

impl LogWriter for MemoryLogWriter {
    fn write(&self, token: u64, _: Record) {
        let control_node = self.control_node.clone();
        spawn_at(self.ip, async move {
            sleep(Duration::from_millis(2)).await;
            if let Some(control_node) = control_node.upgrade() {
                control_node.step(Event::Synced(token));
            }
        });
    }
}

/// One control node of the cluster and the host that it runs on.
#[derive(Clone)]
pub struct ClusterNode {
    pub control_node: Arc<ControlNode>,
    operator_service: Arc<OperatorService>,
    host: Arc<Host>,
    pub ip: IpAddr,
}

/// All control nodes of a simulation, by number.
pub struct Cluster {
    pub simulation: Arc<Simulation>,
    pub nodes: Vec<ClusterNode>,
}

/// Address of the host of node `n`.
pub fn ip(n: usize) -> IpAddr {
    IpAddr::from([10, 0, n as u8, 1])
}

/// Settings of node `n`; the first three of the `voters` are the seeds.
fn settings(n: usize, voters: usize, may_bootstrap: bool) -> Settings {
    Settings {
        cluster: "c".into(),
        node: format!("s{n}"),
        zone: format!("a{n}"),
        rpc_addr: SocketAddr::new(ip(n), 7100),
        http: SocketAddr::new(ip(n), 8080),
        rpc_advertise: None,
        http_advertise: None,
        seeds: (0..voters.min(3)).map(|n| SocketAddr::new(ip(n), 7100)).collect(),
        may_bootstrap,
        data: None,
        timing: Timing::default(),
        resources: Default::default(),
        log: "info".into(),
    }
}

/// Starts a control node on the current host; with `disk_unavailable` it waits for its disk to be opened.
async fn start_node(
    settings: Settings,
    voters: usize,
    host: Arc<Host>,
    disk_unavailable: bool,
) -> ClusterNode {
    let bootstrap = Bootstrap { expected_voters: voters, ..Bootstrap::default() };
    let ip = settings.rpc_addr.ip();
    let log_writer: LogWriterFactory =
        Box::new(move |control_node| Box::new(MemoryLogWriter { control_node, ip }));
    let rpc_listener = bind(settings.rpc_addr).await.unwrap();
    let start = match disk_unavailable {
        true => Start::AwaitingDisk(Box::new(blank_voter(&settings))),
        false => Start::from(DurableState::blank(&blank_voter(&settings))),
    };
    let control_node = ControlNode::start(settings.clone(), bootstrap, start, log_writer);
    let info = NodeInfo::of(&settings, Role::Control, control_node.status().identity.incarnation);
    LocalMember::new(settings.clone(), info, Clock::default()).start();
    spawn(control_plane::control_node::listen(rpc_listener, settings.local_node(), control_node.clone()));
    let operator_service = Arc::new(operator_service(control_node.clone()));
    ClusterNode { control_node, operator_service, host, ip }
}

/// The operator service of a node, for documents in [`TestDocumentFormat`].
pub fn operator_service(control_node: Arc<ControlNode>) -> OperatorService {
    let zones = ["a0", "far"].map(Into::into).into_iter().collect();
    OperatorService::new(control_node, Arc::new(TestDocumentFormat), zones)
}

impl ClusterNode {
    /// Runs a call to the operator service on this node's host, so that it uses that host's clock.
    async fn run_on_host<T: Send + 'static>(
        &self,
        call: impl FnOnce(Arc<OperatorService>) -> std::pin::Pin<Box<dyn Future<Output = T> + Send>>,
    ) -> T {
        self.host.spawn(call(self.operator_service.clone())).await.unwrap()
    }

    /// Replaces the document, if its current version is `base_version`.
    pub async fn replace(&self, base_version: u64, text: &str) -> OperationOutcome {
        let text = text.to_string();
        self.run_on_host(move |service| Box::pin(async move { service.replace(base_version, &text).await }))
            .await
    }

    /// Amends the document, if its current version is `base_version`.
    pub async fn amend(&self, base_version: u64, change: &str) -> OperationOutcome {
        let change = change.to_string();
        self.run_on_host(move |service| Box::pin(async move { service.amend(base_version, &change).await }))
            .await
    }

    /// Begins or ends the evacuation of a zone.
    pub async fn evacuate(&self, zone: &str, on: bool) -> OperationOutcome {
        let zone = zone.to_string();
        self.run_on_host(move |service| Box::pin(async move { service.evacuate(&zone, on).await })).await
    }

    /// The newest accepted document and its version.
    pub async fn read(&self) -> Result<Option<(u64, String)>, String> {
        let read = self.run_on_host(|service| Box::pin(async move { service.read().await })).await;
        let read = read.map_err(|why| why.to_string())?;
        Ok(read.map(|(version, text)| (version, text.to_string())))
    }

    /// Proposes a change to this node as if another node had forwarded it to the leader.
    pub async fn propose(&self, change: Change) -> ProposalOutcome {
        let control_node = self.control_node.clone();
        self.host.spawn(async move { control_node.propose_here(change, 800).await }).await.unwrap()
    }

    /// Suspends the process.
    pub fn freeze(&self) {
        self.host.freeze();
    }

    /// Resumes the process.
    pub fn thaw(&self) {
        self.host.thaw();
    }

    /// Names of the evacuated zones in the newest accepted state.
    pub async fn evacuated_zones(&self) -> Vec<String> {
        let control_node = self.control_node.clone();
        let state = self.host.spawn(async move { control_node.newest_state().await }).await.unwrap().unwrap();
        state.evacuated.iter().map(|zone| zone.to_string()).collect()
    }

    /// Number of recent operations whose outcomes the node's state holds.
    pub fn recorded_operations(&self) -> usize {
        self.control_node.status().cluster_state.recent_operations.len()
    }
}

impl Cluster {
    /// Starts all voters; `may_bootstrap` is whether they may bootstrap a cluster.
    pub async fn start(simulation: Arc<Simulation>, voters: usize, may_bootstrap: bool) -> Self {
        Self::start_voters(simulation, voters, may_bootstrap, None).await
    }

    /// Starts all voters; the disk of voter `unavailable` can't be opened yet.
    pub async fn start_with_unavailable_disk(
        simulation: Arc<Simulation>,
        voters: usize,
        unavailable: usize,
    ) -> Self {
        Self::start_voters(simulation, voters, true, Some(unavailable)).await
    }

    async fn start_voters(
        simulation: Arc<Simulation>,
        voters: usize,
        may_bootstrap: bool,
        disk_unavailable: Option<usize>,
    ) -> Self {
        let mut nodes = Vec::new();
        for n in 0..voters {
            let host = simulation.host(ip(n));
            let settings = settings(n, voters, may_bootstrap);
            let start = start_node(settings, voters, host.clone(), Some(n) == disk_unavailable);
            nodes.push(host.spawn(start).await.unwrap());
        }
        Self { simulation, nodes }
    }

    /// Starts a cluster and waits until it has a leader and all voters are members.
    pub async fn initialized(simulation: Arc<Simulation>, voters: usize) -> Self {
        let cluster = Self::start(simulation, voters, true).await;
        cluster
            .wait_until("each node knows a leader and all members", |cluster| {
                let statuses = cluster.nodes.iter().map(|node| node.control_node.status());
                statuses.into_iter().all(|status| {
                    status.leader.is_some() && status.cluster_state.members.len() == cluster.nodes.len()
                })
            })
            .await;
        cluster
    }

    /// Starts one more node, a blank voter that is not in the voter set: a spare.
    pub async fn add_spare(&mut self) {
        let (n, voters) = (self.nodes.len(), 3);
        let host = self.simulation.host(ip(n));
        let start = start_node(settings(n, voters, false), voters, host.clone(), false);
        self.nodes.push(host.spawn(start).await.unwrap());
    }

    /// Lets virtual time pass until a condition holds; fails after a minute, which no test needs.
    pub async fn wait_until(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let end = self.simulation.elapsed_ms() + 60_000;
        while !condition(self) {
            assert!(self.simulation.elapsed_ms() < end, "not within a minute: {what}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Number of the node that takes itself for the leader.
    pub fn leader(&self) -> usize {
        let leader = self.nodes.iter().position(|node| {
            let status = node.control_node.status();
            status.leader.is_some_and(|leader| leader.node == status.identity.node)
        });
        leader.expect("some node is the leader")
    }

    /// Both directions of each link between node `n` and the others.
    fn links(&self, n: usize) -> Vec<(IpAddr, IpAddr)> {
        let own = self.nodes[n].ip;
        self.nodes
            .iter()
            .filter(|node| node.ip != own)
            .flat_map(|node| [(own, node.ip), (node.ip, own)])
            .collect()
    }

    /// Drops all messages from node `n`.
    pub fn drop_outgoing(&self, n: usize) {
        let own = self.nodes[n].ip;
        self.simulation.partition(self.links(n).into_iter().filter(|(from, _)| *from == own));
    }

    /// Drops all messages to node `n`.
    pub fn drop_incoming(&self, n: usize) {
        let own = self.nodes[n].ip;
        self.simulation.partition(self.links(n).into_iter().filter(|(_, to)| *to == own));
    }

    /// Drops all messages to and from node `n`.
    pub fn isolate(&self, n: usize) {
        self.simulation.partition(self.links(n));
    }

    /// Restores all links of node `n`.
    pub fn heal(&self, n: usize) {
        self.simulation.heal(&self.links(n).into_iter().collect());
    }
}
