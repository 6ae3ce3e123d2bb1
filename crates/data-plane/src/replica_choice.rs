//! Choice of a replica within this node's region (design 5.4).

use crate::{
    load::{Candidate, LocalLoad},
    placement_table::UserKey,
    router::{Router, is_active_in},
};
use common::{NodeId, Region, Service, rendezvous::stable_hash};
use configuration::{RoutingTable, ServiceKind};
use control_plane::ClusterState;
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

/// Share of the capacity in use above which each user is confined to its first-ranked replicas.
const CONFINE_USERS_ABOVE: f64 = 0.75;

/// The replica that a request goes to. The request counts as open there until this is dropped.
pub struct SelectedReplica {
    /// Address of the replica.
    pub addr: SocketAddr,
    /// Its id.
    pub id: common::ReplicaId,
    /// What this router itself knows of it.
    pub local: Arc<LocalLoad>,
    router: Arc<Router>,
}

impl Drop for SelectedReplica {
    fn drop(&mut self) {
        self.local.open.fetch_sub(1, Ordering::AcqRel);
        self.router.notify_capacity_freed();
    }
}

/// This router's share of a number of requests: an equal part, with the remainder given out by rank.
fn router_share(routers: &[NodeId], node: &str, key: &str, total: u32) -> i64 {
    let ranked = common::rendezvous::ranked(key, routers, |router| router.as_str());
    let count = ranked.len().max(1) as u32;
    let rank = ranked.iter().position(|router| router.as_str() == node).unwrap_or(usize::MAX);
    i64::from(total / count) + i64::from((rank as u64) < u64::from(total % count))
}

/// The routers of a region whose zones are not evacuated.
pub fn routers_in_region(state: &ClusterState, table: &RoutingTable, region: &Region) -> Vec<NodeId> {
    state
        .routers()
        .into_iter()
        .filter(|m| is_active_in(state, table, m, region))
        .map(|m| m.info.node.clone())
        .collect()
}

/// Whether this router may send a replica one more request (design 5.4). The free capacity by the last report is split
/// over the routers, so that they don't all use the same. A replica that is less than half full takes one more from
/// each of them, so that users stay at the replicas that hold their prefixes.
pub fn has_room(replica: &Candidate, routers: &[NodeId], node: &str) -> bool {
    let (id, open) = (replica.load.id.as_str(), replica.local.open.load(Ordering::Relaxed));
    if let Some(allowance) = replica.load.allowance {
        // The split of an allowance can change with the next report, so requests that are already open count too.
        return open < router_share(&replica.routers, node, id, allowance)
            && replica.consumption() + 1.0 <= f64::from(allowance);
    }
    let capacity = replica.load.capacity.max(1.0);
    let added = open - replica.local.counted.load(Ordering::Relaxed);
    let free = (capacity - replica.load.consumption).max(0.0) as u32;
    let share = router_share(routers, node, &format!("{id}/{}", replica.seq), free);
    let half_empty = replica.load.consumption * 2.0 <= capacity;
    replica.consumption() + 1.0 <= capacity && (added < share || (half_empty && added < 1))
}

/// Whether a replica refused a connection after its load report was measured: it gets nothing before a newer report.
fn refused_since_report(replica: &Candidate) -> bool {
    replica.local.refused_at.load(Ordering::Relaxed) > replica.fresh_at.0
}

impl Router {
    /// Selects a replica with room and counts the request there at once. `Err(true)`: there are replicas, but none
    /// has room. `Err(false)`: there are none.
    pub fn select_replica(
        self: &Arc<Self>,
        table: &RoutingTable,
        service: &Service,
        kind: ServiceKind,
        key: Option<UserKey>,
        tried: &[common::ReplicaId],
    ) -> Result<SelectedReplica, bool> {
        let region = self.own_region(table).ok_or(false)?;
        let state = self.cluster_state();
        let now = self.now();
        let mut replicas: Vec<Candidate> = self
            .own_replicas(table, service)
            .into_iter()
            .filter(|c| !tried.contains(&c.load.id) && !refused_since_report(c))
            .collect();
        if replicas.is_empty() {
            return Err(false);
        }
        // A replica that failed here lately is used only where there is no other.
        let avoided = |c: &Candidate| c.local.avoid_until.load(Ordering::Relaxed) > now.0;
        if replicas.iter().any(|c| !avoided(c)) {
            replicas.retain(|c| !avoided(c));
        }
        let routers = routers_in_region(&state, table, &region);
        let ratio = |c: &Candidate| c.consumption() / c.load.capacity.max(1.0);
        match (kind, key) {
            // Requests of one user go to the same few replicas, which hold the user's prefixes.
            (ServiceKind::Model, Some(key)) => {
                let rank =
                    |c: &Candidate| stable_hash(&[&key.0.to_le_bytes(), c.load.id.as_str().as_bytes()]);
                replicas.sort_by_key(|c| std::cmp::Reverse(rank(c)));
                let capacity: f64 = replicas.iter().map(|c| c.load.capacity).sum();
                let used: f64 = replicas.iter().map(|c| c.consumption()).sum();
                // Under high load, a run without cached prefixes elsewhere costs more than a short wait.
                if used > capacity * CONFINE_USERS_ABOVE {
                    replicas.truncate((replicas.len() / 8).max(2));
                }
            }
            (ServiceKind::Model, None) => replicas.sort_by(|a, b| ratio(a).total_cmp(&ratio(b))),
            (ServiceKind::Application, _) => replicas.sort_by(|a, b| {
                let other_zone = |c: &Candidate| c.zone != *self.zone();
                other_zone(a).cmp(&other_zone(b)).then(ratio(a).total_cmp(&ratio(b)))
            }),
        }
        let best = replicas.into_iter().find(|c| has_room(c, &routers, self.node().as_str()));
        let best = best.ok_or(true)?;
        best.local.open.fetch_add(1, Ordering::AcqRel);
        Ok(SelectedReplica {
            addr: best.load.addr,
            id: best.load.id,
            local: best.local,
            router: self.clone(),
        })
    }
}
