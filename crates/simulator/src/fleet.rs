//! Twelve nodes as real processes on 127.0.0.0/8 (design 7.2): three control nodes and nine
//! routers over three zones, with stand-in back ends beside them.

use crate::{
    deployment::Deployment,
    fake_replica::{FakeReplica, ReplicaSpec},
    node::{HTTP_PORT, Launcher, Node, RPC_PORT},
    operator::Operator,
    relay::{BlockedLinks, Relays},
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

pub struct Fleet {
    pub deployment: Deployment,
    pub nodes: Vec<Node>,
    pub replicas: Vec<Arc<FakeReplica>>,
    pub dir: PathBuf,
    launcher: Launcher,
    pub net: u8,
    pub relays: Relays,
}

pub fn ip(net: u8, group: u8, n: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net, group, n))
}

impl Fleet {
    /// Real processes, with relays between them so that links can be cut.
    pub async fn start(deployment: Deployment, dir: &Path, net: u8) -> Result<Fleet> {
        let bin = std::env::current_exe()?.parent().map(Path::to_path_buf).unwrap_or_default();
        Self::start_in(Launcher::Processes(bin), deployment, dir, net).await
    }

    /// The same nodes on hosts of a world.
    pub async fn start_simulated(w: Arc<Simulation>, deployment: Deployment) -> Result<Fleet> {
        Self::start_in(Launcher::Simulation(w), deployment, Path::new("nowhere"), 10).await
    }

    async fn start_in(launcher: Launcher, deployment: Deployment, dir: &Path, net: u8) -> Result<Fleet> {
        let relayed = matches!(launcher, Launcher::Processes(_));
        let mut nodes = Vec::new();
        for (a, (zone, _)) in deployment.zones.iter().enumerate() {
            for n in 0..4u8 {
                let is_control = n == 0;
                let num = if is_control { a + 1 } else { a * 3 + n as usize };
                let name = format!("{}{num}", if is_control { "s" } else { "p" });
                let own = ip(net, a as u8 + 1, n + 1);
                let advertised_ip = if relayed { ip(net, a as u8 + 51, n + 1) } else { own };
                nodes.push(Node {
                    dir: dir.join(&name),
                    name,
                    zone,
                    is_control,
                    is_replacement: false,
                    ip: own,
                    advertised_ip,
                    cluster: deployment.name,
                    seeds: Vec::new(),
                    running: None,
                    disk: Arc::new(Mutex::new(SimDisk::new(None, SizeLimits::default()))),
                });
            }
        }
        let seeds: Vec<SocketAddr> = nodes
            .iter()
            .filter(|n| n.is_control)
            .map(|n| SocketAddr::new(n.advertised_ip, RPC_PORT))
            .collect();
        let relays = Relays::default();
        for n in nodes.iter().filter(|_| relayed) {
            for port in [RPC_PORT, HTTP_PORT] {
                relays.add(SocketAddr::new(n.advertised_ip, port), SocketAddr::new(n.ip, port)).await?;
            }
        }
        for n in &mut nodes {
            n.seeds = seeds.clone();
            n.start(&launcher)?;
        }
        let mut replicas = Vec::new();
        for (service, per_zone) in &deployment.replicas {
            for (a, count) in per_zone.iter().enumerate() {
                for _ in 0..*count {
                    let (zone, region) = deployment.zones[a];
                    let model = *service == deployment.replicas[0].0;
                    let spec = ReplicaSpec {
                        service: service.to_string(),
                        zone: zone.into(),
                        region: region.into(),
                        slots: if model { 4 } else { 32 },
                        prefixes: 24,
                        cold_ms: if model { 240 } else { 4 },
                        slow_start_ms: if model { 40 } else { 4 },
                        token_ms: if model { 12 } else { 1 },
                    };
                    let n = replicas.len() as u8;
                    let addr = SocketAddr::new(ip(net, 100, n + 1), 9000);
                    replicas.push(FakeReplica::new(format!("{service}-{zone}-{n}"), addr, spec));
                }
            }
        }
        for b in &replicas {
            b.start().await?;
        }
        Ok(Fleet { deployment, nodes, replicas, dir: dir.into(), launcher, net, relays })
    }

    pub fn operator(&self) -> Operator {
        let voters = self.nodes.iter().filter(|n| n.is_control).map(|n| n.http()).collect();
        Operator { ip: self.caller_ip(), voters }
    }

    /// Pairs that a cut names: `p1` from all others, `p1>` only outwards, `s1-s2` one link.
    pub fn links_of(&self, target: &str) -> BlockedLinks {
        let named = |n: &str| {
            self.nodes
                .iter()
                .filter(|x| x.name == n || x.zone == n || (n == "core" && x.is_control))
                .map(|x| x.ip)
                .collect::<Vec<_>>()
        };
        let all: Vec<IpAddr> = self.nodes.iter().map(|n| n.ip).collect();
        let (a, b, back) = match (target.strip_suffix('>'), target.split_once("--")) {
            (Some(n), _) => (named(n), all, false),
            (_, Some((a, b))) => (named(a), named(b), true),
            _ => (named(target), all, true),
        };
        let inside = a.clone();
        let out = a.iter().flat_map(|x| b.iter().map(move |y| (*x, *y)));
        let out: Vec<_> = out.filter(|(_, y)| !inside.contains(y)).collect();
        out.iter().flat_map(|(x, y)| [Some((*x, *y)), back.then_some((*y, *x))]).flatten().collect()
    }

    pub fn topology(&self) -> Topology {
        let routers = self.nodes.iter().filter(|n| !n.is_control);
        Topology {
            routers: routers.map(|n| (n.name.clone(), n.zone, n.http())).collect(),
            zones: self.deployment.zones.to_vec(),
            model: self.deployment.replicas[0].0,
        }
    }

    pub fn cut(&self, target: &str) {
        match &self.launcher {
            Launcher::Processes(_) => self.relays.cut(self.links_of(target)),
            Launcher::Simulation(w) => w.partition(self.links_of(target)),
        }
    }

    pub fn heal(&self, target: &str) {
        match &self.launcher {
            Launcher::Processes(_) => self.relays.heal(&self.links_of(target)),
            Launcher::Simulation(w) => w.heal(&self.links_of(target)),
        }
    }

    pub fn caller_ip(&self) -> IpAddr {
        ip(self.net, 200, 1)
    }

    pub fn node(&mut self, name: &str) -> Result<&mut Node> {
        self.nodes.iter_mut().find(|n| n.name == name).ok_or_else(|| eyre!("no node {name:?}"))
    }

    pub fn replica(&self, id: &str) -> Result<&Arc<FakeReplica>> {
        self.replicas.iter().find(|b| b.id == id).ok_or_else(|| eyre!("no replica {id:?}"))
    }

    pub fn start_node(&mut self, name: &str) -> Result<()> {
        let launcher = self.launcher.clone();
        if let Launcher::Simulation(w) = &launcher {
            w.power_on(self.node(name)?.ip);
        }
        self.node(name)?.start(&launcher)
    }

    /// Lists the replicas, applies the document, and waits until all routers are ready.
    pub async fn bring_up(&self) -> Result<()> {
        let op = self.operator();
        for b in &self.replicas {
            let mut listed = false;
            for _ in 0..60 {
                listed = op.list(&b.id, &b.spec.service, &b.spec.zone, b.addr).await;
                if listed {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(250)).await;
            }
            eyre::ensure!(listed, "the core did not list {}", b.id);
        }
        let res = op.apply(&self.deployment.document, 0, "first").await;
        eyre::ensure!(
            res.as_ref().is_some_and(|r| r.0 == 200),
            "the first document was not accepted: {res:?}"
        );
        for n in self.nodes.iter().filter(|n| !n.is_control) {
            let mut ready = false;
            for _ in 0..100 {
                ready = self.is_ready(n).await;
                if ready {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            eyre::ensure!(ready, "{} is not ready", n.name);
        }
        Ok(())
    }

    /// One counter over all routers that answer, by the value of its only label.
    pub async fn counter_by_label(&self, metric: &str) -> std::collections::BTreeMap<String, f64> {
        let mut out = std::collections::BTreeMap::new();
        for n in self.nodes.iter().filter(|n| !n.is_control && n.is_running()) {
            let res = send_request(self.caller_ip(), n.http(), Method::GET, "/metrics", &[], "", 2_000).await;
            for l in String::from_utf8_lossy(&res.map(|r| r.2).unwrap_or_default()).lines() {
                let row = l.strip_prefix(metric).and_then(|r| r.split_once("=\"")).map(|r| r.1);
                if let Some((label, v)) = row.and_then(|r| r.split_once("\"} ")) {
                    *out.entry(label.to_string()).or_default() += v.parse::<f64>().unwrap_or(0.0);
                }
            }
        }
        out
    }

    pub async fn is_ready(&self, n: &Node) -> bool {
        let res = send_request(self.caller_ip(), n.http(), Method::GET, "/readyz", &[], "", 1_000).await;
        res.is_ok_and(|r| r.0.is_success())
    }

    pub async fn stop(&mut self) {
        for n in &mut self.nodes {
            let _ = n.thaw();
            let _ = n.kill().await;
        }
        self.replicas.iter().for_each(|b| b.crash());
    }
}
