//! Tests of `data_plane::request_queue`.

use common::Tick;
use data_plane::request_queue::{Rejection, RequestQueue};

#[test]
fn earliest_deadline_first_and_bounced_at_once() {
    let mut w = RequestQueue::default();
    let (_, mut late) = w.join(Tick(5000), 2, Tick(0)).unwrap();
    let (_, mut soon) = w.join(Tick(1000), 2, Tick(0)).unwrap();
    assert_eq!(w.join(Tick(500), 2, Tick(0)).unwrap_err(), Rejection::Full);
    w.wake_next(Tick(0));
    assert!(soon.try_recv().is_ok() && late.try_recv().is_err());
    // One place in 400 ms: a deadline 300 ms away can't be met behind others.
    w.wake_next(Tick(400));
    let (_, _a) = w.join(Tick(9000), 9, Tick(400)).unwrap();
    w.wake_next(Tick(800));
    let (_, _b) = w.join(Tick(9000), 9, Tick(800)).unwrap();
    assert_eq!(w.join(Tick(1000), 9, Tick(800)).unwrap_err(), Rejection::Late);
}
