//! Load of replicas and regions: the reports that probing routers publish, what this router knows itself, and the
//! load of a region computed from both (design 5.4).

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

/// Load of one replica, as measured by the router that probes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaLoad {
    /// The replica.
    pub id: ReplicaId,
    /// Its address.
    pub addr: SocketAddr,
    /// Whether its last probes succeeded.
    pub healthy: bool,
    /// How many requests it can serve at once.
    pub capacity: f64,
    /// How much of the capacity is in use.
    pub consumption: f64,
    /// Only during slow start: the most requests that all routers together may have open there.
    pub allowance: Option<u32>,
}

/// Load of all replicas of one service in one zone, with its age at the time of sending.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The service.
    pub service: Service,
    /// The zone.
    #[serde(rename = "area")]
    pub zone: Zone,
    /// Under which the publisher acts; a report with a lower one is from a past publisher.
    #[serde(rename = "fence")]
    pub fencing_token: FencingToken,
    /// Number of the report under its fencing token.
    pub seq: u64,
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u64,
    /// How long the publisher held the request before it sent the report, in milliseconds.
    pub waited_ms: u64,
    /// The region's routers as the publisher knew them. The allowance of a replica in slow start is split over
    /// these, so that all routers with the same report agree on the split.
    #[serde(rename = "line")]
    pub routers: Vec<NodeId>,
    /// The replicas.
    pub replicas: Vec<ReplicaLoad>,
}

impl LoadReport {
    /// When the report was measured, on the clock of the router that requested it. Never later than it can
    /// have been, however long the response was in transit or lay unread.
    pub fn fresh_at(&self, requested_at: Tick, now: Tick) -> Tick {
        (requested_at + self.waited_ms).min(now) - self.age_ms
    }
}

/// What this router itself knows of a replica, or of a region that it forwards requests to.
#[derive(Debug, Default)]
pub struct LocalLoad {
    /// Requests that are open from here.
    pub open: AtomicI64,
    /// How many of the open requests the last load report may already include.
    pub counted: AtomicI64,
    /// Set after a failure here: until then the replica is used only where there is no other.
    pub avoid_until: AtomicU64,
    /// When it last refused a connection: older load reports describe a process that no longer runs.
    pub refused_at: AtomicU64,
    /// `Server-Load` of the last response, in thousandths of the capacity.
    pub server_load: AtomicI64,
    /// When that response arrived.
    pub server_load_at: AtomicU64,
}

/// A load report as this router received it.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    /// The report.
    pub report: LoadReport,
    /// Its routers, shared by all candidates of this report.
    pub routers: Arc<[NodeId]>,
    /// When the report was measured, on this router's clock.
    pub fresh_at: Tick,
}

/// Load of a region for one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionLoad {
    /// Whether it has a healthy replica.
    pub healthy: bool,
    /// Sum of its replicas' capacity.
    pub capacity: f64,
    /// How much of the capacity is in use.
    pub consumption: f64,
}

impl RegionLoad {
    /// Consumption as a share of the capacity; infinite without capacity.
    pub fn ratio(&self) -> f64 {
        if self.capacity > 0.0 { self.consumption / self.capacity } else { f64::INFINITY }
    }

    /// Whether a user may stay in or be placed in the region: it is healthy, and not overloaded.
    pub fn is_eligible(&self, overload: f64) -> bool {
        self.healthy && self.capacity > 0.0 && self.ratio() <= overload
    }
}

/// A replica that a request may be sent to.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its load by the last report.
    pub load: ReplicaLoad,
    /// Its zone.
    pub zone: Zone,
    /// What this router itself knows of it.
    pub local: Arc<LocalLoad>,
    /// When the report was measured, on this router's clock.
    pub fresh_at: Tick,
    /// Number of the report; the split of free capacity over the routers rotates with it.
    pub seq: u64,
    /// The routers that the report names.
    pub routers: Arc<[NodeId]>,
}

impl Candidate {
    /// Consumption by others as of the last report, plus what is open from here now. A `Server-Load` that is newer
    /// than the report can only raise it (design 5.4).
    pub fn consumption(&self) -> f64 {
        let local = &self.local;
        let others = (self.load.consumption - local.counted.load(Ordering::Relaxed) as f64).max(0.0);
        let sum = others + local.open.load(Ordering::Relaxed).max(0) as f64;
        if local.server_load_at.load(Ordering::Relaxed) > self.fresh_at.0 {
            sum.max(self.load.capacity * local.server_load.load(Ordering::Relaxed) as f64 / 1000.0)
        } else {
            sum
        }
    }
}

/// The newest load reports.
#[derive(Clone, Debug, Default)]
pub struct KnownReports {
    /// One for each service and zone.
    pub reports: BTreeMap<(Service, Zone), ReceivedReport>,
}

/// The newest load reports, and what this router itself knows of each replica.
#[derive(Debug, Default)]
pub struct LoadView {
    known: arc_swap::ArcSwap<KnownReports>,
    local: Mutex<HashMap<ReplicaId, Arc<LocalLoad>>>,
    write: Mutex<()>,
}

impl LoadView {
    /// What this router itself knows of a replica, or of a region under its `forward_load_id`.
    pub fn local(&self, id: &ReplicaId) -> Arc<LocalLoad> {
        let mut all = lock(&self.local);
        all.entry(id.clone()).or_default().clone()
    }

    /// The newest load reports.
    pub fn known(&self) -> Arc<KnownReports> {
        self.known.load_full()
    }

    /// Installs a load report unless it is from a past publisher, or older than the one that is known. Returns whether
    /// it is at least as new as that one.
    pub fn install(&self, report: LoadReport, requested_at: Tick, now: Tick) -> bool {
        let _write = lock(&self.write);
        let key = (report.service.clone(), report.zone.clone());
        let mut known = KnownReports::clone(&self.known.load());
        let newer = known.reports.get(&key).is_none_or(|last| {
            report.fencing_token > last.report.fencing_token
                || (report.fencing_token == last.report.fencing_token && report.seq >= last.report.seq)
        });
        if newer {
            let repeated = known.reports.get(&key).is_some_and(|last| {
                last.report.seq == report.seq && last.report.fencing_token == report.fencing_token
            });
            if !repeated {
                for replica in &report.replicas {
                    let local = self.local(&replica.id);
                    local.counted.store(local.open.load(Ordering::Relaxed), Ordering::Relaxed);
                }
                let fresh_at = report.fresh_at(requested_at, now);
                let routers = report.routers.clone().into();
                known.reports.insert(key, ReceivedReport { report, routers, fresh_at });
                self.known.store(Arc::new(known));
            }
        }
        newer
    }

    /// Replicas of a service that a fresh load report calls healthy and that `usable` admits.
    pub fn replicas(
        &self,
        service: &Service,
        now: Tick,
        report_max_age_ms: u64,
        usable: &dyn Fn(&ReplicaLoad, &Zone) -> bool,
    ) -> Vec<Candidate> {
        let known = self.known.load();
        known
            .reports
            .iter()
            .filter(|((s, _), received)| s == service && now.since(received.fresh_at) <= report_max_age_ms)
            .flat_map(|((_, zone), received)| {
                received.report.replicas.iter().map(move |load| (load, zone, received))
            })
            .filter(|(load, zone, _)| load.healthy && usable(load, zone))
            .map(|(load, zone, received)| Candidate {
                load: load.clone(),
                zone: zone.clone(),
                local: self.local(&load.id),
                fresh_at: received.fresh_at,
                seq: received.report.seq,
                routers: received.routers.clone(),
            })
            .collect()
    }
}

/// Sums the load of a service's replicas by region.
pub fn loads_by_region(
    replicas: &[Candidate],
    region_of: &dyn Fn(&Zone) -> Option<Region>,
) -> BTreeMap<Region, RegionLoad> {
    let mut out: BTreeMap<Region, RegionLoad> = BTreeMap::new();
    for replica in replicas {
        let Some(region) = region_of(&replica.zone) else { continue };
        let sum = out.entry(region).or_default();
        sum.healthy = true;
        let capacity = match replica.load.allowance {
            Some(allowance) => replica.load.capacity.min(f64::from(allowance)),
            None => replica.load.capacity,
        };
        sum.capacity += capacity;
        sum.consumption += replica.consumption();
    }
    out
}
