//! The way of a request, from a client's head to a replica's last byte (design 9.2, 9.6, 9.8).

use crate::{
    kit::{route, row},
    stage::{Act, Cast, EVENTS, MOST_BODY, Stage, events, scene},
};
use common::{Region, http::full};
use configuration::{Route, RouteKind};
use data_plane::serving::replica_report::ReplicaRow;
use rstest::rstest;
use std::{collections::BTreeSet, sync::Arc, time::Duration};

use Act::*;

fn read() -> Route {
    route("read", RouteKind::ReadOnly)
}

fn write() -> Route {
    route("write", RouteKind::Writing)
}

/// A stream that may be taken up; 500 ms between events are in time, a second of silence is long.
fn talk() -> Route {
    Route { resumable: true, max_event_gap_ms: Some(500), ..route("talk", RouteKind::Streaming) }
}

fn replicas(st: &Stage) -> BTreeSet<String> {
    st.came().into_iter().map(|c| c.replica).collect()
}

/// What may not be repeated is sent once, whatever happens after its bytes went out; it is not called
/// refused then, and nothing of a doubtful answer is passed on.
#[rstest]
#[case::answered(Answer, 200, "from")]
#[case::own_failure(Says(500), 500, "from")]
#[case::closed(Closes, 502, "")]
#[case::held(Holds, 504, "")]
#[case::broken_off(Breaks, 502, "")]
#[case::endless(Endless, 502, "")]
#[case::other_id(OtherId, 502, "")]
#[case::no_seal(NoSeal, 502, "")]
fn a_write_is_sent_once(
    #[case] a: Act,
    #[case] code: u16,
    #[case] says: &'static str,
    #[values(1, 2, 3)] seed: u64,
) {
    scene(seed, Cast::default(), vec![write()], &[a], |st| async move {
        let told = st.ask("/write/1").await;
        assert_eq!(told.code, code, "{told:?}");
        assert_eq!(told.body.contains("from"), says == "from", "{told:?}");
        assert!(told.head.get("retry-after").is_none(), "{told:?}");
        assert_eq!(told.head.get("x-request").expect("the own id"), "own");
        assert_eq!(st.came().len(), 1);
    });
}

/// The same for a stream that may not be taken up: cut, it ends as cut, behind whole events only.
#[rstest]
#[case::at_once(0)]
#[case::later(3)]
#[case::at_the_last(9)]
fn a_cut_stream_that_may_not_run_again_ends_as_cut(#[case] last: u64, #[values(1, 2, 3)] seed: u64) {
    let r = Route { resumable: false, ..talk() };
    scene(seed, Cast::default(), vec![r], &[Cut(last)], |st| async move {
        let told = st.ask("/talk/1").await;
        assert!(!told.whole, "{told:?}");
        assert_eq!(told.body, events(1..=last));
        assert_eq!(st.came().len(), 1);
    });
}

/// Sent on where that is allowed, to another replica each time, within `tries` and what is in hand.
#[rstest]
#[case::declined(write(), &[Declines(503, 0), Declines(429, 0)], 20.0, 200, 3)]
#[case::declined_otherwise(write(), &[Declines(400, 0), Declines(408, 0)], 20.0, 200, 3)]
#[case::another_life(write(), &[OtherLife], 20.0, 200, 2)]
#[case::declined_by_all(write(), &[Declines(503, 0); 3], 20.0, 503, 3)]
#[case::tries_used_up(Route { tries: 2, ..write() }, &[Declines(503, 0); 3], 20.0, 503, 2)]
#[case::one_try(Route { tries: 1, ..write() }, &[OtherLife], 20.0, 503, 1)]
#[case::none_in_hand(write(), &[Declines(503, 0); 3], 1.0, 503, 2)]
#[case::declined_then_closed(write(), &[Declines(503, 0), Closes], 20.0, 502, 2)]
#[case::read_again(read(), &[Closes], 20.0, 200, 2)]
#[case::read_broken_off(read(), &[Breaks, Endless], 20.0, 200, 3)]
#[case::read_other_id(read(), &[OtherId, NoSeal], 20.0, 200, 3)]
#[case::read_other_ids(read(), &[OtherId; 3], 20.0, 502, 3)]
#[case::read_no_seals(read(), &[NoSeal; 3], 20.0, 502, 3)]
#[case::read_failure(read(), &[Says(500)], 20.0, 200, 2)]
#[case::read_failures(read(), &[Says(500); 3], 20.0, 500, 3)]
#[case::read_closed_then_declined(read(), &[Closes, Declines(503, 0), Closes], 20.0, 502, 3)]
fn further_tries(
    #[case] r: Route,
    #[case] acts: &'static [Act],
    #[case] in_hand: f64,
    #[case] code: u16,
    #[case] arrivals: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let path = format!("/{}/1", r.name);
    let cast = Cast { tries: in_hand, ..Cast::default() };
    scene(seed, cast, vec![r], acts, |st| async move {
        let told = st.ask(&path).await;
        assert_eq!(told.code, code, "{told:?}");
        assert_eq!(told.refused(), code == 503, "{told:?}");
        let came = st.came();
        assert_eq!((came.len(), replicas(&st).len()), (arrivals, arrivals), "{came:?}");
        assert!(came.iter().all(|c| c.wanted.as_ref() == Some(&c.replica)), "{came:?}");
        if code == 200 {
            assert_eq!(told.body, format!("from {}", came[arrivals - 1].replica));
        }
    });
}

/// Where nobody listens nothing ran: a write goes on without using up its tries.
#[rstest]
fn nobody_there_is_no_try(#[values(1, 2, 3)] seed: u64) {
    let cast = Cast { gone: vec![0, 1], tries: 1.0, ..Cast::default() };
    scene(seed, cast, vec![Route { tries: 1, ..write() }], &[], |st| async move {
        for _ in 0..5 {
            let told = st.ask("/write/1").await;
            assert_eq!((told.code.as_u16(), told.body.as_str()), (200, "from r3"));
        }
        assert_eq!(st.came().len(), 5);
    });
}

/// A cut stream goes on at another replica behind the last event that went out, each exactly once.
#[rstest]
#[case::before_any(&[Cut(0)], &[None, None])]
#[case::once(&[Cut(3)], &[None, Some("3")])]
#[case::twice(&[Cut(3), Cut(7)], &[None, Some("3"), Some("7")])]
#[case::cut_again_at_once(&[Cut(3), Cut(3)], &[None, Some("3"), Some("3")])]
#[case::declined_there(&[Cut(3), Declines(503, 0)], &[None, Some("3"), Some("3")])]
#[case::closed_there(&[Cut(3), Closes], &[None, Some("3"), Some("3")])]
#[case::other_id_there(&[Cut(3), OtherId], &[None, Some("3"), Some("3")])]
#[case::no_seal_there(&[Cut(3), NoSeal], &[None, Some("3"), Some("3")])]
#[case::failure_there(&[Cut(3), Says(500)], &[None, Some("3"), Some("3")])]
fn a_cut_stream_goes_on(
    #[case] acts: &'static [Act],
    #[case] after: &'static [Option<&'static str>],
    #[values(1, 2, 3)] seed: u64,
) {
    scene(seed, Cast::default(), vec![talk()], acts, |st| async move {
        let told = st.ask("/talk/1").await;
        assert!(told.code == 200 && told.whole, "{told:?}");
        assert_eq!(told.body, events(1..=EVENTS));
        let came = st.came();
        assert_eq!(came.iter().map(|c| c.after.as_deref()).collect::<Vec<_>>(), after);
        assert_eq!(replicas(&st).len(), after.len(), "another one each time: {came:?}");
    });
}

/// Cut once more than may be tried, it ends as cut: never whole, and no event twice.
#[rstest]
#[case::tries(talk(), 20.0, 3)]
#[case::in_hand(talk(), 1.0, 2)]
#[case::one_try(Route { tries: 1, ..talk() }, 20.0, 1)]
fn cut_too_often_it_ends_as_cut(
    #[case] r: Route,
    #[case] in_hand: f64,
    #[case] last: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let cast = Cast { tries: in_hand, ..Cast::default() };
    scene(seed, cast, vec![r], &[Cut(1), Cut(2), Cut(3), Cut(4)], |st| async move {
        let told = st.ask("/talk/1").await;
        assert!(!told.whole, "{told:?}");
        assert_eq!(told.body, events(1..=last));
    });
}

fn alone() -> Cast {
    Cast { rows: [("n1", vec![row(1, 0)])].into(), ..Cast::default() }
}

/// The incident: streams were given up because they were silent. Silence alone ends none: where nobody
/// can take it up, it waits for its own replica, also beyond the time that the route holds.
#[rstest]
#[case::no_other(alone(), talk(), &[Pause(3, 8_000)], 1)]
#[case::beyond_the_hold(alone(), talk(), &[Pause(3, 30_000)], 1)]
#[case::no_try_left(Cast::default(), Route { tries: 1, ..talk() }, &[Pause(3, 8_000)], 1)]
#[case::not_resumable(Cast::default(), Route { resumable: false, ..talk() }, &[Pause(3, 8_000)], 1)]
#[case::declined_elsewhere(Cast::default(), talk(), &[Pause(3, 8_000), Declines(503, 0), Declines(503, 0)], 3)]
#[case::gone_elsewhere(Cast { gone: vec![1, 2], ..Cast::default() }, talk(), &[Pause(3, 8_000)], 1)]
fn silence_alone_ends_no_stream(
    #[case] cast: Cast,
    #[case] r: Route,
    #[case] acts: &'static [Act],
    #[case] arrivals: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    scene(seed, cast, vec![r], acts, |st| async move {
        let told = st.ask("/talk/1").await;
        assert!(told.code == 200 && told.whole, "{told:?}");
        assert_eq!(told.body, events(1..=EVENTS));
        assert_eq!(st.came().len(), arrivals);
    });
}

/// A silent one is taken up elsewhere, before its own replica would have gone on.
#[rstest]
fn a_silent_stream_goes_on_elsewhere(#[values(0, 3, 9)] last: u64, #[values(1, 2, 3)] seed: u64) {
    scene(seed, Cast::default(), vec![talk()], &[Pause(last, 8_000)], |st| async move {
        let told = st.ask("/talk/1").await;
        assert!(told.code == 200 && told.whole && told.ms < 8_000, "{told:?}");
        assert_eq!(told.body, events(1..=EVENTS));
        assert_eq!(replicas(&st).len(), 2);
    });
}

fn homed(r: Route, homes: &[&str]) -> Route {
    Route { homes: homes.iter().map(Region::new).collect(), ..r }
}

/// Replicas 1 and 2 in the north, 3 and 4 in the south; what became of those of each.
fn regions(north: impl Fn(ReplicaRow) -> ReplicaRow, south: impl Fn(ReplicaRow) -> ReplicaRow) -> Cast {
    let north = [1, 2].map(|n| north(row(n, 0))).to_vec();
    let south = [3, 4].map(|n| south(row(n, 0))).to_vec();
    Cast { rows: [("n1", north), ("s1", south)].into(), ..Cast::default() }
}

fn two_regions(south: impl Fn(ReplicaRow) -> ReplicaRow) -> Cast {
    regions(|r| r, south)
}

fn unwell(r: ReplicaRow) -> ReplicaRow {
    ReplicaRow { healthy: false, ..r }
}

fn draining(r: ReplicaRow) -> ReplicaRow {
    ReplicaRow { draining: true, ..r }
}

/// Nobody outside the homes is asked, also when all inside are gone.
#[rstest]
#[case::there(two_regions(|r| r), &[], true)]
#[case::unwell(two_regions(unwell), &[], true)]
#[case::draining(two_regions(draining), &[], false)]
#[case::evacuated(Cast { evacuated: Some("s1"), ..two_regions(|r| r) }, &[], false)]
#[case::full(two_regions(|r| ReplicaRow { running: 100_000, ..r }), &[], false)]
#[case::all_unwell(regions(unwell, unwell), &[], true)]
#[case::none_well_none_at_home(regions(unwell, draining), &[], false)]
#[case::declining(two_regions(|r| r), &[Declines(503, 0); 4], false)]
fn homes_bind(
    #[case] cast: Cast,
    #[case] acts: &'static [Act],
    #[case] served: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let routes = vec![homed(read(), &["south"]), homed(talk(), &["south"])];
    scene(seed, cast, routes, acts, |st| async move {
        let told = st.ask("/read/1").await;
        assert_eq!((told.code == 200, told.refused()), (served, !served), "{told:?}");
        st.next(if acts.is_empty() { &[Cut(3), Cut(5)] } else { acts });
        let told = st.ask("/talk/1").await;
        assert_eq!((told.code == 200, told.refused()), (served, !served), "{told:?}");
        let outside = ["r1", "r2"].map(String::from).into();
        assert!(replicas(&st).is_disjoint(&outside), "{:?}", st.came());
    });
}

/// What leaves is asked nothing, whatever else there is; refused where nobody is left.
#[rstest]
#[case::draining(vec![row(1, 0), draining(row(2, 0))], None, &["r1"])]
#[case::all_draining(vec![draining(row(1, 0)), draining(row(2, 0))], None, &[])]
#[case::evacuated(vec![row(1, 0), row(2, 0)], Some("n1"), &[])]
#[case::another_area(vec![row(1, 0), row(2, 0)], Some("n2"), &["r1", "r2"])]
fn what_leaves_is_asked_nothing(
    #[case] rows: Vec<ReplicaRow>,
    #[case] evacuated: Option<&'static str>,
    #[case] may: &'static [&'static str],
    #[values(1, 2, 3)] seed: u64,
) {
    let cast = Cast { rows: [("n1", rows)].into(), evacuated, ..Cast::default() };
    scene(seed, cast, vec![read()], &[], |st| async move {
        for _ in 0..20 {
            let told = st.ask("/read/1").await;
            assert_eq!((told.code == 200, told.refused()), (!may.is_empty(), may.is_empty()), "{told:?}");
        }
        assert_eq!(replicas(&st), may.iter().map(|r| r.to_string()).collect());
    });
}

/// Evacuated between two attempts: the other replica of that zone is not asked any more.
#[rstest]
fn an_evacuation_counts_at_once(#[values(1, 2, 3)] seed: u64) {
    let rows = [("n1", vec![row(1, 0), row(2, 0)]), ("n2", vec![row(3, 19)])].into();
    let cast = Cast { rows, ..Cast::default() };
    scene(seed, cast, vec![write()], &[Declines(503, 400)], |st: Arc<Stage>| async move {
        let asked = tokio::spawn({
            let st = st.clone();
            async move { st.ask("/write/1").await }
        });
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(st.came().len(), 1);
        st.evacuate("n1");
        let told = asked.await.expect("an answer");
        assert_eq!((told.code.as_u16(), told.body.as_str()), (200, "from r3"));
        assert_eq!(st.came().len(), 2);
    });
}

/// Told from the head or the body, with nothing asked of a replica.
#[rstest]
#[case::other_host("/read/1", "example.net", 3, 404)]
#[case::other_path("/reads/1", "EXAMPLE.org", 3, 404)]
#[case::prefix_without_its_slash("/read", "example.org", 3, 404)]
#[case::at_the_limit("/read/1", "EXAMPLE.org", MOST_BODY, 200)]
#[case::over_it("/read/1", "EXAMPLE.org", MOST_BODY + 1, 413)]
fn from_the_head(
    #[case] path: &'static str,
    #[case] host: &'static str,
    #[case] body: usize,
    #[case] code: u16,
) {
    scene(1, Cast::default(), vec![read()], &[], |st| async move {
        let told = st.send_to(host, path, &[], full("x".repeat(body))).await;
        assert_eq!(told.code, code, "{told:?}");
        assert!(told.head.get("retry-after").is_none());
        assert_eq!(st.came().len(), usize::from(code == 200));
    });
}

/// A body whose length was not told is bounded too.
#[rstest]
#[case::below(6, 200)]
#[case::over(7, 413)]
fn bodies_in_chunks_are_bounded(#[case] chunks: usize, #[case] code: u16) {
    scene(1, Cast::default(), vec![read()], &[], |st| async move {
        let told = st.ask_in_chunks("/read/1", chunks).await;
        assert_eq!(told.code, code, "{told:?}");
        assert_eq!(st.came().len(), usize::from(code == 200));
    });
}

/// A body that is told to be too long is not waited for.
#[test]
fn too_long_by_the_head() {
    scene(1, Cast::default(), vec![read()], &[], |st| async move {
        let told = st.ask_without_its_body("/read/1", MOST_BODY + 1).await;
        assert_eq!(told.code, 413, "{told:?}");
        assert_eq!(told.head.get("connection").expect("the rest is not read"), "close");
        assert_eq!(st.came().len(), 0);
    });
}

/// The caller's own time bounds a request, and what was sent is not called refused at its end.
#[rstest]
#[case::held(read(), "300", 504, 1)]
#[case::nothing_left(read(), "0", 503, 0)]
fn the_callers_time(
    #[case] r: Route,
    #[case] left: &'static str,
    #[case] code: u16,
    #[case] arrivals: usize,
) {
    scene(1, Cast::default(), vec![r], &[Holds; 3], |st| async move {
        let told = st.send("/read/1", &[("x-left", left)], full("ask")).await;
        assert_eq!((told.code.as_u16(), st.came().len()), (code, arrivals), "{told:?}");
        assert!(told.ms < 600, "{told:?}");
    });
}

/// Connections that replicas close behind an answer cost a reader nothing, and a write neither.
#[rstest]
fn closed_connections_cost_nothing(#[values(1, 2, 3)] seed: u64, #[values(0, 1, 3, 500)] pause: u64) {
    let cast = Cast { tries: 1.0, ..Cast::default() };
    scene(seed, cast, vec![read(), write()], &[Leaves; 20], |st| async move {
        for n in 0..20 {
            let told = st.ask(if n % 2 == 0 { "/read/1" } else { "/write/1" }).await;
            assert_eq!(told.code, 200, "{told:?}");
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        assert_eq!(st.came().len(), 20);
    });
}

/// What is tried elsewhere holds up no stream whose own replica goes on: it pauses for 2.5 s, and who
/// is asked meanwhile says nothing.
#[rstest]
fn an_attempt_elsewhere_holds_up_nothing(#[values(1, 2, 3)] seed: u64) {
    scene(seed, Cast::default(), vec![talk()], &[Pause(3, 2_500), Holds], |st| async move {
        let told = st.ask("/talk/1").await;
        assert_eq!(told.body, events(1..=EVENTS));
        assert!(told.ms < 5_000, "its own replica was done after 3 s: {} ms", told.ms);
    });
}
