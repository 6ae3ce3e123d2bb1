//! Boards, candidates and routes made by hand.

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

pub fn node_ids(n: usize) -> Vec<NodeId> {
    (0..n).map(|i| NodeId::new(format!("p{i}"))).collect()
}

/// A well replica of the service `chat` with nothing open.
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

/// How long a reading of the list may be gone by.
pub const LIST_MAX_AGE_MS: u64 = 3_000;

static ZONE: LazyLock<Zone> = LazyLock::new(|| "n1".into());
static REGION: LazyLock<Region> = LazyLock::new(|| "north".into());

/// A choice by a router of zone `n1` for a short request without affinity.
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

/// Bounds that allow much, but for a replica that warms up.
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

/// Two zones in the north, one in the south.
pub fn zones() -> BTreeMap<Zone, Region> {
    [("n1", "north"), ("n2", "north"), ("s1", "south")].map(|(a, r)| (a.into(), r.into())).into()
}

/// Candidates of one zone.
pub fn candidates(rows: Vec<ReplicaRow>) -> Vec<Candidate> {
    let mut f = ReportStore::default();
    assert!(f.accept(replica_report("n1", 1, rows), Tick(0)));
    f.build_view(&zones(), 3_000, LIST_MAX_AGE_MS).replicas_of(&"chat".into()).to_vec()
}

pub fn prompt(parts: &[(u64, u32)], tokens_in: u32) -> Prompt {
    Prompt { parts: parts.to_vec(), tokens_in, tokens_out: 100 }
}

pub fn route(name: &str, kind: RouteKind) -> Route {
    Route {
        name: name.into(),
        host: "example.org".into(),
        prefix: format!("/{name}/"),
        kind,
        hold_ms: 10_000,
        latency_target_ms: 1_000,
        urgency: 3,
        shares: vec![("chat".into(), 1)],
        tries: 3,
        affinity: false,
        resumable: false,
        max_event_gap_ms: None,
        homes: Default::default(),
        public: false,
    }
}

pub fn header_names() -> HeaderNames {
    let h = HeaderName::from_static;
    HeaderNames {
        request_id: h("x-request"),
        time_left: h("x-left"),
        wanted_replica: h("x-wanted"),
        urgency: h("x-urgency"),
        seal: h("x-seal"),
        not_run: h("x-not-run"),
        last_event: h("x-last-event"),
        load: h("x-load"),
        tenant: h("x-tenant"),
        key_scheme: "Token",
        ready_path: "/ready",
        lookup_path: "/lookup",
        report_path: "/report",
    }
}
