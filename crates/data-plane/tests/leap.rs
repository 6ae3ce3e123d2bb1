//! A process that slept or was frozen between two of its steps (design 1.3): what it knew before
//! is worth nothing after.

mod kit;

use common::{Clock, FencingToken, Tick};
use control_plane::state_machine::state_update::StateUpdate;
use data_plane::{
    load::LoadReport,
    rpc::{RouterRequest, RouterResponse},
};
use kit::{back, figures, hears_p9, post, router_at, say};
use rstest::rstest;
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::net::TcpListener;

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

/// A request that waits for room while the machine sleeps: the room that shows up after is not its own
/// any more.
#[rstest]
#[case::no_sleep(0, "outcome: done", 1)]
#[case::past_its_deadline(40_000, "past its deadline", 0)]
#[case::past_the_tenure(3_600_000, "outcome: bounced", 0)]
#[tokio::test]
async fn a_leap_while_a_job_waits(#[case] ms: u64, #[case] says: &str, #[case] runs: usize) {
    let b = back(WHOLE).await;
    let (clock, hand) = Clock::manual();
    let (r, at) = router_at(clock, "verdict", std::slice::from_ref(&b)).await;
    let fencing_token = FencingToken(r.cluster_state().epoch.0);
    let backs = std::slice::from_ref(&b);
    r.install_load_report(figures("verdict", backs, fencing_token, 2, 8.0), r.now());
    let answer = tokio::spawn(async move { say(at, &post("/v1/verdicts", "", "{\"station\":\"x\"}")).await });
    while data_plane::router::lock(&r.request_queue).is_empty() {
        tokio::task::yield_now().await;
    }
    hand.fetch_add(ms, Ordering::AcqRel);
    r.install_load_report(figures("verdict", backs, fencing_token, 3, 0.0), r.now());
    let got = answer.await.unwrap();
    assert!(got.contains(says), "{got}");
    assert_eq!(b.runs.load(Ordering::Acquire), runs);
}

/// The daemons' clock is the one that counts through suspension, and goes with the usual one
/// while there is none.
#[test]
fn the_clock_of_the_daemons() {
    let (clock, was, at) = (Clock::default(), Clock::default().now(), Instant::now());
    while at.elapsed() < Duration::from_millis(20) {
        std::hint::spin_loop();
    }
    assert!(clock.now().since(was) >= 19);
}

/// Signs of life count from before they were asked for: an answer that lay in a socket for an
/// hour is an hour old, and a question from another node is no answer.
#[tokio::test]
async fn a_question_is_no_sign_of_life() {
    let b = back(WHOLE).await;
    let (clock, hand) = Clock::manual();
    let (r, _) = router_at(clock, "verdict", std::slice::from_ref(&b)).await;
    hand.fetch_add(3_600_000, Ordering::AcqRel);
    assert!(r.cut_off(), "neither a tenure nor a majority in hearing");
    let ask = RouterRequest::Heartbeat { index: r.cluster_state().index };
    r.clone().answer("p9".into(), ask).await;
    assert!(r.cut_off(), "a hail that waited in the socket says nothing of now");
    hears_p9(&r);
    assert!(!r.cut_off());
}

/// Conformance, design 5.4: when load reports were fresh, on the asker's clock. Each answer is read at
/// 9000; the question was sent at 1000.
#[rstest]
#[case::at_once(0, 0, 1_000)]
#[case::old_ones(0, 400, 600)]
#[case::held_by_the_home_until_they_came(7_900, 0, 8_900)]
#[case::the_home_was_frozen_while_it_held_it(60_000, 100, 8_900)]
fn figures_age_from_the_question(#[case] waited_ms: u64, #[case] age_ms: u64, #[case] fresh: u64) {
    let f = LoadReport { waited_ms, age_ms, ..figures("verdict", &[], FencingToken(1), 1, 0.0) };
    assert_eq!(f.fresh_at(Tick(1_000), Tick(9_000)), Tick(fresh));
}

/// An answer that lay unread while this node was frozen is as old as its question.
#[tokio::test]
async fn an_answer_is_as_old_as_its_question() {
    let b = back(WHOLE).await;
    let (clock, hand) = Clock::manual();
    let (r, _) = router_at(clock, "verdict", std::slice::from_ref(&b)).await;
    let listener = TcpListener::bind((kit::IP, 0)).await.unwrap();
    let mut l = (*r.cluster_state()).clone();
    let at = listener.local_addr().unwrap();
    l.members.values_mut().for_each(|m| m.info.rpc_addr = at);
    l.index = l.index.next();
    let _ = r.member.install(StateUpdate::Snapshot(Box::new(l)), "test");
    let (asked, asks) = (Arc::new(AtomicUsize::new(0)), hand.clone());
    let count = asked.clone();
    tokio::spawn(common::rpc::listen(
        listener,
        kit::settings().me(),
        data_plane::rpc::SERVICE,
        move |_, ask| {
            // The answer is on its way when this node freezes for an hour.
            let first = count.fetch_add(1, Ordering::AcqRel) == 0;
            asks.fetch_add(if first { 3_600_000 } else { 0 }, Ordering::AcqRel);
            async move {
                match ask {
                    RouterRequest::Heartbeat { index } => {
                        RouterResponse::HeartbeatAck { index, incarnation: common::Incarnation(1), fit: true }
                    }
                    _ => RouterResponse::Done,
                }
            }
        },
    ));
    // Members of other zones are asked once the lease is in doubt.
    hand.fetch_add(r.settings.timing.lease_ms, Ordering::AcqRel);
    let hails = tokio::spawn(r.clone().send_heartbeats());
    while data_plane::router::lock(&r.last_contacts).is_empty() {
        tokio::task::yield_now().await;
    }
    assert!(!r.is_reachable(&"p9".into()) && r.cut_off(), "heard an hour ago");
    hails.abort();
}
