//! A signed forwarded request runs once (design 5.6). One that is captured on the internal network and sent again, to
//! the same router or to another, is rejected.

mod kit;

use common::Epoch;
use data_plane::{
    forwarding::{self, ForwardedRequest},
    router::Router,
};
use kit::{backend, exchange, post, router};
use rstest::rstest;
use std::{sync::Arc, sync::atomic::Ordering};

const COMPLETE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

/// A request that router p9 in the region norte forwards to this router.
fn forwarded_by_p9(router: &Router, number: u64) -> ForwardedRequest {
    let state = router.cluster_state();
    let configuration = router.configuration.load_full().unwrap();
    let entry = configuration.table.entries.iter().find(|e| e.name == "match-verdicts").unwrap();
    ForwardedRequest {
        request_id: format!("job-{number}").as_str().into(),
        from: "p9".into(),
        epoch: state.members[&"p9".into()].epoch,
        number,
        to: router.node().clone(),
        to_epoch: state.members[router.node()].epoch,
        revision: configuration.revision,
        entry: entry.name.clone(),
        tenant: None,
        service: entry.service.clone(),
        region: router.own_region(&configuration.table).unwrap(),
        key: None,
        spent: None,
        left_ms: 5_000,
    }
}

/// The HTTP request that carries it.
fn signed_request(router: &Router, forwarded: &ForwardedRequest) -> String {
    let signed = forwarding::sign(router.cluster_state().secret, forwarded).unwrap();
    post("/v1/verdicts", &format!("{}: {signed}\r\n", forwarding::HEADER), "{\"station\":\"x\"}")
}

#[tokio::test]
async fn captured_request_does_not_run_again() {
    let backend = backend(COMPLETE).await;
    let (router, address) = router("verdict", std::slice::from_ref(&backend)).await;
    let captured = signed_request(&router, &forwarded_by_p9(&router, 1));
    let response = exchange(address, &captured).await;
    assert!(response.contains("outcome: done"), "{response}");
    for _ in 0..3 {
        let response = exchange(address, &captured).await;
        assert!(response.contains("outcome: bounced") && response.contains("hop used before"), "{response}");
    }
    assert_eq!(backend.runs.load(Ordering::Acquire), 1);
}

#[tokio::test]
async fn one_of_concurrent_copies_runs() {
    let backend = backend(COMPLETE).await;
    let (router, address) = router("verdict", std::slice::from_ref(&backend)).await;
    let captured = Arc::new(signed_request(&router, &forwarded_by_p9(&router, 1)));
    let copies = (0..8).map(|_| captured.clone()).map(|c| async move { exchange(address, &c).await });
    let responses = futures::future::join_all(copies).await;
    assert_eq!(responses.iter().filter(|r| r.contains("outcome: done")).count(), 1, "{responses:?}");
    assert_eq!(backend.runs.load(Ordering::Acquire), 1);
}

/// A request that is sent to a router other than its receiver, to the receiver after a restart, or after its sender
/// left. The numbers that a router keeps can't show this, so the signed part names sender and receiver with their
/// memberships.
#[rstest]
#[case::another_router(|sent: &mut ForwardedRequest| sent.to = "p2".into(), "hop for another router")]
#[case::earlier_incarnation(|sent: &mut ForwardedRequest| sent.to_epoch = Epoch(1), "hop for another router")]
#[case::past_membership(|sent: &mut ForwardedRequest| sent.epoch = Epoch(1), "sender not a member here")]
#[case::not_a_member(|sent: &mut ForwardedRequest| sent.from = "p7".into(), "sender not a member here")]
#[tokio::test]
async fn wrong_receiver_or_sender_is_rejected(
    #[case] change: fn(&mut ForwardedRequest),
    #[case] reason: &str,
) {
    let backend = backend(COMPLETE).await;
    let (router, address) = router("verdict", std::slice::from_ref(&backend)).await;
    let mut forwarded = forwarded_by_p9(&router, 1);
    change(&mut forwarded);
    let response = exchange(address, &signed_request(&router, &forwarded)).await;
    assert!(response.contains("outcome: bounced") && response.contains(reason), "{response}");
    assert_eq!(backend.runs.load(Ordering::Acquire), 0);
}

/// Different requests all run, in whatever order they arrive.
#[tokio::test]
async fn reordered_requests_all_run() {
    let backend = backend(COMPLETE).await;
    let (router, address) = router("verdict", std::slice::from_ref(&backend)).await;
    for n in [5, 2, 9, 1, 700] {
        let response = exchange(address, &signed_request(&router, &forwarded_by_p9(&router, n))).await;
        assert!(response.contains("outcome: done"), "{n}: {response}");
    }
    assert_eq!(backend.runs.load(Ordering::Acquire), 5);
}
