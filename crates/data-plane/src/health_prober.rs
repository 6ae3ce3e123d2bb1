//! The home of a service in a zone (design 5.4): probes its replicas and publishes load reports;
//! the others subscribe.

use crate::{
    load::{LoadReport, LocalLoad, ReplicaLoad},
    replica_choice::routers_of,
    replica_health::{Checked, Report, Watched},
    router::{Router, lock},
    rpc::{RouterRequest, RouterResponse},
    summary::EventKind,
};
use common::{FencingToken, NodeId, ReplicaId, Service, Tick, Zone, http::ask, log_event};
use configuration::Table;
use control_plane::{Member, Replica, state_machine::singleton};
use hyper::Method;
use std::{collections::BTreeMap, sync::Arc, sync::atomic::Ordering, time::Duration};
use tokio::{sync::watch, task::JoinHandle};

type Key = (Service, Zone);

impl Router {
    /// The home: a router of the zone; where it has none, one of its region.
    pub fn home_of(&self, t: &Table, svc: &Service, zone: &Zone) -> Option<Member> {
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
    pub async fn watch_all(self: Arc<Self>) {
        let mut tasks: BTreeMap<Key, (String, JoinHandle<()>)> = BTreeMap::new();
        let mut wakeup = tokio::time::interval(Duration::from_millis(self.set.timing.heartbeat_ms()));
        loop {
            wakeup.tick().await;
            let Some(g) = self.governing.load_full() else { continue };
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
                    lock(&self.published).remove(k);
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
        self.ask_the_last(&service, &zone).await;
        let (mut seq, mut fencing_token) = (0, FencingToken(0));
        let wait_ms = self.set.timing.probe_interval_ms * 2;
        loop {
            let ask = RouterRequest::Watch {
                service: service.clone(),
                zone: zone.clone(),
                seq,
                fencing_token,
                wait_ms,
            };
            let ms = wait_ms + self.set.timing.rpc_timeout_ms;
            let asked = self.now();
            match self.lines.call_within(ms, "watch", home.info.rpc_addr, ask).await {
                Ok(RouterResponse::LoadReport(f)) => {
                    (seq, fencing_token) = (f.seq, f.fencing_token);
                    self.install_load_report(f, asked);
                }
                _ => tokio::time::sleep(Duration::from_millis(self.set.timing.heartbeat_ms())).await,
            }
        }
    }

    async fn probe(self: Arc<Self>, (service, zone): Key) {
        let (tx, _) = watch::channel(None);
        lock(&self.published).insert((service.clone(), zone.clone()), tx.clone());
        self.ask_the_last(&service, &zone).await;
        let lost = self.lost(&service, &zone).await;
        let mut watched = self.inherited(&service, &zone, lost);
        let mut wakeup = tokio::time::interval(Duration::from_millis(self.set.timing.report_interval_ms()));
        wakeup.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let (mut seq, mut full_at) = (0, Tick(0));
        loop {
            wakeup.tick().await;
            // Between two full checks only where it presses: load reports age fast there.
            let full = self.now().since(full_at) + self.set.timing.report_interval_ms() / 2
                >= self.set.timing.probe_interval_ms;
            let presses = watched.values().any(|w: &Watched| w.healthy && w.consumption * 2.0 > w.capacity);
            if !full && !presses {
                continue;
            }
            if full {
                full_at = self.now();
            }
            let Some(g) = self.governing.load_full() else { continue };
            let l = self.cluster_state();
            let mine: Vec<(ReplicaId, Replica)> = l
                .replicas
                .iter()
                .filter(|(_, r)| r.service == service && r.zone == zone)
                .map(|(id, r)| (id.clone(), r.clone()))
                .collect();
            watched.retain(|id, _| mine.iter().any(|(m, _)| m == id));
            let asked = self.now();
            let checks = mine.iter().map(|(_, r)| self.check(r));
            let found = futures::future::join_all(checks).await;
            let (now, tun) = (self.now(), &g.table.tuning);
            let region = g.table.region_of(&zone);
            let line: Vec<NodeId> = region.map(|r| routers_of(&l, &g.table, r)).unwrap_or_default();
            let mut replicas = Vec::new();
            for ((id, r), rep) in mine.into_iter().zip(found) {
                let w = watched.entry(id.clone()).or_default();
                let was = w.healthy;
                if full || rep != Checked::Silent {
                    w.check(rep, self.set.timing.probe_failures, f64::from(tun.slots), now);
                }
                if was != w.healthy {
                    log_event!(Info, "replica health", "peer" => r.addr, "replica" => id, "healthy" => w.healthy);
                    let (replica, healthy) = (id.clone(), w.healthy);
                    self.record_event(EventKind::Health { replica, healthy });
                }
                replicas.push(ReplicaLoad {
                    id,
                    addr: r.addr,
                    healthy: w.healthy,
                    capacity: w.capacity,
                    consumption: w.consumption,
                    allowance: w.allowance(tun.slow_start_ms, now),
                });
            }
            seq += 1;
            let (service, zone) = (service.clone(), zone.clone());
            let fig = LoadReport {
                service,
                zone,
                fencing_token: FencingToken(l.epoch.0),
                seq,
                age_ms: 0,
                waited_ms: 0,
                line: line.clone(),
                replicas,
            };
            self.install_load_report(fig.clone(), asked);
            tx.send_replace(Some(fig));
        }
    }

    /// A router that has heard nothing yet asks others for the last load reports: without them a new
    /// home would take every warm replica for cold, and first requests would wait for the next check.
    async fn ask_the_last(&self, service: &Service, zone: &Zone) {
        if self.last_load_report(service, zone).is_some() {
            return;
        }
        let (others, asked) = (self.cluster_state(), self.now());
        let asks = others.routers().into_iter().filter(|m| m.info.node != *self.node()).map(|m| {
            let ask = RouterRequest::Last { service: service.clone(), zone: zone.clone() };
            Box::pin(async move {
                match self.lines.call("last figures", m.info.rpc_addr, ask).await {
                    Ok(RouterResponse::LoadReport(f)) => Ok(f),
                    _ => Err(()),
                }
            })
        });
        let asks: Vec<_> = asks.collect();
        // The first that knows is enough: newer ones follow with the next check.
        if !asks.is_empty()
            && let Ok((f, _)) = futures::future::select_ok(asks).await
        {
            self.install_load_report(f, asked);
        }
    }

    /// A new home attempts on from the load reports of the last one: what was warm stays warm.
    fn inherited(&self, service: &Service, zone: &Zone, lost: bool) -> BTreeMap<ReplicaId, Watched> {
        let b = self.load_view.board();
        let from = |g: &ReplicaLoad| Watched {
            fails: 0,
            // What is on its ramp may be away just now: it begins anew with the first check.
            absent: lost || g.allowance.is_some(),
            healthy: g.healthy,
            capacity: g.capacity,
            consumption: g.consumption,
            warm_since: None,
        };
        b.seen
            .get(&(service.clone(), zone.clone()))
            .map(|s| s.fig.replicas.iter().map(|g| (g.id.clone(), from(g))).collect())
            .unwrap_or_default()
    }

    async fn check(&self, r: &Replica) -> Checked {
        let (ip, ms) = (self.set.rpc_addr.ip(), (self.set.timing.probe_interval_ms * 3 / 4).max(50));
        let res = ask(ip, r.addr, Method::GET, "/foldshunt/report", &[], "", ms).await;
        let res = match res {
            Ok(r) => r,
            Err(e) if e.is_refused() => return Checked::Refused,
            Err(_) => return Checked::Silent,
        };
        if res.0.is_success() {
            return Checked::Told(Report::read(&res.2, r.service.as_str()).unwrap_or_default());
        }
        if res.0.as_u16() != 404 {
            return Checked::Told(Report { healthy: Some(false), ..Report::default() });
        }
        let res = ask(ip, r.addr, Method::GET, "/healthz", &[], "", ms).await;
        let well =
            |r: (hyper::StatusCode, _, _)| Report { healthy: Some(r.0.is_success()), ..Report::default() };
        res.map_or(Checked::Silent, |r| Checked::Told(well(r)))
    }

    /// `Server-Load` on an answer: a share of the capacity, or per cent of it.
    pub fn note_load(&self, own: &LocalLoad, h: &hyper::HeaderMap) {
        let said =
            h.get("server-load").and_then(|v| v.to_str().ok()).and_then(|v| v.trim().parse::<f64>().ok());
        if let Some(v) = said.filter(|v| v.is_finite() && *v >= 0.0) {
            let share = if v > 1.0 { v / 100.0 } else { v };
            own.load.store((share * 1000.0) as i64, Ordering::Relaxed);
            own.load_at.store(self.now().0, Ordering::Relaxed);
        }
    }
}
