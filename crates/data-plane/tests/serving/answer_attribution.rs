//! Each answer goes to the client it belongs to, and nothing is sent twice (design 9.4, 9.6), even if replicas send
//! surplus or foreign answers, connections are reused, or clients disconnect.

use crate::{
    router_fixture::{EVENT_COUNT, ReplicaBehavior, RouterFixture, Setup, events, run_scenario},
    test_data::{replica_row, route},
};
use configuration::{Route, RouteKind};
use rstest::rstest;
use std::{collections::BTreeSet, time::Duration};

use ReplicaBehavior::*;

fn read() -> Route {
    route("read", RouteKind::ReadOnly)
}

fn write() -> Route {
    route("write", RouteKind::Writing)
}

fn talk() -> Route {
    Route { resumable: true, max_event_gap_ms: Some(500), ..route("talk", RouteKind::Streaming) }
}

fn one_replica() -> Setup {
    Setup { rows: [("n1", vec![replica_row(1, 0)])].into(), ..Setup::default() }
}

/// How many connections the replicas have seen.
fn connections(fixture: &RouterFixture) -> usize {
    fixture.received_requests().iter().map(|request| request.connection).collect::<BTreeSet<_>>().len()
}

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// A replica answers with a status from which a client concludes that nothing ran, but does not say itself that it did
/// not run the request. The write may have run, so it is not reported as refused: the router answers 502 itself,
/// without the seal, since the replica did not send that status.
#[rstest]
fn a_status_alone_does_not_mean_not_run(
    #[values(408, 429, 503)] status: u16,
    #[values(true, false)] stream: bool,
) {
    let cut_off = Route { resumable: false, ..talk() };
    let (path, route) = if stream { ("/talk/1", cut_off) } else { ("/write/1", write()) };
    run_scenario(1, Setup::default(), vec![route], &[Status(status)], |fixture| async move {
        let response = fixture.post(path).await;
        assert_eq!(response.status, 502, "{response:?}");
        assert!(
            !response.headers.contains_key("x-seal") && response.headers.get("retry-after").is_none(),
            "{response:?}"
        );
        assert_eq!(fixture.received_requests().len(), 1);
    });
}

/// An answer to another request says nothing about this one, not even that it was not run.
#[rstest]
fn a_decline_of_another_request_does_not_count(#[values(1, 2, 3)] seed: u64) {
    run_scenario(seed, Setup::default(), vec![write()], &[ForeignDecline], |fixture| async move {
        let response = fixture.post("/write/1").await;
        assert_eq!(response.status, 502, "{response:?}");
        assert_eq!(fixture.received_requests().len(), 1);
    });
}

/// Interim responses are skipped; an unrequested switch of protocols is no answer.
#[rstest]
#[case::interim(InterimResponses, 200)]
#[case::switched(SwitchesProtocol, 502)]
fn informational_statuses_are_no_answer(#[case] behavior: ReplicaBehavior, #[case] code: u16) {
    run_scenario(1, one_replica(), vec![write()], &[behavior], |fixture| async move {
        let response = fixture.post("/write/1").await;
        assert_eq!(
            (response.status.as_u16(), response.body == "from r1"),
            (code, code == 200),
            "{response:?}"
        );
        assert!(code == 200 || !response.headers.contains_key("upgrade"), "{response:?}");
        assert_eq!(fixture.received_requests().len(), 1);
    });
}

/// Bytes after a complete answer belong to no request, not even to the next one on that connection, whether they
/// arrive before it, with it or after it.
#[rstest]
fn surplus_answers_reach_no_client(
    #[values(0, 1, 2, 3, 5, 8, 50)] late: u64,
    #[values(0, 1, 2, 4, 7, 60)] wait: u64,
    #[values(true, false)] with_id: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    run_scenario(seed, one_replica(), vec![read()], &[ExtraAnswer(late); 4], |fixture| async move {
        for _ in 0..4 {
            let response = if with_id {
                fixture.post("/read/1").await
            } else {
                fixture.post_without_id("/read/1").await
            };
            assert!(!response.body.contains("surplus"), "{response:?}");
            assert!(response.status == 200 || response.status == 502, "{response:?}");
            assert_eq!(response.status == 200, response.body == "from r1", "{response:?}");
            pause(wait).await;
        }
        assert!(
            fixture.received_requests().len() <= 4,
            "with one replica there is no retry: {:?}",
            fixture.received_requests()
        );
    });
}

/// Without an id the router can't tell a request's own answer from another's, so the request gets its own connection.
#[rstest]
fn a_request_without_id_gets_its_own_connection(#[values(1, 2, 3)] seed: u64) {
    run_scenario(seed, one_replica(), vec![read()], &[], |fixture| async move {
        for _ in 0..3 {
            assert_eq!(fixture.post_without_id("/read/1").await.status, 200);
            pause(20).await;
        }
        assert_eq!(connections(&fixture), 3);
    });
}

/// A write gets its own connection; a read reuses one whose last answer was complete.
#[rstest]
#[case::reads(read(), Answer, 1)]
#[case::writes(write(), Answer, 3)]
#[case::closing(read(), AnnouncesClose, 3)]
#[case::closed(read(), AnswersAndCloses, 3)]
#[case::kept(read(), AnnouncesKeepAlive("5"), 1)]
#[case::kept_with_more(read(), AnnouncesKeepAlive("5, max=100"), 1)]
#[case::kept_for_no_time(read(), AnnouncesKeepAlive("0"), 3)]
fn which_connections_are_reused(
    #[case] route: Route,
    #[case] behavior: ReplicaBehavior,
    #[case] expected: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let path = format!("/{}/1", route.name);
    run_scenario(seed, one_replica(), vec![route], &[behavior; 3], |fixture| async move {
        for _ in 0..3 {
            assert_eq!(fixture.post(&path).await.status, 200);
            pause(50).await;
        }
        assert_eq!(connections(&fixture), expected, "{:?}", fixture.received_requests());
    });
}

/// The replica announces for how long it keeps a connection; the router uses half of that.
#[rstest]
#[case::within_half("1", 300, 1)]
#[case::over_half("1", 700, 2)]
#[case::longer_announced("60", 1_500, 1)]
#[case::over_the_own_limit("60", 2_500, 2)]
fn no_longer_than_half_of_the_announced_time(
    #[case] announced: &'static str,
    #[case] rest: u64,
    #[case] expected: usize,
) {
    run_scenario(1, one_replica(), vec![read()], &[AnnouncesKeepAlive(announced); 2], |fixture| async move {
        for _ in 0..2 {
            assert_eq!(fixture.post("/read/1").await.status, 200);
            pause(rest).await;
        }
        assert_eq!(connections(&fixture), expected, "{:?}", fixture.received_requests());
    });
}

/// After an answer that was rejected its connection is not reused.
#[rstest]
fn rejected_answers_leave_no_connection(
    #[values(ForeignId, OmitsSeal, ForeignDecline, SwitchesProtocol)] behavior: ReplicaBehavior,
    #[values(1, 2, 3)] seed: u64,
) {
    run_scenario(seed, one_replica(), vec![read()], &[behavior], |fixture| async move {
        assert_eq!(fixture.post("/read/1").await.status, 502);
        assert_eq!(fixture.post("/read/1").await.status, 200);
        assert_eq!((fixture.received_requests().len(), connections(&fixture)), (2, 2));
    });
}

/// An attempt that is abandoned because the first replica continues has reached a replica nevertheless: when the
/// stream is silent again, no replica beyond `tries` is asked.
#[rstest]
#[case::two(2, 2)]
#[case::three(3, 3)]
fn abandoned_attempts_count(#[case] tries: u32, #[case] arrivals: usize, #[values(1, 2, 3)] seed: u64) {
    let rows = (1..=5).map(|n| replica_row(n, 0)).collect();
    let setup = Setup { rows: [("n1", rows)].into(), ..Setup::default() };
    let route = Route { max_attempts: tries, ..talk() };
    let behaviors = &[PausesStreamTwice(3, 6, 2_500), NeverAnswers, NeverAnswers, NeverAnswers, NeverAnswers];
    run_scenario(seed, setup, vec![route], behaviors, |fixture| async move {
        let response = fixture.post("/talk/1").await;
        assert!(response.complete, "{response:?}");
        assert_eq!(response.body, events(1..=EVENT_COUNT));
        assert_eq!(fixture.received_requests().len(), arrivals, "{:?}", fixture.received_requests());
    });
}

/// A replica begins from the first event although it should resume: no event comes twice.
#[rstest]
#[case::elsewhere(&[CutsStreamAfter(3), RestartsStream], true)]
#[case::nowhere(&[CutsStreamAfter(3), RestartsStream, RestartsStream], false)]
fn no_event_twice(
    #[case] behaviors: &'static [ReplicaBehavior],
    #[case] complete: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    run_scenario(seed, Setup::default(), vec![talk()], behaviors, |fixture| async move {
        let response = fixture.post("/talk/1").await;
        assert_eq!(response.complete, complete, "{response:?}");
        assert_eq!(response.body, events(1..=if complete { EVENT_COUNT } else { 3 }));
    });
}

/// Nothing more is sent for a client that has disconnected, and no request stays open for it.
#[rstest]
#[case::read_unanswered(read(), &[NeverAnswers; 3], 200)]
#[case::write_unanswered(write(), &[NeverAnswers; 3], 200)]
#[case::stream(talk(), &[CutsStreamAfter(9)], 100)]
#[case::stream_unanswered_elsewhere(talk(), &[CutsStreamAfter(3), NeverAnswers, NeverAnswers], 200)]
fn a_client_disconnects(
    #[case] route: Route,
    #[case] behaviors: &'static [ReplicaBehavior],
    #[case] after: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let path = format!("/{}/1", route.name);
    run_scenario(seed, Setup::default(), vec![route], behaviors, |fixture| async move {
        fixture.post_and_disconnect(&path, after).await;
        let before = fixture.received_requests().len();
        pause(5_000).await;
        assert_eq!(fixture.received_requests().len(), before, "{:?}", fixture.received_requests());
    });
}

/// The router's process is killed after it has sent a request and before it answers: the client sees a closed
/// connection, from which it can't conclude that nothing ran, and nothing is sent again.
#[rstest]
#[case::unanswered(&[NeverAnswers; 3], 100)]
#[case::about_to_decline(&[Declines(503, 200); 3], 100)]
fn a_router_is_killed_before_it_answers(
    #[case] behaviors: &'static [ReplicaBehavior],
    #[case] after: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    run_scenario(seed, Setup::default(), vec![write()], behaviors, |fixture| async move {
        let (no_answer, ()) = tokio::join!(fixture.gets_no_answer("/write/1"), async {
            pause(after).await;
            assert_eq!(fixture.received_requests().len(), 1);
            fixture.kill_router();
        });
        assert!(no_answer);
        pause(5_000).await;
        assert_eq!(fixture.received_requests().len(), 1, "{:?}", fixture.received_requests());
    });
}

/// The retry token is refunded if no replica is left to try: the next request can use it.
#[rstest]
fn a_retry_without_a_replica_costs_nothing(#[values(1, 2, 3)] seed: u64) {
    let rows = vec![replica_row(1, 0), replica_row(2, 0)];
    let setup = Setup { rows: [("n1", rows)].into(), retry_tokens: 2.0, ..Setup::default() };
    run_scenario(seed, setup, vec![write()], &[Declines(503, 0); 4], |fixture| async move {
        assert!(fixture.post("/write/1").await.refused());
        assert!(fixture.post("/write/1").await.refused());
        assert_eq!(fixture.received_requests().len(), 4, "one retry each: {:?}", fixture.received_requests());
    });
}
