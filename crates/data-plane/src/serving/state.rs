//! A router's state for serving by routes, in one struct that is passed down by reference (design
//! 9.2).

use super::{
    pool::Pool,
    prompt_length::PromptLengths,
    protocol::ProtocolAdapter,
    replica_view::{Candidate, ReplicaView, ReportStore},
    retry_budget::RetryBudget,
    usage::UsageDuty,
};
use crate::router::{Router, lock};
use arc_swap::{ArcSwap, ArcSwapOption};
use common::{NodeId, Region, Service, Tick, Zone, log_event};
use configuration::{Backend, DocumentFormat, RouteMap};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::Ordering},
};

/// Part of the drain bound for which a reading of the list of replicas may be gone by: three quarters. The rest is for
/// the way of a request that was sent at the last moment.
const LIST_MAX_AGE: (u64, u64) = (3, 4);

/// Part of the drain bound after which no byte of a request leaves: what is put on a connection still travels.
const SEND_MAX_AGE: (u64, u64) = (7, 8);

/// The bounds that all routers keep together, as the platform tells them.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub cold_overrun: f64,
    pub cold_slack: f64,
    pub retry_ratio: f64,
    pub extra_tries: f64,
    /// The span over which further tries are counted.
    pub retry_window_ms: u64,
    /// How long clients may go by a directory's answer.
    pub keep_ms: u64,
    /// From SIGTERM to the end.
    pub grace_ms: u64,
    /// Longest time from when a replica is listed as draining until nothing reaches it any more.
    pub drain_ms: u64,
}

/// What a node is told of its place, beside its settings.
#[derive(Clone, Debug)]
pub struct Site {
    pub region: Region,
    pub zones: BTreeMap<Zone, Region>,
    pub readiness: Option<SocketAddr>,
    pub directory: Option<SocketAddr>,
    /// Where the platform lists replicas, and how many calls a second all nodes have there.
    pub list: SocketAddr,
    pub list_per_s: f64,
    pub list_lag_ms: u64,
    pub bounds: Bounds,
    /// The duty to report usage, where the platform gives it.
    pub usage: Option<UsageDuty>,
}

pub struct Serving {
    pub router: Arc<Router>,
    pub dialect: Arc<dyn ProtocolAdapter>,
    pub document_format: Arc<dyn DocumentFormat>,
    pub site: Site,
    pub map: ArcSwapOption<RouteMap>,
    pub fleet: ArcSwap<ReplicaView>,
    pub reports: Mutex<ReportStore>,
    pub pool: Pool,
    pub retries: RetryBudget,
    pub prompt_lengths: Mutex<PromptLengths>,
    /// How long requests of a service take, as seen here lately.
    pub service_times: Mutex<HashMap<Service, f64>>,
    /// When the evacuation of a zone ended last: its replicas may have turned cold.
    pub zone_returned: Mutex<HashMap<Zone, Tick>>,
    /// Open requests from here at regions other than the own, by service.
    pub forwarded_open: Mutex<HashMap<(Region, Service), i64>>,
}

impl Serving {
    pub fn new(
        router: Arc<Router>,
        dialect: Arc<dyn ProtocolAdapter>,
        document_format: Arc<dyn DocumentFormat>,
        site: Site,
    ) -> Arc<Self> {
        let retries = RetryBudget::started(router.now());
        if let Some(duty) = &site.usage {
            lock(&router.usage.starts).set_retention(duty.retention_ms());
        }
        Arc::new(Self {
            router,
            dialect,
            document_format,
            site,
            map: ArcSwapOption::empty(),
            fleet: ArcSwap::default(),
            reports: Mutex::default(),
            pool: Pool::default(),
            retries,
            prompt_lengths: Mutex::default(),
            service_times: Mutex::default(),
            zone_returned: Mutex::default(),
            forwarded_open: Mutex::default(),
        })
    }

    pub fn now(&self) -> Tick {
        self.router.now()
    }

    /// Reads the newest document as soon as it is there; an older one never comes back.
    pub async fn keep_configuration(self: Arc<Self>) {
        let mut moved = self.router.member.applied.subscribe();
        let (mut evacuated, mut have) = (BTreeSet::new(), common::Revision(0));
        loop {
            let l = self.router.cluster_state();
            for a in evacuated.difference(&l.evacuated) {
                lock(&self.zone_returned).insert(Zone::clone(a), self.now());
            }
            evacuated = l.evacuated.clone();
            if let Some(text) = l.text.as_ref().filter(|_| l.revision > have) {
                match self.document_format.read(text) {
                    Ok(m) => {
                        have = l.revision;
                        self.map.store(Some(Arc::new(m)));
                        self.router.member.revision_in_force.store(have.0, Ordering::Release);
                        log_event!(Info, "governs", "revision" => have.0);
                    }
                    Err(f) => {
                        self.router.unreadable.store(l.revision.0, Ordering::Release);
                        log_event!(Error, "read document", "peer" => "core", "revision" => l.revision.0, "cause" => format!("{f:?}"));
                    }
                }
            }
            if moved.changed().await.is_err() {
                return;
            }
        }
    }

    /// Routers that the cluster state knows, this one too.
    pub fn routers(&self) -> Vec<NodeId> {
        let l = self.router.cluster_state();
        l.routers().into_iter().map(|m| m.info.node.clone()).collect()
    }

    /// Until when a replica counts as cold: by its load reports, or since its zone came back.
    pub fn cold(&self, c: &Candidate, b: &Backend, now: Tick) -> bool {
        let back = lock(&self.zone_returned).get(&c.zone).is_some_and(|t| now.since(*t) < b.slow_start_ms);
        b.slow_start_per_s > 0.0 && (back || c.cold_until > now)
    }

    /// Age at which a reading of the list counts no more, in milliseconds (design 9.3).
    pub fn list_max_age_ms(&self) -> u64 {
        self.site.bounds.drain_ms * LIST_MAX_AGE.0 / LIST_MAX_AGE.1
    }

    /// Age of a reading of the list from which on no byte of a request leaves that goes by it, in milliseconds.
    pub fn send_max_age_ms(&self) -> u64 {
        self.site.bounds.drain_ms * SEND_MAX_AGE.0 / SEND_MAX_AGE.1
    }

    /// All metrics of the router, as text.
    pub fn metrics(&self) -> String {
        let now = self.now();
        for (zone, held) in &lock(&self.reports).by_zone {
            let age = self.router.counters.replica_list_age.with_label_values(&[zone.as_str()]);
            age.set(now.since(held.fresh_at) as i64);
        }
        self.router.metrics()
    }

    /// Whether a reading of the list that was current then may still be gone by.
    pub fn is_list_current(&self, listed_at: Tick) -> bool {
        self.now().since(listed_at) <= self.list_max_age_ms()
    }

    /// Listed a short while ago, not leaving, in a zone that is not evacuated.
    pub fn usable(&self, c: &Candidate) -> bool {
        !c.draining
            && self.is_list_current(c.listed_at)
            && !self.router.cluster_state().evacuated.contains(&c.zone)
    }

    /// How long a request of this service occupies a replica.
    pub fn hold_ms(&self, svc: &Service) -> f64 {
        lock(&self.service_times).get(svc).copied().unwrap_or(300.0)
    }

    pub fn learn_duration(&self, svc: &Service, ms: f64) {
        super::replica_choice::learn_duration(
            lock(&self.service_times).entry(svc.clone()).or_insert(300.0),
            ms,
        );
    }

    /// Fit to take new work: the document is known, and which replicas there are.
    pub fn refusing(&self) -> Option<&'static str> {
        let r = &self.router;
        [
            (r.draining.load(Ordering::Acquire), "draining"),
            (self.map.load().is_none(), "no configuration"),
            (self.fleet.load().by_service.is_empty(), "no replicas known"),
        ]
        .into_iter()
        .find_map(|(no, why)| no.then_some(why))
        .or_else(|| r.refuses_work())
    }
}
