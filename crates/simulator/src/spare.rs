//! Machines and replicas that take the place of others (design 7.4).

use crate::{
    fleet::{Fleet, ip},
    node::Node,
    sim::disk::SimDisk,
    standin::StandIn,
};
use control_plane::types::SizeLimits;
use eyre::Result;
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
};

fn spare_ip(of: IpAddr) -> IpAddr {
    match of {
        IpAddr::V4(v) => {
            let [a, b, c, d] = v.octets();
            IpAddr::V4(Ipv4Addr::new(a, b, c, d + 8))
        }
        other => other,
    }
}

impl Fleet {
    /// An empty machine in the same zone, at a new address, for a voter that is gone.
    pub fn spare_for(&mut self, name: &str) -> Result<()> {
        let old = self.node(name)?;
        let n = Node {
            name: format!("{name}-new"),
            dir: old.dir.with_file_name(format!("{name}-new")),
            zone: old.zone,
            core: true,
            spare: true,
            ip: spare_ip(old.ip),
            told: spare_ip(old.told),
            cluster: old.cluster,
            seeds: old.seeds.clone(),
            process: None,
            disk: Arc::new(Mutex::new(SimDisk::new(None, SizeLimits::default()))),
        };
        let name = n.name.clone();
        self.nodes.retain(|o| o.name != name);
        self.nodes.push(n);
        self.start_node(&name)
    }

    /// A replica of the same kind, under another name and address.
    pub async fn another(&mut self, id: &str) -> Result<Arc<StandIn>> {
        let (n, shape) = (self.backs.len() as u8, self.back(id)?.shape.clone());
        let addr = SocketAddr::new(ip(self.net, 100, n + 1), 9000);
        let new = StandIn::new(format!("{}-{}-{n}", shape.service, shape.zone), addr, shape);
        new.start().await?;
        self.backs.push(new.clone());
        Ok(new)
    }
}
