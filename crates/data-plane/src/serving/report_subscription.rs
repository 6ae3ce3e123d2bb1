//! Subscriptions to the reports of zones (design 9.3). A router asks the publisher of its own zone; reports of other
//! zones it has from one router of its own zone, which asks the publisher there: so a report crosses between two zones
//! once, however many routers they have.

use super::{
    replica_report::ReplicaReport,
    replica_view::{ReceivedReport, ReportStore},
    source_backoff::SourceBackoff,
    state::Serving,
};
use crate::{
    router::lock,
    rpc::{RouterRequest, RouterResponse},
};
use common::{NodeId, ReplicaId, Tick, Zone, error::PeerError, log_event};
use control_plane::{Member, state_machine::singleton};
use std::{sync::Arc, time::Duration};

/// Report intervals for which a request for a report waits.
const WAIT_INTERVALS: u64 = 2;

/// Whom a router asks for a zone's report.
enum Source {
    /// The publisher itself, or who is to become it.
    Publisher(Member),
    /// A router of the own zone that passes the report on.
    Relay(Member),
}

/// Where a subscription stands: sources that failed, and the report that was taken last.
#[derive(Default)]
struct Subscription {
    backoff: SourceBackoff,
    last: Option<(NodeId, u64)>,
}

impl Subscription {
    /// The number of the last report, where that came from this publisher.
    fn seq_of(&self, publisher: &NodeId) -> u64 {
        self.last.as_ref().filter(|last| last.0 == *publisher).map_or(0, |last| last.1)
    }
}

impl Serving {
    /// Subscribes to each zone's reports, and publishes those that are this node's to publish.
    pub fn spawn_report_tasks(self: &Arc<Self>) {
        for zone in self.site.zones.keys() {
            common::runtime::spawn(self.clone().publish(zone.clone()));
            common::runtime::spawn(self.clone().subscribe(zone.clone()));
        }
    }

    /// Claimants to the publication of a zone: its own routers first, then the others.
    pub(super) fn publishers(&self, zone: &Zone) -> Vec<Member> {
        let l = self.router.cluster_state();
        let key = format!("board/{zone}");
        let near = singleton::ranked_holders(&l, &key, Some(zone));
        let far = singleton::ranked_holders(&l, &key, None).into_iter().filter(|m| m.info.zone != *zone);
        near.into_iter().chain(far).collect()
    }

    /// Routers of the own zone that precede this one in passing on the report of another zone. All see the same
    /// order, so nobody asks in a circle.
    fn relays(&self, zone: &Zone) -> Vec<Member> {
        let own = self.router.zone();
        if zone == own {
            return Vec::new();
        }
        let state = self.router.cluster_state();
        let ranked = singleton::ranked_holders(&state, &format!("relay/{zone}"), Some(own));
        ranked.into_iter().take_while(|member| member.info.node != *self.router.node()).collect()
    }

    fn source(&self, zone: &Zone, backoff: &SourceBackoff) -> Option<Source> {
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
                    // The source passes on what nobody may go by: another one may reach the platform.
                    if self.is_list_current(listed_at) {
                        subscription.backoff.succeed(&node);
                    } else {
                        self.pass_over(&zone, node, &mut subscription);
                    }
                }
                Ok(None) => {
                    // A relay that has nothing to pass on may be cut off from there, a publisher from the platform:
                    // another one, or this node, takes over.
                    if matches!(source, Source::Relay(_)) || !self.has_current_report(&zone) {
                        self.pass_over(&zone, node, &mut subscription);
                    }
                    tokio::time::sleep(pause).await;
                }
                Err(e) => {
                    log_event!(Debug, e.step, "peer" => e.peer, "cause" => e.cause());
                    // From now on: the call may have taken longer than the backoff.
                    subscription.backoff.fail(node, self.now(), self.router.settings.timing.lease_ms);
                }
            }
        }
    }

    /// Asks another source than this one for a while, where there is one.
    fn pass_over(&self, zone: &Zone, node: NodeId, subscription: &mut Subscription) {
        subscription.backoff.fail(node.clone(), self.now(), self.router.settings.timing.lease_ms);
        if self.source(zone, &subscription.backoff).is_none() {
            subscription.backoff.succeed(&node);
        }
    }

    fn has_current_report(&self, zone: &Zone) -> bool {
        let reports = lock(&self.reports);
        let held = reports.by_zone.get(zone);
        held.is_some_and(|held| self.is_list_current(self.listed_at(&reports, held)))
    }

    fn listed_at(&self, reports: &ReportStore, report: &ReceivedReport) -> Tick {
        reports.listed_at(report, self.list_max_age_ms(), self.site.zones.len())
    }

    /// The next report of a zone; `None` where the source has none that is newer.
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
            _ => Err(PeerError::new(step, to, "another answer")),
        }
    }

    /// Takes a report that was asked for at `asked` up unless it is older than what is held, and passes it on to those
    /// that ask. Tells when the list in it was the newest that there is.
    fn take_report(&self, report: ReplicaReport, asked: Tick) -> Tick {
        let received = self.now();
        let at = report.fresh_at(asked, received);
        let report = ReceivedReport { report, fresh_at: at, received_at: received };
        let mut reports = lock(&self.reports);
        let taken = reports.accept_received(report.clone());
        let listed_at = self.listed_at(&reports, &report);
        if !taken {
            return listed_at;
        }
        self.router.relay_report(report);
        let valid = self.router.settings.timing.report_max_age_ms();
        let fleet = reports.build_view(&self.site.zones, valid, self.list_max_age_ms());
        let listed = |id: &ReplicaId| fleet.by_service.values().flatten().any(|c| c.id == *id);
        lock(&self.router.reading).retain(&listed);
        self.replica_view.store(Arc::new(fleet));
        listed_at
    }
}
