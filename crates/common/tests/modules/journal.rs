//! Tests of `common::journal`.

use common::journal::{Fold, Journal};

#[derive(Clone, Default)]
struct Sum(u64);
impl Fold<u64> for Sum {
    fn fold(&mut self, ev: &u64) {
        self.0 += ev;
    }
}

#[test]
fn view_outlives_the_tail() {
    let j = Journal::new(Sum::default(), 2);
    (1..=4).for_each(|n| {
        j.append(n);
    });
    assert_eq!(j.view().0, 10);
    assert_eq!(j.tail(), vec![(3, 3), (4, 4)]);
}
