//! Control nodes and replicas that are started to take the place of others (design 7.4).

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

/// Address of the machine that replaces the one at `old`.
fn replacement_ip(old: IpAddr) -> IpAddr {
    match old {
        IpAddr::V4(address) => {
            let [a, b, c, d] = address.octets();
            IpAddr::V4(Ipv4Addr::new(a, b, c, d + 8))
        }
        other => other,
    }
}

impl Fleet {
    /// Starts an empty control node in the same zone, at a new address, in place of a voter that is gone.
    pub fn start_replacement(&mut self, name: &str) -> Result<()> {
        let old = self.node(name)?;
        let new = Node {
            name: format!("{name}-new"),
            dir: old.dir.with_file_name(format!("{name}-new")),
            zone: old.zone,
            is_control: true,
            is_replacement: true,
            ip: replacement_ip(old.ip),
            advertised_ip: replacement_ip(old.advertised_ip),
            cluster: old.cluster,
            seeds: old.seeds.clone(),
            resources: Default::default(),
            running: None,
            disk: Arc::new(Mutex::new(SimDisk::new(None, SizeLimits::default()))),
        };
        let name = new.name.clone();
        self.nodes.retain(|node| node.name != name);
        self.nodes.push(new);
        self.start_node(&name)
    }

    /// Starts a replica of the same kind, under another id and address.
    pub async fn start_replica_like(&mut self, id: &str) -> Result<Arc<FakeReplica>> {
        let (number, spec) = (self.replicas.len() as u8, self.replica(id)?.spec.clone());
        let addr = SocketAddr::new(ip(self.net, 100, number + 1), 9000);
        let new = FakeReplica::new(format!("{}-{}-{number}", spec.service, spec.zone), addr, spec);
        new.start().await?;
        self.replicas.push(new.clone());
        Ok(new)
    }
}
