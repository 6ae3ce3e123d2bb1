//! What becomes of a request, from the client's head to the replica's last byte (design 9.2, 9.6, 9.8).

use crate::{
    router_fixture::{
        EVENT_COUNT, MAX_BODY_BYTES, ReplicaBehavior, RouterFixture, Setup, events, run_scenario,
    },
    test_data::{replica_row, route},
};
use common::{Region, http::full};
use configuration::{Route, RouteKind};
use data_plane::serving::replica_report::ReplicaRow;
use rstest::rstest;
use std::{collections::BTreeSet, sync::Arc, time::Duration};

use ReplicaBehavior::*;

fn read() -> Route {
    route("read", RouteKind::ReadOnly)
}

fn write() -> Route {
    route("write", RouteKind::Writing)
}

/// A stream that may be resumed. Its events may be 500 ms apart; after a second of silence another replica is asked.
fn talk() -> Route {
    Route { resumable: true, max_event_gap_ms: Some(500), ..route("talk", RouteKind::Streaming) }
}

/// The replicas that received requests.
fn replicas(fixture: &RouterFixture) -> BTreeSet<String> {
    fixture.received_requests().into_iter().map(|request| request.replica).collect()
}

/// A request that may not run twice is sent once, whatever happens after it was sent. It is not reported as refused
/// then, and nothing of a doubtful answer is passed on.
#[rstest]
#[case::answered(Answer, 200, "from")]
#[case::own_failure(Status(500), 500, "from")]
#[case::closed(ClosesConnection, 502, "")]
#[case::never_answered(NeverAnswers, 504, "")]
#[case::truncated(TruncatesBody, 502, "")]
#[case::undelimited(UndelimitedBody, 502, "")]
#[case::foreign_id(ForeignId, 502, "")]
#[case::no_seal(OmitsSeal, 502, "")]
fn a_write_is_sent_once(
    #[case] behavior: ReplicaBehavior,
    #[case] code: u16,
    #[case] body: &'static str,
    #[values(1, 2, 3)] seed: u64,
) {
    run_scenario(seed, Setup::default(), vec![write()], &[behavior], |fixture| async move {
        let response = fixture.post("/write/1").await;
        assert_eq!(response.status, code, "{response:?}");
        assert_eq!(response.body.contains("from"), body == "from", "{response:?}");
        assert!(response.headers.get("retry-after").is_none(), "{response:?}");
        assert_eq!(response.headers.get("x-request").expect("the request's id"), "own");
        assert_eq!(fixture.received_requests().len(), 1);
    });
}

/// A stream that may not be resumed ends as cut off, after whole events only.
#[rstest]
#[case::at_once(0)]
#[case::later(3)]
#[case::before_the_last(9)]
fn a_cut_stream_that_may_not_be_resumed_ends_as_cut_off(#[case] last: u64, #[values(1, 2, 3)] seed: u64) {
    let route = Route { resumable: false, ..talk() };
    run_scenario(seed, Setup::default(), vec![route], &[CutsStreamAfter(last)], |fixture| async move {
        let response = fixture.post("/talk/1").await;
        assert!(!response.complete, "{response:?}");
        assert_eq!(response.body, events(1..=last));
        assert_eq!(fixture.received_requests().len(), 1);
    });
}

/// A request is retried if that is allowed, at another replica each time, within the route's `tries` and the retry
/// budget.
#[rstest]
#[case::declined(write(), &[Declines(503, 0), Declines(429, 0)], 20.0, 200, 3)]
#[case::declined_with_other_statuses(write(), &[Declines(400, 0), Declines(408, 0)], 20.0, 200, 3)]
#[case::other_incarnation(write(), &[OtherIncarnation], 20.0, 200, 2)]
#[case::declined_by_all(write(), &[Declines(503, 0); 3], 20.0, 503, 3)]
#[case::tries_used_up(Route { max_attempts: 2, ..write() }, &[Declines(503, 0); 3], 20.0, 503, 2)]
#[case::one_try(Route { max_attempts: 1, ..write() }, &[OtherIncarnation], 20.0, 503, 1)]
#[case::budget_used_up(write(), &[Declines(503, 0); 3], 1.0, 503, 2)]
#[case::declined_then_closed(write(), &[Declines(503, 0), ClosesConnection], 20.0, 502, 2)]
#[case::read_again(read(), &[ClosesConnection], 20.0, 200, 2)]
#[case::read_cut_off(read(), &[TruncatesBody, UndelimitedBody], 20.0, 200, 3)]
#[case::read_foreign_id(read(), &[ForeignId, OmitsSeal], 20.0, 200, 3)]
#[case::read_foreign_ids(read(), &[ForeignId; 3], 20.0, 502, 3)]
#[case::read_no_seals(read(), &[OmitsSeal; 3], 20.0, 502, 3)]
#[case::read_failure(read(), &[Status(500)], 20.0, 200, 2)]
#[case::read_failures(read(), &[Status(500); 3], 20.0, 500, 3)]
#[case::read_closed_then_declined(read(), &[ClosesConnection, Declines(503, 0), ClosesConnection], 20.0, 502, 3)]
fn retries(
    #[case] route: Route,
    #[case] behaviors: &'static [ReplicaBehavior],
    #[case] retry_tokens: f64,
    #[case] code: u16,
    #[case] arrivals: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let path = format!("/{}/1", route.name);
    let setup = Setup { retry_tokens, ..Setup::default() };
    run_scenario(seed, setup, vec![route], behaviors, |fixture| async move {
        let response = fixture.post(&path).await;
        assert_eq!(response.status, code, "{response:?}");
        assert_eq!(response.refused(), code == 503, "{response:?}");
        let received = fixture.received_requests();
        assert_eq!((received.len(), replicas(&fixture).len()), (arrivals, arrivals), "{received:?}");
        assert!(
            received.iter().all(|request| request.wanted.as_ref() == Some(&request.replica)),
            "{received:?}"
        );
        if code == 200 {
            assert_eq!(response.body, format!("from {}", received[arrivals - 1].replica));
        }
    });
}

/// Nothing can have run at an address where nothing listens: a write goes to another replica, and uses none of its
/// tries.
#[rstest]
fn a_refused_connection_is_no_try(#[values(1, 2, 3)] seed: u64) {
    let setup = Setup { gone: vec![0, 1], retry_tokens: 1.0, ..Setup::default() };
    run_scenario(seed, setup, vec![Route { max_attempts: 1, ..write() }], &[], |fixture| async move {
        for _ in 0..5 {
            let response = fixture.post("/write/1").await;
            assert_eq!((response.status.as_u16(), response.body.as_str()), (200, "from r3"));
        }
        assert_eq!(fixture.received_requests().len(), 5);
    });
}

/// A stream that is cut off is resumed at another replica after the last event passed on, and each event comes exactly
/// once.
#[rstest]
#[case::before_the_first_event(&[CutsStreamAfter(0)], &[None, None])]
#[case::once(&[CutsStreamAfter(3)], &[None, Some("3")])]
#[case::twice(&[CutsStreamAfter(3), CutsStreamAfter(7)], &[None, Some("3"), Some("7")])]
#[case::cut_again_at_once(&[CutsStreamAfter(3), CutsStreamAfter(3)], &[None, Some("3"), Some("3")])]
#[case::declined_there(&[CutsStreamAfter(3), Declines(503, 0)], &[None, Some("3"), Some("3")])]
#[case::closed_there(&[CutsStreamAfter(3), ClosesConnection], &[None, Some("3"), Some("3")])]
#[case::foreign_id_there(&[CutsStreamAfter(3), ForeignId], &[None, Some("3"), Some("3")])]
#[case::no_seal_there(&[CutsStreamAfter(3), OmitsSeal], &[None, Some("3"), Some("3")])]
#[case::failure_there(&[CutsStreamAfter(3), Status(500)], &[None, Some("3"), Some("3")])]
fn a_cut_stream_is_resumed(
    #[case] behaviors: &'static [ReplicaBehavior],
    #[case] after: &'static [Option<&'static str>],
    #[values(1, 2, 3)] seed: u64,
) {
    run_scenario(seed, Setup::default(), vec![talk()], behaviors, |fixture| async move {
        let response = fixture.post("/talk/1").await;
        assert!(response.status == 200 && response.complete, "{response:?}");
        assert_eq!(response.body, events(1..=EVENT_COUNT));
        let received = fixture.received_requests();
        assert_eq!(received.iter().map(|request| request.after.as_deref()).collect::<Vec<_>>(), after);
        assert_eq!(replicas(&fixture).len(), after.len(), "another one each time: {received:?}");
    });
}

/// A stream that is cut off more often than it may be retried ends as cut off: never as complete, and no event comes
/// twice.
#[rstest]
#[case::tries(talk(), 20.0, 3)]
#[case::budget(talk(), 1.0, 2)]
#[case::one_try(Route { max_attempts: 1, ..talk() }, 20.0, 1)]
fn a_stream_cut_too_often_ends_as_cut_off(
    #[case] route: Route,
    #[case] retry_tokens: f64,
    #[case] last: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let setup = Setup { retry_tokens, ..Setup::default() };
    run_scenario(
        seed,
        setup,
        vec![route],
        &[CutsStreamAfter(1), CutsStreamAfter(2), CutsStreamAfter(3), CutsStreamAfter(4)],
        |fixture| async move {
            let response = fixture.post("/talk/1").await;
            assert!(!response.complete, "{response:?}");
            assert_eq!(response.body, events(1..=last));
        },
    );
}

fn one_replica() -> Setup {
    Setup { rows: [("n1", vec![replica_row(1, 0)])].into(), ..Setup::default() }
}

/// Guards against giving up streams because they are silent, which was the cause of an incident. A silent stream that
/// no other replica can resume waits for its own replica, even past the route's `hold_ms`.
#[rstest]
#[case::no_other(one_replica(), talk(), &[PausesStreamAfter(3, 8_000)], 1)]
#[case::past_hold_ms(one_replica(), talk(), &[PausesStreamAfter(3, 30_000)], 1)]
#[case::no_try_left(Setup::default(), Route { max_attempts: 1, ..talk() }, &[PausesStreamAfter(3, 8_000)], 1)]
#[case::not_resumable(Setup::default(), Route { resumable: false, ..talk() }, &[PausesStreamAfter(3, 8_000)], 1)]
#[case::declined_elsewhere(Setup::default(), talk(), &[PausesStreamAfter(3, 8_000), Declines(503, 0), Declines(503, 0)], 3)]
#[case::others_not_listening(Setup { gone: vec![1, 2], ..Setup::default() }, talk(), &[PausesStreamAfter(3, 8_000)], 1)]
fn silence_alone_ends_no_stream(
    #[case] setup: Setup,
    #[case] route: Route,
    #[case] behaviors: &'static [ReplicaBehavior],
    #[case] arrivals: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    run_scenario(seed, setup, vec![route], behaviors, |fixture| async move {
        let response = fixture.post("/talk/1").await;
        assert!(response.status == 200 && response.complete, "{response:?}");
        assert_eq!(response.body, events(1..=EVENT_COUNT));
        assert_eq!(fixture.received_requests().len(), arrivals);
    });
}

/// A silent stream is resumed at another replica before its own would have continued.
#[rstest]
fn a_silent_stream_is_resumed_elsewhere(#[values(0, 3, 9)] last: u64, #[values(1, 2, 3)] seed: u64) {
    run_scenario(
        seed,
        Setup::default(),
        vec![talk()],
        &[PausesStreamAfter(last, 8_000)],
        |fixture| async move {
            let response = fixture.post("/talk/1").await;
            assert!(
                response.status == 200 && response.complete && response.elapsed_ms < 8_000,
                "{response:?}"
            );
            assert_eq!(response.body, events(1..=EVENT_COUNT));
            assert_eq!(replicas(&fixture).len(), 2);
        },
    );
}

/// A route with these home regions.
fn homed(r: Route, homes: &[&str]) -> Route {
    Route { homes: homes.iter().map(Region::new).collect(), ..r }
}

/// Replicas 1 and 2 in the north, 3 and 4 in the south, each changed by a function.
fn regions(north: impl Fn(ReplicaRow) -> ReplicaRow, south: impl Fn(ReplicaRow) -> ReplicaRow) -> Setup {
    let north = [1, 2].map(|n| north(replica_row(n, 0))).to_vec();
    let south = [3, 4].map(|n| south(replica_row(n, 0))).to_vec();
    Setup { rows: [("n1", north), ("s1", south)].into(), ..Setup::default() }
}

fn two_regions(south: impl Fn(ReplicaRow) -> ReplicaRow) -> Setup {
    regions(|r| r, south)
}

fn unhealthy(r: ReplicaRow) -> ReplicaRow {
    ReplicaRow { healthy: false, ..r }
}

fn draining(r: ReplicaRow) -> ReplicaRow {
    ReplicaRow { draining: true, ..r }
}

/// No replica outside the home regions is asked, even if none inside can take the request.
#[rstest]
#[case::available(two_regions(|r| r), &[], true)]
#[case::unhealthy(two_regions(unhealthy), &[], true)]
#[case::draining(two_regions(draining), &[], false)]
#[case::evacuated(Setup { evacuated: Some("s1"), ..two_regions(|r| r) }, &[], false)]
#[case::full(two_regions(|r| ReplicaRow { running: 100_000, ..r }), &[], false)]
#[case::all_unhealthy(regions(unhealthy, unhealthy), &[], true)]
#[case::none_healthy_none_at_home(regions(unhealthy, draining), &[], false)]
#[case::declining(two_regions(|r| r), &[Declines(503, 0); 4], false)]
fn requests_stay_in_home_regions(
    #[case] setup: Setup,
    #[case] behaviors: &'static [ReplicaBehavior],
    #[case] served: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let routes = vec![homed(read(), &["south"]), homed(talk(), &["south"])];
    run_scenario(seed, setup, routes, behaviors, |fixture| async move {
        let response = fixture.post("/read/1").await;
        assert_eq!((response.status == 200, response.refused()), (served, !served), "{response:?}");
        fixture.set_behaviors(if behaviors.is_empty() {
            &[CutsStreamAfter(3), CutsStreamAfter(5)]
        } else {
            behaviors
        });
        let response = fixture.post("/talk/1").await;
        assert_eq!((response.status == 200, response.refused()), (served, !served), "{response:?}");
        let outside = ["r1", "r2"].map(String::from).into();
        assert!(replicas(&fixture).is_disjoint(&outside), "{:?}", fixture.received_requests());
    });
}

/// A draining or evacuated replica gets no request; if no other is left, requests are refused.
#[rstest]
#[case::draining(vec![replica_row(1, 0), draining(replica_row(2, 0))], None, &["r1"])]
#[case::all_draining(vec![draining(replica_row(1, 0)), draining(replica_row(2, 0))], None, &[])]
#[case::evacuated(vec![replica_row(1, 0), replica_row(2, 0)], Some("n1"), &[])]
#[case::another_zone(vec![replica_row(1, 0), replica_row(2, 0)], Some("n2"), &["r1", "r2"])]
fn leaving_replicas_get_no_requests(
    #[case] rows: Vec<ReplicaRow>,
    #[case] evacuated: Option<&'static str>,
    #[case] expected: &'static [&'static str],
    #[values(1, 2, 3)] seed: u64,
) {
    let setup = Setup { rows: [("n1", rows)].into(), evacuated, ..Setup::default() };
    run_scenario(seed, setup, vec![read()], &[], |fixture| async move {
        for _ in 0..20 {
            let response = fixture.post("/read/1").await;
            assert_eq!(
                (response.status == 200, response.refused()),
                (!expected.is_empty(), expected.is_empty()),
                "{response:?}"
            );
        }
        assert_eq!(replicas(&fixture), expected.iter().map(|r| r.to_string()).collect());
    });
}

/// A zone is evacuated between two attempts: its other replica is not asked any more.
#[rstest]
fn an_evacuation_takes_effect_between_attempts(#[values(1, 2, 3)] seed: u64) {
    let rows = [("n1", vec![replica_row(1, 0), replica_row(2, 0)]), ("n2", vec![replica_row(3, 19)])].into();
    let setup = Setup { rows, ..Setup::default() };
    run_scenario(
        seed,
        setup,
        vec![write()],
        &[Declines(503, 400)],
        |fixture: Arc<RouterFixture>| async move {
            let request = tokio::spawn({
                let fixture = fixture.clone();
                async move { fixture.post("/write/1").await }
            });
            tokio::time::sleep(Duration::from_millis(300)).await;
            assert_eq!(fixture.received_requests().len(), 1);
            fixture.evacuate("n1");
            let response = request.await.expect("an answer");
            assert_eq!((response.status.as_u16(), response.body.as_str()), (200, "from r3"));
            assert_eq!(fixture.received_requests().len(), 2);
        },
    );
}

/// The router answers some requests itself by their head or body, without asking a replica.
#[rstest]
#[case::other_host("/read/1", "example.net", 3, 404)]
#[case::other_path("/reads/1", "EXAMPLE.org", 3, 404)]
#[case::prefix_without_slash("/read", "example.org", 3, 404)]
#[case::at_the_limit("/read/1", "EXAMPLE.org", MAX_BODY_BYTES, 200)]
#[case::over_the_limit("/read/1", "EXAMPLE.org", MAX_BODY_BYTES + 1, 413)]
fn unroutable_or_too_large_requests_reach_no_replica(
    #[case] path: &'static str,
    #[case] host: &'static str,
    #[case] body: usize,
    #[case] code: u16,
) {
    run_scenario(1, Setup::default(), vec![read()], &[], |fixture| async move {
        let response = fixture.post_to(host, path, &[], full("x".repeat(body))).await;
        assert_eq!(response.status, code, "{response:?}");
        assert!(response.headers.get("retry-after").is_none());
        assert_eq!(fixture.received_requests().len(), usize::from(code == 200));
    });
}

/// The limit holds for chunked bodies too.
#[rstest]
#[case::below(6, 200)]
#[case::over(7, 413)]
fn chunked_bodies_are_limited(#[case] chunks: usize, #[case] code: u16) {
    run_scenario(1, Setup::default(), vec![read()], &[], |fixture| async move {
        let response = fixture.post_chunked("/read/1", chunks).await;
        assert_eq!(response.status, code, "{response:?}");
        assert_eq!(fixture.received_requests().len(), usize::from(code == 200));
    });
}

/// A body that is announced as too long is not read.
#[test]
fn a_body_announced_as_too_long_is_not_read() {
    run_scenario(1, Setup::default(), vec![read()], &[], |fixture| async move {
        let response = fixture.post_withholding_body("/read/1", MAX_BODY_BYTES + 1).await;
        assert_eq!(response.status, 413, "{response:?}");
        assert_eq!(response.headers.get("connection").expect("the rest is not read"), "close");
        assert_eq!(fixture.received_requests().len(), 0);
    });
}

/// The time that the client announces limits a request; one that was sent is not reported as refused at its end.
#[rstest]
#[case::never_answered(read(), "300", 504, 1)]
#[case::nothing_left(read(), "0", 503, 0)]
fn the_clients_time_limits_a_request(
    #[case] route: Route,
    #[case] left: &'static str,
    #[case] code: u16,
    #[case] arrivals: usize,
) {
    run_scenario(1, Setup::default(), vec![route], &[NeverAnswers; 3], |fixture| async move {
        let response = fixture.post_with("/read/1", &[("x-left", left)], full("ask")).await;
        assert_eq!(
            (response.status.as_u16(), fixture.received_requests().len()),
            (code, arrivals),
            "{response:?}"
        );
        assert!(response.elapsed_ms < 600, "{response:?}");
    });
}

/// A connection that a replica closes after an answer costs neither reads nor writes a retry.
#[rstest]
fn closed_connections_cost_no_retry(#[values(1, 2, 3)] seed: u64, #[values(0, 1, 3, 500)] pause: u64) {
    let setup = Setup { retry_tokens: 1.0, ..Setup::default() };
    run_scenario(seed, setup, vec![read(), write()], &[AnswersAndCloses; 20], |fixture| async move {
        for n in 0..20 {
            let response = fixture.post(if n % 2 == 0 { "/read/1" } else { "/write/1" }).await;
            assert_eq!(response.status, 200, "{response:?}");
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        assert_eq!(fixture.received_requests().len(), 20);
    });
}

/// A stream whose replica pauses for 2.5 s continues from it at once, although the replica that was asked to resume it
/// in the meantime never answers.
#[rstest]
fn an_attempt_elsewhere_does_not_delay_the_stream(#[values(1, 2, 3)] seed: u64) {
    run_scenario(
        seed,
        Setup::default(),
        vec![talk()],
        &[PausesStreamAfter(3, 2_500), NeverAnswers],
        |fixture| async move {
            let response = fixture.post("/talk/1").await;
            assert_eq!(response.body, events(1..=EVENT_COUNT));
            assert!(
                response.elapsed_ms < 5_000,
                "its own replica had finished after 3 s: {} ms",
                response.elapsed_ms
            );
        },
    );
}
