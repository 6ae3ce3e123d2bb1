//! Reports, candidates, routes and prompts with default values for tests.

use common::{FencingToken, NodeId, Region, Tick, Zone};
use configuration::{Route, RouteKind};
use data_plane::serving::{
    Bounds, HeaderNames, Prompt,
    prefill::PrefillTracker,
    replica_choice::{ChoiceContext, PREFILL_TOKENS_PER_MS},
    replica_report::{ReplicaReport, ReplicaRow},
    replica_view::{Candidate, ReportStore},
};
use hyper::header::HeaderName;
use std::{collections::BTreeMap, sync::LazyLock};

/// The ids `p0` to `p{n-1}`.
pub fn node_ids(n: usize) -> Vec<NodeId> {
    (0..n).map(|i| NodeId::new(format!("p{i}"))).collect()
}

/// A healthy replica `r{n}` of the service `chat` with `running` requests of its 20 slots.
pub fn replica_row(n: usize, running: u32) -> ReplicaRow {
    ReplicaRow {
        id: format!("r{n}").as_str().into(),
        service: "chat".into(),
        addr: ([10, 0, 1, n as u8], 80).into(),
        slots: 20,
        draining: false,
        cold_left_ms: 0,
        healthy: true,
        running,
        waiting: 0,
        memory_used: 0,
        memory_total: 0,
    }
}

/// The report of publisher `p0` on the replicas of a zone.
pub fn replica_report(zone: &str, seq: u64, rows: Vec<ReplicaRow>) -> ReplicaReport {
    ReplicaReport {
        zone: zone.into(),
        publisher: "p0".into(),
        fencing_token: FencingToken(1),
        seq,
        age_ms: 0,
        waited_ms: 0,
        rows,
        lending_grants: BTreeMap::new(),
    }
}

/// How long a reading of the list of replicas may be used.
pub const LIST_MAX_AGE_MS: u64 = 3_000;

static ZONE: LazyLock<Zone> = LazyLock::new(|| "n1".into());
static REGION: LazyLock<Region> = LazyLock::new(|| "north".into());

/// The choice by a router in zone `n1` for a short prompt without affinity.
pub fn choice_context<'a>(prompt: &'a Prompt, reading: &'a PrefillTracker) -> ChoiceContext<'a> {
    ChoiceContext {
        prompt,
        zone: &ZONE,
        region: &REGION,
        affinity: false,
        long_prompt: false,
        reading,
        prefixes: &[],
        prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS,
        max_pause_ms: 200.0,
        now: Tick(0),
        service_time_ms: 300.0,
        random_unit: 0.5,
    }
}

/// Generous limits, except for cold replicas.
pub fn bounds() -> Bounds {
    Bounds {
        cold_overrun: 1.0,
        cold_slack: 0.0,
        retry_ratio: 0.1,
        extra_tries: 64.0,
        retry_window_ms: 10_000,
        directory_ttl_ms: 1_000,
        grace_ms: 10_000,
        drain_ms: 4_000,
    }
}

/// Two zones in the region `north`, one in `south`.
pub fn zones() -> BTreeMap<Zone, Region> {
    [("n1", "north"), ("n2", "north"), ("s1", "south")].map(|(a, r)| (a.into(), r.into())).into()
}

/// The candidates of zone `n1` by a report with these rows.
pub fn candidates(rows: Vec<ReplicaRow>) -> Vec<Candidate> {
    let mut store = ReportStore::default();
    assert!(store.accept(replica_report("n1", 1, rows), Tick(0)));
    store.build_view(&zones(), 3_000, LIST_MAX_AGE_MS).replicas_of(&"chat".into()).to_vec()
}

/// A prompt with these parts (id and length in tokens) and an expected answer of 100 tokens.
pub fn prompt(parts: &[(u64, u32)], tokens_in: u32) -> Prompt {
    Prompt { parts: parts.to_vec(), tokens_in, tokens_out: 100 }
}

/// A route `/{name}/` of the host `example.org` to the service `chat`.
pub fn route(name: &str, kind: RouteKind) -> Route {
    Route {
        name: name.into(),
        host: "example.org".into(),
        prefix: format!("/{name}/"),
        kind,
        request_timeout_ms: 10_000,
        latency_target_ms: 1_000,
        urgency: 3,
        service_weights: vec![("chat".into(), 1)],
        max_attempts: 3,
        affinity: false,
        resumable: false,
        max_event_gap_ms: None,
        homes: Default::default(),
        public: false,
    }
}

/// Header names and paths of the test platform.
pub fn header_names() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        request_id: name("x-request"),
        time_left: name("x-left"),
        wanted_replica: name("x-wanted"),
        urgency: name("x-urgency"),
        seal: name("x-seal"),
        not_run: name("x-not-run"),
        last_event: name("x-last-event"),
        load: name("x-load"),
        tenant: name("x-tenant"),
        key_scheme: "Token",
        ready_path: "/ready",
        lookup_path: "/lookup",
        report_path: "/report",
    }
}
