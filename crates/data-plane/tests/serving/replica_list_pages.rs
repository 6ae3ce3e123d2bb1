//! What a publisher keeps of the platform's list between reads. Pure.

use crate::replica_list::listed;
use common::{Tick, error::PeerError};
use data_plane::serving::{
    ListedReplica,
    replica_list::{KnownReplicas, ListError, ListRead},
};
use rstest::rstest;

const INTERVAL_MS: u64 = 500;

fn read(pages: &[&[&str]]) -> ListRead {
    let mut read = ListRead::default();
    for page in pages {
        read.add(&"n1".into(), page.iter().map(|id| listed(id, false)).collect());
    }
    read
}

fn ids(known: &KnownReplicas, at: u64) -> Vec<String> {
    known.rows(Tick(at)).unwrap_or_default().iter().map(|row| row.id.to_string()).collect()
}

/// A replica that moves during a read to a page already read is missing from that read, but is not gone.
#[test]
fn a_replica_that_moves_between_pages_is_kept() {
    let mut known = KnownReplicas::default();
    known.record_read(read(&[&["r1", "r2"], &["r3"]]), Tick(0), Tick(0), INTERVAL_MS);
    known.record_read(read(&[&["r1"], &["r2"]]), Tick(1_000), Tick(1_000), INTERVAL_MS);
    assert_eq!(ids(&known, 1_000), ["r1", "r2", "r3"]);
    known.record_read(read(&[&["r1", "r3"], &["r2"]]), Tick(2_000), Tick(2_000), INTERVAL_MS);
    assert_eq!(ids(&known, 2_000), ["r1", "r2", "r3"]);
    known.record_read(read(&[&["r1"], &["r2"]]), Tick(3_000), Tick(3_000), INTERVAL_MS);
    known.record_read(read(&[&["r1"], &["r2"]]), Tick(4_000), Tick(4_000), INTERVAL_MS);
    assert_eq!(ids(&known, 4_000), ["r1", "r2"], "missing twice, it is gone");
}

/// If one read of several pages lacks a replica, the list counts as old as the read before.
#[test]
fn a_replica_missing_from_one_read_keeps_the_age_of_the_read_before() {
    let mut known = KnownReplicas::default();
    known.record_read(read(&[&["r1", "r2"], &["r3"]]), Tick(1_000), Tick(1_010), INTERVAL_MS);
    assert_eq!(known.read_at(), Tick(1_000));
    known.record_read(read(&[&["r1"], &["r2"]]), Tick(2_000), Tick(2_010), INTERVAL_MS);
    assert_eq!(known.read_at(), Tick(1_000), "r3 may have changed since");
    known.record_read(read(&[&["r1"], &["r2"]]), Tick(3_000), Tick(3_010), INTERVAL_MS);
    assert_eq!(known.read_at(), Tick(3_000), "r3 is gone");
    known.adopt(vec![listed("r1", false), listed("r2", false)], Tick(2_500), Tick(7_000));
    assert_eq!(known.read_at(), Tick(2_500), "adopting a list makes it no newer");
    known.record_failure(
        &ListError::Failed(PeerError::new("list replicas", "list", "500")),
        Tick(8_000),
        INTERVAL_MS,
    );
    assert_eq!(known.read_at(), Tick(2_500), "only a read renews it");
    known.record_read(read(&[&["r1"], &["r4"]]), Tick(9_000), Tick(9_010), INTERVAL_MS);
    assert_eq!(
        (known.read_at(), ids(&known, 9_010)),
        (Tick(9_000), vec!["r1".to_string(), "r4".to_string()])
    );
}

/// A list of one page is complete: what it lacks is gone.
#[test]
fn a_replica_missing_from_a_single_page_list_is_gone() {
    let mut known = KnownReplicas::default();
    known.record_read(read(&[&["r1", "r2"]]), Tick(0), Tick(0), INTERVAL_MS);
    known.record_read(read(&[&["r1"]]), Tick(1_000), Tick(1_000), INTERVAL_MS);
    assert_eq!(ids(&known, 1_000), ["r1"]);
}

#[rstest]
#[case::leaving_first(true, false)]
#[case::leaving_second(false, true)]
fn a_replica_that_is_draining_on_any_page_is_draining(#[case] first: bool, #[case] second: bool) {
    let (mut read, mut known) = (ListRead::default(), KnownReplicas::default());
    read.add(&"n1".into(), vec![listed("r1", first)]);
    read.add(
        &"n1".into(),
        vec![listed("r1", second), ListedReplica { zone: "n2".into(), ..listed("r2", false) }],
    );
    known.record_read(read, Tick(0), Tick(0), INTERVAL_MS);
    let rows = known.rows(Tick(0)).expect("a list");
    assert_eq!(rows, [listed("r1", true)]);
}

/// Each page is a call: the next read waits for as long as its calls take up of the rate.
#[test]
fn the_next_read_waits_in_proportion_to_the_pages() {
    let mut known = KnownReplicas::default();
    assert!(known.is_due(Tick(0)));
    known.record_read(read(&[&["r1"], &["r2"], &["r3"]]), Tick(0), Tick(0), INTERVAL_MS);
    assert!(!known.is_due(Tick(3 * INTERVAL_MS - 1)) && known.is_due(Tick(3 * INTERVAL_MS)));
}

#[test]
fn rate_refusals_slow_reads_down_until_one_succeeds() {
    let over_rate = || ListError::OverRate(PeerError::new("list replicas", "list", "429"));
    let (mut known, mut now, mut pauses) = (KnownReplicas::default(), 0, Vec::new());
    for _ in 0..5 {
        known.record_failure(&over_rate(), Tick(now), INTERVAL_MS);
        let pause = (0..).find(|ms| known.is_due(Tick(now + ms))).expect("due in the end");
        pauses.push(pause / INTERVAL_MS);
        now += pause;
    }
    assert_eq!(pauses, [2, 4, 4, 4, 4]);
    known.record_read(read(&[&["r1"]]), Tick(now), Tick(now), INTERVAL_MS);
    assert!(known.is_due(Tick(now + INTERVAL_MS)));
    known.record_failure(
        &ListError::Failed(PeerError::new("list replicas", "list", "500")),
        Tick(now),
        INTERVAL_MS,
    );
    assert!(known.is_due(Tick(now + INTERVAL_MS)), "other failures cause no extra pause");
}

/// Warm-up times in a list that can't be read again run down with its age.
#[test]
fn warm_up_times_run_down_with_the_age_of_the_list() {
    let (mut reading, mut known) = (ListRead::default(), KnownReplicas::default());
    reading.add(&"n1".into(), vec![ListedReplica { cold_left_ms: 3_000, ..listed("r1", false) }]);
    known.record_read(reading, Tick(1_000), Tick(1_000), INTERVAL_MS);
    let cold = |at| known.rows(Tick(at)).expect("a list").first().map(|row| row.cold_left_ms);
    assert_eq!((cold(1_000), cold(3_000), cold(9_000)), (Some(3_000), Some(1_000), Some(0)));
}
