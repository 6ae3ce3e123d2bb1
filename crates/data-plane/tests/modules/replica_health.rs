//! Tests of `data_plane::replica_health`.

use common::Tick;
use data_plane::replica_health::{ProbeResult, ReplicaHealth, Report};
use rstest::rstest;

fn report(healthy: Option<bool>, capacity: Option<f64>, consumption: Option<f64>) -> Option<Report> {
    Some(Report { healthy, capacity, consumption })
}

/// Absent, unknown and invalid fields are ignored, and a report of several models is read too (design 5.4).
#[rstest]
#[case::plain(r#"{"healthy":true,"capacity":8,"consumption":2.5}"#, report(Some(true), Some(8.0), Some(2.5)))]
#[case::unknown_fields(r#"{"capacity":8,"colour":"red"}"#, report(None, Some(8.0), None))]
#[case::wrong_types(r#"{"capacity":"much","consumption":-1}"#, report(None, None, None))]
#[case::several_models(
    r#"{"models":[{"name":"x","payload":{"capacity":1}},{"name":"m","payload":{"healthy":false,"capacity":9}}]}"#,
    report(Some(false), Some(9.0), None)
)]
#[case::not_json("fine", None)]
fn reports_are_read_tolerantly(#[case] body: &str, #[case] expected: Option<Report>) {
    assert_eq!(Report::read(body.as_bytes(), "m"), expected);
}

/// A replica is unhealthy after three failed probes, and cold when it comes back.
#[test]
fn unhealthy_after_three_failures_and_cold_after_that() {
    let mut health = ReplicaHealth::default();
    let healthy = || ProbeResult::Reported(report(None, Some(10.0), Some(1.0)).unwrap());
    health.record(healthy(), 3, 4.0, Tick(1_000));
    assert!(health.healthy);
    let ramp: Vec<_> =
        [0, 500, 2_500, 5_000, 9_999, 10_000].map(|t| health.allowance(10_000, Tick(1_000 + t))).into();
    assert_eq!(ramp, [Some(1), Some(1), Some(2), Some(5), Some(9), None]);
    (0..2).for_each(|n| health.record(ProbeResult::NoAnswer, 3, 4.0, Tick(20_000 + n)));
    assert!(health.healthy, "two failed probes are not three");
    health.record(ProbeResult::NoAnswer, 3, 4.0, Tick(20_003));
    assert!(!health.healthy);
    health.record(healthy(), 3, 4.0, Tick(30_000));
    assert_eq!(health.allowance(10_000, Tick(30_001)), Some(1));
    health.record(ProbeResult::Reported(report(Some(false), None, None).unwrap()), 3, 4.0, Tick(31_000));
    assert!(!health.healthy, "a replica that calls itself unhealthy is unhealthy at once");
}

/// A replica that refused one connection is cold when it comes back. In a simulation (seed 4), one that was absent for
/// less than three probes came back cold, and got its full share of requests at once.
#[test]
fn cold_after_a_refused_connection() {
    let mut health = ReplicaHealth::default();
    let healthy = || ProbeResult::Reported(report(None, Some(10.0), Some(1.0)).unwrap());
    health.record(healthy(), 3, 4.0, Tick(1_000));
    health.record(ProbeResult::NoAnswer, 3, 4.0, Tick(21_000));
    health.record(healthy(), 3, 4.0, Tick(22_000));
    assert_eq!(health.allowance(10_000, Tick(22_001)), None, "one unanswered probe is no restart");
    health.record(ProbeResult::Refused, 3, 4.0, Tick(23_000));
    assert!(health.healthy);
    health.record(healthy(), 3, 4.0, Tick(24_000));
    assert_eq!(health.allowance(10_000, Tick(24_001)), Some(1));
}

/// An absent replica is reported with the first step of its slow start. In a simulation (seed 6), it was reported as
/// warm until three probes had failed, so a router that took over the probing before that did not know that it was
/// absent.
#[test]
fn absent_replica_stays_at_the_first_step() {
    let mut health = ReplicaHealth::default();
    let healthy = || ProbeResult::Reported(report(None, Some(20.0), Some(1.0)).unwrap());
    health.record(healthy(), 3, 4.0, Tick(1_000));
    health.record(ProbeResult::NoAnswer, 3, 4.0, Tick(21_000));
    assert_eq!(health.allowance(10_000, Tick(21_001)), None, "one unanswered probe is no restart");
    health.record(ProbeResult::Refused, 3, 4.0, Tick(22_000));
    assert!(health.healthy);
    assert_eq!(health.allowance(10_000, Tick(22_001)), Some(2));
    assert_eq!(health.allowance(10_000, Tick(99_000)), Some(2), "it does not warm up while it is absent");
    health.record(healthy(), 3, 4.0, Tick(100_000));
    assert_eq!(health.allowance(10_000, Tick(105_000)), Some(10));
}
