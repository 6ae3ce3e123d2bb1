//! Routes by host and path prefix, and what a router needs to know of their services (design 4.8).
//! A notation reads a document into this form: the product's own, or an adapter's.

use crate::{diagnostic::Diagnostic, tenants::Tenants};
use common::{Region, Service};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

/// What may be repeated, and how the answer comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    ReadOnly,
    /// Runs at most once for each request.
    Writing,
    /// A series of events; runs at most once unless it may be resumed.
    Streaming,
}

/// What is done with requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest that a request may be held.
    pub request_timeout_ms: u64,
    /// The time within which an answer, or a stream's first event, earns its full worth.
    pub latency_target_ms: u64,
    /// 0 comes first, 9 last.
    pub urgency: u8,
    /// Services by weight; weights sum to more than 0.
    pub service_weights: Vec<(Service, u64)>,
    /// Most replicas that one request may be sent to.
    pub max_attempts: u32,
    /// What shares a prefix is worth keeping together.
    pub affinity: bool,
    /// A cut stream may be taken up at another replica.
    pub resumable: bool,
    /// Longest pause between events that keeps an answer in time.
    pub max_event_gap_ms: Option<u64>,
    /// Regions that may serve it; all where empty.
    pub homes: BTreeSet<Region>,
    /// Served to callers without an API key.
    pub public: bool,
}

impl Route {
    /// Whether a request that may have run may run again.
    pub fn idempotent(&self) -> bool {
        match self.kind {
            RouteKind::ReadOnly => true,
            RouteKind::Writing => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Draws a service by weight; `unit` is in [0, 1).
    pub fn service(&self, unit: f64) -> Option<&Service> {
        let total: u64 = self.service_weights.iter().map(|s| s.1).sum();
        let mut left = (unit * total as f64) as u64;
        self.service_weights.iter().filter(|s| s.1 > 0).find_map(|(s, w)| {
            let hit = left < *w;
            left = left.saturating_sub(*w);
            hit.then_some(s)
        })
    }
}

/// A batch engine, as far as the document tells.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchEngine {
    /// Requests that one replica works on at once.
    pub slots: u32,
    /// Tokens that fit a replica's memory, running and kept together.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub step_tokens: u32,
}

/// What a router needs to know of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Name of the service.
    pub name: Service,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one replica takes from all callers together.
    pub max_connections: u32,
    /// How long a replica stays cold after its start, and what it bears a second until then.
    pub slow_start_ms: u64,
    /// Requests a second that it bears until then.
    pub slow_start_per_s: f64,
    /// Its batch engine, if it has one.
    pub engine: Option<BatchEngine>,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest request line and headers together.
    pub max_header_bytes: usize,
    /// Largest body.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a head to its last.
    pub header_timeout_ms: u64,
    /// Longest time without a request.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A document's routes, ready to be looked up.
#[derive(Clone, Debug, Default)]
pub struct RouteMap {
    /// The document's own number; numbers rise in uneven steps.
    pub version: u64,
    /// By host; the longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub backends: BTreeMap<Service, Arc<Backend>>,
    /// Limits on clients' connections and requests.
    pub limits: RequestLimits,
    /// Tenants by key; `None` where the document has none, and then requests need no key.
    pub tenants: Option<Tenants>,
}

impl RouteMap {
    /// A map of these routes.
    pub fn new(version: u64, routes: Vec<Route>, backends: Vec<Backend>, limits: RequestLimits) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for r in routes {
            hosts.entry(r.host.to_ascii_lowercase()).or_default().push(Arc::new(r));
        }
        hosts.values_mut().for_each(|v| v.sort_by_key(|r| std::cmp::Reverse(r.prefix.len())));
        let backends = backends.into_iter().map(|b| (b.name.clone(), Arc::new(b))).collect();
        Self { version, hosts, backends, limits, tenants: None }
    }

    /// The same map for these tenants.
    pub fn with_tenants(self, tenants: Option<Tenants>) -> Self {
        Self { tenants, ..self }
    }

    /// The route of that host with the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let bare = host.rsplit_once(':').filter(|(_, p)| p.bytes().all(|b| b.is_ascii_digit()));
        let host = bare.map_or(host, |(h, _)| h).to_ascii_lowercase();
        self.hosts.get(&host)?.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}

/// How a document is written. Reading checks all that can be checked without the fleet.
pub trait DocumentFormat: Send + Sync + 'static {
    /// Parses a document.
    ///
    /// # Errors
    /// All that is wrong with it.
    fn read(&self, text: &str) -> Result<RouteMap, Vec<Diagnostic>>;
    /// The document that comes of changing named items in `text`, everything else kept as it was.
    fn amend(&self, text: &str, change: &str) -> Result<String, Vec<Diagnostic>>;
}
