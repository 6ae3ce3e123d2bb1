//! Routes by host and path prefix, and what a router needs to know about their services (design 4.8).
//!
//! A [`DocumentFormat`] parses a document into this form: the product's own format, or that of an adapter.

use crate::{diagnostic::Diagnostic, tenants::Tenants};
use common::{Region, Service};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

/// Whether a request may be repeated, and whether its response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    ReadOnly,
    /// A request runs at most once.
    Writing,
    /// The response is a stream of events. A request runs at most once, unless the stream is resumable.
    Streaming,
}

/// How requests for one host and path prefix are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: String,
    /// Host that the requests name.
    pub host: String,
    /// Path prefix of the requests; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated, and whether responses are streams.
    pub kind: RouteKind,
    /// Time after which a router gives up on a request, in milliseconds. A client may ask for less.
    pub request_timeout_ms: u64,
    /// Target for the time until the response, or the first event of a stream, in milliseconds.
    pub latency_target_ms: u64,
    /// Urgency of its requests, from 0 (served first) to 9 (served last).
    pub urgency: u8,
    /// The services, each with the weight by which requests are distributed. The weights add up to more than 0.
    pub service_weights: Vec<(Service, u64)>,
    /// Largest number of replicas that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests with the same prompt prefix should go to the same replica.
    pub affinity: bool,
    /// Whether an interrupted stream may be continued by another replica.
    pub resumable: bool,
    /// Longest pause between events of a stream that still counts as timely, in milliseconds.
    pub max_event_gap_ms: Option<u64>,
    /// Regions that may serve its requests; all if empty.
    pub homes: BTreeSet<Region>,
    /// Whether requests need no API key.
    pub public: bool,
}

impl Route {
    /// Whether a request that may already have run may run again.
    pub fn idempotent(&self) -> bool {
        match self.kind {
            RouteKind::ReadOnly => true,
            RouteKind::Writing => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Picks a service by weight; `unit` is a random number in \[0, 1).
    pub fn service(&self, unit: f64) -> Option<&Service> {
        let total: u64 = self.service_weights.iter().map(|(_, weight)| weight).sum();
        let mut remaining = (unit * total as f64) as u64;
        self.service_weights.iter().filter(|(_, weight)| *weight > 0).find_map(|(service, weight)| {
            let picked = remaining < *weight;
            remaining = remaining.saturating_sub(*weight);
            picked.then_some(service)
        })
    }
}

/// What the document says about a service's batch engine.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchEngine {
    /// Number of requests that one replica processes at the same time.
    pub slots: u32,
    /// Number of tokens, of running requests and of the cache together, that fit into a replica's memory.
    pub memory_tokens: u64,
    /// Number of tokens in one event of a stream.
    pub step_tokens: u32,
}

/// What a router needs to know about one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Name of the service.
    pub name: Service,
    /// Path of its health check.
    pub health_path: String,
    /// Number of connections that one replica accepts from all routers together.
    pub max_connections: u32,
    /// Time after a replica's start during which its load is limited to `slow_start_per_s`, in milliseconds.
    pub slow_start_ms: u64,
    /// Requests per second that one replica is sent during its slow start.
    pub slow_start_per_s: f64,
    /// Its batch engine, if it has one.
    pub engine: Option<BatchEngine>,
}

/// Limits on what a client may send and on how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest size of the request line and headers together.
    pub max_header_bytes: usize,
    /// Largest request body.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a request's head to its last, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time without a request on a connection, in milliseconds.
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

/// The routes of a document, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct RouteMap {
    /// Version number in the document. It rises from one document to the next, but not always by one.
    pub version: u64,
    /// Routes by host, each host's with the longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub backends: BTreeMap<Service, Arc<Backend>>,
    /// Limits on clients' connections and requests.
    pub limits: RequestLimits,
    /// Tenants by API key. If the document has none this is `None`, and requests need no key.
    pub tenants: Option<Tenants>,
}

impl RouteMap {
    /// A map of these routes.
    pub fn new(version: u64, routes: Vec<Route>, backends: Vec<Backend>, limits: RequestLimits) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let backends =
            backends.into_iter().map(|backend| (backend.name.clone(), Arc::new(backend))).collect();
        Self { version, hosts, backends, limits, tenants: None }
    }

    /// The same map with these tenants.
    pub fn with_tenants(self, tenants: Option<Tenants>) -> Self {
        Self { tenants, ..self }
    }

    /// The route of this host with the longest prefix that matches the path. A port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host_and_port =
            host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|digit| digit.is_ascii_digit()));
        let host = host_and_port.map_or(host, |(name, _)| name).to_ascii_lowercase();
        self.hosts.get(&host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}

/// A format of documents. Parsing checks everything that can be checked without knowledge of the fleet.
pub trait DocumentFormat: Send + Sync + 'static {
    /// Parses a document.
    ///
    /// # Errors
    /// All errors in the document.
    fn read(&self, text: &str) -> Result<RouteMap, Vec<Diagnostic>>;
    /// Applies a change of named items to the document `text` and returns the new document. Everything else stays as it
    /// is.
    ///
    /// # Errors
    /// All errors in the change or in the new document.
    fn amend(&self, text: &str, change: &str) -> Result<String, Vec<Diagnostic>>;
}
