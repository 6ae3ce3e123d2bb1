//! Health checks of replicas (design 5.4). For each service and zone one router, the publisher, probes the replicas
//! and publishes load reports, to which the others subscribe.

use crate::{
    load::{LoadReport, LocalLoad, ReplicaLoad},
    replica_choice::routers_in_region,
    replica_health::{ProbeResult, ReplicaHealth, Report},
    router::{Router, lock},
    rpc::{RouterRequest, RouterResponse},
    summary::EventKind,
};
use common::{FencingToken, ReplicaId, Service, Tick, Zone, http::send_request, log_event};
use configuration::RoutingTable;
use control_plane::{ClusterState, Member, Replica, state_machine::singleton};
use hyper::Method;
use std::{collections::BTreeMap, sync::Arc, sync::atomic::Ordering, time::Duration};
use tokio::{sync::watch, task::JoinHandle};

type Key = (Service, Zone);

fn listed_replicas(state: &ClusterState, service: &Service, zone: &Zone) -> Vec<(ReplicaId, Replica)> {
    let here = |(_, replica): &(&ReplicaId, &Replica)| replica.service == *service && replica.zone == *zone;
    let listed = state.replicas.iter().filter(here);
    listed.map(|(id, replica)| (id.clone(), replica.clone())).collect()
}

impl Router {
    /// The publisher of a service in a zone: a router of the zone, or of its region if the zone has none.
    pub fn publisher_of(&self, table: &RoutingTable, service: &Service, zone: &Zone) -> Option<Member> {
        let state = self.cluster_state();
        let key = format!("home/{service}/{zone}");
        singleton::ranked_holders(&state, &key, Some(zone)).into_iter().next().or_else(|| {
            let region = table.region_of(zone);
            singleton::ranked_holders(&state, &key, None)
                .into_iter()
                .find(|m| table.region_of(&m.info.zone) == region)
        })
    }

    /// Runs one task for each service and zone, which probes or subscribes. It is restarted when the publisher changes.
    pub async fn watch_load_reports(self: Arc<Self>) {
        let mut tasks: BTreeMap<Key, (String, JoinHandle<()>)> = BTreeMap::new();
        let mut ticks = tokio::time::interval(Duration::from_millis(self.settings.timing.heartbeat_ms()));
        loop {
            ticks.tick().await;
            let Some(configuration) = self.configuration.load_full() else { continue };
            let table = &configuration.table;
            let mut wanted: Vec<(Key, Member)> = Vec::new();
            for zone in table.zones.keys() {
                for service in table.services.keys() {
                    if let Some(publisher) = self.publisher_of(table, service, zone) {
                        wanted.push(((service.clone(), zone.clone()), publisher));
                    }
                }
            }
            tasks.retain(|key, (holder, task)| {
                let same =
                    wanted.iter().any(|(k, publisher)| k == key && publisher.info.node.as_str() == holder);
                if !same || task.is_finished() {
                    task.abort();
                    lock(&self.published_load).remove(key);
                }
                same && !task.is_finished()
            });
            for (key, publisher) in wanted {
                tasks.entry(key.clone()).or_insert_with(|| {
                    let (me, holder) = (self.clone(), publisher.info.node.to_string());
                    let task = if publisher.info.node == *self.node() {
                        common::runtime::spawn(me.probe(key))
                    } else {
                        common::runtime::spawn(me.subscribe(key, publisher))
                    };
                    (holder, task)
                });
            }
        }
    }

    /// Installs the load reports that the publisher publishes.
    async fn subscribe(self: Arc<Self>, (service, zone): Key, publisher: Member) {
        self.fetch_last_load_report(&service, &zone).await;
        let (mut seq, mut fencing_token) = (0, FencingToken(0));
        let wait_ms = self.settings.timing.probe_interval_ms * 2;
        loop {
            let request = RouterRequest::WatchLoad {
                service: service.clone(),
                zone: zone.clone(),
                seq,
                fencing_token,
                wait_ms,
            };
            let timeout_ms = wait_ms + self.settings.timing.rpc_timeout_ms;
            let requested_at = self.now();
            match self
                .rpc_client
                .call_within(timeout_ms, "watch load", publisher.info.rpc_addr, request)
                .await
            {
                Ok(RouterResponse::LoadReport(report)) => {
                    (seq, fencing_token) = (report.seq, report.fencing_token);
                    self.install_load_report(report, requested_at);
                }
                _ => tokio::time::sleep(Duration::from_millis(self.settings.timing.heartbeat_ms())).await,
            }
        }
    }

    /// Probes the replicas of a service in a zone, and publishes load reports.
    async fn probe(self: Arc<Self>, (service, zone): Key) {
        let (sender, _) = watch::channel(None);
        lock(&self.published_load).insert((service.clone(), zone.clone()), sender.clone());
        self.fetch_last_load_report(&service, &zone).await;
        let zone_lost = self.was_zone_lost(&service, &zone).await;
        let mut health = self.inherited_health(&service, &zone, zone_lost);
        let timing = &self.settings.timing;
        let mut ticks = tokio::time::interval(Duration::from_millis(timing.report_interval_ms()));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let (mut seq, mut full_at) = (0, Tick(0));
        loop {
            ticks.tick().await;
            // Under load a report is soon out of date, so the replicas are probed between two full checks too.
            let since_full_ms = self.now().since(full_at) + timing.report_interval_ms() / 2;
            let full = since_full_ms >= timing.probe_interval_ms;
            if !full && !health.values().any(ReplicaHealth::is_loaded) {
                continue;
            }
            if full {
                full_at = self.now();
            }
            let Some(configuration) = self.configuration.load_full() else { continue };
            let state = self.cluster_state();
            let listed = listed_replicas(&state, &service, &zone);
            health.retain(|id, _| listed.iter().any(|(known, _)| known == id));
            let requested_at = self.now();
            let probes = listed.iter().map(|(_, replica)| self.probe_replica(replica));
            let results = futures::future::join_all(probes).await;
            let table = &configuration.table;
            let mut replicas = Vec::new();
            for ((id, replica), result) in listed.into_iter().zip(results) {
                let known = health.entry(id.clone()).or_default();
                replicas.push(self.record_probe(known, id, &replica, result, full, table));
            }
            seq += 1;
            let region = table.region_of(&zone);
            let report = LoadReport {
                service: service.clone(),
                zone: zone.clone(),
                fencing_token: FencingToken(state.epoch.0),
                seq,
                age_ms: 0,
                waited_ms: 0,
                routers: region.map(|region| routers_in_region(&state, table, region)).unwrap_or_default(),
                replicas,
            };
            self.install_load_report(report.clone(), requested_at);
            sender.send_replace(Some(report));
        }
    }

    /// Records the result of one probe, and returns the replica's load.
    fn record_probe(
        &self,
        known: &mut ReplicaHealth,
        id: ReplicaId,
        replica: &Replica,
        result: ProbeResult,
        full: bool,
        table: &RoutingTable,
    ) -> ReplicaLoad {
        let (now, tuning) = (self.now(), &table.tuning);
        let was_healthy = known.healthy;
        if full || result != ProbeResult::NoAnswer {
            known.record(result, self.settings.timing.probe_failures, f64::from(tuning.slots), now);
        }
        let healthy = known.healthy;
        if was_healthy != healthy {
            log_event!(Info, "replica health", "peer" => replica.addr, "replica" => id, "healthy" => healthy);
            self.record_event(EventKind::Health { replica: id.clone(), healthy });
        }
        ReplicaLoad {
            id,
            addr: replica.addr,
            healthy,
            capacity: known.capacity,
            consumption: known.consumption,
            allowance: known.allowance(tuning.slow_start_ms, now),
        }
    }

    /// Probes one replica: by its report, or by its health check if it has no report.
    async fn probe_replica(&self, replica: &Replica) -> ProbeResult {
        let (ip, timeout_ms) =
            (self.settings.rpc_addr.ip(), (self.settings.timing.probe_interval_ms * 3 / 4).max(50));
        let response =
            send_request(ip, replica.addr, Method::GET, "/foldshunt/report", &[], "", timeout_ms).await;
        let (status, _, body) = match response {
            Ok(response) => response,
            Err(e) if e.is_refused() => return ProbeResult::Refused,
            Err(_) => return ProbeResult::NoAnswer,
        };
        if status.is_success() {
            return ProbeResult::Reported(Report::read(&body, replica.service.as_str()).unwrap_or_default());
        }
        if status.as_u16() != 404 {
            return ProbeResult::Reported(Report { healthy: Some(false), ..Report::default() });
        }
        let response = send_request(ip, replica.addr, Method::GET, "/healthz", &[], "", timeout_ms).await;
        response.map_or(ProbeResult::NoAnswer, |(status, _, _)| {
            ProbeResult::Reported(Report { healthy: Some(status.is_success()), ..Report::default() })
        })
    }

    /// Records the `Server-Load` of a response: a share of the capacity up to 1, or else a percentage.
    pub fn record_server_load(&self, local: &LocalLoad, headers: &hyper::HeaderMap) {
        let reported = headers
            .get("server-load")
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.trim().parse::<f64>().ok());
        if let Some(v) = reported.filter(|v| v.is_finite() && *v >= 0.0) {
            let share = if v > 1.0 { v / 100.0 } else { v };
            local.server_load.store((share * 1000.0) as i64, Ordering::Relaxed);
            local.server_load_at.store(self.now().0, Ordering::Relaxed);
        }
    }
}
