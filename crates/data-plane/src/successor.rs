//! What a new home must know of the last one (design 5.4).

use crate::{
    router::Router,
    rpc::{RouterRequest, RouterResponse},
};
use common::{Service, Zone};
use control_plane::state_machine::singleton;

impl Router {
    /// Whether no router of the zone outlived the last load reports: then the zone was lost, and what is
    /// there now is cold. Those that should have are asked, since a expire takes its time.
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
}
