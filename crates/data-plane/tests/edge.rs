//! The callers' side, whole but for the core (design 5.2, 6.2, 6.4): one router with a document,
//! load reports and back ends made by the test, asked over real connections.

mod kit;

use common::{Clock, Epoch, Index, Tick};
use control_plane::{ClusterState, membership::LocalMember, state_machine::state_update::StateUpdate};
use data_plane::router::Router;
use kit::{Back, IP, back, hears_p9, info, post, router, say, settings};
use rstest::rstest;
use std::sync::{Arc, atomic::Ordering};
use tokio::net::TcpListener;

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";
const LOOKUP: &str = "GET /v1/contacts/7 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
const CUT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ndo";

/// Conformance, design 6.4: told from the head, at once, with the body never sent.
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
#[case::foreign_arrival(
    "POST /v1/notes?a=1 HTTP/1.1\r\nhost: x\r\nx-tenant: award-club\r\ncontent-length: 9\r\n\r\n",
    "HTTP/1.1 307",
    "location: http://127.0.0.9:8080/v1/notes?a=1"
)]
#[case::malformed("NONSENSE\r\n\r\n", "HTTP/1.1 400", "")]
#[tokio::test]
async fn from_the_head_alone(#[case] request_id: &str, #[case] line: &str, #[case] says: &str) {
    let b = back(WHOLE).await;
    let (r, at) = router("verdict", std::slice::from_ref(&b)).await;
    hears_p9(&r);
    let got = say(at, request_id).await;
    assert!(got.starts_with(line) && got.contains(says), "{got}");
    assert_eq!(b.runs.load(Ordering::Acquire), 0);
}

/// Conformance, design 6.2: how often a request reaches a back end, and what its caller is told.
#[rstest]
#[case::whole(&[WHOLE], true, "outcome: done", "done", 1)]
#[case::once_closed(&["", ""], true, "outcome: unknown", "HTTP/1.1 502", 1)]
#[case::once_said_503(&["HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n"], true, "outcome: done", "HTTP/1.1 503", 1)]
#[case::repeatable_closed(&["", ""], false, "outcome: unknown", "HTTP/1.1 502", 2)]
#[case::no_back_ends(&[], true, "outcome: bounced", "retry-after: 2", 0)]
#[tokio::test]
async fn runs_and_answers(
    #[case] says: &[&'static str],
    #[case] once: bool,
    #[case] outcome: &str,
    #[case] also: &str,
    #[case] runs: usize,
) {
    let mut backs = Vec::new();
    for s in says {
        backs.push(back(s).await);
    }
    let service = if once { "verdict" } else { "contacts" };
    let (_r, at) = router(service, &backs).await;
    let request = if once { post("/v1/verdicts", "", "{\"station\":\"x\"}") } else { LOOKUP.into() };
    let got = say(at, &request).await;
    assert!(got.contains(outcome) && got.contains(also), "{got}");
    assert_eq!(backs.iter().map(|b| b.runs.load(Ordering::Acquire)).sum::<usize>(), runs);
}

/// A back end that is gone ran nothing: a `once` request goes on to the next one.
#[tokio::test]
async fn once_goes_on_where_nothing_was_sent() {
    let dead = TcpListener::bind((IP, 0)).await.unwrap().local_addr().unwrap();
    let backs = [Back { at: dead, runs: Arc::default() }, back(WHOLE).await];
    let (r, at) = router("verdict", &backs).await;
    for n in 0..8 {
        let got = say(at, &post("/v1/verdicts", "", &format!("{{\"station\":\"{n}\"}}"))).await;
        assert!(got.contains("outcome: done"), "{got}");
    }
    assert_eq!(backs[1].runs.load(Ordering::Acquire), 8);
    let extra = r.counters.attempts.get(&["extra"]);
    assert!(extra <= 3, "{extra}: what failed to connect is shunned");
}

/// A cut answer ends in a broken connection, never in a whole-looking body.
#[tokio::test]
async fn a_cut_body_never_looks_whole() {
    let b = back(CUT).await;
    let (_r, at) = router("verdict", std::slice::from_ref(&b)).await;
    let got = say(at, &post("/v1/verdicts", "", "{\"station\":\"x\"}")).await;
    assert!(got.contains("content-length: 9") && got.ends_with("\r\n\r\ndo"), "{got}");
}

/// Design 3.5: without a lease and without the others in hearing, new work is rejected at once.
#[tokio::test]
async fn a_cut_off_router_says_so() {
    let b = back(WHOLE).await;
    let (r, at) = router("verdict", std::slice::from_ref(&b)).await;
    let stale = ClusterState { index: Index(r.cluster_state().index.0 + 1), ..(*r.cluster_state()).clone() };
    let expired = LocalMember::new(settings(), info("p1", "centro-1"), Clock::default());
    let _ = expired.install(StateUpdate::Snapshot(Box::new(stale)), "test");
    expired.extend_lease(Epoch(1), Tick(0));
    let alone = Router::new(settings(), expired, Clock::default());
    assert!(!r.cut_off() && alone.cut_off());
    hears_p9(&alone);
    assert!(!alone.cut_off(), "itself and the other: a majority of the last known members");
    // A draining one is not ready, and finishes what still reaches it.
    r.draining.store(true, Ordering::Release);
    let ready = say(at, "GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").await;
    assert!(ready.starts_with("HTTP/1.1 503") && ready.contains("draining"), "{ready}");
    let got = say(at, &post("/v1/verdicts", "", "{\"station\":\"x\"}")).await;
    assert!(got.contains("outcome: done") && got.contains("connection: close"), "{got}");
}
