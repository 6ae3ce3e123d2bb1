//! Signs of life between nodes (design 3.5): who is heard, whether this node is cut off, and
//! newer state updates from peers.

use crate::{
    router::{Router, lock},
    rpc::{RouterRequest, RouterResponse},
    summary::EventKind,
};
use common::{Index, NodeId};
use control_plane::{Role, rpc as signal};
use hyper::{Response, StatusCode};
use std::{collections::HashMap, sync::Arc, sync::atomic::Ordering, time::Duration};

impl Router {
    /// Answered, within a lease's length, a hail from here.
    pub fn is_reachable(&self, n: &NodeId) -> bool {
        let now = self.now();
        lock(&self.last_contacts).get(n).is_some_and(|t| now.since(*t) <= self.set.timing.lease_ms)
    }

    /// Without a lease, and without a majority of the last known members: new work is rejected.
    /// With that majority it is the core that is out, and traffic attempts on.
    pub fn cut_off(&self) -> bool {
        if !self.member.caught_up() {
            return true;
        }
        if self.member.has_lease() {
            return false;
        }
        let l = self.cluster_state();
        let all = l.members.len();
        let last_contacts = l.members.keys().filter(|n| **n == *self.node() || self.is_reachable(n)).count();
        last_contacts * 2 <= all
    }

    /// Why this node takes no new work now (design 3.5, 3.6).
    pub fn refuses_work(&self) -> Option<&'static str> {
        let l = self.cluster_state();
        let newer = self.governing.load().as_ref().is_none_or(|g| g.revision < l.revision);
        [
            (!self.member.caught_up(), "joining"),
            (self.cut_off(), "cut off"),
            (self.member.lags(), "lags behind the core"),
            (newer && self.unreadable.load(Ordering::Acquire) == l.revision.0, "document not readable"),
        ]
        .into_iter()
        .find_map(|(no, why)| no.then_some(why))
    }

    pub async fn send_heartbeats(self: Arc<Self>) {
        let mut wakeup = tokio::time::interval(Duration::from_millis(self.set.timing.renew_interval_ms()));
        wakeup.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            wakeup.tick().await;
            let l = self.cluster_state();
            self.record_contact();
            let turns = if common::mutation::enabled("hails-squared") { l.members.len() / 4 } else { 1 };
            let others = l.members.values().filter(|m| m.info.node != *self.node());
            for m in others.flat_map(|m| std::iter::repeat_n(m, turns)) {
                let (me, m, index) = (self.clone(), m.clone(), l.index);
                // Counted from here: an answer may lie in a socket for as long as this node is frozen.
                let asked = me.now();
                common::runtime::spawn(async move {
                    let to = m.info.rpc_addr;
                    let index = match m.info.role {
                        Role::Router => {
                            match me.lines.call("hail", to, RouterRequest::Heartbeat { index }).await {
                                Ok(RouterResponse::HeartbeatAck { index, incarnation, fit })
                                    if incarnation == m.info.incarnation =>
                                {
                                    let mut g = lock(&me.refusing);
                                    if fit {
                                        g.remove(&m.info.node)
                                    } else {
                                        g.insert(m.info.node.clone())
                                    };
                                    Some(index)
                                }
                                // Nothing listens there any more: no need to wait until it is missed.
                                Err(e) if e.is_refused() => {
                                    lock(&me.last_contacts).remove(&m.info.node);
                                    None
                                }
                                _ => None,
                            }
                        }
                        Role::Control => {
                            let ask = signal::ControlRequest::Heartbeat { index };
                            match me.member.control.call("hail", to, ask).await {
                                Ok(signal::ControlResponse::HeartbeatAck { index }) => Some(index),
                                _ => None,
                            }
                        }
                    };
                    if let Some(index) = index {
                        me.note_contact(m.info.node.clone(), asked);
                        if m.info.role == Role::Router {
                            me.fetch_state_from(to, index).await;
                        }
                    }
                });
            }
            let (purged, now) = (self.set.timing.lease_ms * 10, self.now());
            lock(&self.last_contacts).retain(|_, t| now.since(*t) < purged);
            lock(&self.placements).sweep(now);
        }
    }

    fn note_contact(&self, n: NodeId, asked: common::Tick) {
        let mut last_contacts = lock(&self.last_contacts);
        if common::mutation::enabled("hears-by-pair") {
            let by = |m: &NodeId| NodeId::new(format!("{n}/{m}"));
            last_contacts.extend(self.cluster_state().members.keys().map(|m| (by(m), asked)));
        }
        last_contacts.insert(n, asked);
    }

    /// Changes of the own standing go into the journal.
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
            self.lines.call("news", peer, RouterRequest::FetchState { have }).await
        {
            let _ = self.member.install(n, &peer.to_string());
        }
    }

    /// Fit to take new work, as the platform asks it.
    pub fn ready(&self) -> Response<common::http::Body> {
        let l = self.cluster_state();
        let why: Vec<&str> = [
            (self.governing.load().is_none(), "no configuration"),
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
        let revision = self.member.revision_in_force.load(Ordering::Acquire);
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
            ("revision", self.member.revision_in_force.load(Ordering::Acquire) as i64),
            ("open_jobs", self.open_count.open() as i64),
            ("waitlist", lock(&self.queue).len() as i64),
            ("table_rows", lock(&self.placements).len() as i64),
        ]);
        for (k, v) in vals {
            self.counters.state.with_label_values(&[k]).set(v);
        }
        self.counters.metrics.text()
    }
}
