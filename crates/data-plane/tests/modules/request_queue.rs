//! Tests of `data_plane::request_queue`.

use common::Tick;
use data_plane::request_queue::{Rejection, RequestQueue};

/// The request with the earliest deadline is woken first. One whose deadline can't be met is rejected at once.
#[test]
fn earliest_deadline_first_and_late_rejected() {
    let mut queue = RequestQueue::default();
    let (_, mut late) = queue.join(Tick(5000), 2, Tick(0)).unwrap();
    let (_, mut soon) = queue.join(Tick(1000), 2, Tick(0)).unwrap();
    assert_eq!(queue.join(Tick(500), 2, Tick(0)).unwrap_err(), Rejection::Full);
    queue.wake_next(Tick(0));
    assert!(soon.try_recv().is_ok() && late.try_recv().is_err());
    // A request ends every 400 ms, so behind others a deadline in 200 ms can't be met.
    queue.wake_next(Tick(400));
    let (_, _a) = queue.join(Tick(9000), 9, Tick(400)).unwrap();
    queue.wake_next(Tick(800));
    let (_, _b) = queue.join(Tick(9000), 9, Tick(800)).unwrap();
    assert_eq!(queue.join(Tick(1000), 9, Tick(800)).unwrap_err(), Rejection::Late);
}
