//! What an adapter tells the data plane: the names that stand on the wire and the shapes behind
//! them (design 9.1). Owns no state and decides nothing.

use super::usage::UsageReport;
use common::{FencingToken, ReplicaId, Service, Zone};
use hyper::{HeaderMap, header::HeaderName};
use std::net::SocketAddr;

/// Header names and paths of the platform that the routers stand on.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    pub request_id: HeaderName,
    /// Milliseconds that the caller still waits.
    pub time_left: HeaderName,
    /// The life of a replica that a request is meant for.
    pub wanted: HeaderName,
    pub urgency: HeaderName,
    /// Stands on each answer that a replica made.
    pub seal: HeaderName,
    /// Stands on an answer of a replica that did not run the request.
    pub not_run: HeaderName,
    pub last_event: HeaderName,
    pub load: HeaderName,
    /// Names the tenant that a request belongs to.
    pub tenant: HeaderName,
    /// The scheme under which a request carries its API key.
    pub key_scheme: &'static str,
    pub ready_path: &'static str,
    pub lookup_path: &'static str,
    pub report_path: &'static str,
}

/// One replica as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedReplica {
    pub id: ReplicaId,
    pub service: Service,
    pub addr: SocketAddr,
    pub zone: Zone,
    pub slots: u32,
    pub draining: bool,
    pub cold_left_ms: u64,
    /// Time until it is taken away, where that was announced.
    pub time_left_ms: Option<u64>,
}

/// A page of the platform's list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListPage {
    pub rows: Vec<ListedReplica>,
    pub next: Option<String>,
}

/// What a batch engine reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineReport {
    pub running: u32,
    pub waiting: u32,
    pub memory_used: u64,
    pub memory_total: u64,
}

/// What a request says of its prompt: its parts in order, each with its length in tokens.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    pub parts: Vec<(u64, u32)>,
    pub tokens_in: u32,
    pub tokens_out: u32,
}

impl Prompt {
    /// Parts that other requests may share: all but the last.
    pub fn shared(&self) -> &[(u64, u32)] {
        self.parts.split_last().map_or(&[], |(_, rest)| rest)
    }

    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|p| p.1).sum()
    }
}

/// A client's question where to go.
#[derive(Clone, Debug, PartialEq)]
pub struct Lookup {
    pub region: String,
    pub zone: String,
}

/// A call to the platform that is the duty of one node at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyCall {
    pub path: &'static str,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

pub trait ProtocolAdapter: Send + Sync + 'static {
    fn names(&self) -> &HeaderNames;
    fn report(&self, body: &[u8]) -> Option<EngineReport>;
    fn listing(&self, body: &[u8]) -> Option<ListPage>;
    /// Path and query under which one page of a zone's replicas is listed.
    fn listing_path(&self, zone: &Zone, page: Option<&str>) -> String;
    fn prompt(&self, head: &HeaderMap) -> Prompt;
    fn lookup(&self, query: &str) -> Lookup;
    /// The directory's answer, as JSON.
    fn places(&self, addrs: &[SocketAddr], keep_ms: u64) -> String;
    /// The call that reports a window's usage; the same bytes for the same arguments.
    fn usage_report(&self, holder: &str, fencing_token: FencingToken, report: &UsageReport) -> DutyCall;
}
