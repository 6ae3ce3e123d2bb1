//! The home of a service in a zone (design 5.4): probes its replicas and publishes load reports;
//! the others subscribe.

use crate::{
    load::{LoadReport, LocalLoad, ReplicaLoad},
    replica_choice::routers_in_region,
    replica_health::{ProbeResult, ReplicaHealth, Report},
    router::{Router, lock},
    rpc::{RouterRequest, RouterResponse},
    summary::EventKind,
};
use common::{FencingToken, ReplicaId, Service, Tick, Zone, http::ask, log_event};
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
    /// The home: a router of the zone; where it has none, one of its region.
    pub fn home_of(&self, t: &RoutingTable, svc: &Service, zone: &Zone) -> Option<Member> {
        let l = self.cluster_state();
        let key = format!("home/{svc}/{zone}");
        singleton::ranked_holders(&l, &key, Some(zone)).into_iter().next().or_else(|| {
            let region = t.region_of(zone);
            singleton::ranked_holders(&l, &key, None)
                .into_iter()
                .find(|m| t.region_of(&m.info.zone) == region)
        })
    }

    /// Keeps one task for each service and zone: the home probes, the others subscribe.
    pub async fn watch_load_reports(self: Arc<Self>) {
        let mut tasks: BTreeMap<Key, (String, JoinHandle<()>)> = BTreeMap::new();
        let mut wakeup = tokio::time::interval(Duration::from_millis(self.settings.timing.heartbeat_ms()));
        loop {
            wakeup.tick().await;
            let Some(g) = self.configuration.load_full() else { continue };
            let mut wanted: Vec<(Key, Member)> = Vec::new();
            for zone in g.table.zones.keys() {
                for svc in g.table.services.keys() {
                    if let Some(m) = self.home_of(&g.table, svc, zone) {
                        wanted.push(((svc.clone(), zone.clone()), m));
                    }
                }
            }
            tasks.retain(|k, (holder, task)| {
                let same = wanted.iter().any(|(w, m)| w == k && m.info.node.as_str() == holder);
                if !same || task.is_finished() {
                    task.abort();
                    lock(&self.published_load).remove(k);
                }
                same && !task.is_finished()
            });
            for (k, m) in wanted {
                tasks.entry(k.clone()).or_insert_with(|| {
                    let (me, holder) = (self.clone(), m.info.node.to_string());
                    let task = if m.info.node == *self.node() {
                        common::runtime::spawn(me.probe(k))
                    } else {
                        common::runtime::spawn(me.subscribe(k, m))
                    };
                    (holder, task)
                });
            }
        }
    }

    async fn subscribe(self: Arc<Self>, (service, zone): Key, home: Member) {
        self.fetch_last_load_report(&service, &zone).await;
        let (mut seq, mut fencing_token) = (0, FencingToken(0));
        let wait_ms = self.settings.timing.probe_interval_ms * 2;
        loop {
            let ask = RouterRequest::WatchLoad {
                service: service.clone(),
                zone: zone.clone(),
                seq,
                fencing_token,
                wait_ms,
            };
            let ms = wait_ms + self.settings.timing.rpc_timeout_ms;
            let asked = self.now();
            match self.rpc_client.call_within(ms, "watch load", home.info.rpc_addr, ask).await {
                Ok(RouterResponse::LoadReport(f)) => {
                    (seq, fencing_token) = (f.seq, f.fencing_token);
                    self.install_load_report(f, asked);
                }
                _ => tokio::time::sleep(Duration::from_millis(self.settings.timing.heartbeat_ms())).await,
            }
        }
    }

    /// Probes the replicas of a service in a zone, and publishes their load.
    async fn probe(self: Arc<Self>, (service, zone): Key) {
        let (publisher, _) = watch::channel(None);
        lock(&self.published_load).insert((service.clone(), zone.clone()), publisher.clone());
        self.fetch_last_load_report(&service, &zone).await;
        let zone_lost = self.was_zone_lost(&service, &zone).await;
        let mut health = self.inherited_health(&service, &zone, zone_lost);
        let timing = &self.settings.timing;
        let mut ticks = tokio::time::interval(Duration::from_millis(timing.report_interval_ms()));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let (mut seq, mut full_at) = (0, Tick(0));
        loop {
            ticks.tick().await;
            // Between two full checks only under load: load reports age fast there.
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
            let asked = self.now();
            let probes = listed.iter().map(|(_, replica)| self.check(replica));
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
            self.install_load_report(report.clone(), asked);
            publisher.send_replace(Some(report));
        }
    }

    /// Takes the result of one probe into what is known of a replica, and returns its load.
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

    async fn check(&self, r: &Replica) -> ProbeResult {
        let (ip, ms) =
            (self.settings.rpc_addr.ip(), (self.settings.timing.probe_interval_ms * 3 / 4).max(50));
        let res = ask(ip, r.addr, Method::GET, "/foldshunt/report", &[], "", ms).await;
        let res = match res {
            Ok(r) => r,
            Err(e) if e.is_refused() => return ProbeResult::Refused,
            Err(_) => return ProbeResult::NoAnswer,
        };
        if res.0.is_success() {
            return ProbeResult::Reported(Report::read(&res.2, r.service.as_str()).unwrap_or_default());
        }
        if res.0.as_u16() != 404 {
            return ProbeResult::Reported(Report { healthy: Some(false), ..Report::default() });
        }
        let res = ask(ip, r.addr, Method::GET, "/healthz", &[], "", ms).await;
        let well =
            |r: (hyper::StatusCode, _, _)| Report { healthy: Some(r.0.is_success()), ..Report::default() };
        res.map_or(ProbeResult::NoAnswer, |r| ProbeResult::Reported(well(r)))
    }

    /// `Server-Load` on an answer: a share of the capacity, or per cent of it.
    pub fn note_load(&self, local: &LocalLoad, headers: &hyper::HeaderMap) {
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
