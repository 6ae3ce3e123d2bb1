//! Replica health, report rows and lending grants, and the load header of probe answers.

use crate::test_data::{replica_report, replica_row};
use common::Tick;
use data_plane::serving::{
    EngineReport, ListedReplica,
    health_prober::parse_load_header,
    replica_report::{ProbeResult, ReplicaHealth, ReplicaRow, lending_grants},
};
use hyper::{HeaderMap, header::HeaderValue};
use rstest::rstest;

const REPORTED: EngineReport = EngineReport { running: 3, waiting: 1, memory_used: 5, memory_total: 9 };

/// Health after each probe, if two missing answers in a row make a replica unhealthy.
#[rstest]
#[case::silence(&[ProbeResult::NoAnswer, ProbeResult::NoAnswer, ProbeResult::NoAnswer], &[true, false, false])]
#[case::answer_between(&[ProbeResult::NoAnswer, ProbeResult::Answered(REPORTED), ProbeResult::NoAnswer], &[true, true, true])]
#[case::refused(&[ProbeResult::Refused, ProbeResult::Answered(REPORTED)], &[false, true])]
#[case::unhealthy(&[ProbeResult::Unhealthy, ProbeResult::NoAnswer], &[false, false])]
fn health_after_probes(#[case] probes: &[ProbeResult], #[case] want: &[bool]) {
    let mut health = ReplicaHealth::default();
    let got: Vec<bool> = probes
        .iter()
        .map(|probe| {
            health.record(*probe, 2);
            health.is_healthy(2)
        })
        .collect();
    assert_eq!(got, want);
}

/// The last reported load stays while no newer one arrives.
#[rstest]
#[case::ready(false, None, false)]
#[case::draining(true, None, true)]
#[case::to_be_taken_away(false, Some(30_000), true)]
fn rows_combine_list_and_reported_load(
    #[case] draining: bool,
    #[case] time_left_ms: Option<u64>,
    #[case] want: bool,
) {
    let mut health = ReplicaHealth::default();
    health.record(ProbeResult::Answered(REPORTED), 2);
    health.record(ProbeResult::NoAnswer, 2);
    let listed = ListedReplica {
        id: "r1".into(),
        service: "chat".into(),
        addr: ([10, 0, 1, 1], 80).into(),
        zone: "n1".into(),
        slots: 20,
        draining,
        cold_left_ms: 700,
        time_left_ms,
    };
    let expected =
        ReplicaRow { waiting: 1, memory_used: 5, memory_total: 9, cold_left_ms: 700, ..replica_row(1, 3) };
    assert_eq!(health.row(&listed, 2), ReplicaRow { draining: want, ..expected });
}

/// A share of the free capacity below 0.95 of the slots, by service, divided equally among the borrowing routers.
#[rstest]
#[case::one_borrower(0.8, 1, 16)]
#[case::parts_round_up(0.8, 3, 6)]
#[case::no_borrower(0.8, 0, 16)]
#[case::nothing_lent(0.0, 1, 0)]
fn lending_grants_share_free_warm_capacity(#[case] share: f64, #[case] borrowers: usize, #[case] want: u32) {
    let rows = [
        replica_row(1, 9),
        ReplicaRow { waiting: 9, ..replica_row(2, 0) },
        replica_row(3, 40),
        ReplicaRow { healthy: false, ..replica_row(4, 0) },
        ReplicaRow { draining: true, ..replica_row(5, 0) },
        ReplicaRow { cold_left_ms: 1, ..replica_row(6, 0) },
        ReplicaRow { service: "draw".into(), ..replica_row(7, 19) },
    ];
    assert_eq!(lending_grants(&rows, share, borrowers), [("chat".into(), want), ("draw".into(), 0)].into());
}

/// A report is as old as its publisher says, and never newer than its arrival.
#[rstest]
#[case::at_once(0, 0, 1_000)]
#[case::waited(300, 0, 1_300)]
#[case::aged(0, 200, 800)]
#[case::waited_longer_than_it_took(900, 100, 1_400)]
fn fresh_at_bounds_the_age(#[case] waited_ms: u64, #[case] age_ms: u64, #[case] want: u64) {
    let mut report = replica_report("n1", 1, vec![]);
    (report.waited_ms, report.age_ms) = (waited_ms, age_ms);
    assert_eq!(report.fresh_at(Tick(1_000), Tick(1_500)), Tick(want));
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
    let headers = HeaderMap::from_iter([(name.clone(), HeaderValue::from_bytes(value).expect("a value"))]);
    let want = want.map(|(running, waiting)| EngineReport { running, waiting, ..Default::default() });
    assert_eq!(parse_load_header(&headers, &name), want);
}

/// A replica that was unhealthy may have restarted cold: it counts as cold until a list can show whether it did.
/// Otherwise it would count as warm with its first successful probe, and all routers would send to it at full rate.
#[rstest]
#[case::never_unhealthy(None, 0, 1_000, 0)]
#[case::the_list_is_older(Some(1_000), 900, 1_500, 2_500)]
#[case::the_read_started_too_early(Some(1_000), 1_799, 1_900, 2_100)]
#[case::the_list_can_tell(Some(1_000), 1_800, 1_900, 0)]
#[case::warm_up_is_over(Some(1_000), 900, 4_500, 0)]
fn a_recovered_replica_may_be_cold(
    #[case] recovered_at: Option<u64>,
    #[case] list_read_at: u64,
    #[case] now: u64,
    #[case] want: u64,
) {
    let health = ReplicaHealth { recovered_at: recovered_at.map(Tick), ..ReplicaHealth::default() };
    assert_eq!(health.unlisted_cold_ms(3_000, Tick(list_read_at), 800, Tick(now)), want);
}
