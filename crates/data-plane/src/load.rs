//! Pressure (design 5.4): what each home node publishes, and how regions are folded from it.

use common::{FencingToken, NodeId, Region, ReplicaId, Service, Tick, Zone, lock};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicI64, AtomicU64, Ordering},
    },
};

/// One replica as its home node sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaLoad {
    pub id: ReplicaId,
    pub addr: SocketAddr,
    pub healthy: bool,
    pub capacity: f64,
    pub consumption: f64,
    /// Set while the replica warms up: the most that all routers together may have there.
    pub allowance: Option<u32>,
}

/// All replicas of one service in one zone, with the age of the load reports when they were sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    pub service: Service,
    #[serde(rename = "area")]
    pub zone: Zone,
    #[serde(rename = "fence")]
    pub fencing_token: FencingToken,
    pub seq: u64,
    pub age_ms: u64,
    /// How long the question for them lay at the home before they were sent.
    pub waited_ms: u64,
    /// The region's routers as the home knew them: places at cold replicas are split over these, so
    /// that all who go by the same load reports agree on who holds which.
    pub line: Vec<NodeId>,
    pub replicas: Vec<ReplicaLoad>,
}

impl LoadReport {
    /// When they were fresh, on the clock of whoever asked at `asked`: never later than they can
    /// have been, however long the answer was on its way or lay unread.
    pub fn fresh_at(&self, asked: Tick, now: Tick) -> Tick {
        (asked + self.waited_ms).min(now) - self.age_ms
    }
}

/// What this router itself knows of a replica (or of a region that it sends forwarded requests to).
#[derive(Debug, Default)]
pub struct LocalLoad {
    pub open: AtomicI64,
    /// How many of the open ones the last load reports can have counted already.
    pub counted: AtomicI64,
    /// Own failures: not to be used until then, where there is another.
    pub avoid_until: AtomicU64,
    /// When a connection was refused last: load reports from before that speak of a process that is gone.
    pub refused_at: AtomicU64,
    /// `Server-Load` of the last answer, in thousandths of the capacity, and when it came.
    pub load: AtomicI64,
    pub load_at: AtomicU64,
}

#[derive(Clone, Debug)]
pub struct Seen {
    pub fig: LoadReport,
    /// Its line, shared by all that is picked by these load reports.
    pub line: Arc<[NodeId]>,
    /// When these load reports were fresh, on the own clock.
    pub at: Tick,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionLoad {
    pub healthy: bool,
    pub capacity: f64,
    pub consumption: f64,
}

impl RegionLoad {
    pub fn ratio(&self) -> f64 {
        if self.capacity > 0.0 { self.consumption / self.capacity } else { f64::INFINITY }
    }

    /// Whether a placement may stay in the region, or a draw may take it: healthy, and not overloaded.
    pub fn passes(&self, overload: f64) -> bool {
        self.healthy && self.capacity > 0.0 && self.ratio() <= overload
    }
}

#[derive(Clone, Debug)]
pub struct Candidate {
    pub gauge: ReplicaLoad,
    pub zone: Zone,
    pub own: Arc<LocalLoad>,
    pub at: Tick,
    /// Number of the load reports; the split of what is free turns with it.
    pub seq: u64,
    pub line: Arc<[NodeId]>,
}

impl Candidate {
    /// What others had open by the last report, plus what is open here now; a fresher
    /// `Server-Load` raises it (design 5.4).
    pub fn consumption(&self) -> f64 {
        let o = &self.own;
        let others = (self.gauge.consumption - o.counted.load(Ordering::Relaxed) as f64).max(0.0);
        let sum = others + o.open.load(Ordering::Relaxed).max(0) as f64;
        if o.load_at.load(Ordering::Relaxed) > self.at.0 {
            sum.max(self.gauge.capacity * o.load.load(Ordering::Relaxed) as f64 / 1000.0)
        } else {
            sum
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct KnownReports {
    pub seen: BTreeMap<(Service, Zone), Seen>,
}

/// Figures of all homes, and the own open requests beside them.
#[derive(Debug, Default)]
pub struct LoadView {
    board: arc_swap::ArcSwap<KnownReports>,
    own: Mutex<HashMap<ReplicaId, Arc<LocalLoad>>>,
    write: Mutex<()>,
}

impl LoadView {
    pub fn own(&self, id: &ReplicaId) -> Arc<LocalLoad> {
        let mut g = lock(&self.own);
        g.entry(id.clone()).or_default().clone()
    }

    pub fn board(&self) -> Arc<KnownReports> {
        self.board.load_full()
    }

    /// Takes load reports unless they are a past holder's, or older than those in hand.
    pub fn take(&self, fig: LoadReport, asked: Tick, now: Tick) -> bool {
        let _w = lock(&self.write);
        let key = (fig.service.clone(), fig.zone.clone());
        let mut b = KnownReports::clone(&self.board.load());
        let newer = b.seen.get(&key).is_none_or(|s| {
            fig.fencing_token > s.fig.fencing_token
                || (fig.fencing_token == s.fig.fencing_token && fig.seq >= s.fig.seq)
        });
        if newer {
            let again = b
                .seen
                .get(&key)
                .is_some_and(|s| s.fig.seq == fig.seq && s.fig.fencing_token == fig.fencing_token);
            if !again {
                for g in &fig.replicas {
                    let o = self.own(&g.id);
                    o.counted.store(o.open.load(Ordering::Relaxed), Ordering::Relaxed);
                }
                let at = fig.fresh_at(asked, now);
                let line = fig.line.clone().into();
                b.seen.insert(key, Seen { fig, line, at });
                self.board.store(Arc::new(b));
            }
        }
        newer
    }

    /// Replicas of a service with fresh load reports that `usable` lets through.
    pub fn replicas(
        &self,
        svc: &Service,
        now: Tick,
        report_max_age_ms: u64,
        usable: &dyn Fn(&ReplicaLoad, &Zone) -> bool,
    ) -> Vec<Candidate> {
        let b = self.board.load();
        b.seen
            .iter()
            .filter(|((s, _), seen)| s == svc && now.since(seen.at) <= report_max_age_ms)
            .flat_map(|((_, zone), seen)| seen.fig.replicas.iter().map(move |g| (g, zone, seen)))
            .filter(|(g, zone, _)| g.healthy && usable(g, zone))
            .map(|(g, zone, seen)| Candidate {
                gauge: g.clone(),
                zone: zone.clone(),
                own: self.own(&g.id),
                at: seen.at,
                seq: seen.fig.seq,
                line: seen.line.clone(),
            })
            .collect()
    }
}

/// Folds replicas into regions: health, capacity and consumption for one service.
pub fn regions(
    reps: &[Candidate],
    region_of: &dyn Fn(&Zone) -> Option<Region>,
) -> BTreeMap<Region, RegionLoad> {
    let mut out: BTreeMap<Region, RegionLoad> = BTreeMap::new();
    for c in reps {
        let Some(r) = region_of(&c.zone) else { continue };
        let p = out.entry(r).or_default();
        p.healthy = true;
        let cap = match c.gauge.allowance {
            Some(a) => c.gauge.capacity.min(f64::from(a)),
            None => c.gauge.capacity,
        };
        p.capacity += cap;
        p.consumption += c.consumption();
    }
    out
}
