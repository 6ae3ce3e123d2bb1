//! Tests of `common::event_log`.

use common::event_log::{EventLog, View};

#[derive(Clone, Default)]
struct Sum(u64);
impl View<u64> for Sum {
    fn apply(&mut self, event: &u64) {
        self.0 += event;
    }
}

#[test]
fn the_view_includes_events_that_are_no_longer_retained() {
    let log = EventLog::new(Sum::default(), 2);
    (1..=4).for_each(|n| {
        log.append(n);
    });
    assert_eq!(log.view().0, 10);
    assert_eq!(log.tail(), vec![(3, 3), (4, 4)]);
}
