//! Machines and replicas that take the place of others (design 7.4).

use crate::{
    fake_replica::FakeReplica,
    fleet::{Fleet, ip},
    node::Node,
    sim::disk::SimDisk,
};
use control_plane::types::SizeLimits;
use eyre::Result;
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
};

fn replacement_ip(of: IpAddr) -> IpAddr {
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
    pub fn start_replacement(&mut self, name: &str) -> Result<()> {
        let old = self.node(name)?;
        let n = Node {
            name: format!("{name}-new"),
            dir: old.dir.with_file_name(format!("{name}-new")),
            zone: old.zone,
            is_control: true,
            is_replacement: true,
            ip: replacement_ip(old.ip),
            advertised_ip: replacement_ip(old.advertised_ip),
            cluster: old.cluster,
            seeds: old.seeds.clone(),
            running: None,
            disk: Arc::new(Mutex::new(SimDisk::new(None, SizeLimits::default()))),
        };
        let name = n.name.clone();
        self.nodes.retain(|o| o.name != name);
        self.nodes.push(n);
        self.start_node(&name)
    }

    /// A replica of the same kind, under another name and address.
    pub async fn start_replica_like(&mut self, id: &str) -> Result<Arc<FakeReplica>> {
        let (n, spec) = (self.replicas.len() as u8, self.replica(id)?.spec.clone());
        let addr = SocketAddr::new(ip(self.net, 100, n + 1), 9000);
        let new = FakeReplica::new(format!("{}-{}-{n}", spec.service, spec.zone), addr, spec);
        new.start().await?;
        self.replicas.push(new.clone());
        Ok(new)
    }
}
