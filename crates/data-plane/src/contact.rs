//! What contacts with other nodes say (design 3.5): which nodes are reachable, whether this node is cut off from the
//! cluster, and whether it takes new work.

use crate::{
    router::{Router, lock},
    summary::EventKind,
};
use common::NodeId;
use control_plane::Member;
use hyper::{Response, StatusCode};
use std::{collections::HashMap, sync::atomic::Ordering};

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
    pub(crate) fn lease_in_doubt(&self) -> bool {
        let timing = &self.settings.timing;
        let certain_ms = timing.lease_ms.saturating_sub(DOUBT_INTERVALS * timing.renew_interval_ms());
        self.member.lease().until < self.now() + certain_ms
    }

    /// Whether a member counts as live: it is reachable, or this node has no contact with it to expect, and its membership is
    /// the evidence.
    pub fn is_live(&self, member: &Member) -> bool {
        let node = &member.info.node;
        self.is_reachable(node) || !(self.needs_contacts() || lock(&self.zone_peers).contains(node))
    }

    /// Whether this node takes new work, as it answers heartbeats.
    pub(crate) fn takes_new_work(&self) -> bool {
        self.refusal_reason().is_none() && !self.draining.load(Ordering::Acquire)
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
        let (now, lease_ms) = (self.now(), self.settings.timing.lease_ms);
        let contacts = lock(&self.last_contacts);
        let in_contact = |node: &&NodeId| {
            *node == self.node() || contacts.get(*node).is_some_and(|at| now.since(*at) <= lease_ms)
        };
        let reachable = state.members.keys().filter(in_contact).count();
        reachable * 2 <= state.members.len()
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

    /// Records in the event log that this node was cut off or reconnected, or got a new membership.
    pub(crate) fn record_contact_events(&self) {
        let (cut_off, epoch) = (self.cut_off(), self.member.lease().epoch);
        let (was_cut_off, last_epoch) = self.event_log.with_view(|summary| (summary.cut_off, summary.epoch));
        if was_cut_off != cut_off {
            self.record_event(EventKind::CutOff(cut_off));
        }
        if last_epoch < epoch {
            self.record_event(EventKind::Member(epoch));
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
            ("connections_opened", self.rpc_client.connections_opened() as i64),
        ]);
        for (name, value) in values {
            self.counters.state.with_label_values(&[name]).set(value);
        }
        self.counters.metrics.text()
    }
}
