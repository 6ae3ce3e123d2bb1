//! Tests of `data_plane::retry_budget`.

use data_plane::retry_budget::RetryBudget;

#[test]
fn extra_goes_stay_a_fifth() {
    let b = RetryBudget::default();
    let extra = (0..1000).filter(|_| {
        b.earn(0.2);
        b.spend()
    });
    assert_eq!(extra.count(), 202);
    (0..1000).for_each(|_| b.earn(0.2));
    assert_eq!((0..100).filter(|_| b.spend()).count(), 10);
}
