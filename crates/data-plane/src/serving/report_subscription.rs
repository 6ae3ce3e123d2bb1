//! Subscriptions to the reports of zones (design 9.3). A router requests the report of its own zone from that zone's
//! publisher. For each other zone, one router of a zone requests the report from the publisher and relays it to the
//! others: a report crosses between two zones once, however many routers they have.

use super::{
    replica_report::ReplicaReport,
    replica_view::{ReceivedReport, ReportStore},
    state::Serving,
};
use crate::{
    router::lock,
    rpc::{RouterRequest, RouterResponse},
};
use common::{NodeId, ReplicaId, Tick, Zone, error::PeerError, log_event, source_backoff::SourceBackoff};
use control_plane::{Member, state_machine::singleton};
use std::{sync::Arc, time::Duration};

/// Report intervals for which a request for a report waits at the source.
const WAIT_INTERVALS: u64 = 2;

/// Which node a zone's report is requested from.
enum Source {
    /// The publisher, or the node that is to become it.
    Publisher(Member),
    /// A router of the own zone that relays the report.
    Relay(Member),
}

/// State of a subscription.
#[derive(Default)]
struct Subscription {
    /// Sources that failed.
    backoff: SourceBackoff<NodeId>,
    /// Publisher and number of the last report.
    last: Option<(NodeId, u64)>,
}

impl Subscription {
    /// The number of the last report if it came from this publisher, else 0.
    fn seq_of(&self, publisher: &NodeId) -> u64 {
        self.last.as_ref().filter(|last| last.0 == *publisher).map_or(0, |last| last.1)
    }
}

impl Serving {
    /// Starts a subscription to the reports of each zone, and the publication of those that this node is asked for.
    pub fn spawn_report_tasks(self: &Arc<Self>) {
        for zone in self.site.zones.keys() {
            common::runtime::spawn(self.clone().publish(zone.clone()));
            common::runtime::spawn(self.clone().subscribe(zone.clone()));
        }
    }

    /// Nodes that may publish a zone's report, in order of preference: routers of that zone first, then the others.
    pub(super) fn publishers(&self, zone: &Zone) -> Vec<Member> {
        let state = self.router.cluster_state();
        let key = format!("board/{zone}");
        let in_zone = singleton::ranked_holders(&state, &key, Some(zone));
        let elsewhere = singleton::ranked_holders(&state, &key, None)
            .into_iter()
            .filter(|member| member.info.zone != *zone);
        in_zone.into_iter().chain(elsewhere).collect()
    }

    /// Routers of the own zone that come before this one in relaying another zone's report. All routers use the same
    /// order, so requests never form a cycle.
    fn relays(&self, zone: &Zone) -> Vec<Member> {
        let own = self.router.zone();
        if zone == own {
            return Vec::new();
        }
        let state = self.router.cluster_state();
        let ranked = singleton::ranked_holders(&state, &format!("relay/{zone}"), Some(own));
        ranked.into_iter().take_while(|member| member.info.node != *self.router.node()).collect()
    }

    /// The first available relay, else the first available publisher.
    fn source(&self, zone: &Zone, backoff: &SourceBackoff<NodeId>) -> Option<Source> {
        let now = self.now();
        let available = |member: &Member| backoff.is_available(&member.info.node, now);
        let relay = self.relays(zone).into_iter().find(&available);
        relay.map(Source::Relay).or_else(|| {
            let publisher = self.publishers(zone).into_iter().find(&available);
            publisher.map(Source::Publisher)
        })
    }

    async fn subscribe(self: Arc<Self>, zone: Zone) {
        let mut subscription = Subscription::default();
        let pause_ms = self.router.settings.timing.heartbeat_ms().min(self.report_interval_ms());
        let pause = Duration::from_millis(pause_ms);
        loop {
            let now = self.now();
            let Some(source) = self.source(&zone, &subscription.backoff) else {
                tokio::time::sleep(pause).await;
                continue;
            };
            let (Source::Publisher(member) | Source::Relay(member)) = &source;
            let node = member.info.node.clone();
            match self.request_report(&zone, &source, &subscription).await {
                Ok(Some(report)) => {
                    subscription.last = Some((report.publisher.clone(), report.seq));
                    let listed_at = self.take_report(report, now);
                    // The list that the source sends is too old to be used. Another source may reach the platform.
                    if self.is_list_current(listed_at) {
                        subscription.backoff.succeed(&node);
                    } else {
                        self.try_other_source(&zone, node, &mut subscription);
                    }
                }
                Ok(None) => {
                    // A relay without a new report may be cut off from that zone, a publisher from the platform:
                    // another source, or this node itself, takes over.
                    if matches!(source, Source::Relay(_)) || !self.has_current_report(&zone) {
                        self.try_other_source(&zone, node, &mut subscription);
                    }
                    tokio::time::sleep(pause).await;
                }
                Err(error) => {
                    log_event!(Debug, error.step, "peer" => error.peer, "cause" => error.cause());
                    // The backoff counts from now: the call may have taken longer than it lasts.
                    subscription.backoff.fail(node, self.now(), self.router.settings.timing.lease_ms);
                }
            }
        }
    }

    /// Backs off from this source, unless there is no other one.
    fn try_other_source(&self, zone: &Zone, node: NodeId, subscription: &mut Subscription) {
        subscription.backoff.fail(node.clone(), self.now(), self.router.settings.timing.lease_ms);
        if self.source(zone, &subscription.backoff).is_none() {
            subscription.backoff.succeed(&node);
        }
    }

    /// Whether the list in the held report is recent enough to be used.
    fn has_current_report(&self, zone: &Zone) -> bool {
        let reports = lock(&self.reports);
        let held = reports.by_zone.get(zone);
        held.is_some_and(|held| self.is_list_current(self.listed_at(&reports, held)))
    }

    fn listed_at(&self, reports: &ReportStore, report: &ReceivedReport) -> Tick {
        reports.listed_at(report, self.list_max_age_ms(), self.site.zones.len())
    }

    /// Requests the next report of a zone; `None` if the source has none that is newer.
    async fn request_report(
        &self,
        zone: &Zone,
        source: &Source,
        subscription: &Subscription,
    ) -> Result<Option<ReplicaReport>, PeerError> {
        let wait_ms = self.report_interval_ms() * WAIT_INTERVALS;
        let zone = zone.clone();
        let (member, request) = match source {
            Source::Publisher(member) => {
                let seq = subscription.seq_of(&member.info.node);
                if member.info.node == *self.router.node() {
                    return Ok(self.router.wait_for_report(zone, seq, wait_ms).await);
                }
                (member, RouterRequest::WatchReplicas { zone, seq, wait_ms })
            }
            Source::Relay(member) => {
                let last = subscription.last.clone();
                (member, RouterRequest::RelayReplicas { zone, last, wait_ms })
            }
        };
        let (to, step) = (member.info.rpc_addr, "watch replicas");
        let timeout_ms = wait_ms + self.router.settings.timing.rpc_timeout_ms;
        match self.router.rpc_client.call_within(timeout_ms, step, to, request).await? {
            RouterResponse::ReplicaReport(report) => Ok(report.map(|report| *report)),
            _ => Err(PeerError::new(step, to, "unexpected kind of answer")),
        }
    }

    /// Takes a report that was requested at `requested_at`, unless a newer one is held, and relays it. Returns when
    /// the list in it was up to date.
    fn take_report(&self, report: ReplicaReport, requested_at: Tick) -> Tick {
        let received_at = self.now();
        let fresh_at = report.fresh_at(requested_at, received_at);
        let received = ReceivedReport { report, fresh_at, received_at };
        let mut reports = lock(&self.reports);
        let taken = reports.accept_received(received.clone());
        let listed_at = self.listed_at(&reports, &received);
        if !taken {
            return listed_at;
        }
        self.router.relay_report(received);
        let valid_ms = self.router.settings.timing.report_max_age_ms();
        let view = reports.build_view(&self.site.zones, valid_ms, self.list_max_age_ms());
        let listed = |id: &ReplicaId| view.by_service.values().flatten().any(|replica| replica.id == *id);
        lock(&self.router.prefill_tracker).retain(&listed);
        self.replica_view.store(Arc::new(view));
        listed_at
    }
}
