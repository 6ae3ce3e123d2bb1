//! What a new home must know of the last one (design 5.4).

use crate::{
    load::ReplicaLoad,
    replica_health::ReplicaHealth,
    router::Router,
    rpc::{RouterRequest, RouterResponse},
};
use common::{ReplicaId, Service, Zone};
use control_plane::state_machine::singleton;
use std::collections::BTreeMap;

impl Router {
    /// Whether no router of the zone outlived the last load reports: then the zone was lost, and what is
    /// there now is cold. Those that should have are asked, since an expiry takes its time.
    pub(crate) async fn lost(&self, service: &Service, zone: &Zone) -> bool {
        let b = self.load_view.board();
        let Some(s) = b.seen.get(&(service.clone(), zone.clone())) else { return false };
        if self.now().since(s.at) <= 2 * self.set.timing.probe_interval_ms {
            return false;
        }
        let line = singleton::ranked_holders(&self.cluster_state(), "home", Some(zone));
        let older =
            line.into_iter().filter(|m| m.epoch.0 <= s.fig.fencing_token.0 && m.info.node != *self.node());
        let asks = older.map(|m| async move {
            let ask = RouterRequest::Heartbeat { index: self.cluster_state().index };
            let told = self.lines.call("heartbeat", m.info.rpc_addr, ask).await;
            matches!(told, Ok(RouterResponse::HeartbeatAck { incarnation, .. }) if incarnation == m.info.incarnation)
        });
        let mine = self.member.lease().epoch.0 <= s.fig.fencing_token.0 && self.zone() == zone;
        !mine && !futures::future::join_all(asks).await.into_iter().any(|up| up)
    }

    /// A router that has heard nothing yet asks others for the last load reports: without them a new
    /// home would take every warm replica for cold, and first requests would wait for the next check.
    pub(crate) async fn ask_the_last(&self, service: &Service, zone: &Zone) {
        if self.last_load_report(service, zone).is_some() {
            return;
        }
        let (others, asked) = (self.cluster_state(), self.now());
        let asks = others.routers().into_iter().filter(|m| m.info.node != *self.node()).map(|m| {
            let ask = RouterRequest::LastLoad { service: service.clone(), zone: zone.clone() };
            Box::pin(async move {
                match self.lines.call("last load report", m.info.rpc_addr, ask).await {
                    Ok(RouterResponse::LoadReport(f)) => Ok(f),
                    _ => Err(()),
                }
            })
        });
        let asks: Vec<_> = asks.collect();
        // The first that knows is enough: newer ones follow with the next check.
        if !asks.is_empty()
            && let Ok((f, _)) = futures::future::select_ok(asks).await
        {
            self.install_load_report(f, asked);
        }
    }

    /// A new home goes on from the load reports of the last one: what was warm stays warm.
    pub(crate) fn inherited(
        &self,
        service: &Service,
        zone: &Zone,
        lost: bool,
    ) -> BTreeMap<ReplicaId, ReplicaHealth> {
        let b = self.load_view.board();
        let from = |g: &ReplicaLoad| ReplicaHealth {
            fails: 0,
            // What is on its ramp may be away just now: it begins anew with the first check.
            absent: lost || g.allowance.is_some(),
            healthy: g.healthy,
            capacity: g.capacity,
            consumption: g.consumption,
            warm_since: None,
        };
        b.seen
            .get(&(service.clone(), zone.clone()))
            .map(|s| s.fig.replicas.iter().map(|g| (g.id.clone(), from(g))).collect())
            .unwrap_or_default()
    }
}
