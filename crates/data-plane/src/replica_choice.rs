//! Choice of a replica within the own region (design 5.4).

use crate::{
    load::{Candidate, LocalLoad},
    placement_table::UserKey,
    router::{Router, is_active_in},
};
use common::{NodeId, Region, Service, rendezvous::stable_hash};
use configuration::{Kind, RoutingTable};
use control_plane::ClusterState;
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

/// Share of a region's capacity in use from which users keep to their first replicas.
const PRESSED: f64 = 0.75;

/// A replica that was picked; while this lives the request counts as open there.
pub struct SelectedReplica {
    pub addr: SocketAddr,
    pub id: common::ReplicaId,
    pub local: Arc<LocalLoad>,
    router: Arc<Router>,
}

impl Drop for SelectedReplica {
    fn drop(&mut self) {
        self.local.open.fetch_sub(1, Ordering::AcqRel);
        self.router.notify_capacity_freed();
    }
}

/// This router's part of `whole` places at a replica, cut over the region's routers by rank.
fn share(routers: &[NodeId], me: &str, key: &str, whole: u32) -> i64 {
    let ranked = common::rendezvous::ranked(key, routers, |n| n.as_str());
    let n = ranked.len().max(1) as u32;
    let place = ranked.iter().position(|m| m.as_str() == me).unwrap_or(usize::MAX);
    i64::from(whole / n) + i64::from((place as u64) < u64::from(whole % n))
}

pub fn routers_in_region(l: &ClusterState, t: &RoutingTable, region: &Region) -> Vec<NodeId> {
    l.routers().into_iter().filter(|m| is_active_in(l, t, m, region)).map(|m| m.info.node.clone()).collect()
}

/// Whether one more request may go to this replica from here (design 5.4). What a report shows as
/// free is split over the routers, so that they do not all take the same room; a replica that is
/// less than half full takes one more from each of them, so that users stay where they are warm.
pub fn has_room(c: &Candidate, routers: &[NodeId], me: &str) -> bool {
    let (id, open) = (c.load.id.as_str(), c.local.open.load(Ordering::Relaxed));
    if let Some(a) = c.load.allowance {
        // Who holds the places changes with the load reports: what is open there already counts too.
        return open < share(&c.routers, me, id, a) && c.consumption() + 1.0 <= f64::from(a);
    }
    let cap = c.load.capacity.max(1.0);
    let added = open - c.local.counted.load(Ordering::Relaxed);
    let free = (cap - c.load.consumption).max(0.0) as u32;
    let part = share(routers, me, &format!("{id}/{}", c.seq), free);
    let half_empty = c.load.consumption * 2.0 <= cap;
    c.consumption() + 1.0 <= cap && (added < part || (half_empty && added < 1))
}

/// Refused a connection here since its load reports were taken: nothing goes there before newer ones.
fn gone(c: &Candidate) -> bool {
    c.local.refused_at.load(Ordering::Relaxed) > c.fresh_at.0
}

impl Router {
    /// Picks a replica with room and counts the request there at once. `Err(true)`: there are
    /// replicas, but none has room; `Err(false)`: there are none.
    pub fn select_replica(
        self: &Arc<Self>,
        t: &RoutingTable,
        svc: &Service,
        kind: Kind,
        key: Option<UserKey>,
        tried: &[common::ReplicaId],
    ) -> Result<SelectedReplica, bool> {
        let region = self.own_region(t).ok_or(false)?;
        let l = self.cluster_state();
        let now = self.now();
        let mut all: Vec<Candidate> = self
            .own_replicas(t, svc)
            .into_iter()
            .filter(|c| !tried.contains(&c.load.id) && !gone(c))
            .collect();
        if all.is_empty() {
            return Err(false);
        }
        // Those that failed here lately come last, and only where there is nothing else.
        let avoided = |c: &Candidate| c.local.avoid_until.load(Ordering::Relaxed) > now.0;
        if all.iter().any(|c| !avoided(c)) {
            all.retain(|c| !avoided(c));
        }
        let routers = routers_in_region(&l, t, &region);
        let ratio = |c: &Candidate| c.consumption() / c.load.capacity.max(1.0);
        match (kind, key) {
            // The same user's prefixes stay on the same replicas, best the same one.
            (Kind::Model, Some(k)) => {
                let weight =
                    |c: &Candidate| stable_hash(&[&k.0.to_le_bytes(), c.load.id.as_str().as_bytes()]);
                all.sort_by_key(|c| std::cmp::Reverse(weight(c)));
                let whole: f64 = all.iter().map(|c| c.load.capacity).sum();
                let used: f64 = all.iter().map(|c| c.consumption()).sum();
                // Under load a cold run elsewhere costs more than a short wait.
                if used > whole * PRESSED {
                    all.truncate((all.len() / 8).max(2));
                }
            }
            (Kind::Model, None) => all.sort_by(|a, b| ratio(a).total_cmp(&ratio(b))),
            (Kind::Application, _) => all.sort_by(|a, b| {
                let far = |c: &Candidate| c.zone != *self.zone();
                far(a).cmp(&far(b)).then(ratio(a).total_cmp(&ratio(b)))
            }),
        }
        let best = all.into_iter().find(|c| has_room(c, &routers, self.node().as_str()));
        let c = best.ok_or(true)?;
        c.local.open.fetch_add(1, Ordering::AcqRel);
        Ok(SelectedReplica { addr: c.load.addr, id: c.load.id, local: c.local, router: self.clone() })
    }
}
