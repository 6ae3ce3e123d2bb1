//! Tests of `data_plane::retry_budget`.

use data_plane::retry_budget::RetryBudget;

/// With a ratio of 0.2, retries stay at a fifth of the requests, beside the two tokens of the start; at most ten are
/// saved up.
#[test]
fn retries_stay_within_their_share() {
    let budget = RetryBudget::default();
    let retries = (0..1000).filter(|_| {
        budget.earn(0.2);
        budget.spend()
    });
    assert_eq!(retries.count(), 202);
    (0..1000).for_each(|_| budget.earn(0.2));
    assert_eq!((0..100).filter(|_| budget.spend()).count(), 10);
}
