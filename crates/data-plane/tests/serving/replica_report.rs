//! Tests of `data_plane::serving::replica_report` and of what a probe's head tells.

use crate::test_data::{replica_report, replica_row};
use common::Tick;
use data_plane::serving::{
    EngineReport, ListedReplica,
    health_prober::parse_load_header,
    replica_report::{ProbeResult, ReplicaHealth, ReplicaRow, lending_grants},
};
use hyper::{HeaderMap, header::HeaderValue};
use rstest::rstest;

const TOLD: EngineReport = EngineReport { running: 3, waiting: 1, memory_used: 5, memory_total: 9 };

/// Well or not after each of these, where two looks in silence are too many.
#[rstest]
#[case::silence(&[ProbeResult::NoAnswer, ProbeResult::NoAnswer, ProbeResult::NoAnswer], &[true, false, false])]
#[case::heard_between(&[ProbeResult::NoAnswer, ProbeResult::Answered(TOLD), ProbeResult::NoAnswer], &[true, true, true])]
#[case::refused(&[ProbeResult::Refused, ProbeResult::Answered(TOLD)], &[false, true])]
#[case::unwell(&[ProbeResult::Unhealthy, ProbeResult::NoAnswer], &[false, false])]
fn wellness(#[case] probes: &[ProbeResult], #[case] want: &[bool]) {
    let mut w = ReplicaHealth::default();
    let got: Vec<bool> = probes
        .iter()
        .map(|p| {
            w.record(*p, 2);
            w.is_healthy(2)
        })
        .collect();
    assert_eq!(got, want);
}

/// The last report stands while nothing newer is told.
#[rstest]
#[case::ready(false, None, false)]
#[case::draining(true, None, true)]
#[case::to_be_taken_away(false, Some(30_000), true)]
fn rows_join_list_and_report(#[case] draining: bool, #[case] time_left_ms: Option<u64>, #[case] want: bool) {
    let mut w = ReplicaHealth::default();
    w.record(ProbeResult::Answered(TOLD), 2);
    w.record(ProbeResult::NoAnswer, 2);
    let l = ListedReplica {
        id: "r1".into(),
        service: "chat".into(),
        addr: ([10, 0, 1, 1], 80).into(),
        zone: "n1".into(),
        slots: 20,
        draining,
        cold_left_ms: 700,
        time_left_ms,
    };
    let told =
        ReplicaRow { waiting: 1, memory_used: 5, memory_total: 9, cold_left_ms: 700, ..replica_row(1, 3) };
    assert_eq!(w.row(&l, 2), ReplicaRow { draining: want, ..told });
}

/// A share of the room below 0.95 of the slots, by service, cut into equal parts for those who ask.
#[rstest]
#[case::one_asker(0.8, 1, 16)]
#[case::parts_round_up(0.8, 3, 6)]
#[case::nobody_yet(0.8, 0, 16)]
#[case::nothing_lent(0.0, 1, 0)]
fn lends_a_share_of_warm_room(#[case] share: f64, #[case] askers: usize, #[case] want: u32) {
    let rows = [
        replica_row(1, 9),
        ReplicaRow { waiting: 9, ..replica_row(2, 0) },
        replica_row(3, 40),
        ReplicaRow { healthy: false, ..replica_row(4, 0) },
        ReplicaRow { draining: true, ..replica_row(5, 0) },
        ReplicaRow { cold_left_ms: 1, ..replica_row(6, 0) },
        ReplicaRow { service: "draw".into(), ..replica_row(7, 19) },
    ];
    assert_eq!(lending_grants(&rows, share, askers), [("chat".into(), want), ("draw".into(), 0)].into());
}

/// Figures are as old as their publisher says, and never younger than when they came.
#[rstest]
#[case::at_once(0, 0, 1_000)]
#[case::waited(300, 0, 1_300)]
#[case::aged(0, 200, 800)]
#[case::waited_longer_than_it_took(900, 100, 1_400)]
fn fresh_at_the_latest(#[case] waited_ms: u64, #[case] age_ms: u64, #[case] want: u64) {
    let mut b = replica_report("n1", 1, vec![]);
    (b.waited_ms, b.age_ms) = (waited_ms, age_ms);
    assert_eq!(b.fresh_at(Tick(1_000), Tick(1_500)), Tick(want));
}

#[rstest]
#[case::three(b"3,4,8", Some((3, 4)))]
#[case::two(b"3,4", Some((3, 4)))]
#[case::spaces(b" 3 , 4 ", Some((3, 4)))]
#[case::odd_slots(b"3,4,many", Some((3, 4)))]
#[case::one(b"3", None)]
#[case::none(b"", None)]
#[case::word(b"a,4", None)]
#[case::second_word(b"3,b", None)]
#[case::negative(b"-1,4", None)]
#[case::fraction(b"1.5,4", None)]
#[case::too_large(b"4294967296,0", None)]
#[case::largest(b"4294967295,0", Some((u32::MAX, 0)))]
#[case::gap(b"3,,4", None)]
#[case::no_text(b"\xff,1", None)]
fn load_of_odd_values(#[case] value: &[u8], #[case] want: Option<(u32, u32)>) {
    let name = hyper::header::HeaderName::from_static("x-load");
    assert_eq!(parse_load_header(&HeaderMap::new(), &name), None);
    let h = HeaderMap::from_iter([(name.clone(), HeaderValue::from_bytes(value).expect("a value"))]);
    let want = want.map(|(running, waiting)| EngineReport { running, waiting, ..Default::default() });
    assert_eq!(parse_load_header(&h, &name), want);
}

/// A replica that was away may have turned cold: it counts as cold until a list can say whether it has. Seen on the
/// users' bench: it was well with the first probe, and all routers sent to it as to a warm one.
#[rstest]
#[case::never_away(None, 0, 1_000, 0)]
#[case::the_list_is_older(Some(1_000), 900, 1_500, 2_500)]
#[case::the_list_was_begun_too_soon(Some(1_000), 1_799, 1_900, 2_100)]
#[case::the_list_can_tell(Some(1_000), 1_800, 1_900, 0)]
#[case::no_list_for_long(Some(1_000), 900, 4_500, 0)]
fn what_comes_back_may_be_cold(
    #[case] returned: Option<u64>,
    #[case] listed: u64,
    #[case] now: u64,
    #[case] want: u64,
) {
    let health = ReplicaHealth { recovered_at: returned.map(Tick), ..ReplicaHealth::default() };
    assert_eq!(health.unlisted_cold_ms(3_000, Tick(listed), 800, Tick(now)), want);
}
