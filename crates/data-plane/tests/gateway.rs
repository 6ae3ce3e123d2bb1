//! Clients' requests over real connections (design 5.2, 6.2, 6.4), at one router without a core. The test supplies the
//! configuration, the load reports and the backends.

mod kit;

use common::{Clock, Epoch, Index, Tick};
use control_plane::{ClusterState, membership::LocalMember, state_machine::state_update::StateUpdate};
use data_plane::router::Router;
use kit::{Backend, IP, backend, exchange, info, post, record_contact_with_p9, router, settings};
use rstest::rstest;
use std::sync::{Arc, atomic::Ordering};
use tokio::net::TcpListener;

const COMPLETE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";
const LOOKUP: &str = "GET /v1/contacts/7 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
const TRUNCATED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ndo";

/// A request that its head alone rules out is answered at once, though its body is never sent (design 6.4).
#[rstest]
#[case::no_entry(
    "POST /nowhere HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n",
    "HTTP/1.1 404",
    "no entry"
)]
#[case::unknown_tenant(
    "POST /v1/notes HTTP/1.1\r\nhost: x\r\nx-tenant: nobody\r\ncontent-length: 9\r\n\r\n",
    "HTTP/1.1 403",
    "unknown tenant"
)]
#[case::too_long(
    "POST /v1/notes HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n",
    "HTTP/1.1 413",
    "limit"
)]
#[case::outside_homes(
    "POST /v1/notes?a=1 HTTP/1.1\r\nhost: x\r\nx-tenant: award-club\r\ncontent-length: 9\r\n\r\n",
    "HTTP/1.1 307",
    "location: http://127.0.0.9:8080/v1/notes?a=1"
)]
#[case::malformed("NONSENSE\r\n\r\n", "HTTP/1.1 400", "")]
#[tokio::test]
async fn rejected_by_the_head_alone(
    #[case] request: &str,
    #[case] status_line: &str,
    #[case] expected: &str,
) {
    let backend = backend(COMPLETE).await;
    let (router, address) = router("verdict", std::slice::from_ref(&backend)).await;
    record_contact_with_p9(&router);
    let response = exchange(address, request).await;
    assert!(response.starts_with(status_line) && response.contains(expected), "{response}");
    assert_eq!(backend.runs.load(Ordering::Acquire), 0);
}

/// How often a request reaches a backend, and what the client is told (design 6.2).
#[rstest]
#[case::complete(&[COMPLETE], true, "outcome: done", "done", 1)]
#[case::once_closed(&["", ""], true, "outcome: unknown", "HTTP/1.1 502", 1)]
#[case::once_503(&["HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n"], true, "outcome: done", "HTTP/1.1 503", 1)]
#[case::repeatable_closed(&["", ""], false, "outcome: unknown", "HTTP/1.1 502", 2)]
#[case::no_backends(&[], true, "outcome: bounced", "retry-after: 2", 0)]
#[tokio::test]
async fn runs_and_responses(
    #[case] backend_responses: &[&'static str],
    #[case] once: bool,
    #[case] outcome: &str,
    #[case] also: &str,
    #[case] runs: usize,
) {
    let mut backends = Vec::new();
    for response in backend_responses {
        backends.push(backend(response).await);
    }
    let service = if once { "verdict" } else { "contacts" };
    let (_router, address) = router(service, &backends).await;
    let request = if once { post("/v1/verdicts", "", "{\"station\":\"x\"}") } else { LOOKUP.into() };
    let response = exchange(address, &request).await;
    assert!(response.contains(outcome) && response.contains(also), "{response}");
    assert_eq!(backends.iter().map(|backend| backend.runs.load(Ordering::Acquire)).sum::<usize>(), runs);
}

/// Nothing was sent to a backend that refuses the connection, so even a request that may run only once is sent to the
/// next.
#[tokio::test]
async fn once_is_retried_where_nothing_was_sent() {
    let closed = TcpListener::bind((IP, 0)).await.unwrap().local_addr().unwrap();
    let backends = [Backend { address: closed, runs: Arc::default() }, backend(COMPLETE).await];
    let (router, address) = router("verdict", &backends).await;
    for n in 0..8 {
        let response =
            exchange(address, &post("/v1/verdicts", "", &format!("{{\"station\":\"{n}\"}}"))).await;
        assert!(response.contains("outcome: done"), "{response}");
    }
    assert_eq!(backends[1].runs.load(Ordering::Acquire), 8);
    let extra = router.counters.attempts.get(&["extra"]);
    assert!(extra <= 3, "{extra}: a backend that refused a connection is avoided");
}

/// A truncated response ends in a broken connection, never in a body that looks complete.
#[tokio::test]
async fn truncated_body_never_looks_complete() {
    let backend = backend(TRUNCATED).await;
    let (_router, address) = router("verdict", std::slice::from_ref(&backend)).await;
    let response = exchange(address, &post("/v1/verdicts", "", "{\"station\":\"x\"}")).await;
    assert!(response.contains("content-length: 9") && response.ends_with("\r\n\r\ndo"), "{response}");
}

/// A router without a lease and without contact with a majority is cut off (design 3.5). A draining one is not ready,
/// but serves what still reaches it.
#[tokio::test]
async fn cut_off_and_draining() {
    let backend = backend(COMPLETE).await;
    let (router, address) = router("verdict", std::slice::from_ref(&backend)).await;
    let stale = ClusterState {
        index: Index(router.cluster_state().index.0 + 1),
        ..(*router.cluster_state()).clone()
    };
    let expired = LocalMember::new(settings(), info("p1", "centro-1"), Clock::default());
    let _ = expired.install(StateUpdate::Snapshot(Box::new(stale)), "test");
    expired.extend_lease(Epoch(1), Tick(0));
    let alone = Router::new(settings(), expired, Clock::default());
    assert!(!router.cut_off() && alone.cut_off());
    record_contact_with_p9(&alone);
    assert!(!alone.cut_off(), "itself and p9 are a majority of the last known members");
    router.draining.store(true, Ordering::Release);
    let ready = exchange(address, "GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").await;
    assert!(ready.starts_with("HTTP/1.1 503") && ready.contains("draining"), "{ready}");
    let response = exchange(address, &post("/v1/verdicts", "", "{\"station\":\"x\"}")).await;
    assert!(response.contains("outcome: done") && response.contains("connection: close"), "{response}");
}
