//! Answers go to the caller whose they are, and nothing is sent twice (design 9.4, 9.6): replicas that
//! say too much, too late or another's, connections that are used again, callers that leave.

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

fn alone() -> Setup {
    Setup { rows: [("n1", vec![replica_row(1, 0)])].into(), ..Setup::default() }
}

fn connections(fixture: &RouterFixture) -> usize {
    fixture.received_requests().iter().map(|c| c.connection).collect::<BTreeSet<_>>().len()
}

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// A write that may have run is not called refused, also when its replica answers with a status that
/// promises this and does not say itself that it was not run. The answer is the router's own then: no
/// seal stands on a status that the replica did not give.
#[rstest]
fn no_promise_that_the_replica_does_not_make(
    #[values(408, 429, 503)] status: u16,
    #[values(true, false)] stream: bool,
) {
    let cut_off = Route { resumable: false, ..talk() };
    let (path, r) = if stream { ("/talk/1", cut_off) } else { ("/write/1", write()) };
    run_scenario(1, Setup::default(), vec![r], &[Status(status)], |fixture| async move {
        let response = fixture.post(path).await;
        assert_eq!(response.status, 502, "{response:?}");
        assert!(
            !response.headers.contains_key("x-seal") && response.headers.get("retry-after").is_none(),
            "{response:?}"
        );
        assert_eq!(fixture.received_requests().len(), 1);
    });
}

/// What answers another request says nothing of this one, not even that it was not run.
#[rstest]
fn a_refusal_of_another_request_is_none_of_this(#[values(1, 2, 3)] seed: u64) {
    run_scenario(seed, Setup::default(), vec![write()], &[ForeignDecline], |fixture| async move {
        let response = fixture.post("/write/1").await;
        assert_eq!(response.status, 502, "{response:?}");
        assert_eq!(fixture.received_requests().len(), 1);
    });
}

/// Interim heads are passed over; a change of protocol was not asked for, and is no answer.
#[rstest]
#[case::interim(InterimResponses, 200)]
#[case::switched(SwitchesProtocol, 502)]
fn heads_that_are_no_answer(#[case] a: ReplicaBehavior, #[case] code: u16) {
    run_scenario(1, alone(), vec![write()], &[a], |fixture| async move {
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

/// Bytes behind a whole answer belong to no request: not to the next one on that connection either,
/// whether they come before it, with it or after it.
#[rstest]
fn surplus_answers_go_to_nobody(
    #[values(0, 1, 2, 3, 5, 8, 50)] late: u64,
    #[values(0, 1, 2, 4, 7, 60)] wait: u64,
    #[values(true, false)] with_id: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    run_scenario(seed, alone(), vec![read()], &[ExtraAnswer(late); 4], |fixture| async move {
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
            "with one replica there is no further try: {:?}",
            fixture.received_requests()
        );
    });
}

/// A request without an id could not tell its own answer from another's: it has its own connection.
#[rstest]
fn without_an_id_on_its_own_connection(#[values(1, 2, 3)] seed: u64) {
    run_scenario(seed, alone(), vec![read()], &[], |fixture| async move {
        for _ in 0..3 {
            assert_eq!(fixture.post_without_id("/read/1").await.status, 200);
            pause(20).await;
        }
        assert_eq!(connections(&fixture), 3);
    });
}

/// A write has its own connection; a read uses that of an earlier answer that came whole.
#[rstest]
#[case::reads(read(), Answer, 1)]
#[case::writes(write(), Answer, 3)]
#[case::closing(read(), AnnouncesClose, 3)]
#[case::closed(read(), AnswersAndCloses, 3)]
#[case::kept(read(), AnnouncesKeepAlive("5"), 1)]
#[case::kept_with_more(read(), AnnouncesKeepAlive("5, max=100"), 1)]
#[case::kept_for_nothing(read(), AnnouncesKeepAlive("0"), 3)]
fn which_connections_are_used_again(
    #[case] r: Route,
    #[case] a: ReplicaBehavior,
    #[case] expected: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let path = format!("/{}/1", r.name);
    run_scenario(seed, alone(), vec![r], &[a; 3], |fixture| async move {
        for _ in 0..3 {
            assert_eq!(fixture.post(&path).await.status, 200);
            pause(50).await;
        }
        assert_eq!(connections(&fixture), expected, "{:?}", fixture.received_requests());
    });
}

/// The replica tells for how long it keeps a connection: half of that is used.
#[rstest]
#[case::well_inside("1", 300, 1)]
#[case::near_its_end("1", 700, 2)]
#[case::longer_told("60", 1_500, 1)]
#[case::over_our_own("60", 2_500, 2)]
fn no_longer_than_half_of_what_it_told(
    #[case] told: &'static str,
    #[case] rest: u64,
    #[case] expected: usize,
) {
    run_scenario(1, alone(), vec![read()], &[AnnouncesKeepAlive(told); 2], |fixture| async move {
        for _ in 0..2 {
            assert_eq!(fixture.post("/read/1").await.status, 200);
            pause(rest).await;
        }
        assert_eq!(connections(&fixture), expected, "{:?}", fixture.received_requests());
    });
}

/// What was half read, doubtful or another's leaves no connection behind.
#[rstest]
fn after_an_unclear_end_a_connection_is_not_used(
    #[values(ForeignId, OmitsSeal, ForeignDecline, SwitchesProtocol)] a: ReplicaBehavior,
    #[values(1, 2, 3)] seed: u64,
) {
    run_scenario(seed, alone(), vec![read()], &[a], |fixture| async move {
        assert_eq!(fixture.post("/read/1").await.status, 502);
        assert_eq!(fixture.post("/read/1").await.status, 200);
        assert_eq!((fixture.received_requests().len(), connections(&fixture)), (2, 2));
    });
}

/// A try that was abandoned, since the first replica went on, has reached a replica all the same: a
/// second silence asks nobody beyond `tries`.
#[rstest]
#[case::two(2, 2)]
#[case::three(3, 3)]
fn abandoned_attempts_count(#[case] tries: u32, #[case] arrivals: usize, #[values(1, 2, 3)] seed: u64) {
    let rows = (1..=5).map(|n| replica_row(n, 0)).collect();
    let cast = Setup { rows: [("n1", rows)].into(), ..Setup::default() };
    let r = Route { tries, ..talk() };
    let acts = &[PausesStreamTwice(3, 6, 2_500), NeverAnswers, NeverAnswers, NeverAnswers, NeverAnswers];
    run_scenario(seed, cast, vec![r], acts, |fixture| async move {
        let response = fixture.post("/talk/1").await;
        assert!(response.complete, "{response:?}");
        assert_eq!(response.body, events(1..=EVENT_COUNT));
        assert_eq!(fixture.received_requests().len(), arrivals, "{:?}", fixture.received_requests());
    });
}

/// A replica that starts anew in place of going on: no event comes twice.
#[rstest]
#[case::elsewhere(&[CutsStreamAfter(3), RestartsStream], true)]
#[case::nowhere(&[CutsStreamAfter(3), RestartsStream, RestartsStream], false)]
fn no_event_twice(
    #[case] acts: &'static [ReplicaBehavior],
    #[case] whole: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    run_scenario(seed, Setup::default(), vec![talk()], acts, |fixture| async move {
        let response = fixture.post("/talk/1").await;
        assert_eq!(response.complete, whole, "{response:?}");
        assert_eq!(response.body, events(1..=if whole { EVENT_COUNT } else { 3 }));
    });
}

/// Nothing more is sent for a caller that has left, and nothing stays open for it.
#[rstest]
#[case::read_held(read(), &[NeverAnswers; 3], 200)]
#[case::write_held(write(), &[NeverAnswers; 3], 200)]
#[case::stream(talk(), &[CutsStreamAfter(9)], 100)]
#[case::stream_held_elsewhere(talk(), &[CutsStreamAfter(3), NeverAnswers, NeverAnswers], 200)]
fn a_caller_that_leaves(
    #[case] r: Route,
    #[case] acts: &'static [ReplicaBehavior],
    #[case] after: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let path = format!("/{}/1", r.name);
    run_scenario(seed, Setup::default(), vec![r], acts, |fixture| async move {
        fixture.post_and_disconnect(&path, after).await;
        let before = fixture.received_requests().len();
        pause(5_000).await;
        assert_eq!(fixture.received_requests().len(), before, "{:?}", fixture.received_requests());
    });
}

/// The router's process is killed between sending and telling: the caller sees a closed connection, which
/// promises nothing, and nothing is sent anew.
#[rstest]
#[case::held(&[NeverAnswers; 3], 100)]
#[case::about_to_decline(&[Declines(503, 200); 3], 100)]
fn a_router_killed_between_sending_and_telling(
    #[case] acts: &'static [ReplicaBehavior],
    #[case] after: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    run_scenario(seed, Setup::default(), vec![write()], acts, |fixture| async move {
        let (cut, ()) = tokio::join!(fixture.gets_no_answer("/write/1"), async {
            pause(after).await;
            assert_eq!(fixture.received_requests().len(), 1);
            fixture.kill_router();
        });
        assert!(cut);
        pause(5_000).await;
        assert_eq!(fixture.received_requests().len(), 1, "{:?}", fixture.received_requests());
    });
}

/// What was paid for a try for which no replica was left comes back: the next request has it.
#[rstest]
fn a_try_without_a_replica_costs_nothing(#[values(1, 2, 3)] seed: u64) {
    let rows = vec![replica_row(1, 0), replica_row(2, 0)];
    let cast = Setup { rows: [("n1", rows)].into(), tries: 2.0, ..Setup::default() };
    run_scenario(seed, cast, vec![write()], &[Declines(503, 0); 4], |fixture| async move {
        assert!(fixture.post("/write/1").await.refused());
        assert!(fixture.post("/write/1").await.refused());
        assert_eq!(
            fixture.received_requests().len(),
            4,
            "one further try each: {:?}",
            fixture.received_requests()
        );
    });
}
