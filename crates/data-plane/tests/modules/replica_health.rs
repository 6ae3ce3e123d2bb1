//! Tests of `data_plane::replica_health`.

use common::Tick;
use data_plane::replica_health::{ProbeResult, ReplicaHealth, Report};
use rstest::rstest;

fn rep(healthy: Option<bool>, capacity: Option<f64>, consumption: Option<f64>) -> Option<Report> {
    Some(Report { healthy, capacity, consumption })
}

/// Conformance, design 5.4: absent and unknown fields are left alone, and the source's own
/// shape of a report is read too.
#[rstest]
#[case::plain(r#"{"healthy":true,"capacity":8,"consumption":2.5}"#, rep(Some(true), Some(8.0), Some(2.5)))]
#[case::unknown_fields(r#"{"capacity":8,"colour":"red"}"#, rep(None, Some(8.0), None))]
#[case::wrong_types(r#"{"capacity":"much","consumption":-1}"#, rep(None, None, None))]
#[case::of_models(
    r#"{"models":[{"name":"x","payload":{"capacity":1}},{"name":"m","payload":{"healthy":false,"capacity":9}}]}"#,
    rep(Some(false), Some(9.0), None)
)]
#[case::not_json("fine", None)]
fn reports_are_read_tolerantly(#[case] body: &str, #[case] want: Option<Report>) {
    assert_eq!(Report::read(body.as_bytes(), "m"), want);
}

#[test]
fn down_after_three_and_cold_when_back() {
    let mut w = ReplicaHealth::default();
    let well = || ProbeResult::Reported(rep(None, Some(10.0), Some(1.0)).unwrap());
    w.record(well(), 3, 4.0, Tick(1_000));
    assert!(w.healthy);
    let ramp: Vec<_> =
        [0, 500, 2_500, 5_000, 9_999, 10_000].map(|t| w.allowance(10_000, Tick(1_000 + t))).into();
    assert_eq!(ramp, [Some(1), Some(1), Some(2), Some(5), Some(9), None]);
    (0..2).for_each(|n| w.record(ProbeResult::NoAnswer, 3, 4.0, Tick(20_000 + n)));
    assert!(w.healthy, "two failed checks are not three");
    w.record(ProbeResult::NoAnswer, 3, 4.0, Tick(20_003));
    assert!(!w.healthy);
    w.record(well(), 3, 4.0, Tick(30_000));
    assert_eq!(w.allowance(10_000, Tick(30_001)), Some(1));
    w.record(ProbeResult::Reported(rep(Some(false), None, None).unwrap()), 3, 4.0, Tick(31_000));
    assert!(!w.healthy, "what says itself that it is unwell is believed at once");
}

/// Found by the world (seed 4): a replica that was away for less than three checks came back
/// cold and got its full share at once. What refuses a connection is not there any more.
#[test]
fn what_was_absent_is_cold_when_back_however_soon() {
    let mut w = ReplicaHealth::default();
    let well = || ProbeResult::Reported(rep(None, Some(10.0), Some(1.0)).unwrap());
    w.record(well(), 3, 4.0, Tick(1_000));
    w.record(ProbeResult::NoAnswer, 3, 4.0, Tick(21_000));
    w.record(well(), 3, 4.0, Tick(22_000));
    assert_eq!(w.allowance(10_000, Tick(22_001)), None, "one check without an answer is no restart");
    w.record(ProbeResult::Refused, 3, 4.0, Tick(23_000));
    assert!(w.healthy);
    w.record(well(), 3, 4.0, Tick(24_000));
    assert_eq!(w.allowance(10_000, Tick(24_001)), Some(1));
}

/// Found by the world (seed 6): what refuses a connection was told as warm until it had failed three
/// checks, so a home that took over in between knew nothing of its absence.
#[test]
fn what_is_absent_has_the_first_step_of_the_ramp() {
    let mut w = ReplicaHealth::default();
    let well = || ProbeResult::Reported(rep(None, Some(20.0), Some(1.0)).unwrap());
    w.record(well(), 3, 4.0, Tick(1_000));
    w.record(ProbeResult::NoAnswer, 3, 4.0, Tick(21_000));
    assert_eq!(w.allowance(10_000, Tick(21_001)), None, "one check without an answer is no restart");
    w.record(ProbeResult::Refused, 3, 4.0, Tick(22_000));
    assert!(w.healthy);
    assert_eq!(w.allowance(10_000, Tick(22_001)), Some(2));
    assert_eq!(w.allowance(10_000, Tick(99_000)), Some(2), "it does not warm up while it is away");
    w.record(well(), 3, 4.0, Tick(100_000));
    assert_eq!(w.allowance(10_000, Tick(105_000)), Some(10));
}
