//! A router that holds its lease but can't follow the cluster state (design 3.6): it is not ready, and rejects new
//! work.

mod kit;

use common::{Clock, Revision};
use control_plane::{
    Change, ClusterState, operator::api::check_document, state_machine::state_update::StateUpdate,
};
use kit::{Backend, DOCUMENT, backend, exchange, post, router_with_clock};
use rstest::rstest;
use std::sync::{Arc, atomic::AtomicU64, atomic::Ordering};

const COMPLETE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

/// The responses to a request, to the readiness check, and to a request for metrics.
async fn responses(address: std::net::SocketAddr) -> (String, String, String) {
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let response = exchange(address, &post("/v1/verdicts", "", "{\"station\":\"x\"}")).await;
    (response, exchange(address, &get("/readyz")).await, exchange(address, &get("/metrics")).await)
}

/// A router, its address, and the milliseconds of its clock.
async fn router_with_manual_clock(
    backend: &Backend,
) -> (Arc<data_plane::router::Router>, std::net::SocketAddr, Arc<AtomicU64>) {
    let (clock, clock_ms) = Clock::manual();
    let (router, address) = router_with_clock(clock, "verdict", std::slice::from_ref(backend)).await;
    (router, address, clock_ms)
}

/// The next state after this one, with a zone evacuated.
fn evacuated(state: &ClusterState) -> ClusterState {
    let mut state = state.clone();
    let _ = state.apply(
        state.index.next(),
        &Change::Evacuate { op: "e".into(), zone: "norte-1".into(), on: true, seen: common::Index(u64::MAX) },
    );
    state
}

/// The leader announced a newer state. The router rejects new work if that state doesn't arrive within half a lease.
#[rstest]
#[case::not_yet_half_a_lease(20_000, false, true)]
#[case::after_half_a_lease(31_000, false, false)]
#[case::caught_up_again(31_000, true, true)]
#[tokio::test]
async fn announced_state_must_arrive(#[case] ms: u64, #[case] arrives: bool, #[case] serves: bool) {
    let backend = backend(COMPLETE).await;
    let (router, address, clock_ms) = router_with_manual_clock(&backend).await;
    router.member.note_announced_index(router.cluster_state().index.next(), router.now());
    clock_ms.fetch_add(ms, Ordering::AcqRel);
    router.member.extend_lease(router.member.lease().epoch, router.now());
    if arrives {
        let _ = router
            .member
            .install(StateUpdate::Snapshot(Box::new(evacuated(&router.cluster_state()))), "test");
    }
    // A later announcement of the same state does not restart the period.
    router.member.note_announced_index(router.cluster_state().index.next(), router.now());
    let (response, ready, metrics) = responses(address).await;
    assert_eq!(response.contains("outcome: done"), serves, "{response}");
    assert_eq!(response.contains("lags behind the core"), !serves, "{response}");
    assert_eq!(ready.contains("lags behind the core"), !serves, "{ready}");
    assert_eq!(metrics.contains("{what=\"lags\"} 1"), !serves);
}

/// Without a lease it may be the core that has failed. Then the router doesn't wait for a state that was announced
/// earlier.
#[tokio::test]
async fn core_outage_is_no_lag() {
    let backend = backend(COMPLETE).await;
    let (router, _, clock_ms) = router_with_manual_clock(&backend).await;
    router.member.note_announced_index(router.cluster_state().index.next(), router.now());
    clock_ms.fetch_add(61_000, Ordering::AcqRel);
    kit::record_contact_with_p9(&router);
    assert_eq!(router.refusal_reason(), None);
}

/// A document that the cluster accepted and this router can't compile stops new work.
#[tokio::test]
async fn unreadable_document_stops_new_work() {
    let backend = backend(COMPLETE).await;
    let (router, address, _clock_ms) = router_with_manual_clock(&backend).await;
    let mut state = (*router.cluster_state()).clone();
    let later = Change::Apply { op: "b".into(), base: Revision(1), text: "cluster = what".into() };
    let _ = state.apply(state.index.next(), &later);
    let _ = router.member.install(StateUpdate::Snapshot(Box::new(state)), "test");
    while router.unreadable_revision.load(Ordering::Acquire) == 0 {
        tokio::task::yield_now().await;
    }
    let (response, ready, metrics) = responses(address).await;
    assert!(response.contains("document not readable") && response.contains("retry-after"), "{response}");
    assert!(ready.starts_with("HTTP/1.1 503") && ready.contains("document not readable"), "{ready}");
    assert!(metrics.contains("{what=\"unreadable\"} 1"));
    assert_eq!(backend.runs.load(Ordering::Acquire), 0);
}

/// A document that a member can't read is refused before it enters the log, and the finding names the member.
#[tokio::test]
async fn member_with_older_language_is_named() {
    let backend = backend(COMPLETE).await;
    let (router, _, _clock_ms) = router_with_manual_clock(&backend).await;
    let mut state = (*router.cluster_state()).clone();
    let list = |zone: &str, service: &str| {
        let what = control_plane::ReplicaChange::List {
            service: service.into(),
            zone: zone.into(),
            addr: backend.address,
        };
        Change::Replica {
            op: format!("{zone}{service}").as_str().into(),
            id: format!("{zone}{service}").as_str().into(),
            what,
        }
    };
    for (zone, service) in
        [("centro-1", "contacts"), ("norte-1", "contacts"), ("norte-1", "verdict"), ("centro-1", "verdict")]
    {
        let _ = state.apply(state.index.next(), &list(zone, service));
    }
    assert_eq!(check_document("bitacora", DOCUMENT, &state), vec![]);
    state.members.get_mut(&"p9".into()).unwrap().info.lang = 0;
    let findings = check_document("bitacora", DOCUMENT, &state);
    assert_eq!(findings.len(), 1);
    assert!(findings[0].message.contains("p9 reads language version 0"), "{findings:?}");
}
