//! Backoff from sources of reports (design 9.3).

use common::source_backoff::SourceBackoff;
use common::{NodeId, Tick};

const BASE_MS: u64 = 1_000;

fn node(name: &str) -> NodeId {
    NodeId::new(name)
}

/// Time from a failure until the source may be asked again.
fn pause(backoff: &SourceBackoff<NodeId>, source: &NodeId, failed: Tick) -> u64 {
    (0..).find(|ms| backoff.is_available(source, failed + *ms)).expect("available in the end")
}

#[test]
fn pauses_double_up_to_a_factor_of_eight_and_reset_with_an_answer() {
    let (mut backoff, a, mut now) = (SourceBackoff::default(), node("a"), Tick(0));
    assert!(backoff.is_available(&a, now));
    for expected in [1, 2, 4, 8, 8, 8] {
        backoff.fail(a.clone(), now, BASE_MS);
        assert_eq!(pause(&backoff, &a, now), expected * BASE_MS);
        now = now + expected * BASE_MS;
    }
    backoff.succeed(&a);
    backoff.fail(a.clone(), now, BASE_MS);
    assert_eq!(pause(&backoff, &a, now), BASE_MS);
}

/// Of several failed sources only one is tried at a time, so that a working one is asked in between.
#[test]
fn a_repeated_failure_delays_other_failed_sources() {
    let (mut backoff, a, b, now) = (SourceBackoff::default(), node("a"), node("b"), Tick(0));
    backoff.fail(a.clone(), now, BASE_MS);
    backoff.fail(b.clone(), now, BASE_MS);
    let due = now + 1_500;
    assert!(backoff.is_available(&a, due) && backoff.is_available(&b, due));
    backoff.fail(a.clone(), due, BASE_MS);
    assert_eq!((pause(&backoff, &a, due), pause(&backoff, &b, due)), (2 * BASE_MS, BASE_MS));
}
