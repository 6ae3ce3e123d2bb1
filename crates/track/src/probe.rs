//! The home of a service in an area (design 5.4): probes its replicas and publishes figures;
//! the others subscribe.

use crate::{
    pressure::{Figures, Gauge, Own},
    rail::{Ask, Reply},
    router::{Router, lock},
};
use gauge::{Area, Fence, ReplicaId, Service, Tick, http::ask, jot};
use hyper::Method;
use interlocking::{Member, Replica, duty};
use std::{collections::HashMap, sync::Arc, sync::atomic::Ordering, time::Duration};
use timetable::Table;
use tokio::{sync::watch, task::JoinHandle};

/// What a home remembers of one replica between checks.
#[derive(Clone, Debug, Default)]
pub struct Watched {
    pub fails: u32,
    pub healthy: bool,
    pub capacity: f64,
    pub consumption: f64,
    /// When it last came up; its concurrency ramps from there.
    pub warm_since: Option<Tick>,
}

/// A report, read tolerantly: what is absent or unknown is left alone.
#[derive(Debug, Default, PartialEq)]
pub struct Report {
    pub healthy: Option<bool>,
    pub capacity: Option<f64>,
    pub consumption: Option<f64>,
}

impl Report {
    pub fn read(b: &[u8], model: &str) -> Option<Report> {
        let v: serde_json::Value = serde_json::from_slice(b).ok()?;
        let of_model = v.get("models").and_then(|m| m.as_array()).and_then(|m| {
            let mine = m.iter().find(|x| x.get("name").and_then(|n| n.as_str()) == Some(model));
            mine.and_then(|x| x.get("payload").or(Some(x)).cloned())
        });
        let at = of_model.unwrap_or(v);
        let num = |k: &str| at.get(k).and_then(|x| x.as_f64()).filter(|x| x.is_finite() && *x >= 0.0);
        Some(Report {
            healthy: at.get("healthy").and_then(|x| x.as_bool()),
            capacity: num("capacity"),
            consumption: num("consumption"),
        })
    }
}

impl Watched {
    /// Folds one check in: `None` is a check without an answer.
    pub fn check(&mut self, rep: Option<Report>, fails: u32, slots: f64, now: Tick) {
        let said_well = rep.as_ref().is_some_and(|r| r.healthy != Some(false));
        match rep {
            Some(r) if said_well => {
                self.fails = 0;
                if !self.healthy {
                    self.warm_since = Some(now);
                }
                self.healthy = true;
                self.capacity = r.capacity.unwrap_or(slots);
                self.consumption = r.consumption.unwrap_or(0.0);
            }
            // What says itself that it is unwell is believed at once.
            Some(_) => (self.healthy, self.fails) = (false, fails),
            None => {
                self.fails = (self.fails + 1).min(fails);
                if self.fails >= fails {
                    self.healthy = false;
                }
            }
        }
    }

    /// The ramp: a tenth of the capacity at first, all of it after `warm_ms`.
    pub fn allowance(&self, warm_ms: u64, now: Tick) -> Option<u32> {
        let up = now.since(self.warm_since?);
        (up < warm_ms).then(|| {
            let part = (up as f64 / warm_ms as f64).max(0.1);
            (self.capacity * part).max(1.0) as u32
        })
    }
}

type Key = (Service, Area);

impl Router {
    /// The home: a router of the area; where it has none, one of its region.
    pub fn home_of(&self, t: &Table, svc: &Service, area: &Area) -> Option<Member> {
        let l = self.ledger();
        let key = format!("home/{svc}/{area}");
        duty::line(&l, &key, Some(area)).into_iter().next().or_else(|| {
            let region = t.region_of(area);
            duty::line(&l, &key, None).into_iter().find(|m| t.region_of(&m.card.area) == region)
        })
    }

    /// Keeps one task for each service and area: the home probes, the others subscribe.
    pub async fn watch_all(self: Arc<Self>) {
        let mut tasks: HashMap<Key, (String, JoinHandle<()>)> = HashMap::new();
        let mut wakeup = tokio::time::interval(Duration::from_millis(self.set.timing.beat_ms()));
        loop {
            wakeup.tick().await;
            let Some(g) = self.governing.load_full() else { continue };
            let mut wanted: Vec<(Key, Member)> = Vec::new();
            for area in g.table.areas.keys() {
                for svc in g.table.services.keys() {
                    if let Some(m) = self.home_of(&g.table, svc, area) {
                        wanted.push(((svc.clone(), area.clone()), m));
                    }
                }
            }
            tasks.retain(|k, (holder, task)| {
                let same = wanted.iter().any(|(w, m)| w == k && m.card.node.as_str() == holder);
                if !same || task.is_finished() {
                    task.abort();
                    lock(&self.published).remove(k);
                }
                same && !task.is_finished()
            });
            for (k, m) in wanted {
                tasks.entry(k.clone()).or_insert_with(|| {
                    let (me, holder) = (self.clone(), m.card.node.to_string());
                    let task = if m.card.node == *self.node() {
                        tokio::spawn(me.probe(k))
                    } else {
                        tokio::spawn(me.subscribe(k, m))
                    };
                    (holder, task)
                });
            }
        }
    }

    async fn subscribe(self: Arc<Self>, (service, area): Key, home: Member) {
        let (mut seq, mut fence) = (0, Fence(0));
        let wait_ms = self.set.timing.check_ms * 2;
        loop {
            let ask = Ask::Watch { service: service.clone(), area: area.clone(), seq, fence, wait_ms };
            let ms = wait_ms + self.set.timing.rail_ms;
            match self.lines.call_within(ms, "watch", home.card.rail, ask).await {
                Ok(Reply::Figures(f)) => {
                    (seq, fence) = (f.seq, f.fence);
                    self.take_figures(f);
                }
                _ => tokio::time::sleep(Duration::from_millis(self.set.timing.beat_ms())).await,
            }
        }
    }

    async fn probe(self: Arc<Self>, (service, area): Key) {
        let (tx, _) = watch::channel(None);
        lock(&self.published).insert((service.clone(), area.clone()), tx.clone());
        let mut watched = self.inherited(&service, &area);
        let mut wakeup = tokio::time::interval(Duration::from_millis(self.set.timing.look_ms()));
        wakeup.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let (mut seq, mut full_at) = (0, Tick(0));
        loop {
            wakeup.tick().await;
            // Between two full checks only where it presses: figures age fast there.
            let full = self.now().since(full_at) + self.set.timing.look_ms() / 2 >= self.set.timing.check_ms;
            let presses = watched.values().any(|w: &Watched| w.healthy && w.consumption * 2.0 > w.capacity);
            if !full && !presses {
                continue;
            }
            if full {
                full_at = self.now();
            }
            let Some(g) = self.governing.load_full() else { continue };
            let l = self.ledger();
            let mine: Vec<(ReplicaId, Replica)> = l
                .replicas
                .iter()
                .filter(|(_, r)| r.service == service && r.area == area)
                .map(|(id, r)| (id.clone(), r.clone()))
                .collect();
            watched.retain(|id, _| mine.iter().any(|(m, _)| m == id));
            let checks = mine.iter().map(|(_, r)| self.check(r));
            let found = futures::future::join_all(checks).await;
            let (now, tun) = (self.now(), &g.table.tuning);
            let mut replicas = Vec::new();
            for ((id, r), rep) in mine.into_iter().zip(found) {
                let w = watched.entry(id.clone()).or_default();
                let was = w.healthy;
                if full || rep.is_some() {
                    w.check(rep, self.set.timing.check_fails, f64::from(tun.slots), now);
                }
                if was != w.healthy {
                    jot!(Info, "replica health", "peer" => r.addr, "replica" => id, "healthy" => w.healthy);
                }
                replicas.push(Gauge {
                    id,
                    addr: r.addr,
                    healthy: w.healthy,
                    capacity: w.capacity,
                    consumption: w.consumption,
                    allowance: w.allowance(tun.warm_ms, now),
                });
            }
            seq += 1;
            let (service, area) = (service.clone(), area.clone());
            let fig = Figures { service, area, fence: Fence(l.epoch.0), seq, age_ms: 0, replicas };
            self.take_figures(fig.clone());
            tx.send_replace(Some(fig));
        }
    }

    /// A new home goes on from the figures of the last one: what was warm stays warm.
    fn inherited(&self, service: &Service, area: &Area) -> HashMap<ReplicaId, Watched> {
        let b = self.pressure.board();
        let now = self.now();
        let from = |g: &Gauge| Watched {
            fails: 0,
            healthy: g.healthy,
            capacity: g.capacity,
            consumption: g.consumption,
            warm_since: g.allowance.map(|_| now),
        };
        b.seen
            .get(&(service.clone(), area.clone()))
            .map(|s| s.fig.replicas.iter().map(|g| (g.id.clone(), from(g))).collect())
            .unwrap_or_default()
    }

    async fn check(&self, r: &Replica) -> Option<Report> {
        let (ip, ms) = (self.set.rail.ip(), (self.set.timing.check_ms * 3 / 4).max(50));
        let res = ask(ip, r.addr, Method::GET, "/foldshunt/report", &[], "", ms).await.ok()?;
        if res.0.is_success() {
            return Report::read(&res.2, r.service.as_str()).or(Some(Report::default()));
        }
        if res.0.as_u16() != 404 {
            return Some(Report { healthy: Some(false), ..Report::default() });
        }
        let res = ask(ip, r.addr, Method::GET, "/healthz", &[], "", ms).await.ok()?;
        Some(Report { healthy: Some(res.0.is_success()), ..Report::default() })
    }

    /// `Server-Load` on an answer: a share of the capacity, or per cent of it.
    pub fn note_load(&self, own: &Own, h: &hyper::HeaderMap) {
        let said =
            h.get("server-load").and_then(|v| v.to_str().ok()).and_then(|v| v.trim().parse::<f64>().ok());
        if let Some(v) = said.filter(|v| v.is_finite() && *v >= 0.0) {
            let share = if v > 1.0 { v / 100.0 } else { v };
            own.load.store((share * 1000.0) as i64, Ordering::Relaxed);
            own.load_at.store(self.now().0, Ordering::Relaxed);
        }
    }
}
