//! The state that a router needs to serve requests by routes, in one struct that is passed by reference (design 9.2).

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

/// Fraction of `drain_ms` for which a reading of the list of replicas is valid, as numerator and denominator. The
/// rest is for the delivery of a request that is sent at the last moment.
const LIST_MAX_AGE: (u64, u64) = (3, 4);

/// Fraction of `drain_ms` after which no byte of a request is sent, as numerator and denominator. The rest is for
/// bytes that are still in transit by then.
const SEND_MAX_AGE: (u64, u64) = (7, 8);

/// Limits that the platform sets for all routers together.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Factor on the configured rate of requests to a cold replica.
    pub cold_overrun: f64,
    /// Requests per second to a cold replica that are allowed beyond that.
    pub cold_slack: f64,
    /// Retries allowed per request received.
    pub retry_ratio: f64,
    /// Retries allowed per window beyond the ratio.
    pub extra_tries: f64,
    /// The window over which retries are counted.
    pub retry_window_ms: u64,
    /// How long clients may use an answer of the directory.
    pub directory_ttl_ms: u64,
    /// Time from SIGTERM until the process must have ended.
    pub grace_ms: u64,
    /// Longest time from when a replica is listed as draining until nothing may reach it any more.
    pub drain_ms: u64,
}

/// Where a node runs and which parts of the platform it talks to, in addition to its settings.
#[derive(Clone, Debug)]
pub struct Site {
    /// The node's own region.
    pub region: Region,
    /// All zones, each with its region.
    pub zones: BTreeMap<Zone, Region>,
    /// Where the readiness check is served, if on a separate address.
    pub readiness_addr: Option<SocketAddr>,
    /// Where the directory is served, if on a separate address.
    pub directory_addr: Option<SocketAddr>,
    /// Where the platform lists replicas.
    pub list_addr: SocketAddr,
    /// Calls per second that all nodes together may make to the list.
    pub list_calls_per_s: f64,
    /// How far the list may lag behind the replicas.
    pub list_lag_ms: u64,
    /// Limits for all routers together.
    pub bounds: Bounds,
    /// The duty to report usage, if the platform assigns it.
    pub usage_duty: Option<UsageDuty>,
}

/// The state of a router that serves requests by routes.
pub struct Serving {
    /// The parts that do not depend on routes: membership, counters, placement cache.
    pub router: Arc<Router>,
    /// The platform's wire format.
    pub protocol: Arc<dyn ProtocolAdapter>,
    /// Parses configuration documents.
    pub document_format: Arc<dyn DocumentFormat>,
    /// Where the node runs.
    pub site: Site,
    /// The configuration in force; `None` until the first document was read.
    pub route_map: ArcSwapOption<RouteMap>,
    /// The replicas that requests may be sent to.
    pub replica_view: ArcSwap<ReplicaView>,
    /// The latest report on the replicas of each zone.
    pub reports: Mutex<ReportStore>,
    /// Idle connections to replicas.
    pub pool: Pool,
    /// This router's share of the retry budget.
    pub retries: RetryBudget,
    /// Mean prompt length of each route.
    pub prompt_lengths: Mutex<PromptLengths>,
    /// Moving average of how long requests of a service take, in milliseconds.
    pub service_times: Mutex<HashMap<Service, f64>>,
    /// When the last evacuation of a zone ended: its replicas may be cold since then.
    pub zone_returned: Mutex<HashMap<Zone, Tick>>,
    /// Requests of this router that are open in other regions, by region and service.
    pub forwarded_open: Mutex<HashMap<(Region, Service), i64>>,
}

impl Serving {
    /// A router without configuration and without replicas yet.
    pub fn new(
        router: Arc<Router>,
        protocol: Arc<dyn ProtocolAdapter>,
        document_format: Arc<dyn DocumentFormat>,
        site: Site,
    ) -> Arc<Self> {
        let retries = RetryBudget::started(router.now());
        if let Some(duty) = &site.usage_duty {
            lock(&router.usage.starts).set_retention(duty.retention_ms());
        }
        Arc::new(Self {
            router,
            protocol,
            document_format,
            site,
            route_map: ArcSwapOption::empty(),
            replica_view: ArcSwap::default(),
            reports: Mutex::default(),
            pool: Pool::default(),
            retries,
            prompt_lengths: Mutex::default(),
            service_times: Mutex::default(),
            zone_returned: Mutex::default(),
            forwarded_open: Mutex::default(),
        })
    }

    /// The current time of this node.
    pub fn now(&self) -> Tick {
        self.router.now()
    }

    /// Puts each new configuration document in force as soon as it is replicated here. Revisions never go backwards.
    pub async fn follow_configuration(self: Arc<Self>) {
        let mut applied = self.router.member.applied.subscribe();
        let (mut evacuated, mut in_force) = (BTreeSet::new(), common::Revision(0));
        loop {
            let cluster = self.router.cluster_state();
            for zone in evacuated.difference(&cluster.evacuated) {
                lock(&self.zone_returned).insert(Zone::clone(zone), self.now());
            }
            evacuated = cluster.evacuated.clone();
            if let Some(text) = cluster.text.as_ref().filter(|_| cluster.revision > in_force) {
                match self.document_format.read(text) {
                    Ok(route_map) => {
                        in_force = cluster.revision;
                        self.route_map.store(Some(Arc::new(route_map)));
                        self.router.member.active_revision.store(in_force.0, Ordering::Release);
                        log_event!(Info, "governs", "revision" => in_force.0);
                    }
                    Err(diagnostics) => {
                        self.router.unreadable_revision.store(cluster.revision.0, Ordering::Release);
                        log_event!(Error, "read document", "peer" => "core", "revision" => cluster.revision.0, "cause" => format!("{diagnostics:?}"));
                    }
                }
            }
            if applied.changed().await.is_err() {
                return;
            }
        }
    }

    /// All routers in the cluster state, including this one.
    pub fn routers(&self) -> Vec<NodeId> {
        let cluster = self.router.cluster_state();
        cluster.routers().into_iter().map(|m| m.info.node.clone()).collect()
    }

    /// Whether a replica counts as cold: according to its report, or because the evacuation of its zone ended less
    /// than `slow_start_ms` ago.
    pub fn is_cold(&self, replica: &Candidate, backend: &Backend, now: Tick) -> bool {
        let returned = lock(&self.zone_returned)
            .get(&replica.zone)
            .is_some_and(|t| now.since(*t) < backend.slow_start_ms);
        backend.slow_start_per_s > 0.0 && (returned || replica.cold_until > now)
    }

    /// Age in milliseconds from which a reading of the list of replicas is no longer used (design 9.3).
    pub fn list_max_age_ms(&self) -> u64 {
        self.site.bounds.drain_ms * LIST_MAX_AGE.0 / LIST_MAX_AGE.1
    }

    /// Age in milliseconds of a reading of the list from which no byte of a request that relies on it is sent.
    pub fn send_max_age_ms(&self) -> u64 {
        self.site.bounds.drain_ms * SEND_MAX_AGE.0 / SEND_MAX_AGE.1
    }

    /// All metrics of the router in text format.
    pub fn metrics(&self) -> String {
        let now = self.now();
        for (zone, held) in &lock(&self.reports).by_zone {
            let age = self.router.counters.replica_list_age.with_label_values(&[zone.as_str()]);
            age.set(now.since(held.fresh_at) as i64);
        }
        self.router.metrics()
    }

    /// Whether a reading of the list from that time may still be used.
    pub fn is_list_current(&self, listed_at: Tick) -> bool {
        self.now().since(listed_at) <= self.list_max_age_ms()
    }

    /// Whether requests may be sent to a replica: it was listed recently, it is not draining, and its zone is not
    /// evacuated.
    pub fn is_usable(&self, replica: &Candidate) -> bool {
        !replica.draining
            && self.is_list_current(replica.listed_at)
            && !self.router.cluster_state().evacuated.contains(&replica.zone)
    }

    /// How long a request of this service occupies a slot of a replica.
    pub fn service_time_ms(&self, service: &Service) -> f64 {
        lock(&self.service_times).get(service).copied().unwrap_or(300.0)
    }

    /// Adds the duration of a request to the moving average of its service.
    pub fn learn_duration(&self, service: &Service, ms: f64) {
        super::replica_choice::learn_duration(
            lock(&self.service_times).entry(service.clone()).or_insert(300.0),
            ms,
        );
    }

    /// Why this router may not take new requests; `None` if it may. It needs a configuration, known replicas, and
    /// whatever the router itself asks for.
    pub fn not_ready_reason(&self) -> Option<&'static str> {
        let router = &self.router;
        [
            (router.draining.load(Ordering::Acquire), "draining"),
            (self.route_map.load().is_none(), "no configuration"),
            (self.replica_view.load().by_service.is_empty(), "no replicas known"),
        ]
        .into_iter()
        .find_map(|(no, why)| no.then_some(why))
        .or_else(|| router.refusal_reason())
    }
}
