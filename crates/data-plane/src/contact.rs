//! Signs of life between nodes (design 3.5): who is heard, whether this node is cut off, and
//! newer state updates from peers.

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

/// Leases after which a contact is forgotten.
const FORGOTTEN_LEASES: u64 = 10;
/// Renewal intervals after the last granted renewal from which a lease is in doubt. What is left of it is long enough
/// to hear a majority of the members before it ends.
const DOUBT_INTERVALS: u64 = 2;

impl Router {
    /// Answered, within a lease's length, a heartbeat from here.
    pub fn is_reachable(&self, n: &NodeId) -> bool {
        let now = self.now();
        lock(&self.last_contacts).get(n).is_some_and(|t| now.since(*t) <= self.settings.timing.lease_ms)
    }

    /// Whether a renewal is overdue: the lease may end, and then contact with a majority of the members decides
    /// whether this node is cut off.
    fn lease_in_doubt(&self) -> bool {
        let timing = &self.settings.timing;
        let certain_ms = timing.lease_ms.saturating_sub(DOUBT_INTERVALS * timing.renew_interval_ms());
        self.member.lease().until < self.now() + certain_ms
    }

    /// Whether a member is sent heartbeats now. Those of the own zone always are, since clients are sent to them;
    /// all others only while the own lease is in doubt, so that control traffic does not grow with the square of
    /// the members.
    fn monitors(&self, member: &Member) -> bool {
        member.info.zone == *self.zone() || self.lease_in_doubt()
    }

    /// Whether a member may be taken to be there: it was heard lately, or it holds a membership and is not monitored.
    pub fn is_live(&self, member: &Member) -> bool {
        self.is_reachable(&member.info.node) || !self.monitors(member)
    }

    /// Without a lease, and without a majority of the last known members: new work is rejected.
    /// With that majority it is the core that is out, and traffic goes on.
    pub fn cut_off(&self) -> bool {
        if !self.member.caught_up() {
            return true;
        }
        if self.member.has_lease() {
            return false;
        }
        let l = self.cluster_state();
        let all = l.members.len();
        let reachable = l.members.keys().filter(|n| **n == *self.node() || self.is_reachable(n)).count();
        reachable * 2 <= all
    }

    /// Why this node takes no new work now (design 3.5, 3.6).
    pub fn refuses_work(&self) -> Option<&'static str> {
        let l = self.cluster_state();
        let newer = self.configuration.load().as_ref().is_none_or(|g| g.revision < l.revision);
        [
            (!self.member.caught_up(), "joining"),
            (self.cut_off(), "cut off"),
            (self.member.lags(), "lags behind the core"),
            (
                newer && self.unreadable_revision.load(Ordering::Acquire) == l.revision.0,
                "document not readable",
            ),
        ]
        .into_iter()
        .find_map(|(no, why)| no.then_some(why))
    }

    /// Sends a heartbeat to each member that is monitored, once within a renewal interval.
    pub async fn send_heartbeats(self: Arc<Self>) {
        let interval = Duration::from_millis(self.settings.timing.renew_interval_ms());
        let mut ticks = tokio::time::interval(interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let state = self.cluster_state();
            self.record_contact();
            let others = state.members.values().filter(|member| member.info.node != *self.node());
            for member in others.filter(|member| self.monitors(member)) {
                common::runtime::spawn(self.clone().send_heartbeat(member.clone(), state.index));
            }
            let (forgotten_ms, now) = (self.settings.timing.lease_ms * FORGOTTEN_LEASES, self.now());
            lock(&self.last_contacts).retain(|_, at| now.since(*at) < forgotten_ms);
            lock(&self.placements).sweep(now);
        }
    }

    /// A contact counts from before its heartbeat was sent: an answer may lie in a socket for as long as this node
    /// is frozen. It is polled from a task of its own.
    fn send_heartbeat(self: Arc<Self>, member: Member, index: Index) -> impl Future<Output = ()> + Send {
        let sent = self.now();
        async move {
            let answered = match member.info.role {
                Role::Router => self.router_heartbeat(&member, index).await,
                Role::Control => self.control_heartbeat(&member, index).await,
            };
            let Some(answered) = answered else { return };
            self.note_contact(member.info.node.clone(), sent);
            if member.info.role == Role::Router {
                self.fetch_state_from(member.info.rpc_addr, answered).await;
            }
        }
    }

    /// The index that a router answers with; `None` without an answer of that incarnation.
    async fn router_heartbeat(&self, member: &Member, index: Index) -> Option<Index> {
        let (to, node) = (member.info.rpc_addr, &member.info.node);
        match self.rpc_client.call("heartbeat", to, RouterRequest::Heartbeat { index }).await {
            Ok(RouterResponse::HeartbeatAck { index, incarnation, fit })
                if incarnation == member.info.incarnation =>
            {
                let mut refusing = lock(&self.refusing);
                if fit {
                    refusing.remove(node);
                } else {
                    refusing.insert(node.clone());
                }
                Some(index)
            }
            // Nothing listens there any more: no need to wait until it is missed.
            Err(e) if e.is_refused() => {
                lock(&self.last_contacts).remove(node);
                None
            }
            _ => None,
        }
    }

    async fn control_heartbeat(&self, member: &Member, index: Index) -> Option<Index> {
        let request = ControlRequest::Heartbeat { index };
        match self.member.control.call("heartbeat", member.info.rpc_addr, request).await {
            Ok(ControlResponse::HeartbeatAck { index }) => Some(index),
            _ => None,
        }
    }

    fn note_contact(&self, n: NodeId, asked: common::Tick) {
        lock(&self.last_contacts).insert(n, asked);
    }

    /// Changes of the own contact go into the event log.
    fn record_contact(&self) {
        let (cut, epoch) = (self.cut_off(), self.member.lease().epoch);
        let d = self.event_log.with(|d| (d.cut_off, d.epoch));
        if d.0 != cut {
            self.record_event(EventKind::CutOff(cut));
        }
        if d.1 < epoch {
            self.record_event(EventKind::Member(epoch));
        }
    }

    /// A peer that has seen more tells it; an older state is never installed.
    async fn fetch_state_from(&self, peer: std::net::SocketAddr, index: Index) {
        let have = self.cluster_state().index;
        if index <= have {
            return;
        }
        if let Ok(RouterResponse::StateUpdate(n)) =
            self.rpc_client.call("fetch state", peer, RouterRequest::FetchState { have }).await
        {
            let _ = self.member.install(n, &peer.to_string());
        }
    }

    /// Fit to take new work, as the platform asks it.
    pub fn ready(&self) -> Response<common::http::Body> {
        let l = self.cluster_state();
        let why: Vec<&str> = [
            (self.configuration.load().is_none(), "no configuration"),
            (self.draining.load(Ordering::Acquire), "draining"),
            (self.cut_off(), "cut off"),
            (self.member.lags(), "lags behind the core"),
            (self.refuses_work() == Some("document not readable"), "document not readable"),
            (l.evacuated.contains(self.zone()), "area evacuated"),
        ]
        .into_iter()
        .filter_map(|(no, why)| no.then_some(why))
        .collect();
        let code = if why.is_empty() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let revision = self.member.active_revision.load(Ordering::Acquire);
        common::http::json(
            code,
            &serde_json::json!({"ready": why.is_empty(), "why": why, "revision": revision, "idx": l.index}),
        )
    }

    pub fn metrics(&self) -> String {
        let l = self.cluster_state();
        let vals: HashMap<&str, i64> = HashMap::from([
            ("tenured", i64::from(self.member.has_lease())),
            ("cut_off", i64::from(self.cut_off())),
            ("lags", i64::from(self.member.lags())),
            ("unreadable", i64::from(self.refuses_work() == Some("document not readable"))),
            ("index", l.index.0 as i64),
            ("revision", self.member.active_revision.load(Ordering::Acquire) as i64),
            ("open_jobs", self.open_count.open() as i64),
            ("waitlist", lock(&self.request_queue).len() as i64),
            ("table_rows", lock(&self.placements).len() as i64),
        ]);
        for (k, v) in vals {
            self.counters.state.with_label_values(&[k]).set(v);
        }
        self.counters.metrics.text()
    }
}
