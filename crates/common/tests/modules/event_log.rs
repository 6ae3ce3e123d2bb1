//! Tests of `common::event_log`.

use common::event_log::{EventLog, View};

#[derive(Clone, Default)]
struct Sum(u64);
impl View<u64> for Sum {
    fn apply(&mut self, ev: &u64) {
        self.0 += ev;
    }
}

#[test]
fn view_outlives_the_tail() {
    let j = EventLog::new(Sum::default(), 2);
    (1..=4).for_each(|n| {
        j.append(n);
    });
    assert_eq!(j.view().0, 10);
    assert_eq!(j.tail(), vec![(3, 3), (4, 4)]);
}
