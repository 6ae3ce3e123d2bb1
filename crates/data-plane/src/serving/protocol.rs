//! The interface between the data plane and a platform (design 9.1): header names, paths, and the data that a platform
//! adapter parses and formats. It holds no state and makes no decisions.

use super::usage::UsageReport;
use common::{FencingToken, ReplicaId, Service, Zone};
use hyper::{HeaderMap, header::HeaderName};
use std::net::SocketAddr;

/// Header names and paths that the platform prescribes.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of a request, repeated in its answer.
    pub request_id: HeaderName,
    /// How many milliseconds the client still waits for an answer.
    pub time_left: HeaderName,
    /// The id of the replica that a request is meant for; an id is valid for one run of the replica's process.
    pub wanted_replica: HeaderName,
    /// The urgency of a request, from 0 (served first) to 9 (served last).
    pub urgency: HeaderName,
    /// Marks every answer that a replica produced itself, as opposed to an intermediary.
    pub seal: HeaderName,
    /// Marks an answer of a replica that did not run the request.
    pub not_run: HeaderName,
    /// The id of the event after which a resumed stream continues.
    pub last_event: HeaderName,
    /// A replica's load, in its answer to a probe.
    pub load: HeaderName,
    /// The name of the tenant that a request belongs to.
    pub tenant: HeaderName,
    /// The `Authorization` scheme under which a request carries its API key.
    pub key_scheme: &'static str,
    /// Path of the readiness check of this router.
    pub ready_path: &'static str,
    /// Path under which clients look up routers in the directory.
    pub lookup_path: &'static str,
    /// Path under which a replica with a batch engine reports its load.
    pub report_path: &'static str,
}

/// One replica in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedReplica {
    /// Identifies one run of the replica's process.
    pub id: ReplicaId,
    /// The service that it runs.
    pub service: Service,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// The zone that it runs in.
    pub zone: Zone,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// It takes no new requests.
    pub draining: bool,
    /// Milliseconds until it has warmed up; 0 if it is warm.
    pub cold_left_ms: u64,
    /// Milliseconds until it is removed, if its removal was announced.
    pub time_left_ms: Option<u64>,
}

/// One page of the platform's list of replicas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListPage {
    /// The replicas on this page.
    pub rows: Vec<ListedReplica>,
    /// The token of the next page; `None` on the last one.
    pub next: Option<String>,
}

/// The load that a batch engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Tokens of memory in use.
    pub memory_used: u64,
    /// Tokens of memory in all.
    pub memory_total: u64,
}

/// What a request's headers say about its prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// The id and the length in tokens of each part, in order.
    pub parts: Vec<(u64, u32)>,
    /// Length of the prompt in tokens.
    pub tokens_in: u32,
    /// Expected length of the answer in tokens.
    pub tokens_out: u32,
}

impl Prompt {
    /// The parts that other requests may have in common with it: all but the last.
    pub fn shared(&self) -> &[(u64, u32)] {
        self.parts.split_last().map_or(&[], |(_, rest)| rest)
    }

    /// Length of the shared parts in tokens.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|p| p.1).sum()
    }
}

/// A client's query to the directory: where it is.
#[derive(Clone, Debug, PartialEq)]
pub struct Lookup {
    /// The client's region; empty if it did not say.
    pub region: String,
    /// The client's zone; empty if it did not say.
    pub zone: String,
}

/// A call to the platform that only one node at a time makes, as the holder of a duty.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyCall {
    /// Path of the request.
    pub path: &'static str,
    /// Names and values of its headers.
    pub headers: Vec<(&'static str, String)>,
    /// Its body.
    pub body: String,
}

/// Translates between the data plane and the wire format of one platform.
pub trait ProtocolAdapter: Send + Sync + 'static {
    /// Header names and paths of the platform.
    fn header_names(&self) -> &HeaderNames;
    /// Parses a batch engine's load report; `None` if it is malformed.
    fn parse_engine_report(&self, body: &[u8]) -> Option<EngineReport>;
    /// Parses a page of the list of replicas; `None` if it is malformed.
    fn parse_list_page(&self, body: &[u8]) -> Option<ListPage>;
    /// Path and query of one page of a zone's list of replicas; `page` is the token of a page after the first.
    fn list_page_path(&self, zone: &Zone, page: Option<&str>) -> String;
    /// Reads what a request's headers say about its prompt.
    fn parse_prompt(&self, head: &HeaderMap) -> Prompt;
    /// Parses the query of a directory lookup.
    fn parse_lookup(&self, query: &str) -> Lookup;
    /// The directory's answer as JSON: routers that the client may use for `keep_ms` milliseconds.
    fn directory_answer(&self, addrs: &[SocketAddr], keep_ms: u64) -> String;
    /// The call that reports the usage of one window. The same arguments give the same bytes, so that a report may be
    /// sent again.
    fn usage_report(&self, holder: &str, fencing_token: FencingToken, report: &UsageReport) -> DutyCall;
}
