//! Who stands where at one size: zones, regions, nodes, replicas, and the document.

use super::ScalePlan;
use crate::{
    node::{Node, RAIL},
    sim::disk::SimDisk,
    standin::{Shape, StandIn},
};
use control_plane::types::SizeLimits;
use std::{
    fmt::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    sync::{Arc, Mutex},
};

pub const CLUSTER: &str = "scale";
pub const VOTERS: usize = 3;

/// The counts of one size: those of the full size in proportion, with the least that a fleet needs.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Layout {
    pub nodes: usize,
    pub regions: usize,
    pub zones: usize,
    pub services: usize,
    pub replicas: usize,
    pub tenants: usize,
    /// Requests a second that are placed, over all routers.
    pub requests: f64,
    pub net: u8,
}

/// Names in a fleet are fixed for a run; these live as long as the process.
fn kept(s: String) -> &'static str {
    Box::leak(s.into_boxed_str())
}

impl Layout {
    pub fn of(p: &ScalePlan, nodes: usize) -> Layout {
        let part = |whole: usize, least: usize| least.max((whole * nodes).div_ceil(p.full));
        let zones = part(p.zones, VOTERS);
        let services = p.services;
        Layout {
            nodes,
            regions: part(p.regions, 2).min(zones),
            zones,
            services,
            // Each service stands in each zone, so that each home has what it needs.
            replicas: part(p.replicas, zones * services),
            tenants: part(p.tenants, 1),
            requests: p.requests * nodes as f64 / p.full as f64,
            net: p.net,
        }
    }

    pub fn routers(&self) -> usize {
        self.nodes - VOTERS
    }

    pub fn ip(&self, group: u8, n: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net, group + (n / 250) as u8, (n % 250) as u8 + 1))
    }

    pub fn operator(&self) -> IpAddr {
        self.ip(100, 0)
    }

    pub fn zone(&self, n: usize) -> String {
        format!("z{}", n % self.zones)
    }

    pub fn region(&self, zone: usize) -> String {
        format!("r{}", zone % self.regions)
    }

    /// Voters first, one in each of the first zones, then routers over all zones in turn.
    pub fn fleet(&self, dir: &Path) -> Vec<Node> {
        let seeds: Vec<SocketAddr> = (0..VOTERS).map(|n| SocketAddr::new(self.ip(1, n), RAIL)).collect();
        let one = |n: usize| {
            let name = if n < VOTERS { format!("s{n}") } else { format!("p{n}") };
            let zone = if n < VOTERS { n } else { n - VOTERS };
            Node {
                dir: dir.join(&name),
                name,
                zone: kept(self.zone(zone)),
                core: n < VOTERS,
                spare: false,
                ip: self.ip(1, n),
                told: self.ip(1, n),
                cluster: CLUSTER,
                seeds: seeds.clone(),
                process: None,
                disk: Arc::new(Mutex::new(SimDisk::new(None, SizeLimits::default()))),
            }
        };
        (0..self.nodes).map(one).collect()
    }

    /// Services in turn, and for each the zones in turn.
    pub fn backs(&self) -> Vec<Arc<StandIn>> {
        let one = |n: usize| {
            let (svc, zone) = (n % self.services, n / self.services % self.zones);
            let shape = Shape {
                service: format!("m{svc}"),
                zone: self.zone(zone),
                region: self.region(zone),
                slots: 16,
                prefixes: 24,
                cold_ms: 240,
                slow_start_ms: 40,
                token_ms: 12,
            };
            StandIn::new(format!("m{svc}-z{zone}-{n}"), SocketAddr::new(self.ip(60, n), 9000), shape)
        };
        (0..self.replicas).map(one).collect()
    }

    /// One tenant in five is bound to a home. `turn` makes each document differ from the last.
    pub fn document(&self, turn: usize) -> String {
        let mut s = format!("cluster = \"{CLUSTER}\"\ntimetable = '''\n");
        s += "policy users { ttl 15m; overload 0.95; smooth 0.05; key header \"x-user\" }\n";
        for n in 0..self.services {
            let _ = writeln!(
                s,
                "entry m{n} {{ match POST \"/v1/m{n}\"; to m{n}; once; limit 4MB; deadline 30s; policy users }}"
            );
        }
        s += "'''\n";
        for z in 0..self.zones {
            let _ = writeln!(s, "[[areas]]\nname = \"z{z}\"\nregion = \"{}\"", self.region(z));
        }
        for n in 0..self.services {
            let _ = writeln!(s, "[[services]]\nname = \"m{n}\"\nkind = \"model\"");
        }
        s += "[tenancy]\nheader = \"x-tenant\"\ndefault = \"t0\"\n";
        for t in 0..self.tenants {
            let _ = writeln!(s, "[[tenants]]\nname = \"t{t}\"");
            if t % 5 == 1 {
                let _ = writeln!(s, "homes = [\"r{}\"]", t % self.regions);
            }
        }
        let _ = writeln!(s, "[tuning]\nwaitlist = {}", 64 + turn);
        s
    }
}
