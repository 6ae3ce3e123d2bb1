//! Messages between routers keep the format in which earlier versions sent them.

use common::{
    Epoch, FencingToken, Incarnation, Index, NodeId, ReplicaId, RequestId, Revision, Service, Tenant, Tick,
};
use control_plane::state_machine::state_update::StateUpdate;
use data_plane::{
    capacity_grant::{CapacityGrant, GrantUse},
    forwarding::{self, ForwardedRequest},
    load::{LoadReport, ReplicaLoad},
    placement_table::{PlacementOutcome, PlacementRow, UserKey},
    rpc::{RouterRequest, RouterResponse},
    serving::{
        prefill::PromptSent,
        replica_report::{ReplicaReport, ReplicaRow},
        usage::{UsageReport, UsageRequest, UsageResponse},
    },
    summary::{Event, EventKind, Summary},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};
use test_fixtures::Fixtures;

fn fixtures() -> Fixtures {
    Fixtures::of_crate(env!("CARGO_MANIFEST_DIR"))
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 50], 9000))
}

fn service() -> Service {
    "verdict".into()
}

fn grant_use() -> GrantUse {
    GrantUse {
        region: "norte".into(),
        service: service(),
        fencing_token: FencingToken(4),
        serial: 9,
        node: "p1".into(),
    }
}

fn prompt_sent() -> PromptSent {
    PromptSent {
        replica: ReplicaId::new("r-1"),
        prefixes: vec![(7, 13_300), (8, 17_020)],
        tokens: 17_020,
        memory: 318_206,
    }
}

fn rows() -> Vec<PlacementRow> {
    vec![PlacementRow {
        key: UserKey(99),
        service: service(),
        region: "centro".into(),
        version: 3,
        ttl_ms: 900_000,
    }]
}

fn replica_report() -> ReplicaReport {
    let row = ReplicaRow {
        id: ReplicaId::new("r-1"),
        service: service(),
        addr: address(),
        slots: 48,
        draining: true,
        cold_left_ms: 1_500,
        healthy: true,
        running: 12,
        waiting: 3,
        memory_used: 4_000,
        memory_total: 318_206,
    };
    ReplicaReport {
        zone: "centro-1".into(),
        publisher: NodeId::new("p1"),
        fencing_token: FencingToken(4),
        seq: 17,
        age_ms: 120,
        waited_ms: 30,
        rows: vec![row],
        lending_grants: BTreeMap::from([(service(), 5)]),
    }
}

fn usage_report() -> UsageReport {
    UsageReport { window: 353_445_120, counts: BTreeMap::from([(Tenant::new("club"), 412)]) }
}

fn load_report() -> LoadReport {
    let replica = ReplicaLoad {
        id: ReplicaId::new("r-1"),
        addr: address(),
        healthy: true,
        capacity: 48.0,
        consumption: 12.5,
        allowance: Some(4),
    };
    LoadReport {
        service: service(),
        zone: "centro-1".into(),
        fencing_token: FencingToken(4),
        seq: 17,
        age_ms: 120,
        waited_ms: 30,
        routers: vec![NodeId::new("p1"), NodeId::new("p2")],
        replicas: vec![replica],
    }
}

fn forwarded() -> ForwardedRequest {
    ForwardedRequest {
        request_id: RequestId::new("p1-1-1"),
        from: "p1".into(),
        epoch: Epoch(12),
        number: 5,
        to: "p2".into(),
        to_epoch: Epoch(13),
        revision: Revision(7),
        entry: "verdict".into(),
        tenant: Some(Tenant::new("club")),
        service: service(),
        region: "norte".into(),
        key: Some(UserKey(99)),
        spent: Some(grant_use()),
        left_ms: 2_500,
    }
}

#[test]
fn compatibility_of_requests() {
    let zone = || "centro-1".into();
    let requests = [
        ("heartbeat", RouterRequest::Heartbeat { index: Index(4) }),
        ("updates", RouterRequest::FetchState { have: Index(4) }),
        (
            "place",
            RouterRequest::ResolvePlacement {
                fencing_token: FencingToken(4),
                key: UserKey(99),
                service: service(),
                stale: Some(2),
                pick: Some("norte".into()),
                ttl_ms: 900_000,
            },
        ),
        (
            "replicate",
            RouterRequest::ReplicatePlacements { fencing_token: FencingToken(4), shard: 7, rows: rows() },
        ),
        ("fetch", RouterRequest::FetchShard { shard: 7 }),
        (
            "watch",
            RouterRequest::WatchLoad {
                service: service(),
                zone: zone(),
                seq: 3,
                fencing_token: FencingToken(4),
                wait_ms: 500,
            },
        ),
        ("last", RouterRequest::LastLoad { service: service(), zone: zone() }),
        (
            "lend",
            RouterRequest::RequestGrant { region: "norte".into(), service: service(), node: "p1".into() },
        ),
        ("redeem", RouterRequest::RedeemGrant { spent: grant_use() }),
        ("prompt", RouterRequest::AnnouncePrompt { note: prompt_sent() }),
        ("load-report", RouterRequest::WatchReplicas { zone: zone(), seq: 3, wait_ms: 500 }),
        (
            "usage-starts",
            RouterRequest::Usage(UsageRequest::Starts { from_age_ms: 5_400, until_age_ms: 400 }),
        ),
        (
            "usage-keep",
            RouterRequest::Usage(UsageRequest::Keep {
                fencing_token: FencingToken(4),
                report: usage_report(),
            }),
        ),
        ("usage-collect", RouterRequest::Usage(UsageRequest::Collect { fencing_token: FencingToken(4) })),
    ];
    for (name, request) in requests {
        fixtures().assert_wire(&format!("request-{name}"), &request);
    }
}

#[test]
fn compatibility_of_replies() {
    let grant = CapacityGrant {
        region: "norte".into(),
        service: service(),
        fencing_token: FencingToken(4),
        serial: 9,
        count: 3,
        ttl_ms: 1_000,
    };
    let replies = [
        (
            "heartbeat",
            RouterResponse::HeartbeatAck { index: Index(4), incarnation: Incarnation(77), fit: true },
        ),
        ("updates", RouterResponse::StateUpdate(StateUpdate::Unchanged)),
        ("placed-empty", RouterResponse::Placement(PlacementOutcome::Empty)),
        (
            "placed",
            RouterResponse::Placement(PlacementOutcome::Held {
                region: "norte".into(),
                version: 3,
                won: true,
            }),
        ),
        ("rows", RouterResponse::Placements(rows())),
        ("figures", RouterResponse::LoadReport(load_report())),
        ("pass", RouterResponse::Grant(Some(grant))),
        ("load-report", RouterResponse::ReplicaReport(Some(Box::new(replica_report())))),
        ("done", RouterResponse::Done),
        ("rejected", RouterResponse::Rejected("stale fence".into())),
        (
            "usage-starts",
            RouterResponse::Usage(UsageResponse::Starts {
                time_of_day_ms: 17,
                counts: usage_report().counts,
            }),
        ),
        ("usage-kept", RouterResponse::Usage(UsageResponse::Kept)),
        ("usage-differs", RouterResponse::Usage(UsageResponse::Differs)),
        ("usage-superseded", RouterResponse::Usage(UsageResponse::Superseded(FencingToken(5)))),
        (
            "usage-collected",
            RouterResponse::Usage(UsageResponse::Collected {
                time_of_day_ms: 17,
                reports: vec![usage_report()],
            }),
        ),
    ];
    for (name, reply) in replies {
        fixtures().assert_wire(&format!("reply-{name}"), &reply);
    }
}

#[test]
fn compatibility_of_forwarded_requests() {
    fixtures().assert_wire("forwarded", &forwarded());
    let signed = forwarding::sign(0x0011_2233, &forwarded()).unwrap();
    fixtures().assert_bytes("forwarded-signed.txt", signed.as_bytes());
    assert_eq!(forwarding::verify(0x0011_2233, &signed), Some(forwarded()));
}

/// What `/foldshunt/journal` shows.
#[test]
fn compatibility_of_json() {
    let kinds = [
        EventKind::Governs(Revision(3)),
        EventKind::Member(Epoch(4)),
        EventKind::CutOff(true),
        EventKind::Health { replica: ReplicaId::new("r-1"), healthy: false },
        EventKind::Rejected("late".into()),
        EventKind::Unknown("answer".into()),
    ];
    let events: Vec<Event> = kinds.into_iter().map(|what| Event { at: Tick(5), what }).collect();
    fixtures().assert_json("journal-events", &serde_json::to_string(&events).unwrap());
    let summary = Summary {
        revision: Revision(3),
        epoch: Epoch(4),
        cut_off: true,
        unhealthy: BTreeSet::from([ReplicaId::new("r-1")]),
        rejected: BTreeMap::from([("late".into(), 2)]),
        unknown: BTreeMap::from([("answer".into(), 1)]),
        last: Tick(5),
    };
    fixtures().assert_json("journal-digest", &serde_json::to_string(&summary).unwrap());
}
