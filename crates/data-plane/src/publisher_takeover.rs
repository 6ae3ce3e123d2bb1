//! What a router takes over from the previous publisher of the load reports on a service in a zone, the router that
//! probed its replicas (design 5.4).

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
    /// Whether the whole zone was lost: no router that could have been its publisher at the time of the last load
    /// report is alive. Its replicas are cold then. Those routers are asked, since their memberships take time to
    /// expire.
    pub(crate) async fn was_zone_lost(&self, service: &Service, zone: &Zone) -> bool {
        let known = self.load_view.known();
        let Some(last) = known.reports.get(&(service.clone(), zone.clone())) else { return false };
        if self.now().since(last.fresh_at) <= 2 * self.settings.timing.probe_interval_ms {
            return false;
        }
        let holders = singleton::ranked_holders(&self.cluster_state(), "home", Some(zone));
        let previous = holders
            .into_iter()
            .filter(|m| m.epoch.0 <= last.report.fencing_token.0 && m.info.node != *self.node());
        let heartbeats = previous.map(|m| async move {
            let request = RouterRequest::Heartbeat { index: self.cluster_state().index };
            let response = self.rpc_client.call("heartbeat", m.info.rpc_addr, request).await;
            matches!(response, Ok(RouterResponse::HeartbeatAck { incarnation, .. }) if incarnation == m.info.incarnation)
        });
        let was_here = self.member.lease().epoch.0 <= last.report.fencing_token.0 && self.zone() == zone;
        !was_here && !futures::future::join_all(heartbeats).await.into_iter().any(|alive| alive)
    }

    /// Fetches the last load report from other routers, where this one has none yet. Without it a new publisher would
    /// take every warm replica for cold, and the first requests would wait for the next probe.
    pub(crate) async fn fetch_last_load_report(&self, service: &Service, zone: &Zone) {
        if self.last_load_report(service, zone).is_some() {
            return;
        }
        let (state, requested_at) = (self.cluster_state(), self.now());
        let requests = state.routers().into_iter().filter(|m| m.info.node != *self.node()).map(|m| {
            let request = RouterRequest::LastLoad { service: service.clone(), zone: zone.clone() };
            Box::pin(async move {
                match self.rpc_client.call("last load report", m.info.rpc_addr, request).await {
                    Ok(RouterResponse::LoadReport(report)) => Ok(report),
                    _ => Err(()),
                }
            })
        });
        let requests: Vec<_> = requests.collect();
        // The first report is enough: newer ones follow with the next probe.
        if !requests.is_empty()
            && let Ok((report, _)) = futures::future::select_ok(requests).await
        {
            self.install_load_report(report, requested_at);
        }
    }

    /// What a new publisher assumes of its replicas by the last load report: what was warm stays warm.
    pub(crate) fn inherited_health(
        &self,
        service: &Service,
        zone: &Zone,
        zone_lost: bool,
    ) -> BTreeMap<ReplicaId, ReplicaHealth> {
        let known = self.load_view.known();
        let health = |load: &ReplicaLoad| ReplicaHealth {
            fails: 0,
            // A replica in slow start may be absent just now: its slow start begins anew with the first probe.
            absent: zone_lost || load.allowance.is_some(),
            healthy: load.healthy,
            capacity: load.capacity,
            consumption: load.consumption,
            warm_since: None,
        };
        known
            .reports
            .get(&(service.clone(), zone.clone()))
            .map(|last| last.report.replicas.iter().map(|load| (load.id.clone(), health(load))).collect())
            .unwrap_or_default()
    }
}
