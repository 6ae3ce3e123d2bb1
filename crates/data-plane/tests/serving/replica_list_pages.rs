//! What a home keeps of the platform's list between readings. Pure.

use crate::replica_list::listed;
use common::{Tick, error::PeerError};
use data_plane::serving::{
    ListedReplica,
    replica_list::{KnownReplicas, ListError, ListRead},
};
use rstest::rstest;

const EACH_MS: u64 = 500;

fn read(pages: &[&[&str]]) -> ListRead {
    let mut read = ListRead::default();
    for page in pages {
        read.add(&"n1".into(), page.iter().map(|id| listed(id, false)).collect());
    }
    read
}

fn ids(known: &KnownReplicas, at: u64) -> Vec<String> {
    known.rows(Tick(at)).unwrap_or_default().iter().map(|r| r.id.to_string()).collect()
}

/// A replica that moves to a page already read stands on none of this reading, and is not gone for that.
#[test]
fn what_moves_between_pages_is_not_lost() {
    let mut known = KnownReplicas::default();
    known.record_read(read(&[&["r1", "r2"], &["r3"]]), Tick(0), Tick(0), EACH_MS);
    known.record_read(read(&[&["r1"], &["r2"]]), Tick(1_000), Tick(1_000), EACH_MS);
    assert_eq!(ids(&known, 1_000), ["r1", "r2", "r3"]);
    known.record_read(read(&[&["r1", "r3"], &["r2"]]), Tick(2_000), Tick(2_000), EACH_MS);
    assert_eq!(ids(&known, 2_000), ["r1", "r2", "r3"]);
    known.record_read(read(&[&["r1"], &["r2"]]), Tick(3_000), Tick(3_000), EACH_MS);
    known.record_read(read(&[&["r1"], &["r2"]]), Tick(4_000), Tick(4_000), EACH_MS);
    assert_eq!(ids(&known, 4_000), ["r1", "r2"], "lacking twice, it is gone");
}

/// What one reading of several pages lacks is as old as the reading before, and so is the list.
#[test]
fn what_moves_between_pages_is_as_old_as_its_last_reading() {
    let mut known = KnownReplicas::default();
    known.record_read(read(&[&["r1", "r2"], &["r3"]]), Tick(1_000), Tick(1_010), EACH_MS);
    assert_eq!(known.read_at(), Tick(1_000));
    known.record_read(read(&[&["r1"], &["r2"]]), Tick(2_000), Tick(2_010), EACH_MS);
    assert_eq!(known.read_at(), Tick(1_000), "r3 may have changed since");
    known.record_read(read(&[&["r1"], &["r2"]]), Tick(3_000), Tick(3_010), EACH_MS);
    assert_eq!(known.read_at(), Tick(3_000), "r3 is gone");
    known.adopt(vec![listed("r1", false), listed("r2", false)], Tick(2_500), Tick(7_000));
    assert_eq!(known.read_at(), Tick(2_500), "another's reading is no newer for being told");
    known.record_failure(
        &ListError::Failed(PeerError::new("list replicas", "list", "500")),
        Tick(8_000),
        EACH_MS,
    );
    assert_eq!(known.read_at(), Tick(2_500), "nothing but a reading renews it");
    known.record_read(read(&[&["r1"], &["r4"]]), Tick(9_000), Tick(9_010), EACH_MS);
    assert_eq!(
        (known.read_at(), ids(&known, 9_010)),
        (Tick(9_000), vec!["r1".to_string(), "r4".to_string()])
    );
}

/// One page is whole in itself.
#[test]
fn what_one_page_lacks_is_gone() {
    let mut known = KnownReplicas::default();
    known.record_read(read(&[&["r1", "r2"]]), Tick(0), Tick(0), EACH_MS);
    known.record_read(read(&[&["r1"]]), Tick(1_000), Tick(1_000), EACH_MS);
    assert_eq!(ids(&known, 1_000), ["r1"]);
}

#[rstest]
#[case::leaving_first(true, false)]
#[case::leaving_then(false, true)]
fn what_leaves_by_one_page_leaves(#[case] first: bool, #[case] then: bool) {
    let (mut read, mut known) = (ListRead::default(), KnownReplicas::default());
    read.add(&"n1".into(), vec![listed("r1", first)]);
    read.add(
        &"n1".into(),
        vec![listed("r1", then), ListedReplica { zone: "n2".into(), ..listed("r2", false) }],
    );
    known.record_read(read, Tick(0), Tick(0), EACH_MS);
    let rows = known.rows(Tick(0)).expect("a list");
    assert_eq!(rows, [listed("r1", true)]);
}

/// Each page is a call: the next reading waits for as long as its calls take up of the rate.
#[test]
fn pages_are_paid_for() {
    let mut known = KnownReplicas::default();
    assert!(known.is_due(Tick(0)));
    known.record_read(read(&[&["r1"], &["r2"], &["r3"]]), Tick(0), Tick(0), EACH_MS);
    assert!(!known.is_due(Tick(3 * EACH_MS - 1)) && known.is_due(Tick(3 * EACH_MS)));
}

#[test]
fn refusals_for_the_rate_spread_out_and_a_reading_ends_that() {
    let over = || ListError::OverRate(PeerError::new("list replicas", "list", "429"));
    let (mut known, mut now, mut pauses) = (KnownReplicas::default(), 0, Vec::new());
    for _ in 0..5 {
        known.record_failure(&over(), Tick(now), EACH_MS);
        let pause = (0..).find(|ms| known.is_due(Tick(now + ms))).expect("due at last");
        pauses.push(pause / EACH_MS);
        now += pause;
    }
    assert_eq!(pauses, [2, 4, 4, 4, 4]);
    known.record_read(read(&[&["r1"]]), Tick(now), Tick(now), EACH_MS);
    assert!(known.is_due(Tick(now + EACH_MS)));
    known.record_failure(
        &ListError::Failed(PeerError::new("list replicas", "list", "500")),
        Tick(now),
        EACH_MS,
    );
    assert!(known.is_due(Tick(now + EACH_MS)), "one that is down is asked again as usual");
}

/// A list that can't be read anew ages: what was cold for so long is not cold for ever.
#[test]
fn cold_spans_run_on() {
    let (mut reading, mut known) = (ListRead::default(), KnownReplicas::default());
    reading.add(&"n1".into(), vec![ListedReplica { cold_left_ms: 3_000, ..listed("r1", false) }]);
    known.record_read(reading, Tick(1_000), Tick(1_000), EACH_MS);
    let cold = |at| known.rows(Tick(at)).expect("a list").first().map(|r| r.cold_left_ms);
    assert_eq!((cold(1_000), cold(3_000), cold(9_000)), (Some(3_000), Some(1_000), Some(0)));
}
