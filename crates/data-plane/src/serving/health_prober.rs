//! The publisher of a zone (design 9.3): one router reads a zone's part of the platform's list and probes its
//! replicas; the others subscribe to the reports that it publishes ([`super::report_subscription`]). A router becomes
//! publisher as soon as it is asked for reports, so that a lost publisher is replaced as soon as another node misses
//! its reports.

use super::{
    protocol::ListedReplica,
    replica_list::ListReader,
    replica_report::{ProbeResult, ReplicaHealth, ReplicaReport, ReplicaRow, lending_grants, report_number},
    replica_view::ReceivedReport,
    state::Serving,
};
use crate::router::lock;
use common::{FencingToken, ReplicaId, Tick, Zone, http::send_request, log_event};
use control_plane::Member;
use hyper::Method;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Probes without an answer in a row after which a replica counts as unhealthy.
const MAX_FAILED_PROBES: u32 = 2;
/// A zone's report is published until nobody has requested it for this many report intervals.
const DEMAND_INTERVALS: u64 = 4;
/// Share of a region's free capacity that it lends to other regions.
const LEND_SHARE: f64 = 0.8;

impl Serving {
    /// Time between two rounds of probes of a zone's replicas.
    pub(super) fn report_interval_ms(&self) -> u64 {
        self.router.settings.timing.probe_interval_ms / 2
    }

    /// Probes a zone's replicas and publishes their report, while any node requests it from this one.
    pub(super) async fn publish(self: Arc<Self>, zone: Zone) {
        let mut ticks = tokio::time::interval(Duration::from_millis(self.report_interval_ms()));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut health: BTreeMap<ReplicaId, ReplicaHealth> = BTreeMap::new();
        let mut list = ListReader::new(zone.clone());
        let (mut reports, mut probe_all) = (0u32, false);
        loop {
            ticks.tick().await;
            if !self.is_in_demand(&zone) {
                list.reset();
                continue;
            }
            let epoch = self.router.member.lease().epoch;
            let Some(listed) = list.refreshed(&self, self.report_interval_ms() / 2).await else {
                continue;
            };
            let known = list.known();
            // An old list is used further only if the platform is down, not if it refuses the rate.
            if known.is_over_rate() && !self.is_list_current(known.read_at()) {
                continue;
            }
            probe_all = !probe_all;
            let probe_started = self.now();
            self.probe_listed(&listed, &mut health, probe_all).await;
            reports += 1;
            let seq = report_number(epoch, reports);
            let report = self.report(&zone, seq, (&listed, list.read_started_at()), &health);
            let fresh_at = list.known().read_at().min(probe_started);
            let received = ReceivedReport { report, fresh_at, received_at: probe_started };
            if let Some(publication) = lock(&self.router.publications).get(&zone) {
                publication.sender.send_replace(Some(Arc::new(received)));
            }
        }
    }

    /// Whether a zone's report was requested recently.
    fn is_in_demand(&self, zone: &Zone) -> bool {
        let is_recent = |asked: Tick| self.now().since(asked) < DEMAND_INTERVALS * self.report_interval_ms();
        lock(&self.router.publications).get(zone).is_some_and(|publication| is_recent(publication.asked))
    }

    /// Probes the listed replicas; healthy ones only in every second round, since the answers and refusals of
    /// requests say more about them.
    async fn probe_listed(
        &self,
        listed: &[ListedReplica],
        health: &mut BTreeMap<ReplicaId, ReplicaHealth>,
        probe_all: bool,
    ) {
        health.retain(|id, _| listed.iter().any(|replica| replica.id == *id));
        let due = |replica: &&ListedReplica| {
            probe_all || health.get(&replica.id).is_none_or(|known| known.failed_probes > 0)
        };
        let probes = listed
            .iter()
            .filter(due)
            .map(|replica| async { (replica.id.clone(), self.probe(replica).await) });
        let results: Vec<_> = futures::future::join_all(probes).await;
        for (id, result) in results {
            let known = health.entry(id.clone()).or_default();
            let was_healthy = known.is_healthy(MAX_FAILED_PROBES);
            known.record(result, MAX_FAILED_PROBES);
            let healthy = known.is_healthy(MAX_FAILED_PROBES);
            if !was_healthy && healthy {
                known.recovered_at = Some(self.now());
            }
            if was_healthy != healthy {
                log_event!(Info, "replica health", "peer" => id, "well" => healthy);
            }
        }
    }

    /// For how much longer a recovered replica may have to warm up although the list can't say so yet.
    fn unlisted_cold_ms(&self, replica: &ListedReplica, health: &ReplicaHealth, read_started: Tick) -> u64 {
        let map = self.route_map.load();
        let backend = map.as_ref().and_then(|map| map.backends.get(&replica.service));
        let slow_start_ms = backend.map_or(0, |backend| backend.slow_start_ms);
        health.unlisted_cold_ms(slow_start_ms, read_started, self.site.list_lag_ms, self.now())
    }

    fn report(
        &self,
        zone: &Zone,
        seq: u64,
        (listed, read_started): (&[ListedReplica], Tick),
        health: &BTreeMap<ReplicaId, ReplicaHealth>,
    ) -> ReplicaReport {
        let unknown = ReplicaHealth::default();
        let row = |replica: &ListedReplica| {
            let health = health.get(&replica.id).unwrap_or(&unknown);
            let row = health.row(replica, MAX_FAILED_PROBES);
            let unlisted_cold_ms = self.unlisted_cold_ms(replica, health, read_started);
            ReplicaRow { cold_left_ms: row.cold_left_ms.max(unlisted_cold_ms), ..row }
        };
        let rows: Vec<_> = listed.iter().map(row).collect();
        let state = self.router.cluster_state();
        let region = self.site.zones.get(zone);
        let in_other_region = |member: &&&Member| self.site.zones.get(&member.info.zone) != region;
        let borrowers = state.routers().iter().filter(in_other_region).count();
        ReplicaReport {
            zone: zone.clone(),
            publisher: self.router.node().clone(),
            fencing_token: FencingToken(state.epoch.0),
            seq,
            age_ms: 0,
            waited_ms: 0,
            lending_grants: lending_grants(&rows, LEND_SHARE, borrowers),
            rows,
        }
    }

    async fn probe(&self, replica: &ListedReplica) -> ProbeResult {
        let map = self.route_map.load();
        let backend = map.as_ref().and_then(|map| map.backends.get(&replica.service));
        let has_engine = backend.is_some_and(|backend| backend.engine.is_some());
        let path = match backend {
            Some(backend) if !has_engine => backend.health_path.as_str(),
            _ => self.protocol.header_names().report_path,
        };
        let timeout_ms = self.report_interval_ms().min(400);
        match send_request(
            self.router.settings.rpc_addr.ip(),
            replica.addr,
            Method::GET,
            path,
            &[],
            "",
            timeout_ms,
        )
        .await
        {
            Ok((code, head, body)) if code.is_success() => {
                let names = self.protocol.header_names();
                let load = if has_engine {
                    self.protocol.parse_engine_report(&body)
                } else {
                    parse_load_header(&head, &names.load)
                };
                ProbeResult::Answered(load.unwrap_or_default())
            }
            // Full, not unhealthy: it rejected the probe as it would reject a request.
            Ok((_, head, _)) if head.contains_key(&self.protocol.header_names().not_run) => {
                let load = parse_load_header(&head, &self.protocol.header_names().load).unwrap_or_default();
                ProbeResult::Answered(load)
            }
            Ok(_) => ProbeResult::Unhealthy,
            Err(error) if error.is_refused() => ProbeResult::Refused,
            Err(_) => ProbeResult::NoAnswer,
        }
    }
}

/// Running and waiting requests, as some replicas send them on each answer.
pub fn parse_load_header(
    headers: &hyper::HeaderMap,
    name: &hyper::header::HeaderName,
) -> Option<super::EngineReport> {
    let value = headers.get(name)?.to_str().ok()?;
    let mut numbers = value.split(',').map(|part| part.trim().parse::<u32>().ok());
    Some(super::EngineReport { running: numbers.next()??, waiting: numbers.next()??, ..Default::default() })
}
