//! Heartbeats between nodes (design 3.5): which nodes are reachable, whether this node is cut off from the cluster, and
//! state updates from peers that are ahead.

use crate::{
    router::{Router, lock},
    rpc::{RouterRequest, RouterResponse},
    summary::EventKind,
};
use common::{Index, NodeId};
use control_plane::{
    Member, Role,
    rpc::{ControlRequest, ControlResponse},
};
use hyper::{Response, StatusCode};
use std::{collections::HashMap, sync::Arc, sync::atomic::Ordering, time::Duration};

/// Age at which a contact is dropped, in lease durations.
const CONTACT_RETENTION_LEASES: u64 = 10;
/// A lease is in doubt this many renewal intervals after its last renewal. The rest of the lease is long enough to
/// exchange heartbeats with a majority of the members before it ends.
const DOUBT_INTERVALS: u64 = 2;

impl Router {
    /// Whether a node answered a heartbeat from here within the last lease duration.
    pub fn is_reachable(&self, node: &NodeId) -> bool {
        let now = self.now();
        lock(&self.last_contacts).get(node).is_some_and(|t| now.since(*t) <= self.settings.timing.lease_ms)
    }

    /// Whether a renewal of the lease is overdue. Should the lease end, this node is cut off unless it is in contact
    /// with a majority of the members.
    fn lease_in_doubt(&self) -> bool {
        let timing = &self.settings.timing;
        let certain_ms = timing.lease_ms.saturating_sub(DOUBT_INTERVALS * timing.renew_interval_ms());
        self.member.lease().until < self.now() + certain_ms
    }

    /// Whether this node sends a member heartbeats now. Members of its own zone always get them, since clients are
    /// referred to them. The others get them only while the lease is in doubt, so that the traffic does not grow with
    /// the square of the number of members.
    fn monitors(&self, member: &Member) -> bool {
        member.info.zone == *self.zone() || self.lease_in_doubt()
    }

    /// Whether a member counts as live: it is reachable, or it is not monitored, and its membership is the evidence.
    pub fn is_live(&self, member: &Member) -> bool {
        self.is_reachable(&member.info.node) || !self.monitors(member)
    }

    /// Whether this node has neither a lease nor contact with a majority of the last known members, and so rejects new
    /// work. Without a lease but with that majority it is the core that has failed, and traffic goes on.
    pub fn cut_off(&self) -> bool {
        if !self.member.caught_up() {
            return true;
        }
        if self.member.has_lease() {
            return false;
        }
        let state = self.cluster_state();
        let all = state.members.len();
        let reachable = state.members.keys().filter(|n| **n == *self.node() || self.is_reachable(n)).count();
        reachable * 2 <= all
    }

    /// Why this node rejects new work now, if it does (design 3.5, 3.6).
    pub fn refusal_reason(&self) -> Option<&'static str> {
        let state = self.cluster_state();
        let newer = self.configuration.load().as_ref().is_none_or(|c| c.revision < state.revision);
        [
            (!self.member.caught_up(), "joining"),
            (self.cut_off(), "cut off"),
            (self.member.lags(), "lags behind the core"),
            (
                newer && self.unreadable_revision.load(Ordering::Acquire) == state.revision.0,
                "document not readable",
            ),
        ]
        .into_iter()
        .find_map(|(applies, reason)| applies.then_some(reason))
    }

    /// Sends a heartbeat to each monitored member once in a renewal interval.
    pub async fn send_heartbeats(self: Arc<Self>) {
        let interval = Duration::from_millis(self.settings.timing.renew_interval_ms());
        let mut ticks = tokio::time::interval(interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let state = self.cluster_state();
            self.record_contact_events();
            let others = state.members.values().filter(|member| member.info.node != *self.node());
            for member in others.filter(|member| self.monitors(member)) {
                common::runtime::spawn(self.clone().send_heartbeat(member.clone(), state.index));
            }
            let (retention_ms, now) = (self.settings.timing.lease_ms * CONTACT_RETENTION_LEASES, self.now());
            lock(&self.last_contacts).retain(|_, at| now.since(*at) < retention_ms);
            lock(&self.placements).sweep(now);
        }
    }

    /// Sends one heartbeat, and records the contact as of the time before it was sent: a response may lie unread in a
    /// socket for as long as this process is suspended. The future runs in a task of its own.
    fn send_heartbeat(self: Arc<Self>, member: Member, index: Index) -> impl Future<Output = ()> + Send {
        let sent = self.now();
        async move {
            let answered = match member.info.role {
                Role::Router => self.router_heartbeat(&member, index).await,
                Role::Control => self.control_heartbeat(&member, index).await,
            };
            let Some(answered) = answered else { return };
            self.set_last_contact(member.info.node.clone(), sent);
            if member.info.role == Role::Router {
                self.fetch_state_from(member.info.rpc_addr, answered).await;
            }
        }
    }

    /// The index that a router answers with; `None` without a response from the incarnation that is a member.
    async fn router_heartbeat(&self, member: &Member, index: Index) -> Option<Index> {
        let (address, node) = (member.info.rpc_addr, &member.info.node);
        match self.rpc_client.call("heartbeat", address, RouterRequest::Heartbeat { index }).await {
            Ok(RouterResponse::HeartbeatAck { index, incarnation, fit })
                if incarnation == member.info.incarnation =>
            {
                let mut refusing = lock(&self.refusing_nodes);
                if fit {
                    refusing.remove(node);
                } else {
                    refusing.insert(node.clone());
                }
                Some(index)
            }
            // Nothing listens there any more: the node is unreachable without waiting for the contact to age.
            Err(e) if e.is_refused() => {
                lock(&self.last_contacts).remove(node);
                None
            }
            _ => None,
        }
    }

    /// The index that a control node answers with.
    async fn control_heartbeat(&self, member: &Member, index: Index) -> Option<Index> {
        let request = ControlRequest::Heartbeat { index };
        match self.member.control.call("heartbeat", member.info.rpc_addr, request).await {
            Ok(ControlResponse::HeartbeatAck { index }) => Some(index),
            _ => None,
        }
    }

    fn set_last_contact(&self, node: NodeId, sent: common::Tick) {
        lock(&self.last_contacts).insert(node, sent);
    }

    /// Records in the event log that this node was cut off or reconnected, or got a new membership.
    fn record_contact_events(&self) {
        let (cut_off, epoch) = (self.cut_off(), self.member.lease().epoch);
        let (was_cut_off, last_epoch) = self.event_log.with_view(|summary| (summary.cut_off, summary.epoch));
        if was_cut_off != cut_off {
            self.record_event(EventKind::CutOff(cut_off));
        }
        if last_epoch < epoch {
            self.record_event(EventKind::Member(epoch));
        }
    }

    /// Fetches the cluster state of a peer whose state is newer than this node's.
    async fn fetch_state_from(&self, peer: std::net::SocketAddr, index: Index) {
        let have = self.cluster_state().index;
        if index <= have {
            return;
        }
        if let Ok(RouterResponse::StateUpdate(update)) =
            self.rpc_client.call("fetch state", peer, RouterRequest::FetchState { have }).await
        {
            let _ = self.member.install(update, &peer.to_string());
        }
    }

    /// Response of the readiness check: whether this node takes new work, and if not, why.
    pub fn ready(&self) -> Response<common::http::Body> {
        let state = self.cluster_state();
        let why: Vec<&str> = [
            (self.configuration.load().is_none(), "no configuration"),
            (self.draining.load(Ordering::Acquire), "draining"),
            (self.cut_off(), "cut off"),
            (self.member.lags(), "lags behind the core"),
            (self.refusal_reason() == Some("document not readable"), "document not readable"),
            (state.evacuated.contains(self.zone()), "area evacuated"),
        ]
        .into_iter()
        .filter_map(|(applies, reason)| applies.then_some(reason))
        .collect();
        let code = if why.is_empty() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let revision = self.member.active_revision.load(Ordering::Acquire);
        common::http::json(
            code,
            &serde_json::json!({"ready": why.is_empty(), "why": why, "revision": revision, "idx": state.index}),
        )
    }

    /// All metrics in the text format of Prometheus.
    pub fn metrics(&self) -> String {
        let state = self.cluster_state();
        let values: HashMap<&str, i64> = HashMap::from([
            ("tenured", i64::from(self.member.has_lease())),
            ("cut_off", i64::from(self.cut_off())),
            ("lags", i64::from(self.member.lags())),
            ("unreadable", i64::from(self.refusal_reason() == Some("document not readable"))),
            ("index", state.index.0 as i64),
            ("revision", self.member.active_revision.load(Ordering::Acquire) as i64),
            ("open_jobs", self.open_count.open() as i64),
            ("waitlist", lock(&self.request_queue).len() as i64),
            ("table_rows", lock(&self.placements).len() as i64),
        ]);
        for (name, value) in values {
            self.counters.state.with_label_values(&[name]).set(value);
        }
        self.counters.metrics.text()
    }
}
