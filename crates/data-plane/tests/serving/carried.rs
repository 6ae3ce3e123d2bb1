//! The way of a request, from a client's head to a replica's last byte (design 9.2, 9.6, 9.8).

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

/// A stream that may be taken up; 500 ms between events are in time, a second of silence is long.
fn talk() -> Route {
    Route { resumable: true, max_event_gap_ms: Some(500), ..route("talk", RouteKind::Streaming) }
}

fn replicas(fixture: &RouterFixture) -> BTreeSet<String> {
    fixture.received_requests().into_iter().map(|c| c.replica).collect()
}

/// What may not be repeated is sent once, whatever happens after its bytes went out; it is not called
/// refused then, and nothing of a doubtful answer is passed on.
#[rstest]
#[case::answered(Answer, 200, "from")]
#[case::own_failure(Status(500), 500, "from")]
#[case::closed(ClosesConnection, 502, "")]
#[case::held(NeverAnswers, 504, "")]
#[case::broken_off(TruncatesBody, 502, "")]
#[case::endless(UndelimitedBody, 502, "")]
#[case::other_id(ForeignId, 502, "")]
#[case::no_seal(OmitsSeal, 502, "")]
fn a_write_is_sent_once(
    #[case] a: ReplicaBehavior,
    #[case] code: u16,
    #[case] says: &'static str,
    #[values(1, 2, 3)] seed: u64,
) {
    run_scenario(seed, Setup::default(), vec![write()], &[a], |fixture| async move {
        let response = fixture.post("/write/1").await;
        assert_eq!(response.status, code, "{response:?}");
        assert_eq!(response.body.contains("from"), says == "from", "{response:?}");
        assert!(response.headers.get("retry-after").is_none(), "{response:?}");
        assert_eq!(response.headers.get("x-request").expect("the own id"), "own");
        assert_eq!(fixture.received_requests().len(), 1);
    });
}

/// The same for a stream that may not be taken up: cut, it ends as cut, behind whole events only.
#[rstest]
#[case::at_once(0)]
#[case::later(3)]
#[case::at_the_last(9)]
fn a_cut_stream_that_may_not_run_again_ends_as_cut(#[case] last: u64, #[values(1, 2, 3)] seed: u64) {
    let r = Route { resumable: false, ..talk() };
    run_scenario(seed, Setup::default(), vec![r], &[CutsStreamAfter(last)], |fixture| async move {
        let response = fixture.post("/talk/1").await;
        assert!(!response.complete, "{response:?}");
        assert_eq!(response.body, events(1..=last));
        assert_eq!(fixture.received_requests().len(), 1);
    });
}

/// Sent on where that is allowed, to another replica each time, within `tries` and what is in hand.
#[rstest]
#[case::declined(write(), &[Declines(503, 0), Declines(429, 0)], 20.0, 200, 3)]
#[case::declined_otherwise(write(), &[Declines(400, 0), Declines(408, 0)], 20.0, 200, 3)]
#[case::another_life(write(), &[OtherIncarnation], 20.0, 200, 2)]
#[case::declined_by_all(write(), &[Declines(503, 0); 3], 20.0, 503, 3)]
#[case::tries_used_up(Route { tries: 2, ..write() }, &[Declines(503, 0); 3], 20.0, 503, 2)]
#[case::one_try(Route { tries: 1, ..write() }, &[OtherIncarnation], 20.0, 503, 1)]
#[case::none_in_hand(write(), &[Declines(503, 0); 3], 1.0, 503, 2)]
#[case::declined_then_closed(write(), &[Declines(503, 0), ClosesConnection], 20.0, 502, 2)]
#[case::read_again(read(), &[ClosesConnection], 20.0, 200, 2)]
#[case::read_broken_off(read(), &[TruncatesBody, UndelimitedBody], 20.0, 200, 3)]
#[case::read_other_id(read(), &[ForeignId, OmitsSeal], 20.0, 200, 3)]
#[case::read_other_ids(read(), &[ForeignId; 3], 20.0, 502, 3)]
#[case::read_no_seals(read(), &[OmitsSeal; 3], 20.0, 502, 3)]
#[case::read_failure(read(), &[Status(500)], 20.0, 200, 2)]
#[case::read_failures(read(), &[Status(500); 3], 20.0, 500, 3)]
#[case::read_closed_then_declined(read(), &[ClosesConnection, Declines(503, 0), ClosesConnection], 20.0, 502, 3)]
fn further_tries(
    #[case] r: Route,
    #[case] acts: &'static [ReplicaBehavior],
    #[case] in_hand: f64,
    #[case] code: u16,
    #[case] arrivals: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let path = format!("/{}/1", r.name);
    let cast = Setup { tries: in_hand, ..Setup::default() };
    run_scenario(seed, cast, vec![r], acts, |fixture| async move {
        let response = fixture.post(&path).await;
        assert_eq!(response.status, code, "{response:?}");
        assert_eq!(response.refused(), code == 503, "{response:?}");
        let came = fixture.received_requests();
        assert_eq!((came.len(), replicas(&fixture).len()), (arrivals, arrivals), "{came:?}");
        assert!(came.iter().all(|c| c.wanted.as_ref() == Some(&c.replica)), "{came:?}");
        if code == 200 {
            assert_eq!(response.body, format!("from {}", came[arrivals - 1].replica));
        }
    });
}

/// Where nobody listens nothing ran: a write goes on without using up its tries.
#[rstest]
fn nobody_there_is_no_try(#[values(1, 2, 3)] seed: u64) {
    let cast = Setup { gone: vec![0, 1], tries: 1.0, ..Setup::default() };
    run_scenario(seed, cast, vec![Route { tries: 1, ..write() }], &[], |fixture| async move {
        for _ in 0..5 {
            let response = fixture.post("/write/1").await;
            assert_eq!((response.status.as_u16(), response.body.as_str()), (200, "from r3"));
        }
        assert_eq!(fixture.received_requests().len(), 5);
    });
}

/// A cut stream goes on at another replica behind the last event that went out, each exactly once.
#[rstest]
#[case::before_any(&[CutsStreamAfter(0)], &[None, None])]
#[case::once(&[CutsStreamAfter(3)], &[None, Some("3")])]
#[case::twice(&[CutsStreamAfter(3), CutsStreamAfter(7)], &[None, Some("3"), Some("7")])]
#[case::cut_again_at_once(&[CutsStreamAfter(3), CutsStreamAfter(3)], &[None, Some("3"), Some("3")])]
#[case::declined_there(&[CutsStreamAfter(3), Declines(503, 0)], &[None, Some("3"), Some("3")])]
#[case::closed_there(&[CutsStreamAfter(3), ClosesConnection], &[None, Some("3"), Some("3")])]
#[case::other_id_there(&[CutsStreamAfter(3), ForeignId], &[None, Some("3"), Some("3")])]
#[case::no_seal_there(&[CutsStreamAfter(3), OmitsSeal], &[None, Some("3"), Some("3")])]
#[case::failure_there(&[CutsStreamAfter(3), Status(500)], &[None, Some("3"), Some("3")])]
fn a_cut_stream_goes_on(
    #[case] acts: &'static [ReplicaBehavior],
    #[case] after: &'static [Option<&'static str>],
    #[values(1, 2, 3)] seed: u64,
) {
    run_scenario(seed, Setup::default(), vec![talk()], acts, |fixture| async move {
        let response = fixture.post("/talk/1").await;
        assert!(response.status == 200 && response.complete, "{response:?}");
        assert_eq!(response.body, events(1..=EVENT_COUNT));
        let came = fixture.received_requests();
        assert_eq!(came.iter().map(|c| c.after.as_deref()).collect::<Vec<_>>(), after);
        assert_eq!(replicas(&fixture).len(), after.len(), "another one each time: {came:?}");
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
    let cast = Setup { tries: in_hand, ..Setup::default() };
    run_scenario(
        seed,
        cast,
        vec![r],
        &[CutsStreamAfter(1), CutsStreamAfter(2), CutsStreamAfter(3), CutsStreamAfter(4)],
        |fixture| async move {
            let response = fixture.post("/talk/1").await;
            assert!(!response.complete, "{response:?}");
            assert_eq!(response.body, events(1..=last));
        },
    );
}

fn alone() -> Setup {
    Setup { rows: [("n1", vec![replica_row(1, 0)])].into(), ..Setup::default() }
}

/// The incident: streams were given up because they were silent. Silence alone ends none: where nobody
/// can take it up, it waits for its own replica, also beyond the time that the route holds.
#[rstest]
#[case::no_other(alone(), talk(), &[PausesStreamAfter(3, 8_000)], 1)]
#[case::beyond_the_hold(alone(), talk(), &[PausesStreamAfter(3, 30_000)], 1)]
#[case::no_try_left(Setup::default(), Route { tries: 1, ..talk() }, &[PausesStreamAfter(3, 8_000)], 1)]
#[case::not_resumable(Setup::default(), Route { resumable: false, ..talk() }, &[PausesStreamAfter(3, 8_000)], 1)]
#[case::declined_elsewhere(Setup::default(), talk(), &[PausesStreamAfter(3, 8_000), Declines(503, 0), Declines(503, 0)], 3)]
#[case::gone_elsewhere(Setup { gone: vec![1, 2], ..Setup::default() }, talk(), &[PausesStreamAfter(3, 8_000)], 1)]
fn silence_alone_ends_no_stream(
    #[case] cast: Setup,
    #[case] r: Route,
    #[case] acts: &'static [ReplicaBehavior],
    #[case] arrivals: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    run_scenario(seed, cast, vec![r], acts, |fixture| async move {
        let response = fixture.post("/talk/1").await;
        assert!(response.status == 200 && response.complete, "{response:?}");
        assert_eq!(response.body, events(1..=EVENT_COUNT));
        assert_eq!(fixture.received_requests().len(), arrivals);
    });
}

/// A silent one is taken up elsewhere, before its own replica would have gone on.
#[rstest]
fn a_silent_stream_goes_on_elsewhere(#[values(0, 3, 9)] last: u64, #[values(1, 2, 3)] seed: u64) {
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

fn homed(r: Route, homes: &[&str]) -> Route {
    Route { homes: homes.iter().map(Region::new).collect(), ..r }
}

/// Replicas 1 and 2 in the north, 3 and 4 in the south; what became of those of each.
fn regions(north: impl Fn(ReplicaRow) -> ReplicaRow, south: impl Fn(ReplicaRow) -> ReplicaRow) -> Setup {
    let north = [1, 2].map(|n| north(replica_row(n, 0))).to_vec();
    let south = [3, 4].map(|n| south(replica_row(n, 0))).to_vec();
    Setup { rows: [("n1", north), ("s1", south)].into(), ..Setup::default() }
}

fn two_regions(south: impl Fn(ReplicaRow) -> ReplicaRow) -> Setup {
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
#[case::evacuated(Setup { evacuated: Some("s1"), ..two_regions(|r| r) }, &[], false)]
#[case::full(two_regions(|r| ReplicaRow { running: 100_000, ..r }), &[], false)]
#[case::all_unwell(regions(unwell, unwell), &[], true)]
#[case::none_well_none_at_home(regions(unwell, draining), &[], false)]
#[case::declining(two_regions(|r| r), &[Declines(503, 0); 4], false)]
fn homes_bind(
    #[case] cast: Setup,
    #[case] acts: &'static [ReplicaBehavior],
    #[case] served: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let routes = vec![homed(read(), &["south"]), homed(talk(), &["south"])];
    run_scenario(seed, cast, routes, acts, |fixture| async move {
        let response = fixture.post("/read/1").await;
        assert_eq!((response.status == 200, response.refused()), (served, !served), "{response:?}");
        fixture.set_behaviors(if acts.is_empty() { &[CutsStreamAfter(3), CutsStreamAfter(5)] } else { acts });
        let response = fixture.post("/talk/1").await;
        assert_eq!((response.status == 200, response.refused()), (served, !served), "{response:?}");
        let outside = ["r1", "r2"].map(String::from).into();
        assert!(replicas(&fixture).is_disjoint(&outside), "{:?}", fixture.received_requests());
    });
}

/// What leaves is asked nothing, whatever else there is; refused where nobody is left.
#[rstest]
#[case::draining(vec![replica_row(1, 0), draining(replica_row(2, 0))], None, &["r1"])]
#[case::all_draining(vec![draining(replica_row(1, 0)), draining(replica_row(2, 0))], None, &[])]
#[case::evacuated(vec![replica_row(1, 0), replica_row(2, 0)], Some("n1"), &[])]
#[case::another_area(vec![replica_row(1, 0), replica_row(2, 0)], Some("n2"), &["r1", "r2"])]
fn what_leaves_is_asked_nothing(
    #[case] rows: Vec<ReplicaRow>,
    #[case] evacuated: Option<&'static str>,
    #[case] may: &'static [&'static str],
    #[values(1, 2, 3)] seed: u64,
) {
    let cast = Setup { rows: [("n1", rows)].into(), evacuated, ..Setup::default() };
    run_scenario(seed, cast, vec![read()], &[], |fixture| async move {
        for _ in 0..20 {
            let response = fixture.post("/read/1").await;
            assert_eq!(
                (response.status == 200, response.refused()),
                (!may.is_empty(), may.is_empty()),
                "{response:?}"
            );
        }
        assert_eq!(replicas(&fixture), may.iter().map(|r| r.to_string()).collect());
    });
}

/// Evacuated between two attempts: the other replica of that zone is not asked any more.
#[rstest]
fn an_evacuation_counts_at_once(#[values(1, 2, 3)] seed: u64) {
    let rows = [("n1", vec![replica_row(1, 0), replica_row(2, 0)]), ("n2", vec![replica_row(3, 19)])].into();
    let cast = Setup { rows, ..Setup::default() };
    run_scenario(
        seed,
        cast,
        vec![write()],
        &[Declines(503, 400)],
        |fixture: Arc<RouterFixture>| async move {
            let asked = tokio::spawn({
                let fixture = fixture.clone();
                async move { fixture.post("/write/1").await }
            });
            tokio::time::sleep(Duration::from_millis(300)).await;
            assert_eq!(fixture.received_requests().len(), 1);
            fixture.evacuate("n1");
            let response = asked.await.expect("an answer");
            assert_eq!((response.status.as_u16(), response.body.as_str()), (200, "from r3"));
            assert_eq!(fixture.received_requests().len(), 2);
        },
    );
}

/// ClientResponse from the head or the body, with nothing asked of a replica.
#[rstest]
#[case::other_host("/read/1", "example.net", 3, 404)]
#[case::other_path("/reads/1", "EXAMPLE.org", 3, 404)]
#[case::prefix_without_its_slash("/read", "example.org", 3, 404)]
#[case::at_the_limit("/read/1", "EXAMPLE.org", MAX_BODY_BYTES, 200)]
#[case::over_it("/read/1", "EXAMPLE.org", MAX_BODY_BYTES + 1, 413)]
fn from_the_head(
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

/// A body whose length was not told is bounded too.
#[rstest]
#[case::below(6, 200)]
#[case::over(7, 413)]
fn bodies_in_chunks_are_bounded(#[case] chunks: usize, #[case] code: u16) {
    run_scenario(1, Setup::default(), vec![read()], &[], |fixture| async move {
        let response = fixture.post_chunked("/read/1", chunks).await;
        assert_eq!(response.status, code, "{response:?}");
        assert_eq!(fixture.received_requests().len(), usize::from(code == 200));
    });
}

/// A body that is told to be too long is not waited for.
#[test]
fn too_long_by_the_head() {
    run_scenario(1, Setup::default(), vec![read()], &[], |fixture| async move {
        let response = fixture.post_withholding_body("/read/1", MAX_BODY_BYTES + 1).await;
        assert_eq!(response.status, 413, "{response:?}");
        assert_eq!(response.headers.get("connection").expect("the rest is not read"), "close");
        assert_eq!(fixture.received_requests().len(), 0);
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
    run_scenario(1, Setup::default(), vec![r], &[NeverAnswers; 3], |fixture| async move {
        let response = fixture.post_with("/read/1", &[("x-left", left)], full("ask")).await;
        assert_eq!(
            (response.status.as_u16(), fixture.received_requests().len()),
            (code, arrivals),
            "{response:?}"
        );
        assert!(response.elapsed_ms < 600, "{response:?}");
    });
}

/// Connections that replicas close behind an answer cost a reader nothing, and a write neither.
#[rstest]
fn closed_connections_cost_nothing(#[values(1, 2, 3)] seed: u64, #[values(0, 1, 3, 500)] pause: u64) {
    let cast = Setup { tries: 1.0, ..Setup::default() };
    run_scenario(seed, cast, vec![read(), write()], &[AnswersAndCloses; 20], |fixture| async move {
        for n in 0..20 {
            let response = fixture.post(if n % 2 == 0 { "/read/1" } else { "/write/1" }).await;
            assert_eq!(response.status, 200, "{response:?}");
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        assert_eq!(fixture.received_requests().len(), 20);
    });
}

/// What is tried elsewhere holds up no stream whose own replica goes on: it pauses for 2.5 s, and who
/// is asked meanwhile says nothing.
#[rstest]
fn an_attempt_elsewhere_holds_up_nothing(#[values(1, 2, 3)] seed: u64) {
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
                "its own replica was done after 3 s: {} ms",
                response.elapsed_ms
            );
        },
    );
}
