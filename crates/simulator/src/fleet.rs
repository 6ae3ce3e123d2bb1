//! A fleet of twelve nodes on 127.0.0.0/8 (design 7.2), as real processes or simulated: three control nodes and
//! nine routers over three zones, with fake replicas.

use crate::{
    deployment::Deployment,
    fake_replica::{FakeReplica, ReplicaSpec},
    node::{HTTP_PORT, Launcher, Node, RPC_PORT},
    operator::Operator,
    relay::Relays,
    sim::disk::SimDisk,
    timeline::Topology,
};
use common::{http::send_request, runtime::Simulation};
use control_plane::types::SizeLimits;
use eyre::{Result, eyre};
use hyper::Method;
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::Duration,
};

/// A fleet of nodes and fake replicas.
pub struct Fleet {
    /// The deployment that it runs.
    pub deployment: Deployment,
    /// Control nodes and routers.
    pub nodes: Vec<Node>,
    /// Fake replicas, also those that are down.
    pub replicas: Vec<Arc<FakeReplica>>,
    /// Folder for the files of real processes.
    pub dir: PathBuf,
    /// How its nodes are started.
    pub(crate) launcher: Launcher,
    /// Second octet of all addresses.
    pub net: u8,
    /// The relays between real processes.
    pub relays: Relays,
}

/// An address of the fleet. Groups 1 to 3 are the nodes of a zone, 51 to 53 their relays, 100 the replicas, 200 callers.
pub fn ip(net: u8, group: u8, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net, group, host))
}

impl Fleet {
    /// Starts real processes, with relays between them so that links can be cut.
    pub async fn start(deployment: Deployment, dir: &Path, net: u8) -> Result<Fleet> {
        let bin = std::env::current_exe()?.parent().map(Path::to_path_buf).unwrap_or_default();
        Self::start_in(Launcher::Processes(bin), deployment, dir, net).await
    }

    /// Starts the same nodes on simulated hosts.
    pub async fn start_simulated(simulation: Arc<Simulation>, deployment: Deployment) -> Result<Fleet> {
        Self::start_in(Launcher::Simulation(simulation), deployment, Path::new("nowhere"), 10).await
    }

    async fn start_in(launcher: Launcher, deployment: Deployment, dir: &Path, net: u8) -> Result<Fleet> {
        let relayed = matches!(launcher, Launcher::Processes(_));
        let mut nodes = Vec::new();
        for (zone_index, (zone, _)) in deployment.zones.iter().enumerate() {
            for index in 0..4u8 {
                let is_control = index == 0;
                let number = if is_control { zone_index + 1 } else { zone_index * 3 + index as usize };
                let name = format!("{}{number}", if is_control { "s" } else { "p" });
                let own_ip = ip(net, zone_index as u8 + 1, index + 1);
                let advertised_ip = if relayed { ip(net, zone_index as u8 + 51, index + 1) } else { own_ip };
                nodes.push(Node {
                    dir: dir.join(&name),
                    name,
                    zone,
                    is_control,
                    is_replacement: false,
                    ip: own_ip,
                    advertised_ip,
                    cluster: deployment.name,
                    seeds: Vec::new(),
                    resources: Default::default(),
                    running: None,
                    disk: Arc::new(Mutex::new(SimDisk::new(None, SizeLimits::default()))),
                });
            }
        }
        let seeds: Vec<SocketAddr> = nodes
            .iter()
            .filter(|node| node.is_control)
            .map(|node| SocketAddr::new(node.advertised_ip, RPC_PORT))
            .collect();
        let relays = Relays::default();
        for node in nodes.iter().filter(|_| relayed) {
            for port in [RPC_PORT, HTTP_PORT] {
                relays.add(SocketAddr::new(node.advertised_ip, port), SocketAddr::new(node.ip, port)).await?;
            }
        }
        for node in &mut nodes {
            node.seeds = seeds.clone();
            node.start(&launcher)?;
        }
        let mut replicas = Vec::new();
        for (service, per_zone) in &deployment.replicas {
            for (zone_index, count) in per_zone.iter().enumerate() {
                for _ in 0..*count {
                    let (zone, region) = deployment.zones[zone_index];
                    let is_model = *service == deployment.replicas[0].0;
                    let spec = ReplicaSpec {
                        service: service.to_string(),
                        zone: zone.into(),
                        region: region.into(),
                        slots: if is_model { 4 } else { 32 },
                        prefixes: 24,
                        cold_prefill_ms: if is_model { 240 } else { 4 },
                        warm_prefill_ms: if is_model { 40 } else { 4 },
                        token_ms: if is_model { 12 } else { 1 },
                    };
                    let index = replicas.len() as u8;
                    let addr = SocketAddr::new(ip(net, 100, index + 1), 9000);
                    replicas.push(FakeReplica::new(format!("{service}-{zone}-{index}"), addr, spec));
                }
            }
        }
        for replica in &replicas {
            replica.start().await?;
        }
        Ok(Fleet { deployment, nodes, replicas, dir: dir.into(), launcher, net, relays })
    }

    /// An operator of this cluster.
    pub fn operator(&self) -> Operator {
        let voters = self.nodes.iter().filter(|node| node.is_control).map(|node| node.http()).collect();
        Operator { ip: self.caller_ip(), voters }
    }

    /// What the audit needs to know of the fleet.
    pub fn topology(&self) -> Topology {
        let routers = self.nodes.iter().filter(|node| !node.is_control);
        Topology {
            routers: routers.map(|node| (node.name.clone(), node.zone, node.http())).collect(),
            zones: self.deployment.zones.to_vec(),
            model: self.deployment.replicas[0].0,
        }
    }

    /// The address that operators and requests for metrics come from.
    pub fn caller_ip(&self) -> IpAddr {
        ip(self.net, 200, 1)
    }

    /// The node of this name.
    pub fn node(&mut self, name: &str) -> Result<&mut Node> {
        self.nodes.iter_mut().find(|node| node.name == name).ok_or_else(|| eyre!("no node {name:?}"))
    }

    /// The replica of this id.
    pub fn replica(&self, id: &str) -> Result<&Arc<FakeReplica>> {
        self.replicas.iter().find(|replica| replica.id == id).ok_or_else(|| eyre!("no replica {id:?}"))
    }

    /// Starts a node; a simulated host gets its power back first.
    pub fn start_node(&mut self, name: &str) -> Result<()> {
        let launcher = self.launcher.clone();
        if let Launcher::Simulation(simulation) = &launcher {
            simulation.power_on(self.node(name)?.ip);
        }
        self.node(name)?.start(&launcher)
    }

    /// Adds the replicas to the list, applies the document, and waits until all routers are ready.
    pub async fn bring_up(&self) -> Result<()> {
        let operator = self.operator();
        for replica in &self.replicas {
            let mut listed = false;
            for _ in 0..60 {
                listed =
                    operator.list(&replica.id, &replica.spec.service, &replica.spec.zone, replica.addr).await;
                if listed {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(250)).await;
            }
            eyre::ensure!(listed, "the control nodes did not accept replica {}", replica.id);
        }
        let response = operator.apply(&self.deployment.document, 0, "first").await;
        eyre::ensure!(
            response.as_ref().is_some_and(|(code, _)| *code == 200),
            "the first document was not accepted: {response:?}"
        );
        for node in self.nodes.iter().filter(|node| !node.is_control) {
            let mut ready = false;
            for _ in 0..100 {
                ready = self.is_ready(node).await;
                if ready {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            eyre::ensure!(ready, "router {} is not ready after 10 s", node.name);
        }
        Ok(())
    }

    /// A counter with one label, by the value of that label, summed over all routers that answer. `metric` is the name
    /// of the counter up to and including `{`.
    pub async fn counter_by_label(&self, metric: &str) -> std::collections::BTreeMap<String, f64> {
        let mut totals = std::collections::BTreeMap::new();
        for node in self.nodes.iter().filter(|node| !node.is_control && node.is_running()) {
            let response =
                send_request(self.caller_ip(), node.http(), Method::GET, "/metrics", &[], "", 2_000).await;
            for line in
                String::from_utf8_lossy(&response.map(|(_, _, body)| body).unwrap_or_default()).lines()
            {
                let row =
                    line.strip_prefix(metric).and_then(|rest| rest.split_once("=\"")).map(|(_, rest)| rest);
                if let Some((label, value)) = row.and_then(|rest| rest.split_once("\"} ")) {
                    *totals.entry(label.to_string()).or_default() += value.parse::<f64>().unwrap_or(0.0);
                }
            }
        }
        totals
    }

    /// Whether a node reports that it is ready.
    pub async fn is_ready(&self, node: &Node) -> bool {
        let response =
            send_request(self.caller_ip(), node.http(), Method::GET, "/readyz", &[], "", 1_000).await;
        response.is_ok_and(|(status, _, _)| status.is_success())
    }

    /// Kills all nodes and stops all replicas.
    pub async fn stop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.thaw();
            let _ = node.kill().await;
        }
        self.replicas.iter().for_each(|replica| replica.crash());
    }
}
