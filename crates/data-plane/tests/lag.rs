//! A router that holds its lease and cannot follow (design 3.6): it says so and takes nothing new.

mod kit;

use common::{Clock, Revision};
use control_plane::{
    Change, ClusterState, operator::api::check_document, state_machine::state_update::StateUpdate,
};
use kit::{Back, DOC, back, post, router_at, say};
use rstest::rstest;
use std::sync::{Arc, atomic::AtomicU64, atomic::Ordering};

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

async fn asked(at: std::net::SocketAddr) -> (String, String, String) {
    let get = |p: &str| format!("GET {p} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let answer = say(at, &post("/v1/verdicts", "", "{\"station\":\"x\"}")).await;
    (answer, say(at, &get("/readyz")).await, say(at, &get("/metrics")).await)
}

async fn one(b: &Back) -> (Arc<data_plane::router::Router>, std::net::SocketAddr, Arc<AtomicU64>) {
    let (clock, hand) = Clock::manual();
    let (r, at) = router_at(clock, "verdict", std::slice::from_ref(b)).await;
    (r, at, hand)
}

fn evacuated(l: &ClusterState) -> ClusterState {
    let mut l = l.clone();
    let _ = l.apply(
        l.index.next(),
        &Change::Evacuate { op: "e".into(), zone: "norte-1".into(), on: true, seen: common::Index(u64::MAX) },
    );
    l
}

#[rstest]
#[case::not_for_long_yet(20_000, false, true)]
#[case::for_half_a_tenure(31_000, false, false)]
#[case::caught_up_again(31_000, true, true)]
#[tokio::test]
async fn what_the_leader_spoke_of_must_come(#[case] ms: u64, #[case] comes: bool, #[case] serves: bool) {
    let b = back(WHOLE).await;
    let (r, at, hand) = one(&b).await;
    r.member.note_announced_index(r.cluster_state().index.next(), r.now());
    hand.fetch_add(ms, Ordering::AcqRel);
    r.member.extend_lease(r.member.lease().epoch, r.now());
    if comes {
        let _ = r.member.install(StateUpdate::Snapshot(Box::new(evacuated(&r.cluster_state()))), "test");
    }
    // Later words of the same place do not start the count anew.
    r.member.note_announced_index(r.cluster_state().index.next(), r.now());
    let (answer, ready, counters) = asked(at).await;
    assert_eq!(answer.contains("outcome: done"), serves, "{answer}");
    assert_eq!(answer.contains("lags behind the core"), !serves, "{answer}");
    assert_eq!(ready.contains("lags behind the core"), !serves, "{ready}");
    assert_eq!(counters.contains("{what=\"lags\"} 1"), !serves);
}

/// Without a lease it is the core that may be out: then what it spoke of last is not waited for.
#[tokio::test]
async fn an_outage_of_the_core_is_no_lag() {
    let b = back(WHOLE).await;
    let (r, _, hand) = one(&b).await;
    r.member.note_announced_index(r.cluster_state().index.next(), r.now());
    hand.fetch_add(61_000, Ordering::AcqRel);
    kit::hears_p9(&r);
    assert_eq!(r.refuses_work(), None);
}

#[tokio::test]
async fn an_accepted_document_that_cannot_be_read_stops_new_work() {
    let b = back(WHOLE).await;
    let (r, at, _hand) = one(&b).await;
    let mut l = (*r.cluster_state()).clone();
    let later = Change::Apply { op: "b".into(), base: Revision(1), text: "cluster = what".into() };
    let _ = l.apply(l.index.next(), &later);
    let _ = r.member.install(StateUpdate::Snapshot(Box::new(l)), "test");
    while r.unreadable_revision.load(Ordering::Acquire) == 0 {
        tokio::task::yield_now().await;
    }
    let (answer, ready, counters) = asked(at).await;
    assert!(answer.contains("document not readable") && answer.contains("retry-after"), "{answer}");
    assert!(ready.starts_with("HTTP/1.1 503") && ready.contains("document not readable"), "{ready}");
    assert!(counters.contains("{what=\"unreadable\"} 1"));
    assert_eq!(b.runs.load(Ordering::Acquire), 0);
}

/// Refused before it is logged, by the name of whoever could not read it.
#[tokio::test]
async fn a_member_of_an_older_language_is_named() {
    let b = back(WHOLE).await;
    let (r, _, _hand) = one(&b).await;
    let mut l = (*r.cluster_state()).clone();
    let list = |zone: &str, service: &str| {
        let what =
            control_plane::ReplicaChange::List { service: service.into(), zone: zone.into(), addr: b.at };
        Change::Replica {
            op: format!("{zone}{service}").as_str().into(),
            id: format!("{zone}{service}").as_str().into(),
            what,
        }
    };
    for (zone, service) in
        [("centro-1", "contacts"), ("norte-1", "contacts"), ("norte-1", "verdict"), ("centro-1", "verdict")]
    {
        let _ = l.apply(l.index.next(), &list(zone, service));
    }
    assert_eq!(check_document("bitacora", DOC, &l), vec![]);
    l.members.get_mut(&"p9".into()).unwrap().info.lang = 0;
    let found = check_document("bitacora", DOC, &l);
    assert_eq!(found.len(), 1);
    assert!(found[0].message.contains("p9 reads language version 0"), "{found:?}");
}
