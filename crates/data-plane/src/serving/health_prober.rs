//! The publishers of zones (design 9.3): one router reads a zone's part of the platform's list and probes its replicas;
//! the others subscribe to what it publishes ([`super::report_subscription`]). A router that is asked takes the singleton
//! role up, so that a lost publisher is replaced as soon as somebody misses it.

use super::{
    protocol::ListedReplica,
    replica_list::ListReader,
    replica_report::{ProbeResult, ReplicaHealth, ReplicaReport, ReplicaRow, lending_grants, report_number},
    replica_view::ReceivedReport,
    state::Serving,
};
use crate::router::lock;
use common::{FencingToken, ReplicaId, Tick, Zone, http::ask, log_event};
use control_plane::Member;
use hyper::Method;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Looks without an answer after which a replica counts as unwell.
const FAILS: u32 = 2;
/// Report intervals after which a report that nobody asked for is published no more.
const ASKED_INTERVALS: u64 = 4;
/// Share of a region's headroom that it lends out.
const LEND_SHARE: f64 = 0.8;

impl Serving {
    /// Time between two looks at a zone's replicas.
    pub(super) fn report_interval_ms(&self) -> u64 {
        self.router.settings.timing.probe_interval_ms / 2
    }

    /// Probes a zone's replicas and publishes their report, while somebody asks this node for it.
    pub(super) async fn publish(self: Arc<Self>, zone: Zone) {
        let mut ticks = tokio::time::interval(Duration::from_millis(self.report_interval_ms()));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut health: BTreeMap<ReplicaId, ReplicaHealth> = BTreeMap::new();
        let mut list = ListReader::new(zone.clone());
        let (mut count, mut probe_all) = (0u32, false);
        loop {
            ticks.tick().await;
            if !self.is_asked_for(&zone) {
                list.reset();
                continue;
            }
            let epoch = self.router.member.lease().epoch;
            let Some(listed) = list.refreshed(&self, self.report_interval_ms() / 2).await else {
                continue;
            };
            let known = list.known();
            // Going on with an old list is for a platform that is out of service.
            if known.is_over_rate() && !self.is_list_current(known.read_at()) {
                continue;
            }
            probe_all = !probe_all;
            let asked = self.now();
            self.probe_listed(&listed, &mut health, probe_all).await;
            count += 1;
            let seq = report_number(epoch, count);
            let board = self.report(&zone, seq, (&listed, list.read_begun()), &health);
            let at = list.known().read_at().min(asked);
            let report = ReceivedReport { report: board, fresh_at: at, received_at: asked };
            if let Some(publication) = lock(&self.router.publications).get(&zone) {
                publication.tx.send_replace(Some(Arc::new(report)));
            }
        }
    }

    /// Whether somebody asked for a zone's report lately.
    fn is_asked_for(&self, zone: &Zone) -> bool {
        let recent = |asked: Tick| self.now().since(asked) < ASKED_INTERVALS * self.report_interval_ms();
        lock(&self.router.publications).get(zone).is_some_and(|publication| recent(publication.asked))
    }

    /// Probes the listed replicas. What was healthy is probed each second time: answers and refusals of requests
    /// tell more.
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
            let was_well = known.is_healthy(FAILS);
            known.record(result, FAILS);
            let well = known.is_healthy(FAILS);
            if !was_well && well {
                known.recovered_at = Some(self.now());
            }
            if was_well != well {
                log_event!(Info, "replica health", "peer" => id, "well" => well);
            }
        }
    }

    /// For how much longer a replica that came back may be cold, as long as the list can't tell.
    fn unlisted_cold_ms(&self, replica: &ListedReplica, health: &ReplicaHealth, read_begun: Tick) -> u64 {
        let map = self.route_map.load();
        let backend = map.as_ref().and_then(|map| map.backends.get(&replica.service));
        let slow_start_ms = backend.map_or(0, |backend| backend.slow_start_ms);
        health.unlisted_cold_ms(slow_start_ms, read_begun, self.site.list_lag_ms, self.now())
    }

    fn report(
        &self,
        zone: &Zone,
        seq: u64,
        (listed, read_begun): (&[ListedReplica], Tick),
        health: &BTreeMap<ReplicaId, ReplicaHealth>,
    ) -> ReplicaReport {
        let unknown = ReplicaHealth::default();
        let row = |replica: &ListedReplica| {
            let health = health.get(&replica.id).unwrap_or(&unknown);
            let row = health.row(replica, FAILS);
            let unlisted = self.unlisted_cold_ms(replica, health, read_begun);
            ReplicaRow { cold_left_ms: row.cold_left_ms.max(unlisted), ..row }
        };
        let rows: Vec<_> = listed.iter().map(row).collect();
        let state = self.router.cluster_state();
        let region = self.site.zones.get(zone);
        let elsewhere = |member: &&&Member| self.site.zones.get(&member.info.zone) != region;
        let askers = state.routers().iter().filter(elsewhere).count();
        ReplicaReport {
            zone: zone.clone(),
            publisher: self.router.node().clone(),
            fencing_token: FencingToken(state.epoch.0),
            seq,
            age_ms: 0,
            waited_ms: 0,
            lending_grants: lending_grants(&rows, LEND_SHARE, askers),
            rows,
        }
    }

    async fn probe(&self, l: &ListedReplica) -> ProbeResult {
        let map = self.route_map.load();
        let backend = map.as_ref().and_then(|m| m.backends.get(&l.service));
        let engine = backend.is_some_and(|b| b.engine.is_some());
        let path = match backend {
            Some(b) if !engine => b.health_path.as_str(),
            _ => self.protocol.header_names().report_path,
        };
        let ms = self.report_interval_ms().min(400);
        match ask(self.router.settings.rpc_addr.ip(), l.addr, Method::GET, path, &[], "", ms).await {
            Ok((code, head, body)) if code.is_success() => {
                let names = self.protocol.header_names();
                let told = if engine {
                    self.protocol.parse_engine_report(&body)
                } else {
                    parse_load_header(&head, &names.load)
                };
                ProbeResult::Answered(told.unwrap_or_default())
            }
            // Full, not unwell: it turned the probe away as it would a request.
            Ok((_, head, _)) if head.contains_key(&self.protocol.header_names().not_run) => {
                let told = parse_load_header(&head, &self.protocol.header_names().load).unwrap_or_default();
                ProbeResult::Answered(told)
            }
            Ok(_) => ProbeResult::Unhealthy,
            Err(e) if e.is_refused() => ProbeResult::Refused,
            Err(_) => ProbeResult::NoAnswer,
        }
    }
}

/// Running, waiting and slots, as some replicas tell on each answer.
pub fn parse_load_header(
    h: &hyper::HeaderMap,
    name: &hyper::header::HeaderName,
) -> Option<super::EngineReport> {
    let v = h.get(name)?.to_str().ok()?;
    let mut n = v.split(',').map(|x| x.trim().parse::<u32>().ok());
    Some(super::EngineReport { running: n.next()??, waiting: n.next()??, ..Default::default() })
}
