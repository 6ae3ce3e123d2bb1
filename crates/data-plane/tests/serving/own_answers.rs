//! Answers go to the caller whose they are, and nothing is sent twice (design 9.4, 9.6): replicas that
//! say too much, too late or another's, connections that are used again, callers that leave.

use crate::{
    kit::{route, row},
    stage::{Act, Cast, EVENTS, Stage, events, scene},
};
use configuration::{Route, RouteKind};
use rstest::rstest;
use std::{collections::BTreeSet, time::Duration};

use Act::*;

fn read() -> Route {
    route("read", RouteKind::ReadOnly)
}

fn write() -> Route {
    route("write", RouteKind::Writing)
}

fn talk() -> Route {
    Route { resumable: true, max_event_gap_ms: Some(500), ..route("talk", RouteKind::Streaming) }
}

fn alone() -> Cast {
    Cast { rows: [("n1", vec![row(1, 0)])].into(), ..Cast::default() }
}

fn connections(st: &Stage) -> usize {
    st.came().iter().map(|c| c.connection).collect::<BTreeSet<_>>().len()
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
    scene(1, Cast::default(), vec![r], &[Says(status)], |st| async move {
        let told = st.ask(path).await;
        assert_eq!(told.code, 502, "{told:?}");
        assert!(!told.head.contains_key("x-seal") && told.head.get("retry-after").is_none(), "{told:?}");
        assert_eq!(st.came().len(), 1);
    });
}

/// What answers another request says nothing of this one, not even that it was not run.
#[rstest]
fn a_refusal_of_another_request_is_none_of_this(#[values(1, 2, 3)] seed: u64) {
    scene(seed, Cast::default(), vec![write()], &[OtherDeclined], |st| async move {
        let told = st.ask("/write/1").await;
        assert_eq!(told.code, 502, "{told:?}");
        assert_eq!(st.came().len(), 1);
    });
}

/// Interim heads are passed over; a change of protocol was not asked for, and is no answer.
#[rstest]
#[case::interim(Informs, 200)]
#[case::switched(Switches, 502)]
fn heads_that_are_no_answer(#[case] a: Act, #[case] code: u16) {
    scene(1, alone(), vec![write()], &[a], |st| async move {
        let told = st.ask("/write/1").await;
        assert_eq!((told.code.as_u16(), told.body == "from r1"), (code, code == 200), "{told:?}");
        assert!(code == 200 || !told.head.contains_key("upgrade"), "{told:?}");
        assert_eq!(st.came().len(), 1);
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
    scene(seed, alone(), vec![read()], &[Surplus(late); 4], |st| async move {
        for _ in 0..4 {
            let told = if with_id { st.ask("/read/1").await } else { st.ask_without_an_id("/read/1").await };
            assert!(!told.body.contains("surplus"), "{told:?}");
            assert!(told.code == 200 || told.code == 502, "{told:?}");
            assert_eq!(told.code == 200, told.body == "from r1", "{told:?}");
            pause(wait).await;
        }
        assert!(st.came().len() <= 4, "with one replica there is no further try: {:?}", st.came());
    });
}

/// A request without an id could not tell its own answer from another's: it has its own connection.
#[rstest]
fn without_an_id_on_its_own_connection(#[values(1, 2, 3)] seed: u64) {
    scene(seed, alone(), vec![read()], &[], |st| async move {
        for _ in 0..3 {
            assert_eq!(st.ask_without_an_id("/read/1").await.code, 200);
            pause(20).await;
        }
        assert_eq!(connections(&st), 3);
    });
}

/// A write has its own connection; a read uses that of an earlier answer that came whole.
#[rstest]
#[case::reads(read(), Answer, 1)]
#[case::writes(write(), Answer, 3)]
#[case::closing(read(), SaysClose, 3)]
#[case::closed(read(), Leaves, 3)]
#[case::kept(read(), Keeps("5"), 1)]
#[case::kept_with_more(read(), Keeps("5, max=100"), 1)]
#[case::kept_for_nothing(read(), Keeps("0"), 3)]
fn which_connections_are_used_again(
    #[case] r: Route,
    #[case] a: Act,
    #[case] expected: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let path = format!("/{}/1", r.name);
    scene(seed, alone(), vec![r], &[a; 3], |st| async move {
        for _ in 0..3 {
            assert_eq!(st.ask(&path).await.code, 200);
            pause(50).await;
        }
        assert_eq!(connections(&st), expected, "{:?}", st.came());
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
    scene(1, alone(), vec![read()], &[Keeps(told); 2], |st| async move {
        for _ in 0..2 {
            assert_eq!(st.ask("/read/1").await.code, 200);
            pause(rest).await;
        }
        assert_eq!(connections(&st), expected, "{:?}", st.came());
    });
}

/// What was half read, doubtful or another's leaves no connection behind.
#[rstest]
fn after_an_unclear_end_a_connection_is_not_used(
    #[values(OtherId, NoSeal, OtherDeclined, Switches)] a: Act,
    #[values(1, 2, 3)] seed: u64,
) {
    scene(seed, alone(), vec![read()], &[a], |st| async move {
        assert_eq!(st.ask("/read/1").await.code, 502);
        assert_eq!(st.ask("/read/1").await.code, 200);
        assert_eq!((st.came().len(), connections(&st)), (2, 2));
    });
}

/// A try that was abandoned, since the first replica went on, has reached a replica all the same: a
/// second silence asks nobody beyond `tries`.
#[rstest]
#[case::two(2, 2)]
#[case::three(3, 3)]
fn abandoned_attempts_count(#[case] tries: u32, #[case] arrivals: usize, #[values(1, 2, 3)] seed: u64) {
    let rows = (1..=5).map(|n| row(n, 0)).collect();
    let cast = Cast { rows: [("n1", rows)].into(), ..Cast::default() };
    let r = Route { tries, ..talk() };
    let acts = &[PauseTwice(3, 6, 2_500), Holds, Holds, Holds, Holds];
    scene(seed, cast, vec![r], acts, |st| async move {
        let told = st.ask("/talk/1").await;
        assert!(told.whole, "{told:?}");
        assert_eq!(told.body, events(1..=EVENTS));
        assert_eq!(st.came().len(), arrivals, "{:?}", st.came());
    });
}

/// A replica that starts anew in place of going on: no event comes twice.
#[rstest]
#[case::elsewhere(&[Cut(3), FromTheStart], true)]
#[case::nowhere(&[Cut(3), FromTheStart, FromTheStart], false)]
fn no_event_twice(#[case] acts: &'static [Act], #[case] whole: bool, #[values(1, 2, 3)] seed: u64) {
    scene(seed, Cast::default(), vec![talk()], acts, |st| async move {
        let told = st.ask("/talk/1").await;
        assert_eq!(told.whole, whole, "{told:?}");
        assert_eq!(told.body, events(1..=if whole { EVENTS } else { 3 }));
    });
}

/// Nothing more is sent for a caller that has left, and nothing stays open for it.
#[rstest]
#[case::read_held(read(), &[Holds; 3], 200)]
#[case::write_held(write(), &[Holds; 3], 200)]
#[case::stream(talk(), &[Cut(9)], 100)]
#[case::stream_held_elsewhere(talk(), &[Cut(3), Holds, Holds], 200)]
fn a_caller_that_leaves(
    #[case] r: Route,
    #[case] acts: &'static [Act],
    #[case] after: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let path = format!("/{}/1", r.name);
    scene(seed, Cast::default(), vec![r], acts, |st| async move {
        st.ask_and_leave(&path, after).await;
        let before = st.came().len();
        pause(5_000).await;
        assert_eq!(st.came().len(), before, "{:?}", st.came());
    });
}

/// The router's process is killed between sending and telling: the caller sees a closed connection, which
/// promises nothing, and nothing is sent anew.
#[rstest]
#[case::held(&[Holds; 3], 100)]
#[case::about_to_decline(&[Declines(503, 200); 3], 100)]
fn a_router_killed_between_sending_and_telling(
    #[case] acts: &'static [Act],
    #[case] after: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    scene(seed, Cast::default(), vec![write()], acts, |st| async move {
        let (cut, ()) = tokio::join!(st.ends_without_an_answer("/write/1"), async {
            pause(after).await;
            assert_eq!(st.came().len(), 1);
            st.kill_router();
        });
        assert!(cut);
        pause(5_000).await;
        assert_eq!(st.came().len(), 1, "{:?}", st.came());
    });
}

/// What was paid for a try for which no replica was left comes back: the next request has it.
#[rstest]
fn a_try_without_a_replica_costs_nothing(#[values(1, 2, 3)] seed: u64) {
    let rows = vec![row(1, 0), row(2, 0)];
    let cast = Cast { rows: [("n1", rows)].into(), tries: 2.0, ..Cast::default() };
    scene(seed, cast, vec![write()], &[Declines(503, 0); 4], |st| async move {
        assert!(st.ask("/write/1").await.refused());
        assert!(st.ask("/write/1").await.refused());
        assert_eq!(st.came().len(), 4, "one further try each: {:?}", st.came());
    });
}
