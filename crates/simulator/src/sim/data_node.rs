//! Routers of the simulated data plane.

use common::{NodeId, Region, Service};
use control_plane::{ClusterState, Role, types::NodeInfo};
use data_plane::{
    capacity_grant::{GrantIssuer, HeldGrants},
    placement_table::PlacementTable,
};
use std::collections::BTreeMap;

/// Routers; the second half is in the region that grants capacity.
pub(super) const ROUTERS: usize = 6;

/// A simulated router.
pub(super) struct Node {
    /// Its identity as it joined the cluster.
    pub info: NodeInfo,
    /// The newest state that the router has.
    pub cluster_state: ClusterState,
    /// Its placement table.
    pub table: PlacementTable,
    /// Issues grants while the router is the grant issuer of its region.
    pub issuer: GrantIssuer,
    /// Grants that it holds.
    pub grants: HeldGrants,
    /// Whether it owns each shard, by its own state.
    pub owned_shards: BTreeMap<u16, bool>,
}

/// The service that all grants and placements are for.
pub(super) fn service() -> Service {
    Service::new("m")
}

/// The region of a router. Only `quiet`, the region of routers 3 to 5, grants capacity.
pub(super) fn region(n: usize) -> Region {
    Region::new(if n < ROUTERS / 2 { "busy" } else { "quiet" })
}

/// Identity of a router.
pub(super) fn node_info(n: usize, incarnation: u64) -> NodeInfo {
    let addr = ([127, 0, 0, 1], 7000 + n as u16).into();
    let (node, zone) = (format!("p{n}").as_str().into(), region(n).as_str().into());
    NodeInfo {
        node,
        incarnation: common::Incarnation(incarnation),
        role: Role::Router,
        lang: 1,
        zone,
        rpc_addr: addr,
        http: addr,
    }
}

/// The number of a router, from its name.
pub(super) fn router_index(node: &NodeId) -> usize {
    node.as_str()[1..].parse().unwrap_or(0)
}
