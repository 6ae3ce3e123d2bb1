//! The processes of a soak.

use super::{SoakPlan, process_usage::ProcessUsage};
use crate::{
    deployment::{Deployment, Firm, deployment},
    fleet::ip,
    node::{Launcher, Node, RPC_PORT, RunningNode},
    operator::Operator,
    sim::disk::SimDisk,
};
use common::{http::send_request, settings::Resources};
use control_plane::types::SizeLimits;
use eyre::{Result, ensure};
use hyper::Method;
use serde_json::Value;
use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    path::Path,
    sync::{Arc, Mutex as StdMutex},
    time::Duration,
};
use tokio::{
    sync::Mutex,
    time::{Instant, sleep},
};

/// Limit on the time until a new cluster accepts its first document.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of a query for a status, in milliseconds.
const STATUS_TIMEOUT_MS: u64 = 1_000;
/// Memory and descriptors of each process: little, so that clients can use them up.
const RESOURCES: Resources = Resources { memory_mb: 64, open_files: 600 };
/// Number of control nodes that all others ask first.
const SEEDS: u8 = 3;
/// Group of the addresses of control nodes; routers are in the next one.
const CONTROL_GROUP: u8 = 1;

/// A process whose disruptions happen one at a time.
pub struct Process {
    /// Its name.
    pub name: String,
    /// Its HTTP address.
    pub http: SocketAddr,
    /// The node; locked during a disruption.
    pub node: Mutex<Node>,
}

/// The control nodes, the last of which is a spare, and the routers.
pub struct Cluster {
    /// Control nodes.
    pub control_nodes: Vec<Arc<Process>>,
    routers: Vec<Arc<Process>>,
    /// How processes are started.
    pub launcher: Launcher,
    /// The address that calls come from.
    pub caller_ip: IpAddr,
    /// The first document.
    pub deployment: Deployment,
    /// Number of voters.
    pub voters: usize,
}

impl Cluster {
    /// Starts all processes and applies the first document.
    pub async fn start(plan: &SoakPlan, dir: &Path, programs: &Path) -> Result<Self> {
        let deployment = deployment(Firm::Bitacora);
        let launcher = Launcher::ProcessesOfCluster(programs.into(), plan.voters);
        let seeds: Vec<SocketAddr> =
            (1..=SEEDS).map(|n| SocketAddr::new(ip(plan.net, CONTROL_GROUP, n), RPC_PORT)).collect();
        let process = |name: String, group: u8, number: u8, is_control: bool| -> Result<Arc<Process>> {
            let own_ip = ip(plan.net, group, number);
            let zone_index = usize::from(number) % deployment.zones.len();
            let mut node = Node {
                dir: dir.join(&name),
                name: name.clone(),
                zone: deployment.zones[zone_index].0,
                is_control,
                is_replacement: false,
                ip: own_ip,
                advertised_ip: own_ip,
                cluster: deployment.name,
                seeds: seeds.clone(),
                resources: RESOURCES,
                running: None,
                disk: Arc::new(StdMutex::new(SimDisk::new(None, SizeLimits::default()))),
            };
            node.start(&launcher)?;
            Ok(Arc::new(Process { name, http: node.http(), node: Mutex::new(node) }))
        };
        let mut control_nodes = (1..=plan.voters)
            .map(|n| process(format!("s{n}"), CONTROL_GROUP, n, true))
            .collect::<Result<Vec<_>>>()?;
        let routers = (1..=plan.routers)
            .map(|n| process(format!("p{n}"), CONTROL_GROUP + 1, n, false))
            .collect::<Result<Vec<_>>>()?;
        let caller_ip = ip(plan.net, 200, 1);
        let voters: Vec<SocketAddr> = control_nodes.iter().map(|process| process.http).collect();
        apply_first_document(&Operator { ip: caller_ip, voters }, &deployment, plan.net).await?;
        // Started later, so that it is not among the first voters.
        let spare = plan.voters + 1;
        control_nodes.push(process(format!("s{spare}"), CONTROL_GROUP, spare, true)?);
        let voters = usize::from(plan.voters);
        Ok(Self { control_nodes, routers, launcher, caller_ip, deployment, voters })
    }

    /// An operator that asks the control nodes beginning with this one.
    pub fn operator(&self, first: usize) -> Operator {
        let mut voters: Vec<SocketAddr> = self.control_nodes.iter().map(|process| process.http).collect();
        voters.rotate_left(first % self.control_nodes.len());
        Operator { ip: self.caller_ip, voters }
    }

    /// What is missing for the whole cluster to work: control nodes that don't serve `revision`, voters without their
    /// state, routers that are no members.
    pub async fn missing(&self, revision: u64) -> Vec<String> {
        let mut missing = Vec::new();
        for process in &self.control_nodes {
            let served = Operator { ip: self.caller_ip, voters: vec![process.http] };
            match served.document_and_revision().await {
                Some((_, newest)) if newest >= revision => {}
                other => missing.push(format!("{} serves {:?}", process.name, other.map(|read| read.1))),
            }
        }
        missing.extend(self.missing_participants().await);
        missing
    }

    /// The voters that have no state under the identity with which they vote, and the routers that are no members.
    pub async fn missing_participants(&self) -> Vec<String> {
        let mut statuses = Vec::new();
        for process in &self.control_nodes {
            statuses.extend(self.status(process).await);
        }
        let leads = |status: &&Value| status["leader"] == status["voter"]["node"];
        let Some(leader) = statuses.iter().filter(leads).max_by_key(|status| status["term"].as_u64()) else {
            return vec!["no leader".into()];
        };
        let voting: BTreeSet<String> = statuses
            .iter()
            .filter(|status| status["voting"] == true)
            .map(|status| status["voter"]["incarnation"].to_string())
            .collect();
        let voters: Vec<&Value> = leader["voters"].as_array().into_iter().flatten().collect();
        let mut missing = Vec::new();
        if voters.len() != self.voters {
            missing.push(format!("{} voters of {}", voters.len(), self.voters));
        }
        let absent = voters.iter().filter(|voter| !voting.contains(&voter["incarnation"].to_string()));
        missing.extend(absent.map(|voter| format!("voter {} has no state", voter["node"])));
        let members = leader["members"].as_array().into_iter().flatten();
        let members: BTreeSet<&str> = members.filter_map(|member| member["node"].as_str()).collect();
        let routers = self.routers.iter().filter(|router| !members.contains(router.name.as_str()));
        missing.extend(routers.map(|router| format!("router {} is no member", router.name)));
        missing
    }

    async fn status(&self, process: &Process) -> Option<Value> {
        let ask =
            send_request(self.caller_ip, process.http, Method::GET, "/v1/status", &[], "", STATUS_TIMEOUT_MS);
        let (_, _, body) = ask.await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Whether a process is a control node.
    pub fn is_control(&self, process: &Process) -> bool {
        self.control_nodes.iter().any(|node| node.name == process.name)
    }

    /// All processes.
    pub fn processes(&self) -> impl Iterator<Item = &Arc<Process>> {
        self.control_nodes.iter().chain(&self.routers)
    }

    /// The processes that are not being disrupted and have ended all the same, each with how it ended.
    pub fn ended_by_themselves(&self) -> Vec<String> {
        let ended = |process: &Arc<Process>| {
            let mut node = process.node.try_lock().ok()?;
            let Some(RunningNode::Process(child)) = &mut node.running else { return None };
            let status = child.try_wait().ok()??;
            Some(format!("{} ended by itself: {status}", process.name))
        };
        self.processes().filter_map(ended).collect()
    }

    /// The largest peak of memory among the processes that are not being disrupted, in KB, and those that have used more
    /// memory or descriptors than they have.
    pub fn usage(&self) -> (usize, Vec<String>) {
        let mut peak_kb = 0;
        let mut over = Vec::new();
        for process in self.processes() {
            let Ok(node) = process.node.try_lock() else { continue };
            let Some(usage) = node.pid().and_then(ProcessUsage::of) else { continue };
            peak_kb = peak_kb.max(usage.peak_memory_kb);
            if usage.peak_memory_kb > RESOURCES.memory_mb << 10 || usage.open_files > RESOURCES.open_files {
                over.push(format!("{} is over its limits: {usage:?}", process.name));
            }
        }
        (peak_kb, over)
    }

    /// Kills all processes.
    pub async fn stop(&self) {
        for process in self.processes() {
            let mut node = process.node.lock().await;
            let _ = node.thaw();
            let _ = node.kill().await;
        }
    }
}

/// Lists the replicas that the document needs, which need not run, and applies it.
async fn apply_first_document(operator: &Operator, deployment: &Deployment, net: u8) -> Result<()> {
    let started = Instant::now();
    for (service_index, (service, per_zone)) in deployment.replicas.iter().enumerate() {
        for (zone_index, _) in per_zone.iter().enumerate().filter(|(_, count)| **count > 0) {
            let zone = deployment.zones[zone_index].0;
            let host = (service_index * per_zone.len() + zone_index + 1) as u8;
            let addr = SocketAddr::new(ip(net, 100, host), 9000);
            while !operator.list(&format!("{service}-{zone}"), service, zone, addr).await {
                ensure!(
                    started.elapsed() < START_LIMIT,
                    "the replica of {service} in {zone} was not accepted"
                );
                sleep(RETRY_PAUSE).await;
            }
        }
    }
    let answer = operator.apply(&deployment.document, 0, "first").await;
    ensure!(matches!(answer, Some((200, _))), "the first document was not accepted: {answer:?}");
    Ok(())
}
