//! A signed forwarded request runs once (design 5.6): what is captured on the inner network and sent again, here or
//! at another router, is rejected.

mod kit;

use common::Epoch;
use data_plane::{
    forwarding::{self, ForwardedRequest},
    router::Router,
};
use kit::{back, post, router, say};
use rstest::rstest;
use std::{sync::Arc, sync::atomic::Ordering};

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

/// A forwarded request as the northern router signs it for the one in the centre.
fn from_north(r: &Router, number: u64) -> ForwardedRequest {
    let l = r.cluster_state();
    let g = r.configuration.load_full().unwrap();
    let entry = g.table.entries.iter().find(|e| e.name == "match-verdicts").unwrap();
    ForwardedRequest {
        request_id: format!("job-{number}").as_str().into(),
        from: "p9".into(),
        epoch: l.members[&"p9".into()].epoch,
        number,
        to: r.node().clone(),
        to_epoch: l.members[r.node()].epoch,
        revision: g.revision,
        entry: entry.name.clone(),
        tenant: None,
        service: entry.to.clone(),
        region: r.own_region(&g.table).unwrap(),
        key: None,
        spent: None,
        left_ms: 5_000,
    }
}

fn sent(r: &Router, h: &ForwardedRequest) -> String {
    let signed = forwarding::sign(r.cluster_state().secret, h).unwrap();
    post("/v1/verdicts", &format!("{}: {signed}\r\n", forwarding::HEADER), "{\"station\":\"x\"}")
}

#[tokio::test]
async fn a_captured_hop_does_not_run_again() {
    let b = back(WHOLE).await;
    let (r, at) = router("verdict", std::slice::from_ref(&b)).await;
    let captured = sent(&r, &from_north(&r, 1));
    let got = say(at, &captured).await;
    assert!(got.contains("outcome: done"), "{got}");
    for _ in 0..3 {
        let got = say(at, &captured).await;
        assert!(got.contains("outcome: bounced") && got.contains("hop used before"), "{got}");
    }
    assert_eq!(b.runs.load(Ordering::Acquire), 1);
}

#[tokio::test]
async fn of_copies_at_once_one_runs() {
    let b = back(WHOLE).await;
    let (r, at) = router("verdict", std::slice::from_ref(&b)).await;
    let captured = Arc::new(sent(&r, &from_north(&r, 1)));
    let copies = (0..8).map(|_| captured.clone()).map(|c| async move { say(at, &c).await });
    let got = futures::future::join_all(copies).await;
    assert_eq!(got.iter().filter(|g| g.contains("outcome: done")).count(), 1, "{got:?}");
    assert_eq!(b.runs.load(Ordering::Acquire), 1);
}

/// Sent to another router than the one it was signed for, to a later life of it, or after its sender
/// left: no memory of used forwarded requests can know these, so the forwarded request itself says whose it is.
#[rstest]
#[case::another_router(|h: &mut ForwardedRequest| h.to = "p2".into(), "hop for another router")]
#[case::an_earlier_life(|h: &mut ForwardedRequest| h.to_epoch = Epoch(1), "hop for another router")]
#[case::a_past_membership(|h: &mut ForwardedRequest| h.epoch = Epoch(1), "sender not a member here")]
#[case::no_member(|h: &mut ForwardedRequest| h.from = "p7".into(), "sender not a member here")]
#[tokio::test]
async fn nor_where_it_was_not_meant_for(#[case] change: fn(&mut ForwardedRequest), #[case] reason: &str) {
    let b = back(WHOLE).await;
    let (r, at) = router("verdict", std::slice::from_ref(&b)).await;
    let mut h = from_north(&r, 1);
    change(&mut h);
    let got = say(at, &sent(&r, &h)).await;
    assert!(got.contains("outcome: bounced") && got.contains(reason), "{got}");
    assert_eq!(b.runs.load(Ordering::Acquire), 0);
}

/// The innocent twin: forwarded requests of their own, in any order.
#[tokio::test]
async fn hops_that_overtake_each_other_all_run() {
    let b = back(WHOLE).await;
    let (r, at) = router("verdict", std::slice::from_ref(&b)).await;
    for n in [5, 2, 9, 1, 700] {
        let got = say(at, &sent(&r, &from_north(&r, n))).await;
        assert!(got.contains("outcome: done"), "{n}: {got}");
    }
    assert_eq!(b.runs.load(Ordering::Acquire), 5);
}
