//! Twelve nodes as real processes on 127.0.0.0/8 (design 7.2): three control nodes and nine
//! routers over three zones, with stand-in back ends beside them.

use crate::{
    deployment::Deployment,
    node::{HTTP, Node, RAIL, Yard},
    operator::Operator,
    relay::{Cuts, Relays},
    sim::disk::SimDisk,
    standin::{Shape, StandIn},
    timeline::Scene,
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
    pub dep: Deployment,
    pub nodes: Vec<Node>,
    pub backs: Vec<Arc<StandIn>>,
    pub dir: PathBuf,
    yard: Yard,
    pub net: u8,
    pub relays: Relays,
}

pub fn ip(net: u8, group: u8, n: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net, group, n))
}

impl Fleet {
    /// Real processes, with relays between them so that links can be cut.
    pub async fn start(dep: Deployment, dir: &Path, net: u8) -> Result<Fleet> {
        let bin = std::env::current_exe()?.parent().map(Path::to_path_buf).unwrap_or_default();
        Self::start_in(Yard::Programs(bin), dep, dir, net).await
    }

    /// The same nodes on hosts of a world.
    pub async fn hosted(w: Arc<Simulation>, dep: Deployment) -> Result<Fleet> {
        Self::start_in(Yard::World(w), dep, Path::new("nowhere"), 10).await
    }

    async fn start_in(yard: Yard, dep: Deployment, dir: &Path, net: u8) -> Result<Fleet> {
        let relayed = matches!(yard, Yard::Programs(_));
        let mut nodes = Vec::new();
        for (a, (zone, _)) in dep.zones.iter().enumerate() {
            for n in 0..4u8 {
                let core = n == 0;
                let num = if core { a + 1 } else { a * 3 + n as usize };
                let name = format!("{}{num}", if core { "s" } else { "p" });
                let own = ip(net, a as u8 + 1, n + 1);
                let told = if relayed { ip(net, a as u8 + 51, n + 1) } else { own };
                nodes.push(Node {
                    dir: dir.join(&name),
                    name,
                    zone,
                    core,
                    spare: false,
                    ip: own,
                    told,
                    cluster: dep.name,
                    seeds: Vec::new(),
                    process: None,
                    disk: Arc::new(Mutex::new(SimDisk::new(None, SizeLimits::default()))),
                });
            }
        }
        let seeds: Vec<SocketAddr> =
            nodes.iter().filter(|n| n.core).map(|n| SocketAddr::new(n.told, RAIL)).collect();
        let relays = Relays::default();
        for n in nodes.iter().filter(|_| relayed) {
            for port in [RAIL, HTTP] {
                relays.put(SocketAddr::new(n.told, port), SocketAddr::new(n.ip, port)).await?;
            }
        }
        for n in &mut nodes {
            n.seeds = seeds.clone();
            n.start(&yard)?;
        }
        let mut backs = Vec::new();
        for (svc, per_area) in &dep.replicas {
            for (a, count) in per_area.iter().enumerate() {
                for _ in 0..*count {
                    let (zone, region) = dep.zones[a];
                    let model = *svc == dep.replicas[0].0;
                    let shape = Shape {
                        service: svc.to_string(),
                        zone: zone.into(),
                        region: region.into(),
                        slots: if model { 4 } else { 32 },
                        prefixes: 24,
                        cold_ms: if model { 240 } else { 4 },
                        slow_start_ms: if model { 40 } else { 4 },
                        token_ms: if model { 12 } else { 1 },
                    };
                    let n = backs.len() as u8;
                    let addr = SocketAddr::new(ip(net, 100, n + 1), 9000);
                    backs.push(StandIn::new(format!("{svc}-{zone}-{n}"), addr, shape));
                }
            }
        }
        for b in &backs {
            b.start().await?;
        }
        Ok(Fleet { dep, nodes, backs, dir: dir.into(), yard, net, relays })
    }

    pub fn operator(&self) -> Operator {
        let voters = self.nodes.iter().filter(|n| n.core).map(|n| n.http()).collect();
        Operator { ip: self.caller_ip(), voters }
    }

    /// Pairs that a cut names: `p1` from all others, `p1>` only outwards, `s1-s2` one link.
    pub fn pairs(&self, whom: &str) -> Cuts {
        let named = |n: &str| {
            self.nodes
                .iter()
                .filter(|x| x.name == n || x.zone == n || (n == "core" && x.core))
                .map(|x| x.ip)
                .collect::<Vec<_>>()
        };
        let all: Vec<IpAddr> = self.nodes.iter().map(|n| n.ip).collect();
        let (a, b, back) = match (whom.strip_suffix('>'), whom.split_once("--")) {
            (Some(n), _) => (named(n), all, false),
            (_, Some((a, b))) => (named(a), named(b), true),
            _ => (named(whom), all, true),
        };
        let inside = a.clone();
        let out = a.iter().flat_map(|x| b.iter().map(move |y| (*x, *y)));
        let out: Vec<_> = out.filter(|(_, y)| !inside.contains(y)).collect();
        out.iter().flat_map(|(x, y)| [Some((*x, *y)), back.then_some((*y, *x))]).flatten().collect()
    }

    pub fn scene(&self) -> Scene {
        let routers = self.nodes.iter().filter(|n| !n.core);
        Scene {
            routers: routers.map(|n| (n.name.clone(), n.zone, n.http())).collect(),
            zones: self.dep.zones.to_vec(),
            model: self.dep.replicas[0].0,
        }
    }

    pub fn cut(&self, whom: &str) {
        match &self.yard {
            Yard::Programs(_) => self.relays.cut(self.pairs(whom)),
            Yard::World(w) => w.partition(self.pairs(whom)),
        }
    }

    pub fn mend(&self, whom: &str) {
        match &self.yard {
            Yard::Programs(_) => self.relays.mend(&self.pairs(whom)),
            Yard::World(w) => w.heal(&self.pairs(whom)),
        }
    }

    pub fn caller_ip(&self) -> IpAddr {
        ip(self.net, 200, 1)
    }

    pub fn node(&mut self, name: &str) -> Result<&mut Node> {
        self.nodes.iter_mut().find(|n| n.name == name).ok_or_else(|| eyre!("no node {name:?}"))
    }

    pub fn back(&self, id: &str) -> Result<&Arc<StandIn>> {
        self.backs.iter().find(|b| b.id == id).ok_or_else(|| eyre!("no replica {id:?}"))
    }

    pub fn start_node(&mut self, name: &str) -> Result<()> {
        let yard = self.yard.clone();
        if let Yard::World(w) = &yard {
            w.power_on(self.node(name)?.ip);
        }
        self.node(name)?.start(&yard)
    }

    /// Lists the replicas, applies the document, and waits until all routers are ready.
    pub async fn open(&self) -> Result<()> {
        let op = self.operator();
        for b in &self.backs {
            let mut listed = false;
            for _ in 0..60 {
                listed = op.list(&b.id, &b.shape.service, &b.shape.zone, b.addr).await;
                if listed {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(250)).await;
            }
            eyre::ensure!(listed, "the core did not list {}", b.id);
        }
        let res = op.apply(&self.dep.document, 0, "first").await;
        eyre::ensure!(
            res.as_ref().is_some_and(|r| r.0 == 200),
            "the first document was not accepted: {res:?}"
        );
        for n in self.nodes.iter().filter(|n| !n.core) {
            let mut ready = false;
            for _ in 0..100 {
                ready = self.ready(n).await;
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
    pub async fn by_label(&self, metric: &str) -> std::collections::BTreeMap<String, f64> {
        let mut out = std::collections::BTreeMap::new();
        for n in self.nodes.iter().filter(|n| !n.core && n.runs()) {
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

    pub async fn ready(&self, n: &Node) -> bool {
        let res = send_request(self.caller_ip(), n.http(), Method::GET, "/readyz", &[], "", 1_000).await;
        res.is_ok_and(|r| r.0.is_success())
    }

    pub async fn stop(&mut self) {
        for n in &mut self.nodes {
            let _ = n.thaw();
            let _ = n.kill().await;
        }
        self.backs.iter().for_each(|b| b.crash());
    }
}
