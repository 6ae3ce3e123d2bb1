//! A process that is suspended between two of its steps (design 1.3): after that it must not act on what it knew
//! before.

mod kit;

use common::{Clock, FencingToken, Tick};
use control_plane::state_machine::state_update::StateUpdate;
use data_plane::{
    load::LoadReport,
    rpc::{RouterRequest, RouterResponse},
};
use kit::{backend, exchange, load_report, post, record_contact_with_p9, router_with_clock};
use rstest::rstest;
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::net::TcpListener;

const COMPLETE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

/// A request waits in the queue while the machine sleeps. Afterwards a replica has room, but the request's deadline or
/// the router's lease may have passed.
#[rstest]
#[case::no_sleep(0, "outcome: done", 1)]
#[case::past_its_deadline(40_000, "past its deadline", 0)]
#[case::past_the_lease(3_600_000, "outcome: bounced", 0)]
#[tokio::test]
async fn suspended_while_a_request_waits(#[case] ms: u64, #[case] expected: &str, #[case] runs: usize) {
    let backend = backend(COMPLETE).await;
    let (clock, clock_ms) = Clock::manual();
    let (router, address) = router_with_clock(clock, "verdict", std::slice::from_ref(&backend)).await;
    let fencing_token = FencingToken(router.cluster_state().epoch.0);
    let backends = std::slice::from_ref(&backend);
    router.install_load_report(load_report("verdict", backends, fencing_token, 2, 8.0), router.now());
    let response =
        tokio::spawn(
            async move { exchange(address, &post("/v1/verdicts", "", "{\"station\":\"x\"}")).await },
        );
    while data_plane::router::lock(&router.request_queue).is_empty() {
        tokio::task::yield_now().await;
    }
    clock_ms.fetch_add(ms, Ordering::AcqRel);
    router.install_load_report(load_report("verdict", backends, fencing_token, 3, 0.0), router.now());
    let response = response.await.unwrap();
    assert!(response.contains(expected), "{response}");
    assert_eq!(backend.runs.load(Ordering::Acquire), runs);
}

/// The default clock, which also counts time in suspension, advances with the usual clock otherwise.
#[test]
fn default_clock_advances() {
    let (clock, start, started) = (Clock::default(), Clock::default().now(), Instant::now());
    while started.elapsed() < Duration::from_millis(20) {
        std::hint::spin_loop();
    }
    assert!(clock.now().since(start) >= 19);
}

/// A heartbeat from another node is no contact: it may have lain in a socket for an hour. Only a response to a
/// heartbeat from here counts, as of the time before that heartbeat was sent.
#[tokio::test]
async fn received_heartbeat_is_no_contact() {
    let backend = backend(COMPLETE).await;
    let (clock, clock_ms) = Clock::manual();
    let (router, _) = router_with_clock(clock, "verdict", std::slice::from_ref(&backend)).await;
    clock_ms.fetch_add(3_600_000, Ordering::AcqRel);
    assert!(router.cut_off(), "neither a lease nor contact with a majority");
    let request = RouterRequest::Heartbeat { index: router.cluster_state().index };
    router.clone().answer("p9".into(), request).await;
    assert!(router.cut_off(), "the heartbeat may have waited in the socket");
    record_contact_with_p9(&router);
    assert!(!router.cut_off());
}

/// When a load report was measured, on the requester's clock (design 5.4). The request was sent at 1000, and the
/// response is read at 9000.
#[rstest]
#[case::at_once(0, 0, 1_000)]
#[case::measured_earlier(0, 400, 600)]
#[case::held_until_there_was_a_new_report(7_900, 0, 8_900)]
#[case::publisher_suspended_while_it_held_the_request(60_000, 100, 8_900)]
fn load_report_ages_from_its_request(#[case] waited_ms: u64, #[case] age_ms: u64, #[case] fresh: u64) {
    let report = LoadReport { waited_ms, age_ms, ..load_report("verdict", &[], FencingToken(1), 1, 0.0) };
    assert_eq!(report.fresh_at(Tick(1_000), Tick(9_000)), Tick(fresh));
}

/// A response to a heartbeat that lay unread while this process was suspended is as old as the heartbeat.
#[tokio::test]
async fn response_is_as_old_as_its_request() {
    let backend = backend(COMPLETE).await;
    let (clock, clock_ms) = Clock::manual();
    let (router, _) = router_with_clock(clock, "verdict", std::slice::from_ref(&backend)).await;
    let listener = TcpListener::bind((kit::IP, 0)).await.unwrap();
    let mut state = (*router.cluster_state()).clone();
    let address = listener.local_addr().unwrap();
    state.members.values_mut().for_each(|m| m.info.rpc_addr = address);
    state.index = state.index.next();
    let _ = router.member.install(StateUpdate::Snapshot(Box::new(state)), "test");
    let (requests, handler_clock_ms) = (Arc::new(AtomicUsize::new(0)), clock_ms.clone());
    let count = requests.clone();
    tokio::spawn(common::rpc::listen(
        listener,
        kit::settings().local_node(),
        data_plane::rpc::SERVICE,
        move |_, request| {
            // This process is suspended for an hour while the response is in transit.
            let first = count.fetch_add(1, Ordering::AcqRel) == 0;
            handler_clock_ms.fetch_add(if first { 3_600_000 } else { 0 }, Ordering::AcqRel);
            async move {
                match request {
                    RouterRequest::Heartbeat { index } => {
                        RouterResponse::HeartbeatAck { index, incarnation: common::Incarnation(1), fit: true }
                    }
                    _ => RouterResponse::Done,
                }
            }
        },
    ));
    // Members of other zones get heartbeats only once the lease is in doubt.
    clock_ms.fetch_add(router.settings.timing.lease_ms, Ordering::AcqRel);
    let heartbeats = tokio::spawn(router.clone().send_heartbeats());
    while data_plane::router::lock(&router.last_contacts).is_empty() {
        tokio::task::yield_now().await;
    }
    assert!(!router.is_reachable(&"p9".into()) && router.cut_off(), "the contact is an hour old");
    heartbeats.abort();
}
